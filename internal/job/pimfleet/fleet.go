package pimfleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// Fleet tracks all workers during one term of leadership. All its times are on the leader's
	// monotonic clock unless a comment says otherwise.
	Fleet struct {
		policy  Policy
		term    uint64
		now     time.Duration
		state   *pimjob.State
		workers map[string]*workerState
		// sortedWorkers holds the values of workers, sorted by ID.
		sortedWorkers []*workerState
		// unacknowledged holds the workers with ends that are proposed and not committed.
		unacknowledged map[string]*workerState
		// calls, ops and decisions are the output that Take returns.
		calls     []Call
		ops       []pimjob.Op
		decisions []Decision
		// updated holds the IDs of the workers whose run lists arrived since TakeUpdatedWorkers.
		updated map[string]bool
	}

	// Decision is an entry for the daemon's own log. Key is empty where it concerns a whole worker.
	Decision struct {
		Text   string
		Worker string
		Key    pimjob.TaskKey
		Number int
		Detail string
	}

	// workerState is the leader's view of one generation of a worker.
	workerState struct {
		worker pimjob.Worker
		runs   map[runID]*trackedRun

		// clock is the worker's clock as last reported; the report arrived at clockAt.
		clock    time.Duration
		clockAt  time.Duration
		hasClock bool
		// listedAt is the worker's clock at its last list of runs.
		listedAt time.Duration
		// leaseExpiresAt is when the lease of the worker's runs is certain to have expired.
		leaseExpiresAt time.Duration
		leaseExpired   bool

		// cursor is the highest EndedRun.Sequence whose end is committed to the log.
		cursor int64
		// renewing is set while a renewal has no result; renewAt is the earliest time of the next.
		renewing  bool
		renewAt   time.Duration
		reachable bool
		// heardAt is when the worker last responded to a call. silentSince is since when it is taken not to respond, or 0
		// while it does.
		heardAt, silentSince time.Duration
		// markedSilent is set while the log holds that the worker is silent, by a proposal of this leader.
		markedSilent bool
		// lossReported is set once the loss of the worker's runs is logged.
		lossReported bool
		// failures counts the renewals that failed in a row.
		failures int
		// leaving is set once the worker reported that it leaves. It is dropped after the result of
		// the pending renewal.
		leaving bool
		// newGeneration is the later generation that responded in place of this one, or 0.
		newGeneration int64
		// proposedCursor is the highest EndedRun.Sequence whose end is proposed for the log.
		proposedCursor int64
		// heartbeatSequence is the highest sequence number of a heartbeat.
		heartbeatSequence int64
		// unhealthyUntil is when the worker may get new runs again.
		unhealthyUntil time.Duration
		// staysUntil is until when a draining worker stays at least, or 0 while it has not said so. saidStaysAt is the
		// worker's clock in the heartbeat from which it is.
		staysUntil, saidStaysAt time.Duration
		// nextTickAt is when Tick next has work for the worker. It is stale while dirty is set.
		nextTickAt time.Duration
		dirty      bool
	}
)

const (
	// clockDrift is the share by which a worker's clock may be slow. Source: the platform's specification.
	clockDrift = 0.02
	// leaseExpiryMargin covers the network delay of the response that reported the worker's clock.
	leaseExpiryMargin = 150 * time.Millisecond
	// retryDelay is the delay before a call without a response is repeated.
	retryDelay = 150 * time.Millisecond
	// unreachableRetryDelay is the delay between renewals of a worker that doesn't respond.
	unreachableRetryDelay = 400 * time.Millisecond
	// expiredRetryDelay is the delay between renewals of a worker whose lease has expired, and the
	// longest delay of all other retries.
	expiredRetryDelay = time.Second
	// maxStartAttempts is how many start commands without a response are sent before the run is stopped.
	maxStartAttempts = 3
	// responseTimeout is the least time for which a call waits for a response, beside RenewLease.Wait.
	responseTimeout = 450 * time.Millisecond
	// maxHeartbeatAge is the age from which a heartbeat doesn't tell what its worker is like now.
	maxHeartbeatAge = 2 * time.Second
	// unhealthyBackoff is how long a worker that is unhealthy or out of capacity gets no new runs.
	unhealthyBackoff = time.Second
)

// unknownSpeed differs from all speeds that can be requested.
const unknownSpeed = -1

