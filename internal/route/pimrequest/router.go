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

// Router holds the pending requests of an entry daemon. minTerm is the lowest term of a
// failure domain's leader whose grants are accepted.
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

// lateAttempt is a sent attempt without a complete answer, whose caller has been answered.
// It still holds its slot, and a late answer still proves to the journal that it ran.
type lateAttempt struct {
	request   pendingRequest
	expiresAt time.Duration
}

// lateAnswerRetention is how long a late answer is still accepted.
const lateAnswerRetention = time.Minute

// NewRouter returns a router without requests. prefix starts the IDs of its attempts and
// must differ for each start of each daemon.
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

// Len returns the number of pending requests.
func (r *Router) Len() int { return len(r.requests) }

// Take removes and returns the actions to execute.
func (r *Router) Take() []Action {
	actions := r.actions
	r.actions = nil
	return actions
}

func (r *Router) emit(action Action) { r.actions = append(r.actions, action) }

// Start adds a request. domains lists the failure domains to try, best first.
func (r *Router) Start(now time.Duration, request Request, domains []string) {
	r.lastID++
	req := &pendingRequest{
		Request: request, id: r.lastID, domains: r.suspectsLast(now, domains),
		deadline: now + request.TTL, lastCode: pimcode.NoEndpoint,
	}
	r.requests[req.id] = req
	if !request.Idempotent {
		req.journalAttempt = fmt.Sprintf("%s-%d", r.prefix, req.id)
		r.beginJournal(now, req)
		return
	}
	r.requestSlot(now, req)
}

// suspectsLast moves failure domains whose leader recently did not reply in time behind
// the others, so that not every request waits for a dead leader.
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

func (r *Router) beginJournal(now time.Duration, req *pendingRequest) {
	req.state = stateJournal
	r.emit(BeginJournal{
		PendingID: req.id,
		Domain:    req.Home,
		Begin:     pimdomain.BeginRequest{RequestID: req.RequestID, Attempt: req.journalAttempt, Digest: req.Digest},
		TTL:       req.deadline - now,
	})
}

// OnJournal handles the journal's result for a request. id is the PendingID of BeginJournal;
// failed is not OK if there is no result.
func (r *Router) OnJournal(now time.Duration, id uint64, result pimdomain.Result, failed pimcode.Code) {
	req := r.requests[id]
	if req == nil || req.state != stateJournal {
		return
	}
	switch {
	case failed != pimcode.OK:
		r.failJournal(req)
	case result.Proceed:
		req.journalBegun = true
		r.requestSlot(now, req)
	case result.Entry.State == pimdomain.RequestExecuted && result.Code != pimcode.RequestIDReused:
		r.finish(req, Answer{Outcome: OutcomeRan, Code: result.Entry.Code, Payload: result.Entry.Answer})
	case result.Code == pimcode.InProgress:
		req.state = stateJournalBackoff
		req.lastCode = pimcode.InProgress
		req.resumeAt = now + journalBackoff
	case result.Code == pimcode.OutcomeUnknown:
		r.finish(req, Answer{Outcome: OutcomeUnknown, Code: result.Code})
	default:
		r.finish(req, Answer{Outcome: OutcomeNotRun, Code: result.Code, RetryAfter: time.Second})
	}
}

// failJournal answers a request whose home failure domain can't be reached. This request
// was not sent, but an earlier one with the same ID may have run.
func (r *Router) failJournal(req *pendingRequest) {
	outcome := OutcomeNotRun
	if req.CallerSuppliedID {
		outcome = OutcomeUnknown
	}
	r.endJournal(req, pimdomain.RequestNotExecuted, pimcode.HomeUnreachable, nil)
	r.finish(req, Answer{Outcome: outcome, Code: pimcode.HomeUnreachable, RetryAfter: time.Second})
}

// endJournal reports the end of a non-idempotent request to its home failure domain.
func (r *Router) endJournal(req *pendingRequest, state pimdomain.RequestState, code pimcode.Code, payload []byte) {
	if req.Idempotent {
		return
	}
	r.emit(EndJournal{Domain: req.Home, End: pimdomain.EndRequest{
		RequestID: req.RequestID,
		Attempt:   req.journalAttempt,
		State:     state,
		Code:      code,
		Answer:    payload,
	}})
}

// requestSlot requests a slot from the next failure domain. In the first round, each failure
// domain is asked for a free slot only; in the second, the request may wait in the queue. A
// single failure domain may queue the request at once.
func (r *Router) requestSlot(now time.Duration, req *pendingRequest) {
	if len(req.domains) == 0 {
		req.lastCode = pimcode.DomainOutOfService
		r.endWithoutAnswer(req)
		return
	}
	req.mayQueue = req.domainIndex >= len(req.domains) || len(req.domains) == 1
	req.domain = req.domains[req.domainIndex%len(req.domains)]
	req.attempts++
	req.attempt = fmt.Sprintf("%s-%d-%d", r.prefix, req.id, req.attempts)
	req.state = stateSlot
	req.slotRequestedAt = now
	req.slotTimeoutAt = min(req.deadline, now+slotRequestTimeout)
	if req.mayQueue {
		req.slotTimeoutAt = req.deadline
	}
	r.attempts[req.attempt] = req
	r.emit(AcquireSlot{Domain: req.domain, Acquire: pimslot.Acquire{
		Attempt:  req.attempt,
		Service:  req.Service,
		Team:     req.Team,
		Weight:   req.Weight,
		Priority: req.Priority,
		TTL:      req.deadline - now,
		NoWait:   !req.mayQueue,
		Avoid:    req.avoidEndpoint,
	}})
}

