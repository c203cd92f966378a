package pimconsensus

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
)

type (
	// PersistentState is the durable state from which a replica starts.
	PersistentState struct {
		HardState HardState
		Snapshot  Snapshot
		Entries   []Entry
	}

	// Config configures a replica.
	Config struct {
		ID string
		// Boot identifies the process; it differs at each start.
		Boot uint64
		// Seed, with Boot, seeds the random part of the election timeout.
		Seed uint64
		// NonPreferredLeader makes the replica wait longer before it starts an election. It is
		// set for voters outside the group's failure domain, which should lead only when no
		// voter inside can.
		NonPreferredLeader bool
		// PersistCommit makes the commit index durable before the replica reports an entry as
		// applied, so that its state never moves backwards across a restart.
		PersistCommit bool
	}

	// Progress is the leader's view of another replica.
	Progress struct {
		// Match is the last index known to be stored by the replica.
		Match   uint64
		Applied uint64
		// LastAck is the send time of the newest request that the replica answered.
		LastAck time.Duration
		// LastContact is the time of the replica's last reply.
		LastContact time.Duration

		// next is the index of the next entry to send. While probing, the leader does not yet
		// know where the replica's log matches its own and sends one entry at a time. Replies to
		// requests from before probedAt, when it last chose next, don't change that.
		next     uint64
		probing  bool
		probedAt time.Duration
		// inFlight are the requests with entries that are not acknowledged, oldest first, and
		// inFlightBytes is their size.
		inFlight      []sentEntries
		inFlightBytes int
		// pendingSnapshot is the index of the snapshot that was last sent, at snapshotSentAt, or 0
		// once the replica has it.
		pendingSnapshot uint64
		snapshotSentAt  time.Duration
		// echoBoot, echoClock and echoCommit are the echo fields of the next AppendRequest.
		echoBoot   uint64
		echoClock  time.Duration
		echoCommit uint64
	}

	// sentEntries are the entries of one request: the index of the last one, and their size.
	sentEntries struct {
		last  uint64
		bytes int
	}

	// Replica is one member of a group. It is not safe for concurrent use.
	Replica struct {
		config    Config
		random    *rand.Rand
		hardState HardState
		role      Role
		leader    string
		log       entryLog
		output    Output

		// membersIndex is the index of the entry or snapshot that members comes from.
		members      Members
		membersIndex uint64
		commit       uint64
		applied      uint64
		// persisted is the index up to which the log is synced.
		persisted uint64
		// unsyncedSince is when an entry was appended to the synced log, or else when the last sync ended.
		unsyncedSince time.Duration

		// now is the time given in the current call.
		now time.Duration
		// lastContact is the time of the leader's last message, or of the start.
		lastContact      time.Duration
		electionDeadline time.Duration
		// electionPending is set from a vote in the current term until a leader is known or the election has failed.
		electionPending bool
		// failedElections is how many elections failed since a leader was known. The timeout doubles with each, so that an
		// election succeeds whatever time the disks take to store the votes.
		failedElections int
		nextHeartbeat   time.Duration
		leaderSince     time.Duration
		// termStartIndex is the index of the first entry that this replica appended as leader of its term.
		termStartIndex   uint64
		votes            map[string]bool
		progress         map[string]*Progress
		transferTarget   string
		transferDeadline time.Duration
		// pendingEchoClock becomes currentAsOf once the entries up to pendingEchoCommit are applied.
		pendingEchoClock  time.Duration
		pendingEchoCommit uint64
		currentAsOf       time.Duration
		hasCurrentAsOf    bool
	}
)

// BootstrapSnapshot returns the snapshot that all initial members of a new group start from.
func BootstrapSnapshot(voters []string) Snapshot {
	return Snapshot{Index: 1, Term: 1, Members: Members{Voters: voters}}
}

// NewReplica returns a replica that starts as a follower. It grants no vote within
// ElectionTimeout of now, since before a restart it may have acknowledged a leader that
// still holds its lease.
func NewReplica(config Config, saved PersistentState, now time.Duration) *Replica {
	r := &Replica{
		config:    config,
		random:    rand.New(rand.NewPCG(config.Seed, config.Boot)),
		hardState: saved.HardState,
		log:       entryLog{snapshot: saved.Snapshot, entries: saved.Entries},
		now:       now,
	}
	r.commit = max(saved.Snapshot.Index, min(saved.HardState.Commit, r.log.lastIndex()))
	r.applied = saved.Snapshot.Index
	r.persisted = r.log.lastIndex()
	r.lastContact = now
	r.reloadMembers()
	r.resetElectionTimer()
	return r
}

