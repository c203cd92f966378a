package pimconsensus

import "time"

// NextTick returns the time at which Tick must be called next if no message arrives before.
func (r *Replica) NextTick() time.Duration {
	if r.role != Leader {
		return r.electionDeadline
	}
	if r.transferTarget != "" {
		return min(r.nextHeartbeat, r.transferDeadline)
	}
	return r.nextHeartbeat
}

// ConfirmLeadership sends a heartbeat at once. The replies advance LeadershipConfirmedAt.
func (r *Replica) ConfirmLeadership(now time.Duration) {
	r.now = now
	if r.role == Leader {
		r.sendHeartbeats()
	}
}

// LeadershipConfirmedAt returns the latest time at which this replica is known to have been
// the leader, and false if it does not lead or has not applied all committed entries. A read
// that arrived before that time may be served from the applied state. Unlike a lease, this
// does not rely on clock rates: replies always arrive after the request that they answer.
func (r *Replica) LeadershipConfirmedAt(now time.Duration) (time.Duration, bool) {
	r.now = now
	if r.role != Leader || r.applied < r.termStartIndex || r.applied < r.commit {
		return 0, false
	}
	return r.quorumAckedAt(), true
}

// QuorumAckedAt returns the send time of the newest request that a majority answered, or 0
// if this replica does not lead.
func (r *Replica) QuorumAckedAt(now time.Duration) time.Duration {
	r.now = now
	if r.role != Leader {
		return 0
	}
	return r.quorumAckedAt()
}
