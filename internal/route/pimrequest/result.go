package pimrequest

import (
	"maps"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/route/pimslot"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimdomain"
)

// OnResult handles the end of an attempt: it releases the slot, then answers or retries.
func (r *Router) OnResult(now time.Duration, result Result) {
	if late, ok := r.lateAttempts[result.Attempt]; ok {
		r.onLateResult(now, late.request, result)
		return
	}
	req := r.attempts[result.Attempt]
	if req == nil || req.state != stateSent {
		return
	}
	r.release(req.domain, req.attempt, usageOf(result.Kind), now-req.sentAt)
	switch result.Kind {
	case ResultComplete:
		r.retryBudget = min(r.retryBudget+retriesPerAnswer, maxRetryBudget)
		r.endJournal(req, pimdomain.RequestExecuted, pimcode.OK, result.Payload)
		r.finish(req, Answer{Outcome: OutcomeRan, Payload: result.Payload})
	case ResultNotSent:
		r.retry(now, req, pimcode.ConnectFailed)
	case ResultRefused:
		r.retry(now, req, pimcode.EndpointRefused)
	default:
		r.onUnknown(now, req, codeOf(result.Kind))
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
		return pimcode.AnswerMismatched
	default:
		return pimcode.ConnectionLost
	}
}

// onUnknown handles the end of an attempt that may have run. Only an idempotent request is
// retried.
func (r *Router) onUnknown(now time.Duration, req *pendingRequest, code pimcode.Code) {
	req.mayHaveRun = true
	if req.Idempotent {
		r.retry(now, req, code)
		return
	}
	r.trackLateAttempt(now, req)
	r.endJournal(req, pimdomain.RequestOutcomeUnknown, code, nil)
	r.finish(req, Answer{Outcome: OutcomeUnknown, Code: code})
}

// retry schedules another attempt if deadline, number of attempts and retry budget allow
// it.
func (r *Router) retry(now time.Duration, req *pendingRequest, code pimcode.Code) {
	req.lastCode = code
	delete(r.attempts, req.attempt)
	if now >= req.deadline || req.attempts >= maxAttempts+2*len(req.domains) {
		r.endWithoutAnswer(req)
		return
	}
	if r.retryBudget < 1 {
		req.lastCode = pimcode.RetryBudgetSpent
		req.retryAfter = max(req.retryAfter, time.Second)
		r.endWithoutAnswer(req)
		return
	}
	r.retryBudget--
	req.avoidEndpoint = req.endpoint
	req.domainIndex = 0
	req.state = stateSlotBackoff
	req.resumeAt = now + slotBackoff
}

func (r *Router) trackLateAttempt(now time.Duration, req *pendingRequest) {
	r.lateAttempts[req.attempt] = lateAttempt{request: *req, expiresAt: now + lateAnswerRetention}
}

// onLateResult releases the slot of a late attempt once it is known to have ended, and
// records in the journal if it ran.
func (r *Router) onLateResult(now time.Duration, req pendingRequest, result Result) {
	if result.Kind == ResultLost || result.Kind == ResultIncomplete || result.Kind == ResultMismatched {
		return
	}
	delete(r.lateAttempts, result.Attempt)
	r.release(req.domain, result.Attempt, usageOf(result.Kind), now-req.sentAt)
	if result.Kind == ResultComplete {
		r.endJournal(&req, pimdomain.RequestExecuted, pimcode.OK, result.Payload)
	}
}

// Tick handles deadlines, slot requests without a reply and delays that have ended.
func (r *Router) Tick(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(r.requests)) {
		r.tickRequest(now, r.requests[id])
	}
	maps.DeleteFunc(r.lateAttempts, func(_ string, l lateAttempt) bool { return now > l.expiresAt })
}

func (r *Router) tickRequest(now time.Duration, req *pendingRequest) {
	if now >= req.deadline {
		r.expire(now, req)
		return
	}
	switch req.state {
	case stateJournalBackoff:
		if now >= req.resumeAt {
			r.beginJournal(now, req)
		}
	case stateSlotBackoff:
		if now >= req.resumeAt {
			r.requestSlot(now, req)
		}
	case stateSlot:
		if now >= req.slotTimeoutAt {
			r.release(req.domain, req.attempt, pimslot.UsageNotSent, 0)
			req.lastCode = pimcode.NoLeader
			r.suspectUntil[req.domain] = now + suspectFor
			r.nextDomain(now, req)
		}
	}
}

// expire answers a request whose deadline has passed.
func (r *Router) expire(now time.Duration, req *pendingRequest) {
	switch req.state {
	case stateJournal:
		r.failJournal(req)
	case stateJournalBackoff:
		r.finish(req, Answer{Outcome: OutcomeUnknown, Code: req.lastCode, RetryAfter: time.Second})
	case stateSent:
		r.release(req.domain, req.attempt, pimslot.UsageLost, now-req.sentAt)
		req.mayHaveRun = true
		req.lastCode = pimcode.DeadlineExceeded
		r.trackLateAttempt(now, req)
		r.endWithoutAnswer(req)
	default:
		if req.state == stateSlot {
			r.release(req.domain, req.attempt, pimslot.UsageNotSent, 0)
		}
		req.lastCode = pimcode.DeadlineExceeded
		r.endWithoutAnswer(req)
	}
}
