package pimfleet

import (
	"fmt"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

// seenGeneration is the generation of a worker that responded last, and how many were seen before it in this term.
//
// A call names its worker, and not the generation. Those that are on their way when a worker restarts are executed by the next
// generation, where their deadline is a time of another clock, their cursor counts other ends, and their run may have been
// started elsewhere since. So the fencing token rises with each generation: once a generation has seen its token, it executes
// no call for the ones before.
type seenGeneration struct {
	newest  int64
	earlier uint64
}

const (
	// generationBits is the number of bits of a fencing token that hold seenGeneration.earlier. The term of the leader is above
	// them.
	generationBits = 20
	// maxCallDelay is how long after it was sent a call without an answer may be executed. Source: the platform's list of
	// disruptions.
	maxCallDelay = 12 * time.Second
)

// observeGeneration records the generation in a worker's own answer, and raises the token of its calls if it is another one.
func (f *Fleet) observeGeneration(id string, generation int64) {
	known, ok := f.seen[id]
	if ok && known.newest == generation {
		return
	}
	if ok {
		known.earlier++
	}
	known.newest = generation
	f.seen[id] = known
	if known.earlier > 0 {
		f.recordDecision("fencing off the calls for earlier generations of the worker", id, runID{},
			fmt.Sprintf("born=%d token=%d", generation, f.token(id)))
	}
}

// token returns the fencing token of the calls to a worker.
func (f *Fleet) token(id string) uint64 { return f.term<<generationBits | f.seen[id].earlier }

// maxLease returns the longest lease that a worker may hold, on the leader's clock.
func (f *Fleet) maxLease() time.Duration {
	return withClockDrift(max(f.policy.MaxLease, f.policy.Lease)) + leaseExpiryMargin
}

// onFirstResponse handles the first response of a generation to a renewal in this term. If there was a generation before, a
// call for that one may have been executed until now, and have extended the lease to the limit of the worker.
func (f *Fleet) onFirstResponse(w *workerState) {
	if w.hasResponded {
		return
	}
	w.hasResponded = true
	if w.worker.LeaseUnsettled {
		w.leaseExpiresAt = f.now + f.maxLease()
		w.settlesAt = w.leaseExpiresAt
		f.recordDecision("calls for an earlier generation may have extended the lease of the worker", w.worker.ID, runID{},
			fmt.Sprintf("born=%d lease-ms=%d", w.worker.Generation, (w.leaseExpiresAt-f.now).Milliseconds()))
	}
}

// settleLease proposes to record that a lease which calls for an earlier generation may have granted has expired.
func (f *Fleet) settleLease(w *workerState) {
	if w.settlesAt == 0 || f.now < w.settlesAt {
		return
	}
	w.settlesAt = 0
	f.ops = append(f.ops, pimjob.SettleLease{ID: w.worker.ID, Generation: w.worker.Generation})
}
