package pimconsensus

import "slices"

func (r *Replica) heartbeat() {
	for _, id := range r.members.All() {
		if id != r.config.ID {
			r.sendAppend(id)
		}
	}
	r.advanceCommit()
}

// broadcast sends new entries to the replicas that follow without a gap.
func (r *Replica) broadcast() {
	for _, id := range r.members.All() {
		progress := r.progress[id]
		if id == r.config.ID || progress == nil || progress.probing {
			continue
		}
		if progress.next <= r.log.lastIndex() && progress.next <= progress.Match+pipelineLimit {
			r.sendAppend(id)
		}
	}
	r.advanceCommit()
}

func (r *Replica) sendAppend(to string) {
	progress := r.progress[to]
	if progress == nil {
		return
	}
	prevTerm, ok := r.log.termAt(progress.next - 1)
	if !ok {
		r.sendSnapshot(to, progress)
		return
	}
	request := AppendRequest{
		Term:       r.hard.Term,
		PrevIndex:  progress.next - 1,
		PrevTerm:   prevTerm,
		Commit:     r.commit,
		SentAt:     r.now,
		EchoBoot:   progress.boot,
		EchoClock:  progress.clock,
		EchoCommit: progress.clockIndex,
	}
	if progress.next <= progress.Match+pipelineLimit {
		request.Entries = slices.Clone(r.log.slice(progress.next))
	}
	if progress.probing && len(request.Entries) > 1 {
		request.Entries = request.Entries[:1]
	}
	if !progress.probing {
		progress.next += uint64(len(request.Entries))
	}
	progress.sentAt = r.now
	r.send(to, request)
}

func (r *Replica) sendSnapshot(to string, progress *Progress) {
	if progress.snapshotAt != 0 && r.now-progress.snapshotAt < snapshotRetry {
		return
	}
	progress.snapshotAt = r.now
	r.send(to, SnapshotRequest{Term: r.hard.Term, SentAt: r.now, Snapshot: r.log.snapshot})
}

// followLeader takes over a leader's term and returns false for a message of an old term.
func (r *Replica) followLeader(from string, term uint64) bool {
	if term < r.hard.Term {
		r.send(from, AppendReply{Term: r.hard.Term, Reject: true, Hint: r.log.lastIndex()})
		return false
	}
	if term > r.hard.Term || r.role != Follower || r.leader != from {
		r.becomeFollower(term, from)
	}
	r.lastContact = r.now
	r.resetElectionTimer()
	return true
}

func (r *Replica) onAppendRequest(from string, m AppendRequest) {
	if !r.followLeader(from, m.Term) {
		return
	}
	reply := AppendReply{Term: r.hard.Term, SentAt: m.SentAt, Boot: r.config.Boot, Clock: r.now, Applied: r.applied}
	term, ok := r.log.termAt(m.PrevIndex)
	if m.PrevIndex < r.log.snapshot.Index {
		reply.Match = r.log.snapshot.Index
		r.sendDurable(from, reply)
		return
	}
	if !ok || term != m.PrevTerm {
		reply.Reject = true
		reply.Hint = min(r.log.lastIndex(), m.PrevIndex-1)
		r.sendDurable(from, reply)
		return
	}
	r.mergeEntries(m.Entries)
	reply.Match = m.PrevIndex + uint64(len(m.Entries))
	r.commit = max(r.commit, min(m.Commit, reply.Match))
	r.noteEcho(m)
	r.collectCommitted()
	reply.Applied = r.applied
	r.sendDurable(from, reply)
}

// mergeEntries stores entries that are new, replacing a conflicting tail.
func (r *Replica) mergeEntries(entries []Entry) {
	for i, entry := range entries {
		term, ok := r.log.termAt(entry.Index)
		if ok && term == entry.Term {
			continue
		}
		if ok {
			r.dropFrom(entry.Index)
		}
		r.store(entries[i:])
		return
	}
}

// dropFrom removes a tail of entries that were never committed.
func (r *Replica) dropFrom(index uint64) {
	r.log.truncateFrom(index)
	r.persisted = min(r.persisted, index-1)
	keep := slices.IndexFunc(r.output.Entries, func(e Entry) bool { return e.Index >= index })
	if keep >= 0 {
		r.output.Entries = r.output.Entries[:keep]
	}
	r.reloadMembers()
}

