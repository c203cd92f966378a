package pimfleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// Fleet follows all workers during one term of leadership.
	Fleet struct {
		policy  Policy
		term    uint64
		now     time.Duration
		state   *pimjob.State
		workers map[string]*workerState
		// sortedWorkers holds the contacts sorted by id.
		sortedWorkers []*workerState
		calls         []Call
		ops           []pimjob.Op
		decisions     []Decision
		updated       map[string]bool
	}

	// Decision is a decision for the log.
	Decision struct {
		Text   string
		Worker string
		Key    pimjob.TaskKey
		Number int
		Detail string
	}

	// workerState is what the leader knows of one life of a worker.
	workerState struct {
		worker pimjob.Worker
		runs   map[runID]*trackedRun

		// clock is the worker's clock at clockAt or a little later.
		clock    time.Duration
		clockAt  time.Duration
		hasClock bool
		// leaseExpiresAt is when the lease of all that runs there has surely run out.
		leaseExpiresAt time.Duration
		leaseExpired   bool

		cursor    int64
		renewing  bool
		renewAt   time.Duration
		reachable bool
		failures  int
		// leaving workers are dropped once the renewal under way has told what it knows.
		leaving bool
		// newGeneration is the life that answered last in place of the one that is known, or 0.
		newGeneration int64
		// proposedCursor is the highest end that is on its way into the log.
		proposedCursor int64
		unhealthyUntil time.Duration
		// nextTickAt is when Tick has something to do, unless touched tells that it has changed.
		nextTickAt time.Duration
		dirty      bool
	}

	// ObservedRun is what a worker last listed of a run.
	ObservedRun struct {
		Status       RunStatus
		ListedAt     time.Duration
		SpeedPercent int
		// ProgressedAt is when the percent last changed, or the pace.
		ProgressedAt time.Duration
		// Stopping is set once the run is to be stopped.
		Stopping bool
	}
)

const (
	// clockDrift is the most that a worker's clock may be slow. Source: the users' pages.
	clockDrift = 0.02
	// leaseExpiryMargin is added to a lease for the way of the answer that told the clock.
	leaseExpiryMargin = 150 * time.Millisecond
	// retryDelay is the pause before a call without an answer is made again.
	retryDelay = 150 * time.Millisecond
	// unreachableRetryDelay is the pause between renewals of a worker that does not answer.
	unreachableRetryDelay = 400 * time.Millisecond
	// expiredRetryDelay is the same once its lease has run out.
	expiredRetryDelay = time.Second
	// maxStartAttempts is how often a start without an answer is ordered before it is stopped.
	maxStartAttempts = 3
	// unhealthyBackoff is how long a worker that says it is unwell gets nothing new.
	unhealthyBackoff = time.Second
)

// NewFleet returns the fleet of a leader whose term begins now. Leases that earlier
// leaders granted run out a lease after that at the latest.
func NewFleet(policy Policy, term uint64, state *pimjob.State, now time.Duration) *Fleet {
	f := &Fleet{policy: policy, term: term, now: now, state: state, workers: map[string]*workerState{}, updated: map[string]bool{}}
	for _, worker := range state.Workers() {
		f.addWorker(*worker)
	}
	return f
}

func (f *Fleet) addWorker(worker pimjob.Worker) *workerState {
	c := &workerState{dirty: true, worker: worker, runs: map[runID]*trackedRun{}, leaseExpiresAt: f.now + withClockDrift(f.policy.Lease) + leaseExpiryMargin}
	for key, live := range f.state.RunsOn(worker.ID) {
		if live.Run.Generation == worker.Generation {
			c.runs[runID{key, live.Run.Number}] = &trackedRun{live: live, state: inherited, speedPercent: 100, wantedSpeedPercent: 100}
		}
	}
	f.workers[worker.ID] = c
	f.sortWorkers()
	return c
}

func (f *Fleet) sortWorkers() {
	f.sortedWorkers = f.sortedWorkers[:0]
	for _, id := range slices.Sorted(maps.Keys(f.workers)) {
		f.sortedWorkers = append(f.sortedWorkers, f.workers[id])
	}
}

func withClockDrift(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) / (1 - clockDrift))
}

func (f *Fleet) recordDecision(text, worker string, id runID, detail string) {
	f.decisions = append(f.decisions, Decision{Text: text, Worker: worker, Key: id.key, Number: id.number, Detail: detail})
}

// Take returns and clears the calls to make, the operations to propose and the notes.
func (f *Fleet) Take() ([]Call, []pimjob.Op, []Decision) {
	calls, ops, notes := f.calls, f.ops, f.decisions
	f.calls, f.ops, f.decisions = nil, nil, nil
	return calls, ops, notes
}

