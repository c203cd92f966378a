package pimconsensus

import "time"

// Tick runs the time-driven work: elections, heartbeats and check-quorum.
func (r *Replica) Tick(now time.Duration) {
	r.now = now
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if now >= r.electionDeadline {
		if r.electionPending {
			r.electionPending = false
			r.failedElections = min(r.failedElections+1, maxElectionBackoff)
		}
		r.startPreVote()
	}
}

// tickLeader makes the leader step down once its removal from the group is committed, or if no majority has
// answered it for 2*ElectionTimeout (check-quorum).
func (r *Replica) tickLeader() {
	if r.transferTarget != "" && r.now >= r.transferDeadline {
		r.transferTarget = ""
	}
	if r.membersIndex <= r.commit && !r.members.IsVoter(r.config.ID) {
		r.becomeFollower(r.hardState.Term, "")
		return
	}
	if r.now-max(r.quorumAckedAt(), r.leaderSince) > 2*ElectionTimeout {
		r.becomeFollower(r.hardState.Term, "")
		return
	}
	if r.now >= r.nextHeartbeat {
		r.nextHeartbeat = r.now + HeartbeatInterval
		r.sendHeartbeats()
	}
}

// KeepAlive returns the leader's heartbeats that are due, for a caller that can't call Tick and Take soon.
func (r *Replica) KeepAlive(now time.Duration) []Envelope {
	if r.role != Leader || now < r.nextHeartbeat {
		return nil
	}
	r.now = now
	r.nextHeartbeat = now + HeartbeatInterval
	r.sendHeartbeats()
	heartbeats := r.output.Immediate
	r.output.Immediate = nil
	return heartbeats
}

func (r *Replica) isVoter() bool {
	return r.members.IsVoter(r.config.ID)
}

func (r *Replica) startPreVote() {
	r.resetElectionTimer()
	if !r.isVoter() {
		return
	}
	r.role = PreCandidate
	r.leader = ""
	r.requestVotes(VoteRequest{Term: r.hardState.Term + 1, PreVote: true})
}

func (r *Replica) startElection(transfer bool) {
	r.electionPending = true
	r.resetElectionTimer()
	r.role = Candidate
	r.leader = ""
	r.hardState.Term++
	r.hardState.VotedFor = r.config.ID
	r.outputHardState()
	r.requestVotes(VoteRequest{Term: r.hardState.Term, Transfer: transfer})
}

// requestVotes asks the other voters for their votes. A vote of its own must be durable before it is announced; a pre-vote
// changes nothing and doesn't wait for the disk.
func (r *Replica) requestVotes(request VoteRequest) {
	r.votes = map[string]bool{r.config.ID: true}
	request.LastIndex = r.log.lastIndex()
	request.LastTerm = r.log.lastTerm()
	for _, id := range r.members.AllVoters() {
		switch {
		case id == r.config.ID:
		case request.PreVote:
			r.send(id, request)
		default:
			r.sendAfterSync(id, request)
		}
	}
	r.countVotes()
}

func (r *Replica) countVotes() {
	if !r.members.HasMajority(func(id string) bool { return r.votes[id] }) {
		return
	}
	if r.role == PreCandidate {
		r.startElection(false)
		return
	}
	r.becomeLeader()
}

func (r *Replica) becomeFollower(term uint64, leader string) {
	if term > r.hardState.Term {
		r.hardState.Term = term
		r.hardState.VotedFor = ""
		r.outputHardState()
	}
	if r.role == Leader {
		r.resetElectionTimer()
	}
	r.role = Follower
	r.leader = leader
	r.progress = nil
	r.votes = nil
	r.transferTarget = ""
}

func (r *Replica) becomeLeader() {
	r.role = Leader
	r.electionPending, r.failedElections = false, 0
	r.leader = r.config.ID
	r.leaderSince = r.now
	r.progress = make(map[string]*Progress)
	r.trackMembers()
	r.termStartIndex = r.append(EntryNoop, nil)
	r.nextHeartbeat = r.now + HeartbeatInterval
	r.sendHeartbeats()
}

func (r *Replica) trackMembers() {
	for _, id := range r.members.All() {
		if _, ok := r.progress[id]; !ok && id != r.config.ID {
			r.progress[id] = &Progress{next: r.log.lastIndex() + 1, probing: true, LastContact: r.now}
		}
	}
	for id := range r.progress {
		if !r.members.Contains(id) {
			delete(r.progress, id)
		}
	}
}

// Step handles a message from another replica.
func (r *Replica) Step(now time.Duration, from string, message Message) {
	r.now = now
	switch m := message.(type) {
	case VoteRequest:
		r.onVoteRequest(from, m)
	case VoteReply:
		r.onVoteReply(from, m)
	case AppendRequest:
		r.onAppendRequest(from, m)
	case AppendReply:
		r.onAppendReply(from, m)
	case SnapshotRequest:
		r.onSnapshotRequest(from, m)
	case TimeoutNow:
		if m.Term == r.hardState.Term && r.isVoter() {
			r.startElection(true)
		}
	}
}

// leaderMayHoldLease reports whether a leader's last contact is recent enough that it may hold its lease.
func (r *Replica) leaderMayHoldLease() bool {
	if r.role == Leader {
		return r.HoldsLease(r.now)
	}
	return r.now-r.lastContact < ElectionTimeout
}

// onVoteRequest grants no vote while a leader may hold its lease, unless that leader asked for the election.
func (r *Replica) onVoteRequest(from string, m VoteRequest) {
	if r.leaderMayHoldLease() && !m.Transfer {
		r.send(from, VoteReply{Term: r.hardState.Term, PreVote: m.PreVote})
		return
	}
	upToDate := m.LastTerm > r.log.lastTerm() ||
		(m.LastTerm == r.log.lastTerm() && m.LastIndex >= r.log.lastIndex())
	if m.PreVote {
		granted := upToDate && m.Term > r.hardState.Term
		r.send(from, VoteReply{Term: r.hardState.Term, PreVote: true, Granted: granted})
		return
	}
	if m.Term > r.hardState.Term {
		r.becomeFollower(m.Term, "")
	}
	canVote := r.hardState.VotedFor == "" || r.hardState.VotedFor == from
	granted := m.Term == r.hardState.Term && r.role == Follower && canVote && upToDate
	if granted {
		r.electionPending = true
		r.hardState.VotedFor = from
		r.outputHardState()
		r.resetElectionTimer()
	}
	r.sendAfterSync(from, VoteReply{Term: r.hardState.Term, Granted: granted})
}

func (r *Replica) onVoteReply(from string, m VoteReply) {
	if m.Term > r.hardState.Term {
		r.becomeFollower(m.Term, "")
		return
	}
	expected := r.role == Candidate && !m.PreVote && m.Term == r.hardState.Term
	expected = expected || (r.role == PreCandidate && m.PreVote)
	if !expected || !m.Granted {
		return
	}
	r.votes[from] = true
	r.countVotes()
}