// noteEcho remembers that the log up to EchoCommit was whole at EchoClock.
func (r *Replica) noteEcho(m AppendRequest) {
	if m.EchoBoot != r.config.Boot || m.EchoClock == 0 {
		return
	}
	r.pendingEcho = m.EchoClock
	r.pendingEchoAt = m.EchoCommit
}

func (r *Replica) settleEcho() {
	if r.pendingEcho == 0 || r.applied < r.pendingEchoAt {
		return
	}
	r.currentAsOf = max(r.currentAsOf, r.pendingEcho)
	r.haveCurrentAsOf = true
	r.pendingEcho = 0
}

func (r *Replica) onAppendReply(from string, m AppendReply) {
	if m.Term > r.hard.Term {
		r.becomeFollower(m.Term, "")
		return
	}
	progress := r.progress[from]
	if r.role != Leader || progress == nil || m.Term < r.hard.Term {
		return
	}
	progress.LastAck = max(progress.LastAck, m.SentAt)
	progress.LastContact = r.now
	progress.Applied = m.Applied
	if r.Ready(r.now) {
		progress.boot = m.Boot
		progress.clock = m.Clock
		progress.clockIndex = r.commit
	}
	if m.Reject {
		progress.next = max(min(m.Hint+1, progress.next), progress.Match+1)
		progress.probing = true
		r.sendAppend(from)
		return
	}
	r.acknowledge(from, progress, m.Match)
}

func (r *Replica) acknowledge(from string, progress *Progress, match uint64) {
	progress.snapshotAt = 0
	wasProbing := progress.probing
	progress.probing = false
	if match > progress.Match || wasProbing {
		progress.Match = max(progress.Match, match)
		progress.next = max(progress.next, progress.Match+1)
		r.advanceCommit()
	}
	r.resendLost(progress)
	if progress.next <= r.log.lastIndex() {
		r.sendAppend(from)
	}
	r.finishTransfer(from)
}

// resendLost goes back to the acknowledged index when entries that were sent
// before the newest acknowledged request stay unacknowledged.
func (r *Replica) resendLost(progress *Progress) {
	if progress.Match+1 < progress.next && progress.LastAck >= progress.sentAt {
		progress.next = progress.Match + 1
	}
}

func (r *Replica) finishTransfer(id string) {
	progress := r.progress[id]
	if r.transferring == id && progress != nil && progress.Match == r.log.lastIndex() {
		r.send(id, TimeoutNow{Term: r.hard.Term})
	}
}

func (r *Replica) advanceCommit() {
	if r.role != Leader {
		return
	}
	matches := make([]uint64, 0, len(r.members.Voters))
	for _, id := range r.members.Voters {
		switch progress := r.progress[id]; {
		case id == r.config.ID:
			matches = append(matches, r.persisted)
		case progress != nil:
			matches = append(matches, progress.Match)
		default:
			matches = append(matches, 0)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-r.members.Quorum()]
	term, ok := r.log.termAt(index)
	if ok && term == r.hard.Term && index > r.commit {
		r.commit = index
	}
}

func (r *Replica) onSnapshotRequest(from string, m SnapshotRequest) {
	if !r.followLeader(from, m.Term) {
		return
	}
	reply := AppendReply{Term: r.hard.Term, SentAt: m.SentAt, Boot: r.config.Boot, Clock: r.now}
	if m.Snapshot.Index > r.commit {
		r.install(m.Snapshot)
	}
	reply.Match = m.Snapshot.Index
	reply.Applied = r.applied
	r.sendDurable(from, reply)
}

func (r *Replica) install(snapshot Snapshot) {
	term, ok := r.log.termAt(snapshot.Index)
	if !ok || term != snapshot.Term {
		r.log.entries = nil
		r.log.snapshot = snapshot
		r.output.Entries = nil
	} else {
		r.log.compactTo(snapshot)
	}
	r.commit = snapshot.Index
	r.applied = snapshot.Index
	r.persisted = max(snapshot.Index, r.persisted)
	r.persisted = min(r.persisted, r.log.lastIndex())
	r.output.Committed = nil
	r.output.Install = &snapshot
	r.output.Restore = &snapshot
	r.reloadMembers()
}