// OnHeartbeat takes in a worker's clock, whose life the state already holds.
func (f *Fleet) OnHeartbeat(id string, born int64, clock, now time.Duration) {
	f.now = now
	c := f.workers[id]
	if c == nil || c.worker.Generation != born {
		return
	}
	c.dirty = true
	if !c.hasClock {
		c.setClock(clock, now)
		f.tickWorker(c)
	}
	if !c.reachable && !c.renewing && c.renewAt > now+retryDelay {
		c.renewAt = now + retryDelay
	}
}

func (c *workerState) setClock(clock, now time.Duration) {
	if clock <= 0 {
		return
	}
	c.clock, c.clockAt, c.hasClock = clock, now, true
}

// grantLease returns the end of a new lease on the worker's clock and notes when it has surely run out.
func (f *Fleet) grantLease(c *workerState) time.Duration {
	if !c.hasClock {
		return 0
	}
	age := f.now - c.clockAt
	c.leaseExpiresAt = max(c.leaseExpiresAt, c.clockAt+withClockDrift(age+f.policy.Lease)+leaseExpiryMargin)
	c.leaseExpired = false
	return c.clock + age + f.policy.Lease
}

// OnChanges takes in what the log did to the state.
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
	c := f.workers[live.Run.Worker]
	if c == nil || c.worker.Generation != live.Run.Generation {
		return
	}
	o := &trackedRun{live: live, state: starting, speedPercent: 100, wantedSpeedPercent: 100}
	c.runs[runID{live.Key, live.Run.Number}] = o
	f.advanceRun(c, o)
}

func (f *Fleet) onRunEnded(live pimjob.LiveRun) {
	if c := f.workers[live.Run.Worker]; c != nil {
		c.dirty = true
		delete(c.runs, runID{live.Key, live.Run.Number})
	}
}

func (f *Fleet) stopRunsOfJob(job *pimjob.Job) {
	if job.State == pimjob.Completed {
		return
	}
	id := job.Submission.ID
	for _, c := range f.sortedWorkers {
		for _, o := range c.sortedRuns(func(o *trackedRun) bool { return o.live.Key.Job == id }) {
			f.stopRun(c, o)
		}
	}
}

// sortedRuns returns the orders that match, in the order of their tasks, so that the same
// input gives the same calls.
func (c *workerState) sortedRuns(match func(o *trackedRun) bool) []*trackedRun {
	var orders []*trackedRun
	for _, o := range c.runs {
		if match(o) {
			orders = append(orders, o)
		}
	}
	slices.SortFunc(orders, func(a, b *trackedRun) int {
		return cmp.Or(pimjob.CompareKeys(a.live.Key, b.live.Key), cmp.Compare(a.live.Run.Number, b.live.Run.Number))
	})
	return orders
}

// Stop stops a run, for a planner that wants its room or its place.
func (f *Fleet) Stop(worker string, key pimjob.TaskKey, number int, now time.Duration) {
	f.now = now
	if c := f.workers[worker]; c != nil {
		if o := c.runs[runID{key, number}]; o != nil {
			f.stopRun(c, o)
		}
	}
}

func (f *Fleet) stopRun(c *workerState, o *trackedRun) {
	if o.stopping {
		return
	}
	o.stopping = true
	o.attempts = 0
	o.nextAt = f.now
	f.advanceRun(c, o)
}

// Throttle asks that a run works at a share of its speed.
func (f *Fleet) Throttle(worker string, key pimjob.TaskKey, number, percent int, now time.Duration) {
	f.now = now
	if c := f.workers[worker]; c != nil {
		if o := c.runs[runID{key, number}]; o != nil && o.wantedSpeedPercent != percent {
			o.wantedSpeedPercent = percent
			o.progressedAt = 0
			f.advanceRun(c, o)
		}
	}
}

// advanceRun makes the next call for a run if one is due.
func (f *Fleet) advanceRun(c *workerState, o *trackedRun) {
	c.dirty = true
	if o.inFlight || f.now < o.nextAt || o.state == closing {
		return
	}
	if o.stopping {
		o.attempts++
		o.inFlight = true
		f.calls = append(f.calls, StopRun{Target: c.target(), Token: f.term, Key: o.live.Key, Number: o.live.Run.Number})
		return
	}
	switch o.state {
	case starting:
		f.startRun(c, o)
	case running:
		if o.speedPercent != o.wantedSpeedPercent {
			o.inFlight = true
			f.calls = append(f.calls, ThrottleRun{Target: c.target(), Token: f.term, Key: o.live.Key, Number: o.live.Run.Number, SpeedPercent: o.wantedSpeedPercent})
		}
	case inherited, closing:
	}
}

