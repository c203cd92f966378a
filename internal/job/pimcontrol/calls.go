package pimcontrol

import (
	"context"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimclock"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconsensus"
)

// commandValidity is how long a command may still be sent after the newest request that a majority of
// the voters answered was sent to them. No other leader can be elected before
// pimconsensus.ElectionTimeout has passed, which is longer.
const commandValidity = pimconsensus.LeaseDuration

// call makes a call to a worker, itself or through a relay. The call is not sent once another leader may have been
// elected, which may send commands of its own.
func (c *Control) call(ctx context.Context, call pimfleet.Call) {
	term, validUntil := c.leadership.term, c.replica.QuorumAckedAt(c.now)+commandValidity
	if c.callThroughRelay(call, validUntil) {
		return
	}
	accepted := c.callWorker(ctx, call, func() bool { return pimclock.Now() < validUntil }, func(result pimfleet.Result) {
		select {
		case c.events <- resultEvent{term, result}:
		case <-ctx.Done():
		}
	})
	if !accepted {
		c.metrics.CountShed("worker-calls")
		c.leadership.fleet.OnResult(pimfleet.Result{Call: call, Outcome: pimfleet.OutcomeNotSent}, c.now)
	}
}

// callWorker makes a call in the background, unless it is no longer valid by then, and passes its result on. It returns
// false if there is no space for the call.
func (c *Control) callWorker(
	ctx context.Context, call pimfleet.Call, isValid func() bool, onResult func(result pimfleet.Result),
) bool {
	pool := c.commands
	if _, ok := call.(pimfleet.RenewLease); ok {
		pool = c.renewals
	}
	workers := c.workers
	_, accepted := pool.TrySubmit(func() {
		result := pimfleet.Result{Call: call, Outcome: pimfleet.OutcomeNotSent}
		if isValid() {
			result = workers.Call(ctx, call)
		}
		onResult(result)
	})
	return accepted
}

// onResult passes the result of a call to the fleet of the leadership that made the call. A result that comes after
// that leadership has ended is dropped: the fleet of a later one has made no such call.
func (c *Control) onResult(e resultEvent) {
	if c.leadership == nil || !c.leadership.ready || c.leadership.term != e.term {
		c.metrics.Add("late-results", 1)
		return
	}
	c.leadership.relays.Observe(e.result, c.now)
	c.leadership.fleet.OnResult(e.result, c.now)
}
