package pimcontrol

import (
	"context"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimclock"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimplan"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimrelay"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimrpc"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconsensus"
)

type (
	// leadership is the state of a control daemon while it leads.
	leadership struct {
		term uint64
		// ready is set once a majority of the voters has confirmed the leadership and all entries of
		// earlier terms are applied; fleet and planner are nil until then.
		ready   bool
		fleet   *pimfleet.Fleet
		planner *pimplan.Planner
		// relays is nil until ready is set.
		relays       *pimrelay.Relays
		nextRelaysAt time.Duration

		// pending is the next entry to propose.
		pending proposal
		// proposed holds the entries that are not committed yet, by log index.
		proposed map[uint64]proposal
		// planPending is set while the starts of a plan are not committed.
		planPending bool
		// dirty is set when an entry that this leader proposed was applied since the last plan.
		dirty         bool
		nextPlanAt    time.Duration
		nextMembersAt time.Duration
		// nextLearnedAt is when what the planner has learned is next proposed.
		nextLearnedAt time.Duration
		waitLines     waitLines
		// startLimit is how many starts may have no answer before no more are planned.
		startLimit int
		// nextFairnessAt is when the fairness index is next computed.
		nextFairnessAt time.Duration

		reads         []pendingRead
		nextConfirmAt time.Duration

		// submitting holds, by job ID, the submissions that are not committed yet.
		submitting map[string]*submission

		// leaves holds the leaves that are not answered yet. nextLeaveAt is when the next of them is answered at the latest,
		// or 0 if there is none.
		leaves      []leave
		nextLeaveAt time.Duration
	}

	// submission is a job that is proposed, with all requests that wait for its commit.
	submission struct {
		organisation string
		queue        *pimjob.Queue
		responders   []responder
	}

	// proposal is a log entry with everything that waits for its commit.
	proposal struct {
		ops        []pimjob.Op
		responders []responder
		// isRemainder is set if the first operations of the responders may be in an entry that is proposed already.
		isRemainder bool
		// jobIDs are the submitted jobs; their responders are in leadership.submitting.
		jobIDs []string
		// cursors are the pending cursors of the fleet, or nil if ops holds none of its operations.
		cursors map[string]pimfleet.EndCursor
		// hasPlan is set if ops holds the starts of a plan.
		hasPlan bool
	}

	// responder sends the response to a request.
	responder func(response pimrpc.Response)
)

const (
	// maxProposed is how many entries may be uncommitted at a time: a second one may be proposed while
	// the first one is synced to disk.
	maxProposed = 2
	// maxOpsPerEntry limits the operations in an entry, which a replica applies at once.
	maxOpsPerEntry = 4096
	// planInterval is the minimum time between plans, so that a burst of new jobs and ended runs is
	// planned at once.
	planInterval = 8 * time.Millisecond
	// planIdleRatio is the minimum ratio of the pause after a plan to the time that the plan took. It
	// limits planning to a third of the processor time of its goroutine.
	planIdleRatio = 2
	// replanInterval is the maximum time between plans, for conditions that change without an event.
	replanInterval = 250 * time.Millisecond
	// learnedInterval is the time between proposals of what the planner has learned.
	learnedInterval = 3 * time.Second
	// fairnessInterval is the minimum time between two computations of the fairness index.
	fairnessInterval = 2 * time.Second
)

// updateLeadership starts or ends the leadership to match the role of the replica.
func (c *Control) updateLeadership() {
	isLeader := c.replica.IsLeader()
	if c.leadership != nil && (!isLeader || c.leadership.term != c.replica.Term()) {
		c.logger.Warn().Uint64("term", c.leadership.term).Msg("lost the leadership of the job group")
		c.leadership.abandon()
		c.leadership = nil
		c.organisations.stop()
	}
	if isLeader && c.leadership == nil {
		c.leadership = &leadership{
			term: c.replica.Term(), proposed: map[uint64]proposal{}, submitting: map[string]*submission{},
			startLimit: maxUnansweredStarts,
		}
		c.logger.Info().Uint64("term", c.leadership.term).Msg("elected leader of the job group")
	}
	if leader := c.replica.LeaderID(); leader != c.lastLeader {
		c.lastLeader = leader
		if leader != "" && leader != c.id {
			c.logger.Info().Str("leader", leader).Uint64("term", c.replica.Term()).
				Msg("following the new leader of the job group")
		}
		c.updateForwarder()
	}
}