// NewFleet returns the fleet of a leader whose term begins now. Leases that earlier leaders granted
// expire one lease duration from now at the latest.
func NewFleet(policy Policy, term uint64, state *pimjob.State, now time.Duration) *Fleet {
	f := &Fleet{
		policy: policy, term: term, now: now, state: state, workers: map[string]*workerState{}, updated: map[string]bool{},
		unacknowledged: map[string]*workerState{},
	}
	for _, worker := range state.Workers() {
		f.addWorker(*worker)
	}
	return f
}

func (f *Fleet) addWorker(worker pimjob.Worker) {
	w := &workerState{
		dirty: true, worker: worker, runs: map[runID]*trackedRun{},
		leaseExpiresAt: f.now + withClockDrift(f.policy.Lease) + leaseExpiryMargin,
	}
	for key, live := range f.state.RunsOn(worker.ID) {
		if live.Run.Generation == worker.Generation {
			_, step, _ := f.state.Task(key)
			w.runs[runID{key, live.Run.Number}] = &trackedRun{
				live: live, state: inherited, mayHaveBegun: true, speedPercent: 100, wantedSpeedPercent: 100,
				speedUnknown: step != nil && step.BestEffort,
			}
		}
	}
	f.removeWorker(worker.ID)
	f.workers[worker.ID] = w
	at, _ := f.findSorted(worker.ID)
	f.sortedWorkers = slices.Insert(f.sortedWorkers, at, w)
}

func (f *Fleet) removeWorker(id string) {
	delete(f.workers, id)
	delete(f.unacknowledged, id)
	if at, found := f.findSorted(id); found {
		f.sortedWorkers = slices.Delete(f.sortedWorkers, at, at+1)
	}
}

// findSorted returns the position of a worker in sortedWorkers, or where it belongs. Sorting all workers for each one that
// is added took a new leader of 3,000 workers most of a second, in which it answered no other member of its group.
func (f *Fleet) findSorted(id string) (int, bool) {
	return slices.BinarySearchFunc(f.sortedWorkers, id, func(w *workerState, id string) int {
		return cmp.Compare(w.worker.ID, id)
	})
}

// withClockDrift returns the longest time that may pass here while a worker's clock advances by duration.
func withClockDrift(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) / (1 - clockDrift))
}

func (f *Fleet) recordDecision(text, worker string, id runID, detail string) {
	f.decisions = append(f.decisions, Decision{Text: text, Worker: worker, Key: id.key, Number: id.number, Detail: detail})
}

// Take returns and clears the calls to make, the operations to propose and the decisions to log.
func (f *Fleet) Take() ([]Call, []pimjob.Op, []Decision) {
	calls, ops, decisions := f.calls, f.ops, f.decisions
	f.calls, f.ops, f.decisions = nil, nil, nil
	return calls, ops, decisions
}

// OnHeartbeat handles a heartbeat of a worker generation that the state already holds. The first
// one provides the worker's clock; each of them shortens the wait for the next renewal of an
// unreachable worker. StaysFor is the least time for which a draining worker stays, or 0 if the heartbeat doesn't say.
func (f *Fleet) OnHeartbeat(id string, generation int64, clock, staysFor, now time.Duration) {
	f.now = now
	w := f.workers[id]
	if w == nil || w.worker.Generation != generation {
		return
	}
	w.dirty = true
	if !w.hasClock {
		w.setClock(clock, now)
		f.tickWorker(w)
	}
	f.recordStay(w, clock, staysFor)
	if !w.reachable && !w.renewing && w.renewAt > now+retryDelay {
		w.renewAt = now + retryDelay
	}
}

// ObserveSequence records the sequence number of a heartbeat of a worker generation and reports whether the heartbeat is
// late: sent before another one that has arrived, or long ago by the worker's clock.
func (f *Fleet) ObserveSequence(id string, generation, sequence int64, clock, now time.Duration) (late bool) {
	w := f.workers[id]
	if w == nil || w.worker.Generation != generation {
		return false
	}
	if sequence < w.heartbeatSequence {
		return true
	}
	w.heartbeatSequence = sequence
	return w.hasClock && clock > 0 && w.clock+now-w.clockAt-clock > maxHeartbeatAge
}

func (w *workerState) setClock(clock, now time.Duration) {
	if clock <= 0 {
		return
	}
	w.clock, w.clockAt, w.hasClock = clock, now, true
}

