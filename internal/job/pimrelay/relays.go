// Package pimrelay decides which control daemon makes the leader's calls to a worker. A relay is a control daemon that
// makes such calls on behalf of the leader, which keeps all decisions and all state about workers. Relays are used only
// if the leader has too few file descriptors to call all workers itself.
//
// The package is a deterministic state machine like pimfleet, whose calls pass through it: it opens no connections and
// reads no clock.
package pimrelay

import (
	"maps"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
)

type (
	// Relays is the leader's view of the other control daemons during one term. All its times are on the leader's clock.
	Relays struct {
		self Daemon
		// now is the time of the last Tick, and begun is set after the first one.
		now   time.Duration
		begun bool

		enabled bool
		// budget is how many connections to workers the leader may have open.
		budget int
		// reassign is set when the daemons in use or the workers have changed since the last assignment.
		reassign bool
		workers  []Worker
		// domains holds the failure domain of each known worker.
		domains map[string]string
		relays  map[string]*relay
		// assigned is the daemon of each worker by worker ID, and routes the deviations from it.
		assigned map[string]string
		routes   map[string]*route

		// pending holds the calls without a result by their ID.
		pending map[uint64]pendingCall
		lastID  uint64
		sweepAt time.Duration
		changes []Change
	}

	// pendingCall is a relayed call without a result.
	pendingCall struct {
		call     pimfleet.Call
		relay    string
		expireAt time.Duration
	}

	// Change is an entry for the daemon's own log.
	Change struct {
		Text string
		// Relay is the relay that the change is about, empty if the leader begins or ceases to use relays. Calls is the
		// number of calls that ended with it.
		Relay string
		Calls int
		// Workers, Budget and Daemons are the inputs of the decision.
		Workers, Budget, Daemons int
	}
)

const (
	// executionTimeout is how long a relay waits for a worker's response to a call that isn't held by the worker.
	executionTimeout = 500 * time.Millisecond
	// relayAllowance is the time for the way through the relay, its queues included.
	relayAllowance = 500 * time.Millisecond
	// sweepInterval is the time between checks for calls without an answer.
	sweepInterval = 50 * time.Millisecond
	// pauseThreshold is the time between ticks from which the leader itself counts as paused. What arrived meanwhile is
	// not handled yet, so the pause isn't held against the relays. The leader ticks at least every sweepInterval.
	pauseThreshold = 300 * time.Millisecond
)

// NewRelays returns the relays of a leader whose term begins now. It uses none before SetWorkers was called.
func NewRelays(self Daemon, now time.Duration) *Relays {
	return &Relays{
		self: self, now: now, domains: map[string]string{}, relays: map[string]*relay{}, assigned: map[string]string{},
		routes: map[string]*route{}, pending: map[uint64]pendingCall{},
	}
}

// IsEnabled reports whether calls are distributed over the relays.
func (r *Relays) IsEnabled() bool { return r.enabled }

// InFlight returns the number of relayed calls without a result.
func (r *Relays) InFlight() int { return len(r.pending) }

// SetMembers sets the members of the job group. Calls through a daemon that left are ended at the next Tick.
func (r *Relays) SetMembers(ids []string) {
	for _, id := range ids {
		if id != r.self.ID && r.relays[id] == nil {
			r.relays[id] = &relay{}
		}
	}
	for id, relay := range r.relays {
		relay.member = slices.Contains(ids, id)
	}
}

// SetWorkers sets the known workers and the leader's budget of connections to workers, and decides whether relays are
// used.
func (r *Relays) SetWorkers(workers []Worker, budget int) {
	r.budget = budget
	if !slices.Equal(workers, r.workers) {
		r.workers = slices.Clone(workers)
		r.domains = make(map[string]string, len(workers))
		for _, worker := range workers {
			r.domains[worker.ID] = worker.Domain
		}
		maps.DeleteFunc(r.routes, func(id string, _ *route) bool { _, ok := r.domains[id]; return !ok })
		r.reassign = true
	}
	if enabled := needsRelays(r.enabled, len(workers), budget); enabled != r.enabled {
		r.enabled = enabled
		r.reassign = true
		clear(r.routes)
		text := "calling all workers directly"
		if enabled {
			text = "calling workers through other control daemons"
		}
		r.report(text, "", 0)
	}
}

