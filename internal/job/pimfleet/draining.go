package pimfleet

import "time"

// stayTolerance is how much earlier than before a heartbeat may let a worker leave without effect. The worker rounds the
// time that it stays, and its clock and its heartbeats reach the leader with different delays.
const stayTolerance = 250 * time.Millisecond

// recordStay updates until when a draining worker stays at least. All heartbeats give lower bounds, so that the latest of
// them holds, unless a newer heartbeat takes back what the worker said before. A heartbeat that was delayed on its way
// counts from the worker's clock at which it was sent.
func (f *Fleet) recordStay(w *workerState, clock, staysFor time.Duration) {
	if staysFor <= 0 || clock < w.saidStaysAt {
		return
	}
	age := time.Duration(0)
	if w.hasClock && clock > 0 {
		age = max(0, w.clock+f.now-w.clockAt-clock)
	}
	until := f.now + time.Duration(float64(max(0, staysFor-age))*(1-clockDrift))
	w.saidStaysAt = clock
	switch {
	case until > w.staysUntil:
	case until < w.staysUntil-stayTolerance:
		f.recordDecision("draining worker leaves earlier than it said", w.worker.ID, runID{},
			(w.staysUntil - until).Round(time.Millisecond).String())
	default:
		return
	}
	w.staysUntil = until
}

// StaysUntil returns until when a draining worker stays at least, on the leader's clock, and false if it has not said so
// in this term or is not draining. After that time the worker may stay longer.
func (f *Fleet) StaysUntil(id string) (time.Duration, bool) {
	w := f.workers[id]
	if w == nil || !w.worker.Draining || w.staysUntil == 0 {
		return 0, false
	}
	return w.staysUntil, true
}
