package pimfleet

import (
	"maps"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

// OnResult takes in what came of a call.
func (f *Fleet) OnResult(result Result, now time.Duration) {
	f.now = now
	target := TargetOf(result.Call)
	c := f.workers[target.ID]
	if c == nil || c.worker.Generation != target.Generation {
		return
	}
	c.dirty = true
	if result.Outcome == OutcomeOtherGeneration {
		f.recordDecision("another life answers", c.worker.ID, runID{}, "")
		c.renewing = false
		c.reachable = false
		f.proposeDrop(c)
		return
	}
	switch call := result.Call.(type) {
	case RenewLease:
		f.onRenewalResult(c, call, result)
	case StartRun:
		if o := c.runs[runID{call.Key, call.Number}]; o != nil {
			f.onStartResult(c, o, result)
		}
	case StopRun:
		if o := c.runs[runID{call.Key, call.Number}]; o != nil {
			f.onStopResult(o, result)
		}
	case ThrottleRun:
		if o := c.runs[runID{call.Key, call.Number}]; o != nil {
			f.onThrottleResult(c, o, call, result)
		}
	}
}

func (f *Fleet) onRenewalResult(c *workerState, call RenewLease, result Result) {
	c.renewing = false
	if result.Outcome != OutcomeExecuted {
		f.onRenewalFailed(c, result)
		if c.leaving {
			f.proposeDrop(c)
		}
		return
	}
	if result.Generation != c.worker.Generation {
		c.renewAt = f.now + retryDelay
		f.fenceNewGeneration(c, call, result)
		return
	}
	c.setClock(result.Clock, f.now)
	c.failures = 0
	c.reachable = true
	c.renewAt = f.now
	listed := f.recordRunning(c, result.Running)
	f.updated[c.worker.ID] = true
	f.proposeEnds(c, result.Ended, listed)
	f.resolveMissing(c, call.SentAt, listed)
	if c.leaving {
		f.proposeDrop(c)
		return
	}
	if c.proposedCursor <= c.cursor {
		f.renewLease(c)
	}
}

func (f *Fleet) onRenewalFailed(c *workerState, result Result) {
	if result.Outcome == OutcomeNotSent {
		c.renewAt = f.now + retryDelay
		return
	}
	if c.reachable {
		f.recordDecision("worker does not answer", c.worker.ID, runID{}, result.Outcome.String()+" "+result.Reason.String())
	}
	c.reachable = false
	c.failures++
	c.renewAt = f.now
	if c.failures > 1 {
		c.renewAt = f.now + unreachableRetryDelay
	}
	if c.leaseExpired {
		c.renewAt = f.now + expiredRetryDelay
	}
}

// recordRunning notes the rows of a list and stops runs that the log no longer holds.
func (f *Fleet) recordRunning(c *workerState, rows []RunStatus) map[runID]bool {
	listed := make(map[runID]bool, len(rows))
	for _, row := range rows {
		id := runID{row.Key, row.Number}
		listed[id] = true
		o := c.runs[id]
		if o == nil {
			f.recordDecision("unknown run is stopped", c.worker.ID, id, "")
			f.calls = append(f.calls, StopRun{Target: c.target(), Token: f.term, Key: row.Key, Number: row.Number})
			continue
		}
		f.recordStatus(c, o, row)
	}
	return listed
}

func (f *Fleet) recordStatus(c *workerState, o *trackedRun, row RunStatus) {
	if o.progressedAt == 0 || row.ProgressPercent != o.status.ProgressPercent || row.Checkpoint != o.status.Checkpoint {
		o.progressedAt = c.clock
	}
	if row.Checkpoint != "" && row.Checkpoint != o.status.Checkpoint {
		if task, _, _ := f.state.Task(row.Key); task != nil && task.Checkpoint != row.Checkpoint {
			f.ops = append(f.ops, pimjob.SaveCheckpoint{Key: row.Key, Number: row.Number, Checkpoint: row.Checkpoint})
		}
	}
	o.status, o.listedAt = row, c.clock
	if o.state == inherited || o.state == starting {
		f.confirmRun(o)
	}
	if _, _, job := f.state.Task(row.Key); job == nil || (job.State.IsEnded() && job.State != pimjob.Completed) {
		f.stopRun(c, o)
	}
}

func (f *Fleet) confirmRun(o *trackedRun) {
	o.state = running
	o.outcomeUnknown = false
	o.confirmedAt = f.now
}

// proposeEnds proposes the ends that the log does not hold; the cursor moves past the others.
func (f *Fleet) proposeEnds(c *workerState, ends []EndedRun, listed map[runID]bool) {
	for _, end := range ends {
		if end.Sequence <= c.proposedCursor {
			continue
		}
		c.proposedCursor = end.Sequence
		id := runID{end.Key, end.Number}
		listed[id] = true
		if c.runs[id] == nil {
			continue
		}
		f.ops = append(f.ops, pimjob.End{
			Key: end.Key, Number: end.Number, Worker: c.worker.ID, Generation: c.worker.Generation, Kind: end.EndKind, Checkpoint: end.Checkpoint,
		})
	}
	if len(f.ops) == 0 {
		c.cursor = c.proposedCursor
	}
}

// resolveMissing ends the runs that a list should show and does not: those that the worker
// said it will not start. A run that should be there is ordered again under its number,
// which starts it or tells that it has ended.
func (f *Fleet) resolveMissing(c *workerState, sentAt time.Duration, listed map[runID]bool) {
	missing := func(o *trackedRun) bool { return !o.inFlight && !listed[runID{o.live.Key, o.live.Run.Number}] }
	for _, o := range c.sortedRuns(missing) {
		id := runID{o.live.Key, o.live.Run.Number}
		switch {
		case o.state == closing && o.closingSince < sentAt:
			f.recordDecision("run will not start", c.worker.ID, id, "")
			f.proposeRefusedEnd(c, o)
			o.closingSince = f.now
		case o.state == inherited || (o.state == running && o.confirmedAt < sentAt):
			o.state = starting
			o.attempts = 0
			o.outcomeUnknown = true
			o.nextAt = f.now
			f.advanceRun(c, o)
		}
	}
}

func (f *Fleet) proposeRefusedEnd(c *workerState, o *trackedRun) {
	f.ops = append(f.ops, pimjob.End{
		Key: o.live.Key, Number: o.live.Run.Number, Worker: c.worker.ID, Generation: c.worker.Generation, Kind: pimjob.EndRefused,
	})
}

func (f *Fleet) onStartResult(c *workerState, o *trackedRun, result Result) {
	o.inFlight = false
	if result.Clock > 0 {
		c.setClock(result.Clock, f.now)
	}
	if o.state != starting {
		f.advanceRun(c, o)
		return
	}
	switch result.Outcome {
	case OutcomeExecuted:
		f.confirmRun(o)
		f.advanceRun(c, o)
	case OutcomeRejected, OutcomeUnhealthy:
		f.onStartRejected(c, o, result)
	case OutcomeUnknown, OutcomeOtherGeneration:
		o.outcomeUnknown = true
		o.nextAt = f.now + retryDelay
		if o.attempts >= maxStartAttempts {
			f.recordDecision("start unanswered", c.worker.ID, runID{o.live.Key, o.live.Run.Number}, "")
			f.stopRun(c, o)
		}
	case OutcomeNotSent:
		o.nextAt = f.now + retryDelay
	}
}

func (f *Fleet) onStartRejected(c *workerState, o *trackedRun, result Result) {
	id := runID{o.live.Key, o.live.Run.Number}
	f.recordDecision("start rejected", c.worker.ID, id, result.Outcome.String()+" "+result.Reason.String())
	if result.Reason == ReasonFenced {
		o.outcomeUnknown = true
		o.nextAt = f.now + expiredRetryDelay
		return
	}
	if result.Outcome == OutcomeUnhealthy || result.Reason == ReasonNoCapacity {
		c.unhealthyUntil = f.now + unhealthyBackoff
	}
	switch {
	case result.Reason == ReasonStaleRun:
		o.state = closing
		o.closingSince = f.now
	case o.outcomeUnknown:
		f.stopRun(c, o)
	default:
		o.state = closing
		o.closingSince = f.now
		f.proposeRefusedEnd(c, o)
	}
}

func (f *Fleet) onStopResult(o *trackedRun, result Result) {
	o.inFlight = false
	switch result.Outcome {
	case OutcomeExecuted:
		o.state = closing
		o.closingSince = f.now
	default:
		o.nextAt = f.now + min(expiredRetryDelay, retryDelay*time.Duration(o.attempts))
	}
}

func (f *Fleet) onThrottleResult(c *workerState, o *trackedRun, call ThrottleRun, result Result) {
	o.inFlight = false
	if result.Outcome == OutcomeExecuted {
		o.speedPercent = call.SpeedPercent
	} else {
		o.nextAt = f.now + retryDelay
	}
	f.advanceRun(c, o)
}

// OnCommitted tells that all operations that were taken before are in the log, so that
// the ends among them may be acknowledged.
func (f *Fleet) OnCommitted(marks map[string]EndCursor, now time.Duration) {
	f.now = now
	for _, id := range slices.Sorted(maps.Keys(marks)) {
		c, mark := f.workers[id], marks[id]
		if c == nil || c.worker.Generation != mark.Generation || mark.Sequence <= c.cursor {
			continue
		}
		c.cursor = mark.Sequence
		c.dirty = true
		if !c.renewing && c.proposedCursor <= c.cursor {
			f.renewLease(c)
		}
	}
}

// EndCursor is the highest end of a life of a worker that a proposal holds.
type EndCursor struct {
	Generation int64
	Sequence   int64
}

// PendingCursors returns what is on its way into the log with the operations taken now.
func (f *Fleet) PendingCursors() map[string]EndCursor {
	marks := map[string]EndCursor{}
	for id, c := range f.workers {
		if c.proposedCursor > c.cursor {
			marks[id] = EndCursor{Generation: c.worker.Generation, Sequence: c.proposedCursor}
		}
	}
	return marks
}
