package pimplan_test

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimplan"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimwait"
)

type (
	// delayRun is a simulation of 12 racks of 16 hosts in which tasks prefer racks.
	delayRun struct {
		*simulation
		settings pimplan.Settings
		waits    []pimplan.EndedWait
		jobs     []string
	}

	// delayResult is what the jobs that were measured got.
	delayResult struct {
		mean, p90, maxWait time.Duration
		waited, near       int
	}
)

func newDelayRun(t *testing.T, factor float64, startAtOnce bool) *delayRun {
	t.Helper()
	run := &delayRun{simulation: newSimulationWithRacks(t, 192, 16), settings: pimplan.Settings{RemoteFactor: factor}}
	if startAtOnce {
		run.settings.Without = []pimplan.Mechanism{pimplan.DelayScheduling}
	}
	run.remoteFactor = factor
	run.durationFactor = spread
	run.planner.Configure(run.settings)
	return run
}

// spread varies the durations of tasks by a third at most, in the same way in each run.
func spread(key pimjob.TaskKey) float64 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(key.String()))
	return math.Pow(4.0/3, float64(hash.Sum32()%2001)/1000-1)
}

func near(rack string, count int) pimjob.Step {
	return pimjob.Step{
		Count: count, Need: pimjob.Resources{Millicores: 4000, MemoryMB: 4000}, Estimate: 1200 * time.Millisecond,
		PreferredLabel: rack,
	}
}

func sameRack(count int) pimjob.Step {
	step := near("", count)
	step.Need, step.Gang, step.SameRack = pimjob.Resources{Millicores: 16_000, MemoryMB: 16_000}, true, true
	return step
}

// tick advances the time by one tick and returns the plan.
func (r *delayRun) tick() pimplan.Plan {
	r.advance()
	for i, worker := range r.state.Workers() {
		if (r.now+time.Duration(i)*70*time.Millisecond)%reportInterval < tickInterval {
			r.updated = append(r.updated, worker.ID)
		}
	}
	plan := r.plan()
	r.waits = append(r.waits, plan.Waits...)
	used := map[string]int64{}
	for key, run := range r.runs {
		_, step, _ := r.state.Task(key)
		used[run.live.Run.Worker] += step.Need.Millicores
	}
	for id, millicores := range used {
		assert.Assert(r.t, millicores <= r.state.Worker(id).Capacity.Millicores, "host %s runs more than its capacity", id)
	}
	r.now += tickInterval
	return plan
}

func (r *delayRun) runFor(duration time.Duration) {
	for end := r.now + duration; r.now < end; {
		r.tick()
	}
}

// measured submits a job whose time counts in the result.
func (r *delayRun) measured(id string, step pimjob.Step) {
	r.submit(id, 0, step)
	r.jobs = append(r.jobs, id)
}

func (r *delayRun) changeLeader() {
	r.planner = pimplan.NewPlanner(r.state, r)
	r.planner.Configure(r.settings)
}

// result waits for the end of all measured jobs.
func (r *delayRun) result() delayResult {
	isOpen := func(id string) bool { return !r.state.Job(id).State.IsEnded() }
	for limit := r.now + 90*time.Second; slices.ContainsFunc(r.jobs, isOpen); {
		assert.Assert(r.t, r.now < limit, "a job does not end")
		r.tick()
	}
	var result delayResult
	var took []time.Duration
	total := time.Duration(0)
	for _, id := range r.jobs {
		job := r.state.Job(id)
		assert.Equal(r.t, job.State, pimjob.Completed)
		took = append(took, time.Duration(job.EndedAt-job.AcceptedAt)*time.Millisecond)
		total += took[len(took)-1]
	}
	slices.Sort(took)
	result.mean, result.p90 = total/time.Duration(len(took)), took[len(took)*9/10]
	for _, wait := range r.waits {
		result.waited++
		result.maxWait = max(result.maxWait, wait.Waited)
		if wait.Outcome == pimplan.EndedNear {
			result.near++
		}
	}
	return result
}

// fillRack starts runs that take all room on a rack.
func (r *delayRun) fillRack(id, rack string, estimate time.Duration) {
	step := near(rack, 128)
	step.Estimate = estimate
	r.submit(id, 0, step)
	r.tick()
}

