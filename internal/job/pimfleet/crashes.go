package pimfleet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

// reportedRuns is how many of the runs of a lost worker its log line names.
const reportedRuns = 4

// observeContact records whether the worker responded to a call. A renewal that breaks off before it times out shows when
// the worker stopped; after a time-out, only the last response does.
func (f *Fleet) observeContact(w *workerState, result Result) {
	if result.Clock > 0 {
		w.heardAt = f.now
		// Only a renewal tells which generation has responded.
		if _, ok := result.Call.(RenewLease); ok && result.Generation == w.worker.Generation {
			f.endSilence(w)
		}
		return
	}
	call, ok := result.Call.(RenewLease)
	if !ok || result.Outcome != OutcomeUnknown {
		return
	}
	timedOut := f.now-call.SentAt >= call.Wait+responseTimeout
	if w.silentSince == 0 {
		w.silentSince = f.now
		if w.heardAt > 0 && timedOut {
			w.silentSince = w.heardAt
		}
	}
	// One time-out may come from a slow leader, which a log entry for each worker would slow down further.
	if !timedOut || w.failures > 0 {
		f.markSilentOnce(w)
	}
}

// markSilentOnce marks a worker as silent unless that is done, it responds or it has no runs.
func (f *Fleet) markSilentOnce(w *workerState) {
	if w.silentSince == 0 || w.markedSilent || len(w.runs) == 0 {
		return
	}
	var confirmed []pimjob.TaskKey
	for _, run := range w.sortedRuns(func(run *trackedRun) bool { return run.confirmedAt > 0 }) {
		confirmed = append(confirmed, run.live.Key)
	}
	f.markSilent(w, confirmed...)
}

// markSilent proposes to record that the worker does not respond, and tasks that it has begun to run. It is called again
// when a response that was on its way confirms another one.
func (f *Fleet) markSilent(w *workerState, confirmed ...pimjob.TaskKey) {
	w.markedSilent = true
	f.ops = append(f.ops, pimjob.MarkSilent{
		ID: w.worker.ID, Generation: w.worker.Generation, SilentFor: f.now - w.silentSince, Confirmed: confirmed,
	})
}

// endSilence records that the worker responds.
func (f *Fleet) endSilence(w *workerState) {
	w.silentSince, w.lossReported = 0, false
	if w.markedSilent || f.state.IsSilent(w.worker.ID) {
		w.markedSilent = false
		f.ops = append(f.ops, pimjob.MarkSilent{ID: w.worker.ID, Generation: w.worker.Generation, RespondsAgain: true})
	}
}

// silentFor returns for how long the worker has not responded.
func (w *workerState) silentFor(now time.Duration) time.Duration {
	if w.silentSince == 0 {
		return 0
	}
	return now - w.silentSince
}

// reportLoss logs which runs are lost with a worker that ended without notice: for how long it was silent, and the newest
// runs with their age when it fell silent.
func (f *Fleet) reportLoss(w *workerState) {
	if w.lossReported || len(w.runs) == 0 {
		return
	}
	w.lossReported = true
	runs := w.sortedRuns(func(*trackedRun) bool { return true })
	slices.SortStableFunc(runs, func(a, b *trackedRun) int { return cmp.Compare(b.committedAt, a.committedAt) })
	silentFor := w.silentFor(f.now)
	var newest []string
	for _, run := range runs[:min(reportedRuns, len(runs))] {
		age := "inherited"
		if run.committedAt > 0 {
			age = fmt.Sprintf("%dms", (f.now - silentFor - run.committedAt).Milliseconds())
		}
		newest = append(newest, fmt.Sprintf("%v/%d:%s", run.live.Key, run.live.Run.Number, age))
	}
	f.recordDecision("worker ended without notice", w.worker.ID, runID{}, fmt.Sprintf("silent-ms=%d runs=%d newest=%s",
		silentFor.Milliseconds(), len(runs), strings.Join(newest, ",")))
}

// proposeUnbegunEnds proposes the ends of runs that a crashed worker has never executed, so that they aren't taken for the
// cause.
func (f *Fleet) proposeUnbegunEnds(w *workerState) {
	unbegun := func(run *trackedRun) bool { return run.state == starting && !run.mayHaveBegun && !run.inFlight }
	for _, run := range w.sortedRuns(unbegun) {
		f.recordDecision("run ended as refused: the worker crashed before", w.worker.ID, runID{run.live.Key, run.live.Run.Number}, "")
		f.proposeRefusedEnd(w, run)
	}
}
