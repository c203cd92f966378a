// Package pimmessage defines the messages between daemons and encodes them. A call is a
// request to the leader of a group. Any daemon may send one on behalf of the caller,
// endpoint, worker or operator that it serves.
//
// Messages are sent in msgpack. Fields without a msgpack tag are sent under their Go names,
// so these must not be renamed.
package pimmessage

import (
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/place/pimowner"
	"github.com/pimentoswitch/pimentoswitch/internal/place/pimplace"
	"github.com/pimentoswitch/pimentoswitch/internal/route/pimslot"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimcodec"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconsensus"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimdomain"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimmanifest"
)

type (
	// PeerMessage is a message between two daemons.
	PeerMessage interface{ isPeer() }

	// Call is a request to a group's leader, sent as the body of a CallRequest.
	Call interface{ isCall() }

	// Reply is the result of a successful Call, sent as the body of a CallReply.
	Reply interface{ isReply() }

	// Consensus carries a consensus message of a group, encoded by Encode.
	Consensus struct {
		Group string `msgpack:"g"`
		Body  []byte `msgpack:"b"`
	}

	// LeaderHint is the member that the sender believes leads a group, and its term.
	LeaderHint struct {
		ID   string `msgpack:"i"`
		Term uint64 `msgpack:"t"`
	}

	// Gossip is sent by each daemon to all others every pimcore.GossipInterval. Leaders is
	// keyed by group; Version is the sender's configuration version. ClusterID is empty while
	// the sender belongs to no cluster. InitialMembers is neither set nor read at present.
	Gossip struct {
		Member         pimconfig.Member      `msgpack:"m"`
		ClusterID      string                `msgpack:"c"`
		InitialMembers []string              `msgpack:"f,omitempty"`
		Leaders        map[string]LeaderHint `msgpack:"l"`
		Version        uint64                `msgpack:"v"`
		Draining       bool                  `msgpack:"d,omitempty"`
	}

	// CallRequest carries a Call to the leader of Group. ID is unique per sender. Indirect is set if
	// the sender can't reach the leader: a receiver that isn't the leader passes the call on to it. Deadline, on the
	// receiver's clock, is when the sender has given up, or 0 if it doesn't know that clock.
	CallRequest struct {
		ID       uint64        `msgpack:"i"`
		Group    string        `msgpack:"g"`
		Body     []byte        `msgpack:"b"`
		Indirect bool          `msgpack:"d,omitempty"`
		Deadline time.Duration `msgpack:"t,omitempty"`
	}

	// CallReply answers the CallRequest with the same ID. Body is a Reply, or empty if Code
	// is an error.
	CallReply struct {
		ID     uint64       `msgpack:"i"`
		Code   pimcode.Code `msgpack:"c"`
		Detail string       `msgpack:"d,omitempty"`
		Body   []byte       `msgpack:"b,omitempty"`
	}

	// LeaderQuery asks a control daemon for the leader of the job group, which schedules
	// jobs. WantsMembership is set by a daemon with a disk that asks to become a member. SentAt is the sender's clock, or 0.
	LeaderQuery struct {
		WantsMembership bool          `msgpack:"c,omitempty"`
		SentAt          time.Duration `msgpack:"s,omitempty"`
	}

	// LeaderReply answers a LeaderQuery. Leader is the leader as far as the sender knows;
	// ConfirmedLeader is set if the sender is the leader and holds its lease. Members are the
	// replicas of the job group, voters first. ReachesLeader is set if the leader has recently
	// replied to Sender, so that it can pass on calls. Clock is Sender's clock, QueriedAt repeats LeaderQuery.SentAt.
	LeaderReply struct {
		Leader          string   `msgpack:"l"`
		Term            uint64   `msgpack:"t"`
		Members         []string `msgpack:"m"`
		ConfirmedLeader bool     `msgpack:"g,omitempty"`
		Sender          string   `msgpack:"s,omitempty"`
		ReachesLeader   bool     `msgpack:"r,omitempty"`

		Clock     time.Duration `msgpack:"k,omitempty"`
		QueriedAt time.Duration `msgpack:"q,omitempty"`
	}

	// WorkerCall asks a control daemon to make a call to a worker on behalf of the leader of the job group in Term, unless
	// Validity has passed since it was received. ID is unique in the term. Body is a call, encoded by pimrelay.
	WorkerCall struct {
		Term     uint64        `msgpack:"t"`
		ID       uint64        `msgpack:"i"`
		Validity time.Duration `msgpack:"v"`
		Body     []byte        `msgpack:"b"`
	}

	// WorkerResult answers the WorkerCall with the same Term and ID. Domain is the failure domain of the sender. Body is
	// the result, encoded by pimrelay.
	WorkerResult struct {
		Term   uint64 `msgpack:"t"`
		ID     uint64 `msgpack:"i"`
		Domain string `msgpack:"d,omitempty"`
		Body   []byte `msgpack:"b"`
	}

	// CreditLedgerQuery is sent by a new leader of a domain group, to rebuild its credit
	// ledger. The receiver reports the credits that it holds, and from then on ignores
	// grants of earlier terms.
	CreditLedgerQuery struct {
		Domain string `msgpack:"d"`
		Term   uint64 `msgpack:"t"`
	}

	// CreditLedgerReply answers a CreditLedgerQuery. Times in it are relative to when it was sent.
	CreditLedgerReply struct {
		Domain        string                 `msgpack:"d"`
		Term          uint64                 `msgpack:"t"`
		Credits       []pimslot.Credit       `msgpack:"c"`
		Announcements []pimslot.Announcement `msgpack:"a"`
	}

	// CommitManifest asks the configuration group to put a manifest into effect.
	CommitManifest struct{ Command pimconfig.CommitManifest }

	// MarkDomain asks the configuration group to take a failure domain out of service or back in.
	MarkDomain struct{ Command pimconfig.MarkDomain }

	// Join asks the configuration group to add a daemon as a member.
	Join struct{ Member pimconfig.Member }

	// ReportDomain reports the state of a failure domain to the configuration leader.
	ReportDomain struct{ Report pimowner.Report }

	// QueryVersionStatus asks the configuration leader which daemons may still act on a version
	// older than the given one.
	QueryVersionStatus struct{ Version uint64 }

	// Announce forwards an endpoint's announcement to the leader of its domain group.
	Announce struct{ Announcement pimslot.Announcement }

	// ReportWorker forwards a worker's report to the leader of its domain group.
	ReportWorker struct{ Report pimplace.Report }

	// AcquireSlot asks for a slot at an endpoint. Holder is the id of the daemon that will use it.
	AcquireSlot struct {
		Holder  string
		Acquire pimslot.Acquire
	}

	// ReleaseSlot returns a slot.
	ReleaseSlot struct{ Release pimslot.Release }

	// BeginRequest asks the journal whether a non-idempotent request may be sent.
	BeginRequest struct{ Command pimdomain.BeginRequest }

	// EndRequest reports to the journal how a request ended.
	EndRequest struct{ Command pimdomain.EndRequest }

	// QueryDomain asks the leader of a domain group for the tables that the status shows.
	QueryDomain struct{}

	// Done is a reply without content.
	Done struct{}

	// Configured answers CommitManifest and MarkDomain. Faults are those of the manifest.
	Configured struct {
		Result pimconfig.Result
		Faults []pimmanifest.Fault
	}

	// Joined answers Join with the cluster and its members.
	Joined struct {
		ClusterID string
		Members   []pimconfig.Member
	}

	// VersionStatus answers QueryVersionStatus. Waiting names the daemons that have not
	// confirmed the version and may still act on an older one; InForce is set if there are none.
	VersionStatus struct {
		Version uint64   `json:"version"`
		InForce bool     `json:"in-force"`
		Waiting []string `json:"waiting,omitempty"`
	}

	// Announced answers Announce. The endpoint returns Token in its next announcement.
	Announced struct{ Token pimslot.Token }

	// Reported answers ReportWorker.
	Reported struct{ Answer pimplace.ReportResponse }

	// SlotReply answers AcquireSlot.
	SlotReply struct{ Reply pimslot.Reply }

	// Journaled answers BeginRequest and EndRequest.
	Journaled struct{ Result pimdomain.Result }

	// DomainTables answers QueryDomain. Running is the number of running tasks by service or
	// batch job, Journal the number of journal entries. Age is neither set nor read at present.
	DomainTables struct {
		Leader    string         `json:"leader"`
		Endpoints []EndpointRow  `json:"endpoints"`
		Workers   []WorkerRow    `json:"workers"`
		Running   map[string]int `json:"running"`
		Journal   int            `json:"journal-entries"`
		Age       time.Duration  `json:"-"`
	}

	// EndpointRow is an endpoint as the status shows it.
	EndpointRow struct {
		ID      string `json:"id"`
		Service string `json:"service"`
		Address string `json:"address"`
		Slots   int    `json:"slots"`
		Used    int    `json:"used"`
		State   string `json:"state"`
	}

	// WorkerRow is a worker as the status shows it. Tasks is the number of tasks on it.
	WorkerRow struct {
		ID          string `json:"id"`
		Rack        string `json:"rack"`
		Tasks       int    `json:"tasks"`
		Quarantined bool   `json:"quarantined"`
	}
)

