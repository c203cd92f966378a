package pimplan_test

import (
	"fmt"
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
	// simulation runs a planner in virtual time against a small model of workers on which what
	// fills disturbs what serves.
	simulation struct {
		t        *testing.T
		random   *rand.Rand
		state    *pimjob.State
		planner  *pimplan.Planner
		now      time.Duration
		runs     map[pimjob.TaskKey]*simulatedRun
		updated  []string
		unusable map[string]bool
		// speeds is that of a worker's runs, 1 where it is not named.
		speeds map[string]float64
		// remainingWork are the core-seconds that stopped runs with checkpoints had left.
		remainingWork map[pimjob.TaskKey]float64
		// interference is the room that a core of a filling image takes from a serving image.
		interference map[string]map[string]float64
		// timeOverTarget counts seconds of serving tasks timeOverTarget their target, and bestEffortDone filling core-seconds.
		timeOverTarget, bestEffortDone float64
		ends                           map[pimjob.EndKind]int
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
	}
)

const (
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
	l := &simulation{
		t: t, random: rand.New(rand.NewPCG(1, 2)), state: pimjob.NewState(), now: time.Minute, runs: map[pimjob.TaskKey]*simulatedRun{},
		interference: map[string]map[string]float64{}, ends: map[pimjob.EndKind]int{}, unusable: map[string]bool{}, speeds: map[string]float64{}, remainingWork: map[pimjob.TaskKey]float64{},
	}
	for i := range workers {
		l.state.Apply(epochMillis, []pimjob.Op{pimjob.PutWorker{Worker: pimjob.Worker{
			ID: fmt.Sprintf("w%02d", i), Generation: 1, Service: "svc", Domain: "east", Rack: fmt.Sprintf("rack-%d", i/4), Labels: []string{"a", fmt.Sprintf("rack-%d", i/4)},
			Capacity: pimjob.Resources{Millicores: hostCores * 1000, MemoryMB: 128_000},
		}}})
	}
	l.planner = pimplan.NewPlanner(l.state, l)
	return l
}

// IsUsable, Rows and TakeFresh make the load what a fleet is to a planner.
func (l *simulation) IsUsable(id string, _ time.Duration) bool { return !l.unusable[id] }

func (l *simulation) ObservedRuns(id string) []pimfleet.ObservedRun {
	var rows []pimfleet.ObservedRun
	for _, key := range l.keys() {
		run := l.runs[key]
		if run.live.Run.Worker != id {
			continue
		}
		gauge := run.usedCores * 1000
		_, step, _ := l.state.Task(key)
		if step.TargetLatency > 0 {
			gauge = run.tailMillis
		}
		percent := int(100 - 100*run.remainingWork/max(0.001, step.Estimate.Seconds()*float64(step.Need.Millicores)/1000))
		if percent != run.reportedPercent || run.progressedAt == 0 {
			run.reportedPercent, run.progressedAt = percent, l.now
		}
		row := pimfleet.RunStatus{Key: key, Number: run.live.Run.Number, Metric: gauge, ProgressPercent: percent}
		rows = append(rows, pimfleet.ObservedRun{Status: row, ListedAt: l.now, SpeedPercent: run.speedPercent, ProgressedAt: run.progressedAt})
	}
	return rows
}

func (l *simulation) TakeUpdatedWorkers() []string {
	fresh := l.updated
	l.updated = nil
	return fresh
}

func (l *simulation) keys() []pimjob.TaskKey {
	keys := make([]pimjob.TaskKey, 0, len(l.runs))
	for key := range l.runs {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, pimjob.CompareKeys)
	return keys
}

func (l *simulation) apply(ops ...pimjob.Op) {
	changes := l.state.Apply(epochMillis+l.now.Milliseconds(), ops)
	for _, change := range changes {
		switch change := change.(type) {
		case pimjob.RunStarted:
			_, step, _ := l.state.Task(change.Live.Key)
			left, ok := l.remainingWork[change.Live.Key]
			if !ok {
				left = step.Estimate.Seconds() * float64(step.Need.Millicores) / 1000
			}
			l.runs[change.Live.Key] = &simulatedRun{live: change.Live, speedPercent: 100, remainingWork: left, phase: l.random.Float64() * 2 * math.Pi}
		case pimjob.RunEnded:
			l.ends[change.Kind]++
			if _, step, _ := l.state.Task(change.Live.Key); step.Checkpoints {
				l.remainingWork[change.Live.Key] = l.runs[change.Live.Key].remainingWork
			}
			delete(l.runs, change.Live.Key)
		}
	}
	l.planner.OnChanges(changes, l.now)
}