// grantLease returns the end of a new lease on the worker's clock, or 0 while that clock is unknown,
// and records when the lease is certain to have expired.
func (f *Fleet) grantLease(w *workerState) time.Duration {
	if !w.hasClock {
		return 0
	}
	age := f.now - w.clockAt
	w.leaseExpiresAt = max(w.leaseExpiresAt, w.clockAt+withClockDrift(age+f.policy.Lease)+leaseExpiryMargin)
	w.leaseExpired = false
	return w.clock + age + f.policy.Lease
}

// OnChanges handles the state changes of committed log entries.
func (f *Fleet) OnChanges(changes []pimjob.Change, now time.Duration) {
	f.now = now
	for _, change := range changes {
		switch change := change.(type) {
		case pimjob.RunStarted:
			f.onRunStarted(change.Live)
		case pimjob.RunEnded:
			f.onRunEnded(change.Live)
		case pimjob.JobEnded:
			f.stopRunsOfJob(change.Job)
		case pimjob.WorkerChanged:
			f.onWorkerChanged(change)
		case pimjob.ConfigChanged:
		}
	}
}

func (f *Fleet) onRunStarted(live pimjob.LiveRun) {
	w := f.workers[live.Run.Worker]
	if w == nil || w.worker.Generation != live.Run.Generation {
		return
	}
	run := &trackedRun{live: live, state: starting, committedAt: f.now, speedPercent: 100, wantedSpeedPercent: 100}
	w.runs[runID{live.Key, live.Run.Number}] = run
	f.advanceRun(w, run)
}

func (f *Fleet) onRunEnded(live pimjob.LiveRun) {
	if w := f.workers[live.Run.Worker]; w != nil {
		w.dirty = true
		delete(w.runs, runID{live.Key, live.Run.Number})
	}
}

func (f *Fleet) stopRunsOfJob(job *pimjob.Job) {
	if job.State == pimjob.Completed {
		return
	}
	id := job.Submission.ID
	for _, w := range f.sortedWorkers {
		for _, run := range w.sortedRuns(func(run *trackedRun) bool { return run.live.Key.Job == id }) {
			f.stopRun(w, run)
		}
	}
}

