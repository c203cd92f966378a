package pimfleet

import (
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

func (f *Fleet) onWorkerChanged(change pimjob.WorkerChanged) {
	known := f.workers[change.Worker.ID]
	if change.Removed {
		delete(f.workers, change.Worker.ID)
		f.sortWorkers()
		return
	}
	if known != nil && known.worker.Generation == change.Worker.Generation {
		known.worker = change.Worker
		return
	}
	f.addWorker(change.Worker)
}

// OnLeave takes in that a worker leaves, and reports whether the fleet knows it. The worker is
// dropped after the answer to the renewal under way: ends that it lists come first.
func (f *Fleet) OnLeave(id string, born int64, now time.Duration) bool {
	f.now = now
	c := f.workers[id]
	if c == nil || c.worker.Generation != born {
		return false
	}
	c.leaving = true
	if !c.renewing {
		f.proposeDrop(c)
	}
	return true
}

// proposeDrop proposes that a worker is gone, after the ends that were proposed before.
func (f *Fleet) proposeDrop(c *workerState) {
	f.ops = append(f.ops, pimjob.DropWorker{ID: c.worker.ID, Generation: c.worker.Generation})
	c.renewAt = f.now + expiredRetryDelay
	c.dirty = true
}

// OnNewGeneration takes in that a worker says it began anew at its address, and reports whether the
// old life's runs may end at once.
func (f *Fleet) OnNewGeneration(id string, born int64, now time.Duration) bool {
	f.now = now
	c := f.workers[id]
	if c == nil || c.worker.Generation >= born || len(c.sortedRuns(startMayArrive)) == 0 {
		return true
	}
	if !c.renewing && c.newGeneration != born {
		// The list that follows shows the new life.
		c.reachable = false
		c.renewAt = now
		c.dirty = true
	}
	return false
}

// fenceNewGeneration ends the runs of a life that is over. A start that was on its way may reach
// the new life, if calls name the worker by its id alone: such runs are stopped there first, which
// also keeps them from starting later, and the old life's runs end once the new one's
// list shows none of them.
func (f *Fleet) fenceNewGeneration(c *workerState, call RenewLease, result Result) {
	if c.newGeneration != result.Generation {
		f.recordDecision("another life answers", c.worker.ID, runID{}, "")
		c.newGeneration = result.Generation
		c.reachable = false
		c.leaseExpiresAt = f.now + withClockDrift(f.policy.Lease) + leaseExpiryMargin
		for _, o := range c.sortedRuns(startMayArrive) {
			o.state, o.stopping = starting, false
			f.stopRun(c, o)
		}
	}
	live := map[runID]bool{}
	for _, row := range result.Running {
		live[runID{row.Key, row.Number}] = true
	}
	for _, o := range c.sortedRuns(startMayArrive) {
		if o.state != closing || o.closingSince >= call.SentAt || live[runID{o.live.Key, o.live.Run.Number}] {
			return
		}
	}
	// A run that was carried out in the new life has ended as any other.
	for _, end := range result.Ended {
		if c.runs[runID{end.Key, end.Number}] != nil {
			f.ops = append(f.ops, pimjob.End{
				Key: end.Key, Number: end.Number, Worker: c.worker.ID, Generation: c.worker.Generation, Kind: end.EndKind, Checkpoint: end.Checkpoint,
			})
		}
	}
	f.proposeDrop(c)
}

// startMayArrive reports whether the start of a run may still be on its way: it was ordered, also
// again, and no list of its worker has shown the run since. A new leader has seen no list
// of the old life.
func startMayArrive(o *trackedRun) bool {
	if o.state == starting && !o.stopping {
		return o.attempts > 0 || o.inFlight || o.outcomeUnknown
	}
	return o.listedAt == 0 || o.stopping
}