func (l *simulation) submit(id string, priority int, steps ...pimjob.Step) {
	l.apply(pimjob.Submit{
		Submission: pimjob.Submission{ID: id, Spec: "s", Steps: steps},
		Queue:      pimjob.Queue{Name: "q", Service: "svc", Attempts: 3, Priority: priority, Stretch: 2, Objective: time.Second},
	})
}

func serving(image string, count int) pimjob.Step {
	return pimjob.Step{Count: count, Need: pimjob.Resources{Millicores: 6400, MemoryMB: 13_000}, Image: image, TargetLatency: targetTail, LongRunning: true}
}

func bestEffort(image string, count int) pimjob.Step {
	return pimjob.Step{Count: count, Need: pimjob.Resources{Millicores: 3500, MemoryMB: 6400}, Image: image, BestEffort: true, Estimate: 3 * time.Second}
}

func withCheckpoints(step pimjob.Step) pimjob.Step {
	step.Checkpoints = true
	return step
}

func batch(count int, cores int64) pimjob.Step {
	return pimjob.Step{Count: count, Need: pimjob.Resources{Millicores: cores * 1000, MemoryMB: 1000}, Estimate: time.Second}
}

// plan plans once and carries the plan out.
func (l *simulation) plan() pimplan.Plan {
	plan := l.planner.Plan(l.now, epochMillis+l.now.Milliseconds())
	for _, start := range plan.Starts {
		l.apply(start)
	}
	for _, stop := range plan.Stops {
		if run := l.runs[stop.Key]; run != nil {
			l.apply(pimjob.End{Key: stop.Key, Number: stop.Number, Worker: stop.Worker, Generation: 1, Kind: pimjob.EndStopped})
		}
	}
	for _, pace := range plan.Throttles {
		if run := l.runs[pace.Key]; run != nil {
			run.speedPercent = pace.SpeedPercent
		}
	}
	return plan
}

// run lets time pass; each host lists its runs once a second.
func (l *simulation) run(duration time.Duration) {
	for end := l.now + duration; l.now < end; l.now += tickInterval {
		l.advance()
		for i, worker := range l.state.Workers() {
			if (l.now+time.Duration(i)*70*time.Millisecond)%reportInterval < tickInterval {
				l.updated = append(l.updated, worker.ID)
			}
		}
		l.plan()
	}
}

// advance moves all runs on by one step of time.
func (l *simulation) advance() {
	used := map[string]map[string]float64{}
	for _, key := range l.keys() {
		run := l.runs[key]
		_, step, _ := l.state.Task(key)
		if !step.BestEffort {
			continue
		}
		run.usedCores = float64(step.Need.Millicores) / 1000 * float64(run.speedPercent) / 100 * l.speedOf(run)
		host := used[run.live.Run.Worker]
		if host == nil {
			host = map[string]float64{}
			used[run.live.Run.Worker] = host
		}
		host[step.Image] += run.usedCores
	}
	var ended []pimjob.Op
	for _, key := range l.keys() {
		run := l.runs[key]
		_, step, _ := l.state.Task(key)
		switch {
		case step.TargetLatency > 0:
			l.updateTail(run, step, used[run.live.Run.Worker])
			continue
		case step.BestEffort:
			l.bestEffortDone += run.usedCores * tickInterval.Seconds()
			run.remainingWork -= run.usedCores * tickInterval.Seconds()
		default:
			run.remainingWork -= float64(step.Need.Millicores) / 1000 * tickInterval.Seconds() * l.speedOf(run)
		}
		if run.remainingWork <= 0 && !step.LongRunning {
			ended = append(ended, pimjob.End{Key: key, Number: run.live.Run.Number, Worker: run.live.Run.Worker, Generation: 1, Kind: pimjob.EndDone})
		}
	}
	l.apply(ended...)
}

func (l *simulation) speedOf(run *simulatedRun) float64 {
	if speed, ok := l.speeds[run.live.Run.Worker]; ok {
		return speed
	}
	return 1
}