// sortedRuns returns the runs that match, sorted by task and run number, so that the same input
// gives the same calls.
func (w *workerState) sortedRuns(match func(run *trackedRun) bool) []*trackedRun {
	var runs []*trackedRun
	for _, run := range w.runs {
		if match(run) {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(a, b *trackedRun) int {
		return cmp.Or(pimjob.CompareKeys(a.live.Key, b.live.Key), cmp.Compare(a.live.Run.Number, b.live.Run.Number))
	})
	return runs
}

// Stop stops a run on behalf of the planner, which needs its capacity or wants to move it.
func (f *Fleet) Stop(worker string, key pimjob.TaskKey, number int, now time.Duration) {
	f.now = now
	if w := f.workers[worker]; w != nil {
		if run := w.runs[runID{key, number}]; run != nil {
			f.stopRun(w, run)
		}
	}
}

func (f *Fleet) stopRun(w *workerState, run *trackedRun) {
	if run.stopping {
		return
	}
	run.stopping = true
	run.attempts = 0
	run.nextAt = f.now
	f.advanceRun(w, run)
}

// Throttle sets the speed of a run, from 0 (paused) to 100 percent (full speed).
func (f *Fleet) Throttle(worker string, key pimjob.TaskKey, number, percent int, now time.Duration) {
	f.now = now
	if w := f.workers[worker]; w != nil {
		if run := w.runs[runID{key, number}]; run != nil && (run.speedUnknown || run.wantedSpeedPercent != percent) {
			if run.speedUnknown {
				run.speedPercent = unknownSpeed
			}
			run.wantedSpeedPercent = percent
			run.progressedAt = 0
			f.advanceRun(w, run)
		}
	}
}

// advanceRun makes the next call for a run if one is due.
func (f *Fleet) advanceRun(w *workerState, run *trackedRun) {
	w.dirty = true
	if run.inFlight || f.now < run.nextAt || run.state == closing {
		return
	}
	if run.stopping {
		run.attempts++
		run.inFlight = true
		f.calls = append(f.calls, StopRun{Target: w.target(), Token: f.term, Key: run.live.Key, Number: run.live.Run.Number})
		return
	}
	switch run.state {
	case starting:
		f.startRun(w, run)
	case running:
		if run.speedPercent != run.wantedSpeedPercent {
			run.inFlight = true
			f.calls = append(f.calls, ThrottleRun{
				Target: w.target(), Token: f.term, Key: run.live.Key, Number: run.live.Run.Number,
				SpeedPercent: run.wantedSpeedPercent,
			})
		}
	case inherited, closing:
	}
}

func (f *Fleet) startRun(w *workerState, run *trackedRun) {
	task, _, job := f.state.Task(run.live.Key)
	if task == nil || job.State.IsEnded() {
		f.stopRun(w, run)
		return
	}
	if !w.hasClock {
		run.nextAt = f.now + retryDelay
		return
	}
	if !f.hasCapacity(w) {
		f.recordDecision("stopping a run that the worker's capacity no longer holds", w.worker.ID, runID{run.live.Key, run.live.Run.Number}, "")
		f.stopRun(w, run)
		return
	}
	run.attempts++
	run.inFlight = true
	f.calls = append(f.calls, StartRun{
		Target: w.target(), Token: f.term, Key: run.live.Key, Number: run.live.Run.Number,
		Spec: job.Submission.Spec, Checkpoint: task.Checkpoint, Deadline: f.grantLease(w),
	})
}

// hasCapacity reports whether the worker's capacity, which may have shrunk, holds all its runs.
func (f *Fleet) hasCapacity(w *workerState) bool {
	var used pimjob.Resources
	for id := range w.runs {
		if _, step, _ := f.state.Task(id.key); step != nil {
			used = used.Plus(step.Reserved())
		}
	}
	return w.worker.Capacity.Fits(used)
}

func (w *workerState) target() Target {
	return Target{ID: w.worker.ID, Generation: w.worker.Generation, Address: w.worker.Address}
}

// Tick makes the renewals and repeated calls that are due, and detects expired leases.
func (f *Fleet) Tick(now time.Duration) {
	f.now = now
	for _, w := range f.sortedWorkers {
		if w.dirty || w.nextTickAt <= now {
			f.tickWorker(w)
		}
	}
}

func (f *Fleet) tickWorker(w *workerState) {
	w.dirty = true
	if !w.renewing && w.proposedCursor <= w.cursor && f.now >= w.renewAt {
		f.renewLease(w)
	}
	for _, run := range w.sortedRuns(func(run *trackedRun) bool { return run.needsCall() && f.now >= run.nextAt }) {
		f.advanceRun(w, run)
	}
	if !w.reachable && !w.leaseExpired && f.now >= w.leaseExpiresAt {
		w.leaseExpired = true
		if len(w.runs) > 0 {
			f.recordDecision("worker lease expired, its runs are lost", w.worker.ID, runID{}, "")
			f.reportLoss(w)
			f.ops = append(f.ops, pimjob.ExpireLease{ID: w.worker.ID, Generation: w.worker.Generation})
		}
	}
}

// renewLease renews the lease and asks for ended runs. A worker that did not respond to the last
// renewal gets a request that grants no new lease: each new lease postpones the time at which the
// lease is certain to have expired.
func (f *Fleet) renewLease(w *workerState) {
	w.dirty = true
	call := RenewLease{Target: w.target(), Token: f.term, SentAt: f.now}
	if w.reachable {
		// Sequence numbers are per generation: an unreachable worker may have been replaced by another
		// generation, whose ended runs this cursor must not acknowledge.
		call.Cursor = w.cursor
		call.Deadline = f.grantLease(w)
		call.Wait = f.policy.Wait
	}
	w.renewing = true
	f.calls = append(f.calls, call)
}

// Next returns when Tick next has work to do, at most an hour from now.
func (f *Fleet) Next() time.Duration {
	next := f.now + time.Hour
	for _, w := range f.sortedWorkers {
		if w.dirty {
			w.dirty = false
			w.nextTickAt = w.nextTick(f.now)
		}
		next = min(next, w.nextTickAt)
	}
	return next
}

func (w *workerState) nextTick(now time.Duration) time.Duration {
	next := now + time.Hour
	if !w.renewing && w.proposedCursor <= w.cursor {
		next = min(next, w.renewAt)
	}
	if !w.reachable && !w.leaseExpired {
		next = min(next, w.leaseExpiresAt)
	}
	for _, run := range w.runs {
		if run.needsCall() {
			next = min(next, run.nextAt)
		}
	}
	return next
}

// needsCall reports whether a call for the run is to be made at nextAt.
func (run *trackedRun) needsCall() bool {
	if run.inFlight || run.state == closing {
		return false
	}
	return run.stopping || run.state == starting || (run.state == running && run.speedPercent != run.wantedSpeedPercent)
}
