package pimplan

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

// randomFleet changes workers and runs at random.
type randomFleet struct {
	random   *rand.Rand
	state    *pimjob.State
	planner  *Planner
	now      time.Duration
	unusable map[string]bool
	jobs     int
}

// IsUsable, ObservedRuns and TakeUpdatedWorkers implement Workers.
func (f *randomFleet) IsUsable(id string, _ time.Duration) bool   { return !f.unusable[id] }
func (f *randomFleet) ObservedRuns(string) []pimfleet.ObservedRun { return nil }
func (f *randomFleet) StaysUntil(string) (time.Duration, bool)    { return 0, false }

func (f *randomFleet) TakeUpdatedWorkers() []string { return nil }
func (f *randomFleet) pick(names ...string) string  { return names[f.random.IntN(len(names))] }

func (f *randomFleet) resources(cores, memory, gpus int64) (r pimjob.Resources) {
	r.Millicores, r.MemoryMB, r.GPUs = 1000+1000*f.random.Int64N(cores), 1000*f.random.Int64N(memory), f.random.Int64N(gpus)
	return r
}

func (f *randomFleet) apply(ops ...pimjob.Op) {
	f.planner.OnChanges(f.state.Apply(f.now.Milliseconds(), ops), f.now)
}

func (f *randomFleet) putWorker(id string) {
	worker := pimjob.Worker{
		ID: id, Generation: int64(f.jobs) + 1, Service: f.pick("a", "a", "b"), Domain: "east", Rack: f.pick("r1", "r2", "r3"),
		Labels: []string{f.pick("x", "y")}, Capacity: f.resources(32, 64, 3),
	}
	if known := f.state.Worker(id); known != nil {
		worker.Generation = known.Generation
		switch f.random.IntN(3) {
		case 0:
			worker.Generation += int64(f.jobs) + 1
		case 1:
			worker, worker.Draining = *known, !known.Draining
		default:
			worker.Capacity = known.Capacity
		}
	}
	f.apply(pimjob.PutWorker{Worker: worker})
}

func (f *randomFleet) submit() {
	step := pimjob.Step{Count: 1 + f.random.IntN(6), Need: f.resources(8, 8, 2), Estimate: time.Second, Image: "image"}
	switch f.random.IntN(8) {
	case 0:
		step.BestEffort = true
	case 1:
		step.LongRunning, step.TargetLatency = true, 20*time.Millisecond
	case 2:
		step.MaxPerWorker = 1
	case 3:
		step.PreferredLabel = f.pick("x", "y")
	case 4:
		step.RequiredLabel = f.pick("x", "y")
	}
	f.jobs++
	f.apply(pimjob.Submit{
		Submission: pimjob.Submission{ID: fmt.Sprintf("job-%d", f.jobs), Steps: []pimjob.Step{step}},
		Queue: pimjob.Queue{
			Name: "q", Service: f.pick("a", "b"), Attempts: 9, Priority: f.random.IntN(2), Stretch: 2, Objective: time.Second,
		},
	})
}

// endRuns ends the runs of a worker.
func (f *randomFleet) endRuns(id string, kind pimjob.EndKind) {
	var ops []pimjob.Op
	for key, live := range f.state.RunsOn(id) {
		ops = append(ops, pimjob.End{
			Key: key, Number: live.Run.Number, Worker: id, Generation: live.Run.Generation, Kind: kind,
		})
	}
	slices.SortFunc(ops, func(a, b pimjob.Op) int { return pimjob.CompareKeys(a.(pimjob.End).Key, b.(pimjob.End).Key) })
	f.apply(ops...)
}

func (f *randomFleet) change(workers int) {
	id := fmt.Sprintf("w%04d", f.random.IntN(workers))
	switch f.random.IntN(8) {
	case 0:
		f.putWorker(id)
	case 1:
		if worker := f.state.Worker(id); worker != nil {
			f.apply(pimjob.DropWorker{ID: id, Generation: worker.Generation})
		}
	case 2:
		f.unusable[id] = !f.unusable[id]
	case 3:
		f.endRuns(id, pimjob.EndFailed)
	case 4:
		f.endRuns(id, pimjob.EndDone)
	default:
		f.submit()
	}
}

