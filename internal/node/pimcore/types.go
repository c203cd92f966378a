// Package pimcore is the decision core of an entry daemon. A Node is a deterministic
// state machine: Handle takes an event and the current time, Take returns commands.
// It opens no socket or file, starts no goroutine, reads no clock, and its only
// randomness comes from Config.Seed.
//
// The daemon or test that drives a Node must
//   - make the Persist commands of a group durable in order, and send the SendAfterSync
//     messages of a command only after it is durable,
//   - call Handle with a Tick at least every TickInterval, and
//   - never pass a time before the one of the previous call.
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
	// InitialMember is one of the daemons that bootstrap a new cluster together. The node does not
	// read HTTPAddress.
	InitialMember struct {
		Name        string
		Domain      string
		PeerAddress string
		HTTPAddress string
	}

	// Config is what a node knows at start. ClusterID and StoredGroups come from its
	// data folder and are empty when the folder is new. Seeds are peer addresses to contact
	// while no members are known. BootID differs at each process start.
	Config struct {
		Member         pimconfig.Member
		ClusterID      string
		InitialMembers []InitialMember
		Seeds          []string
		StoredGroups   map[string]pimconsensus.PersistentState
		BootID         uint64
		Seed           uint64

		// BatchGracePeriod is how long batch tasks continue without a current configuration.
		BatchGracePeriod time.Duration
		// ReplaceAfter is how long after its last contact a voter is replaced by another member.
		ReplaceAfter time.Duration
		// JournalRetention is how long the journal keeps the entry of a request.
		JournalRetention time.Duration
		// RefuseWhenCutOff makes the daemon refuse requests while it has no configuration lease.
		RefuseWhenCutOff bool
		Policy           pimplace.Policy
	}

	// Event is an input of Handle.
	Event interface{ isEvent() }

	// Tick reports only that time has passed.
	Tick struct{}

	// PeerReceived is a message from another daemon. From and To are member ids; To is
	// empty if the sender does not know the receiver's id yet.
	PeerReceived struct {
		From    string
		To      string
		Message pimmessage.PeerMessage
	}

	// Persisted reports that the Persist command with this Index and Term is durable.
	Persisted struct {
		Group string
		Index uint64
		Term  uint64
	}

	// RequestReceived is a caller's request. IdempotencyFromManifest is set when the caller
	// does not say whether the request is idempotent: the service's manifest entry decides.
	RequestReceived struct {
		Request                 pimrequest.Request
		IdempotencyFromManifest bool
	}

	// StatusRequested requests the node's Status. AnswerStatus answers it with the same token.
	StatusRequested struct{ Token uint64 }

	// AttemptEnded reports the result of a SendEndpoint command.
	AttemptEnded struct{ Result pimrequest.Result }

	// CallReceived is a call from an endpoint, worker or operator to the leader of a
	// group. AnswerCall answers it with the same token. The call fails after TTL.
	CallReceived struct {
		Token uint64
		Group string
		Call  pimmessage.Call
		TTL   time.Duration
	}

	// Drain starts a graceful stop: the node refuses new requests and hands over leadership.
	Drain struct{}

	// Command is an output, returned by Take.
	Command interface{ isCommand() }

	// SendPeer sends a message to the daemon at a peer address. To is its member id, or
	// empty if that is unknown.
	SendPeer struct {
		Address string
		To      string
		Message pimmessage.PeerMessage
	}

	// Persist makes a batch of log entries or a snapshot of a group durable, then sends
	// SendAfterSync. If Index is not zero, it is the index of the batch's last entry, and
	// the node expects a Persisted event with Index and Term.
	Persist struct {
		Group         string
		Batch         pimlog.Batch
		Snapshot      *pimconsensus.Snapshot
		SendAfterSync []SendPeer
		Index         uint64
		Term          uint64
	}

	// SaveIdentity makes the cluster id durable before any later command is executed.
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

	// AnswerStatus answers a StatusRequested.
	AnswerStatus struct {
		Token  uint64
		Status Status
	}

	// LogRouting writes a routing decision and the configuration version behind it to the log.
	LogRouting struct {
		Decision pimrequest.Decision
		Version  uint64
	}

	// LogPlacement writes a placement decision and the configuration version behind it to the log.
	LogPlacement struct {
		Decision pimplace.Decision
		Version  uint64
	}

	// LogEvent writes a change of role or membership, or an error in a message or snapshot, to
	// the log. Group is empty if the event concerns the whole daemon.
	LogEvent struct {
		Group  string
		Event  string
		Detail string
	}
)

// Names of consensus groups. ConfigGroup replicates the configuration to all daemons;
// each failure domain has a group of its own, see DomainGroup.
const (
	ConfigGroup       = "config"
	domainGroupPrefix = "domain."
)

// Intervals, timeouts and limits of a node.
const (
	// TickInterval is the longest time between two Tick events.
	TickInterval = 20 * time.Millisecond
	// GossipInterval is the time between two gossip messages to the same daemon.
	GossipInterval = 250 * time.Millisecond
	// PeerTimeout is how long after its last gossip message a daemon counts as reachable.
	PeerTimeout = 1500 * time.Millisecond
	// ConfigLease is how long a configuration counts as current after it was last confirmed.
	ConfigLease = 3 * time.Second

	reconcileInterval    = 500 * time.Millisecond // between two membership changes of a group
	ownerPlanInterval    = 200 * time.Millisecond
	domainReportInterval = 200 * time.Millisecond
	callResendInterval   = 500 * time.Millisecond // while the leader does not answer
	callRetryDelay       = 50 * time.Millisecond  // while no leader is known, or the callee was not the leader
	joinInterval         = time.Second
	journalClockInterval = 30 * time.Second
	endRequestTTL        = 30 * time.Second
	releaseSlotTTL       = 10 * time.Second
	// startupGracePeriod is how long a restarted daemon waits for a current configuration
	// before it acts on its stored one.
	startupGracePeriod = 10 * time.Second
	// joinDelay is how long an initial member waits for a bootstrap before it joins a running cluster.
	joinDelay           = 3 * time.Second
	compactionThreshold = 4096 // log entries since the last snapshot
	maxActiveRequests   = 20_000
	configVoterTarget   = 5
	domainVoterTarget   = 3
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

// DomainGroup returns the name of the consensus group of a failure domain.
func DomainGroup(domain string) string { return domainGroupPrefix + domain }