// Send returns the relay through which a call is to be made and the ID of the relayed call, or an empty string if the
// leader makes the call itself.
func (r *Relays) Send(call pimfleet.Call, now time.Duration) (string, uint64) {
	id := r.routeOf(pimfleet.TargetOf(call).ID, now)
	if id == "" {
		return "", 0
	}
	r.lastID++
	r.pending[r.lastID] = pendingCall{call: call, relay: id, expireAt: now + timeoutOf(call)}
	r.relays[id].inFlight++
	return id, r.lastID
}

// timeoutOf returns how long a relay may take to answer a call.
func timeoutOf(call pimfleet.Call) time.Duration {
	timeout := executionTimeout + relayAllowance
	if renewal, ok := call.(pimfleet.RenewLease); ok {
		timeout += renewal.Wait
	}
	return timeout
}

// OnResult handles the result that a relay returned. It returns the call that the result is for, and false if that call
// has a result already.
func (r *Relays) OnResult(from, domain string, id uint64, now time.Duration) (pimfleet.Call, bool) {
	r.OnContact(from, now)
	if relay := r.relays[from]; relay != nil {
		relay.unanswered = 0
		if relay.domain != domain {
			relay.domain = domain
			r.reassign = true
		}
	}
	pending, ok := r.pending[id]
	if !ok || pending.relay != from {
		return nil, false
	}
	r.forget(id, pending)
	return pending.call, true
}

// daemons returns the daemons that may call workers: the leader and the usable relays.
func (r *Relays) daemons() []Daemon {
	daemons := []Daemon{r.self}
	for _, id := range slices.Sorted(maps.Keys(r.relays)) {
		if r.relays[id].usable {
			daemons = append(daemons, Daemon{ID: id, Domain: r.relays[id].domain})
		}
	}
	return daemons
}

// assign distributes the workers over the daemons anew if that is due.
func (r *Relays) assign() {
	if !r.reassign {
		return
	}
	r.reassign = false
	r.assigned = Assign(r.workers, r.daemons())
}

// Tick returns the results of the calls that ended without an answer, with an unknown outcome: those through a relay that
// is lost, at once, and those whose time has passed.
func (r *Relays) Tick(now time.Duration) []pimfleet.Result {
	r.allowForPause(now)
	var lost []string
	for _, id := range slices.Sorted(maps.Keys(r.relays)) {
		if r.updateRelay(id) {
			lost = append(lost, id)
		}
	}
	if len(lost) == 0 && now < r.sweepAt {
		return nil
	}
	r.sweepAt = now + sweepInterval
	var ended []uint64
	for id, pending := range r.pending {
		if pending.expireAt <= now || slices.Contains(lost, pending.relay) {
			ended = append(ended, id)
		}
	}
	slices.Sort(ended)
	results := make([]pimfleet.Result, 0, len(ended))
	for _, id := range ended {
		pending := r.pending[id]
		r.forget(id, pending)
		result := pimfleet.Result{Call: pending.call, Outcome: pimfleet.OutcomeUnknown}
		if !slices.Contains(lost, pending.relay) {
			r.relays[pending.relay].unanswered++
			r.Observe(result, now)
		}
		results = append(results, result)
	}
	return results
}

// allowForPause postpones all deadlines by the time for which the leader was paused.
func (r *Relays) allowForPause(now time.Duration) {
	pause := now - r.now
	if r.begun && pause > pauseThreshold {
		for _, relay := range r.relays {
			if relay.contactAt != 0 {
				relay.contactAt = min(now, relay.contactAt+pause)
			}
		}
		for id, pending := range r.pending {
			pending.expireAt += pause
			r.pending[id] = pending
		}
	}
	r.now, r.begun = now, true
}

// Next returns when Tick is next to be called, or an hour from the last Tick if no relays are used.
func (r *Relays) Next() time.Duration {
	if !r.enabled && len(r.pending) == 0 {
		return r.now + time.Hour
	}
	return r.now + sweepInterval
}

// TakeChanges returns and clears the changes to log.
func (r *Relays) TakeChanges() []Change {
	changes := r.changes
	r.changes = nil
	return changes
}

// forget removes a call that has ended.
func (r *Relays) forget(id uint64, pending pendingCall) {
	delete(r.pending, id)
	if relay := r.relays[pending.relay]; relay != nil {
		relay.inFlight--
	}
}

// report adds a change to log, with the inputs of the decision.
func (r *Relays) report(text, relay string, calls int) {
	r.changes = append(r.changes, Change{
		Text: text, Relay: relay, Calls: calls, Workers: len(r.workers), Budget: r.budget, Daemons: len(r.daemons()),
	})
}
