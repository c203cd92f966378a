// Package pimrequest carries each caller's request through an entry daemon:
// journal, slot, endpoint, answer. It is a table of requests and the steps over
// it; asking other daemons and sending to endpoints is done by whoever runs the
// actions that it returns.
//
// The outcome is "not-run" only where nothing was sent or the endpoint said so
// itself. A request that is not idempotent is sent at most once for all attempts
// of all daemons, which the journal of its home failure domain decides.
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

	// Request is what a caller sent. Token is handed back with the answer.
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
		// CallerSuppliedID tells that the caller chose the id, so that it may have been used before.
		CallerSuppliedID bool
		// Home is the failure domain whose journal holds the request.
		Home string
	}

	// Answer is what the caller gets.
	Answer struct {
		RequestID  string
		Outcome    Outcome
		Code       pimcode.Code
		Payload    []byte
		RetryAfter time.Duration
		Endpoint   string
		Attempts   int
	}

	// ResultKind tells how sending an attempt to an endpoint ended.
	ResultKind uint8

	// Result is the end of an attempt as the sender saw it.
	Result struct {
		Attempt string
		Kind    ResultKind
		Payload []byte
	}

	// Action is something that the router wants done.
	Action interface{ isAction() }

	// BeginJournal asks a home failure domain to record a request; OnJournal takes the answer.
	BeginJournal struct {
		Row    uint64
		Domain string
		Begin  pimdomain.BeginRequest
		TTL    time.Duration
	}

	// EndJournal tells a home failure domain how a request ended. No answer is awaited.
	EndJournal struct {
		Domain string
		End    pimdomain.EndRequest
	}

	// AcquireSlot asks a failure domain for a slot; OnSlot takes the answer.
	AcquireSlot struct {
		Domain  string
		Acquire pimslot.Acquire
	}

	// ReleaseSlot tells a failure domain how a slot was used.
	ReleaseSlot struct {
		Domain  string
		Release pimslot.Release
	}

	// SendAttempt sends a request to an endpoint; OnResult takes the result.
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

	// Decision is one routing decision for the log.
	Decision struct {
		RequestID  string
		Service    string
		Choice     string
		Reason     string
		Candidates int
		Domain     string
	}

	// state is the step that a row waits at.
	state uint8

	// pendingRequest is one request under way.
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

// Outcomes.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// Ends of an attempt. ResultNotSent and ResultRefused mean that it did not run.
const (
	ResultComplete ResultKind = iota
	ResultNotSent
	ResultRefused
	ResultIncomplete
	ResultMismatched
	ResultLost
)

const (
	stateJournal state = iota
	stateJournalBackoff
	stateSlot
	stateSlotBackoff
	stateSent
)

// Timing of questions and pauses.
const (
	slotRequestTimeout = 100 * time.Millisecond
	suspectFor         = time.Second
	journalBackoff     = 50 * time.Millisecond
	slotBackoff        = 20 * time.Millisecond
	MaxTTL             = 10 * time.Minute
)

// Retry budget: each whole answer earns a share of a retry.
const (
	retriesPerAnswer = 0.1
	maxRetryBudget   = 20.0
	maxAttempts      = 4
)

func (BeginJournal) isAction() {}
func (EndJournal) isAction()   {}
func (AcquireSlot) isAction()  {}
func (ReleaseSlot) isAction()  {}
func (SendAttempt) isAction()  {}
func (Finish) isAction()       {}
func (Decision) isAction()     {}
