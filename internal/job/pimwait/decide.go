// Package pimwait decides whether a task waits for a host near its data or its group (a preferred host) or starts on
// another host, where it takes longer. It reads no clock and is deterministic.
package pimwait

import (
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// Request describes the tasks of a step for which no preferred host has room now. They are decided on together: the
	// step ends with the last of them, so a task that ends before the others gains nothing.
	Request struct {
		// Preferred is the forecast for the preferred hosts that may get new runs, with the claims of the tasks ahead.
		// Its times are high quantiles.
		Preferred Forecast
		Need      pimjob.Resources
		// Count is the number of tasks.
		Count int
		// Duration is the median duration on a preferred host.
		Duration     time.Duration
		RemoteFactor float64
		// StepEnd is the time until the other tasks of the step are expected to end.
		StepEnd time.Duration
		// Arrivals is the work that is expected to arrive later for the preferred hosts, as a share of what they can do in
		// the same time.
		Arrivals float64
		// Waited is the time since the tasks could have started.
		Waited time.Duration
		// Idle means that the job has no live run.
		Idle bool
		// HasDeadline means that the job ends on time if its tasks start on another host within Slack.
		HasDeadline bool
		Slack       time.Duration
		// RoomElsewhere is false if the other hosts may have no room left when the wait ends.
		RoomElsewhere bool
	}

	// Decision is the answer to a request.
	Decision struct {
		// Wait means that the tasks wait for preferred hosts. They do so for Limit at most.
		Wait  bool
		Limit time.Duration
		// Expected is the expected wait, Gain the time that the step is expected to gain by it. Both are set if
		// Wait is.
		Expected, Gain time.Duration
		Reason         Reason
	}

	// Reason tells why tasks wait or do not wait.
	Reason int
)

// Reasons of a decision.
const (
	// Worthwhile means that the task waits.
	Worthwhile Reason = iota
	// PreferredGone means that no preferred host may get new runs.
	PreferredGone
	// WaitTooLong means that the expected wait exceeds the loss on another host.
	WaitTooLong
	// BoundReached means that the task has waited as long as it may.
	BoundReached
	// DeadlineNear means that the job would be late after the wait.
	DeadlineNear
	// RoomElsewhereShort means that the task could lose its place on another host as well.
	RoomElsewhereShort
)

// MaxIdleWait is the longest wait of a task whose job has no live run. The platform requires such a job to start within
// 3 s, and the specification limits the wait to 1 s; plans may be 250 ms apart.
const MaxIdleWait = 750 * time.Millisecond

var reasonNames = [...]string{
	"worthwhile", "preferred-gone", "wait-too-long", "bound-reached", "deadline-near", "room-elsewhere-short",
}

// String returns the reason's name.
func (r Reason) String() string { return reasonNames[r] }

// Loss returns how much longer a task takes on a host that is not preferred.
func Loss(duration time.Duration, remoteFactor float64) time.Duration {
	return time.Duration(max(0, remoteFactor-1) * float64(max(0, duration)))
}

// Decide compares the expected wait for preferred hosts with the loss on other hosts. The time that the tasks have waited
// already is spent in both cases, so it counts for the bound only.
//
// A task that waits takes a place that a later task would have taken without a wait. With arrivals at a share r of what the
// hosts can do, a queue that takes the time w to serve lasts for w/(1-r), and the waits that it causes to all tasks add up
// to w/(1-r) for each task in it. This is what is compared with the loss: if the hosts are busy anyway, nothing waits.
func Decide(request Request) Decision {
	loss := Loss(request.Duration, request.RemoteFactor)
	if len(request.Preferred) == 0 {
		return Decision{Reason: PreferredGone}
	}
	bound := loss
	if request.Idle {
		bound = min(bound, MaxIdleWait)
	}
	limit, limitReason := bound-request.Waited, BoundReached
	if request.HasDeadline && request.Slack < limit {
		limit, limitReason = request.Slack, DeadlineNear
	}
	expected := request.Preferred.wait(request.Need, request.Duration, request.Count, max(0, loss))
	gain := loss - max(expected, request.StepEnd-request.Duration)
	switch {
	case loss <= 0:
		return Decision{Reason: WaitTooLong}
	case limit <= 0:
		return Decision{Reason: limitReason}
	case !request.RoomElsewhere:
		return Decision{Reason: RoomElsewhereShort}
	case gain <= 0 || float64(expected) >= float64(loss)*(1-request.Arrivals):
		return Decision{Reason: WaitTooLong}
	case expected >= limit:
		return Decision{Reason: limitReason}
	default:
		return Decision{Wait: true, Limit: limit, Expected: expected, Gain: gain}
	}
}
