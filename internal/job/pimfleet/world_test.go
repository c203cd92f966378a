package pimfleet_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// fakeWorker follows the published rules for executors in virtual time.
	fakeWorker struct {
		id            string
		generation    int64
		startedAt     time.Duration
		fencingToken  uint64
		leaseDeadline time.Duration
		runs          map[pimjob.TaskKey]*fakeRun
		lastNumber    map[pimjob.TaskKey]int
		finished      []pimfleet.EndedRun
		sequence      int64
		down          bool
		partitioned   bool
		// neverFinishes keeps runs from being done.
		neverFinishes bool
	}

	fakeRun struct {
		number int
		doneAt time.Duration
		fails  bool
	}

	// delivery is a call on its way to a worker, or a result on its way back.
	delivery struct {
		at         time.Duration
		call       pimfleet.Call
		result     *pimfleet.Result
		fleet      *pimfleet.Fleet
		dropResult bool
	}

	// simulation runs fleets against fake workers and checks the promises at the workers.
	simulation struct {
		t       *testing.T
		random  *rand.Rand
		now     time.Duration
		state   *pimjob.State
		fleet   *pimfleet.Fleet
		term    uint64
		workers map[string]*fakeWorker
		queue   []delivery
		done    map[pimjob.TaskKey]bool
		starts  int
		// Faults: shares of calls.
		lostShare, lateShare float64
		// slowShare is the share of answers that others overtake, noCapacityShare that of starts without room.
		slowShare, noCapacityShare float64
		// ignoreGeneration workers tell lives apart by their id alone, and held is the share of orders
		// that arrive up to 400 ms later.
		ignoreGeneration bool
		delayedShare     float64
		// lostResultShare is the share of calls that are carried out and whose answer is lost.
		lostResultShare float64
	}
)

const (
	testLease         = 6 * time.Second
	tick              = 10 * time.Millisecond
	heartbeatInterval = 300 * time.Millisecond
	networkDelay      = 2 * time.Millisecond
	startMillis       = 1_700_000_000_000
)

var policy = pimfleet.Policy{Lease: testLease, Wait: 0}

func newSimulation(t *testing.T, seed uint64, workers ...string) *simulation {
	w := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), state: pimjob.NewState(), now: time.Second,
		workers: map[string]*fakeWorker{}, done: map[pimjob.TaskKey]bool{},
	}
	var ops []pimjob.Op
	for _, id := range workers {
		w.workers[id] = &fakeWorker{id: id, generation: 1}
		w.workers[id].reset(1, 0)
		ops = append(ops, pimjob.PutWorker{Worker: pimjob.Worker{ID: id, Generation: 1, Service: "svc", Capacity: pimjob.Resources{Millicores: 1 << 20, MemoryMB: 1 << 20}}})
	}
	w.state.Apply(startMillis, ops)
	w.elect()
	return w
}

func (f *fakeWorker) reset(born int64, now time.Duration) {
	f.generation, f.startedAt, f.fencingToken, f.leaseDeadline, f.sequence = born, now, 0, 0, 0
	f.runs, f.lastNumber, f.finished = map[pimjob.TaskKey]*fakeRun{}, map[pimjob.TaskKey]int{}, nil
}

func (f *fakeWorker) clock(now time.Duration) time.Duration {
	return now - f.startedAt + time.Millisecond
}

// elect lets a new leader take over from the present state.
func (w *simulation) elect() {
	w.term++
	w.fleet = pimfleet.NewFleet(policy, w.term, w.state, w.now)
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		worker := w.workers[id]
		w.fleet.OnHeartbeat(id, worker.generation, worker.clock(w.now), w.now)
	}
}

func (w *simulation) submit(id string, tasks int) {
	w.apply(pimjob.Submit{
		Submission: pimjob.Submission{ID: id, Spec: "s", Steps: []pimjob.Step{{Count: tasks, Estimate: time.Second}}},
		Queue:      pimjob.Queue{Name: "q", Service: "svc", Attempts: 1000},
	})
}

func (w *simulation) apply(ops ...pimjob.Op) {
	marks := w.fleet.PendingCursors()
	w.fleet.OnChanges(w.state.Apply(startMillis+w.now.Milliseconds(), ops), w.now)
	w.fleet.OnCommitted(marks, w.now)
}

// place starts every waiting task on a worker that answers.
func (w *simulation) place() {
	var ops []pimjob.Op
	for _, job := range w.state.OpenJobs() {
		for i, task := range job.Occurrences[0].Steps[0].Tasks {
			if task.Done || task.Run != nil {
				continue
			}
			var usable []*pimjob.Worker
			for _, worker := range w.state.Workers() {
				if w.fleet.IsUsable(worker.ID, w.now) {
					usable = append(usable, worker)
				}
			}
			if len(usable) == 0 {
				return
			}
			to := usable[w.random.IntN(len(usable))]
			ops = append(ops, pimjob.Start{Key: pimjob.TaskKey{Job: job.Submission.ID, Index: i}, Number: task.LastRun + 1, Worker: to.ID, Generation: to.Generation})
		}
	}
	if len(ops) > 0 {
		w.apply(ops...)
	}
}

