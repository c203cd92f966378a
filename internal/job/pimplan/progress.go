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
		samples map[pimjob.TaskKey]progressSample
		// windowStarts hold where the filling runs were when their speed was last judged.
		windowStarts map[pimjob.TaskKey]progressSample
		speed        float64
		speedSamples int
	}

	progressSample struct {
		percent int
		at      time.Duration
	}
)

const (
	// minStallTime and stallShare bound how long a run may stand still: a time, and a share
	// of its estimate. At an eighth of its speed a run still moves by a percent in an
	// eighth of that share.
	minStallTime       = 1200 * time.Millisecond
	stallEstimateShare = 0.3
	// slowHostSpeed is the speed below which a host counts as slow. Estimates are off by a
	// third at most; the users' platform shows slow hosts at a quarter of their speed and less.
	slowHostSpeed = 0.3
	// speedSmoothing is that of a new figure in a host's speed; slowSamples are needed to judge.
	speedSmoothing  = 0.3
	minSpeedSamples = 3
	// minRemainingEstimates is how many estimates of its work a run on a slow host must still need to be
	// moved, since another host begins anew.
	minRemainingEstimates = 1.4
)

// checkProgress finds runs that stand still or are slow on a sound-looking host, stops them to
// be started elsewhere, and keeps new ones away for a while.
func (p *Planner) checkProgress(now time.Duration, h *host, rows []pimfleet.ObservedRun, plan *Plan) {
	state := &h.progress
	marks := make(map[pimjob.TaskKey]progressSample, len(rows))
	stalled := false
	for _, view := range rows {
		key := view.Status.Key
		_, step, _ := p.state.Task(key)
		if step == nil || step.LongRunning || step.Estimate <= 0 || step.Gang || view.SpeedPercent == 0 || view.Stopping {
			continue
		}
		mark, ok := state.samples[key]
		if !ok || view.ListedAt-mark.at >= minReportGap {
			if ok && !step.BestEffort && hasLocalData(step, h) && mark.percent > 0 {
				state.addSpeed(float64(view.Status.ProgressPercent-mark.percent) / 100 * step.Estimate.Seconds() / (view.ListedAt - mark.at).Seconds())
			}
			mark = progressSample{view.Status.ProgressPercent, view.ListedAt}
		}
		marks[key] = mark
		if view.ListedAt-view.ProgressedAt > max(minStallTime, time.Duration(stallEstimateShare*float64(step.Estimate))) {
			// A filling task may find no processor time on a sound host.
			stalled = stalled || !step.BestEffort
			plan.Stops = append(plan.Stops, StopRun{Worker: h.worker.ID, Key: key, Number: view.Status.Number, Reason: "stands still"})
		}
	}
	state.samples = marks
	if stalled {
		h.failures.backOff(now)
		return
	}
	if state.speedSamples >= minSpeedSamples && state.speed < slowHostSpeed {
		p.evacuateSlowHost(now, h, rows, plan)
	}
}

// hasLocalData reports whether a task of the step works at its full speed on a sound host.
func hasLocalData(step *pimjob.Step, h *host) bool {
	return step.PreferredLabel == "" || h.worker.HasLabel(step.PreferredLabel)
}

// addSpeed takes in the speed of a run over some time.
func (s *progressState) addSpeed(speed float64) {
	if s.speedSamples == 0 {
		s.speed = 1
	}
	s.speed += speedSmoothing * (speed - s.speed)
	s.speedSamples++
}

// evacuateSlowHost stops the runs on a slow host that would be done sooner elsewhere.
func (p *Planner) evacuateSlowHost(now time.Duration, h *host, rows []pimfleet.ObservedRun, plan *Plan) {
	h.failures.backOff(now)
	speed := max(0.05, h.progress.speed)
	h.progress.speedSamples = 0
	for _, view := range rows {
		_, step, _ := p.state.Task(view.Status.Key)
		if step == nil || step.LongRunning || step.Gang || step.Estimate <= 0 || view.Stopping {
			continue
		}
		if left := (1 - float64(view.Status.ProgressPercent)/100) / speed; left > minRemainingEstimates {
			plan.Stops = append(plan.Stops, StopRun{Worker: h.worker.ID, Key: view.Status.Key, Number: view.Status.Number, Reason: "host is slow"})
		}
	}
}
