package pimplan

import (
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// progressState is what is known of how fast runs go on at a host. Speed 1 is what
	// the tasks' estimates say.
	progressState struct {
		marks map[pimjob.TaskKey]progressMark
		// windows hold where the filling runs were when their speed was last judged.
		windows map[pimjob.TaskKey]progressMark
		speed   float64
		known   int
	}

	progressMark struct {
		percent int
		at      time.Duration
	}
)

const (
	// stallLeast and stallShare bound how long a run may stand still: a time, and a share
	// of its estimate. At an eighth of its speed a run still moves by a percent in an
	// eighth of that share.
	stallLeast = 1200 * time.Millisecond
	stallShare = 0.3
	// slowSpeed is the speed below which a host counts as slow. Estimates are off by a
	// third at most; the users' platform shows slow hosts at a quarter of their speed and less.
	slowSpeed = 0.3
	// speedWeight is that of a new figure in a host's speed; slowSamples are needed to judge.
	speedWeight = 0.3
	slowSamples = 3
	// slowGain is how many estimates of its work a run on a slow host must still need to be
	// moved, since another host begins anew.
	slowGain = 1.4
)

// watch finds runs that stand still or are slow on a sound-looking host, stops them to
// be started elsewhere, and keeps new ones away for a while.
func (p *Planner) watch(now time.Duration, h *host, rows []pimfleet.ObservedRun, plan *Plan) {
	state := &h.progress
	marks := make(map[pimjob.TaskKey]progressMark, len(rows))
	stalled := false
	for _, view := range rows {
		key := view.Status.Key
		_, step, _ := p.state.Task(key)
		if step == nil || step.LongRunning || step.Estimate <= 0 || step.Gang || view.SpeedPercent == 0 || view.Stopping {
			continue
		}
		mark, ok := state.marks[key]
		if !ok || view.ListedAt-mark.at >= minGap {
			if ok && !step.BestEffort && isNearData(step, h) && mark.percent > 0 {
				state.note(float64(view.Status.ProgressPercent-mark.percent) / 100 * step.Estimate.Seconds() / (view.ListedAt - mark.at).Seconds())
			}
			mark = progressMark{view.Status.ProgressPercent, view.ListedAt}
		}
		marks[key] = mark
		if view.ListedAt-view.ProgressedAt > max(stallLeast, time.Duration(stallShare*float64(step.Estimate))) {
			// A filling task may find no processor time on a sound host.
			stalled = stalled || !step.BestEffort
			plan.Stops = append(plan.Stops, StopRun{Worker: h.worker.ID, Key: key, Number: view.Status.Number, Reason: "stands still"})
		}
	}
	state.marks = marks
	if stalled {
		h.record.strike(now)
		return
	}
	if state.known >= slowSamples && state.speed < slowSpeed {
		p.leaveSlow(now, h, rows, plan)
	}
}

// isNearData reports whether a task of the step works at its full speed on a sound host.
func isNearData(step *pimjob.Step, h *host) bool {
	return step.PreferredLabel == "" || h.worker.HasLabel(step.PreferredLabel)
}

// note takes in the speed of a run over some time.
func (s *progressState) note(speed float64) {
	if s.known == 0 {
		s.speed = 1
	}
	s.speed += speedWeight * (speed - s.speed)
	s.known++
}

// leaveSlow stops the runs on a slow host that would be done sooner elsewhere.
func (p *Planner) leaveSlow(now time.Duration, h *host, rows []pimfleet.ObservedRun, plan *Plan) {
	h.record.strike(now)
	speed := max(0.05, h.progress.speed)
	h.progress.known = 0
	for _, view := range rows {
		_, step, _ := p.state.Task(view.Status.Key)
		if step == nil || step.LongRunning || step.Gang || step.Estimate <= 0 || view.Stopping {
			continue
		}
		if left := (1 - float64(view.Status.ProgressPercent)/100) / speed; left > slowGain {
			plan.Stops = append(plan.Stops, StopRun{Worker: h.worker.ID, Key: view.Status.Key, Number: view.Status.Number, Reason: "host is slow"})
		}
	}
}
