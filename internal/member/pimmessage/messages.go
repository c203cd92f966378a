// Package pimmessage holds the messages between entry daemons and their codec. A
// call is a question to the leader of a group; any daemon may pass one on for a
// caller, endpoint, worker or operator that it serves.
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

	// Call is the body of a CallRequest.
	Call interface{ isCall() }

	// Reply is the body of a CallReply.
	Reply interface{ isReply() }

	// Consensus carries a consensus message of a group, encoded by EncodeConsensus.
	Consensus struct {
		Group string `msgpack:"g"`
		Body  []byte `msgpack:"b"`
	}

	// LeaderHint tells who leads a group in which term.
	LeaderHint struct {
		ID   string `msgpack:"i"`
		Term uint64 `msgpack:"t"`
	}

	// Gossip is what each daemon tells all others twice a second. FoundingNonces is
	// set while the sender waits for the first members of a new cluster.
	Gossip struct {
		Member         pimconfig.Member      `msgpack:"m"`
		ClusterID      string                `msgpack:"c"`
		InitialMembers []string              `msgpack:"f,omitempty"`
		Leaders        map[string]LeaderHint `msgpack:"l"`
		Version        uint64                `msgpack:"v"`
		Draining       bool                  `msgpack:"d,omitempty"`
	}

	// CallRequest asks the leader of Group. ID is unique at the sender.
	CallRequest struct {
		ID    uint64 `msgpack:"i"`
		Group string `msgpack:"g"`
		Body  []byte `msgpack:"b"`
	}

	// CallReply answers a CallRequest.
	CallReply struct {
		ID     uint64       `msgpack:"i"`
		Code   pimcode.Code `msgpack:"c"`
		Detail string       `msgpack:"d,omitempty"`
		Body   []byte       `msgpack:"b,omitempty"`
	}

	// LeaderQuery asks a control daemon who leads the jobs. Control is set by a daemon that
	// has a disk and wants to be a member.
	LeaderQuery struct {
		WantsMembership bool `msgpack:"c,omitempty"`
	}

	// LeaderReply answers a Hello. Leader is the member that leads as far as the sender
	// knows; Leading is set by the leader itself while a majority follows it.
	LeaderReply struct {
		Leader          string   `msgpack:"l"`
		Term            uint64   `msgpack:"t"`
		Members         []string `msgpack:"m"`
		ConfirmedLeader bool     `msgpack:"g,omitempty"`
	}

	// CreditLedgerQuery is sent by a new leader of a domain group: the receiver tells which
	// credits it holds and refuses grants of earlier terms from then on.
	CreditLedgerQuery struct {
		Domain string `msgpack:"d"`
		Term   uint64 `msgpack:"t"`
	}

	// CreditLedgerReply answers a LedgerQuery. Times in it are durations from now.
	CreditLedgerReply struct {
		Domain        string                 `msgpack:"d"`
		Term          uint64                 `msgpack:"t"`
		Credits       []pimslot.Credit       `msgpack:"c"`
		Announcements []pimslot.Announcement `msgpack:"a"`
	}

	// CommitManifest asks the configuration group to put a manifest in force.
	CommitManifest struct{ Command pimconfig.CommitManifest }

	// MarkDomain asks the configuration group to mark a failure domain.
	MarkDomain struct{ Command pimconfig.MarkDomain }

	// Join asks the configuration group to take in a daemon.
	Join struct{ Member pimconfig.Member }

	// ReportDomain tells the configuration leader about a failure domain.
	ReportDomain struct{ Report pimowner.Report }

	// QueryVersionStatus asks the configuration leader where a version is in force.
	QueryVersionStatus struct{ Version uint64 }

	// Announce passes on an endpoint's announcement.
	Announce struct{ Announcement pimslot.Announcement }

	// ReportWorker passes on a worker's report.
	ReportWorker struct{ Report pimplace.Report }

	// AcquireSlot asks for a slot of an endpoint.
	AcquireSlot struct {
		Holder  string
		Acquire pimslot.Acquire
	}

	// ReleaseSlot gives a slot back.
	ReleaseSlot struct{ Release pimslot.Release }

	// BeginRequest asks the journal whether a request may be sent.
	BeginRequest struct{ Command pimdomain.BeginRequest }

	// EndRequest tells the journal how a request ended.
	EndRequest struct{ Command pimdomain.EndRequest }

	// QueryDomain asks the leader of a domain group for its tables.
	QueryDomain struct{}

	// Done is a reply without content.
	Done struct{}

	// Configured answers CommitManifest and MarkDomain.
	Configured struct {
		Result pimconfig.Result
		Faults []pimmanifest.Fault
	}

	// Joined answers Join.
	Joined struct {
		ClusterID string
		Members   []pimconfig.Member
	}

	// VersionStatus tells which daemons have not yet confirmed a version and still may act on
	// an older one.
	VersionStatus struct {
		Version uint64   `json:"version"`
		InForce bool     `json:"in-force"`
		Waiting []string `json:"waiting,omitempty"`
	}

	// Announced answers Announce.
	Announced struct{ Token pimslot.Token }

	// Reported answers ReportWorker.
	Reported struct{ Answer pimplace.ReportResponse }

	// SlotReply answers AcquireSlot.
	SlotReply struct{ Reply pimslot.Reply }

	// Journaled answers BeginRequest and EndRequest.
	Journaled struct{ Result pimdomain.Result }

	// DomainTables answers QueryDomain.
	DomainTables struct {
		Leader    string         `json:"leader"`
		Endpoints []EndpointRow  `json:"endpoints"`
		Workers   []WorkerRow    `json:"workers"`
		Running   map[string]int `json:"running"`
		Journal   int            `json:"journal-entries"`
		Age       time.Duration  `json:"-"`
	}

	// EndpointRow is an endpoint as shown by status.
	EndpointRow struct {
		ID      string `json:"id"`
		Service string `json:"service"`
		Address string `json:"address"`
		Slots   int    `json:"slots"`
		Used    int    `json:"used"`
		State   string `json:"state"`
	}

	// WorkerRow is a worker as shown by status.
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

// Encode returns the bytes of a peer message, call, reply or consensus message.
func Encode(value any) ([]byte, error) { return codec.Encode(value) }

// DecodePeerMessage reads a peer message.
func DecodePeerMessage(data []byte) (PeerMessage, error) { return decodeAs[PeerMessage](data) }

// DecodeCall reads the body of a CallRequest.
func DecodeCall(data []byte) (Call, error) { return decodeAs[Call](data) }

// DecodeReply reads the body of a CallReply.
func DecodeReply(data []byte) (Reply, error) { return decodeAs[Reply](data) }

// DecodeConsensus reads the body of a Consensus message.
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
		return zero, pimcode.New(pimcode.UnknownMessage, "type %T is out of place", value)
	}
	return typed, nil
}
