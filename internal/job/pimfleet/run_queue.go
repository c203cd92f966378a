package pimfleet

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

// runQueue is a heap of runs that need a call, those with the earliest nextAt first. With it, an event costs no pass over all
// runs of a worker.
type runQueue []*trackedRun

// notQueued is the trackedRun.queuedAt of a run that needs no call.
const notQueued = -1

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (q runQueue) Len() int { return len(q) }

// Less puts the earlier call first.
func (q runQueue) Less(i, j int) bool { return q[i].nextAt < q[j].nextAt }

// Swap exchanges two runs.
func (q runQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queuedAt, q[j].queuedAt = i, j
}

// Push appends a run.
func (q *runQueue) Push(entry any) {
	run := entry.(*trackedRun)
	run.queuedAt = len(*q)
	*q = append(*q, run)
}

// Pop removes the last run.
func (q *runQueue) Pop() any {
	last := len(*q) - 1
	run := (*q)[last]
	(*q)[last] = nil
	*q, run.queuedAt = (*q)[:last], notQueued
	return run
}

// updateDue adds a run to the queue, removes it or moves it within, after its nextAt or needsCall may have changed.
func (w *workerState) updateDue(run *trackedRun) {
	switch needsCall := run.needsCall() && w.runs[runID{run.live.Key, run.live.Run.Number}] == run; {
	case needsCall && run.queuedAt == notQueued:
		heap.Push(&w.due, run)
	case needsCall:
		heap.Fix(&w.due, run.queuedAt)
	case run.queuedAt != notQueued:
		heap.Remove(&w.due, run.queuedAt)
	}
}

// takeDue removes the runs whose call is due from the queue and returns them, sorted by task and run number.
func (w *workerState) takeDue(now time.Duration) []*trackedRun {
	var due []*trackedRun
	for len(w.due) > 0 && w.due[0].nextAt <= now {
		due = append(due, heap.Pop(&w.due).(*trackedRun))
	}
	slices.SortFunc(due, compareRuns)
	return due
}

func compareRuns(a, b *trackedRun) int {
	return cmp.Or(pimjob.CompareKeys(a.live.Key, b.live.Key), cmp.Compare(a.live.Run.Number, b.live.Run.Number))
}

// addRun adds a run of a task of the step, which is nil if it is not known.
func (w *workerState) addRun(run *trackedRun, step *pimjob.Step) {
	id := runID{run.live.Key, run.live.Run.Number}
	if known := w.runs[id]; known != nil {
		w.removeRun(known)
	}
	if step != nil {
		run.reserved = step.Reserved()
	}
	run.queuedAt = notQueued
	w.runs[id] = run
	w.reserved = w.reserved.Plus(run.reserved)
}

func (w *workerState) removeRun(run *trackedRun) {
	delete(w.runs, runID{run.live.Key, run.live.Run.Number})
	w.updateDue(run)
	w.reserved = w.reserved.Minus(run.reserved)
}
