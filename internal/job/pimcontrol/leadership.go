package pimcontrol

import (
	"context"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimclock"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimplan"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimrpc"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconsensus"
)

type (
	// leadership is what a control daemon keeps while it leads.
	leadership struct {
		term    uint64
		ready   bool
		fleet   *pimfleet.Fleet
		planner *pimplan.Planner

		// pending is what goes into the next entry.
		pending proposal
		// proposed are the entries that are not committed yet, by index.
		proposed      map[uint64]proposal
		planPending   bool
		dirty         bool
		nextPlanAt    time.Duration
		nextMembersAt time.Duration

		reads         []pendingRead
		nextConfirmAt time.Duration

		// submitting are the jobs on their way into the log.
		submitting map[string][]responder
	}

	// proposal is an entry of the log with what waits for it.
	proposal struct {
		ops        []pimjob.Op
		responders []responder
		jobIDs     []string
		cursors    map[string]pimfleet.EndCursor
		hasPlan    bool
	}

	// responder answers an ask.
	responder func(answer pimrpc.Response)

	// pendingRead is an ask that is answered from the state once the leadership at a time
	// after at is confirmed.
	pendingRead struct {
		receivedAt time.Duration
		evaluate   func() pimrpc.Response
		respond    responder
	}
)

const (
	// maxProposed is how many entries may be on their way: one is being synced while
	// the next gathers.
	maxProposed = 2
	// confirmInterval bounds how often the leadership is confirmed for reads.
	confirmInterval = 4 * time.Millisecond
	// planInterval is the least time between plans, so that ends and jobs that come
	// together are planned together.
	planInterval = 8 * time.Millisecond
	// planIdleRatio keeps planning to a third of the processor when there is much to plan.
	planIdleRatio = 2
	// replanInterval is the most time between plans, for what changes without an event.
	replanInterval = 250 * time.Millisecond
)

// updateLeadership starts or ends the leader's part as the replica's role has it.
func (c *Control) updateLeadership() {
	leads := c.replica.IsLeader()
	if c.leadership != nil && (!leads || c.leadership.term != c.replica.Term()) {
		c.logger.Warn().Uint64("term", c.leadership.term).Msg("leadership is lost")
		c.leadership.abandon()
		c.leadership = nil
	}
	if leads && c.leadership == nil {
		c.leadership = &leadership{term: c.replica.Term(), proposed: map[uint64]proposal{}, submitting: map[string][]responder{}}
		c.logger.Info().Uint64("term", c.leadership.term).Msg("elected")
	}
	if leader := c.replica.LeaderID(); leader != c.lastLeader {
		c.lastLeader = leader
		if leader != "" && leader != c.id {
			c.logger.Info().Str("leader", leader).Uint64("term", c.replica.Term()).Msg("follows")
		}
		c.updateForwarder()
	}
}

// abandon answers all that waits: reads may be asked elsewhere, the outcome of writes is unclear.
func (l *leadership) abandon() {
	for _, r := range l.reads {
		r.respond(pimrpc.NotLeader{})
	}
	for _, p := range l.proposed {
		p.respond(pimrpc.OutcomeUnknown{})
	}
	l.pending.respond(pimrpc.NotLeader{})
	for _, waiting := range l.submitting {
		for _, r := range waiting {
			r(pimrpc.OutcomeUnknown{})
		}
	}
}

func (p proposal) respond(answer pimrpc.Response) {
	for _, r := range p.responders {
		r(answer)
	}
}

// tickLeadership does the leader's work: reads, plans, proposals, calls.
func (c *Control) tickLeadership(ctx context.Context) {
	l := c.leadership
	if !l.ready {
		if _, ok := c.replica.LeadershipConfirmedAt(c.now); !ok {
			return
		}
		l.ready = true
		l.fleet = pimfleet.NewFleet(c.settings.Fleet, l.term, c.state, c.now)
		l.planner = pimplan.NewPlanner(c.state, l.fleet)
		l.dirty = true
		c.updateForwarder()
		c.logger.Info().Uint64("term", l.term).Int("jobs", len(c.state.OpenJobs())).Int("workers", len(c.state.Workers())).Msg("leads")
	}
	c.answerReads()
	l.fleet.Tick(c.now)
	c.applyFleetOutput(ctx)
	c.plan(ctx)
	c.propose()
	c.adjustMembers()
}

func (l *leadership) nextTick(c *Control) time.Duration {
	if !l.ready {
		return c.now + planInterval
	}
	next := min(l.fleet.Next(), l.nextMembersAt)
	if !l.planPending {
		if l.dirty {
			next = min(next, l.nextPlanAt)
		}
		next = min(next, l.nextPlanAt+replanInterval)
	}
	if len(l.reads) > 0 {
		next = min(next, l.nextConfirmAt)
	}
	return next
}

