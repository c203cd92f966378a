package pimfleet

import "time"

const (
	// maxHeartbeatAge is the age from which a heartbeat doesn't tell what its worker is like now.
	maxHeartbeatAge = 2 * time.Second
	// maxClockLead is how much the clock in a heartbeat may be ahead of what the worker's answers let expect.
	maxClockLead = 3 * time.Second
)

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

// IsPlausible reports whether the clock in a heartbeat of a worker generation agrees with the worker's own answers. One that
// is far ahead comes from another writer.
func (f *Fleet) IsPlausible(id string, generation int64, clock, now time.Duration) bool {
	w := f.workers[id]
	return w == nil || w.worker.Generation != generation || !w.clockConfirmed || clock <= w.latestClock(now)
}

// latestClock returns the highest time that the worker's clock can show.
func (w *workerState) latestClock(now time.Duration) time.Duration {
	return w.clock + withClockDrift(now-w.clockAt) + maxClockLead
}

// dropImplausibleClocks forgets what heartbeats said before the worker itself told its clock, if they were ahead of that.
func (w *workerState) dropImplausibleClocks() {
	if w.clockConfirmed {
		return
	}
	w.clockConfirmed = true
	if latest := w.latestClock(w.clockAt); max(w.capacityAt, w.heartbeatAt, w.saidStaysAt) > latest {
		w.capacityAt, w.heartbeatAt, w.heartbeatSequence, w.saidStaysAt, w.staysUntil = 0, 0, 0, 0, 0
	}
}

// ObserveOrder records the clock and the sequence number of a heartbeat of a worker generation and reports whether the
// heartbeat is late: sent before another one that has arrived, or long ago by the worker's clock. The clock decides, as its
// range is known.
func (f *Fleet) ObserveOrder(id string, generation, sequence int64, clock, now time.Duration) (late bool) {
	w := f.workers[id]
	if w == nil || w.worker.Generation != generation {
		return false
	}
	if clock < w.heartbeatAt || (clock == w.heartbeatAt && sequence < w.heartbeatSequence) {
		return true
	}
	w.heartbeatAt, w.heartbeatSequence = clock, sequence
	return w.hasClock && clock > 0 && w.clock+now-w.clockAt-clock > maxHeartbeatAge
}

func (w *workerState) setClock(clock, now time.Duration) {
	if clock <= 0 {
		return
	}
	w.clock, w.clockAt, w.hasClock = clock, now, true
}
