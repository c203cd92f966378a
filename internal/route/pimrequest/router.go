package pimrequest

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/route/pimslot"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimdomain"
)

// Router is the table of requests at one entry daemon.
type Router struct {
	prefix       string
	lastID       uint64
	requests     map[uint64]*pendingRequest
	attempts     map[string]*pendingRequest
	lateAttempts map[string]lateAttempt
	minTerm      map[string]uint64
	suspectUntil map[string]time.Duration
	retryBudget  float64
	actions      []Action
}

// lateAttempt is an attempt that was given up after it was sent. Its answer may
// still tell the journal that the request ran, and it still holds its slot.
type lateAttempt struct {
	request   pendingRequest
	expiresAt time.Duration
}

const lateAnswerRetention = time.Minute

// NewRouter returns an empty table. Prefix must differ for each start of each daemon.
func NewRouter(prefix string) *Router {
	return &Router{
		prefix:       prefix,
		requests:     map[uint64]*pendingRequest{},
		attempts:     map[string]*pendingRequest{},
		lateAttempts: map[string]lateAttempt{},
		minTerm:      map[string]uint64{},
		suspectUntil: map[string]time.Duration{},
		retryBudget:  maxRetryBudget,
	}
}

// Len returns the number of requests that have no answer yet.
func (r *Router) Len() int { return len(r.requests) }

// Take returns the actions that are due.
func (r *Router) Take() []Action {
	actions := r.actions
	r.actions = nil
	return actions
}

func (r *Router) emit(action Action) { r.actions = append(r.actions, action) }

// Start takes in a request. Domains lists the failure domains to try, best first.
func (r *Router) Start(now time.Duration, request Request, domains []string) {
	r.lastID++
	w := &pendingRequest{Request: request, id: r.lastID, domains: r.suspectsLast(now, domains), deadline: now + request.TTL, lastCode: pimcode.NoEndpoint}
	r.requests[w.id] = w
	if !request.Idempotent {
		w.journalAttempt = fmt.Sprintf("%s-%d", r.prefix, w.id)
		r.beginJournal(now, w)
		return
	}
	r.requestSlot(now, w)
}

// suspectsLast moves failure domains whose leader left a question unanswered a moment
// ago behind the others, so that not every request waits for a dead leader.
func (r *Router) suspectsLast(now time.Duration, domains []string) []string {
	ordered := slices.Clone(domains)
	slices.SortStableFunc(ordered, func(a, b string) int {
		return r.suspectRank(now, a) - r.suspectRank(now, b)
	})
	return ordered
}

func (r *Router) suspectRank(now time.Duration, domain string) int {
	if now < r.suspectUntil[domain] {
		return 1
	}
	return 0
}

func (r *Router) beginJournal(now time.Duration, w *pendingRequest) {
	w.state = stateJournal
	r.emit(BeginJournal{
		Row:    w.id,
		Domain: w.Home,
		Begin:  pimdomain.BeginRequest{RequestID: w.RequestID, Attempt: w.journalAttempt, Digest: w.Digest},
		TTL:    w.deadline - now,
	})
}

// OnJournal takes in the journal's answer. Failed is set when none came.
func (r *Router) OnJournal(now time.Duration, id uint64, result pimdomain.Result, failed pimcode.Code) {
	w := r.requests[id]
	if w == nil || w.state != stateJournal {
		return
	}
	switch {
	case failed != pimcode.OK:
		r.failJournal(w)
	case result.Proceed:
		w.journalBegun = true
		r.requestSlot(now, w)
	case result.Entry.State == pimdomain.RequestExecuted && result.Code != pimcode.RequestIDReused:
		r.finish(w, Answer{Outcome: OutcomeRan, Code: result.Entry.Code, Payload: result.Entry.Answer})
	case result.Code == pimcode.InProgress:
		w.state = stateJournalBackoff
		w.lastCode = pimcode.InProgress
		w.resumeAt = now + journalBackoff
	case result.Code == pimcode.OutcomeUnknown:
		r.finish(w, Answer{Outcome: OutcomeUnknown, Code: result.Code})
	default:
		r.finish(w, Answer{Outcome: OutcomeNotRun, Code: result.Code, RetryAfter: time.Second})
	}
}

// failJournal answers when the home can't be reached: this attempt sent nothing,
// but an earlier one with the same id may have.
func (r *Router) failJournal(w *pendingRequest) {
	outcome := OutcomeNotRun
	if w.CallerSuppliedID {
		outcome = OutcomeUnknown
	}
	r.endJournal(w, pimdomain.RequestNotExecuted, pimcode.HomeUnreachable, nil)
	r.finish(w, Answer{Outcome: outcome, Code: pimcode.HomeUnreachable, RetryAfter: time.Second})
}

func (r *Router) endJournal(w *pendingRequest, state pimdomain.RequestState, code pimcode.Code, payload []byte) {
	if w.Idempotent {
		return
	}
	r.emit(EndJournal{Domain: w.Home, End: pimdomain.EndRequest{
		RequestID: w.RequestID,
		Attempt:   w.journalAttempt,
		State:     state,
		Code:      code,
		Answer:    payload,
	}})
}

