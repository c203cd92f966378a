package pimfleet

import "time"

// OnCapacity records that the state holds the capacity of a heartbeat that was sent at clock, on the worker's clock.
func (f *Fleet) OnCapacity(id string, generation int64, clock, now time.Duration) {
	f.now = now
	if w := f.workers[id]; w != nil && w.worker.Generation == generation {
		w.capacityAt = max(w.capacityAt, clock)
		w.dirty = true
	}
}

// acceptsOverload reports whether a worker starts whatever it is told to, so that only the leader keeps it within its
// capacity.
func (f *Fleet) acceptsOverload(w *workerState) bool {
	return f.policy.CapacityAge > 0 && !f.state.Config().Services[w.worker.Service].RejectsOverload
}

// isCapacityCurrent reports whether a start that is sent now reaches the worker while its last reported capacity may
// decide. Where the worker rejects what it can't hold, any age will do.
func (f *Fleet) isCapacityCurrent(w *workerState, now time.Duration) bool {
	if !f.acceptsOverload(w) {
		return true
	}
	return w.hasClock && w.capacityAt > 0 && w.clock+now-w.clockAt+responseTimeout <= w.capacityAt+f.policy.CapacityAge
}

// awaitCapacity delays the start of a run until its worker has reported its capacity, and stops the run if that takes so
// long that other workers are the better choice.
func (f *Fleet) awaitCapacity(w *workerState, run *trackedRun) {
	if run.awaitsCapacitySince == 0 {
		run.awaitsCapacitySince = f.now
	}
	if f.now < run.awaitsCapacitySince+f.policy.CapacityAge {
		run.nextAt = f.now + retryDelay
		return
	}
	f.recordDecision("stopping a run whose worker does not report its capacity", w.worker.ID,
		runID{run.live.Key, run.live.Run.Number}, "last report at "+w.capacityAt.String()+" on its clock")
	f.stopRun(w, run)
}

// startDeadline returns the deadline of a start on the worker's clock. A worker that accepts overload rejects the start
// once its capacity may have changed unnoticed. A deadline never shortens the lease.
func (f *Fleet) startDeadline(w *workerState) time.Duration {
	deadline := f.grantLease(w)
	if f.acceptsOverload(w) {
		deadline = min(deadline, w.capacityAt+f.policy.CapacityAge)
	}
	return deadline
}

// hasCapacity reports whether the worker's capacity, which may have shrunk, holds all its runs.
func (w *workerState) hasCapacity() bool { return w.worker.Capacity.Fits(w.reserved) }