// applyFleetOutput makes the calls that the fleet wants and gathers its operations.
func (c *Control) applyFleetOutput(ctx context.Context) {
	l := c.leadership
	calls, ops, notes := l.fleet.Take()
	for _, note := range notes {
		entry := c.logger.Info().Str("worker", note.Worker)
		if note.Key.Job != "" {
			entry = entry.Stringer("task", note.Key).Int("run", note.Number)
		}
		entry.Str("detail", note.Detail).Msg(note.Text)
	}
	if len(ops) > 0 {
		l.pending.ops = append(l.pending.ops, ops...)
		l.pending.cursors = l.fleet.PendingCursors()
	}
	for _, call := range calls {
		c.call(ctx, call)
	}
}

// call makes a call to a worker unless the leadership is in doubt, since another leader may then give orders.
func (c *Control) call(ctx context.Context, call pimfleet.Call) {
	pool := c.commands
	if _, ok := call.(pimfleet.RenewLease); ok {
		pool = c.renewals
	}
	valid := c.replica.QuorumAckedAt(c.now) + commandValidity
	_, accepted := pool.TrySubmit(func() {
		result := pimfleet.Result{Call: call, Outcome: pimfleet.OutcomeNotSent}
		if pimclock.Now() < valid {
			result = c.workers.Call(ctx, call)
		}
		select {
		case c.events <- resultEvent{result}:
		case <-ctx.Done():
		}
	})
	if !accepted {
		c.metrics.CountShed("worker-calls")
		c.leadership.fleet.OnResult(pimfleet.Result{Call: call, Outcome: pimfleet.OutcomeNotSent}, c.now)
	}
}

// commandValidity is how long after a majority's last answer an order may still go out.
// No other leader can be elected before ElectionTimeout.
const commandValidity = pimconsensus.LeaseDuration

// plan makes a plan when something has changed and the last one is in the log.
func (c *Control) plan(ctx context.Context) {
	l := c.leadership
	due := l.nextPlanAt
	if !l.dirty {
		due += replanInterval
	}
	if l.planPending || c.now < due {
		return
	}
	l.dirty = false
	plan := l.planner.Plan(c.now, time.Now().UnixMilli())
	now := pimclock.Now()
	l.nextPlanAt = now + max(planInterval, planIdleRatio*(now-c.now))
	c.now = now
	for _, start := range plan.Starts {
		l.pending.ops = append(l.pending.ops, start)
		c.logger.Debug().Stringer("task", start.Key).Int("run", start.Number).Str("worker", start.Worker).Msg("placed")
	}
	if len(plan.Starts) > 0 {
		l.pending.hasPlan = true
		l.planPending = true
		c.metrics.Add("starts", int64(len(plan.Starts)))
	}
	for _, stop := range plan.Stops {
		c.logger.Info().Stringer("task", stop.Key).Int("run", stop.Number).Str("worker", stop.Worker).Str("why", stop.Reason).Msg("run is stopped")
		l.fleet.Stop(stop.Worker, stop.Key, stop.Number, c.now)
	}
	for _, pace := range plan.Throttles {
		l.fleet.Throttle(pace.Worker, pace.Key, pace.Number, pace.SpeedPercent, c.now)
	}
	c.applyFleetOutput(ctx)
}

// propose puts what has gathered into the log.
func (c *Control) propose() {
	l := c.leadership
	if len(l.pending.ops) == 0 || len(l.proposed) >= maxProposed {
		return
	}
	batch := l.pending
	data, err := pimjob.EncodeBatch(time.Now().UnixMilli(), batch.ops)
	if err != nil {
		c.logger.Error().Err(err).Msg("entry can't be encoded")
		l.pending = proposal{}
		batch.respond(pimrpc.OutcomeUnknown{})
		return
	}
	index, _, err := c.replica.Propose(c.now, data)
	if err != nil {
		return
	}
	l.pending = proposal{}
	l.proposed[index] = batch
}

// onApplied takes in an entry that was applied, and answers what waited for it.
func (l *leadership) onApplied(c *Control, entry pimconsensus.Entry, changes []pimjob.Change) {
	if l.fleet != nil {
		l.fleet.OnChanges(changes, c.now)
		l.planner.OnChanges(changes, c.now)
		c.logChanges(changes)
	}
	batch, ok := l.proposed[entry.Index]
	if !ok {
		return
	}
	delete(l.proposed, entry.Index)
	l.dirty = true
	if batch.hasPlan {
		l.planPending = false
	}
	if batch.cursors != nil {
		l.fleet.OnCommitted(batch.cursors, c.now)
	}
	batch.respond(pimrpc.Done{})
	for _, id := range batch.jobIDs {
		for _, r := range l.submitting[id] {
			r(pimrpc.Done{})
		}
		delete(l.submitting, id)
	}
}

