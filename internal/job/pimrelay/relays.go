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
		self  Daemon
		now   time.Duration
		begun bool

		enabled bool
		budget  int
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

	// relay is a member of the job group other than the leader, or was one until its calls have ended.
	relay struct {
		member bool
		domain string
		// contactAt is the time of the last message, 0 before the first one. contactSince is when the present period of
		// contact began.
		contactAt    time.Duration
		contactSince time.Duration
		usable       bool
		// losses counts how often the relay was lost within lossMemory of each other.
		losses int
		// inFlight counts the calls without a result, unanswered those that ended without one since the last result.
		inFlight   int
		unanswered int
	}

	// route is how the calls to a worker go after failed renewals.
	route struct {
		// detour counts how often the route was changed, failures the failed renewals since then.
		detour   int
		failures int
		// until is when the assigned daemon is tried again.
		until time.Duration
	}

	pendingCall struct {
		call     pimfleet.Call
		relay    string
		expireAt time.Duration
	}

	// Change is an entry for the daemon's own log.
	Change struct {
		Text string
		// Relay is the relay that the change is about, empty for one of the mode. Calls is the number of calls that ended
		// with it.
		Relay string
		Calls int
		// Workers, Budget and Daemons are the inputs of the decision.
		Workers, Budget, Daemons int
	}
)

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
	// executionTimeout is how long a relay waits for a worker's response to a call that isn't held by the worker.
	executionTimeout = 500 * time.Millisecond
	// relayAllowance is the time for the way through the relay, its queues included.
	relayAllowance = 500 * time.Millisecond
	// maxUnanswered is the number of calls without any answer in between after which a relay counts as lost although
	// its consensus messages arrive.
	maxUnanswered = 3
	// sweepInterval is the time between checks for calls without an answer.
	sweepInterval = 50 * time.Millisecond
	// pauseThreshold is the time between ticks from which the leader itself counts as paused. What arrived meanwhile is
	// not handled yet, so the pause isn't held against the relays. The leader ticks at least every sweepInterval.
	pauseThreshold = 300 * time.Millisecond
	// failuresOfAssigned and failuresOfDetour are the failed renewals after which the next route is tried. Three failed
	// renewals take 3.5 s at most, with the long poll of the first and the delays between them, so that the leader itself
	// calls the worker before a lease of 5 s expires.
	failuresOfAssigned = 2
	failuresOfDetour   = 1
	// detourDuration is how long a worker that its assigned daemon couldn't reach is called by another one.
	detourDuration = 30 * time.Second
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

// Observe adjusts the route of a worker to the result of a call. It is to be called for each result that isn't from Tick,
// whether the call was relayed or not.
func (r *Relays) Observe(result pimfleet.Result, now time.Duration) {
	if _, ok := result.Call.(pimfleet.RenewLease); !ok || !r.enabled {
		return
	}
	worker := pimfleet.TargetOf(result.Call).ID
	at := r.routes[worker]
	if result.Outcome != pimfleet.OutcomeUnknown && result.Outcome != pimfleet.OutcomeNotSent {
		if at != nil {
			at.failures = 0
		}
		return
	}
	if at == nil {
		at = &route{}
		r.routes[worker] = at
	}
	at.failures++
	limit := failuresOfAssigned
	if at.detour > 0 {
		limit = failuresOfDetour
	}
	if at.failures >= limit {
		at.detour = (at.detour + 1) % len(r.choices(worker))
		at.failures = 0
		at.until = now + detourDuration
	}
}

// routeOf returns the relay for a worker, or an empty string for the leader itself.
func (r *Relays) routeOf(worker string, now time.Duration) string {
	if !r.enabled {
		return ""
	}
	r.assign()
	id := r.assigned[worker]
	if at := r.routes[worker]; at != nil {
		switch {
		case at.detour > 0 && now >= at.until:
			// One more failure leads back to the detour.
			at.detour, at.failures = 0, failuresOfAssigned-1
		case at.detour > 0:
			choices := r.choices(worker)
			id = choices[at.detour%len(choices)]
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

func (r *relay) returnDelay() time.Duration {
	if r.losses == 0 {
		return 0
	}
	return min(maxReturnDelay, returnDelay<<min(r.losses-1, 8))
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

func (r *Relays) forget(id uint64, pending pendingCall) {
	delete(r.pending, id)
	if relay := r.relays[pending.relay]; relay != nil {
		relay.inFlight--
	}
}

func (r *Relays) report(text, relay string, calls int) {
	r.changes = append(r.changes, Change{
		Text: text, Relay: relay, Calls: calls, Workers: len(r.workers), Budget: r.budget, Daemons: len(r.daemons()),
	})
}
