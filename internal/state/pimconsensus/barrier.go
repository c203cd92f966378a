package pimconsensus

import "time"

// NextTick returns when Tick has something to do, unless a message comes first.
func (r *Replica) NextTick() time.Duration {
	if r.role != Leader {
		return r.electionDeadline
	}
	if r.transferTarget != "" {
		return min(r.nextHeartbeat, r.transferDeadline)
	}
	return r.nextHeartbeat
}

// ConfirmLeadership asks the other replicas whether they still follow this leader; the answers
// move ConfirmedAt on.
func (r *Replica) ConfirmLeadership(now time.Duration) {
	r.now = now
	if r.role == Leader {
		r.sendHeartbeats()
	}
}

// LeadershipConfirmedAt returns the latest time at which this replica is known to have led with
// all committed entries applied, and false while that was never so. A read that came
// in before that time may be answered from the applied state. It does not depend on
// the rate of clocks, only on the order of a question and its answers.
func (r *Replica) LeadershipConfirmedAt(now time.Duration) (time.Duration, bool) {
	r.now = now
	if r.role != Leader || r.applied < r.termStartIndex || r.applied < r.commit {
		return 0, false
	}
	return r.quorumAckedAt(), true
}

// QuorumAckedAt returns the send time of the newest question that a majority answered.
func (r *Replica) QuorumAckedAt(now time.Duration) time.Duration {
	r.now = now
	if r.role != Leader {
		return 0
	}
	return r.quorumAckedAt()
}
