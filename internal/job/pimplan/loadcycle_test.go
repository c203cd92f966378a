package pimplan

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// periodicHeadroom is the room of a serving task whose users come and go every period, as the lists of
// workers give it: from a tail in whole milliseconds.
func periodicHeadroom(period, phase, at float64, target time.Duration) float64 {
	room := 2.6 - 0.95*math.Sin(2*math.Pi*at/period+phase)
	return float64(target.Milliseconds()) / math.Round(float64(target.Milliseconds())/room)
}

// TestLoadCycle is the load of serving tasks on the users' days: each rises and falls in its own
// phase, lists come between 0.5 and 1.3 s apart, and some tasks are new.
func TestLoadCycle(t *testing.T) {
	const target = 18 * time.Millisecond
	for _, period := range []float64{6, 10, 14, 22} {
		random := rand.New(rand.NewPCG(7, uint64(period)))
		model := &cycleModel{}
		squares, count := 0.0, 0
		for range 400 {
			phase := random.Float64() * 2 * math.Pi
			var known *loadCycle
			for at := 0.0; at < 40; at += 0.5 + 0.8*random.Float64() {
				room := periodicHeadroom(period, phase, at, target)
				if expected, ok := model.headroomAt(known, seconds(at)); ok && at > 15 {
					squares += (room - expected) * (room - expected)
					count++
				}
				known = model.observe(known, seconds(at), room, 0, roundingStdDev(room, target))
			}
		}
		_, ok := model.bestPeriod()
		assert.Assert(t, ok, "no wave of %.0f s was found", period)
		assert.Assert(t, count > 1000, "%d predictions", count)
		// Rounding alone gives 0.2 at the upper rooms.
		assert.Assert(t, math.Sqrt(squares/float64(count)) < 0.35, "period %.0f s: predictions miss by %.2f", period, math.Sqrt(squares/float64(count)))
		assert.Assert(t, model.typicalLow() > 1.3 && model.typicalLow() < 2.1, "usual low %.2f", model.typicalLow())
	}
	t.Run("a load that does not swing is not foreseen", func(t *testing.T) {
		random := rand.New(rand.NewPCG(7, 7))
		model := &cycleModel{}
		for range 20 {
			var known *loadCycle
			room := 2.5
			for at := 0.0; at < 40; at++ {
				room = min(4, max(1, room+random.NormFloat64()*0.3))
				known = model.observe(known, seconds(at), room, 0, 0.05)
			}
		}
		_, ok := model.bestPeriod()
		assert.Assert(t, !ok)
	})
}

// BenchmarkLoadCycle is one figure of one serving task, of which a worker lists a few each second.
func BenchmarkLoadCycle(b *testing.B) {
	for name, tasks := range map[string]int{"scout": 0, "other": firstReferenceTasks + 1} {
		b.Run(name, func(b *testing.B) {
			model := &cycleModel{tasks: tasks, samples: minCycleSamples, persistenceError: 1}
			var known *loadCycle
			for i := range b.N {
				known = model.observe(known, seconds(float64(i)), periodicHeadroom(10, 0, float64(i), 18*time.Millisecond), 0, 0.1)
			}
		})
	}
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
