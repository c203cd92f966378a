// Package pimconsensus implements a replicated log with leader election, after Raft.
//
// A Replica is a deterministic state machine without I/O: the caller passes messages to Step
// and the time to Tick, and Take returns what the caller must persist, send and apply. A
// Replica opens no socket or file, starts no goroutine and reads no clock. Times are
// durations on a monotonic clock of the process. Readings of different processes' clocks
// are never compared; only intervals are, and the clock rates may differ by MaxClockDrift.
//
// Supported extensions: pre-vote, check-quorum, leader leases, learners, membership changes
// of one replica at a time, replacement of a voter by joint consensus, snapshots and leadership transfer.
package pimconsensus

import "time"

type (
	// EntryKind is the type of an entry's data.
	EntryKind uint8

	// Role is a replica's role in the current term.
	Role uint8

	// Entry is one record of the replicated log. Data holds a command of the state machine
	// or, with EntryMembers, a msgpack-encoded Members. An EntryNoop has none.
	Entry struct {
		Index uint64    `msgpack:"i"`
		Term  uint64    `msgpack:"t"`
		Kind  EntryKind `msgpack:"k,omitempty"`
		Data  []byte    `msgpack:"d,omitempty"`
	}

	// HardState must be durable before a vote or an acknowledgement is sent. Commit is
	// set only with Config.PersistCommit.
	HardState struct {
		Term     uint64 `msgpack:"t"`
		VotedFor string `msgpack:"v"`
		Commit   uint64 `msgpack:"c,omitempty"`
	}

	// Snapshot replaces all entries up to and including Index, whose term is Term. Data is
	// the encoded state of the state machine.
	Snapshot struct {
		Index   uint64  `msgpack:"i"`
		Term    uint64  `msgpack:"t"`
		Members Members `msgpack:"m"`
		Data    []byte  `msgpack:"d"`
	}

	// Envelope is a message with the id of its receiver.
	Envelope struct {
		To      string
		Message Message
	}

	// Output is the work that one or more calls produced. The caller stores Install,
	// HardState and Entries, syncs them, calls Persisted, and only then sends AfterSync. It
	// may send Immediate at once. It resets the state machine to Restore, if set, and
	// then applies Committed in order.
	Output struct {
		HardState *HardState
		// Install is a snapshot received from the leader; it replaces the stored one.
		Install *Snapshot
		// Entries replace the stored entries from the first one's index on.
		Entries   []Entry
		Immediate []Envelope
		AfterSync []Envelope
		Restore   *Snapshot
		Committed []Entry
	}

	// Message is a message between replicas of one group.
	Message interface{ isMessage() }

	// VoteRequest asks for a vote, or with PreVote whether the receiver would grant one.
	// LastIndex and LastTerm are those of the candidate's last entry. Transfer is set in an
	// election that the leader asked for: a receiver then votes even if that leader's last
	// contact is recent.
	VoteRequest struct {
		Term      uint64 `msgpack:"t"`
		LastIndex uint64 `msgpack:"i"`
		LastTerm  uint64 `msgpack:"lt"`
		PreVote   bool   `msgpack:"p,omitempty"`
		Transfer  bool   `msgpack:"x,omitempty"`
	}

	// VoteReply answers a VoteRequest.
	VoteReply struct {
		Term    uint64 `msgpack:"t"`
		PreVote bool   `msgpack:"p,omitempty"`
		Granted bool   `msgpack:"g,omitempty"`
	}

	// AppendRequest carries entries and the commit index, and serves as the leader's
	// heartbeat. SentAt is the leader's clock. EchoBoot and EchoClock repeat Boot and Clock
	// of a reply that the leader received from this replica while it held its lease;
	// EchoCommit was then the last committed index. A replica that has applied EchoCommit
	// therefore knows that its state was current at EchoClock on its own clock.
	AppendRequest struct {
		Term       uint64        `msgpack:"t"`
		PrevIndex  uint64        `msgpack:"pi"`
		PrevTerm   uint64        `msgpack:"pt"`
		Entries    []Entry       `msgpack:"e,omitempty"`
		Commit     uint64        `msgpack:"c"`
		SentAt     time.Duration `msgpack:"s"`
		EchoBoot   uint64        `msgpack:"eb,omitempty"`
		EchoClock  time.Duration `msgpack:"ec,omitempty"`
		EchoCommit uint64        `msgpack:"em,omitempty"`
	}

	// AppendReply acknowledges entries up to Match, or with Reject asks the leader to
	// continue after RejectHint. Applied is the replica's last applied index. SentAt repeats
	// the request's. Clock is the replica's clock and Boot identifies its process, since
	// a restart resets the clock.
	AppendReply struct {
		Term       uint64        `msgpack:"t"`
		Reject     bool          `msgpack:"r,omitempty"`
		Match      uint64        `msgpack:"m"`
		RejectHint uint64        `msgpack:"h,omitempty"`
		Applied    uint64        `msgpack:"a"`
		SentAt     time.Duration `msgpack:"s"`
		Boot       uint64        `msgpack:"b"`
		Clock      time.Duration `msgpack:"k"`
		// ContactOnly is set in a reply that is sent before the one that follows the sync. It acknowledges no entries.
		ContactOnly bool `msgpack:"c,omitempty"`
	}

	// SnapshotRequest carries a whole snapshot to a replica that needs entries which the
	// leader has compacted. The reply is an AppendReply.
	SnapshotRequest struct {
		Term     uint64        `msgpack:"t"`
		SentAt   time.Duration `msgpack:"s"`
		Snapshot Snapshot      `msgpack:"p"`
	}

	// TimeoutNow tells the receiver, the target of a leadership transfer, to start an
	// election at once.
	TimeoutNow struct {
		Term uint64 `msgpack:"t"`
	}
)

// Kinds of entries. A new leader appends an EntryNoop to commit the entries of earlier terms.
const (
	EntryCommand EntryKind = iota
	EntryNoop
	EntryMembers
)

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Timing of elections and leases. A follower grants no vote within ElectionTimeout of its
// leader's last message. A leader whose message a majority answered therefore holds its
// lease for LeaseDuration from when it sent that message; LeaseDuration is shorter than
// ElectionTimeout to allow for MaxClockDrift.
const (
	HeartbeatInterval = 100 * time.Millisecond
	ElectionTimeout   = 600 * time.Millisecond
	MaxClockDrift     = 0.1 // as a fraction of the clock rate
	LeaseDuration     = ElectionTimeout * 9 / 10
)

const (
	maxEntriesPerAppend   = 256
	maxBytesPerAppend     = 1 << 20
	snapshotRetryInterval = 2 * time.Second
	// maxInFlightEntries limits the entries that are sent to a replica but not acknowledged.
	maxInFlightEntries = 2048
	// MaxInFlightBytes is the size from which on no more entries are sent to a replica until it acknowledges some.
	MaxInFlightBytes = 2 << 20
	// maxElectionBackoff is how often the election timeout is doubled: to 4.8 s, within which disks that take a second to
	// sync store the term and the votes of an election.
	maxElectionBackoff = 3
	// nonPreferredDelay is added to the election timeout of a non-preferred leader.
	nonPreferredDelay = 4 * ElectionTimeout
)

func (VoteRequest) isMessage()     {}
func (VoteReply) isMessage()       {}
func (AppendRequest) isMessage()   {}
func (AppendReply) isMessage()     {}
func (SnapshotRequest) isMessage() {}
func (TimeoutNow) isMessage()      {}

// String returns the name of the role, as it appears in the status and in logs.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}
