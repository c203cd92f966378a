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
	prefix   string
	last     uint64
	rows     map[uint64]*row
	attempts map[string]*row
	late     map[string]lateAttempt
	minTerm  map[string]uint64
	suspects map[string]time.Duration
	budget   float64
	actions  []Action
}

// lateAttempt is an attempt that was given up after it was sent. Its answer may
// still tell the journal that the request ran, and it still holds its slot.
type lateAttempt struct {
	row   row
	until time.Duration
}

const lateAnswerKeep = time.Minute

// NewRouter returns an empty table. Prefix must differ for each start of each daemon.
func NewRouter(prefix string) *Router {
	return &Router{
		prefix:   prefix,
		rows:     map[uint64]*row{},
		attempts: map[string]*row{},
		late:     map[string]lateAttempt{},
		minTerm:  map[string]uint64{},
		suspects: map[string]time.Duration{},
		budget:   retryBurst,
	}
}

// Len returns the number of requests that have no answer yet.
func (r *Router) Len() int { return len(r.rows) }

// Take returns the actions that are due.
func (r *Router) Take() []Action {
	actions := r.actions
	r.actions = nil
	return actions
}

func (r *Router) act(action Action) { r.actions = append(r.actions, action) }

// Start takes in a request. Domains lists the failure domains to try, best first.
func (r *Router) Start(now time.Duration, request Request, domains []string) {
	r.last++
	w := &row{Request: request, id: r.last, domains: r.suspectsLast(now, domains), deadline: now + request.TTL, lastCode: pimcode.NoEndpoint}
	r.rows[w.id] = w
	if !request.Idempotent {
		w.journalTry = fmt.Sprintf("%s-%d", r.prefix, w.id)
		r.beginJournal(now, w)
		return
	}
	r.askSlot(now, w)
}

// suspectsLast moves failure domains whose leader left a question unanswered a moment
// ago behind the others, so that not every request waits for a dead leader.
func (r *Router) suspectsLast(now time.Duration, domains []string) []string {
	ordered := slices.Clone(domains)
	slices.SortStableFunc(ordered, func(a, b string) int {
		return r.suspicion(now, a) - r.suspicion(now, b)
	})
	return ordered
}

func (r *Router) suspicion(now time.Duration, domain string) int {
	if now < r.suspects[domain] {
		return 1
	}
	return 0
}

func (r *Router) beginJournal(now time.Duration, w *row) {
	w.state = stateJournal
	r.act(BeginJournal{
		Row:    w.id,
		Domain: w.Home,
		Begin:  pimdomain.BeginRequest{RequestID: w.RequestID, Attempt: w.journalTry, Digest: w.Digest},
		TTL:    w.deadline - now,
	})
}

// OnJournal takes in the journal's answer. Failed is set when none came.
func (r *Router) OnJournal(now time.Duration, id uint64, result pimdomain.Result, failed pimcode.Code) {
	w := r.rows[id]
	if w == nil || w.state != stateJournal {
		return
	}
	switch {
	case failed != pimcode.OK:
		r.giveUpJournal(w)
	case result.Proceed:
		w.journalBegun = true
		r.askSlot(now, w)
	case result.Entry.State == pimdomain.RequestExecuted && result.Code != pimcode.RequestIDReused:
		r.finish(w, Answer{Outcome: OutcomeRan, Code: result.Entry.Code, Payload: result.Entry.Answer})
	case result.Code == pimcode.InProgress:
		w.state = stateJournalPause
		w.lastCode = pimcode.InProgress
		w.againAt = now + journalPause
	case result.Code == pimcode.OutcomeUnknown:
		r.finish(w, Answer{Outcome: OutcomeUnknown, Code: result.Code})
	default:
		r.finish(w, Answer{Outcome: OutcomeNotRun, Code: result.Code, RetryAfter: time.Second})
	}
}

// giveUpJournal answers when the home can't be reached: this attempt sent nothing,
// but an earlier one with the same id may have.
func (r *Router) giveUpJournal(w *row) {
	outcome := OutcomeNotRun
	if w.CallerSuppliedID {
		outcome = OutcomeUnknown
	}
	r.endJournal(w, pimdomain.RequestNotExecuted, pimcode.HomeUnreachable, nil)
	r.finish(w, Answer{Outcome: outcome, Code: pimcode.HomeUnreachable, RetryAfter: time.Second})
}

func (r *Router) endJournal(w *row, state pimdomain.RequestState, code pimcode.Code, payload []byte) {
	if w.Idempotent {
		return
	}
	r.act(EndJournal{Domain: w.Home, End: pimdomain.EndRequest{
		RequestID: w.RequestID,
		Attempt:   w.journalTry,
		State:     state,
		Code:      code,
		Answer:    payload,
	}})
}

