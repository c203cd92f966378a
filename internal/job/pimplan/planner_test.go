package pimplan_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimplan"
)

type (
	// simulation runs a planner in virtual time against a simple model of workers on which
	// best-effort tasks interfere with serving tasks.
	simulation struct {
		t        *testing.T
		random   *rand.Rand
		state    *pimjob.State
		planner  *pimplan.Planner
		now      time.Duration
		runs     map[pimjob.TaskKey]*simulatedRun
		updated  []string
		unusable map[string]bool
		// speeds are the speeds of the workers' runs, 1 for a worker without an entry.
		speeds map[string]float64
		// idleShares are the shares of their requested processor time that best-effort runs get on workers, 1 for a
		// worker without an entry.
		idleShares map[string]float64
		// remoteFactor is how many times as long runs take away from their data or their group, if it is above 1.
		remoteFactor float64
		// durationFactor returns the duration of a task divided by its estimate; nil means 1.
		durationFactor func(key pimjob.TaskKey) float64
		// remainingWork is the work in core-seconds that stopped runs with checkpoints had left.
		remainingWork map[pimjob.TaskKey]float64
		// interference is the headroom that a serving image loses for each core of a best-effort
		// image.
		interference map[string]map[string]float64
		// timeOverTarget counts the seconds of serving tasks over their target, bestEffortDone the
		// core-seconds of best-effort work done.
		timeOverTarget, bestEffortDone float64
		ends                           map[pimjob.EndKind]int
		// durationFactors are the true durations of jobs' tasks divided by their estimates, 1 for a job without an
		// entry.
		durationFactors map[string]float64
		// staysUntil is until when draining workers have said to stay, leavesAt when workers leave.
		staysUntil, leavesAt map[string]time.Duration
		// failShares are the shares of the runs on workers that fail, half-way.
		failShares map[string]float64
		// onPlan is called with each plan, if set.
		onPlan func(plan pimplan.Plan)
		// planning is the real time that the plans took.
		planning time.Duration
	}

	simulatedRun struct {
		live            pimjob.LiveRun
		speedPercent    int
		progressedAt    time.Duration
		reportedPercent int
		remainingWork   float64
		phase           float64
		tailMillis      float64
		usedCores       float64
		// failsAt is the remaining work at which the run fails, if it is to fail.
		failsAt float64
	}
)

const (
	// epochMillis is the wall-clock time at which the simulation begins. The load of a serving task
	// varies around meanServingLoad by the share loadAmplitude, with a period of loadPeriod seconds.
	epochMillis     = int64(1_700_000_000_000)
	tickInterval    = 100 * time.Millisecond
	reportInterval  = time.Second
	targetTail      = 45 * time.Millisecond
	hostCores       = 32
	idleHeadroom    = 4.5
	meanServingLoad = 0.42
	loadAmplitude   = 0.5
	loadPeriod      = 14.0
)

func newSimulation(t *testing.T, workers int) *simulation {
	return newSimulationWithRacks(t, workers, 4)
}

func newSimulationWithRacks(t *testing.T, workers, perRack int) *simulation {
	sim := &simulation{
		t: t, random: rand.New(rand.NewPCG(1, 2)), state: pimjob.NewState(), now: time.Minute,
		runs:         map[pimjob.TaskKey]*simulatedRun{},
		interference: map[string]map[string]float64{}, ends: map[pimjob.EndKind]int{}, unusable: map[string]bool{},
		staysUntil: map[string]time.Duration{}, leavesAt: map[string]time.Duration{},
		speeds: map[string]float64{}, idleShares: map[string]float64{},
		remainingWork: map[pimjob.TaskKey]float64{}, durationFactors: map[string]float64{},
	}
	for i := range workers {
		sim.state.Apply(epochMillis, []pimjob.Op{pimjob.PutWorker{Worker: newWorker(i, perRack, 1)}})
	}
	sim.planner = pimplan.NewPlanner(sim.state, sim)
	return sim
}