func (l *simulation) updateTail(run *simulatedRun, step *pimjob.Step, used map[string]float64) {
	swing := 1 + loadAmplitude*math.Sin(run.phase+2*math.Pi*l.now.Seconds()/loadPeriod)
	room := idleHeadroom * (1 - meanServingLoad*swing)
	for image, cores := range used {
		room -= l.interference[step.Image][image] * cores
	}
	run.tailMillis = float64(targetTail.Milliseconds()) / max(0.05, room)
	if room < 1 {
		l.timeOverTarget += tickInterval.Seconds()
	}
}

// TestInterferingImages is the load of the calm days of both users: filling images of which
// each disturbs some serving images and leaves others alone.
func TestInterferingImages(t *testing.T) {
	l := newSimulation(t, 16)
	l.interference["touchy"] = map[string]float64{"loud": 0.2}
	l.interference["calm"] = map[string]float64{"loud": 0.005, "quiet": 0.005}
	for i := range 8 {
		l.submit(fmt.Sprintf("serve-%d", i), 0, serving([]string{"touchy", "calm"}[i%2], 6))
	}
	l.plan()
	for i := range 60 {
		l.submit(fmt.Sprintf("fill-%02d", i), 2, bestEffort([]string{"loud", "quiet"}[i%2], 8))
		l.run(500 * time.Millisecond)
	}
	l.timeOverTarget, l.bestEffortDone = 0, 0
	offered := 0.0
	for i := range 60 {
		l.submit(fmt.Sprintf("more-%02d", i), 2, bestEffort([]string{"loud", "quiet"}[i%2], 8))
		offered += 8 * 3.5 * 3
		l.run(500 * time.Millisecond)
	}
	// 48 serving tasks for 30 s; the platform's bound for one is 4 s on end.
	assert.Assert(t, l.timeOverTarget < 0.01*48*30, "serving tasks were over their target for %.1f s", l.timeOverTarget)
	assert.Assert(t, l.bestEffortDone > 0.9*offered, "%.0f of %.0f core-seconds were done", l.bestEffortDone, offered)
}

// TestSlowBestEffortRuns is the load of the users' days with a burst of batch jobs beside serving tasks that
// need their hosts: a few filling tasks that are slowed keep their whole jobs from being done.
func TestSlowBestEffortRuns(t *testing.T) {
	for _, step := range []pimjob.Step{bestEffort("any", 4), withCheckpoints(bestEffort("any", 4))} {
		t.Run(fmt.Sprintf("are moved, checkpoints %v", step.Checkpoints), func(t *testing.T) {
			l := newSimulation(t, 8)
			l.speeds["w00"] = 0.1
			for i := range 12 {
				l.submit(fmt.Sprintf("job-%02d", i), 2, step)
			}
			// The objective of the jobs is 7 s.
			l.run(7 * time.Second)
			for i := range 12 {
				assert.Equal(t, l.state.Job(fmt.Sprintf("job-%02d", i)).State, pimjob.Completed)
			}
		})
	}
	t.Run("stay where they are done sooner", func(t *testing.T) {
		l := newSimulation(t, 8)
		l.speeds["w00"] = 0.34
		step := bestEffort("any", 8)
		step.Estimate = time.Second
		l.submit("short", 2, step)
		l.run(4 * time.Second)
		assert.Equal(t, l.state.Job("short").State, pimjob.Completed)
		assert.Equal(t, l.ends[pimjob.EndStopped], 0)
	})
}

