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
	// lead is what a control daemon keeps while it leads.
	lead struct {
		term    uint64
		ready   bool
		fleet   *pimfleet.Fleet
		planner *pimplan.Planner

		// gathered is what goes into the next entry.
		gathered proposal
		// proposed are the entries that are not committed yet, by index.
		proposed  map[uint64]proposal
		planning  bool
		dirty     bool
		planAt    time.Duration
		membersAt time.Duration

		reads     []read
		confirmAt time.Duration

		// submitting are the jobs on their way into the log.
		submitting map[string][]reply
	}

	// proposal is an entry of the log with what waits for it.
	proposal struct {
		ops     []pimjob.Op
		replies []reply
		submits []string
		marks   map[string]pimfleet.EndCursor
		planned bool
	}

	// reply answers an ask.
	reply func(answer pimrpc.Response)

	// read is an ask that is answered from the state once the leadership at a time
	// after at is confirmed.
	read struct {
		at     time.Duration
		answer func() pimrpc.Response
		reply  reply
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
	// planRest keeps planning to a third of the processor when there is much to plan.
	planRest = 2
	// replanInterval is the most time between plans, for what changes without an event.
	replanInterval = 250 * time.Millisecond
)

// followLeadership starts or ends the leader's part as the replica's role has it.
func (c *Control) followLeadership() {
	leads := c.replica.IsLeader()
	if c.lead != nil && (!leads || c.lead.term != c.replica.Term()) {
		c.logger.Warn().Uint64("term", c.lead.term).Msg("leadership is lost")
		c.lead.abandon()
		c.lead = nil
	}
	if leads && c.lead == nil {
		c.lead = &lead{term: c.replica.Term(), proposed: map[uint64]proposal{}, submitting: map[string][]reply{}}
		c.logger.Info().Uint64("term", c.lead.term).Msg("elected")
	}
	if leader := c.replica.LeaderID(); leader != c.wasLeader {
		c.wasLeader = leader
		if leader != "" && leader != c.id {
			c.logger.Info().Str("leader", leader).Uint64("term", c.replica.Term()).Msg("follows")
		}
		c.tellForwarder()
	}
}

// abandon answers all that waits: reads may be asked elsewhere, the outcome of writes is unclear.
func (l *lead) abandon() {
	for _, r := range l.reads {
		r.reply(pimrpc.NotLeader{})
	}
	for _, p := range l.proposed {
		p.answer(pimrpc.OutcomeUnknown{})
	}
	l.gathered.answer(pimrpc.NotLeader{})
	for _, waiting := range l.submitting {
		for _, r := range waiting {
			r(pimrpc.OutcomeUnknown{})
		}
	}
}

func (p proposal) answer(answer pimrpc.Response) {
	for _, r := range p.replies {
		r(answer)
	}
}

// tickLead does the leader's work: reads, plans, proposals, calls.
func (c *Control) tickLead(ctx context.Context) {
	l := c.lead
	if !l.ready {
		if _, ok := c.replica.LeadershipConfirmedAt(c.now); !ok {
			return
		}
		l.ready = true
		l.fleet = pimfleet.NewFleet(c.settings.Fleet, l.term, c.state, c.now)
		l.planner = pimplan.NewPlanner(c.state, l.fleet)
		l.dirty = true
		c.tellForwarder()
		c.logger.Info().Uint64("term", l.term).Int("jobs", len(c.state.OpenJobs())).Int("workers", len(c.state.Workers())).Msg("leads")
	}
	c.answerReads()
	l.fleet.Tick(c.now)
	c.takeFleet(ctx)
	c.plan(ctx)
	c.propose()
	c.tendMembers()
}

func (l *lead) nextTick(c *Control) time.Duration {
	if !l.ready {
		return c.now + planInterval
	}
	next := min(l.fleet.Next(), l.membersAt)
	if !l.planning {
		if l.dirty {
			next = min(next, l.planAt)
		}
		next = min(next, l.planAt+replanInterval)
	}
	if len(l.reads) > 0 {
		next = min(next, l.confirmAt)
	}
	return next
}

// takeFleet makes the calls that the fleet wants and gathers its operations.
func (c *Control) takeFleet(ctx context.Context) {
	l := c.lead
	calls, ops, notes := l.fleet.Take()
	for _, note := range notes {
		entry := c.logger.Info().Str("worker", note.Worker)
		if note.Key.Job != "" {
			entry = entry.Stringer("task", note.Key).Int("run", note.Number)
		}
		entry.Str("detail", note.Detail).Msg(note.Text)
	}
	if len(ops) > 0 {
		l.gathered.ops = append(l.gathered.ops, ops...)
		l.gathered.marks = l.fleet.PendingCursors()
	}
	for _, call := range calls {
		c.call(ctx, call)
	}
}

