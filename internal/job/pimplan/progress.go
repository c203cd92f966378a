package pimplan

import (
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimhealth"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimstop"
)

type (
	// progressState tracks how fast runs progress on a host. Speed 1 is the speed that a task's
	// estimate implies, or the learned duration where estimates are known to be wrong.
	progressState struct {
		samples map[pimjob.TaskKey]progressSample
		// windowStarts are the samples from which the speed of each best-effort run is measured
		// next.
		windowStarts map[pimjob.TaskKey]progressSample
		// speed is a moving average over the runs of the host, from speedSamples samples.
		speed        float64
		speedSamples int
	}

	// progressSample is the progress of a run at a time on the worker's clock.
	progressSample struct {
		percent int
		at      time.Duration
	}
)

const (
	// A run is stalled if it makes no progress for minStallTime and for stallEstimateShare of its
	// estimate. At an eighth of full speed a run still gains a percent in 0.08 of its estimate.
	minStallTime       = 1200 * time.Millisecond
	stallEstimateShare = 0.3
	// slowHostSpeed is the speed below which a host is slow. Estimates that are not known to be wrong are off by a
	// third at most, and on the target platform slow hosts work at a quarter of full speed or less.
	slowHostSpeed = 0.3
	// speedSmoothing is the weight of a new sample in a host's speed, which is used from
	// minSpeedSamples samples on.
	speedSmoothing  = 0.3
	minSpeedSamples = 3
	// minRemainingEstimates is the remaining time, in multiples of its estimate, from which a run on
	// a slow host is moved. It is above 1 because the run starts over on another host.
	minRemainingEstimates = 1.4
)

// checkProgress stops runs that stall or progress slowly on a host that looks healthy otherwise, so
// that they start elsewhere, and keeps new runs away from the host for a while.
func (p *Planner) checkProgress(now time.Duration, h *host, runs []pimfleet.ObservedRun, plan *Plan) {
	state := &h.progress
	samples := make(map[pimjob.TaskKey]progressSample, len(runs))
	stalled := false
	for _, run := range runs {
		key := run.Status.Key
		_, step, job := p.state.Task(key)
		if step == nil || step.LongRunning || step.Estimate <= 0 || step.Gang || run.SpeedPercent == 0 ||
			run.SpeedUnknown || run.Stopping {
			continue
		}
		sample, ok := state.samples[key]
		if !ok || run.ListedAt-sample.at >= minReportGap {
			if ok && !step.BestEffort && hasLocalData(step, h) && sample.percent > 0 {
				state.addSpeed(float64(run.Status.ProgressPercent-sample.percent) / 100 *
					p.assumedDuration(job, key, h, 0.5).Seconds() /
					(run.ListedAt - sample.at).Seconds())
			}
			sample = progressSample{run.Status.ProgressPercent, run.ListedAt}
		}
		samples[key] = sample
		if still := run.ListedAt - run.ProgressedAt; still > minStallTime &&
			still > time.Duration(stallEstimateShare*float64(p.assumedDuration(job, key, h, longDuration))) {
			// A best-effort task may get no processor time on a healthy host.
			stalled = stalled || !step.BestEffort
			p.stop(now, h, run, stopRequest{reason: pimstop.NoProgress, here: stalledRemaining}, plan)
		}
	}
	state.samples = samples
	if stalled {
		p.health.OnSymptom(h.worker.ID, pimhealth.Stalled, now)
		return
	}
	if state.speedSamples >= minSpeedSamples && state.speed < slowHostSpeed {
		p.evacuateSlowHost(now, h, runs, plan)
	}
}

// hasLocalData reports whether tasks of the step run at full speed on a healthy host, without
// reading remote data.
func hasLocalData(step *pimjob.Step, h *host) bool {
	return step.PreferredLabel == "" || h.worker.HasLabel(step.PreferredLabel)
}

// addSpeed adds a sample of a run's speed.
func (s *progressState) addSpeed(speed float64) {
	if s.speedSamples == 0 {
		s.speed = 1
	}
	s.speed += speedSmoothing * (speed - s.speed)
	s.speedSamples++
}

// evacuateSlowHost stops the runs on a slow host that would finish sooner elsewhere.
func (p *Planner) evacuateSlowHost(now time.Duration, h *host, runs []pimfleet.ObservedRun, plan *Plan) {
	p.health.OnSymptom(h.worker.ID, pimhealth.Slow, now)
	// At least 0.05 keeps the remaining time of a run finite.
	speed := max(0.05, h.progress.speed)
	h.progress.speedSamples = 0
	for _, run := range runs {
		_, step, job := p.state.Task(run.Status.Key)
		if step == nil || step.LongRunning || step.Gang || step.Estimate <= 0 || run.Stopping {
			continue
		}
		left := 1 - float64(run.Status.ProgressPercent)/100
		if left/speed > minRemainingEstimates {
			here := time.Duration(left / speed * float64(p.assumedDuration(job, run.Status.Key, h, 0.5)))
			p.stop(now, h, run, stopRequest{reason: pimstop.HostSlow, here: here}, plan)
		}
	}
}