// abandon responds to all waiting requests: reads and writes that were not proposed may be sent to
// the next leader, while the outcome of proposed writes is unknown. All submissions get
// OutcomeUnknown, whether they were proposed or not.
func (l *leadership) abandon() {
	for _, r := range l.reads {
		r.respond(pimrpc.NotLeader{})
	}
	for _, p := range l.proposed {
		p.respond(pimrpc.OutcomeUnknown{})
	}
	if l.pending.isRemainder {
		l.pending.respond(pimrpc.OutcomeUnknown{})
	} else {
		l.pending.respond(pimrpc.NotLeader{})
	}
	for _, leave := range l.leaves {
		leave.respond(pimrpc.NotLeader{})
	}
	for _, submission := range l.submitting {
		for _, respond := range submission.responders {
			respond(pimrpc.OutcomeUnknown{})
		}
	}
}

// respond sends a response to all requests that wait for the commit.
func (p proposal) respond(response pimrpc.Response) {
	for _, respond := range p.responders {
		respond(response)
	}
}

// tickLeadership does the work of the leader: it responds to reads, tracks the workers, plans runs,
// proposes log entries and adjusts the membership.
func (c *Control) tickLeadership(ctx context.Context) {
	l := c.leadership
	if !l.ready {
		if _, ok := c.replica.LeadershipConfirmedAt(c.now); !ok {
			return
		}
		l.ready = true
		l.fleet = pimfleet.NewFleet(c.settings.Fleet, l.term, c.state, c.now)
		c.endStep("new fleet")
		l.planner = pimplan.NewPlanner(c.state, l.fleet)
		l.planner.Configure(c.settings.Plan)
		l.planner.OnProgress(func() { c.send(c.replica.KeepAlive(pimclock.Now())) })
		c.endStep("new planner")
		l.relays = pimrelay.NewRelays(pimrelay.Daemon{ID: c.id, Domain: c.settings.Domain}, c.now)
		l.nextLearnedAt = c.now + learnedInterval
		l.dirty = true
		c.updateForwarder()
		c.logger.Info().Uint64("term", l.term).Int("jobs", len(c.state.OpenJobs())).
			Int("workers", len(c.state.Workers())).Msg("leadership of the job group is confirmed")
	}
	c.answerReads()
	c.tickRelays()
	l.fleet.Tick(c.now)
	l.answerLeaves(c.now)
	c.applyFleetOutput(ctx)
	c.endStep("fleet")
	c.plan(ctx)
	c.endStep("plan")
	c.saveLearned()
	c.reportFairness()
	c.organisations.update(c.state, func(worker string) bool { return l.fleet.IsUsable(worker, c.now) }, c.now)
	c.propose()
	c.adjustMembers()
}

// nextTick returns when tickLeadership is next to be called.
func (l *leadership) nextTick(c *Control) time.Duration {
	if !l.ready {
		return c.now + planInterval
	}
	next := min(l.fleet.Next(), l.nextMembersAt, l.relays.Next())
	if !l.planPending {
		if l.dirty {
			next = min(next, l.nextPlanAt)
		}
		next = min(next, l.nextPlanAt+replanInterval)
	}
	if len(l.reads) > 0 {
		next = min(next, l.nextConfirmAt)
	}
	if l.nextLeaveAt > 0 {
		next = min(next, l.nextLeaveAt)
	}
	return next
}

// applyFleetOutput logs the decisions of the fleet, adds its operations to the next entry and makes its calls.
func (c *Control) applyFleetOutput(ctx context.Context) {
	l := c.leadership
	calls, ops, decisions := l.fleet.Take()
	for _, decision := range decisions {
		entry := c.logger.Info().Str("worker", decision.Worker)
		if decision.Key.Job != "" {
			entry = entry.Stringer("task", decision.Key).Int("run", decision.Number)
		}
		entry.Str("detail", decision.Detail).Msg(decision.Text)
	}
	if len(ops) > 0 {
		l.pending.ops = append(l.pending.ops, ops...)
		l.pending.cursors = l.fleet.PendingCursors()
	}
	for _, call := range calls {
		c.call(ctx, call)
	}
}

// plan makes a plan if one is due and the starts of the last plan are committed.
func (c *Control) plan(ctx context.Context) {
	l := c.leadership
	due := l.nextPlanAt
	if !l.dirty {
		due += replanInterval
	}
	if l.planPending || c.now < due {
		return
	}
	l.limitStarts()
	plan := l.planner.Plan(c.now, time.Now().UnixMilli())
	l.dirty = plan.Limited
	now := pimclock.Now()
	l.nextPlanAt = now + max(planInterval, planIdleRatio*(now-c.now))
	c.now = now
	for _, start := range plan.Starts {
		l.pending.ops = append(l.pending.ops, start)
		c.logger.Debug().Stringer("task", start.Key).Int("run", start.Number).Str("worker", start.Worker).
			Msg("start of a run on the worker is planned")
	}
	if len(plan.Starts) > 0 {
		l.pending.hasPlan = true
		l.planPending = true
		c.metrics.Add("planned-starts", int64(len(plan.Starts)))
	}
	for _, stop := range plan.Stops {
		c.reportStop(stop)
		l.fleet.Stop(stop.Worker, stop.Key, stop.Number, c.now)
	}
	c.reportStops(plan.StopReport)
	c.reportHealth(plan.HealthChanges)
	c.reportReservations(plan.Reservations)
	for _, throttle := range plan.Throttles {
		l.fleet.Throttle(throttle.Worker, throttle.Key, throttle.Number, throttle.SpeedPercent, c.now)
	}
	c.reportWaits(plan.Waits)
	c.applyFleetOutput(ctx)
}