func TestPlace(t *testing.T) {
	t.Run("no host gets more than it holds", func(t *testing.T) {
		l := newSimulation(t, 3)
		l.submit("a", 0, batch(40, 5))
		l.plan()
		assert.Equal(t, len(l.runs), 3*6)
	})
	t.Run("the queue with the lower number comes first", func(t *testing.T) {
		l := newSimulation(t, 1)
		l.submit("later", 2, batch(10, 16))
		l.submit("first", 0, batch(2, 16))
		l.plan()
		for _, key := range l.keys() {
			assert.Equal(t, key.Job, "first")
		}
	})
	t.Run("a task that lasts and lost its worker goes before later jobs of its priority", func(t *testing.T) {
		l := newSimulation(t, 1)
		l.submit("serve", 0, serving("any", 1))
		l.plan()
		l.run(20 * time.Second)
		key := pimjob.TaskKey{Job: "serve"}
		for i := range 20 {
			l.submit(fmt.Sprintf("job-%02d", i), 0, batch(4, 8))
		}
		l.plan()
		l.apply(pimjob.End{Key: key, Number: 1, Worker: "w00", Generation: 1, Kind: pimjob.EndFailed})
		l.run(3 * time.Second)
		assert.Assert(t, l.runs[key] != nil)
	})
	t.Run("at most so many tasks of a step go to one host", func(t *testing.T) {
		l := newSimulation(t, 4)
		step := batch(20, 1)
		step.MaxPerWorker = 2
		l.submit("a", 0, step)
		l.plan()
		assert.Equal(t, len(l.runs), 8)
	})
	t.Run("a gang starts as a whole, on one rack", func(t *testing.T) {
		l := newSimulation(t, 8)
		step := batch(4, 20)
		step.Gang, step.SameRack = true, true
		l.submit("a", 0, step)
		l.plan()
		assert.Equal(t, len(l.runs), 4)
		racks := map[string]bool{}
		for _, run := range l.runs {
			racks[l.state.Worker(run.live.Run.Worker).Rack] = true
			assert.Equal(t, run.live.Run.Number, 1)
		}
		assert.Equal(t, len(racks), 1)
	})
	t.Run("a gang without room for all does not start", func(t *testing.T) {
		l := newSimulation(t, 3)
		step := batch(4, 20)
		step.Gang = true
		l.submit("a", 0, step)
		l.submit("b", 0, batch(3, 30))
		l.plan()
		assert.Equal(t, len(l.runs), 3)
	})
	t.Run("data's rack is taken where it has room", func(t *testing.T) {
		l := newSimulation(t, 8)
		step := batch(4, 8)
		step.PreferredLabel = "rack-1"
		l.submit("a", 0, step)
		l.plan()
		for _, run := range l.runs {
			assert.Equal(t, l.state.Worker(run.live.Run.Worker).Rack, "rack-1")
		}
	})
	t.Run("a worker without the label gets nothing", func(t *testing.T) {
		l := newSimulation(t, 2)
		step := batch(1, 1)
		step.RequiredLabel = "b"
		l.submit("a", 0, step)
		l.plan()
		assert.Equal(t, len(l.runs), 0)
	})
	t.Run("an occurrence waits for its time", func(t *testing.T) {
		l := newSimulation(t, 2)
		due := epochMillis + l.now.Milliseconds() + 5000
		l.apply(pimjob.Submit{
			Submission: pimjob.Submission{ID: "a", Steps: []pimjob.Step{batch(1, 1)}, StartAt: due, Interval: 2 * time.Second, Repeat: 3},
			Queue:      pimjob.Queue{Name: "q", Service: "svc", Attempts: 1},
		})
		assert.Equal(t, l.plan().NextDue, due)
		l.run(4900 * time.Millisecond)
		assert.Equal(t, len(l.runs), 0)
		l.run(300 * time.Millisecond)
		assert.Equal(t, len(l.runs), 1)
		l.run(6 * time.Second)
		assert.Equal(t, l.state.Job("a").State, pimjob.Completed)
	})
	t.Run("a filling job with nothing running does not wait for a better host for long", func(t *testing.T) {
		l := newSimulation(t, 1)
		l.interference["touchy"] = map[string]float64{"loud": 0.4}
		l.submit("serve", 0, serving("touchy", 4))
		l.plan()
		for i := range 6 {
			l.submit(fmt.Sprintf("fill-%d", i), 2, bestEffort("loud", 1))
			l.run(time.Second)
		}
		l.submit("last", 2, bestEffort("loud", 2))
		l.run(1500 * time.Millisecond)
		found := slices.ContainsFunc(l.keys(), func(k pimjob.TaskKey) bool { return k.Job == "last" })
		assert.Assert(t, found || l.state.Job("last").State == pimjob.Completed)
	})
}