// call makes a call to a worker unless the leadership is in doubt, since another leader may then give orders.
func (c *Control) call(ctx context.Context, call pimfleet.Call) {
	pool := c.orders
	if _, ok := call.(pimfleet.RenewLease); ok {
		pool = c.renewals
	}
	valid := c.replica.QuorumAckedAt(c.now) + orderValidity
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
		c.lead.fleet.OnResult(pimfleet.Result{Call: call, Outcome: pimfleet.OutcomeNotSent}, c.now)
	}
}

// orderValidity is how long after a majority's last answer an order may still go out.
// No other leader can be elected before ElectionTimeout.
const orderValidity = pimconsensus.LeaseDuration

// plan makes a plan when something has changed and the last one is in the log.
func (c *Control) plan(ctx context.Context) {
	l := c.lead
	due := l.planAt
	if !l.dirty {
		due += replanInterval
	}
	if l.planning || c.now < due {
		return
	}
	l.dirty = false
	plan := l.planner.Plan(c.now, time.Now().UnixMilli())
	now := pimclock.Now()
	l.planAt = now + max(planInterval, planRest*(now-c.now))
	c.now = now
	for _, start := range plan.Starts {
		l.gathered.ops = append(l.gathered.ops, start)
		c.logger.Debug().Stringer("task", start.Key).Int("run", start.Number).Str("worker", start.Worker).Msg("placed")
	}
	if len(plan.Starts) > 0 {
		l.gathered.planned = true
		l.planning = true
		c.metrics.Add("starts", int64(len(plan.Starts)))
	}
	for _, stop := range plan.Stops {
		c.logger.Info().Stringer("task", stop.Key).Int("run", stop.Number).Str("worker", stop.Worker).Str("why", stop.Reason).Msg("run is stopped")
		l.fleet.Stop(stop.Worker, stop.Key, stop.Number, c.now)
	}
	for _, pace := range plan.Throttles {
		l.fleet.Throttle(pace.Worker, pace.Key, pace.Number, pace.SpeedPercent, c.now)
	}
	c.takeFleet(ctx)
}

// propose puts what has gathered into the log.
func (c *Control) propose() {
	l := c.lead
	if len(l.gathered.ops) == 0 || len(l.proposed) >= maxProposed {
		return
	}
	batch := l.gathered
	data, err := pimjob.EncodeBatch(time.Now().UnixMilli(), batch.ops)
	if err != nil {
		c.logger.Error().Err(err).Msg("entry can't be encoded")
		l.gathered = proposal{}
		batch.answer(pimrpc.OutcomeUnknown{})
		return
	}
	index, _, err := c.replica.Propose(c.now, data)
	if err != nil {
		return
	}
	l.gathered = proposal{}
	l.proposed[index] = batch
}

// onApplied takes in an entry that was applied, and answers what waited for it.
func (l *lead) onApplied(c *Control, entry pimconsensus.Entry, changes []pimjob.Change) {
	if l.fleet != nil {
		l.fleet.OnChanges(changes, c.now)
		l.planner.OnChanges(changes, c.now)
		c.report(changes)
	}
	batch, ok := l.proposed[entry.Index]
	if !ok {
		return
	}
	delete(l.proposed, entry.Index)
	l.dirty = true
	if batch.planned {
		l.planning = false
	}
	if batch.marks != nil {
		l.fleet.OnCommitted(batch.marks, c.now)
	}
	batch.answer(pimrpc.Done{})
	for _, id := range batch.submits {
		for _, r := range l.submitting[id] {
			r(pimrpc.Done{})
		}
		delete(l.submitting, id)
	}
}

// report writes what the log did to the daemon's own log and metrics.
func (c *Control) report(changes []pimjob.Change) {
	for _, change := range changes {
		c.countForQueue(change)
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

// countForQueue counts how long the jobs of a queue wait, what they are given, and what
// becomes of them, so that the queues can be compared. Only the leader counts: the sum over
// the control daemons holds.
func (c *Control) countForQueue(change pimjob.Change) {
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
	l := c.lead
	if len(l.reads) == 0 {
		return
	}
	confirmed, ok := c.replica.LeadershipConfirmedAt(c.now)
	waiting := l.reads
	l.reads = nil
	for _, r := range waiting {
		if ok && r.at < confirmed {
			r.reply(r.answer())
		} else {
			l.reads = append(l.reads, r)
		}
	}
	if len(l.reads) > 0 && c.now >= l.confirmAt {
		l.confirmAt = c.now + confirmInterval
		c.replica.ConfirmLeadership(c.now)
		c.flush()
	}
}

// handOver passes the leadership on when the daemon is to stop.
func (c *Control) handOver() {
	if !c.stopping || !c.replica.IsLeader() || c.now < c.handedAt {
		return
	}
	c.handedAt = c.now + handoverWait
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

// tellForwarder tells the forwarder of this daemon who leads.
func (c *Control) tellForwarder() {
	c.forwarder.OnDirectory(c.directory())
}
