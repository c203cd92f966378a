// Package pimrequest routes callers' requests through an entry daemon. A request is
// recorded in the journal if it is not idempotent, gets a slot at an endpoint, is sent there
// and is answered. The package holds the state of these steps and does no I/O: the daemon
// executes the actions that the router returns and reports their results to it.
//
// The outcome of a request is "not-run" only if nothing was sent or the endpoint itself
// reported that it did not run. A non-idempotent request runs at most once over the attempts
// of all daemons; the journal of its home failure domain ensures this.
//
// Times are durations on the clock of the daemon.
package pimrequest

import (
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/route/pimslot"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimdomain"
)

type (
	// Outcome tells a caller whether its request ran.
	Outcome string

	// Request is a caller's request. Token comes back with the answer. Weight is the
	// team's share, a higher Priority goes first, TTL is the time left until the deadline.
	Request struct {
		Token      uint64
		RequestID  string
		Service    string
		Team       string
		Weight     int
		Priority   int
		Idempotent bool
		TTL        time.Duration
		Payload    []byte
		Digest     string
		// CallerSuppliedID is true if the caller chose RequestID. An earlier request may
		// have used the same ID.
		CallerSuppliedID bool
		// Home is the failure domain whose journal holds the request.
		Home string
	}

	// Answer is the answer to a caller's request. RetryAfter is how long the caller should
	// wait before it sends the request again. Attempts counts the slots requested.
	Answer struct {
		RequestID  string
		Outcome    Outcome
		Code       pimcode.Code
		Payload    []byte
		RetryAfter time.Duration
		Endpoint   string
		Attempts   int
	}

	// ResultKind is how an attempt at an endpoint ended.
	ResultKind uint8

	// Result is the end of an attempt as the daemon's endpoint client observed it.
	Result struct {
		Attempt string
		Kind    ResultKind
		Payload []byte
	}

	// Action is an action that the daemon must execute for the router.
	Action interface{ isAction() }

	// BeginJournal asks the home failure domain to record a request. PendingID identifies
	// the request in the call of OnJournal that reports the result.
	BeginJournal struct {
		PendingID uint64
		Domain    string
		Begin     pimdomain.BeginRequest
		TTL       time.Duration
	}

	// EndJournal reports to the home failure domain how a request ended. The router does
	// not wait for a response.
	EndJournal struct {
		Domain string
		End    pimdomain.EndRequest
	}

	// AcquireSlot requests a slot from a failure domain. The reply goes to OnSlot.
	AcquireSlot struct {
		Domain  string
		Acquire pimslot.Acquire
	}

	// ReleaseSlot reports to a failure domain how a slot was used.
	ReleaseSlot struct {
		Domain  string
		Release pimslot.Release
	}

	// SendAttempt sends a request to an endpoint. The result goes to OnResult.
	SendAttempt struct {
		Attempt    string
		Endpoint   string
		Address    string
		Service    string
		RequestID  string
		Idempotent bool
		TTL        time.Duration
		Payload    []byte
	}

	// Finish answers the caller.
	Finish struct {
		Token  uint64
		Answer Answer
	}

	// Decision is a routing decision to log. Choice is an endpoint, Candidates the number of
	// endpoints with a free slot.
	Decision struct {
		RequestID  string
		Service    string
		Choice     string
		Reason     string
		Candidates int
		Domain     string
	}

	// state is what a pending request waits for.
	state uint8

	// pendingRequest is a request that has no answer yet. attempts counts the slots
	// requested; domainIndex counts on over two rounds of domains. avoidEndpoint is the
	// endpoint of the last failed attempt.
	pendingRequest struct {
		Request
		id              uint64
		state           state
		deadline        time.Duration
		slotTimeoutAt   time.Duration
		slotRequestedAt time.Duration
		resumeAt        time.Duration
		journalBegun    bool
		journalAttempt  string
		domains         []string
		domainIndex     int
		mayQueue        bool
		attempt         string
		attempts        int
		domain          string
		endpoint        string
		avoidEndpoint   string
		sentAt          time.Duration
		mayHaveRun      bool
		lastCode        pimcode.Code
		retryAfter      time.Duration
	}
)

// Outcomes of a request.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// Ends of an attempt. ResultNotSent and ResultRefused mean that it did not run, the last
// three that it may have run.
const (
	ResultComplete ResultKind = iota
	ResultNotSent
	ResultRefused
	ResultIncomplete
	// ResultMismatched is an answer that belongs to another attempt.
	ResultMismatched
	ResultLost
)

// States of a pending request. A backoff state ends at resumeAt.
const (
	stateJournal state = iota
	stateJournalBackoff
	stateSlot
	stateSlotBackoff
	stateSent
)

// Timeouts and delays.
const (
	// slotRequestTimeout applies to requests that may not wait in a queue.
	slotRequestTimeout = 100 * time.Millisecond
	// suspectFor is how long a failure domain that did not reply in time is tried last.
	suspectFor = time.Second
	// journalBackoff delays the next BeginJournal if the journal has an attempt in progress.
	journalBackoff = 50 * time.Millisecond
	// slotBackoff delays a retry after a failed attempt.
	slotBackoff = 20 * time.Millisecond
	// MaxTTL is the longest deadline that a caller may set.
	MaxTTL = 10 * time.Minute
)

// Retry limits. A daemon starts with a budget of maxRetryBudget retries, and each complete
// answer adds retriesPerAnswer up to that maximum. In the long run, retries are at most a
// tenth of the complete answers, so that they add little load when many attempts fail.
const (
	retriesPerAnswer = 0.1
	maxRetryBudget   = 20.0
	// maxAttempts bounds the attempts of a request, on top of two for each failure domain.
	maxAttempts = 4
)

func (BeginJournal) isAction() {}
func (EndJournal) isAction()   {}
func (AcquireSlot) isAction()  {}
func (ReleaseSlot) isAction()  {}
func (SendAttempt) isAction()  {}
func (Finish) isAction()       {}
func (Decision) isAction()     {}