// ID returns the replica's id.
func (r *Replica) ID() string { return r.config.ID }

// Role returns the replica's role.
func (r *Replica) Role() Role { return r.role }

// IsLeader reports whether the replica leads its term. A newer leader may exist; see HoldsLease.
func (r *Replica) IsLeader() bool { return r.role == Leader }

// LeaderID returns the id of the current term's leader, or "" if it is not known.
func (r *Replica) LeaderID() string { return r.leader }

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.hardState.Term }

// Members returns the newest membership in the log, committed or not.
func (r *Replica) Members() Members { return r.members }

// Commit returns the index of the last committed entry.
func (r *Replica) Commit() uint64 { return r.commit }

// Applied returns the index of the last entry returned in Output.Committed or covered by a snapshot.
func (r *Replica) Applied() uint64 { return r.applied }

// LastIndex returns the index of the last entry.
func (r *Replica) LastIndex() uint64 { return r.log.lastIndex() }

// SnapshotIndex returns the index up to which the log was compacted.
func (r *Replica) SnapshotIndex() uint64 { return r.log.snapshot.Index }

// LeaderSince returns the time at which this replica last became leader.
func (r *Replica) LeaderSince() time.Duration { return r.leaderSince }

// ProgressOf returns the leader's view of another replica, and false if this replica does
// not lead or id is not another member.
func (r *Replica) ProgressOf(id string) (Progress, bool) {
	progress, ok := r.progress[id]
	if !ok {
		return Progress{}, false
	}
	return *progress, true
}

// HoldsLease reports whether this replica leads and no other replica can be leader at time
// now. It is false during a leadership transfer.
func (r *Replica) HoldsLease(now time.Duration) bool {
	if r.role != Leader || r.transferTarget != "" {
		return false
	}
	return now < r.quorumAckedAt()+LeaseDuration
}

// Ready reports whether this replica leads, holds its lease and has applied all entries
// that earlier terms committed.
func (r *Replica) Ready(now time.Duration) bool {
	return r.HoldsLease(now) && r.applied >= r.termStartIndex
}

// CurrentAsOf returns the latest time, on this process's clock, at which the applied entries
// are known to have been all committed entries, and false if that was never known.
func (r *Replica) CurrentAsOf(now time.Duration) (time.Duration, bool) {
	if r.role == Leader {
		if !r.Ready(now) {
			return r.currentAsOf, r.hasCurrentAsOf
		}
		return r.quorumAckedAt(), true
	}
	return r.currentAsOf, r.hasCurrentAsOf
}

// Propose appends a command and returns its index and term. The command is committed only
// if Output.Committed returns that index with the same term. It fails with NotLeader.
func (r *Replica) Propose(now time.Duration, data []byte) (uint64, uint64, error) {
	r.now = now
	if r.role != Leader {
		return 0, 0, pimcode.New(pimcode.NotLeader, "leader is %q", r.leader)
	}
	if r.transferTarget != "" {
		return 0, 0, pimcode.New(pimcode.NotLeader, "leadership is being transferred to %q", r.transferTarget)
	}
	index := r.append(EntryCommand, data)
	r.replicate()
	return index, r.hardState.Term, nil
}

// ProposeMembers appends a membership, which must differ from the current one by one replica, or
// begin or end the replacement of a voter. It fails with NotLeader, or with MembershipPending while
// the previous change or the leader's first entry is not committed.
func (r *Replica) ProposeMembers(now time.Duration, members Members) error {
	r.now = now
	if r.role != Leader || r.transferTarget != "" {
		return pimcode.New(pimcode.NotLeader, "leader is %q", r.leader)
	}
	if r.membersIndex > r.commit || r.commit < r.termStartIndex {
		return pimcode.New(pimcode.MembershipPending, "entry %d is not committed", max(r.membersIndex, r.termStartIndex))
	}
	if err := r.members.checkChange(members); err != nil {
		return err
	}
	data, err := msgpack.Marshal(members)
	if err != nil {
		return pimcode.New(pimcode.ProgramFailed, "encode members: %v", err)
	}
	r.append(EntryMembers, data)
	r.replicate()
	return nil
}

// TransferTo starts a transfer of leadership to another voter, and returns false if this
// replica does not lead or id is not another voter. Propose fails while the transfer is in
// progress. It is abandoned if id has not taken over within ElectionTimeout.
func (r *Replica) TransferTo(now time.Duration, id string) bool {
	r.now = now
	if r.role != Leader || !slices.Contains(r.members.Voters, id) || id == r.config.ID {
		return false
	}
	r.transferTarget = id
	r.transferDeadline = now + ElectionTimeout
	r.sendAppend(id)
	r.finishTransfer(id)
	return true
}

