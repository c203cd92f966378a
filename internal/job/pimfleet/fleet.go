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
		policy   Policy
		term     uint64
		now      time.Duration
		state    *pimjob.State
		contacts map[string]*contact
		// order holds the contacts sorted by id.
		order []*contact
		calls []Call
		ops   []pimjob.Op
		notes []Decision
		fresh map[string]bool
	}

	// Decision is a decision for the log.
	Decision struct {
		Text   string
		Worker string
		Key    pimjob.TaskKey
		Number int
		Detail string
	}

	// contact is what the leader knows of one life of a worker.
	contact struct {
		worker pimjob.Worker
		orders map[runID]*order

		// clock is the worker's clock at clockAt or a little later.
		clock    time.Duration
		clockAt  time.Duration
		hasClock bool
		// lapsesAt is when the lease of all that runs there has surely run out.
		lapsesAt time.Duration
		lapsed   bool

		cursor    int64
		holding   bool
		holdAt    time.Duration
		reachable bool
		failures  int
		// leaving workers are dropped once the renewal under way has told what it knows.
		leaving bool
		// reborn is the life that answered last in place of the one that is known, or 0.
		reborn int64
		// committing is the highest end that is on its way into the log.
		committing int64
		unwellTill time.Duration
		// next is when Tick has something to do, unless touched tells that it has changed.
		next    time.Duration
		touched bool
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
	// lapseMargin is added to a lease for the way of the answer that told the clock.
	lapseMargin = 150 * time.Millisecond
	// retryPause is the pause before a call without an answer is made again.
	retryPause = 150 * time.Millisecond
	// farPause is the pause between renewals of a worker that does not answer.
	farPause = 400 * time.Millisecond
	// lostPause is the same once its lease has run out.
	lostPause = time.Second
	// startAttempts is how often a start without an answer is ordered before it is stopped.
	startAttempts = 3
	// unwellPause is how long a worker that says it is unwell gets nothing new.
	unwellPause = time.Second
)

// NewFleet returns the fleet of a leader whose term begins now. Leases that earlier
// leaders granted run out a lease after that at the latest.
func NewFleet(policy Policy, term uint64, state *pimjob.State, now time.Duration) *Fleet {
	f := &Fleet{policy: policy, term: term, now: now, state: state, contacts: map[string]*contact{}, fresh: map[string]bool{}}
	for _, worker := range state.Workers() {
		f.addContact(*worker)
	}
	return f
}

func (f *Fleet) addContact(worker pimjob.Worker) *contact {
	c := &contact{touched: true, worker: worker, orders: map[runID]*order{}, lapsesAt: f.now + stretch(f.policy.Lease) + lapseMargin}
	for key, live := range f.state.RunsOn(worker.ID) {
		if live.Run.Generation == worker.Generation {
			c.orders[runID{key, live.Run.Number}] = &order{live: live, state: inherited, pace: 100, wantPace: 100}
		}
	}
	f.contacts[worker.ID] = c
	f.sortContacts()
	return c
}

func (f *Fleet) sortContacts() {
	f.order = f.order[:0]
	for _, id := range slices.Sorted(maps.Keys(f.contacts)) {
		f.order = append(f.order, f.contacts[id])
	}
}

func stretch(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) / (1 - clockDrift))
}

func (f *Fleet) note(text, worker string, id runID, detail string) {
	f.notes = append(f.notes, Decision{Text: text, Worker: worker, Key: id.key, Number: id.number, Detail: detail})
}

// Take returns and clears the calls to make, the operations to propose and the notes.
func (f *Fleet) Take() ([]Call, []pimjob.Op, []Decision) {
	calls, ops, notes := f.calls, f.ops, f.notes
	f.calls, f.ops, f.notes = nil, nil, nil
	return calls, ops, notes
}

// OnHeartbeat takes in a worker's clock, whose life the state already holds.
func (f *Fleet) OnHeartbeat(id string, born int64, clock, now time.Duration) {
	f.now = now
	c := f.contacts[id]
	if c == nil || c.worker.Generation != born {
		return
	}
	c.touched = true
	if !c.hasClock {
		c.setClock(clock, now)
		f.tickContact(c)
	}
	if !c.reachable && !c.holding && c.holdAt > now+retryPause {
		c.holdAt = now + retryPause
	}
}