func newWorker(index, perRack int, generation int64) pimjob.Worker {
	rack := fmt.Sprintf("rack-%d", index/perRack)
	return pimjob.Worker{
		ID: fmt.Sprintf("w%02d", index), Generation: generation, Service: "svc", Domain: "east",
		Rack: rack, Labels: []string{"a", rack},
		Capacity: pimjob.Resources{Millicores: hostCores * 1000, MemoryMB: 128_000},
	}
}

// IsUsable, ObservedRuns and TakeUpdatedWorkers implement pimplan.Workers.
func (sim *simulation) IsUsable(id string, _ time.Duration) bool { return !sim.unusable[id] }

func (sim *simulation) ObservedRuns(id string) []pimfleet.ObservedRun {
	var observed []pimfleet.ObservedRun
	for _, key := range slices.SortedFunc(maps.Keys(sim.state.RunsOn(id)), pimjob.CompareKeys) {
		run := sim.runs[key]
		metric := run.usedCores * 1000
		_, step, _ := sim.state.Task(key)
		if step.TargetLatency > 0 {
			metric = run.tailMillis
		}
		percent := int(100 - 100*run.remainingWork/max(0.001, sim.workOf(key, step)))
		if percent != run.reportedPercent || run.progressedAt == 0 {
			run.reportedPercent, run.progressedAt = percent, sim.now
		}
		status := pimfleet.RunStatus{Key: key, Number: run.live.Run.Number, Metric: metric, ProgressPercent: percent}
		observed = append(observed, pimfleet.ObservedRun{
			Status: status, ListedAt: sim.now,
			SpeedPercent: run.speedPercent, ProgressedAt: run.progressedAt,
		})
	}
	return observed
}

func (sim *simulation) TakeUpdatedWorkers() []string {
	updated := sim.updated
	sim.updated = nil
	return updated
}

// StaysUntil implements pimplan.Workers.
func (sim *simulation) StaysUntil(id string) (time.Duration, bool) {
	until, ok := sim.staysUntil[id]
	return until, ok
}

func (sim *simulation) keys() []pimjob.TaskKey {
	keys := make([]pimjob.TaskKey, 0, len(sim.runs))
	for key := range sim.runs {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, pimjob.CompareKeys)
	return keys
}

func (sim *simulation) apply(ops ...pimjob.Op) {
	changes := sim.state.Apply(epochMillis+sim.now.Milliseconds(), ops)
	for _, change := range changes {
		switch change := change.(type) {
		case pimjob.RunStarted:
			_, step, _ := sim.state.Task(change.Live.Key)
			remaining, ok := sim.remainingWork[change.Live.Key]
			if !ok {
				remaining = sim.workOf(change.Live.Key, step)
			}
			run := &simulatedRun{
				live: change.Live, speedPercent: 100, remainingWork: remaining,
				phase: sim.random.Float64() * 2 * math.Pi,
			}
			sim.runs[change.Live.Key] = run
			if share := sim.failShares[change.Live.Run.Worker]; share > 0 && sim.random.Float64() < share {
				run.failsAt = remaining / 2
			}
		case pimjob.RunEnded:
			sim.ends[change.Kind]++
			// A run that is lost has not saved its work since it started.
			if _, step, _ := sim.state.Task(change.Live.Key); step.Checkpoints && change.Kind != pimjob.EndLost {
				sim.remainingWork[change.Live.Key] = sim.runs[change.Live.Key].remainingWork
			}
			delete(sim.runs, change.Live.Key)
		}
	}
	sim.planner.OnChanges(changes, sim.now)
}

// workOf returns the work of a whole task in core-seconds.
func (sim *simulation) workOf(key pimjob.TaskKey, step *pimjob.Step) float64 {
	factor, ok := sim.durationFactors[key.Job]
	if !ok {
		factor = 1
	}
	if sim.durationFactor != nil {
		factor *= sim.durationFactor(key)
	}
	return factor * step.Estimate.Seconds() * float64(step.Need.Millicores) / 1000
}

func (sim *simulation) submit(id string, priority int, steps ...pimjob.Step) {
	sim.submitTo("q", id, priority, steps...)
}

