package pimfleet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// reportedRuns is how many of the runs of a lost worker its log line names.
const reportedRuns = 4

// observeContact records whether the worker responded to a call. A connection that breaks before the call times out shows
// when the worker stopped; after a time-out, only the last response does.
func (w *workerState) observeContact(result Result, now time.Duration) {
	switch {
	case result.Clock > 0:
		w.heardAt, w.silentSince = now, 0
	case result.Outcome != OutcomeUnknown || w.silentSince != 0:
	default:
		w.silentSince = now
		if call, ok := result.Call.(RenewLease); !ok || now-call.SentAt >= call.Wait+responseTimeout {
			w.silentSince = max(w.heardAt, time.Nanosecond)
		}
	}
}

// silentFor returns for how long the worker has not responded.
func (f *Fleet) silentFor(w *workerState) time.Duration {
	if w.silentSince == 0 {
		return 0
	}
	return f.now - w.silentSince
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
	silentFor := f.silentFor(w)
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