// checkIndex compares the index with a full pass over the hosts.
func (f *randomFleet) checkIndex(t *testing.T) {
	p := f.planner
	need := pimjob.Step{Need: f.resources(16, 32, 3)}
	job := &pimjob.Job{Queue: pimjob.Queue{Service: "a"}}
	var want, got []string
	// This comes first, as it updates which hosts are schedulable.
	p.eachWithRoom(job, &need, func(h *host) bool {
		got = append(got, h.worker.ID)
		return true
	})
	var total, free, schedulable, known pimjob.Resources
	for id, h := range p.hosts {
		known = known.Plus(h.worker.Capacity)
		if h.schedulable {
			schedulable = schedulable.Plus(h.worker.Capacity)
		}
		if h.worker.Service != "a" {
			continue
		}
		total = total.Plus(positive(h.free, 1))
		if h.schedulable && !h.backingOff {
			free = free.Plus(h.free)
		}
		if p.isSchedulable(h, f.now) && !h.backingOff && h.free.Fits(need.Need) {
			want = append(want, id)
		}
	}
	slices.Sort(want)
	assert.DeepEqual(t, got, want)
	assert.Equal(t, len(p.index.sorted), len(p.hosts))
	assert.Equal(t, p.index.known, known)
	assert.Equal(t, p.index.schedulable, schedulable)
	assert.Equal(t, p.index.pools["a"].total, total)
	assert.Equal(t, p.index.pools["a"].free, free)
}

// checkWaiting checks that no host can take a task that waits after the starts of a plan, other than a suspect whose job has
// another one under observation.
func (f *randomFleet) checkWaiting(t *testing.T) {
	p := f.planner
	for _, job := range f.state.OpenJobs() {
		for _, c := range appendCandidates(nil, job, 0) {
			step := &job.Submission.Steps[0]
			c.tasks = slices.DeleteFunc(c.tasks, func(index int) bool {
				return f.now < p.isolation.observedUntil[c.key.job] && p.isSuspect(c.taskKey(index))
			})
			if len(c.tasks) == 0 {
				continue
			}
			for id, h := range p.hosts {
				if p.isSchedulable(h, f.now) && p.mayRunOn(job, step, h) {
					_, ok := p.score(c, step, h)
					assert.Assert(t, !ok, "step %v waits while %s has room", c.key, id)
				}
			}
		}
	}
}

// TestIndexAgainstFullPass guards against an index that loses hosts or keeps lost ones, by which capacity would stay idle
// without a sign of it, and against tasks that wait while a host that was not in a sample fits them.
func TestIndexAgainstFullPass(t *testing.T) {
	for workers, seeds := range map[int]uint64{20: 20, 900: 3} {
		for seed := range seeds {
			t.Run(fmt.Sprintf("%d workers, seed %d", workers, seed), func(t *testing.T) {
				f := &randomFleet{
					random: rand.New(rand.NewPCG(seed, 1)), state: pimjob.NewState(), now: time.Minute, unusable: map[string]bool{},
				}
				f.planner = NewPlanner(f.state, f)
				for i := range workers * 9 / 10 {
					f.putWorker(fmt.Sprintf("w%04d", i))
				}
				starts := 0
				for range 30 {
					for range 1 + f.random.IntN(workers/4) {
						f.change(workers)
					}
					f.now += time.Duration(f.random.IntN(1500)) * time.Millisecond
					for _, start := range f.planner.Plan(f.now, f.now.Milliseconds()).Starts {
						f.apply(start)
						starts++
					}
					f.checkWaiting(t)
					f.checkIndex(t)
				}
				assert.Assert(t, starts > workers/2, "%d starts, %d jobs", starts, f.jobs)
			})
		}
	}
}

// TestReservedHostsAreReleased guards against hosts that stay closed to new runs because the organisations for whose jobs they
// were reserved have been removed.
func TestReservedHostsAreReleased(t *testing.T) {
	f := &randomFleet{random: rand.New(rand.NewPCG(1, 1)), state: pimjob.NewState(), now: time.Minute, unusable: map[string]bool{}}
	f.planner = NewPlanner(f.state, f)
	f.apply(pimjob.PutWorker{
		Worker: pimjob.Worker{ID: "w", Generation: 1, Service: "a", Capacity: pimjob.Resources{Millicores: 4000}},
	})
	f.planner.Plan(f.now, f.now.Milliseconds())
	f.planner.index.reserve(f.planner.hosts["w"])
	f.apply(pimjob.Submit{
		Submission: pimjob.Submission{ID: "job", Steps: []pimjob.Step{{Count: 1, Need: pimjob.Resources{Millicores: 1000}}}},
		Queue:      pimjob.Queue{Name: "q", Service: "a", Attempts: 1, Objective: time.Second},
	})
	assert.Equal(t, len(f.planner.Plan(f.now, f.now.Milliseconds()).Starts), 1)
}