func (sim *simulation) submitTo(queue, id string, priority int, steps ...pimjob.Step) {
	sim.apply(pimjob.Submit{
		Submission: pimjob.Submission{ID: id, Spec: "s", Steps: steps},
		Queue: pimjob.Queue{
			Name: queue, Service: "svc", Attempts: 3, Priority: priority, Stretch: 2, Objective: time.Second,
		},
	})
}

func serving(image string, count int) pimjob.Step {
	return pimjob.Step{
		Count: count, Need: pimjob.Resources{Millicores: 6400, MemoryMB: 13_000}, Image: image,
		TargetLatency: targetTail, LongRunning: true,
	}
}

func bestEffort(image string, count int) pimjob.Step {
	return pimjob.Step{
		Count: count, Need: pimjob.Resources{Millicores: 3500, MemoryMB: 6400}, Image: image,
		BestEffort: true, Estimate: 3 * time.Second,
	}
}

func withCheckpoints(step pimjob.Step) pimjob.Step {
	step.Checkpoints = true
	return step
}

func batch(count int, cores int64) pimjob.Step {
	return pimjob.Step{
		Count: count, Need: pimjob.Resources{Millicores: cores * 1000, MemoryMB: 1000},
		Estimate: time.Second,
	}
}

// plan makes a plan and executes it.
func (sim *simulation) plan() pimplan.Plan {
	began := time.Now()
	plan := sim.planner.Plan(sim.now, epochMillis+sim.now.Milliseconds())
	sim.planning += time.Since(began)
	if sim.onPlan != nil {
		sim.onPlan(plan)
	}
	for _, start := range plan.Starts {
		sim.apply(start)
	}
	for _, stop := range plan.Stops {
		if run := sim.runs[stop.Key]; run != nil {
			sim.apply(pimjob.End{
				Key: stop.Key, Number: stop.Number, Worker: stop.Worker, Generation: run.live.Run.Generation,
				Kind: pimjob.EndStopped,
			})
		}
	}
	for _, throttle := range plan.Throttles {
		if run := sim.runs[throttle.Key]; run != nil {
			run.speedPercent = throttle.SpeedPercent
		}
	}
	return plan
}

// run advances the time; each host reports its runs once a second.
func (sim *simulation) run(duration time.Duration) {
	for end := sim.now + duration; sim.now < end; sim.now += tickInterval {
		for _, worker := range sim.state.Workers() {
			if at, ok := sim.leavesAt[worker.ID]; ok && sim.now >= at {
				sim.apply(pimjob.DropWorker{ID: worker.ID, Generation: worker.Generation})
			}
		}
		sim.advance()
		for i, worker := range sim.state.Workers() {
			if (sim.now+time.Duration(i)*70*time.Millisecond)%reportInterval < tickInterval {
				sim.updated = append(sim.updated, worker.ID)
			}
		}
		sim.plan()
	}
}

// advance executes all runs for one tick.
func (sim *simulation) advance() {
	usedCores := map[string]map[string]float64{}
	for _, key := range sim.keys() {
		run := sim.runs[key]
		_, step, _ := sim.state.Task(key)
		if !step.BestEffort {
			continue
		}
		run.usedCores = float64(step.Need.Millicores) / 1000 * float64(run.speedPercent) / 100 * sim.speedOf(run)
		if share, ok := sim.idleShares[run.live.Run.Worker]; ok {
			run.usedCores *= share
		}
		host := usedCores[run.live.Run.Worker]
		if host == nil {
			host = map[string]float64{}
			usedCores[run.live.Run.Worker] = host
		}
		host[step.Image] += run.usedCores
	}
	var ended []pimjob.Op
	for _, key := range sim.keys() {
		run := sim.runs[key]
		_, step, _ := sim.state.Task(key)
		switch {
		case step.TargetLatency > 0:
			sim.updateTail(run, step, usedCores[run.live.Run.Worker])
			continue
		case step.BestEffort:
			sim.bestEffortDone += run.usedCores * tickInterval.Seconds()
			run.remainingWork -= run.usedCores * tickInterval.Seconds()
		default:
			run.remainingWork -= float64(step.Need.Millicores) / 1000 * tickInterval.Seconds() * sim.speedOf(run)
		}
		if run.failsAt > 0 && run.remainingWork <= run.failsAt {
			ended = append(ended, pimjob.End{
				Key: key, Number: run.live.Run.Number, Worker: run.live.Run.Worker,
				Generation: run.live.Run.Generation, Kind: pimjob.EndFailed,
			})
			continue
		}
		if run.remainingWork <= 0 && !step.LongRunning {
			ended = append(ended, pimjob.End{
				Key: key, Number: run.live.Run.Number, Worker: run.live.Run.Worker,
				Generation: run.live.Run.Generation, Kind: pimjob.EndDone,
			})
		}
	}
	sim.apply(ended...)
}

