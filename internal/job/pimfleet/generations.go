package pimfleet

import (
	"fmt"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

func (f *Fleet) onWorkerChanged(change pimjob.WorkerChanged) {
	known := f.workers[change.Worker.ID]
	if change.Removed {
		f.removeWorker(change.Worker.ID)
		return
	}
	if known != nil && known.worker.Generation == change.Worker.Generation {
		known.worker = change.Worker
		f.applyConfirmed(known)
		return
	}
	f.addWorker(change.Worker)
}

// OnLeave handles the report of a worker that it leaves, and returns whether the fleet tracks that generation. The report
// names no generation and may be read long after it was sent, when the worker has started again. So the worker is asked for
// its runs, and stays while it responds.
//
// A worker that was draining for as long as it had said is taken at its word: its runs are stopped and its lease is not
// renewed. It waits for LeaveAnswerAt, so that in most cases all runs have ended before it does. That it doesn't respond, or
// that a connection to it breaks, proves no end: its runs may go on until its lease has expired.
func (f *Fleet) OnLeave(id string, generation int64, now time.Duration) bool {
	f.now = now
	w := f.workers[id]
	if w == nil || w.worker.Generation != generation {
		return false
	}
	w.leaveReportedAt = now
	w.dirty = true
	f.recordDecision("worker reports that it leaves", id, runID{}, fmt.Sprintf("runs=%d ends-listed=%d ends-committed=%d draining=%t renewing=%t",
		len(w.runs), w.ends.listed, w.ends.committed, w.worker.Draining, w.renewing))
	if !w.leaving && w.worker.Draining && w.staysUntil != 0 && now >= w.staysUntil-stayTolerance {
		f.stopRunsOfLeaver(w)
	}
	if !w.renewing {
		f.renewLease(w)
	}
	return true
}

func (f *Fleet) stopRunsOfLeaver(w *workerState) {
	w.leaving = true
	w.leaveAnswerAt = f.now + f.policy.StopTimeout + responseTimeout
	f.recordDecision("worker leaves as it has announced, its runs are stopped", w.worker.ID, runID{},
		fmt.Sprintf("runs=%d lease-ms=%d after-stay-ms=%d", len(w.runs), (w.leaseExpiresAt-f.now).Milliseconds(),
			(f.now-w.staysUntil).Milliseconds()))
	for _, run := range w.sortedRuns(func(*trackedRun) bool { return true }) {
		f.stopRun(w, run)
	}
}

// LeaveAnswerAt returns when the leave of a worker generation may be acknowledged. The worker ends with the acknowledgement,
// so that one whose runs are being stopped waits for their ends, for a limited time.
func (f *Fleet) LeaveAnswerAt(id string, generation int64) time.Duration {
	w := f.workers[id]
	if w == nil || w.worker.Generation != generation || len(w.runs) == 0 {
		return 0
	}
	return w.leaveAnswerAt
}

// onResponseAfterLeave records that a worker that was reported to leave has responded to a renewal that was made afterwards.
func (f *Fleet) onResponseAfterLeave(w *workerState, call RenewLease) {
	if w.leaving || w.leaveReportedAt == 0 || call.SentAt < w.leaveReportedAt {
		return
	}
	w.leaveReportedAt = 0
	f.recordDecision("worker that was reported to leave still responds", w.worker.ID, runID{}, "")
}

// onSilenceAfterLeave drops a worker that was reported to leave and does not respond, if it is certain that nothing runs
// there any more. It may come back if the report was an old one.
func (f *Fleet) onSilenceAfterLeave(w *workerState) {
	switch {
	case w.leaving && len(w.runs) == 0:
		f.proposeDrop(w)
	case w.leaveReportedAt != 0 && w.leaseExpired:
		f.ops = append(f.ops, pimjob.DropWorker{ID: w.worker.ID, Generation: w.worker.Generation, MayReturn: !w.leaving})
	case w.leaving && w.failures == 1:
		f.recordDecision("leaving worker does not respond, its runs end with its lease", w.worker.ID, runID{},
			fmt.Sprintf("runs=%d lease-ms=%d", len(w.runs), (w.leaseExpiresAt-f.now).Milliseconds()))
	}
}

// proposeDrop proposes to drop a worker generation. Ends that were proposed before are applied first.
func (f *Fleet) proposeDrop(w *workerState) {
	crashed := !w.leaving && !w.worker.Draining
	if crashed {
		f.reportLoss(w)
		f.markSilentOnce(w)
		f.proposeUnbegunEnds(w)
	}
	f.ops = append(f.ops, pimjob.DropWorker{
		ID: w.worker.ID, Generation: w.worker.Generation, Crashed: crashed,
		// A worker whose time of day was set back starts again with a lower generation.
		MayReturn: w.newGeneration != 0 && w.newGeneration < w.worker.Generation,
	})
	w.renewAt = f.now + expiredRetryDelay
	w.dirty = true
}

// fenceNewGeneration reports whether the runs of a generation in whose place another one has responded have ended. A start for
// the old generation may be executed by the new one until that has seen the new token. So they have ended once the new
// generation has responded to a call with that token, and lists none of them. Those that it lists are stopped.
func (f *Fleet) fenceNewGeneration(w *workerState, call RenewLease, result Result) bool {
	if w.newGeneration != result.Generation {
		f.recordDecision("new generation of the worker responded", w.worker.ID, runID{}, fmt.Sprintf("born=%d", result.Generation))
		w.newGeneration = result.Generation
		w.reachable = false
		w.leaseExpiresAt = f.now + maxCallDelay + f.maxLease()
		for _, run := range w.runs {
			// What the old generation has confirmed does not hold for this one.
			run.stopping = false
			if run.state == closing {
				run.state = starting
			}
		}
	}
	w.renewAt = f.now
	if call.Token != f.token(w.worker.ID) {
		return false
	}
	w.renewAt = f.now + retryDelay
	if result.Incomplete {
		return false
	}
	remaining := 0
	for _, status := range result.Running {
		id := runID{status.Key, status.Number}
		run := w.runs[id]
		if run == nil {
			f.stopStray(w, id)
			continue
		}
		remaining++
		f.stopRun(w, run)
	}
	if remaining > 0 {
		return false
	}
	// A run that the new generation executed ends as if the old one had executed it.
	for _, end := range result.Ended {
		if run := w.runs[runID{end.Key, end.Number}]; run != nil {
			f.proposeEnd(w, run, end)
		}
	}
	return true
}