// askSlot asks the next failure domain. The first round asks each for a free slot;
// after that the request waits in the queue of one.
func (r *Router) askSlot(now time.Duration, w *row) {
	if len(w.domains) == 0 {
		w.lastCode = pimcode.DomainOut
		r.endNotRun(w)
		return
	}
	w.waiting = w.position >= len(w.domains) || len(w.domains) == 1
	w.domain = w.domains[w.position%len(w.domains)]
	w.attempts++
	w.attempt = fmt.Sprintf("%s-%d-%d", r.prefix, w.id, w.attempts)
	w.state = stateSlot
	w.askedAt = now
	w.askUntil = min(w.deadline, now+slotAskTimeout)
	if w.waiting {
		w.askUntil = w.deadline
	}
	r.attempts[w.attempt] = w
	r.act(AcquireSlot{Domain: w.domain, Acquire: pimslot.Acquire{
		Attempt:  w.attempt,
		Service:  w.Service,
		Team:     w.Team,
		Weight:   w.Weight,
		Priority: w.Priority,
		TTL:      w.deadline - now,
		NoWait:   !w.waiting,
		Avoid:    w.avoid,
	}})
}

// OnSlot takes in the answer to an AskSlot. It returns false for an answer of a
// leader that has been replaced, which must be ignored.
func (r *Router) OnSlot(now time.Duration, domain string, reply pimslot.Reply) bool {
	if reply.Term < r.minTerm[domain] {
		return false
	}
	if reply.Term != pimslot.NoTerm {
		delete(r.suspects, domain)
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
	if now >= min(w.askedAt+reply.Waited+reply.SendWithin, w.deadline) {
		r.release(domain, reply.Attempt, pimslot.UsageNotSent, 0)
		w.lastCode = pimcode.DeadlineExceeded
		r.nextDomain(now, w)
		return true
	}
	r.sendAttempt(now, w, reply)
	return true
}

func (r *Router) isUnknownAttempt(attempt string) bool {
	_, late := r.late[attempt]
	return r.attempts[attempt] == nil && !late
}

func (r *Router) sendAttempt(now time.Duration, w *row, reply pimslot.Reply) {
	w.state = stateSent
	w.endpoint = reply.Endpoint
	w.sentAt = now
	r.act(Decision{
		RequestID:  w.RequestID,
		Service:    w.Service,
		Choice:     reply.Endpoint,
		Reason:     "lowest load times latency",
		Candidates: reply.Candidates,
		Domain:     w.domain,
	})
	r.act(SendAttempt{
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

func (r *Router) onRefusal(now time.Duration, w *row, reply pimslot.Reply) {
	w.lastCode = reply.Code
	w.retryAfter = max(w.retryAfter, reply.RetryAfter)
	if reply.Code == pimcode.DeadlineExceeded {
		r.endNotRun(w)
		return
	}
	r.nextDomain(now, w)
}

// nextDomain goes on with the next failure domain, or ends after the last has
// refused to let the request wait.
func (r *Router) nextDomain(now time.Duration, w *row) {
	delete(r.attempts, w.attempt)
	w.position++
	if w.position >= 2*len(w.domains) {
		r.endNotRun(w)
		return
	}
	r.askSlot(now, w)
}

func (r *Router) release(domain, attempt string, usage pimslot.Usage, latency time.Duration) {
	r.act(ReleaseSlot{Domain: domain, Release: pimslot.Release{Attempt: attempt, Usage: usage, Latency: latency}})
}

// endNotRun ends a request of which no attempt is under way.
func (r *Router) endNotRun(w *row) {
	if w.ranUnknown {
		r.endJournal(w, pimdomain.RequestOutcomeUnknown, w.lastCode, nil)
		r.finish(w, Answer{Outcome: OutcomeUnknown, Code: w.lastCode, RetryAfter: w.retryAfter})
		return
	}
	r.endJournal(w, pimdomain.RequestNotExecuted, w.lastCode, nil)
	r.finish(w, Answer{Outcome: OutcomeNotRun, Code: w.lastCode, RetryAfter: max(w.retryAfter, slotPause)})
}

func (r *Router) finish(w *row, answer Answer) {
	answer.RequestID = w.RequestID
	answer.Attempts = w.attempts
	answer.Endpoint = w.endpoint
	delete(r.rows, w.id)
	delete(r.attempts, w.attempt)
	r.act(Finish{Token: w.Token, Answer: answer})
}

// HeldCredits returns the credits of a failure domain that attempts under way hold, with
// times as durations from now, and refuses grants of terms before the given one.
func (r *Router) HeldCredits(now time.Duration, domain string, term uint64) []pimslot.Credit {
	r.minTerm[domain] = max(r.minTerm[domain], term)
	var credits []pimslot.Credit
	for _, id := range slices.Sorted(maps.Keys(r.rows)) {
		w := r.rows[id]
		if w.state == stateSent && w.domain == domain {
			credits = append(credits, pimslot.Credit{Attempt: w.attempt, Endpoint: w.endpoint, Deadline: w.deadline - now})
		}
	}
	for _, attempt := range slices.Sorted(maps.Keys(r.late)) {
		if l := r.late[attempt]; l.row.domain == domain {
			credits = append(credits, pimslot.Credit{Attempt: attempt, Endpoint: l.row.endpoint, LostAt: 1})
		}
	}
	return credits
}
