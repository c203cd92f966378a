// Package pimcore is the decision core of an entry daemon. A Node is a plain state
// machine: events and the time go in through Handle, commands come out of Take. It
// opens no socket or file, starts no goroutine, reads no clock and uses only the
// random source that its seed gives. Whoever runs it, a daemon or a test, owes it
// three things: Persist batches of a group are made durable in order and only then
// their Then messages are sent; a Tick comes at least every TickInterval; and time
// never goes back.
package pimcore

import (
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
	"github.com/pimentoswitch/pimentoswitch/internal/place/pimplace"
	"github.com/pimentoswitch/pimentoswitch/internal/route/pimrequest"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconsensus"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimlog"
)

type (
	// InitialMember is one daemon of a new cluster's full first set.
	InitialMember struct {
		Name        string
		Domain      string
		PeerAddress string
		HTTPAddress string
	}

	// Config is what a node knows before it hears from anyone. ClusterID and Saved
	// come from its data folder and are empty on a blank host.
	Config struct {
		Member         pimconfig.Member
		ClusterID      string
		InitialMembers []InitialMember
		Seeds          []string
		StoredGroups   map[string]pimconsensus.PersistentState
		BootID         uint64
		Seed           uint64

		// BatchGracePeriod is how long batch tasks go on without a current configuration.
		BatchGracePeriod time.Duration
		// ReplaceAfter is how long a voter may be silent before another takes its place.
		ReplaceAfter time.Duration
		// JournalRetention is how long the journal remembers a request.
		JournalRetention time.Duration
		// RefuseWhenCutOff makes a daemon without a current configuration refuse requests.
		RefuseWhenCutOff bool
		Policy           pimplace.Policy
	}

	// Event is an input.
	Event interface{ isEvent() }

	// Tick lets time pass.
	Tick struct{}

	// PeerReceived is a message from another daemon. To names the addressee's member
	// id, or is empty where the sender does not know it yet.
	PeerReceived struct {
		From    string
		To      string
		Message pimmessage.PeerMessage
	}

	// Persisted tells that a Persist command is durable.
	Persisted struct {
		Group string
		Index uint64
		Term  uint64
	}

	// RequestReceived is a caller's request. DeclaredIdempotent takes from the manifest
	// whether it is idempotent, as where the caller does not say.
	RequestReceived struct {
		Request                 pimrequest.Request
		IdempotencyFromManifest bool
	}

	// StatusRequested asks for what this node knows; AnswerStatus brings it.
	StatusRequested struct{ Token uint64 }

	// AttemptEnded tells how sending to an endpoint ended.
	AttemptEnded struct{ Result pimrequest.Result }

	// CallReceived is a question of an endpoint, worker or operator to a group's
	// leader. AnswerCall brings the answer with the same token.
	CallReceived struct {
		Token uint64
		Group string
		Call  pimmessage.Call
		TTL   time.Duration
	}

	// Drain starts a graceful stop.
	Drain struct{}

	// Command is an output.
	Command interface{ isCommand() }

	// SendPeer sends a message to a daemon.
	SendPeer struct {
		Address string
		To      string
		Message pimmessage.PeerMessage
	}

	// Persist makes a group's batch or snapshot durable, then sends Then and reports
	// Persisted with Index and Term.
	Persist struct {
		Group         string
		Batch         pimlog.Batch
		Snapshot      *pimconsensus.Snapshot
		SendAfterSync []SendPeer
		Index         uint64
		Term          uint64
	}

	// SaveIdentity makes the cluster id durable before anything else is persisted.
	SaveIdentity struct{ ClusterID string }

	// SendEndpoint sends a request to an endpoint.
	SendEndpoint struct{ Attempt pimrequest.SendAttempt }

	// AnswerRequest answers a RequestReceived.
	AnswerRequest struct {
		Token  uint64
		Answer pimrequest.Answer
	}

	// AnswerCall answers a CallReceived.
	AnswerCall struct {
		Token  uint64
		Code   pimcode.Code
		Detail string
		Reply  pimmessage.Reply
	}

	// AnswerStatus answers a StatusWanted.
	AnswerStatus struct {
		Token  uint64
		Status Status
	}

	// LogRouting is a routing decision for the log.
	LogRouting struct {
		Decision pimrequest.Decision
		Version  uint64
	}

	// LogPlacement is a placement decision for the log.
	LogPlacement struct {
		Decision pimplace.Decision
		Version  uint64
	}

	// LogEvent is a change of role or membership for the log.
	LogEvent struct {
		Group  string
		Event  string
		Detail string
	}
)

// Names of groups.
const (
	ConfigGroup       = "config"
	domainGroupPrefix = "domain."
)

// Timing of the node's systems.
const (
	TickInterval         = 20 * time.Millisecond
	GossipInterval       = 250 * time.Millisecond
	PeerTimeout          = 1500 * time.Millisecond
	ConfigLease          = 3 * time.Second
	reconcileInterval    = 500 * time.Millisecond
	ownerPlanInterval    = 200 * time.Millisecond
	domainReportInterval = 200 * time.Millisecond
	callResendInterval   = 500 * time.Millisecond
	callRetryDelay       = 50 * time.Millisecond
	joinInterval         = time.Second
	journalClockInterval = 30 * time.Second
	endRequestTTL        = 30 * time.Second
	releaseSlotTTL       = 10 * time.Second
	startupGracePeriod   = 10 * time.Second
	joinDelay            = 3 * time.Second
	compactionThreshold  = 4096
	maxActiveRequests    = 20_000
	configVoterTarget    = 5
	domainVoterTarget    = 3
)

func (Tick) isEvent()            {}
func (PeerReceived) isEvent()    {}
func (Persisted) isEvent()       {}
func (RequestReceived) isEvent() {}
func (StatusRequested) isEvent() {}
func (AttemptEnded) isEvent()    {}
func (CallReceived) isEvent()    {}
func (Drain) isEvent()           {}

func (SendPeer) isCommand()      {}
func (Persist) isCommand()       {}
func (SaveIdentity) isCommand()  {}
func (SendEndpoint) isCommand()  {}
func (AnswerRequest) isCommand() {}
func (AnswerCall) isCommand()    {}
func (AnswerStatus) isCommand()  {}
func (LogRouting) isCommand()    {}
func (LogPlacement) isCommand()  {}
func (LogEvent) isCommand()      {}

// DomainGroup returns the name of a failure domain's group.
func DomainGroup(domain string) string { return domainGroupPrefix + domain }
