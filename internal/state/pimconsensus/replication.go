package pimconsensus

import (
	"slices"
	"time"
)

func (r *Replica) sendHeartbeats() {
	for _, id := range r.members.All() {
		if id != r.config.ID {
			r.sendAppend(id)
		}
	}
	r.advanceCommit()
}

// replicate sends new entries to the replicas that can take some. The others catch up with heartbeats and the replies
// to them.
func (r *Replica) replicate() {
	for _, id := range r.members.All() {
		progress := r.progress[id]
		if id != r.config.ID && progress != nil && !progress.probing && r.canSendEntries(progress) {
			r.sendAppend(id)
		}
	}
	r.advanceCommit()
}

// canSendEntries reports whether there are entries to send to a replica and their number and size in flight are below
// their limits.
func (r *Replica) canSendEntries(progress *Progress) bool {
	return progress.pendingSnapshot == 0 && progress.next <= r.log.lastIndex() &&
		progress.next <= progress.Match+maxInFlightEntries && progress.inFlightBytes < MaxInFlightBytes
}

// sendAppend sends a heartbeat with the entries that the replica lacks and can take. If these are compacted, it sends
// the snapshot. Until the replica has that, heartbeats refer to it.
func (r *Replica) sendAppend(to string) {
	progress := r.progress[to]
	if progress == nil {
		return
	}
	previous := progress.next - 1
	prevTerm, ok := r.log.termAt(previous)
	if !ok || progress.pendingSnapshot != 0 {
		r.sendSnapshot(to, progress)
		previous, prevTerm = r.log.snapshot.Index, r.log.snapshot.Term
	}
	request := AppendRequest{
		Term:       r.hardState.Term,
		PrevIndex:  previous,
		PrevTerm:   prevTerm,
		Commit:     r.commit,
		SentAt:     r.now,
		EchoBoot:   progress.echoBoot,
		EchoClock:  progress.echoClock,
		EchoCommit: progress.echoCommit,
	}
	if r.canSendEntries(progress) {
		request.Entries = slices.Clone(r.log.slice(progress.next))
		if progress.probing {
			request.Entries = request.Entries[:1]
		} else {
			progress.onSent(request.Entries)
		}
	}
	r.send(to, request)
}

// sendSnapshot sends the snapshot unless one is on its way.
func (r *Replica) sendSnapshot(to string, progress *Progress) {
	if progress.pendingSnapshot != 0 && r.now-progress.snapshotSentAt < snapshotRetryInterval {
		return
	}
	progress.pendingSnapshot, progress.snapshotSentAt = r.log.snapshot.Index, r.now
	progress.next = r.log.snapshot.Index + 1
	progress.inFlight, progress.inFlightBytes = nil, 0
	r.send(to, SnapshotRequest{Term: r.hardState.Term, SentAt: r.now, Snapshot: r.log.snapshot})
}

// onSent records entries that were sent.
func (p *Progress) onSent(entries []Entry) {
	sent := sentEntries{last: entries[len(entries)-1].Index}
	for _, entry := range entries {
		sent.bytes += len(entry.Data)
	}
	p.inFlight = append(p.inFlight, sent)
	p.inFlightBytes += sent.bytes
	p.next = sent.last + 1
}

// onMatch records that the replica has all entries up to match.
func (p *Progress) onMatch(match uint64) {
	p.Match = max(p.Match, match)
	p.next = max(p.next, p.Match+1)
	for len(p.inFlight) > 0 && p.inFlight[0].last <= p.Match {
		p.inFlightBytes -= p.inFlight[0].bytes
		p.inFlight = p.inFlight[1:]
	}
	if p.Match >= p.pendingSnapshot {
		p.pendingSnapshot = 0
	}
}

// probe goes back to next after a request was rejected. The entries that were in flight are lost.
func (p *Progress) probe(now time.Duration, next uint64) {
	p.next, p.probing, p.probedAt = next, true, now
	p.inFlight, p.inFlightBytes = nil, 0
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
	r.electionPending, r.failedElections = false, 0
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
	r.confirmContact(from, m)
	r.sendAfterSync(from, reply)
}

// confirmContact tells the leader that its request has arrived while the reply to it waits for a slow disk. A leader that
// does not hear from a majority for 2*ElectionTimeout steps down, and its successor would meet the same disks.
func (r *Replica) confirmContact(leader string, m AppendRequest) {
	if r.persisted < r.log.lastIndex() && r.now-r.unsyncedSince >= HeartbeatInterval {
		r.send(leader, AppendReply{Term: r.hardState.Term, SentAt: m.SentAt, ContactOnly: true})
	}
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
	if r.role != Leader || progress == nil || m.Term < r.hardState.Term || m.Match > r.log.lastIndex() {
		return
	}
	progress.LastAck = max(progress.LastAck, m.SentAt)
	progress.LastContact = r.now
	if m.ContactOnly {
		return
	}
	progress.Applied = m.Applied
	if r.Ready(r.now) {
		progress.echoBoot = m.Boot
		progress.echoClock = m.Clock
		progress.echoCommit = r.commit
	}
	if m.Reject {
		if progress.pendingSnapshot == 0 && m.SentAt >= progress.probedAt {
			progress.probe(r.now, max(min(m.RejectHint+1, progress.next), progress.Match+1))
			r.sendAppend(from)
		}
		return
	}
	r.acknowledge(from, progress, m)
}

func (r *Replica) acknowledge(from string, progress *Progress, m AppendReply) {
	if m.SentAt >= progress.probedAt {
		progress.probing = false
	}
	progress.onMatch(m.Match)
	r.advanceCommit()
	if !progress.probing && r.canSendEntries(progress) {
		r.sendAppend(from)
	}
	r.finishTransfer(from)
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
	index := majorityMinimum(r.members, func(id string) uint64 {
		if id == r.config.ID {
			return r.persisted
		}
		if progress := r.progress[id]; progress != nil {
			return progress.Match
		}
		return 0
	})
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