// hotRack submits jobs for 5.5 s of which 60% want one rack, which can run three quarters of these.
func hotRack(r *delayRun) {
	for i := range 165 {
		rack := "rack-0"
		if i%5 >= 3 {
			rack = fmt.Sprintf("rack-%d", 1+i%11)
		}
		r.measured(fmt.Sprintf("job-%03d", i), near(rack, 8))
		if i%3 == 2 {
			r.tick()
		}
	}
}

// neverFree submits jobs for a rack whose runs take 25 times their estimate.
func neverFree(r *delayRun) {
	r.durationFactor = func(key pimjob.TaskKey) float64 {
		if key.Job == "blocker" {
			return 25
		}
		return spread(key)
	}
	r.fillRack("blocker", "rack-0", 800*time.Millisecond)
	r.runFor(300 * time.Millisecond)
	for i := range 4 {
		r.measured(fmt.Sprintf("job-%d", i), near("rack-0", 8))
	}
}

// shortBurst submits jobs for a rack whose runs end soon.
func shortBurst(r *delayRun) {
	r.fillRack("before", "rack-0", 1200*time.Millisecond)
	r.runFor(800 * time.Millisecond)
	for i := range 8 {
		r.measured(fmt.Sprintf("job-%d", i), near("rack-0", 8))
	}
}

// lostRack submits jobs for a rack that becomes unusable while they wait.
func lostRack(r *delayRun) {
	shortBurst(r)
	r.runFor(100 * time.Millisecond)
	for i := range 16 {
		r.unusable[fmt.Sprintf("w%02d", i)] = true
	}
}

// changedLeader is neverFree with two changes of the leader during the waits.
func changedLeader(r *delayRun) {
	neverFree(r)
	for range 2 {
		r.runFor(300 * time.Millisecond)
		r.changeLeader()
	}
}

// gangs submits gangs that need half a rack while each rack has room on a quarter of its hosts.
func gangs(r *delayRun) {
	for rack := range 12 {
		step := near(fmt.Sprintf("rack-%d", rack), 12)
		step.Need.Millicores = 32_000
		step.Estimate = time.Duration(650+20*rack) * time.Millisecond
		r.submit(fmt.Sprintf("before-%02d", rack), 0, step)
	}
	r.runFor(300 * time.Millisecond)
	for i := range 2 {
		r.measured(fmt.Sprintf("gang-%d", i), sameRack(16))
	}
}

// delayScenarios are the loads of the table. MaxLoss is how much longer the measured jobs may take on average with waiting
// than without. MinGain is the share of their time that waiting must save with a factor of 2 or more.
var delayScenarios = []struct {
	name    string
	load    func(r *delayRun)
	maxLoss time.Duration
	minGain float64
}{
	{"hot rack", hotRack, 30 * time.Millisecond, -0.02},
	{"short burst", shortBurst, 0, 0.3},
	{"rack never free", neverFree, pimwait.MaxIdleWait + tickInterval, -1},
	{"rack lost", lostRack, tickInterval + 10*time.Millisecond, -1},
	{"leader changed", changedLeader, pimwait.MaxIdleWait + tickInterval, -1},
	{"same-rack gangs", gangs, 0, 0.3},
}

// TestDelayTable guards against waiting that makes jobs slower where it should make them faster, and against a loss beyond
// the bound where the preferred hosts do not become free. With -v it prints the table of docs/design/delay-scheduling.md.
func TestDelayTable(t *testing.T) {
	for _, scenario := range delayScenarios {
		for _, factor := range []float64{1.5, 2, 3} {
			results := map[bool]delayResult{}
			for _, startAtOnce := range []bool{true, false} {
				run := newDelayRun(t, factor, startAtOnce)
				scenario.load(run)
				results[startAtOnce] = run.result()
			}
			off, on := results[true], results[false]
			assert.Assert(t, on.mean <= off.mean+scenario.maxLoss, "%s, %.1f: %v with waiting, %v without",
				scenario.name, factor, on.mean, off.mean)
			assert.Assert(t, factor < 2 || float64(on.mean) <= (1-scenario.minGain)*float64(off.mean),
				"%s, %.1f: %v with waiting, %v without", scenario.name, factor, on.mean, off.mean)
			assert.Assert(t, on.maxWait <= time.Second, "%s, %.1f: a task waited for %v", scenario.name, factor, on.maxWait)
			t.Logf("| %s | %.1f | %.2f | %.2f | %.2f | %.2f | %d | %d | %d |", scenario.name, factor, off.mean.Seconds(),
				on.mean.Seconds(), off.p90.Seconds(), on.p90.Seconds(), on.waited, on.near, on.maxWait.Milliseconds())
		}
	}
}