// saveLearned adds what the planner has learned to the next entry, for the planner of the next leader. It adds nothing
// while nothing else is to be proposed: then no run has started or ended.
func (c *Control) saveLearned() {
	l := c.leadership
	if c.now < l.nextLearnedAt || len(l.pending.ops) == 0 {
		return
	}
	l.nextLearnedAt = c.now + learnedInterval
	l.pending.ops = append(l.pending.ops, pimjob.SaveLearned{Learned: l.planner.Learned()})
}

// propose proposes the pending operations as one log entry, or the first of them if they are too many for one. If the
// replica doesn't accept it, they stay pending.
func (c *Control) propose() {
	l := c.leadership
	if len(l.pending.ops) == 0 || len(l.proposed) >= maxProposed {
		return
	}
	batch, rest := l.pending, proposal{}
	if cut := entryLength(batch.ops); cut < len(batch.ops) {
		// What waits for the commit waits for the last part.
		batch, rest = proposal{ops: batch.ops[:cut]}, batch
		rest.ops = rest.ops[cut:]
		rest.isRemainder = true
	}
	data, err := pimjob.EncodeBatch(time.Now().UnixMilli(), batch.ops)
	if err != nil {
		c.logger.Error().Err(err).Msg("log entry cannot be encoded")
		l.pending = rest
		batch.respond(pimrpc.OutcomeUnknown{})
		return
	}
	index, _, err := c.replica.Propose(c.now, data)
	if err != nil {
		return
	}
	l.pending = rest
	l.proposed[index] = batch
}

// entryLength returns how many of the operations go into the next entry. Starts of one step stay together, since they may
// be those of a gang.
func entryLength(ops []pimjob.Op) int {
	for cut := maxOpsPerEntry; cut < len(ops); cut++ {
		before, isStart := ops[cut-1].(pimjob.Start)
		after, ok := ops[cut].(pimjob.Start)
		if !isStart || !ok || before.Key.Job != after.Key.Job || before.Key.Occurrence != after.Key.Occurrence ||
			before.Key.Step != after.Key.Step {
			return cut
		}
	}
	return len(ops)
}

// onApplied handles a committed entry that was applied to the state, and responds to the requests
// that waited for it.
func (l *leadership) onApplied(c *Control, entry pimconsensus.Entry, changes []pimjob.Change) {
	if l.fleet != nil {
		l.fleet.OnChanges(changes, c.now)
		l.planner.OnChanges(changes, c.now)
		c.logChanges(changes)
	}
	batch, ok := l.proposed[entry.Index]
	if !ok || entry.Term != l.term {
		// A later leader's entry may take the place of a proposed one before this leadership has ended.
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
		response := c.submissionResponse(id, l.submitting[id])
		for _, respond := range l.submitting[id].responders {
			respond(response)
		}
		delete(l.submitting, id)
	}
}

// handOver transfers the leadership after StepDown was called.
func (c *Control) handOver() {
	if !c.steppingDown || !c.replica.IsLeader() || c.now < c.nextHandoverAt {
		return
	}
	c.nextHandoverAt = c.now + handoverInterval
	c.transferLeadership()
}

// transferLeadership transfers the leadership to the most up-to-date reachable voter.
func (c *Control) transferLeadership() {
	best, bestMatch := "", uint64(0)
	for _, id := range c.replica.Members().Voters {
		progress, ok := c.replica.ProgressOf(id)
		if ok && id != c.id && progress.Match >= bestMatch && c.now-progress.LastContact < time.Second {
			best, bestMatch = id, progress.Match
		}
	}
	if best != "" && c.replica.TransferTo(c.now, best) {
		c.logger.Info().Str("to", best).Msg("transferring the leadership of the job group")
		c.flush()
	}
}

// updateForwarder reports the current leader to the forwarder of this daemon.
func (c *Control) updateForwarder() {
	c.forwarder.OnLeaderReply(c.leaderReply())
}
