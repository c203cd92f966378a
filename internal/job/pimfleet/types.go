// Package pimfleet tracks the workers on behalf of the leader of the job group: it renews
// their leases, starts and stops runs, records how runs end, and detects worker generations
// that have ended. It is a deterministic state machine: call results and the current time go
// in, calls to workers and operations for the replicated log come out. It opens no
// connections and reads no clock.
//
// A run is committed to the log before its start command is sent, so a new leader knows every
// run that may exist. A run leaves the log only after its worker listed its end, its worker
// confirmed that it did not and will not start it, a new generation of the worker began, or
// the worker's lease is certain to have expired.
package pimfleet

import (
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// Policy holds the timing of leases.
	Policy struct {
		// Lease is how long the runs of a worker may continue after the last renewal.
		Lease time.Duration
		// Wait is the long-poll limit of a renewal: how long the worker may delay its response
		// until a run ends.
		Wait time.Duration
		// CapacityAge is for how long after a heartbeat its capacity may decide a start on a worker that accepts overload.
		// 0 means no limit.
		CapacityAge time.Duration
		// MaxLease is the longest lease that a worker accepts. A value below Lease counts as Lease.
		MaxLease time.Duration
		// StopTimeout is how long a worker takes at most to stop a run.
		StopTimeout time.Duration
	}

	// Outcome is the result of a call as far as the leader knows it.
	Outcome uint8

	// Reason is the cause that a worker gave for rejecting a call.
	Reason uint8

	// Target is the worker generation that a call is addressed to.
	Target struct {
		ID         string
		Generation int64
		Address    string
	}

	// Call is a request to a worker. Its Token is the fencing token: the term of the leader.
	Call interface{ isCall() }

	// RenewLease extends the lease of a worker, acknowledges ended runs and asks for the lists of
	// running and ended runs.
	RenewLease struct {
		Target Target
		Token  uint64
		// Cursor is the highest EndedRun.Sequence that is acknowledged.
		Cursor int64
		// Deadline is the new end of the lease on the worker's clock; 0 leaves the lease as it is.
		Deadline time.Duration
		// Wait is how long the worker may delay its response until a run ends.
		Wait time.Duration
		// SentAt is on the leader's clock.
		SentAt time.Duration
	}

	// StartRun is the command to start a run.
	StartRun struct {
		Target     Target
		Token      uint64
		Key        pimjob.TaskKey
		Number     int
		Spec       string
		Checkpoint string
		// Ticket is not set at present.
		Ticket string
		// Deadline is on the worker's clock: the worker rejects a start command that arrives later,
		// and the start extends the lease up to it.
		Deadline time.Duration
	}

	// StopRun is the command to stop a run. A worker that executed it does not start the run later.
	StopRun struct {
		Target Target
		Token  uint64
		Key    pimjob.TaskKey
		Number int
	}

	// ThrottleRun is the command to run at a share of the full speed.
	ThrottleRun struct {
		Target Target
		Token  uint64
		Key    pimjob.TaskKey
		Number int
		// SpeedPercent is from 0 (paused) to 100 (full speed).
		SpeedPercent int
	}

	// RunStatus is an entry of a worker's list of running runs.
	RunStatus struct {
		Key             pimjob.TaskKey
		Number          int
		Checkpoint      string
		ProgressPercent int
		// Metric is the tail latency in milliseconds for a serving task, and the processor use in
		// millicores for any other task.
		Metric float64
	}

	// EndedRun is an entry of a worker's list of ended runs that are not acknowledged yet.
	EndedRun struct {
		// Sequence rises by one with each ended run of a generation.
		Sequence   int64
		Key        pimjob.TaskKey
		Number     int
		EndKind    pimjob.EndKind
		Checkpoint string
	}

	// Result is the result of a call.
	Result struct {
		Call    Call
		Outcome Outcome
		// Reason is set when Outcome is OutcomeRejected.
		Reason Reason
		// Clock is the worker's clock when it responded, or 0 without a response.
		Clock time.Duration
		// Generation is the generation that responded to a RenewLease.
		Generation int64
		// Running and Ended are the lists in the response to a RenewLease.
		Running []RunStatus
		Ended   []EndedRun
		// Incomplete means that the lists may lack runs, so that a run which they do not show may have ended.
		Incomplete bool
	}

	// runID identifies a run.
	runID struct {
		key    pimjob.TaskKey
		number int
	}

	// trackedRun is the leader's view of a run on a worker.
	trackedRun struct {
		live  pimjob.LiveRun
		state runState
		// attempts counts the calls since the run began to start or to stop.
		attempts int
		// outcomeUnknown is set while an earlier start command may still be executed.
		outcomeUnknown bool
		// mayHaveBegun is set unless it is known that the worker has not executed the run so far.
		mayHaveBegun bool
		// inFlight is set while a call for the run has no result; nextAt is the earliest time of the
		// next call.
		inFlight bool
		nextAt   time.Duration
		// queuedAt is the position in workerState.due, or notQueued.
		queuedAt int
		// answered is set once a start command had a result, or was sent by an earlier leader.
		answered bool
		// reserved is what the run takes from the capacity of its worker.
		reserved pimjob.Resources
		// closingSince is when the worker last confirmed that the run is stopped or will not start,
		// or when that was last proposed for the log.
		closingSince time.Duration
		// committedAt is when the run was committed, or 0 for a run of an earlier leader.
		committedAt time.Duration
		// awaitsCapacitySince is since when the start waits for a report of the worker's capacity, or 0.
		awaitsCapacitySince time.Duration
		// startSentAt is when the last start command was sent, or may have been by an earlier leader, or 0. sentBefore is that of
		// the one before, in case that the last one was not sent after all.
		startSentAt, sentBefore time.Duration
		// confirmedAt is when the worker last confirmed that the run is running.
		confirmedAt time.Duration
		stopping    bool
		// status is the last listed status. listedAt and progressedAt are on the worker's clock.
		status       RunStatus
		listedAt     time.Duration
		progressedAt time.Duration
		// speedUnknown is set for a best-effort run of an earlier leader, which may have throttled it, until the
		// worker has confirmed a speed to this leader.
		speedUnknown bool
		// speedPercent is the speed that the worker confirmed, wantedSpeedPercent the requested one.
		speedPercent       int
		wantedSpeedPercent int
	}

	runState uint8
)