// run lets the world go on.
func (w *simulation) run(duration time.Duration) {
	for end := w.now + duration; w.now < end; w.now += tick {
		for _, id := range slices.Sorted(maps.Keys(w.workers)) {
			w.workers[id].advance(w, w.now)
		}
		w.deliver()
		w.fleet.Tick(w.now)
		if w.now%heartbeatInterval < tick {
			w.heartbeat()
		}
		w.place()
		w.execute()
	}
}

// restart lets a worker crash and begin anew. Renewals on their way break with their connection.
func (w *simulation) restart(worker *fakeWorker) {
	worker.reset(worker.generation+1, w.now)
	for i, d := range w.queue {
		call := d.call
		if d.result != nil {
			call = d.result.Call
		}
		if _, ok := call.(pimfleet.RenewLease); ok && pimfleet.TargetOf(call).ID == worker.id {
			w.queue[i] = delivery{at: w.now + networkDelay, fleet: d.fleet, result: &pimfleet.Result{Call: call}}
		}
	}
}

// heartbeat lets workers whose life the state does not hold say so.
func (w *simulation) heartbeat() {
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		worker := w.workers[id]
		known := w.state.Worker(id)
		if known != nil && known.Generation == worker.generation {
			continue
		}
		if w.fleet.OnNewGeneration(id, worker.generation, w.now) {
			w.apply(pimjob.PutWorker{Worker: pimjob.Worker{
				ID: id, Generation: worker.generation, Service: "svc", Capacity: pimjob.Resources{Millicores: 1 << 20, MemoryMB: 1 << 20},
			}})
			w.fleet.OnHeartbeat(id, worker.generation, worker.clock(w.now), w.now)
		}
	}
}

func (w *simulation) execute() {
	for {
		calls, ops, _ := w.fleet.Take()
		for _, call := range calls {
			w.send(call)
		}
		if len(ops) == 0 {
			return
		}
		w.apply(ops...)
	}
}

func (w *simulation) send(call pimfleet.Call) {
	d := delivery{at: w.now + networkDelay, call: call, fleet: w.fleet}
	switch chance := w.random.Float64(); {
	case chance < w.lostShare:
		w.queue = append(w.queue, delivery{at: w.now + 500*time.Millisecond, fleet: w.fleet, result: &pimfleet.Result{Call: call}})
		return
	case chance < w.lostShare+w.lateShare:
		d.dropResult = true
		d.at = w.now + 2*time.Second + time.Duration(w.random.Int64N(int64(10*time.Second)))
	case chance < w.lostShare+w.lateShare+w.lostResultShare:
		d.dropResult = true
	}
	if _, renewal := call.(pimfleet.RenewLease); !renewal && w.random.Float64() < w.delayedShare {
		d.at += time.Duration(w.random.Int64N(int64(400 * time.Millisecond)))
	}
	if d.dropResult {
		w.queue = append(w.queue, delivery{at: w.now + 500*time.Millisecond, fleet: w.fleet, result: &pimfleet.Result{Call: call}})
	}
	w.queue = append(w.queue, d)
}

func (w *simulation) deliver() {
	for {
		at := slices.IndexFunc(w.queue, func(d delivery) bool { return d.at <= w.now })
		if at < 0 {
			return
		}
		d := w.queue[at]
		w.queue = slices.Delete(w.queue, at, at+1)
		if d.result != nil {
			if d.fleet == w.fleet {
				w.fleet.OnResult(*d.result, w.now)
			}
			continue
		}
		worker := w.workers[pimfleet.TargetOf(d.call).ID]
		result := pimfleet.Result{Call: d.call}
		back := w.now + networkDelay
		switch {
		case worker.down || worker.partitioned:
			back = w.now + 500*time.Millisecond
		case worker.generation != pimfleet.TargetOf(d.call).Generation && !w.ignoreGeneration:
			result.Outcome = pimfleet.OutcomeOtherGeneration
		default:
			result = worker.handle(w, d.call)
		}
		if w.random.Float64() < w.slowShare {
			back += time.Duration(w.random.Int64N(int64(400 * time.Millisecond)))
		}
		if !d.dropResult {
			w.queue = append(w.queue, delivery{at: back, fleet: d.fleet, result: &result})
		}
	}
}

