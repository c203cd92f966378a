package pimplan_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimhealth"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimplan"
)

// TestDayWithFaultyHosts guards against runs and jobs that fail because 4 of 28 hosts fail 45% of what they start for 6 s in
// each 12 s, two groups of hosts by turns, and against healthy hosts that are avoided, on which 4% of the runs fail. Jobs
// have 8 tasks with three attempts each. The leader changes in the midst of the second time.
func TestDayWithFaultyHosts(t *testing.T) {
	const seeds, healthyHosts = 8, faultyDayHosts - 2*faultyAtOnce
	runs, jobs, avoided := 0, 0, time.Duration(0)
	for seed := range uint64(seeds) {
		failedRuns, failedJobs, healthyAvoided := runFaultyDay(t, seed)
		runs, jobs, avoided = runs+failedRuns, jobs+failedJobs, avoided+healthyAvoided
	}
	t.Logf("%d runs and %d jobs failed, healthy hosts were avoided for %v", runs, jobs, avoided)
	assert.Assert(t, avoided < seeds*healthyHosts*faultyDay/500)
	// About 1,600 runs fail on healthy hosts. With hosts that were avoided after three failed jobs in a row, as before, 3,049
	// runs and 57 jobs failed. Other seeds give a smaller difference, see docs/design/host-health.md.
	assert.Assert(t, runs < 2800 && jobs < 45)
}

const (
	faultyDayHosts, faultyAtOnce = 28, 4
	faultyDay                    = time.Minute
)

// runFaultyDay returns how many runs and jobs failed, and for how long hosts were avoided or probed that are never faulty.
func runFaultyDay(t *testing.T, seed uint64) (runs, jobs int, avoided time.Duration) {
	sim := newSimulation(t, faultyDayHosts)
	sim.random = rand.New(rand.NewPCG(seed, 2))
	sim.failShares = map[string]float64{}
	suspects := map[string]bool{}
	sim.onPlan = func(plan pimplan.Plan) {
		for _, change := range plan.HealthChanges {
			suspects[change.Host] = change.Status != pimhealth.Used
		}
	}
	for i := range int(faultyDay / tickInterval) {
		begun := time.Duration(i) * tickInterval
		turn := int(begun / (12 * time.Second))
		isFaulty := begun%(12*time.Second) >= 6*time.Second
		for w := range faultyDayHosts {
			id := fmt.Sprintf("w%02d", w)
			sim.failShares[id] = 0.04
			if isFaulty && w/faultyAtOnce == turn%2 {
				sim.failShares[id] = 0.45
			}
			if w >= 2*faultyAtOnce && suspects[id] {
				avoided += tickInterval
			}
		}
		sim.submit(fmt.Sprintf("job-%03d", i), 0, lasting(batch(8, 2), 500*time.Millisecond))
		sim.run(tickInterval)
		if begun == 21*time.Second {
			sim.apply(pimjob.SaveLearned{Learned: sim.planner.Learned()})
			sim.planner = pimplan.NewPlanner(sim.state, sim)
		}
	}
	sim.run(5 * time.Second)
	for i := range int(faultyDay / tickInterval) {
		if sim.state.Job(fmt.Sprintf("job-%03d", i)).State != pimjob.Completed {
			jobs++
		}
	}
	return sim.ends[pimjob.EndFailed], jobs, avoided
}

// TestProbes guards against a host that is opened to everything after its backoff although it is still faulty.
func TestProbes(t *testing.T) {
	sim := newSimulation(t, 4)
	sim.speeds["w00"] = 0
	sim.submit("first", 0, batch(8, 4))
	sim.run(4 * time.Second)
	assert.Equal(t, sim.ends[pimjob.EndStopped], 2)
	onFaulty := func() (count int) {
		for _, run := range sim.runs {
			if run.live.Run.Worker == "w00" {
				count++
			}
		}
		return count
	}
	sim.submit("large", 0, lasting(batch(2, 9), time.Minute))
	sim.run(3 * time.Second)
	assert.Equal(t, onFaulty(), 0)
	sim.submit("small", 0, lasting(batch(12, 4), time.Minute))
	sim.run(tickInterval)
	assert.Equal(t, onFaulty(), 1)
}
