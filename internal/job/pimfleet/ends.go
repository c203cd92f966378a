package pimfleet

import (
	"maps"
	"slices"
	"time"
)

type (
	// EndCursor is the highest EndedRun.Sequence of a worker generation whose end a proposal holds.
	EndCursor struct {
		Generation int64
		Sequence   int64
	}

	// endCursors decides which ends of a worker generation are acknowledged: those that are in the committed log. All of them
	// are sequence numbers of ends that the worker has listed.
	endCursors struct {
		// listed is the highest one seen.
		listed int64
		// proposed is the highest one whose end needed an operation.
		proposed int64
		// committed is the one up to which all ends are in the committed log.
		committed int64
		// acknowledged is the highest one in a renewal that the worker has answered.
		acknowledged int64
	}
)

// areCommitted reports whether all ends that the worker has listed are in the committed log.
func (e *endCursors) areCommitted() bool { return e.listed <= e.committed }

// list records a listed end, and returns false if it was listed before.
func (e *endCursors) list(sequence int64) bool {
	if sequence <= e.listed {
		return false
	}
	e.listed = sequence
	return true
}

// propose records that the last listed end needs an operation.
func (e *endCursors) propose() { e.proposed = e.listed }

// commit records that the operations of all ends up to a sequence number are committed. An end that needs no operation is in
// the log once those before it are.
func (e *endCursors) commit(sequence int64) {
	e.committed = max(e.committed, sequence)
	if e.committed >= e.proposed {
		e.committed = e.listed
	}
}

// toAcknowledge returns the cursor of the next renewal, or 0 if the worker has it.
func (e *endCursors) toAcknowledge() int64 {
	if e.committed > e.acknowledged {
		return e.committed
	}
	return 0
}

// proposeEnds proposes the listed ends of runs that the log still holds as live.
func (f *Fleet) proposeEnds(w *workerState, ends []EndedRun, listed map[runID]bool) {
	for _, end := range ends {
		id := runID{end.Key, end.Number}
		listed[id] = true
		if !w.ends.list(end.Sequence) {
			continue
		}
		if run := w.runs[id]; run != nil {
			f.proposeEnd(w, run, end)
			w.ends.propose()
			f.unacknowledged[w.worker.ID] = w
		}
	}
	// Where no operation is on its way, the log holds all that is listed.
	w.ends.commit(w.ends.committed)
}

// OnCommitted records that the operations taken together with these cursors are committed to the
// log, so that the ends among them may be acknowledged.
func (f *Fleet) OnCommitted(cursors map[string]EndCursor, now time.Duration) {
	f.now = now
	for _, id := range slices.Sorted(maps.Keys(cursors)) {
		w, cursor := f.workers[id], cursors[id]
		if w == nil || w.worker.Generation != cursor.Generation || cursor.Sequence <= w.ends.committed {
			continue
		}
		w.ends.commit(cursor.Sequence)
		w.dirty = true
		if !w.ends.areCommitted() {
			continue
		}
		delete(f.unacknowledged, id)
		if !w.renewing {
			f.renewLease(w)
		}
	}
}

// PendingCursors returns, by worker ID, the cursors of the ends that are proposed and not committed.
// It is to be called after Take, and its result passed to OnCommitted once those operations are committed.
func (f *Fleet) PendingCursors() map[string]EndCursor {
	cursors := map[string]EndCursor{}
	for id, w := range f.unacknowledged {
		cursors[id] = EndCursor{Generation: w.worker.Generation, Sequence: w.ends.proposed}
	}
	return cursors
}
