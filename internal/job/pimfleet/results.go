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
	c := f.contacts[target.ID]
	if c == nil || c.worker.Generation != target.Generation {
		return
	}
	c.touched = true
	if result.Outcome == OutcomeOtherGeneration {
		f.note("another life answers", c.worker.ID, runID{}, "")
		c.holding = false
		c.reachable = false
		f.drop(c)
		return
	}
	switch call := result.Call.(type) {
	case RenewLease:
		f.onHold(c, call, result)
	case StartRun:
		if o := c.orders[runID{call.Key, call.Number}]; o != nil {
			f.onStart(c, o, result)
		}
	case StopRun:
		if o := c.orders[runID{call.Key, call.Number}]; o != nil {
			f.onStop(o, result)
		}
	case ThrottleRun:
		if o := c.orders[runID{call.Key, call.Number}]; o != nil {
			f.onPace(c, o, call, result)
		}
	}
}

func (f *Fleet) onHold(c *contact, call RenewLease, result Result) {
	c.holding = false
	if result.Outcome != OutcomeExecuted {
		f.onHoldFailed(c, result)
		if c.leaving {
			f.drop(c)
		}
		return
	}
	if result.Generation != c.worker.Generation {
		c.holdAt = f.now + retryPause
		f.fenceNewLife(c, call, result)
		return
	}
	c.setClock(result.Clock, f.now)
	c.failures = 0
	c.reachable = true
	c.holdAt = f.now
	listed := f.takeRunning(c, result.Running)
	f.fresh[c.worker.ID] = true
	f.takeEnded(c, result.Ended, listed)
	f.settle(c, call.SentAt, listed)
	if c.leaving {
		f.drop(c)
		return
	}
	if c.committing <= c.cursor {
		f.hold(c)
	}
}

func (f *Fleet) onHoldFailed(c *contact, result Result) {
	if result.Outcome == OutcomeNotSent {
		c.holdAt = f.now + retryPause
		return
	}
	if c.reachable {
		f.note("worker does not answer", c.worker.ID, runID{}, result.Outcome.String()+" "+result.Reason.String())
	}
	c.reachable = false
	c.failures++
	c.holdAt = f.now
	if c.failures > 1 {
		c.holdAt = f.now + farPause
	}
	if c.lapsed {
		c.holdAt = f.now + lostPause
	}
}

// takeRunning notes the rows of a list and stops runs that the log no longer holds.
func (f *Fleet) takeRunning(c *contact, rows []RunStatus) map[runID]bool {
	listed := make(map[runID]bool, len(rows))
	for _, row := range rows {
		id := runID{row.Key, row.Number}
		listed[id] = true
		o := c.orders[id]
		if o == nil {
			f.note("unknown run is stopped", c.worker.ID, id, "")
			f.calls = append(f.calls, StopRun{Target: c.target(), Token: f.term, Key: row.Key, Number: row.Number})
			continue
		}
		f.takeRow(c, o, row)
	}
	return listed
}

func (f *Fleet) takeRow(c *contact, o *order, row RunStatus) {
	if o.moved == 0 || row.ProgressPercent != o.row.ProgressPercent || row.Checkpoint != o.row.Checkpoint {
		o.moved = c.clock
	}
	if row.Checkpoint != "" && row.Checkpoint != o.row.Checkpoint {
		if task, _, _ := f.state.Task(row.Key); task != nil && task.Checkpoint != row.Checkpoint {
			f.ops = append(f.ops, pimjob.SaveCheckpoint{Key: row.Key, Number: row.Number, Checkpoint: row.Checkpoint})
		}
	}
	o.row, o.rowAt = row, c.clock
	if o.state == inherited || o.state == starting {
		f.confirm(o)
	}
	if _, _, job := f.state.Task(row.Key); job == nil || (job.State.IsEnded() && job.State != pimjob.Completed) {
		f.stop(c, o)
	}
}

func (f *Fleet) confirm(o *order) {
	o.state = running
	o.unclear = false
	o.confirmed = f.now
}

// takeEnded proposes the ends that the log does not hold; the cursor moves past the others.
func (f *Fleet) takeEnded(c *contact, ends []EndedRun, listed map[runID]bool) {
	for _, end := range ends {
		if end.Sequence <= c.committing {
			continue
		}
		c.committing = end.Sequence
		id := runID{end.Key, end.Number}
		listed[id] = true
		if c.orders[id] == nil {
			continue
		}
		f.ops = append(f.ops, pimjob.End{
			Key: end.Key, Number: end.Number, Worker: c.worker.ID, Generation: c.worker.Generation, Kind: end.EndKind, Checkpoint: end.Checkpoint,
		})
	}
	if len(f.ops) == 0 {
		c.cursor = c.committing
	}
}

