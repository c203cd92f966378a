package pimcontrol

import (
	"fmt"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimclock"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconsensus"
)

type (
	// turn measures one pass of the goroutine that owns the replica: the events that it handles, and what a tick does.
	turn struct {
		startedAt, stepAt time.Duration
		// slowest is the longest step so far, an event or a name, which took slowestTook.
		slowest     any
		slowestTook time.Duration
		events      int
	}

	// turnStatistics are over the turns of the current and the previous turnWindow, and for the log.
	turnStatistics struct {
		windowEndsAt      time.Duration
		longest, previous time.Duration
		nextLogAt         time.Duration
		notLogged         int
	}
)

const (
	// maxTurn is the time after which a turn is logged, and after which the leader handles no further events in it. Members
	// of the group expect a message of the leader each pimconsensus.HeartbeatInterval.
	maxTurn = pimconsensus.HeartbeatInterval
	// turnWindow is the time after which the longest turn is forgotten, but for the one before.
	turnWindow = 30 * time.Second
	// turnLogInterval is the least time between log lines on long turns.
	turnLogInterval = time.Second

	// maxUnansweredStarts is how many committed starts may have no answer before no more are planned, so that the tasks of
	// a large job don't queue ahead of others at the workers. It is above 2,600 starts a second, the rate that is planned
	// for, times the time in which a call ends.
	maxUnansweredStarts = 2048
	// minUnansweredStarts is the limit while turns take too long.
	minUnansweredStarts = 64
	// startLimitStep is by how much the limit grows with each plan.
	startLimitStep = 64
)

func (c *Control) beginTurn() {
	c.now = pimclock.Now()
	c.turn = turn{startedAt: c.now, stepAt: c.now}
}

// endStep measures the step of the turn that has ended now, and sends the heartbeats of the leader that are due.
func (c *Control) endStep(step any) {
	c.now = pimclock.Now()
	if took := c.now - c.turn.stepAt; took > c.turn.slowestTook {
		c.turn.slowest, c.turn.slowestTook = step, took
	}
	c.turn.stepAt = c.now
	c.send(c.replica.KeepAlive(c.now))
}

// endTurn updates the metrics of turns, logs the turn if it was long, and adapts the number of starts to plan.
func (c *Control) endTurn() {
	c.endStep("end")
	took, s := c.now-c.turn.startedAt, &c.turns
	if c.now >= s.windowEndsAt {
		s.windowEndsAt, s.previous, s.longest = c.now+turnWindow, s.longest, 0
		c.metrics.SetGauge("longest-turn-seconds", max(took, s.previous).Seconds())
	}
	if took > s.longest {
		s.longest = took
		c.metrics.SetGauge("longest-turn-seconds", max(took, s.previous).Seconds())
	}
	if took <= maxTurn {
		return
	}
	c.metrics.Add("long-turns", 1)
	if c.leadership != nil {
		c.leadership.startLimit = max(minUnansweredStarts, c.leadership.startLimit/2)
	}
	if c.now < s.nextLogAt {
		s.notLogged++
		return
	}
	c.logger.Warn().Int64("took-ms", took.Milliseconds()).Str("slowest", nameOf(c.turn.slowest)).
		Int64("slowest-ms", c.turn.slowestTook.Milliseconds()).Int("events", c.turn.events).Int("not-logged", s.notLogged).
		Bool("leader", c.leadership != nil).Msg("turn of the event loop took long")
	s.nextLogAt, s.notLogged = c.now+turnLogInterval, 0
}

// isTurnLong reports whether the leader should handle no further events in this turn. A follower handles all that are
// queued: they include the leader's messages, without which it would begin an election.
func (c *Control) isTurnLong() bool { return c.leadership != nil && c.now-c.turn.startedAt > maxTurn/2 }

// limitStarts sets the number of starts of the next plan.
func (l *leadership) limitStarts() {
	l.startLimit = min(maxUnansweredStarts, l.startLimit+startLimitStep)
	l.planner.LimitStarts(max(0, l.startLimit-l.fleet.UnansweredStarts()))
}

// nameOf returns the name of a step of a turn in the log.
func nameOf(step any) string {
	switch e := step.(type) {
	case string:
		return e
	case peerEvent:
		return fmt.Sprintf("%T", e.message)
	case persistedEvent:
		return "write to the disk"
	case resultEvent:
		return fmt.Sprintf("result of %T", e.result.Call)
	case relayedEvent:
		return "relayed result"
	case stepDownEvent:
		return "step down"
	}
	return ""
}