// TestNothingWaits guards against a deployment without a remote factor, or without preferences, that is planned in another
// way than before.
func TestNothingWaits(t *testing.T) {
	starts := func(factor float64, load func(r *delayRun)) []pimjob.Start {
		run := newDelayRun(t, factor, false)
		run.remoteFactor = 2
		load(run)
		var starts []pimjob.Start
		for range 20 {
			plan := run.tick()
			starts = append(starts, plan.Starts...)
			assert.Equal(t, len(plan.Waits), 0)
		}
		return starts
	}
	fill := func(r *delayRun, steps ...pimjob.Step) {
		for i := range 100 {
			r.submit(fmt.Sprintf("job-%02d", i), i%2, steps[i%len(steps)])
		}
	}
	serve, anywhere := serving("any", 2), near("", 9)
	serve.PreferredLabel = "rack-0"
	gang := sameRack(4)
	gang.SameRack = false
	for name, load := range map[string]func(r *delayRun){
		"without preferences": func(r *delayRun) { fill(r, anywhere, gang, bestEffort("noisy", 3), batch(5, 3)) },
		"serving tasks":       func(r *delayRun) { fill(r, serve, anywhere) },
	} {
		t.Run(name, func(t *testing.T) { assert.DeepEqual(t, starts(3, load), starts(0, load)) })
	}
	t.Run("with a factor of 1", func(t *testing.T) {
		load := func(r *delayRun) { fill(r, near("rack-0", 8), sameRack(12)) }
		assert.DeepEqual(t, starts(1, load), starts(0, load))
	})
}

// TestRoomOfOtherRacks guards against tasks of a full rack that take the room on a rack which the tasks of later jobs prefer,
// and against waits where the hosts elsewhere are about to be full.
func TestRoomOfOtherRacks(t *testing.T) {
	t.Run("is left to their tasks", func(t *testing.T) {
		run := newDelayRun(t, 1.2, false)
		run.fillRack("full", "rack-0", time.Minute)
		for rack := 2; rack < 12; rack++ {
			run.submit(fmt.Sprintf("other-%02d", rack), 0, near(fmt.Sprintf("rack-%d", rack), 30))
		}
		run.tick()
		run.submit("elsewhere", 0, near("rack-0", 64))
		run.submit("next", 0, near("rack-1", 128))
		run.tick()
		for key, live := range run.runs {
			rack := run.state.Worker(live.live.Run.Worker).Rack
			assert.Assert(t, key.Job != "elsewhere" || rack != "rack-1")
			assert.Assert(t, key.Job != "next" || rack == "rack-1")
		}
	})
	t.Run("is taken at once while it is short", func(t *testing.T) {
		run := newDelayRun(t, 3, false)
		run.fillRack("full", "rack-0", time.Second)
		run.runFor(500 * time.Millisecond)
		run.submit("most", 0, near("", 1370))
		run.submit("job", 1, near("rack-0", 32))
		run.tick()
		for index := range 32 {
			assert.Assert(t, run.runs[pimjob.TaskKey{Job: "job", Index: index}] != nil, "task %d waits", index)
		}
	})
}

// BenchmarkPlan measures a plan with 1,000 steps that wait for full racks, on 3,000 hosts. Plans are up to 8 ms apart.
func BenchmarkPlan(b *testing.B) {
	for _, factor := range []float64{0, 3} {
		b.Run(fmt.Sprintf("factor %v", factor), func(b *testing.B) {
			sim := newSimulationWithRacks(nil, 3000, 15)
			sim.planner.Configure(pimplan.Settings{RemoteFactor: factor})
			for rack := range 60 {
				sim.submit(fmt.Sprintf("full-%d", rack), 0, near(fmt.Sprintf("rack-%d", rack), 120))
			}
			sim.plan()
			sim.now += 900 * time.Millisecond
			for i := range 1000 {
				sim.submit(fmt.Sprintf("job-%04d", i), 0, near(fmt.Sprintf("rack-%d", i%60), 3))
			}
			waiting := 0
			for b.Loop() {
				plan := sim.planner.Plan(sim.now, epochMillis+sim.now.Milliseconds())
				waiting = 1000*3 - len(plan.Starts)
			}
			b.ReportMetric(float64(waiting), "waiting")
		})
	}
}