func (Consensus) isPeer()         {}
func (Gossip) isPeer()            {}
func (CallRequest) isPeer()       {}
func (CallReply) isPeer()         {}
func (LeaderQuery) isPeer()       {}
func (LeaderReply) isPeer()       {}
func (WorkerCall) isPeer()        {}
func (WorkerResult) isPeer()      {}
func (CreditLedgerQuery) isPeer() {}
func (CreditLedgerReply) isPeer() {}

func (CommitManifest) isCall()     {}
func (MarkDomain) isCall()         {}
func (Join) isCall()               {}
func (ReportDomain) isCall()       {}
func (QueryVersionStatus) isCall() {}
func (Announce) isCall()           {}
func (ReportWorker) isCall()       {}
func (AcquireSlot) isCall()        {}
func (ReleaseSlot) isCall()        {}
func (BeginRequest) isCall()       {}
func (EndRequest) isCall()         {}
func (QueryDomain) isCall()        {}

func (Done) isReply()          {}
func (Configured) isReply()    {}
func (Joined) isReply()        {}
func (VersionStatus) isReply() {}
func (Announced) isReply()     {}
func (Reported) isReply()      {}
func (SlotReply) isReply()     {}
func (Journaled) isReply()     {}
func (DomainTables) isReply()  {}

