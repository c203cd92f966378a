package pimcontrol

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimclock"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimforward"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimrelay"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
)

type (
	// relaying is the state of a daemon as a relay, and of the results on their way to it as the leader. It is safe for
	// concurrent use.
	relaying struct {
		// context ends with Control.Run, through end.
		context context.Context
		end     context.CancelFunc
		// newestTerm is the newest term that the daemon knows.
		newestTerm atomic.Uint64
		// callBytes is the size of the calls that wait or are made, resultBytes that of the results in Control.events.
		callBytes   atomic.Int64
		resultBytes atomic.Int64
	}

	// relayedEvent is the result of a call that a relay made for this daemon as the leader of a term.
	relayedEvent struct {
		from    string
		message pimmessage.WorkerResult
		// result is without its call.
		result pimfleet.Result
	}
)

const (
	// maxRelayedBytes is the size of the calls that may wait at a relay: a start holds a job's specification.
	maxRelayedBytes = 16 << 20
	// maxResultBytes is the size of the results that may wait at the leader. The renewals of 3,000 workers with 150 runs
	// each take less than a third of it.
	maxResultBytes = 32 << 20
	// relayInterval is the time between checks of whether relays are needed, and of the members and workers.
	relayInterval = 200 * time.Millisecond
)

// advanceTerm records a term and returns the newest one known.
func (r *relaying) advanceTerm(term uint64) uint64 {
	for {
		known := r.newestTerm.Load()
		if term <= known || r.newestTerm.CompareAndSwap(known, term) {
			return max(term, known)
		}
	}
}

// onWorkerCall makes a call on behalf of the leader. It doesn't block: the call is made in the background, and one that
// there is no space for is answered at once as not sent. The call is dropped if its validity passes before it is sent, on
// a clock that includes suspensions, or if a newer term is known by then.
func (c *Control) onWorkerCall(from string, message pimmessage.WorkerCall) {
	validUntil := pimclock.Now() + message.Validity
	call, err := pimrelay.DecodeCall(message.Body)
	if err != nil {
		c.logger.Error().Err(err).Str("from", from).Int("bytes", len(message.Body)).
			Msg("call to a worker from the leader cannot be decoded")
		c.sendResult(from, message, pimfleet.Result{Outcome: pimfleet.OutcomeNotSent})
		return
	}
	c.relaying.advanceTerm(message.Term)
	size := int64(len(message.Body))
	isValid := func() bool {
		return pimclock.Now() < validUntil && message.Term >= c.relaying.newestTerm.Load()
	}
	accepted := c.relaying.callBytes.Add(size) <= maxRelayedBytes &&
		c.callWorker(c.relaying.context, call, isValid, func(result pimfleet.Result) {
			c.relaying.callBytes.Add(-size)
			c.sendResult(from, message, result)
		})
	if !accepted {
		c.relaying.callBytes.Add(-size)
		c.metrics.CountShed("relayed-calls")
		c.sendResult(from, message, pimfleet.Result{Outcome: pimfleet.OutcomeNotSent})
	}
}

// sendResult sends the result of a relayed call to the leader that asked for it.
func (c *Control) sendResult(to string, message pimmessage.WorkerCall, result pimfleet.Result) {
	c.metrics.Add("relay-calls-made", 1)
	if result.Outcome == pimfleet.OutcomeNotSent {
		c.metrics.Add("relay-calls-dropped", 1)
	}
	body, err := pimrelay.EncodeResult(result)
	if err != nil {
		c.logger.Error().Err(err).Msg("result of a relayed call cannot be encoded")
		return
	}
	c.Send(pimforward.AddressOf(to), to, pimmessage.WorkerResult{
		Term: message.Term, ID: message.ID, Domain: c.settings.Domain, Body: body,
	})
}

// onWorkerResult decodes the result of a relayed call, outside of the goroutine that owns the fleet, and queues it. A
// result that there is no space for is dropped: its call ends like one without an answer.
func (c *Control) onWorkerResult(from string, message pimmessage.WorkerResult) {
	size := int64(len(message.Body))
	if queued := c.relaying.resultBytes.Add(size); queued > maxResultBytes {
		c.relaying.resultBytes.Add(-size)
		c.metrics.CountShed("relayed-results")
		return
	}
	result, err := pimrelay.DecodeResult(message.Body, nil)
	if err != nil {
		c.logger.Error().Err(err).Str("from", from).Int("bytes", len(message.Body)).
			Msg("result of a relayed call cannot be decoded")
		result = pimfleet.Result{Outcome: pimfleet.OutcomeUnknown}
	}
	select {
	case c.events <- relayedEvent{from, message, result}:
	default:
		c.relaying.resultBytes.Add(-size)
		c.metrics.CountShed("relayed-results")
	}
}

