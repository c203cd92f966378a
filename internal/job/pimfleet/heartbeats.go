package pimfleet

import "time"

// maxHeartbeatAge is the age from which a heartbeat doesn't tell what its worker is like now.
const maxHeartbeatAge = 2 * time.Second

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