// logChanges writes what the log did to the daemon's own log and metrics.
func (c *Control) logChanges(changes []pimjob.Change) {
	for _, change := range changes {
		c.countQueueMetrics(change)
		switch change := change.(type) {
		case pimjob.RunEnded:
			c.metrics.CountEnd(change.Kind.String())
			if change.Kind != pimjob.EndDone {
				c.logger.Info().Stringer("task", change.Live.Key).Int("run", change.Live.Run.Number).
					Str("worker", change.Live.Run.Worker).Stringer("how", change.Kind).Msg("run ended")
			}
		case pimjob.JobEnded:
			c.logger.Info().Str("job", change.Job.Submission.ID).Str("queue", change.Job.Queue.Name).Stringer("state", change.Job.State).
				Int64("took-ms", change.Job.EndedAt-change.Job.AcceptedAt).Msg("job ended")
		case pimjob.WorkerChanged:
			c.logger.Info().Str("worker", change.Worker.ID).Int64("born", change.Worker.Generation).Bool("draining", change.Worker.Draining).
				Bool("gone", change.Removed).Str("failure-domain", change.Worker.Domain).Msg("worker changed")
		case pimjob.ConfigChanged:
			c.logger.Info().Int64("version", c.state.Config().Version).Int("queues", len(c.state.Config().Queues)).Msg("configuration is in force")
		case pimjob.RunStarted, pimjob.JobAccepted:
		}
	}
}

// countQueueMetrics counts how long the jobs of a queue wait, what they are given, and what
// becomes of them, so that the queues can be compared. Only the leader counts: the sum over
// the control daemons holds.
func (c *Control) countQueueMetrics(change pimjob.Change) {
	switch change := change.(type) {
	case pimjob.JobAccepted:
		c.metrics.AddForQueue("queue-jobs-accepted", change.Job.Queue.Name, 1)
	case pimjob.RunStarted:
		key := change.Live.Key
		if job := c.state.Job(key.Job); job != nil && key == (pimjob.TaskKey{Job: key.Job}) && change.Live.Run.Number == 1 {
			due := max(job.AcceptedAt, job.Submission.DueAt(0))
			c.metrics.AddForQueue("queue-first-starts", job.Queue.Name, 1)
			c.metrics.AddForQueue("queue-first-start-wait-millis", job.Queue.Name, max(0, change.Live.Run.StartedAt-due))
		}
	case pimjob.RunEnded:
		_, step, job := c.state.Task(change.Live.Key)
		if job == nil || step == nil {
			return
		}
		held := max(0, time.Now().UnixMilli()-change.Live.Run.StartedAt)
		c.metrics.AddForQueue("queue-core-millis", job.Queue.Name, held*step.Need.Millicores/1000)
	case pimjob.JobEnded:
		c.metrics.AddForQueue("queue-jobs-"+change.Job.State.String(), change.Job.Queue.Name, 1)
	case pimjob.WorkerChanged, pimjob.ConfigChanged:
	}
}

// answerReads answers the reads that came in before the leadership was last confirmed.
func (c *Control) answerReads() {
	l := c.leadership
	if len(l.reads) == 0 {
		return
	}
	confirmed, ok := c.replica.LeadershipConfirmedAt(c.now)
	waiting := l.reads
	l.reads = nil
	for _, r := range waiting {
		if ok && r.receivedAt < confirmed {
			r.respond(r.evaluate())
		} else {
			l.reads = append(l.reads, r)
		}
	}
	if len(l.reads) > 0 && c.now >= l.nextConfirmAt {
		l.nextConfirmAt = c.now + confirmInterval
		c.replica.ConfirmLeadership(c.now)
		c.flush()
	}
}

// handOver passes the leadership on when the daemon is to stop.
func (c *Control) handOver() {
	if !c.stopping || !c.replica.IsLeader() || c.now < c.nextHandoverAt {
		return
	}
	c.nextHandoverAt = c.now + handoverInterval
	members := c.replica.Members()
	best, bestMatch := "", uint64(0)
	for _, id := range members.Voters {
		progress, ok := c.replica.ProgressOf(id)
		if ok && id != c.id && progress.Match >= bestMatch && c.now-progress.LastContact < time.Second {
			best, bestMatch = id, progress.Match
		}
	}
	if best != "" && c.replica.TransferTo(c.now, best) {
		c.logger.Info().Str("to", best).Msg("hands over the leadership")
		c.flush()
	}
}

// updateForwarder tells the forwarder of this daemon who leads.
func (c *Control) updateForwarder() {
	c.forwarder.OnDirectory(c.directory())
}
