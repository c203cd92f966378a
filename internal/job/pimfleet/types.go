// Package pimfleet follows the workers on behalf of the leader of the jobs: it keeps
// their leases, orders and stops runs, takes in their ends, and finds lives that are
// over. It is a plain state machine: results and the time go in, calls to workers and
// operations for the log come out. It opens no connection and reads no clock.
//
// A run is committed to the log before it is ordered, so a new leader knows every run
// that may exist. A run leaves the log only when its worker listed its end, said that
// it did not and will not start it, began a new life, or when its lease surely ran out.
package pimfleet

import (
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// Policy holds the limits of a fleet.
	Policy struct {
		// Lease is how long a worker's runs live after it was last renewed.
		Lease time.Duration
		// Wait is the most that a worker holds back the answer of a renewal for an end.
		Wait time.Duration
	}

	// Outcome tells what came of a call.
	Outcome uint8

	// Reason tells why a worker rejected a start.
	Reason uint8

	// Target is the life of a worker that a call is meant for.
	Target struct {
		ID         string
		Generation int64
		Address    string
	}

	// Call is something to ask of a worker.
	Call interface{ isCall() }

	// RenewLease renews the lease until Deadline on the worker's clock, unless that is 0,
	// acknowledges ends up to Cursor and asks for the lists of runs.
	RenewLease struct {
		Target   Target
		Token    uint64
		Cursor   int64
		Deadline time.Duration
		Wait     time.Duration
		SentAt   time.Duration
	}

	// StartRun orders a run.
	StartRun struct {
		Target     Target
		Token      uint64
		Key        pimjob.TaskKey
		Number     int
		Spec       string
		Checkpoint string
		Ticket     string
		Deadline   time.Duration
	}

	// StopRun orders a run to stop, which also keeps it from starting later.
	StopRun struct {
		Target Target
		Token  uint64
		Key    pimjob.TaskKey
		Number int
	}

	// ThrottleRun lets a run work at a share of its speed.
	ThrottleRun struct {
		Target       Target
		Token        uint64
		Key          pimjob.TaskKey
		Number       int
		SpeedPercent int
	}

	// RunStatus is a run that a worker lists. Gauge is its tail latency in milliseconds for a
	// task that serves, and its processor time in thousandths of a core for any other.
	RunStatus struct {
		Key             pimjob.TaskKey
		Number          int
		Checkpoint      string
		ProgressPercent int
		Metric          float64
	}

	// EndedRun is an end that a worker lists. Sequence rises by one in each life.
	EndedRun struct {
		Sequence   int64
		Key        pimjob.TaskKey
		Number     int
		EndKind    pimjob.EndKind
		Checkpoint string
	}

	// Result is what came of a call. Clock is the worker's clock, where it answered.
	Result struct {
		Call    Call
		Outcome Outcome
		Reason  Reason
		Clock   time.Duration
		// Generation is the life that answered a Hold.
		Generation int64
		Running    []RunStatus
		Ended      []EndedRun
	}

	// runID names a run.
	runID struct {
		key    pimjob.TaskKey
		number int
	}

	// trackedRun is what the leader knows of a run on a worker.
	trackedRun struct {
		live  pimjob.LiveRun
		state runState
		// attempts counts calls of the present state; unclear tells that a start may
		// still be carried out later.
		attempts       int
		outcomeUnknown bool
		inFlight       bool
		nextAt         time.Duration
		// closingSince is when the worker said that it will not start the run.
		closingSince time.Duration
		confirmedAt  time.Duration
		stopping     bool
		// status is what was listed last, rowAt and moved are on the worker's clock.
		status             RunStatus
		listedAt           time.Duration
		progressedAt       time.Duration
		speedPercent       int
		wantedSpeedPercent int
	}

	runState uint8
)

// Outcomes of a call.
const (
	// OutcomeUnknown means that the call may or may not have been, or may yet be, carried out.
	OutcomeUnknown Outcome = iota
	OutcomeExecuted
	OutcomeRejected
	// OutcomeUnhealthy means that the worker did nothing and says that it is not well.
	OutcomeUnhealthy
	// OutcomeOtherGeneration means that another life of the worker answered.
	OutcomeOtherGeneration
	// OutcomeNotSent means that the call did not leave this daemon.
	OutcomeNotSent
)

// Reasons of a rejected start.
const (
	ReasonNone Reason = iota
	// ReasonFenced means that the worker follows a later leader.
	ReasonFenced
	// ReasonStaleRun means that this or a later run has ended or was stopped there.
	ReasonStaleRun
	// ReasonDeadlinePassed means that the order's deadline has passed.
	ReasonDeadlinePassed
	ReasonNoCapacity
	ReasonInvalidTicket
	ReasonInvalidRequest
)

const (
	// inherited is a run of an earlier leader, before the worker's first list.
	inherited runState = iota
	starting
	running
	// closing is a run that the worker will not start or has ended; its next list shows.
	closing
)

func (RenewLease) isCall()  {}
func (StartRun) isCall()    {}
func (StopRun) isCall()     {}
func (ThrottleRun) isCall() {}

// TargetOf returns the worker that a call is meant for.
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

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"unclear", "carried", "rejected", "unhealthy", "other-life", "not-sent"}[o]
}

// String returns the reason's name.
func (r Reason) String() string {
	return [...]string{"", "fence", "old", "late", "room", "ticket", "invalid"}[r]
}