func (sim *simulation) speedOf(run *simulatedRun) float64 {
	speed, ok := sim.speeds[run.live.Run.Worker]
	if !ok {
		speed = 1
	}
	if sim.remoteFactor > 1 && sim.isRemote(run) {
		speed /= sim.remoteFactor
	}
	return speed
}

// isRemote reports whether a run is away from its data, or its gang is not on one rack.
func (sim *simulation) isRemote(run *simulatedRun) bool {
	_, step, job := sim.state.Task(run.live.Key)
	worker := sim.state.Worker(run.live.Run.Worker)
	if !step.SameRack {
		return !worker.HasLabel(step.PreferredLabel)
	}
	tasks := job.Occurrences[run.live.Key.Occurrence].Steps[run.live.Key.Step].Tasks
	return slices.ContainsFunc(tasks, func(task pimjob.Task) bool {
		return task.Run != nil && sim.state.Worker(task.Run.Worker).Rack != worker.Rack
	})
}

func (sim *simulation) updateTail(run *simulatedRun, step *pimjob.Step, usedCores map[string]float64) {
	load := 1 + loadAmplitude*math.Sin(run.phase+2*math.Pi*sim.now.Seconds()/loadPeriod)
	headroom := idleHeadroom * (1 - meanServingLoad*load)
	for image, cores := range usedCores {
		headroom -= sim.interference[step.Image][image] * cores
	}
	run.tailMillis = float64(targetTail.Milliseconds()) / max(0.05, headroom)
	if headroom < 1 {
		sim.timeOverTarget += tickInterval.Seconds()
	}
}

// TestInterferingImages guards against best-effort tasks that keep serving tasks over their targets,
// and against throttling so much that best-effort work is not done. Each best-effort image
// interferes with some serving images and not with others.
func TestInterferingImages(t *testing.T) {
	sim := newSimulation(t, 16)
	sim.interference["sensitive"] = map[string]float64{"noisy": 0.2}
	sim.interference["robust"] = map[string]float64{"noisy": 0.005, "quiet": 0.005}
	for i := range 8 {
		sim.submit(fmt.Sprintf("serve-%d", i), 0, serving([]string{"sensitive", "robust"}[i%2], 6))
	}
	sim.plan()
	for i := range 60 {
		sim.submit(fmt.Sprintf("batch-%02d", i), 2, bestEffort([]string{"noisy", "quiet"}[i%2], 8))
		sim.run(500 * time.Millisecond)
	}
	sim.timeOverTarget, sim.bestEffortDone = 0, 0
	offered := 0.0
	for i := range 60 {
		sim.submit(fmt.Sprintf("more-%02d", i), 2, bestEffort([]string{"noisy", "quiet"}[i%2], 8))
		offered += 8 * 3.5 * 3
		sim.run(500 * time.Millisecond)
	}
	// 48 serving tasks for 30 s. The platform's limit for each is 4 s without a break.
	assert.Assert(t, sim.timeOverTarget < 0.01*48*30,
		"serving tasks were over their target for %.1f s", sim.timeOverTarget)
	assert.Assert(t, sim.bestEffortDone > 0.9*offered,
		"%.0f of %.0f core-seconds were done", sim.bestEffortDone, offered)
}

