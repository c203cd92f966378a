package pimfleet

import (
	"fmt"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

// withClockDrift returns the longest time that may pass here while a worker's clock advances by duration.
func withClockDrift(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) / (1 - clockDrift))
}

// grantLease returns the end of a new lease on the worker's clock, or 0 while that clock is unknown,
// and records when the lease is certain to have expired.
func (f *Fleet) grantLease(w *workerState) time.Duration {
	if !w.hasClock {
		return 0
	}
	age := f.now - w.clockAt
	w.leaseExpiresAt = max(w.leaseExpiresAt, w.clockAt+withClockDrift(age+f.policy.Lease)+leaseExpiryMargin)
	w.leaseExpired = false
	return w.clock + age + f.policy.Lease
}

// Tick makes the renewals and repeated calls that are due, and detects expired leases.
func (f *Fleet) Tick(now time.Duration) {
	f.now = now
	for _, w := range f.sortedWorkers {
		if w.dirty || w.nextTickAt <= now {
			f.tickWorker(w)
		}
	}
}

func (f *Fleet) tickWorker(w *workerState) {
	w.dirty = true
	if !w.renewing && w.ends.areCommitted() && f.now >= w.renewAt {
		f.renewLease(w)
	}
	for _, run := range w.takeDue(f.now) {
		f.advanceRun(w, run)
	}
	f.settleLease(w)
	if !w.reachable && !w.leaseExpired && f.now >= w.leaseExpiresAt {
		f.expireLease(w)
	}
}

// expireLease ends the runs of a worker whose lease has expired, but for those that a generation of which nothing is known may
// have begun.
func (f *Fleet) expireLease(w *workerState) {
	var except []pimjob.TaskKey
	next := time.Duration(0)
	for _, run := range w.sortedRuns(func(run *trackedRun) bool { return f.now < f.expiryElsewhere(run) }) {
		except = append(except, run.live.Key)
		if at := f.expiryElsewhere(run); next == 0 || at < next {
			next = at
		}
	}
	if len(except) < len(w.runs) {
		f.recordDecision("worker lease expired, its runs are lost", w.worker.ID, runID{}, fmt.Sprintf("later=%d", len(except)))
		f.reportLoss(w)
		f.ops = append(f.ops, pimjob.ExpireLease{ID: w.worker.ID, Generation: w.worker.Generation, Except: except})
	}
	if len(except) > 0 {
		w.leaseExpiresAt = next
		return
	}
	w.leaseExpired = true
	f.onSilenceAfterLeave(w)
}

// expiryElsewhere returns when the lease of a run has certainly expired that a later generation of its worker may have begun,
// as no list has shown the run yet, and the answer to a start names no generation. There the deadline of the start is a time of
// another clock.
func (f *Fleet) expiryElsewhere(run *trackedRun) time.Duration {
	if run.startSentAt == 0 || run.listedAt != 0 {
		return 0
	}
	return run.startSentAt + f.maxLease()
}

// renewLease renews the lease and asks for ended runs. A worker that did not respond to the last
// renewal gets a request that grants no new lease: each new lease postpones the time at which the
// lease is certain to have expired.
func (f *Fleet) renewLease(w *workerState) {
	w.dirty = true
	call := RenewLease{Target: w.target(), Token: f.token(w.worker.ID), SentAt: f.now}
	if w.reachable {
		// Sequence numbers are per generation: an unreachable worker may have been replaced by another
		// generation, whose ended runs this cursor must not acknowledge. For the same reason a cursor is not sent again once
		// the worker has it.
		call.Cursor = w.ends.toAcknowledge()
		if !w.leaving {
			call.Deadline = f.grantLease(w)
		}
		if w.leaving || w.leaveReportedAt == 0 {
			call.Wait = f.policy.Wait
		}
	}
	w.renewing, w.renewedAddress = true, w.worker.Address
	f.calls = append(f.calls, call)
}

// Next returns when Tick next has work to do, at most an hour from now.
func (f *Fleet) Next() time.Duration {
	next := f.now + time.Hour
	for _, w := range f.sortedWorkers {
		if w.dirty {
			w.dirty = false
			w.nextTickAt = w.nextTick(f.now)
		}
		next = min(next, w.nextTickAt)
	}
	return next
}

func (w *workerState) nextTick(now time.Duration) time.Duration {
	next := now + time.Hour
	if !w.renewing && w.ends.areCommitted() {
		next = min(next, w.renewAt)
	}
	if !w.reachable && !w.leaseExpired {
		next = min(next, w.leaseExpiresAt)
	}
	if w.settlesAt != 0 {
		next = min(next, w.settlesAt)
	}
	if len(w.due) > 0 {
		next = min(next, w.due[0].nextAt)
	}
	return next
}
