package pimrelay

import (
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
)

// route is the deviation of a worker's calls from its assigned daemon after failed renewals.
type route struct {
	// detour is the index in choices of the route that is used, 0 for the assigned daemon. Failures counts the failed
	// renewals in a row on it.
	detour   int
	failures int
	// until is when the assigned daemon is tried again.
	until time.Duration
}

const (
	// failuresOfAssigned and failuresOfDetour are the failed renewals after which the next route is tried. Three failed
	// renewals take 3.5 s at most, with the long poll of the first and the delays between them, so that the leader itself
	// calls the worker before a lease of 5 s expires.
	failuresOfAssigned = 2
	failuresOfDetour   = 1
	// detourDuration is how long a worker that its assigned daemon couldn't reach is called by another one.
	detourDuration = 30 * time.Second
)

// Observe adjusts the route of a worker to the result of a call. It is to be called for each result that isn't from Tick,
// whether the call was relayed or not.
func (r *Relays) Observe(result pimfleet.Result, now time.Duration) {
	if _, ok := result.Call.(pimfleet.RenewLease); !ok || !r.enabled {
		return
	}
	worker := pimfleet.TargetOf(result.Call).ID
	current := r.routes[worker]
	if result.Outcome != pimfleet.OutcomeUnknown && result.Outcome != pimfleet.OutcomeNotSent {
		if current != nil {
			current.failures = 0
		}
		return
	}
	if current == nil {
		current = &route{}
		r.routes[worker] = current
	}
	current.failures++
	limit := failuresOfAssigned
	if current.detour > 0 {
		limit = failuresOfDetour
	}
	if current.failures >= limit {
		current.detour = (current.detour + 1) % len(r.choices(worker))
		current.failures = 0
		current.until = now + detourDuration
	}
}

// routeOf returns the relay for a worker, or an empty string for the leader itself.
func (r *Relays) routeOf(worker string, now time.Duration) string {
	if !r.enabled {
		return ""
	}
	r.assign()
	id := r.assigned[worker]
	if current := r.routes[worker]; current != nil {
		switch {
		case current.detour > 0 && now >= current.until:
			// One more failure leads back to the detour.
			current.detour, current.failures = 0, failuresOfAssigned-1
		case current.detour > 0:
			choices := r.choices(worker)
			id = choices[current.detour%len(choices)]
		}
	}
	if relay := r.relays[id]; relay == nil || !relay.usable {
		return ""
	}
	return id
}

// choices returns the routes to a worker in the order in which they are tried: the assigned daemon, the next one in the
// worker's order of preference, and the leader itself as an empty string.
func (r *Relays) choices(worker string) []string {
	r.assign()
	assigned := r.assigned[worker]
	if assigned == "" {
		assigned = r.self.ID
	}
	choices := []string{assigned}
	for _, daemon := range ranked(Worker{ID: worker, Domain: r.domains[worker]}, r.daemons()) {
		if daemon.ID != assigned && daemon.ID != r.self.ID {
			choices = append(choices, daemon.ID)
			break
		}
	}
	return append(choices, "")
}