// Outcomes of a call.
const (
	// OutcomeUnknown means that the call may have been executed, or may still be executed later.
	OutcomeUnknown Outcome = iota
	// OutcomeExecuted means that the worker executed the call.
	OutcomeExecuted
	// OutcomeRejected means that the worker did not execute the call; Result.Reason says why.
	OutcomeRejected
	// OutcomeUnhealthy means that the worker did not execute the call because it is overloaded or unhealthy.
	OutcomeUnhealthy
	// OutcomeOtherGeneration means that another generation of the worker responded.
	OutcomeOtherGeneration
	// OutcomeNotSent means that the call did not leave this daemon.
	OutcomeNotSent
)

// Reasons of a rejected call.
const (
	// ReasonNone means that no reason is known.
	ReasonNone Reason = iota
	// ReasonFenced means that the worker has seen the fencing token of a later leader.
	ReasonFenced
	// ReasonStaleRun means that this run or a later run of the task has ended or was stopped on the worker.
	ReasonStaleRun
	// ReasonDeadlinePassed means that the call arrived after its deadline.
	ReasonDeadlinePassed
	// ReasonNoCapacity means that the worker lacks free capacity for the run.
	ReasonNoCapacity
	// ReasonInvalidTicket means that the worker did not accept StartRun.Ticket.
	ReasonInvalidTicket
	// ReasonInvalidRequest means that the worker found the request malformed.
	ReasonInvalidRequest
)

const (
	// inherited is a run of an earlier leader that the worker has not listed to this leader yet.
	inherited runState = iota
	starting
	running
	// closing is a run that the worker will not start or has stopped; the next list confirms it.
	closing
)

func (RenewLease) isCall()  {}
func (StartRun) isCall()    {}
func (StopRun) isCall()     {}
func (ThrottleRun) isCall() {}

// TargetOf returns the worker generation that a call is addressed to.
func TargetOf(call Call) Target {
	switch call := call.(type) {
	case RenewLease:
		return call.Target
	case StartRun:
		return call.Target
	case StopRun:
		return call.Target
	case ThrottleRun:
		return call.Target
	}
	return Target{}
}

// String returns the name of the outcome in the log.
func (o Outcome) String() string {
	return [...]string{"unclear", "carried", "rejected", "unhealthy", "other-life", "not-sent"}[o]
}

// String returns the name of the reason on the wire and in the log, empty for ReasonNone.
func (r Reason) String() string {
	return [...]string{"", "fence", "old", "late", "room", "ticket", "invalid"}[r]
}
