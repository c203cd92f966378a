package pimrequest

import (
	"maps"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/route/pimslot"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimdomain"
)

// OnResult takes in the end of an attempt.
func (r *Router) OnResult(now time.Duration, result Result) {
	if late, ok := r.lateAttempts[result.Attempt]; ok {
		r.onLateResult(now, late.request, result)
		return
	}
	w := r.attempts[result.Attempt]
	if w == nil || w.state != stateSent {
		return
	}
	r.release(w.domain, w.attempt, usageOf(result.Kind), now-w.sentAt)
	switch result.Kind {
	case ResultComplete:
		r.retryBudget = min(r.retryBudget+retriesPerAnswer, maxRetryBudget)
		r.endJournal(w, pimdomain.RequestExecuted, pimcode.OK, result.Payload)
		r.finish(w, Answer{Outcome: OutcomeRan, Payload: result.Payload})
	case ResultNotSent:
		r.retry(now, w, pimcode.ConnectFailed)
	case ResultRefused:
		r.retry(now, w, pimcode.EndpointRefused)
	default:
		r.onUnknown(now, w, codeOf(result.Kind))
	}
}

func usageOf(kind ResultKind) pimslot.Usage {
	switch kind {
	case ResultComplete:
		return pimslot.UsageAnswered
	case ResultNotSent:
		return pimslot.UsageFailed
	case ResultRefused:
		return pimslot.UsageRefused
	default:
		return pimslot.UsageLost
	}
}

func codeOf(kind ResultKind) pimcode.Code {
	switch kind {
	case ResultIncomplete:
		return pimcode.AnswerIncomplete
	case ResultMismatched:
		return pimcode.AnswerCrossed
	default:
		return pimcode.ConnectionLost
	}
}

// onUnknown ends an attempt that may have run. Only an idempotent request goes on.
func (r *Router) onUnknown(now time.Duration, w *pendingRequest, code pimcode.Code) {
	w.mayHaveRun = true
	if w.Idempotent {
		r.retry(now, w, code)
		return
	}
	r.trackLateAttempt(now, w)
	r.endJournal(w, pimdomain.RequestOutcomeUnknown, code, nil)
	r.finish(w, Answer{Outcome: OutcomeUnknown, Code: code})
}

// retry tries again inside the budget, the number of attempts and the deadline.
func (r *Router) retry(now time.Duration, w *pendingRequest, code pimcode.Code) {
	w.lastCode = code
	delete(r.attempts, w.attempt)
	if now >= w.deadline || w.attempts >= maxAttempts+2*len(w.domains) {
		r.endWithoutAnswer(w)
		return
	}
	if r.retryBudget < 1 {
		w.lastCode = pimcode.RetryBudgetSpent
		w.retryAfter = max(w.retryAfter, time.Second)
		r.endWithoutAnswer(w)
		return
	}
	r.retryBudget--
	w.avoidEndpoint = w.endpoint
	w.domainIndex = 0
	w.state = stateSlotBackoff
	w.resumeAt = now + slotBackoff
}

func (r *Router) trackLateAttempt(now time.Duration, w *pendingRequest) {
	r.lateAttempts[w.attempt] = lateAttempt{request: *w, expiresAt: now + lateAnswerRetention}
}

// onLateResult records that a given-up attempt ran after all, and frees its slot.
func (r *Router) onLateResult(now time.Duration, w pendingRequest, result Result) {
	if result.Kind == ResultLost || result.Kind == ResultIncomplete || result.Kind == ResultMismatched {
		return
	}
	delete(r.lateAttempts, result.Attempt)
	r.release(w.domain, result.Attempt, usageOf(result.Kind), now-w.sentAt)
	if result.Kind == ResultComplete {
		r.endJournal(&w, pimdomain.RequestExecuted, pimcode.OK, result.Payload)
	}
}

// Tick lets time pass: deadlines, silent leaders, pauses.
func (r *Router) Tick(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(r.requests)) {
		r.tickRequest(now, r.requests[id])
	}
	maps.DeleteFunc(r.lateAttempts, func(_ string, l lateAttempt) bool { return now > l.expiresAt })
}

func (r *Router) tickRequest(now time.Duration, w *pendingRequest) {
	if now >= w.deadline {
		r.expire(now, w)
		return
	}
	switch w.state {
	case stateJournalBackoff:
		if now >= w.resumeAt {
			r.beginJournal(now, w)
		}
	case stateSlotBackoff:
		if now >= w.resumeAt {
			r.requestSlot(now, w)
		}
	case stateSlot:
		if now >= w.slotTimeoutAt {
			r.release(w.domain, w.attempt, pimslot.UsageNotSent, 0)
			w.lastCode = pimcode.NoLeader
			r.suspectUntil[w.domain] = now + suspectFor
			r.nextDomain(now, w)
		}
	}
}

// expire answers a request whose deadline has come.
func (r *Router) expire(now time.Duration, w *pendingRequest) {
	switch w.state {
	case stateJournal:
		r.failJournal(w)
	case stateJournalBackoff:
		r.finish(w, Answer{Outcome: OutcomeUnknown, Code: w.lastCode, RetryAfter: time.Second})
	case stateSent:
		r.release(w.domain, w.attempt, pimslot.UsageLost, now-w.sentAt)
		w.mayHaveRun = true
		w.lastCode = pimcode.DeadlineExceeded
		r.trackLateAttempt(now, w)
		r.endWithoutAnswer(w)
	default:
		if w.state == stateSlot {
			r.release(w.domain, w.attempt, pimslot.UsageNotSent, 0)
		}
		w.lastCode = pimcode.DeadlineExceeded
		r.endWithoutAnswer(w)
	}
}