// onRelayed passes the result of a relayed call to the fleet of the leadership that asked for the call.
func (c *Control) onRelayed(e relayedEvent) {
	c.relaying.resultBytes.Add(-int64(len(e.message.Body)))
	l := c.leadership
	if l == nil || !l.ready || l.term != e.message.Term {
		c.metrics.Add("late-results", 1)
		return
	}
	call, ok := l.relays.OnResult(e.from, e.message.Domain, e.message.ID, c.now)
	if !ok {
		c.metrics.Add("late-results", 1)
		return
	}
	result := e.result
	result.Call = call
	if result.Outcome == pimfleet.OutcomeUnknown || result.Outcome == pimfleet.OutcomeNotSent {
		c.metrics.Add("relay-failures", 1)
	}
	l.relays.Observe(result, c.now)
	l.fleet.OnResult(result, c.now)
}

// callThroughRelay sends a call to the relay of its worker. It returns false if the leader is to make the call itself.
func (c *Control) callThroughRelay(call pimfleet.Call, validUntil time.Duration) bool {
	l := c.leadership
	if !l.relays.IsEnabled() {
		return false
	}
	validity := validUntil - pimclock.Now()
	if validity <= 0 {
		// The check before a direct call drops it.
		return false
	}
	relay, id := l.relays.Send(call, c.now)
	if relay == "" {
		return false
	}
	body, err := pimrelay.EncodeCall(call)
	if err != nil {
		c.logger.Error().Err(err).Msg("call to a worker cannot be encoded for a relay")
	}
	c.metrics.Add("relayed-calls", 1)
	c.Send(pimforward.AddressOf(relay), relay, pimmessage.WorkerCall{Term: l.term, ID: id, Validity: validity, Body: body})
	return true
}

// tickRelays ends the calls through relays that don't answer, and updates what the choice of relays depends on.
func (c *Control) tickRelays() {
	l := c.leadership
	if c.now >= l.nextRelaysAt {
		l.nextRelaysAt = c.now + relayInterval
		workers := c.state.Workers()
		known := make([]pimrelay.Worker, 0, len(workers))
		for _, worker := range workers {
			known = append(known, pimrelay.Worker{ID: worker.ID, Domain: worker.Domain})
		}
		budget := c.workerBudget()
		members := c.replica.Members().All()
		l.relays.SetMembers(members)
		for _, id := range members {
			// A new leader knows from its election which members answer. Without that, its first renewals of all workers
			// would be direct. The time of the election itself is no contact.
			if progress, ok := c.replica.ProgressOf(id); ok && progress.LastContact > c.replica.LeaderSince() {
				l.relays.OnContact(id, progress.LastContact)
			}
		}
		l.relays.SetWorkers(known, budget)
		if budget != math.MaxInt {
			c.metrics.SetGauge("worker-connection-budget", float64(budget))
		}
		c.metrics.SetGauge("relayed-calls-in-flight", float64(l.relays.InFlight()))
	}
	results := l.relays.Tick(c.now)
	if len(results) > 0 {
		c.metrics.Add("relay-failures", int64(len(results)))
	}
	for _, result := range results {
		l.fleet.OnResult(result, c.now)
	}
	for _, change := range l.relays.TakeChanges() {
		c.logger.Warn().Str("relay", change.Relay).Int("calls-without-answer", change.Calls).Int("workers", change.Workers).
			Int("budget", change.Budget).Int("daemons", change.Daemons).Uint64("term", l.term).Msg(change.Text)
	}
}

// workerBudget returns how many connections to workers this daemon may have open.
func (c *Control) workerBudget() int {
	served, peers := 0, 0
	if c.settings.OpenConnections != nil {
		served, peers = c.settings.OpenConnections()
	}
	return pimrelay.ConnectionBudget(c.settings.MaxDescriptors, served, peers)
}