// handle carries out a call as an executor does.
func (f *fakeWorker) handle(w *simulation, call pimfleet.Call) pimfleet.Result {
	result := pimfleet.Result{Call: call, Outcome: pimfleet.OutcomeExecuted, Clock: f.clock(w.now), Generation: f.generation}
	switch call := call.(type) {
	case pimfleet.RenewLease:
		if !f.checkToken(&result, call.Token) {
			return result
		}
		f.leaseDeadline = max(f.leaseDeadline, call.Deadline)
		f.finished = slices.DeleteFunc(f.finished, func(e pimfleet.EndedRun) bool {
			task, _, job := w.state.Task(e.Key)
			if e.Sequence <= call.Cursor && e.EndKind == pimjob.EndDone && !task.Done && job.State != pimjob.Cancelled {
				w.t.Errorf("at %v the end of task %v run %d on %s is acknowledged and not in the log", w.now, e.Key, e.Number, f.id)
			}
			return e.Sequence <= call.Cursor
		})
		for _, key := range slices.SortedFunc(maps.Keys(f.runs), pimjob.CompareKeys) {
			run := f.runs[key]
			result.Running = append(result.Running, pimfleet.RunStatus{Key: key, Number: run.number})
		}
		result.Ended = slices.Clone(f.finished)
	case pimfleet.StartRun:
		f.start(w, call, &result)
	case pimfleet.StopRun:
		if !f.checkToken(&result, call.Token) {
			return result
		}
		if run := f.runs[call.Key]; run != nil && run.number <= call.Number {
			f.end(call.Key, pimjob.EndStopped)
		}
		f.lastNumber[call.Key] = max(f.lastNumber[call.Key], call.Number)
	}
	return result
}

func (f *fakeWorker) checkToken(result *pimfleet.Result, token uint64) bool {
	if token < f.fencingToken {
		result.Outcome, result.Reason = pimfleet.OutcomeRejected, pimfleet.ReasonFenced
		return false
	}
	f.fencingToken = token
	return true
}

func (f *fakeWorker) start(w *simulation, call pimfleet.StartRun, result *pimfleet.Result) {
	if !f.checkToken(result, call.Token) {
		return
	}
	if run := f.runs[call.Key]; run != nil && run.number == call.Number {
		return
	}
	switch {
	case f.clock(w.now) > call.Deadline:
		result.Outcome, result.Reason = pimfleet.OutcomeRejected, pimfleet.ReasonDeadlinePassed
	case call.Number <= f.lastNumber[call.Key]:
		result.Outcome, result.Reason = pimfleet.OutcomeRejected, pimfleet.ReasonStaleRun
		f.leaseDeadline = max(f.leaseDeadline, call.Deadline)
	case w.random.Float64() < w.noCapacityShare:
		result.Outcome, result.Reason = pimfleet.OutcomeRejected, pimfleet.ReasonNoCapacity
		f.leaseDeadline = max(f.leaseDeadline, call.Deadline)
	default:
		f.leaseDeadline = max(f.leaseDeadline, call.Deadline)
		w.checkStart(f, call)
		f.runs[call.Key] = &fakeRun{number: call.Number, doneAt: w.now + w.workTime(), fails: w.random.Float64() < 0.1}
	}
}

// workTime is short for a part of the tasks, so that some end before their order is answered.
func (w *simulation) workTime() time.Duration {
	most := 2 * time.Second
	if w.random.IntN(3) == 0 {
		most = 100 * time.Millisecond
	}
	return time.Duration(w.random.Int64N(int64(most)))
}

func (f *fakeWorker) end(key pimjob.TaskKey, how pimjob.EndKind) {
	run := f.runs[key]
	delete(f.runs, key)
	f.sequence++
	f.lastNumber[key] = max(f.lastNumber[key], run.number)
	f.finished = append(f.finished, pimfleet.EndedRun{Sequence: f.sequence, Key: key, Number: run.number, EndKind: how})
}

func (f *fakeWorker) advance(w *simulation, now time.Duration) {
	if f.down {
		return
	}
	for _, key := range slices.SortedFunc(maps.Keys(f.runs), pimjob.CompareKeys) {
		run := f.runs[key]
		switch {
		case f.clock(now) > f.leaseDeadline:
			f.end(key, pimjob.EndLeaseExpired)
		case f.neverFinishes:
		case now >= run.doneAt && run.fails:
			f.end(key, pimjob.EndFailed)
		case now >= run.doneAt:
			w.done[key] = true
			f.end(key, pimjob.EndDone)
		}
	}
}

// checkStart checks the promise that no task runs in two places at once or again once its end is noted.
func (w *simulation) checkStart(at *fakeWorker, call pimfleet.StartRun) {
	w.starts++
	for _, other := range w.workers {
		if run := other.runs[call.Key]; run != nil && !other.down {
			w.t.Errorf("at %v task %v run %d starts on %s beside run %d on %s", w.now, call.Key, call.Number, at.id, run.number, other.id)
		}
	}
	if task, _, _ := w.state.Task(call.Key); task.Done {
		w.t.Errorf("at %v task %v starts again on %s after it was done", w.now, call.Key, at.id)
	}
}