// TestImagesWithoutSamples guards against best-effort jobs that wait although hosts have headroom: an image about which
// nothing is known yet is assumed to interfere somewhat with each serving image.
func TestImagesWithoutSamples(t *testing.T) {
	sim := newSimulation(t, 8)
	sim.submit("serve", 0, serving("robust", 32))
	sim.plan()
	sim.run(5 * time.Second)
	for i := range 8 {
		sim.submit(fmt.Sprintf("new-%d", i), 2, bestEffort(fmt.Sprintf("new-%d", i), 2))
	}
	sim.run(500 * time.Millisecond)
	for i := range 8 {
		job := sim.state.Job(fmt.Sprintf("new-%d", i))
		for index := range 2 {
			assert.Assert(t, job.Occurrences[0].Steps[0].Tasks[index].LastRun > 0, "task %d of job %d waits", index, i)
		}
	}
}

// TestLeaderThatHasJustChanged guards against a new leader that places best-effort tasks beside serving tasks with which
// they interfere, because only the leader before it knew. The second half of the load is planned by a new planner on the
// same state.
func TestLeaderThatHasJustChanged(t *testing.T) {
	overTarget := map[bool]float64{}
	for _, saved := range []bool{false, true} {
		sim := newSimulation(t, 16)
		sim.interference["sensitive"] = map[string]float64{"noisy": 0.25, "quiet": 0.003}
		sim.interference["robust"] = map[string]float64{"noisy": 0.004, "quiet": 0.25}
		for i := range 10 {
			sim.submit(fmt.Sprintf("serve-%d", i), 0, serving([]string{"sensitive", "robust"}[i%2], 7))
		}
		sim.plan()
		load := func(name string, rounds int) {
			for i := range rounds {
				sim.submit(fmt.Sprintf("%s-%02d", name, i), 2, bestEffort([]string{"noisy", "quiet"}[i%2], 10))
				sim.run(500 * time.Millisecond)
			}
		}
		load("before", 80)
		if saved {
			sim.apply(pimjob.SaveLearned{Learned: sim.planner.Learned()})
		}
		sim.planner = pimplan.NewPlanner(sim.state, sim)
		sim.timeOverTarget = 0
		load("after", 20)
		overTarget[saved] = sim.timeOverTarget
	}
	assert.Assert(t, overTarget[true] < overTarget[false]/2,
		"serving tasks were over their target for %.1f s, without what was learned %.1f s", overTarget[true], overTarget[false])
}

// TestSlowBestEffortRuns guards against a few slow best-effort runs that keep whole jobs from ending
// on time. This occurs when a burst of batch jobs shares hosts with serving tasks that need them.
func TestSlowBestEffortRuns(t *testing.T) {
	for _, step := range []pimjob.Step{bestEffort("any", 4), withCheckpoints(bestEffort("any", 4))} {
		t.Run(fmt.Sprintf("are moved, checkpoints %v", step.Checkpoints), func(t *testing.T) {
			sim := newSimulation(t, 8)
			sim.speeds["w00"] = 0.1
			for i := range 12 {
				sim.submit(fmt.Sprintf("job-%02d", i), 2, step)
			}
			// The objective of the jobs is 7 s.
			sim.run(7 * time.Second)
			for i := range 12 {
				assert.Equal(t, sim.state.Job(fmt.Sprintf("job-%02d", i)).State, pimjob.Completed)
			}
		})
	}
	t.Run("stay where no other host has room for them", func(t *testing.T) {
		sim := newSimulation(t, 2)
		sim.speeds["w00"], sim.unusable["w01"] = 0.1, true
		sim.submit("job", 2, bestEffort("any", 4))
		sim.run(7 * time.Second)
		assert.Equal(t, sim.ends[pimjob.EndStopped], 0)
	})
	t.Run("stay where they finish sooner", func(t *testing.T) {
		sim := newSimulation(t, 8)
		sim.speeds["w00"] = 0.34
		step := bestEffort("any", 8)
		step.Estimate = time.Second
		sim.submit("short", 2, step)
		sim.run(4 * time.Second)
		assert.Equal(t, sim.state.Job("short").State, pimjob.Completed)
		assert.Equal(t, sim.ends[pimjob.EndStopped], 0)
	})
}

