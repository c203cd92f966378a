package pimfleet

import (
	"fmt"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

// claim is what a heartbeat says of a worker that the state holds with another generation or address. It may be late or come
// from another writer, so that it counts only once the worker itself has confirmed it.
type claim struct {
	worker pimjob.Worker
	clock  time.Duration
}

// OnClaim handles a heartbeat under the ID of a known worker that gives another generation or address. The worker is asked at
// that address.
func (f *Fleet) OnClaim(worker pimjob.Worker, clock, now time.Duration) {
	f.now = now
	w := f.workers[worker.ID]
	if w == nil || w.claim != nil {
		return
	}
	f.askForClaim(w, claim{worker, clock})
}

func (f *Fleet) askForClaim(w *workerState, claim claim) {
	w.claim = &claim
	worker := claim.worker
	f.calls = append(f.calls, RenewLease{
		Target: Target{ID: worker.ID, Generation: worker.Generation, Address: worker.Address},
		Token:  f.token(worker.ID), SentAt: f.now,
	})
}

// isForClaim reports whether a call is the one by which the worker is asked for its claim.
func (w *workerState) isForClaim(call Call) bool {
	renewal, ok := call.(RenewLease)
	return ok && w.claim != nil && renewal.Target != w.target() &&
		renewal.Target.Generation == w.claim.worker.Generation && renewal.Target.Address == w.claim.worker.Address
}

// onClaimResult records the generation and address that a worker has confirmed.
func (f *Fleet) onClaimResult(w *workerState, result Result) {
	confirmed := *w.claim
	w.claim = nil
	call, ok := result.Call.(RenewLease)
	if !ok || result.Outcome != OutcomeExecuted {
		return
	}
	known, generation := w.worker.Generation, confirmed.worker.Generation
	detail := fmt.Sprintf("known=%d claimed=%d answered=%d address=%s", known, generation, result.Generation, confirmed.worker.Address)
	switch {
	case result.Generation != generation:
		f.recordDecision("heartbeat names a generation that the worker does not confirm", w.worker.ID, runID{}, detail)
		return
	case generation < known && (w.reachable || len(w.runs) > 0):
		// The renewals of the known generation tell whether that is still there.
		return
	case generation > known && confirmed.worker.Address == w.worker.Address && len(w.runs) > 0:
		f.observeGeneration(w.worker.ID, generation)
		w.dirty = true
		if !f.fenceNewGeneration(w, call, result) {
			if call.Token != f.token(w.worker.ID) {
				f.askForClaim(w, confirmed)
			}
			return
		}
		f.reportLoss(w)
		f.proposeUnbegunEnds(w)
	case generation < known:
		f.ops = append(f.ops, pimjob.DropWorker{ID: w.worker.ID, Generation: known, Crashed: true, MayReturn: true})
	}
	f.recordDecision("worker has confirmed its new generation or address", w.worker.ID, runID{}, detail)
	f.confirmed[w.worker.ID] = confirmed
	f.ops = append(f.ops, pimjob.PutWorker{Worker: confirmed.worker})
}

// applyConfirmed takes over the clock and the age of the capacity from the heartbeat of a generation that is new.
func (f *Fleet) applyConfirmed(w *workerState) {
	confirmed, ok := f.confirmed[w.worker.ID]
	if !ok || confirmed.worker.Generation != w.worker.Generation {
		return
	}
	delete(f.confirmed, w.worker.ID)
	if !w.hasClock {
		w.setClock(confirmed.clock, f.now)
	}
	w.capacityAt = max(w.capacityAt, confirmed.clock)
}
