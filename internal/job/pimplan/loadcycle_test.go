package pimplan

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// periodicHeadroom returns the headroom of a serving task under periodic load, from a tail latency
// in whole milliseconds as workers report it.
func periodicHeadroom(period, phase, at float64, target time.Duration) float64 {
	headroom := 2.6 - 0.95*math.Sin(2*math.Pi*at/period+phase)
	return float64(target.Milliseconds()) / math.Round(float64(target.Milliseconds())/headroom)
}

// TestLoadCycle guards against forecasts that miss a periodic load. Each task has a phase of its own
// and is reported for 40 s, at irregular times 0.5 to 1.3 s apart.
func TestLoadCycle(t *testing.T) {
	const target = 18 * time.Millisecond
	for _, period := range []float64{6, 10, 14, 22} {
		random := rand.New(rand.NewPCG(7, uint64(period)))
		model := &cycleModel{}
		squares, count := 0.0, 0
		for range 400 {
			phase := random.Float64() * 2 * math.Pi
			var cycle *loadCycle
			for at := 0.0; at < 40; at += 0.5 + 0.8*random.Float64() {
				headroom := periodicHeadroom(period, phase, at, target)
				if expected, ok := model.headroomAt(cycle, seconds(at)); ok && at > 15 {
					squares += (headroom - expected) * (headroom - expected)
					count++
				}
				cycle = model.observe(cycle, seconds(at), headroom, 0, roundingStdDev(headroom, target))
			}
		}
		_, ok := model.bestPeriod()
		assert.Assert(t, ok, "no load cycle was found for a period of %.0f s", period)
		assert.Assert(t, count > 1000, "%d predictions", count)
		// Rounding alone gives an error of 0.2 where the headroom is high.
		assert.Assert(t, math.Sqrt(squares/float64(count)) < 0.35, "period %.0f s: predictions miss by %.2f",
			period, math.Sqrt(squares/float64(count)))
		assert.Assert(t, model.typicalLow() > 1.3 && model.typicalLow() < 2.1, "typical low %.2f", model.typicalLow())
	}
	t.Run("a load without a cycle is not forecast", func(t *testing.T) {
		random := rand.New(rand.NewPCG(7, 7))
		model := &cycleModel{}
		for range 20 {
			var cycle *loadCycle
			headroom := 2.5
			for at := 0.0; at < 40; at++ {
				headroom = min(4, max(1, headroom+random.NormFloat64()*0.3))
				cycle = model.observe(cycle, seconds(at), headroom, 0, 0.05)
			}
		}
		_, ok := model.bestPeriod()
		assert.Assert(t, !ok)
	})
}

// BenchmarkLoadCycle adds one sample of one serving task. A worker reports a few of them each
// second.
func BenchmarkLoadCycle(b *testing.B) {
	for name, tasks := range map[string]int{"reference": 0, "other": firstReferenceTasks + 1} {
		b.Run(name, func(b *testing.B) {
			model := &cycleModel{tasks: tasks, samples: minCycleSamples, persistenceError: 1}
			var cycle *loadCycle
			for i := range b.N {
				cycle = model.observe(cycle, seconds(float64(i)),
					periodicHeadroom(10, 0, float64(i), 18*time.Millisecond), 0, 0.1)
			}
		})
	}
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