func TestPlace(t *testing.T) {
	t.Run("no host gets more than its capacity", func(t *testing.T) {
		sim := newSimulation(t, 3)
		sim.submit("a", 0, batch(40, 5))
		sim.plan()
		assert.Equal(t, len(sim.runs), 3*6)
	})
	t.Run("the queue with the lower priority number comes first", func(t *testing.T) {
		sim := newSimulation(t, 1)
		sim.submit("later", 2, batch(10, 16))
		sim.submit("first", 0, batch(2, 16))
		sim.plan()
		for _, key := range sim.keys() {
			assert.Equal(t, key.Job, "first")
		}
	})
	t.Run("a long-running task whose run failed goes before later jobs of its priority", func(t *testing.T) {
		sim := newSimulation(t, 1)
		sim.submit("serve", 0, serving("any", 1))
		sim.plan()
		sim.run(20 * time.Second)
		key := pimjob.TaskKey{Job: "serve"}
		for i := range 20 {
			sim.submit(fmt.Sprintf("job-%02d", i), 0, batch(4, 8))
		}
		sim.plan()
		sim.apply(pimjob.End{Key: key, Number: 1, Worker: "w00", Generation: 1, Kind: pimjob.EndFailed})
		sim.run(3 * time.Second)
		assert.Assert(t, sim.runs[key] != nil)
	})
	t.Run("a host gets at most MaxPerWorker tasks of a step", func(t *testing.T) {
		sim := newSimulation(t, 4)
		step := batch(20, 1)
		step.MaxPerWorker = 2
		sim.submit("a", 0, step)
		sim.plan()
		assert.Equal(t, len(sim.runs), 8)
	})
	t.Run("a gang starts as a whole, on one rack", func(t *testing.T) {
		sim := newSimulation(t, 8)
		step := batch(4, 20)
		step.Gang, step.SameRack = true, true
		sim.submit("a", 0, step)
		sim.plan()
		assert.Equal(t, len(sim.runs), 4)
		racks := map[string]bool{}
		for _, run := range sim.runs {
			racks[sim.state.Worker(run.live.Run.Worker).Rack] = true
			assert.Equal(t, run.live.Run.Number, 1)
		}
		assert.Equal(t, len(racks), 1)
	})
	t.Run("a gang does not start without capacity for all its tasks", func(t *testing.T) {
		sim := newSimulation(t, 3)
		step := batch(4, 20)
		step.Gang = true
		sim.submit("a", 0, step)
		sim.submit("b", 0, batch(3, 30))
		sim.plan()
		assert.Equal(t, len(sim.runs), 3)
	})
	t.Run("workers with the preferred label come first", func(t *testing.T) {
		sim := newSimulation(t, 8)
		step := batch(4, 8)
		step.PreferredLabel = "rack-1"
		sim.submit("a", 0, step)
		sim.plan()
		for _, run := range sim.runs {
			assert.Equal(t, sim.state.Worker(run.live.Run.Worker).Rack, "rack-1")
		}
	})
	t.Run("a worker without the required label gets no task", func(t *testing.T) {
		sim := newSimulation(t, 2)
		step := batch(1, 1)
		step.RequiredLabel = "b"
		sim.submit("a", 0, step)
		sim.plan()
		assert.Equal(t, len(sim.runs), 0)
	})
	t.Run("an occurrence does not start before it is due", func(t *testing.T) {
		sim := newSimulation(t, 2)
		due := epochMillis + sim.now.Milliseconds() + 5000
		sim.apply(pimjob.Submit{
			Submission: pimjob.Submission{
				ID: "a", Steps: []pimjob.Step{batch(1, 1)}, StartAt: due,
				Interval: 2 * time.Second, Repeat: 3,
			},
			Queue: pimjob.Queue{Name: "q", Service: "svc", Attempts: 1},
		})
		assert.Equal(t, sim.plan().NextDue, due)
		sim.run(4900 * time.Millisecond)
		assert.Equal(t, len(sim.runs), 0)
		sim.run(300 * time.Millisecond)
		assert.Equal(t, len(sim.runs), 1)
		sim.run(6 * time.Second)
		assert.Equal(t, sim.state.Job("a").State, pimjob.Completed)
	})
	t.Run("a starved best-effort job does not wait for a better host", func(t *testing.T) {
		sim := newSimulation(t, 1)
		sim.interference["sensitive"] = map[string]float64{"noisy": 0.4}
		sim.submit("serve", 0, serving("sensitive", 4))
		sim.plan()
		for i := range 6 {
			sim.submit(fmt.Sprintf("batch-%d", i), 2, bestEffort("noisy", 1))
			sim.run(time.Second)
		}
		sim.submit("last", 2, bestEffort("noisy", 2))
		sim.run(1500 * time.Millisecond)
		found := slices.ContainsFunc(sim.keys(), func(k pimjob.TaskKey) bool { return k.Job == "last" })
		assert.Assert(t, found || sim.state.Job("last").State == pimjob.Completed)
	})
}