// Persisted records that the entries up to index are synced; term is that of the entry at
// index. If that entry was replaced since, the call has no effect.
func (r *Replica) Persisted(now time.Duration, index, term uint64) {
	r.now = now
	stored, ok := r.log.termAt(index)
	if !ok || stored != term {
		return
	}
	r.persisted = max(r.persisted, index)
	r.unsyncedSince = now
	if r.role == Leader {
		r.advanceCommit()
	}
}

// Compact replaces the entries up to index with a snapshot, whose data is the state after
// that entry. It returns the snapshot to store, and false if index is not applied or is
// compacted already.
func (r *Replica) Compact(index uint64, data []byte) (Snapshot, bool) {
	term, ok := r.log.termAt(index)
	if !ok || index > r.applied || index <= r.log.snapshot.Index {
		return Snapshot{}, false
	}
	snapshot := Snapshot{Index: index, Term: term, Members: r.membersAt(index), Data: data}
	r.log.compactTo(snapshot)
	return snapshot, true
}

// Take returns the output since the last call and clears it.
func (r *Replica) Take() Output {
	r.collectCommitted()
	output := r.output
	r.output = Output{}
	return output
}

func (r *Replica) collectCommitted() {
	if r.config.PersistCommit && r.commit > r.hardState.Commit {
		r.hardState.Commit = r.commit
		r.outputHardState()
	}
	for r.applied < r.commit {
		r.applied++
		entry := r.log.entries[r.applied-r.log.firstIndex()]
		r.output.Committed = append(r.output.Committed, entry)
	}
	r.confirmEcho()
}

func (r *Replica) append(kind EntryKind, data []byte) uint64 {
	entry := Entry{Index: r.log.lastIndex() + 1, Term: r.hardState.Term, Kind: kind, Data: data}
	r.appendEntries([]Entry{entry})
	return entry.Index
}

// appendEntries adds entries to the end of the log and to the output for storage.
func (r *Replica) appendEntries(entries []Entry) {
	if r.persisted == r.log.lastIndex() {
		r.unsyncedSince = r.now
	}
	r.log.entries = append(r.log.entries, entries...)
	r.output.Entries = append(r.output.Entries, entries...)
	for _, entry := range entries {
		if entry.Kind == EntryMembers {
			r.reloadMembers()
			return
		}
	}
}

func (r *Replica) reloadMembers() {
	r.members, r.membersIndex = r.log.snapshot.Members, r.log.snapshot.Index
	for i := len(r.log.entries) - 1; i >= 0; i-- {
		if r.log.entries[i].Kind != EntryMembers {
			continue
		}
		r.members, r.membersIndex = decodeMembers(r.log.entries[i]), r.log.entries[i].Index
		break
	}
	if r.role == Leader {
		r.trackMembers()
	}
}

func (r *Replica) membersAt(index uint64) Members {
	members := r.log.snapshot.Members
	for _, entry := range r.log.entries {
		if entry.Index <= index && entry.Kind == EntryMembers {
			members = decodeMembers(entry)
		}
	}
	return members
}

func decodeMembers(entry Entry) Members {
	var members Members
	if err := msgpack.Unmarshal(entry.Data, &members); err != nil {
		return Members{}
	}
	return members
}

func (r *Replica) send(to string, message Message) {
	r.output.Immediate = append(r.output.Immediate, Envelope{To: to, Message: message})
}

func (r *Replica) sendAfterSync(to string, message Message) {
	r.output.AfterSync = append(r.output.AfterSync, Envelope{To: to, Message: message})
}

func (r *Replica) outputHardState() {
	hard := r.hardState
	r.output.HardState = &hard
}

func (r *Replica) resetElectionTimer() {
	timeout := ElectionTimeout << r.failedElections
	jitter := time.Duration(r.random.Int64N(int64(timeout)))
	r.electionDeadline = r.now + timeout + jitter
	if r.config.NonPreferredLeader {
		r.electionDeadline += nonPreferredDelay
	}
}

// quorumAckedAt returns the latest time at which a majority, this leader included, is known
// to have followed this leader.
func (r *Replica) quorumAckedAt() time.Duration {
	return majorityMinimum(r.members, func(id string) time.Duration {
		if id == r.config.ID {
			return r.now
		}
		if progress := r.progress[id]; progress != nil {
			return progress.LastAck
		}
		return 0
	})
}

// IsTransferring reports whether a leadership transfer is in progress.
func (r *Replica) IsTransferring() bool { return r.transferTarget != "" }
