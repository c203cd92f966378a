// Package pimconsensus is a replicated log with leader election.
//
// A Replica is a plain state machine: messages and the time go in through Step
// and Tick, and Take returns what the caller must persist, send and apply. It
// opens no socket or file, starts no goroutine and reads no clock. Time is a
// duration on a monotonic clock of the process; clocks of two processes are
// compared only as differences, whose rate may differ by MaxClockDrift.
//
// It offers pre-vote, check-quorum, a leader lease, learners, one membership
// change at a time, snapshots and leadership transfer.
package pimconsensus

import (
	"slices"
	"time"
)

type (
	// EntryKind tells what an entry's data holds.
	EntryKind uint8

	// Role is the part that a replica plays in its term.
	Role uint8

	// Entry is one record of the replicated log.
	Entry struct {
		Index uint64    `msgpack:"i"`
		Term  uint64    `msgpack:"t"`
		Kind  EntryKind `msgpack:"k,omitempty"`
		Data  []byte    `msgpack:"d,omitempty"`
	}

	// Members lists the replicas of a group. Learners receive entries but have no vote.
	Members struct {
		Voters   []string `msgpack:"v"`
		Learners []string `msgpack:"l"`
	}

	// HardState must be durable before a vote or an acknowledgement is sent. Commit is
	// kept only with Config.PersistCommit.
	HardState struct {
		Term     uint64 `msgpack:"t"`
		VotedFor string `msgpack:"v"`
		Commit   uint64 `msgpack:"c,omitempty"`
	}

	// Snapshot replaces all entries up to Index.
	Snapshot struct {
		Index   uint64  `msgpack:"i"`
		Term    uint64  `msgpack:"t"`
		Members Members `msgpack:"m"`
		Data    []byte  `msgpack:"d"`
	}

	// Envelope is a message with its addressee.
	Envelope struct {
		To      string
		Message Message
	}

	// Output is what one or more steps produced. The caller appends Entries
	// (replacing stored entries from the first index on), stores Hard and
	// Install, syncs, calls Persisted, and only then sends Durable. Immediate
	// may be sent at once. Committed entries are applied in order.
	Output struct {
		HardState *HardState
		Install   *Snapshot
		Entries   []Entry
		Immediate []Envelope
		AfterSync []Envelope
		Restore   *Snapshot
		Committed []Entry
	}

	// Message is a message between replicas of one group.
	Message interface{ isMessage() }

	// VoteRequest asks for a vote, or with PreVote whether a vote would be given.
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

	// AppendRequest carries entries, the commit index and the leader's heartbeat.
	// SentAt is the leader's clock. EchoBoot and EchoClock return the receiver's own
	// clock reading that the leader took in while it held its lease; the log up to
	// EchoCommit was then the whole committed log.
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

	// AppendReply acknowledges entries up to Match, or asks to go on after Hint.
	AppendReply struct {
		Term       uint64        `msgpack:"t"`
		Reject     bool          `msgpack:"r,omitempty"`
		Match      uint64        `msgpack:"m"`
		RejectHint uint64        `msgpack:"h,omitempty"`
		Applied    uint64        `msgpack:"a"`
		SentAt     time.Duration `msgpack:"s"`
		Boot       uint64        `msgpack:"b"`
		Clock      time.Duration `msgpack:"k"`
	}

	// SnapshotRequest carries a whole snapshot to a replica that lags too far.
	SnapshotRequest struct {
		Term     uint64        `msgpack:"t"`
		SentAt   time.Duration `msgpack:"s"`
		Snapshot Snapshot      `msgpack:"p"`
	}

	// TimeoutNow asks the receiver to stand for election at once.
	TimeoutNow struct {
		Term uint64 `msgpack:"t"`
	}
)

// Kinds of entries.
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

// Timing of elections and leases. A follower grants no vote within
// ElectionTimeout of the leader's last message, so a leader that a majority
// answered holds its lease until LeaseDuration after it sent the question.
const (
	HeartbeatInterval = 100 * time.Millisecond
	ElectionTimeout   = 600 * time.Millisecond
	MaxClockDrift     = 0.1
	LeaseDuration     = ElectionTimeout * 9 / 10
)

const (
	maxEntriesPerAppend   = 256
	maxBytesPerAppend     = 1 << 20
	snapshotRetryInterval = 2 * time.Second
	maxInFlightEntries    = 2048
	nonPreferredDelay     = 4 * ElectionTimeout
)

func (VoteRequest) isMessage()     {}
func (VoteReply) isMessage()       {}
func (AppendRequest) isMessage()   {}
func (AppendReply) isMessage()     {}
func (SnapshotRequest) isMessage() {}
func (TimeoutNow) isMessage()      {}

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// IsVoter reports whether id has a vote.
func (m Members) IsVoter(id string) bool { return slices.Contains(m.Voters, id) }

// Contains reports whether id is a voter or a learner.
func (m Members) Contains(id string) bool {
	return m.IsVoter(id) || slices.Contains(m.Learners, id)
}

// All returns voters, then learners.
func (m Members) All() []string { return slices.Concat(m.Voters, m.Learners) }

// Quorum returns the number of voters that make a majority.
func (m Members) Quorum() int { return len(m.Voters)/2 + 1 }

// WithLearner returns m with id as a learner.
func (m Members) WithLearner(id string) Members {
	if m.Contains(id) {
		return m
	}
	return Members{Voters: slices.Clone(m.Voters), Learners: append(slices.Clone(m.Learners), id)}
}

// WithVoter returns m with id as a voter.
func (m Members) WithVoter(id string) Members {
	if m.IsVoter(id) {
		return m
	}
	rest := m.Without(id)
	rest.Voters = append(rest.Voters, id)
	return rest
}

// Without returns m without id.
func (m Members) Without(id string) Members {
	same := func(other string) bool { return other == id }
	return Members{
		Voters:   slices.DeleteFunc(slices.Clone(m.Voters), same),
		Learners: slices.DeleteFunc(slices.Clone(m.Learners), same),
	}
}
