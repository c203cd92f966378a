// Package pimstop decides whether the planner may stop a run so that it starts again on another host. A stop must save
// more time than it costs, a task is not stopped twice within its expected duration, and the work that stops discard is
// limited. The package reads no clock and is deterministic.
package pimstop

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// Reason is why the planner wants to stop a run.
	Reason string

	// Refusal is why a stop is refused, or "".
	Refusal string

	// Stop is a run that the planner wants to stop.
	Stop struct {
		Key    pimjob.TaskKey
		Number int
		Reason Reason
		// Here is the time that the run still needs where it is, at its present speed. There is the time that the task
		// needs on another host, with the wait until it starts there and the work that it has to repeat.
		Here, There time.Duration
		// Discarded is the work that the stop discards, in core-seconds.
		Discarded float64
		// Expected is the duration of the task at full speed.
		Expected time.Duration
		// EstimateAccurate is set while the estimates of the queue are not known to be wrong. The planner's own
		// thresholds then suffice: such stops are counted and not refused.
		EstimateAccurate bool
	}

	// Refused is a refused stop with the number of stops that were refused for this reason since the last report.
	Refused struct {
		Stop    Stop
		Refusal Refusal
		Count   int
	}

	// Report is what a budget has to tell since the last report. A stop has paid off if the task ended no later than
	// it was expected to end without the stop.
	Report struct {
		// Refused holds the newest refused stop of each class, each class at most once in reportInterval.
		Refused             []Refused
		PaidOff, NotPaidOff int
		// Discarded is the work in core-seconds that stops have discarded.
		Discarded float64
	}

	// Budget decides on stops during one term of leadership.
	Budget struct {
		// available are the core-seconds that may be discarded now.
		available float64
		updatedAt time.Duration
		started   bool
		// stopped holds the newest stop of each task that has not ended since.
		stopped map[pimjob.TaskKey]pastStop
		refused map[refusalClass]*refusedClass
		report  Report
	}

	pastStop struct {
		number      int
		at          time.Duration
		expected    time.Duration
		endExpected time.Duration
	}

	refusalClass struct {
		reason  Reason
		refusal Refusal
	}

	refusedClass struct {
		newest     Stop
		count      int
		reportedAt time.Duration
		reported   bool
	}
)

// Reasons for a stop. Operators see them in the log.
const (
	NoProgress Reason = "makes no progress"
	HostSlow   Reason = "host is slow"
	BetterHost Reason = "would finish sooner on another host"
	// HostLeaving is why a run is stopped that would be lost with its host. Such stops are counted and not refused, and
	// what they discard doesn't count against the budget, since it would be lost without the stop as well.
	HostLeaving Reason = "host is leaving"
)

// Reasons for the refusal of a stop.
const (
	NoGain        Refusal = "gains too little"
	StoppedBefore Refusal = "was stopped within its expected duration"
	BudgetIsSpent Refusal = "too much work was discarded"
	// NoRoom is decided by the planner, which knows the hosts.
	NoRoom         Refusal = "no other host has room"
	reportInterval         = time.Second
)

const (
	// hysteresis is the factor by which the time needed here must exceed that needed on another host. Both come from
	// reports with a resolution of a percent and from a quantile of the duration, and are off by up to a fifth.
	hysteresis = 1.25
	// maxDiscardedShare is the share of the capacity of the usable hosts that stops may discard, over budgetWindow.
	maxDiscardedShare = 0.01
	budgetWindow      = time.Minute
)

// NewBudget returns a full budget.
func NewBudget() *Budget {
	return &Budget{stopped: map[pimjob.TaskKey]pastStop{}, refused: map[refusalClass]*refusedClass{}}
}

// Allow decides on a stop and counts it. Cores is the capacity of the usable hosts. Asking again for the same run has no
// effect.
func (b *Budget) Allow(stop Stop, cores float64, now time.Duration) (bool, Refusal) {
	b.refill(cores, now)
	before, stoppedBefore := b.stopped[stop.Key]
	if stoppedBefore && before.number == stop.Number {
		return true, ""
	}
	if refusal := b.refusalOf(stop, before, stoppedBefore, cores, now); refusal != "" {
		b.Refuse(stop, refusal)
		return false, refusal
	}
	if stoppedBefore {
		b.report.NotPaidOff++
	}
	if stop.Reason != HostLeaving {
		b.available -= stop.Discarded
	}
	b.report.Discarded += stop.Discarded
	b.stopped[stop.Key] = pastStop{
		number: stop.Number, at: now, expected: stop.Expected, endExpected: now + stop.Here,
	}
	return true, ""
}

// Refuse counts a stop that is refused.
func (b *Budget) Refuse(stop Stop, refusal Refusal) {
	class := refusalClass{stop.Reason, refusal}
	if b.refused[class] == nil {
		b.refused[class] = &refusedClass{}
	}
	b.refused[class].newest = stop
	b.refused[class].count++
}

func (b *Budget) refusalOf(stop Stop, before pastStop, stoppedBefore bool, cores float64, now time.Duration) Refusal {
	switch {
	case stop.EstimateAccurate, stop.Reason == HostLeaving:
		return ""
	case stoppedBefore && now-before.at < max(before.expected, stop.Expected):
		return StoppedBefore
	case stop.Reason == NoProgress:
		// Such a run never ends.
		return ""
	case float64(stop.Here) <= hysteresis*float64(stop.There):
		return NoGain
	case stop.Discarded > b.available && b.available < limit(cores):
		// A stop that exceeds the whole budget is allowed while the budget is full.
		return BudgetIsSpent
	default:
		return ""
	}
}

func limit(cores float64) float64 { return maxDiscardedShare * cores * budgetWindow.Seconds() }

// refill adds the core-seconds of the time since the last call.
func (b *Budget) refill(cores float64, now time.Duration) {
	full := limit(cores)
	if !b.started {
		b.started, b.available, b.updatedAt = true, full, now
	}
	b.available = min(full, b.available+full*float64(now-b.updatedAt)/float64(budgetWindow))
	b.updatedAt = now
}

// OnEnd judges the stop of a task when a run has completed it. A run that completes although it was to be stopped says
// nothing about the stop.
func (b *Budget) OnEnd(key pimjob.TaskKey, number int, now time.Duration) {
	stop, ok := b.stopped[key]
	if !ok {
		return
	}
	delete(b.stopped, key)
	switch {
	case number == stop.number:
	case now <= stop.endExpected:
		b.report.PaidOff++
	default:
		b.report.NotPaidOff++
	}
}

// Forget removes the stops of a job that has ended, without judging them.
func (b *Budget) Forget(job string) {
	maps.DeleteFunc(b.stopped, func(key pimjob.TaskKey, _ pastStop) bool { return key.Job == job })
}

// TakeReport returns what has happened since the last call.
func (b *Budget) TakeReport(now time.Duration) Report {
	report := b.report
	b.report = Report{}
	for class, refused := range b.refused {
		if refused.count == 0 || (refused.reported && now-refused.reportedAt < reportInterval) {
			continue
		}
		report.Refused = append(report.Refused, Refused{refused.newest, class.refusal, refused.count})
		refused.count, refused.reported, refused.reportedAt = 0, true, now
	}
	slices.SortFunc(report.Refused, func(a, b Refused) int {
		return cmp.Or(cmp.Compare(a.Stop.Reason, b.Stop.Reason), cmp.Compare(a.Refusal, b.Refusal))
	})
	return report
}