var codec = pimcodec.NewCodec([]pimcodec.Kind{
	{Name: "consensus", Zero: Consensus{}},
	{Name: "gossip", Zero: Gossip{}},
	{Name: "call", Zero: CallRequest{}},
	{Name: "reply", Zero: CallReply{}},
	{Name: "hello", Zero: LeaderQuery{}},
	{Name: "directory", Zero: LeaderReply{}},
	{Name: "worker-call", Zero: WorkerCall{}},
	{Name: "worker-result", Zero: WorkerResult{}},
	{Name: "ledger-query", Zero: CreditLedgerQuery{}},
	{Name: "ledger-reply", Zero: CreditLedgerReply{}},

	{Name: "vote", Zero: pimconsensus.VoteRequest{}},
	{Name: "vote-reply", Zero: pimconsensus.VoteReply{}},
	{Name: "append", Zero: pimconsensus.AppendRequest{}},
	{Name: "append-reply", Zero: pimconsensus.AppendReply{}},
	{Name: "snapshot", Zero: pimconsensus.SnapshotRequest{}},
	{Name: "timeout-now", Zero: pimconsensus.TimeoutNow{}},

	{Name: "commit-manifest", Zero: CommitManifest{}},
	{Name: "mark-domain", Zero: MarkDomain{}},
	{Name: "join", Zero: Join{}},
	{Name: "report-domain", Zero: ReportDomain{}},
	{Name: "query-force", Zero: QueryVersionStatus{}},
	{Name: "announce", Zero: Announce{}},
	{Name: "report-worker", Zero: ReportWorker{}},
	{Name: "acquire-slot", Zero: AcquireSlot{}},
	{Name: "release-slot", Zero: ReleaseSlot{}},
	{Name: "begin-request", Zero: BeginRequest{}},
	{Name: "end-request", Zero: EndRequest{}},
	{Name: "query-domain", Zero: QueryDomain{}},

	{Name: "done", Zero: Done{}},
	{Name: "configured", Zero: Configured{}},
	{Name: "joined", Zero: Joined{}},
	{Name: "force", Zero: VersionStatus{}},
	{Name: "announced", Zero: Announced{}},
	{Name: "reported", Zero: Reported{}},
	{Name: "slot-reply", Zero: SlotReply{}},
	{Name: "journaled", Zero: Journaled{}},
	{Name: "domain-tables", Zero: DomainTables{}},
})

// Encode encodes a peer message, call, reply or consensus message.
func Encode(value any) ([]byte, error) { return codec.Encode(value) }

// SizeOf returns the size in bytes of what a message carries, without its fixed fields.
func SizeOf(message PeerMessage) int {
	switch message := message.(type) {
	case Consensus:
		return len(message.Body)
	case CallRequest:
		return len(message.Body)
	case CallReply:
		return len(message.Body)
	case WorkerCall:
		return len(message.Body)
	case WorkerResult:
		return len(message.Body)
	}
	return 0
}

// DecodePeerMessage decodes a peer message.
func DecodePeerMessage(data []byte) (PeerMessage, error) { return decodeAs[PeerMessage](data) }

// DecodeCall decodes the body of a CallRequest.
func DecodeCall(data []byte) (Call, error) { return decodeAs[Call](data) }

// DecodeReply decodes the body of a CallReply.
func DecodeReply(data []byte) (Reply, error) { return decodeAs[Reply](data) }

// DecodeConsensus decodes the body of a Consensus message.
func DecodeConsensus(data []byte) (pimconsensus.Message, error) {
	return decodeAs[pimconsensus.Message](data)
}

func decodeAs[T any](data []byte) (T, error) {
	var zero T
	value, err := codec.Decode(data)
	if err != nil {
		return zero, err
	}
	typed, ok := value.(T)
	if !ok {
		return zero, pimcode.New(pimcode.UnknownMessage, "type %T is not expected here", value)
	}
	return typed, nil
}