func TestFailingAndSlowWorkers(t *testing.T) {
	fail := func(l *simulation, match func(run *simulatedRun) bool) {
		var ops []pimjob.Op
		for _, key := range l.keys() {
			if run := l.runs[key]; match(run) {
				ops = append(ops, pimjob.End{Key: key, Number: run.live.Run.Number, Worker: run.live.Run.Worker, Generation: 1, Kind: pimjob.EndFailed})
			}
		}
		l.apply(ops...)
	}
	for name, speed := range map[string]float64{"stand still": 0, "are slow": 0.14} {
		t.Run("runs on workers that "+name+" are moved", func(t *testing.T) {
			l := newSimulation(t, 8)
			l.speeds["w00"], l.speeds["w01"] = speed, speed
			long := batch(8, 4)
			long.Estimate = 3 * time.Second
			for i := range 10 {
				l.submit(fmt.Sprintf("job-%d", i), 0, long)
				l.run(500 * time.Millisecond)
			}
			l.run(7 * time.Second)
			for i := range 10 {
				assert.Equal(t, l.state.Job(fmt.Sprintf("job-%d", i)).State, pimjob.Completed)
			}
			assert.Assert(t, l.ends[pimjob.EndStopped] < 40, "%d runs stopped", l.ends[pimjob.EndStopped])
		})
	}
	t.Run("a task that lasts goes to an avoided worker rather than nowhere", func(t *testing.T) {
		l := newSimulation(t, 1)
		for i := range 4 {
			l.submit(fmt.Sprintf("job-%d", i), 0, batch(1, 1))
			l.plan()
			fail(l, func(*simulatedRun) bool { return true })
		}
		l.submit("plain", 0, batch(1, 1))
		l.submit("serve", 0, serving("any", 1))
		l.plan()
		assert.Equal(t, len(l.runs), 1)
		assert.Equal(t, l.keys()[0].Job, "serve")
	})
	t.Run("a task away from its data does not make its worker slow", func(t *testing.T) {
		l := newSimulation(t, 8)
		for i := range 8 {
			l.speeds[fmt.Sprintf("w%02d", i)] = 0.28
		}
		step := batch(4, 2)
		step.PreferredLabel, step.Estimate = "rack-nowhere", 3*time.Second
		l.submit("a", 0, step)
		l.run(8 * time.Second)
		assert.Equal(t, l.ends[pimjob.EndStopped], 0)
	})
	t.Run("a job that all workers refuse does not keep them busy", func(t *testing.T) {
		l := newSimulation(t, 4)
		l.submit("unwanted", 0, batch(1, 1))
		for range 50 {
			l.run(100 * time.Millisecond)
			for _, key := range l.keys() {
				run := l.runs[key].live.Run
				l.apply(pimjob.End{Key: key, Number: run.Number, Worker: run.Worker, Generation: 1, Kind: pimjob.EndRefused})
			}
		}
		assert.Assert(t, l.ends[pimjob.EndRefused] <= 5*8+8, "%d starts were refused", l.ends[pimjob.EndRefused])
		assert.Assert(t, l.ends[pimjob.EndRefused] >= 8, "%d starts were refused", l.ends[pimjob.EndRefused])
	})
	t.Run("a sound worker's runs are not moved", func(t *testing.T) {
		l := newSimulation(t, 4)
		for i := range 30 {
			l.submit(fmt.Sprintf("job-%02d", i), 0, batch(8, 3), bestEffort("any", 4))
			l.run(500 * time.Millisecond)
		}
		assert.Equal(t, l.ends[pimjob.EndStopped], 0)
	})
	t.Run("a worker that fails the tasks of several jobs is avoided", func(t *testing.T) {
		l := newSimulation(t, 4)
		for i := range 12 {
			l.submit(fmt.Sprintf("job-%02d", i), 0, batch(4, 1))
			l.plan()
			fail(l, func(run *simulatedRun) bool { return run.live.Run.Worker == "w00" })
			l.run(300 * time.Millisecond)
		}
		assert.Assert(t, l.ends[pimjob.EndFailed] < 12, "%d runs failed", l.ends[pimjob.EndFailed])
	})
	t.Run("a job that fails everywhere keeps no worker from work", func(t *testing.T) {
		l := newSimulation(t, 4)
		l.submit("poison", 0, batch(12, 1))
		l.plan()
		fail(l, func(run *simulatedRun) bool { return run.live.Key.Job == "poison" })
		l.submit("good", 0, batch(16, 8))
		l.plan()
		workers := map[string]bool{}
		for _, run := range l.runs {
			workers[run.live.Run.Worker] = true
		}
		assert.Equal(t, len(workers), 4)
	})
}