func (f *Fleet) startRun(c *workerState, o *trackedRun) {
	task, _, job := f.state.Task(o.live.Key)
	if task == nil || job.State.IsEnded() {
		f.stopRun(c, o)
		return
	}
	if !c.hasClock {
		o.nextAt = f.now + retryDelay
		return
	}
	o.attempts++
	o.inFlight = true
	f.calls = append(f.calls, StartRun{
		Target: c.target(), Token: f.term, Key: o.live.Key, Number: o.live.Run.Number,
		Spec: job.Submission.Spec, Checkpoint: task.Checkpoint, Deadline: f.grantLease(c),
	})
}

func (c *workerState) target() Target {
	return Target{ID: c.worker.ID, Generation: c.worker.Generation, Address: c.worker.Address}
}

// Tick lets time pass: renewals, repeated calls, leases that ran out.
func (f *Fleet) Tick(now time.Duration) {
	f.now = now
	for _, c := range f.sortedWorkers {
		if c.dirty || c.nextTickAt <= now {
			f.tickWorker(c)
		}
	}
}

func (f *Fleet) tickWorker(c *workerState) {
	c.dirty = true
	if !c.renewing && c.proposedCursor <= c.cursor && f.now >= c.renewAt {
		f.renewLease(c)
	}
	for _, o := range c.sortedRuns(func(o *trackedRun) bool { return o.needsCall() && f.now >= o.nextAt }) {
		f.advanceRun(c, o)
	}
	if !c.reachable && !c.leaseExpired && f.now >= c.leaseExpiresAt {
		c.leaseExpired = true
		if len(c.runs) > 0 {
			f.recordDecision("lease ran out", c.worker.ID, runID{}, "")
			f.ops = append(f.ops, pimjob.ExpireLease{ID: c.worker.ID, Generation: c.worker.Generation})
		}
	}
}

// renewLease renews the lease and asks for ends. A worker that did not answer the last renewal gets no new
// lease with the question, so that the time at which it runs out does not move away.
func (f *Fleet) renewLease(c *workerState) {
	c.dirty = true
	call := RenewLease{Target: c.target(), Token: f.term, SentAt: f.now}
	if c.reachable {
		// Another life's ends must not be acknowledged with this one's numbers.
		call.Cursor = c.cursor
		call.Deadline = f.grantLease(c)
		call.Wait = f.policy.Wait
	}
	c.renewing = true
	f.calls = append(f.calls, call)
}

// Next returns when Tick has something to do.
func (f *Fleet) Next() time.Duration {
	next := f.now + time.Hour
	for _, c := range f.sortedWorkers {
		if c.dirty {
			c.dirty = false
			c.nextTickAt = c.nextTick(f.now)
		}
		next = min(next, c.nextTickAt)
	}
	return next
}

func (c *workerState) nextTick(now time.Duration) time.Duration {
	next := now + time.Hour
	if !c.renewing && c.proposedCursor <= c.cursor {
		next = min(next, c.renewAt)
	}
	if !c.reachable && !c.leaseExpired {
		next = min(next, c.leaseExpiresAt)
	}
	for _, o := range c.runs {
		if o.needsCall() {
			next = min(next, o.nextAt)
		}
	}
	return next
}

func (o *trackedRun) needsCall() bool {
	if o.inFlight || o.state == closing {
		return false
	}
	return o.stopping || o.state == starting || (o.state == running && o.speedPercent != o.wantedSpeedPercent)
}

// IsUsable reports whether a worker answered its last renewal in this term and is well.
func (f *Fleet) IsUsable(id string, now time.Duration) bool {
	c := f.workers[id]
	return c != nil && c.reachable && c.hasClock && !c.leaving && now >= c.unhealthyUntil
}

// ObservedRuns returns what a worker last listed of its runs, in the order of their tasks.
func (f *Fleet) ObservedRuns(id string) []ObservedRun {
	c := f.workers[id]
	if c == nil {
		return nil
	}
	var rows []ObservedRun
	for _, o := range c.sortedRuns(func(o *trackedRun) bool { return o.listedAt != 0 }) {
		rows = append(rows, ObservedRun{Status: o.status, ListedAt: o.listedAt, SpeedPercent: o.wantedSpeedPercent, ProgressedAt: o.progressedAt, Stopping: o.stopping})
	}
	return rows
}

// TakeUpdatedWorkers returns the workers that listed their runs since the last call, sorted.
func (f *Fleet) TakeUpdatedWorkers() []string {
	fresh := slices.Sorted(maps.Keys(f.updated))
	clear(f.updated)
	return fresh
}