func (c *contact) setClock(clock, now time.Duration) {
	if clock <= 0 {
		return
	}
	c.clock, c.clockAt, c.hasClock = clock, now, true
}

// deadline returns the end of a new lease on the worker's clock and notes when it has surely run out.
func (f *Fleet) deadline(c *contact) time.Duration {
	if !c.hasClock {
		return 0
	}
	age := f.now - c.clockAt
	c.lapsesAt = max(c.lapsesAt, c.clockAt+stretch(age+f.policy.Lease)+lapseMargin)
	c.lapsed = false
	return c.clock + age + f.policy.Lease
}

// OnChanges takes in what the log did to the state.
func (f *Fleet) OnChanges(changes []pimjob.Change, now time.Duration) {
	f.now = now
	for _, change := range changes {
		switch change := change.(type) {
		case pimjob.RunStarted:
			f.onStarted(change.Live)
		case pimjob.RunEnded:
			f.onEnded(change.Live)
		case pimjob.JobEnded:
			f.stopRunsOf(change.Job)
		case pimjob.WorkerChanged:
			f.onWorker(change)
		case pimjob.ConfigChanged:
		}
	}
}

func (f *Fleet) onStarted(live pimjob.LiveRun) {
	c := f.contacts[live.Run.Worker]
	if c == nil || c.worker.Generation != live.Run.Generation {
		return
	}
	o := &order{live: live, state: starting, pace: 100, wantPace: 100}
	c.orders[runID{live.Key, live.Run.Number}] = o
	f.advance(c, o)
}

func (f *Fleet) onEnded(live pimjob.LiveRun) {
	if c := f.contacts[live.Run.Worker]; c != nil {
		c.touched = true
		delete(c.orders, runID{live.Key, live.Run.Number})
	}
}

func (f *Fleet) stopRunsOf(job *pimjob.Job) {
	if job.State == pimjob.Completed {
		return
	}
	id := job.Submission.ID
	for _, c := range f.order {
		for _, o := range c.sorted(func(o *order) bool { return o.live.Key.Job == id }) {
			f.stop(c, o)
		}
	}
}

// sorted returns the orders that match, in the order of their tasks, so that the same
// input gives the same calls.
func (c *contact) sorted(match func(o *order) bool) []*order {
	var orders []*order
	for _, o := range c.orders {
		if match(o) {
			orders = append(orders, o)
		}
	}
	slices.SortFunc(orders, func(a, b *order) int {
		return cmp.Or(pimjob.CompareKeys(a.live.Key, b.live.Key), cmp.Compare(a.live.Run.Number, b.live.Run.Number))
	})
	return orders
}

// Stop stops a run, for a planner that wants its room or its place.
func (f *Fleet) Stop(worker string, key pimjob.TaskKey, number int, now time.Duration) {
	f.now = now
	if c := f.contacts[worker]; c != nil {
		if o := c.orders[runID{key, number}]; o != nil {
			f.stop(c, o)
		}
	}
}

func (f *Fleet) stop(c *contact, o *order) {
	if o.stopping {
		return
	}
	o.stopping = true
	o.attempts = 0
	o.nextAt = f.now
	f.advance(c, o)
}

// Throttle asks that a run works at a share of its speed.
func (f *Fleet) Throttle(worker string, key pimjob.TaskKey, number, percent int, now time.Duration) {
	f.now = now
	if c := f.contacts[worker]; c != nil {
		if o := c.orders[runID{key, number}]; o != nil && o.wantPace != percent {
			o.wantPace = percent
			o.moved = 0
			f.advance(c, o)
		}
	}
}

// advance makes the next call for a run if one is due.
func (f *Fleet) advance(c *contact, o *order) {
	c.touched = true
	if o.inFlight || f.now < o.nextAt || o.state == settling {
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
		f.orderStart(c, o)
	case running:
		if o.pace != o.wantPace {
			o.inFlight = true
			f.calls = append(f.calls, ThrottleRun{Target: c.target(), Token: f.term, Key: o.live.Key, Number: o.live.Run.Number, SpeedPercent: o.wantPace})
		}
	case inherited, settling:
	}
}