// settle ends the runs that a list should show and does not: those that the worker
// said it will not start. A run that should be there is ordered again under its number,
// which starts it or tells that it has ended.
func (f *Fleet) settle(c *contact, sentAt time.Duration, listed map[runID]bool) {
	missing := func(o *order) bool { return !o.inFlight && !listed[runID{o.live.Key, o.live.Run.Number}] }
	for _, o := range c.sorted(missing) {
		id := runID{o.live.Key, o.live.Run.Number}
		switch {
		case o.state == settling && o.settledAt < sentAt:
			f.note("run will not start", c.worker.ID, id, "")
			f.refuse(c, o)
			o.settledAt = f.now
		case o.state == inherited || (o.state == running && o.confirmed < sentAt):
			o.state = starting
			o.attempts = 0
			o.unclear = true
			o.nextAt = f.now
			f.advance(c, o)
		}
	}
}

func (f *Fleet) refuse(c *contact, o *order) {
	f.ops = append(f.ops, pimjob.End{
		Key: o.live.Key, Number: o.live.Run.Number, Worker: c.worker.ID, Generation: c.worker.Generation, Kind: pimjob.EndRefused,
	})
}

func (f *Fleet) onStart(c *contact, o *order, result Result) {
	o.inFlight = false
	if result.Clock > 0 {
		c.setClock(result.Clock, f.now)
	}
	if o.state != starting {
		f.advance(c, o)
		return
	}
	switch result.Outcome {
	case OutcomeExecuted:
		f.confirm(o)
		f.advance(c, o)
	case OutcomeRejected, OutcomeUnhealthy:
		f.onRejected(c, o, result)
	case OutcomeUnknown, OutcomeOtherGeneration:
		o.unclear = true
		o.nextAt = f.now + retryPause
		if o.attempts >= startAttempts {
			f.note("start unanswered", c.worker.ID, runID{o.live.Key, o.live.Run.Number}, "")
			f.stop(c, o)
		}
	case OutcomeNotSent:
		o.nextAt = f.now + retryPause
	}
}

func (f *Fleet) onRejected(c *contact, o *order, result Result) {
	id := runID{o.live.Key, o.live.Run.Number}
	f.note("start rejected", c.worker.ID, id, result.Outcome.String()+" "+result.Reason.String())
	if result.Reason == ReasonFenced {
		o.unclear = true
		o.nextAt = f.now + lostPause
		return
	}
	if result.Outcome == OutcomeUnhealthy || result.Reason == ReasonNoCapacity {
		c.unwellTill = f.now + unwellPause
	}
	switch {
	case result.Reason == ReasonStaleRun:
		o.state = settling
		o.settledAt = f.now
	case o.unclear:
		f.stop(c, o)
	default:
		o.state = settling
		o.settledAt = f.now
		f.refuse(c, o)
	}
}

func (f *Fleet) onStop(o *order, result Result) {
	o.inFlight = false
	switch result.Outcome {
	case OutcomeExecuted:
		o.state = settling
		o.settledAt = f.now
	default:
		o.nextAt = f.now + min(lostPause, retryPause*time.Duration(o.attempts))
	}
}

func (f *Fleet) onPace(c *contact, o *order, call ThrottleRun, result Result) {
	o.inFlight = false
	if result.Outcome == OutcomeExecuted {
		o.pace = call.SpeedPercent
	} else {
		o.nextAt = f.now + retryPause
	}
	f.advance(c, o)
}

// OnCommitted tells that all operations that were taken before are in the log, so that
// the ends among them may be acknowledged.
func (f *Fleet) OnCommitted(marks map[string]EndCursor, now time.Duration) {
	f.now = now
	for _, id := range slices.Sorted(maps.Keys(marks)) {
		c, mark := f.contacts[id], marks[id]
		if c == nil || c.worker.Generation != mark.Generation || mark.Sequence <= c.cursor {
			continue
		}
		c.cursor = mark.Sequence
		c.touched = true
		if !c.holding && c.committing <= c.cursor {
			f.hold(c)
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
	for id, c := range f.contacts {
		if c.committing > c.cursor {
			marks[id] = EndCursor{Generation: c.worker.Generation, Sequence: c.committing}
		}
	}
	return marks
}
