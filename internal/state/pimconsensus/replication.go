package pimconsensus

import "slices"

func (r *Replica) sendHeartbeats() {
	for _, id := range r.members.All() {
		if id != r.config.ID {
			r.sendAppend(id)
		}
	}
	r.advanceCommit()
}

// replicate sends new entries to the replicas that are not being probed and have fewer than
// maxInFlightEntries in flight. The others catch up with heartbeats and the replies to them.
func (r *Replica) replicate() {
	for _, id := range r.members.All() {
		progress := r.progress[id]
		if id == r.config.ID || progress == nil || progress.probing {
			continue
		}
		if progress.next <= r.log.lastIndex() && progress.next <= progress.Match+maxInFlightEntries {
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
		Term:       r.hardState.Term,
		PrevIndex:  progress.next - 1,
		PrevTerm:   prevTerm,
		Commit:     r.commit,
		SentAt:     r.now,
		EchoBoot:   progress.echoBoot,
		EchoClock:  progress.echoClock,
		EchoCommit: progress.echoCommit,
	}
	if progress.next <= progress.Match+maxInFlightEntries {
		request.Entries = slices.Clone(r.log.slice(progress.next))
	}
	if progress.probing && len(request.Entries) > 1 {
		request.Entries = request.Entries[:1]
	}
	if !progress.probing {
		progress.next += uint64(len(request.Entries))
	}
	progress.lastSentAt = r.now
	r.send(to, request)
}

func (r *Replica) sendSnapshot(to string, progress *Progress) {
	if progress.snapshotSentAt != 0 && r.now-progress.snapshotSentAt < snapshotRetryInterval {
		return
	}
	progress.snapshotSentAt = r.now
	r.send(to, SnapshotRequest{Term: r.hardState.Term, SentAt: r.now, Snapshot: r.log.snapshot})
}

// acceptLeader follows the sender as leader of term. It rejects a message of an old term
// and returns false.
func (r *Replica) acceptLeader(from string, term uint64) bool {
	if term < r.hardState.Term {
		r.send(from, AppendReply{Term: r.hardState.Term, Reject: true, RejectHint: r.log.lastIndex()})
		return false
	}
	if term > r.hardState.Term || r.role != Follower || r.leader != from {
		r.becomeFollower(term, from)
	}
	r.lastContact = r.now
	r.resetElectionTimer()
	return true
}

func (r *Replica) onAppendRequest(from string, m AppendRequest) {
	if !r.acceptLeader(from, m.Term) {
		return
	}
	reply := AppendReply{Term: r.hardState.Term, SentAt: m.SentAt, Boot: r.config.Boot, Clock: r.now, Applied: r.applied}
	term, ok := r.log.termAt(m.PrevIndex)
	if m.PrevIndex < r.log.snapshot.Index {
		reply.Match = r.log.snapshot.Index
		r.sendAfterSync(from, reply)
		return
	}
	if !ok || term != m.PrevTerm {
		reply.Reject = true
		reply.RejectHint = min(r.log.lastIndex(), m.PrevIndex-1)
		r.sendAfterSync(from, reply)
		return
	}
	r.mergeEntries(m.Entries)
	reply.Match = m.PrevIndex + uint64(len(m.Entries))
	r.commit = max(r.commit, min(m.Commit, reply.Match))
	r.recordEcho(m)
	r.collectCommitted()
	reply.Applied = r.applied
	r.sendAfterSync(from, reply)
}

// mergeEntries appends the entries that are new, replacing a conflicting tail of the log.
func (r *Replica) mergeEntries(entries []Entry) {
	for i, entry := range entries {
		term, ok := r.log.termAt(entry.Index)
		if ok && term == entry.Term {
			continue
		}
		if ok {
			r.truncateFrom(entry.Index)
		}
		r.appendEntries(entries[i:])
		return
	}
}

// truncateFrom removes the entries from index on, also from the pending output. None of
// them is committed.
func (r *Replica) truncateFrom(index uint64) {
	r.log.truncateFrom(index)
	r.persisted = min(r.persisted, index-1)
	keep := slices.IndexFunc(r.output.Entries, func(e Entry) bool { return e.Index >= index })
	if keep >= 0 {
		r.output.Entries = r.output.Entries[:keep]
	}
	r.reloadMembers()
}

// recordEcho stores the echoed clock reading until the log is applied up to EchoCommit. A
// reading of an earlier process is ignored, since each process has a clock of its own.
func (r *Replica) recordEcho(m AppendRequest) {
	if m.EchoBoot != r.config.Boot || m.EchoClock == 0 {
		return
	}
	r.pendingEchoClock = m.EchoClock
	r.pendingEchoCommit = m.EchoCommit
}

func (r *Replica) confirmEcho() {
	if r.pendingEchoClock == 0 || r.applied < r.pendingEchoCommit {
		return
	}
	r.currentAsOf = max(r.currentAsOf, r.pendingEchoClock)
	r.hasCurrentAsOf = true
	r.pendingEchoClock = 0
}

func (r *Replica) onAppendReply(from string, m AppendReply) {
	if m.Term > r.hardState.Term {
		r.becomeFollower(m.Term, "")
		return
	}
	progress := r.progress[from]
	if r.role != Leader || progress == nil || m.Term < r.hardState.Term {
		return
	}
	progress.LastAck = max(progress.LastAck, m.SentAt)
	progress.LastContact = r.now
	progress.Applied = m.Applied
	if r.Ready(r.now) {
		progress.echoBoot = m.Boot
		progress.echoClock = m.Clock
		progress.echoCommit = r.commit
	}
	if m.Reject {
		progress.next = max(min(m.RejectHint+1, progress.next), progress.Match+1)
		progress.probing = true
		r.sendAppend(from)
		return
	}
	r.acknowledge(from, progress, m.Match)
}

func (r *Replica) acknowledge(from string, progress *Progress, match uint64) {
	progress.snapshotSentAt = 0
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

// resendLost resumes after the acknowledged index if the newest request is answered but
// entries sent before it are not acknowledged: those were lost.
func (r *Replica) resendLost(progress *Progress) {
	if progress.Match+1 < progress.next && progress.LastAck >= progress.lastSentAt {
		progress.next = progress.Match + 1
	}
}

func (r *Replica) finishTransfer(id string) {
	progress := r.progress[id]
	if r.transferTarget == id && progress != nil && progress.Match == r.log.lastIndex() {
		r.send(id, TimeoutNow{Term: r.hardState.Term})
	}
}

// advanceCommit commits the entries up to the newest one that a majority has synced, if that one is of the current
// term. An entry of an earlier term is committed only together with one of the current term, since until then
// a later leader may still replace it.
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
	if ok && term == r.hardState.Term && index > r.commit {
		r.commit = index
	}
}

func (r *Replica) onSnapshotRequest(from string, m SnapshotRequest) {
	if !r.acceptLeader(from, m.Term) {
		return
	}
	reply := AppendReply{Term: r.hardState.Term, SentAt: m.SentAt, Boot: r.config.Boot, Clock: r.now}
	if m.Snapshot.Index > r.commit {
		r.install(m.Snapshot)
	}
	reply.Match = m.Snapshot.Index
	reply.Applied = r.applied
	r.sendAfterSync(from, reply)
}

// install replaces the entries that a received snapshot covers, or the whole log if it conflicts with the snapshot.
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