// requestSlot asks the next failure domain. The first round asks each for a free slot;
// after that the request waits in the queue of one.
func (r *Router) requestSlot(now time.Duration, w *pendingRequest) {
	if len(w.domains) == 0 {
		w.lastCode = pimcode.DomainOut
		r.endWithoutAnswer(w)
		return
	}
	w.mayQueue = w.domainIndex >= len(w.domains) || len(w.domains) == 1
	w.domain = w.domains[w.domainIndex%len(w.domains)]
	w.attempts++
	w.attempt = fmt.Sprintf("%s-%d-%d", r.prefix, w.id, w.attempts)
	w.state = stateSlot
	w.slotRequestedAt = now
	w.slotTimeoutAt = min(w.deadline, now+slotRequestTimeout)
	if w.mayQueue {
		w.slotTimeoutAt = w.deadline
	}
	r.attempts[w.attempt] = w
	r.emit(AcquireSlot{Domain: w.domain, Acquire: pimslot.Acquire{
		Attempt:  w.attempt,
		Service:  w.Service,
		Team:     w.Team,
		Weight:   w.Weight,
		Priority: w.Priority,
		TTL:      w.deadline - now,
		NoWait:   !w.mayQueue,
		Avoid:    w.avoidEndpoint,
	}})
}

// OnSlot takes in the answer to an AskSlot. It returns false for an answer of a
// leader that has been replaced, which must be ignored.
func (r *Router) OnSlot(now time.Duration, domain string, reply pimslot.Reply) bool {
	if reply.Term < r.minTerm[domain] {
		return false
	}
	if reply.Term != pimslot.NoTerm {
		delete(r.suspectUntil, domain)
	}
	w := r.attempts[reply.Attempt]
	if w == nil || w.state != stateSlot || w.attempt != reply.Attempt {
		if reply.Code == pimcode.OK && r.isUnknownAttempt(reply.Attempt) {
			r.release(domain, reply.Attempt, pimslot.UsageNotSent, 0)
		}
		return true
	}
	if reply.Code != pimcode.OK {
		r.onRefusal(now, w, reply)
		return true
	}
	if now >= min(w.slotRequestedAt+reply.Waited+reply.SendWithin, w.deadline) {
		r.release(domain, reply.Attempt, pimslot.UsageNotSent, 0)
		w.lastCode = pimcode.DeadlineExceeded
		r.nextDomain(now, w)
		return true
	}
	r.sendAttempt(now, w, reply)
	return true
}

func (r *Router) isUnknownAttempt(attempt string) bool {
	_, late := r.lateAttempts[attempt]
	return r.attempts[attempt] == nil && !late
}

func (r *Router) sendAttempt(now time.Duration, w *pendingRequest, reply pimslot.Reply) {
	w.state = stateSent
	w.endpoint = reply.Endpoint
	w.sentAt = now
	r.emit(Decision{
		RequestID:  w.RequestID,
		Service:    w.Service,
		Choice:     reply.Endpoint,
		Reason:     "lowest load times latency",
		Candidates: reply.Candidates,
		Domain:     w.domain,
	})
	r.emit(SendAttempt{
		Attempt:    w.attempt,
		Endpoint:   reply.Endpoint,
		Address:    reply.Address,
		Service:    w.Service,
		RequestID:  w.RequestID,
		Idempotent: w.Idempotent,
		TTL:        w.deadline - now,
		Payload:    w.Payload,
	})
}

func (r *Router) onRefusal(now time.Duration, w *pendingRequest, reply pimslot.Reply) {
	w.lastCode = reply.Code
	w.retryAfter = max(w.retryAfter, reply.RetryAfter)
	if reply.Code == pimcode.DeadlineExceeded {
		r.endWithoutAnswer(w)
		return
	}
	r.nextDomain(now, w)
}

// nextDomain goes on with the next failure domain, or ends after the last has
// refused to let the request wait.
func (r *Router) nextDomain(now time.Duration, w *pendingRequest) {
	delete(r.attempts, w.attempt)
	w.domainIndex++
	if w.domainIndex >= 2*len(w.domains) {
		r.endWithoutAnswer(w)
		return
	}
	r.requestSlot(now, w)
}

func (r *Router) release(domain, attempt string, usage pimslot.Usage, latency time.Duration) {
	r.emit(ReleaseSlot{Domain: domain, Release: pimslot.Release{Attempt: attempt, Usage: usage, Latency: latency}})
}

// endWithoutAnswer ends a request of which no attempt is under way.
func (r *Router) endWithoutAnswer(w *pendingRequest) {
	if w.mayHaveRun {
		r.endJournal(w, pimdomain.RequestOutcomeUnknown, w.lastCode, nil)
		r.finish(w, Answer{Outcome: OutcomeUnknown, Code: w.lastCode, RetryAfter: w.retryAfter})
		return
	}
	r.endJournal(w, pimdomain.RequestNotExecuted, w.lastCode, nil)
	r.finish(w, Answer{Outcome: OutcomeNotRun, Code: w.lastCode, RetryAfter: max(w.retryAfter, slotBackoff)})
}

func (r *Router) finish(w *pendingRequest, answer Answer) {
	answer.RequestID = w.RequestID
	answer.Attempts = w.attempts
	answer.Endpoint = w.endpoint
	delete(r.requests, w.id)
	delete(r.attempts, w.attempt)
	r.emit(Finish{Token: w.Token, Answer: answer})
}

// HeldCredits returns the credits of a failure domain that attempts under way hold, with
// times as durations from now, and refuses grants of terms before the given one.
func (r *Router) HeldCredits(now time.Duration, domain string, term uint64) []pimslot.Credit {
	r.minTerm[domain] = max(r.minTerm[domain], term)
	var credits []pimslot.Credit
	for _, id := range slices.Sorted(maps.Keys(r.requests)) {
		w := r.requests[id]
		if w.state == stateSent && w.domain == domain {
			credits = append(credits, pimslot.Credit{Attempt: w.attempt, Endpoint: w.endpoint, Deadline: w.deadline - now})
		}
	}
	for _, attempt := range slices.Sorted(maps.Keys(r.lateAttempts)) {
		if l := r.lateAttempts[attempt]; l.request.domain == domain {
			credits = append(credits, pimslot.Credit{Attempt: attempt, Endpoint: l.request.endpoint, LostAt: 1})
		}
	}
	return credits
}
