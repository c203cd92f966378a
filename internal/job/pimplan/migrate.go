package pimplan

import (
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

const (
	// speedWindow is the time over which the speed of a best-effort run is measured. It covers two
	// speed changes and the time until they show in reports.
	speedWindow = 2 * time.Second
	// migrationSpeed is the speed below which a best-effort run may be moved, where 1 is the speed
	// that its estimate implies. Estimates are off by a third at most.
	migrationSpeed = 0.35
	// minSpeed keeps the remaining time of a run finite.
	minSpeed = 0.02
	// migrationCost is the assumed delay of a move: the stop, the wait for another host, and the
	// work lost since the last checkpoint.
	migrationCost = time.Second
)

// migrateSlowRuns stops best-effort runs on a host that are throttled or get too little processor
// time and would finish sooner elsewhere. One slow run delays its whole step.
func (p *Planner) migrateSlowRuns(h *host, runs []pimfleet.ObservedRun, plan *Plan) {
	starts := map[pimjob.TaskKey]progressSample{}
	for _, run := range runs {
		_, step, _ := p.state.Task(run.Status.Key)
		if step == nil || !step.BestEffort || step.LongRunning || step.Gang || step.Estimate <= 0 || run.Stopping {
			continue
		}
		start, ok := h.progress.windowStarts[run.Status.Key]
		if !ok {
			start = progressSample{run.Status.ProgressPercent, run.ListedAt}
		}
		if elapsed := run.ListedAt - start.at; elapsed >= speedWindow {
			speed := float64(run.Status.ProgressPercent-start.percent) / 100 * step.Estimate.Seconds() /
				elapsed.Seconds()
			if speed < migrationSpeed && finishesSoonerElsewhere(step, run.Status.ProgressPercent, speed) &&
				p.hasRoomElsewhere(run.Status.Key, step, h) {
				p.unsuitableWorkers[run.Status.Key] = append(p.unsuitableWorkers[run.Status.Key], h.worker.ID)
				plan.Stops = append(plan.Stops, StopRun{
					Worker: h.worker.ID, Key: run.Status.Key, Number: run.Status.Number,
					Reason: "would finish sooner on another host",
				})
			}
			start = progressSample{run.Status.ProgressPercent, run.ListedAt}
		}
		starts[run.Status.Key] = start
	}
	h.progress.windowStarts = starts
}

// hasRoomElsewhere reports whether a host other than from can take the task now. Without one, a run that is stopped waits
// among all others and its work is lost for nothing.
func (p *Planner) hasRoomElsewhere(key pimjob.TaskKey, step *pimjob.Step, from *host) bool {
	job := p.state.Job(key.Job)
	c := candidate{job: job, key: stepKey{key.Job, key.Occurrence, key.Step}}
	return slices.ContainsFunc(p.sortedHosts, func(h *host) bool {
		if h == from || !p.mayRunOn(job, step, h) || slices.Contains(p.unsuitableWorkers[key], h.worker.ID) {
			return false
		}
		_, ok := p.score(c, step, h)
		return ok
	})
}

// finishesSoonerElsewhere compares the remaining time of a run at its present speed with that on
// another host at full speed. A run without checkpoints starts over there.
func finishesSoonerElsewhere(step *pimjob.Step, percent int, speed float64) bool {
	remaining := (1 - float64(percent)/100) * step.Estimate.Seconds()
	elsewhere := step.Estimate.Seconds()
	if step.Checkpoints {
		elsewhere = remaining
	}
	return remaining/max(minSpeed, speed) > elsewhere+migrationCost.Seconds()
}