func TestFailingAndSlowWorkers(t *testing.T) {
	fail := func(sim *simulation, match func(run *simulatedRun) bool) {
		var ops []pimjob.Op
		for _, key := range sim.keys() {
			if run := sim.runs[key]; match(run) {
				ops = append(ops, pimjob.End{
					Key: key, Number: run.live.Run.Number, Worker: run.live.Run.Worker,
					Generation: 1, Kind: pimjob.EndFailed,
				})
			}
		}
		sim.apply(ops...)
	}
	for name, speed := range map[string]float64{"stall": 0, "are slow": 0.14} {
		t.Run("runs on workers that "+name+" are moved", func(t *testing.T) {
			sim := newSimulation(t, 8)
			sim.speeds["w00"], sim.speeds["w01"] = speed, speed
			long := batch(8, 4)
			long.Estimate = 3 * time.Second
			for i := range 10 {
				sim.submit(fmt.Sprintf("job-%d", i), 0, long)
				sim.run(500 * time.Millisecond)
			}
			sim.run(7 * time.Second)
			for i := range 10 {
				assert.Equal(t, sim.state.Job(fmt.Sprintf("job-%d", i)).State, pimjob.Completed)
			}
			assert.Assert(t, sim.ends[pimjob.EndStopped] < 40, "%d runs stopped", sim.ends[pimjob.EndStopped])
		})
	}
	t.Run("a long-running task goes to a worker that is backing off if there is no other", func(t *testing.T) {
		sim := newSimulation(t, 1)
		for i := range 4 {
			sim.submit(fmt.Sprintf("job-%d", i), 0, batch(1, 1))
			sim.plan()
			fail(sim, func(*simulatedRun) bool { return true })
		}
		sim.submit("plain", 0, batch(1, 1))
		sim.submit("serve", 0, serving("any", 1))
		sim.plan()
		assert.Equal(t, len(sim.runs), 1)
		assert.Equal(t, sim.keys()[0].Job, "serve")
	})
	t.Run("a task that reads remote data does not make its worker count as slow", func(t *testing.T) {
		sim := newSimulation(t, 8)
		for i := range 8 {
			sim.speeds[fmt.Sprintf("w%02d", i)] = 0.28
		}
		step := batch(4, 2)
		step.PreferredLabel, step.Estimate = "rack-nowhere", 3*time.Second
		sim.submit("a", 0, step)
		sim.run(8 * time.Second)
		assert.Equal(t, sim.ends[pimjob.EndStopped], 0)
	})
	t.Run("a job that all workers refuse is not started all the time", func(t *testing.T) {
		sim := newSimulation(t, 4)
		sim.submit("unwanted", 0, batch(1, 1))
		for range 50 {
			sim.run(100 * time.Millisecond)
			for _, key := range sim.keys() {
				run := sim.runs[key].live.Run
				sim.apply(pimjob.End{
					Key: key, Number: run.Number, Worker: run.Worker, Generation: 1, Kind: pimjob.EndRefused,
				})
			}
		}
		assert.Assert(t, sim.ends[pimjob.EndRefused] <= 5*8+8, "%d starts were refused", sim.ends[pimjob.EndRefused])
		assert.Assert(t, sim.ends[pimjob.EndRefused] >= 8, "%d starts were refused", sim.ends[pimjob.EndRefused])
	})
	t.Run("runs on a healthy worker are not moved", func(t *testing.T) {
		sim := newSimulation(t, 4)
		for i := range 30 {
			sim.submit(fmt.Sprintf("job-%02d", i), 0, batch(8, 3), bestEffort("any", 4))
			sim.run(500 * time.Millisecond)
		}
		assert.Equal(t, sim.ends[pimjob.EndStopped], 0)
	})
	t.Run("a worker that fails the tasks of several jobs is avoided", func(t *testing.T) {
		sim := newSimulation(t, 4)
		for i := range 12 {
			sim.submit(fmt.Sprintf("job-%02d", i), 0, batch(4, 1))
			sim.plan()
			fail(sim, func(run *simulatedRun) bool { return run.live.Run.Worker == "w00" })
			sim.run(300 * time.Millisecond)
		}
		assert.Assert(t, sim.ends[pimjob.EndFailed] < 12, "%d runs failed", sim.ends[pimjob.EndFailed])
	})
	t.Run("a job that fails everywhere does not make workers back off", func(t *testing.T) {
		sim := newSimulation(t, 4)
		sim.submit("poison", 0, batch(12, 1))
		sim.plan()
		fail(sim, func(run *simulatedRun) bool { return run.live.Key.Job == "poison" })
		sim.submit("good", 0, batch(16, 8))
		sim.plan()
		workers := map[string]bool{}
		for _, run := range sim.runs {
			workers[run.live.Run.Worker] = true
		}
		assert.Equal(t, len(workers), 4)
	})
}

