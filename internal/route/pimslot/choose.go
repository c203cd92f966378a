package pimslot

import (
	"maps"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/route/pimqueue"
)

// minLatency keeps differences between very fast endpoints out of the score.
const minLatency = time.Millisecond

// serves reports whether an endpoint may get requests for a service, free slots or not.
func (e *Endpoint) serves(now time.Duration, service string) bool {
	return e.Service == service && !e.Leaving && now-e.LastSeenAt <= ExpireAfter
}

// used returns the number of slots that are or may be taken.
func (e *Endpoint) used() int { return len(e.Credits) + e.UncreditedAttempts }

// score is the load, with one more request, times the latency. The endpoint with the
// lowest score should answer soonest.
func (e *Endpoint) score() float64 {
	load := float64(e.used()+1) / float64(e.Slots)
	return load * float64(max(e.Latency, minLatency))
}

// totalSlots returns the number of slots of a service, free or taken.
func (a *Allocator) totalSlots(now time.Duration, service string) int {
	total := 0
	for _, endpoint := range a.endpoints {
		if endpoint.serves(now, service) {
			total += endpoint.Slots
		}
	}
	return total
}

// freeSlots returns the number of free slots of a service.
func (a *Allocator) freeSlots(now time.Duration, service string) int {
	free := 0
	for _, endpoint := range a.endpoints {
		if endpoint.serves(now, service) {
			free += max(endpoint.Slots-endpoint.used(), 0)
		}
	}
	return free
}

// choose returns the best endpoint with a free slot, or nil, and the number of endpoints
// that have one. An ejected endpoint, or the one to avoid, is used only if there is no other.
func (a *Allocator) choose(now time.Duration, service, avoid string) (*Endpoint, int) {
	var best, fallback *Endpoint
	candidates := 0
	for _, endpoint := range a.endpoints {
		if !endpoint.serves(now, service) || endpoint.used() >= endpoint.Slots {
			continue
		}
		candidates++
		if endpoint.ID == avoid || endpoint.EjectedUntil > now {
			fallback = better(fallback, endpoint)
			continue
		}
		best = better(best, endpoint)
	}
	if best == nil {
		best = fallback
	}
	return best, candidates
}

// better prefers the lower score, then the least recently used endpoint, then the lower ID.
func better(a, b *Endpoint) *Endpoint {
	switch {
	case a == nil:
		return b
	case a.score() != b.score():
		if a.score() < b.score() {
			return a
		}
		return b
	case a.LastGrantAt != b.LastGrantAt:
		if a.LastGrantAt < b.LastGrantAt {
			return a
		}
		return b
	case a.ID < b.ID:
		return a
	default:
		return b
	}
}

// grantAll grants the free slots of all services.
func (a *Allocator) grantAll(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(a.services)) {
		a.grant(now, name)
	}
}

// grant grants the free slots of a service to the requests in its queue.
func (a *Allocator) grant(now time.Duration, service string) {
	s := a.services[service]
	if s == nil || !a.ready || a.outOfService {
		return
	}
	for s.queue.Len() > 0 {
		if endpoint, _ := a.choose(now, service, ""); endpoint == nil {
			return
		}
		item, _ := s.queue.Pop()
		w := s.waiting[item.Key]
		delete(s.waiting, item.Key)
		if item.Deadline <= now {
			a.refuse(w.holder, w.acquire, pimcode.DeadlineExceeded, s.meanRunTime)
			continue
		}
		a.grantTo(now, item, w)
	}
}

// grantTo grants a slot of the best endpoint to a request taken from the queue.
func (a *Allocator) grantTo(now time.Duration, item pimqueue.Item, w waiter) {
	endpoint, candidates := a.choose(now, w.acquire.Service, w.acquire.Avoid)
	credit := Credit{
		Attempt:   item.Key,
		Endpoint:  endpoint.ID,
		Holder:    w.holder,
		Deadline:  item.Deadline,
		SendBy:    min(now+SendWithin, item.Deadline),
		GrantedAt: now,
		Waited:    now - item.ArrivedAt,
	}
	endpoint.LastGrantAt = now
	a.addCredit(credit)
	a.replyGrant(&credit)
	a.replies[len(a.replies)-1].Candidates = candidates
}

// replyGrant replies with a credit, also to a repeated request for it.
func (a *Allocator) replyGrant(credit *Credit) {
	endpoint := a.endpoints[credit.Endpoint]
	if endpoint == nil {
		return
	}
	a.replies = append(a.replies, Reply{
		Attempt:    credit.Attempt,
		Holder:     credit.Holder,
		Endpoint:   endpoint.ID,
		Address:    endpoint.Address,
		Waited:     credit.Waited,
		SendWithin: max(credit.SendBy-credit.GrantedAt, 0),
		Term:       a.term,
		Free:       endpoint.Slots - endpoint.used(),
	})
}

// StateName returns the endpoint's state: ready, leaving, silent or ejected.
func (e *Endpoint) StateName(now time.Duration) string {
	switch {
	case e.Leaving:
		return "leaving"
	case now-e.LastSeenAt > ExpireAfter:
		return "silent"
	case e.EjectedUntil > now:
		return "ejected"
	default:
		return "ready"
	}
}
