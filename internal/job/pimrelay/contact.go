package pimrelay

import "time"

// relay is a member of the job group other than the leader, or was one until its calls have ended.
type relay struct {
	member bool
	// domain is the failure domain that the relay's last result gave, empty before the first one.
	domain string
	// contactAt is the time of the last message, 0 before the first one. contactSince is when the present period of
	// contact began.
	contactAt    time.Duration
	contactSince time.Duration
	// usable is set while workers may be assigned to the relay.
	usable bool
	// losses counts how often the relay was lost within lossMemory of each other.
	losses int
	// inFlight counts the calls without a result, unanswered those that ended without one since the last result.
	inFlight   int
	unanswered int
}

const (
	// ContactTimeout is the time without contact after which a relay is not used. A relay answers a consensus message
	// every 100 ms, and the lease of a worker lasts several times as long.
	ContactTimeout = time.Second
	// returnDelay is how long a relay that was lost must be in contact before it is used again, so that a relay that
	// comes and goes doesn't take its workers along each time. It doubles with each loss, up to maxReturnDelay, until the
	// relay was used for lossMemory.
	returnDelay    = 2 * time.Second
	maxReturnDelay = 32 * time.Second
	lossMemory     = time.Minute
	// maxUnanswered is the number of calls without any answer in between after which a relay counts as lost although
	// its consensus messages arrive.
	maxUnanswered = 3
)

// OnContact records a message of a relay at a time.
func (r *Relays) OnContact(id string, at time.Duration) {
	relay := r.relays[id]
	if relay == nil || at <= relay.contactAt {
		return
	}
	if relay.contactAt == 0 || at-relay.contactAt > ContactTimeout {
		relay.contactSince = at
	}
	relay.contactAt = at
}

// updateRelay updates whether a relay is usable and returns true if it was lost.
func (r *Relays) updateRelay(id string) bool {
	relay := r.relays[id]
	inContact := relay.member && relay.contactAt != 0 && r.now-relay.contactAt < ContactTimeout
	switch {
	case relay.usable && (!inContact || relay.unanswered >= maxUnanswered):
		relay.usable = false
		if r.now-relay.contactSince > lossMemory {
			relay.losses = 0
		}
		relay.losses++
		relay.unanswered = 0
		relay.contactSince = r.now
		r.reassign = true
		r.report("control daemon is not used as a relay: it doesn't answer", id, relay.inFlight)
		return true
	case !relay.usable && inContact && r.now-relay.contactSince >= relay.returnDelay():
		relay.usable = true
		r.reassign = true
		if relay.losses > 0 {
			r.report("control daemon is used as a relay again", id, 0)
		}
	case !relay.usable && !relay.member && relay.inFlight == 0:
		delete(r.relays, id)
	}
	return false
}

// returnDelay returns how long the relay must be in contact before it is used again.
func (r *relay) returnDelay() time.Duration {
	if r.losses == 0 {
		return 0
	}
	return min(maxReturnDelay, returnDelay<<min(r.losses-1, 8))
}
