package pimcontrol

import (
	"context"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimroutine"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
)

type (
	// event is an input of the goroutine that owns the replica.
	event interface{ isEvent() }

	// peerEvent is a message from a daemon. An empty to means whichever daemon is at this address.
	peerEvent struct {
		from, to string
		message  pimmessage.PeerMessage
	}

	// persistedEvent reports that a batch was written, or failed with err.
	persistedEvent struct {
		// epoch is the Control.diskEpoch of the write.
		epoch int
		batch diskBatch
		err   error
	}

	// resultEvent is the result of a call to a worker that the leader of a term made.
	resultEvent struct {
		term   uint64
		result pimfleet.Result
	}

	// stepDownEvent is a call of StepDown.
	stepDownEvent struct{}
)

func (peerEvent) isEvent()      {}
func (relayedEvent) isEvent()   {}
func (persistedEvent) isEvent() {}
func (resultEvent) isEvent()    {}
func (stepDownEvent) isEvent()  {}

// loop handles events until the context ends or a write fails. It wakes for the next event or deadline.
func (c *Control) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var first event
		select {
		case <-ctx.Done():
			return nil
		case first = <-c.events:
		case <-timer.C:
		}
		c.beginTurn()
		if err := c.handleEvents(first); err != nil {
			return err
		}
		c.tick(ctx)
		c.endTurn()
		timer.Reset(max(minSleep, c.nextTick()-c.now))
	}
}

// minSleep batches deadlines that are close together into one wakeup.
const minSleep = time.Millisecond

// handleEvents handles an event, unless it is nil, and those that are queued, up to maxEventsPerTick.
func (c *Control) handleEvents(first event) error {
	if first == nil {
		return nil
	}
	if err := c.handleEvent(first); err != nil {
		return err
	}
	for range maxEventsPerTick {
		if c.isTurnLong() {
			return nil
		}
		select {
		case next := <-c.events:
			if err := c.handleEvent(next); err != nil {
				return err
			}
		default:
			return nil
		}
	}
	return nil
}

func (c *Control) handleEvent(e event) error {
	defer func() {
		c.turn.events++
		c.endStep(e)
	}()
	switch e := e.(type) {
	case peerEvent:
		c.onPeer(e)
	case persistedEvent:
		return c.onPersisted(e)
	case resultEvent:
		c.onResult(e)
	case relayedEvent:
		c.onRelayed(e)
	case stepDownEvent:
		c.steppingDown = true
	}
	return nil
}

// onPeer handles a message from another daemon. A panic while a request is handled drops only that request.
func (c *Control) onPeer(e peerEvent) {
	c.peerBytes.Add(-int64(pimmessage.SizeOf(e.message)))
	switch message := e.message.(type) {
	case pimmessage.Consensus:
		if e.to != c.id {
			return
		}
		decoded, err := pimmessage.DecodeConsensus(message.Body)
		if err != nil {
			c.logger.Error().Err(err).Str("from", e.from).Msg("consensus message from a peer cannot be decoded")
			return
		}
		if c.leadership != nil && c.leadership.ready {
			c.leadership.relays.OnContact(e.from, c.now)
		}
		c.replica.Step(c.now, e.from, decoded)
	case pimmessage.LeaderQuery:
		c.onLeaderQuery(e.from, message)
	case pimmessage.CallRequest:
		cause, stack := pimroutine.Recover(func() { c.onRequest(e.from, message) })
		if cause != nil {
			c.metrics.Add("panics", 1)
			c.logger.Error().Any("cause", cause).Str("from", e.from).Int("bytes", len(message.Body)).Bytes("stack", stack).
				Msg("handling a request panicked, the request is dropped")
		}
	}
}

// tick advances the replica and, on the leader, the planner and the fleet, and sends their output.
func (c *Control) tick(ctx context.Context) {
	if c.now >= c.replica.NextTick() {
		c.replica.Tick(c.now)
	}
	c.relaying.advanceTerm(c.replica.Term())
	c.requestToJoin()
	c.flush()
	c.endStep("apply")
	c.updateLeadership()
	if c.leadership != nil {
		c.tickLeadership(ctx)
		c.flush()
		c.endStep("propose")
	}
	c.isLeader.Store(c.leadership != nil && c.leadership.ready)
	c.handOver()
}

// nextTick returns when tick is next to be called if no event arrives.
func (c *Control) nextTick() time.Duration {
	next := c.replica.NextTick()
	if !c.replica.Members().Contains(c.id) {
		next = min(next, c.nextJoinAt)
	}
	if c.leadership != nil {
		next = min(next, c.leadership.nextTick(c))
	}
	return next
}