// OnSlot handles the reply to an AcquireSlot. It returns false, without effect, for a reply
// of a leader that has been replaced. A grant that can't be used is released as not sent.
func (r *Router) OnSlot(now time.Duration, domain string, reply pimslot.Reply) bool {
	if reply.Term < r.minTerm[domain] {
		return false
	}
	if reply.Term != pimslot.NoTerm {
		delete(r.suspectUntil, domain)
	}
	req := r.attempts[reply.Attempt]
	if req == nil || req.state != stateSlot || req.attempt != reply.Attempt {
		if reply.Code == pimcode.OK && r.isUnknownAttempt(reply.Attempt) {
			r.release(domain, reply.Attempt, pimslot.UsageNotSent, 0)
		}
		return true
	}
	if reply.Code != pimcode.OK {
		r.onRefusal(now, req, reply)
		return true
	}
	if now >= min(req.slotRequestedAt+reply.Waited+reply.SendWithin, req.deadline) {
		r.release(domain, reply.Attempt, pimslot.UsageNotSent, 0)
		req.lastCode = pimcode.DeadlineExceeded
		r.nextDomain(now, req)
		return true
	}
	r.sendAttempt(now, req, reply)
	return true
}

func (r *Router) isUnknownAttempt(attempt string) bool {
	_, late := r.lateAttempts[attempt]
	return r.attempts[attempt] == nil && !late
}

func (r *Router) sendAttempt(now time.Duration, req *pendingRequest, reply pimslot.Reply) {
	req.state = stateSent
	req.endpoint = reply.Endpoint
	req.sentAt = now
	r.emit(Decision{
		RequestID:  req.RequestID,
		Service:    req.Service,
		Choice:     reply.Endpoint,
		Reason:     "lowest load times latency",
		Candidates: reply.Candidates,
		Domain:     req.domain,
	})
	r.emit(SendAttempt{
		Attempt:    req.attempt,
		Endpoint:   reply.Endpoint,
		Address:    reply.Address,
		Service:    req.Service,
		RequestID:  req.RequestID,
		Idempotent: req.Idempotent,
		TTL:        req.deadline - now,
		Payload:    req.Payload,
	})
}

// onRefusal tries the next failure domain unless the deadline has passed.
func (r *Router) onRefusal(now time.Duration, req *pendingRequest, reply pimslot.Reply) {
	req.lastCode = reply.Code
	req.retryAfter = max(req.retryAfter, reply.RetryAfter)
	if reply.Code == pimcode.DeadlineExceeded {
		r.endWithoutAnswer(req)
		return
	}
	r.nextDomain(now, req)
}

// nextDomain tries the next failure domain, or ends the request after both rounds.
func (r *Router) nextDomain(now time.Duration, req *pendingRequest) {
	delete(r.attempts, req.attempt)
	req.domainIndex++
	if req.domainIndex >= 2*len(req.domains) {
		r.endWithoutAnswer(req)
		return
	}
	r.requestSlot(now, req)
}

func (r *Router) release(domain, attempt string, usage pimslot.Usage, latency time.Duration) {
	r.emit(ReleaseSlot{Domain: domain, Release: pimslot.Release{Attempt: attempt, Usage: usage, Latency: latency}})
}

// endWithoutAnswer ends a request that no endpoint answered. Its outcome is unknown if an
// earlier attempt may have run.
func (r *Router) endWithoutAnswer(req *pendingRequest) {
	if req.mayHaveRun {
		r.endJournal(req, pimdomain.RequestOutcomeUnknown, req.lastCode, nil)
		r.finish(req, Answer{Outcome: OutcomeUnknown, Code: req.lastCode, RetryAfter: req.retryAfter})
		return
	}
	r.endJournal(req, pimdomain.RequestNotExecuted, req.lastCode, nil)
	r.finish(req, Answer{Outcome: OutcomeNotRun, Code: req.lastCode, RetryAfter: max(req.retryAfter, slotBackoff)})
}

func (r *Router) finish(req *pendingRequest, answer Answer) {
	answer.RequestID = req.RequestID
	answer.Attempts = req.attempts
	answer.Endpoint = req.endpoint
	delete(r.requests, req.id)
	delete(r.attempts, req.attempt)
	r.emit(Finish{Token: req.Token, Answer: answer})
}

// HeldCredits returns the credits of a failure domain that sent attempts hold, for the new
// leader of the given term. Deadline is the time left from now; LostAt is not zero for an
// attempt whose answer is late. Grants of earlier terms are refused from now on, because
// the new leader doesn't know them.
func (r *Router) HeldCredits(now time.Duration, domain string, term uint64) []pimslot.Credit {
	r.minTerm[domain] = max(r.minTerm[domain], term)
	var credits []pimslot.Credit
	for _, id := range slices.Sorted(maps.Keys(r.requests)) {
		req := r.requests[id]
		if req.state == stateSent && req.domain == domain {
			credits = append(credits, pimslot.Credit{Attempt: req.attempt, Endpoint: req.endpoint, Deadline: req.deadline - now})
		}
	}
	for _, attempt := range slices.Sorted(maps.Keys(r.lateAttempts)) {
		if l := r.lateAttempts[attempt]; l.request.domain == domain {
			credits = append(credits, pimslot.Credit{Attempt: attempt, Endpoint: l.request.endpoint, LostAt: 1})
		}
	}
	return credits
}