// TestChangedCapacity guards against starts on a host whose capacity has shrunk below what its runs use, runs that are being
// stopped included, and against room that stays unused once the capacity has grown again.
func TestChangedCapacity(t *testing.T) {
	sim := newSimulation(t, 1)
	resize := func(cores int64) {
		worker := *sim.state.Worker("w00")
		worker.Capacity.Millicores = cores * 1000
		sim.apply(pimjob.PutWorker{Worker: worker})
	}
	sim.submit("first", 0, lasting(batch(4, 4), time.Minute))
	sim.run(tickInterval)
	assert.Equal(t, len(sim.runs), 4)
	resize(14)
	sim.submit("second", 0, lasting(batch(8, 2), time.Minute))
	sim.run(time.Second)
	assert.Equal(t, len(sim.runs), 4, "16 cores are in use, 14 left")
	resize(19)
	sim.run(time.Second)
	assert.Equal(t, len(sim.runs), 5)
	resize(hostCores)
	sim.run(time.Second)
	assert.Equal(t, len(sim.runs), 12)
}

// Guards against plans that start all tasks of a large job at once, ahead of the jobs that come after it.
func TestLimitedStarts(t *testing.T) {
	t.Run("the limit is for the whole plan", func(t *testing.T) {
		sim := newSimulation(t, 4)
		sim.submit("large", 1, batch(20, 1))
		sim.submit("other", 1, batch(20, 1))
		sim.planner.LimitStarts(5)
		plan := sim.planner.Plan(sim.now, epochMillis)
		assert.Equal(t, len(plan.Starts), 5)
		assert.Assert(t, plan.Limited)
		sim.planner.LimitStarts(0)
		assert.Equal(t, len(sim.planner.Plan(sim.now, epochMillis).Starts), 0)
		sim.planner.LimitStarts(100)
		plan = sim.planner.Plan(sim.now, epochMillis)
		assert.Equal(t, len(plan.Starts), 40)
		assert.Assert(t, !plan.Limited)
	})
	t.Run("a job of a higher priority comes first", func(t *testing.T) {
		sim := newSimulation(t, 4)
		sim.submit("large", 1, batch(20, 1))
		sim.planner.LimitStarts(5)
		assert.Equal(t, len(sim.plan().Starts), 5)
		sim.submit("urgent", 0, batch(4, 1))
		starts := sim.plan().Starts
		assert.Equal(t, len(starts), 5)
		for _, start := range starts[:4] {
			assert.Equal(t, start.Key.Job, "urgent")
		}
	})
	t.Run("a gang starts as a whole", func(t *testing.T) {
		sim := newSimulation(t, 4)
		gang := batch(20, 1)
		gang.Gang = true
		sim.submit("gang", 1, gang)
		sim.planner.LimitStarts(5)
		assert.Equal(t, len(sim.plan().Starts), 20)
	})
}