func (f *Fleet) orderStart(c *contact, o *order) {
	task, _, job := f.state.Task(o.live.Key)
	if task == nil || job.State.IsEnded() {
		f.stop(c, o)
		return
	}
	if !c.hasClock {
		o.nextAt = f.now + retryPause
		return
	}
	o.attempts++
	o.inFlight = true
	f.calls = append(f.calls, StartRun{
		Target: c.target(), Token: f.term, Key: o.live.Key, Number: o.live.Run.Number,
		Spec: job.Submission.Spec, Checkpoint: task.Checkpoint, Deadline: f.deadline(c),
	})
}

func (c *contact) target() Target {
	return Target{ID: c.worker.ID, Generation: c.worker.Generation, Address: c.worker.Address}
}

// Tick lets time pass: renewals, repeated calls, leases that ran out.
func (f *Fleet) Tick(now time.Duration) {
	f.now = now
	for _, c := range f.order {
		if c.touched || c.next <= now {
			f.tickContact(c)
		}
	}
}

func (f *Fleet) tickContact(c *contact) {
	c.touched = true
	if !c.holding && c.committing <= c.cursor && f.now >= c.holdAt {
		f.hold(c)
	}
	for _, o := range c.sorted(func(o *order) bool { return o.wantsCall() && f.now >= o.nextAt }) {
		f.advance(c, o)
	}
	if !c.reachable && !c.lapsed && f.now >= c.lapsesAt {
		c.lapsed = true
		if len(c.orders) > 0 {
			f.note("lease ran out", c.worker.ID, runID{}, "")
			f.ops = append(f.ops, pimjob.ExpireLease{ID: c.worker.ID, Generation: c.worker.Generation})
		}
	}
}

// hold renews the lease and asks for ends. A worker that did not answer the last renewal gets no new
// lease with the question, so that the time at which it runs out does not move away.
func (f *Fleet) hold(c *contact) {
	c.touched = true
	call := RenewLease{Target: c.target(), Token: f.term, SentAt: f.now}
	if c.reachable {
		// Another life's ends must not be acknowledged with this one's numbers.
		call.Cursor = c.cursor
		call.Deadline = f.deadline(c)
		call.Wait = f.policy.Wait
	}
	c.holding = true
	f.calls = append(f.calls, call)
}

// Next returns when Tick has something to do.
func (f *Fleet) Next() time.Duration {
	next := f.now + time.Hour
	for _, c := range f.order {
		if c.touched {
			c.touched = false
			c.next = c.nextTick(f.now)
		}
		next = min(next, c.next)
	}
	return next
}

func (c *contact) nextTick(now time.Duration) time.Duration {
	next := now + time.Hour
	if !c.holding && c.committing <= c.cursor {
		next = min(next, c.holdAt)
	}
	if !c.reachable && !c.lapsed {
		next = min(next, c.lapsesAt)
	}
	for _, o := range c.orders {
		if o.wantsCall() {
			next = min(next, o.nextAt)
		}
	}
	return next
}

func (o *order) wantsCall() bool {
	if o.inFlight || o.state == settling {
		return false
	}
	return o.stopping || o.state == starting || (o.state == running && o.pace != o.wantPace)
}

// IsUsable reports whether a worker answered its last renewal in this term and is well.
func (f *Fleet) IsUsable(id string, now time.Duration) bool {
	c := f.contacts[id]
	return c != nil && c.reachable && c.hasClock && !c.leaving && now >= c.unwellTill
}

// ObservedRuns returns what a worker last listed of its runs, in the order of their tasks.
func (f *Fleet) ObservedRuns(id string) []ObservedRun {
	c := f.contacts[id]
	if c == nil {
		return nil
	}
	var rows []ObservedRun
	for _, o := range c.sorted(func(o *order) bool { return o.rowAt != 0 }) {
		rows = append(rows, ObservedRun{Status: o.row, ListedAt: o.rowAt, SpeedPercent: o.wantPace, ProgressedAt: o.moved, Stopping: o.stopping})
	}
	return rows
}

// TakeUpdatedWorkers returns the workers that listed their runs since the last call, sorted.
func (f *Fleet) TakeUpdatedWorkers() []string {
	fresh := slices.Sorted(maps.Keys(f.fresh))
	clear(f.fresh)
	return fresh
}
