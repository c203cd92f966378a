package pimplan_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimplan"
)

// dayResult is what a simulated day has shown. Repeated counts the stops of a task within its expected duration after
// another one, while the estimates are known to be wrong.
type dayResult struct {
	stops, moves, repeated, accurate, onTime, refused, paidOff, notPaidOff int
}

// runDay simulates 50 s with 400 jobs on 24 hosts, of which one works at a seventh of its speed and one makes no progress
// on any run. Half of the hosts have processor time for 0.55 of what best-effort runs request. The estimates of
// best-effort jobs are off by up to a factor of 1+bestEffortError, those of batch jobs by 1+batchError. The number of
// tasks of a job is heavy-tailed, and best-effort runs are throttled for the sake of serving tasks. The leader changes
// after 20 s.
func runDay(t *testing.T, bestEffortError, batchError float64) dayResult {
	const jobs = 400
	sim := newSimulation(t, 24)
	sim.speeds["w05"], sim.speeds["w11"] = 0.14, 0
	for i := range 12 {
		sim.idleShares[fmt.Sprintf("w%02d", 2*i)] = 0.55
	}
	sim.interference["sensitive"] = map[string]float64{"noisy": 0.3}
	sim.interference["robust"] = map[string]float64{"noisy": 0.01}
	random := rand.New(rand.NewPCG(21, 22))
	for i := range 12 {
		sim.submit(fmt.Sprintf("serve-%d", i), 0, serving([]string{"sensitive", "robust"}[i%2], 6))
	}
	sim.plan()
	var result dayResult
	stoppedAt := map[pimjob.TaskKey]time.Duration{}
	sim.onPlan = func(plan pimplan.Plan) {
		result.paidOff += plan.StopReport.PaidOff
		result.notPaidOff += plan.StopReport.NotPaidOff
		for _, refused := range plan.StopReport.Refused {
			result.refused += refused.Count
		}
		for _, stop := range plan.Stops {
			result.stops++
			if stop.Reason == "would finish sooner on another host" {
				result.moves++
			}
			if stop.Decision.EstimateAccurate {
				result.accurate++
			} else if at, ok := stoppedAt[stop.Key]; ok && sim.now-at < stop.Decision.Expected {
				result.repeated++
			}
			stoppedAt[stop.Key] = sim.now
		}
	}
	for i := range jobs {
		width := min(24, int(2*math.Pow(random.Float64(), -0.8)))
		queue, id, off, step := "best-effort", fmt.Sprintf("job-%03d", i), bestEffortError, bestEffort("noisy", width)
		if i%2 == 1 {
			queue, off, step = "batch", batchError, batch(width, 2)
			step.Estimate = 2 * time.Second
		}
		sim.durationFactors[id] = math.Pow(1+off, 2*random.Float64()-1)
		sim.submitTo(queue, id, 1+(i+1)%2, step)
		sim.run(100 * time.Millisecond)
		if i == jobs/2 {
			sim.apply(pimjob.SaveLearned{Learned: sim.planner.Learned()})
			sim.planner = pimplan.NewPlanner(sim.state, sim)
			// A new leader's budget knows no earlier stops.
			clear(stoppedAt)
		}
	}
	sim.run(10 * time.Second)
	for i := range jobs {
		id := fmt.Sprintf("job-%03d", i)
		job := sim.state.Job(id)
		work := time.Duration(float64(job.Submission.Steps[0].Estimate) * sim.durationFactors[id])
		if job.State == pimjob.Completed && job.EndedAt <= job.AcceptedAt+(2*work+time.Second).Milliseconds() {
			result.onTime++
		}
	}
	t.Logf("estimates off by up to %.2f and %.2f: %+v", bestEffortError, batchError, result)
	return result
}

// TestStopsOfADay guards against healthy runs that are moved from host to host because their estimates are wrong, and
// against stops that differ from those of the planner's own thresholds where estimates are accurate.
func TestStopsOfADay(t *testing.T) {
	t.Run("wrong estimates", func(t *testing.T) {
		// Judged by the estimates, as it was before, the day had 228 stops, 162 of them moves, and 288 jobs on time.
		result := runDay(t, 0.9, 0.5)
		assert.Assert(t, result.stops < 160 && result.moves < 90)
		assert.Assert(t, result.onTime >= 288)
		assert.Equal(t, result.repeated, 0)
		assert.Assert(t, result.paidOff > 2*result.notPaidOff)
	})
	t.Run("accurate estimates", func(t *testing.T) {
		result := runDay(t, 0.3, 0.3)
		assert.Equal(t, result.accurate, result.stops)
		assert.Equal(t, result.refused, 0)
	})
}

// TestWrongEstimates guards against hosts that are taken for slow because all estimates of a queue are too short by a
// factor of 1.9, and against slow hosts that are no longer found.
func TestWrongEstimates(t *testing.T) {
	newDay := func(t *testing.T) *simulation {
		sim := newSimulation(t, 8)
		for i := range 8 {
			id := fmt.Sprintf("first-%d", i)
			sim.durationFactors[id] = 1.9
			sim.submitTo("q", id, 0, batch(4, 4))
		}
		sim.run(3 * time.Second)
		assert.Equal(t, sim.ends[pimjob.EndStopped], 0)
		return sim
	}
	submitLong := func(sim *simulation) {
		for i := range 8 {
			id, step := fmt.Sprintf("long-%d", i), batch(8, 2)
			step.Estimate, sim.durationFactors[id] = 4*time.Second, 1.9
			sim.submitTo("q", id, 0, step)
		}
	}
	t.Run("a host at half speed is not slow", func(t *testing.T) {
		sim := newDay(t)
		sim.speeds["w03"] = 0.5
		submitLong(sim)
		sim.run(20 * time.Second)
		assert.Equal(t, sim.ends[pimjob.EndStopped], 0)
	})
	t.Run("a host at a seventh of its speed is", func(t *testing.T) {
		sim := newDay(t)
		sim.speeds["w03"] = 0.14
		sim.onPlan = func(plan pimplan.Plan) {
			for _, stop := range plan.Stops {
				assert.Equal(t, stop.Worker, "w03")
				assert.Equal(t, stop.Reason, "host is slow")
			}
		}
		submitLong(sim)
		sim.run(20 * time.Second)
		for i := range 8 {
			assert.Equal(t, sim.state.Job(fmt.Sprintf("long-%d", i)).State, pimjob.Completed)
		}
		assert.Assert(t, sim.ends[pimjob.EndStopped] > 0)
	})
	t.Run("the next leader knows", func(t *testing.T) {
		stops := map[bool]int{}
		for _, saved := range []bool{false, true} {
			sim := newDay(t)
			if saved {
				sim.apply(pimjob.SaveLearned{Learned: sim.planner.Learned()})
			}
			sim.planner = pimplan.NewPlanner(sim.state, sim)
			sim.speeds["w03"] = 0.5
			submitLong(sim)
			sim.run(10 * time.Second)
			stops[saved] = sim.ends[pimjob.EndStopped]
		}
		assert.Equal(t, stops[true], 0)
		assert.Assert(t, stops[false] > 0)
	})
}
