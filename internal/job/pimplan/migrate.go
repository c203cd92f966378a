package pimplan

import (
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimstop"
)

const (
	// speedWindow is the time over which the speed of a best-effort run is measured. It covers two
	// speed changes and the time until they show in reports.
	speedWindow = 2 * time.Second
	// migrationSpeed is the speed below which a best-effort run may be moved, where 1 is the speed
	// that its estimate implies. Estimates that are not known to be wrong are off by a third at most. For others, 1 is
	// the speed at which the run needs the longest duration that it plausibly has.
	migrationSpeed = 0.35
	// minSpeed keeps the remaining time of a run finite.
	minSpeed = 0.02
	// migrationCost is the assumed delay of a move: the stop, the wait for another host, and the
	// work lost since the last checkpoint.
	migrationCost = time.Second
)

// migrateSlowRuns stops best-effort runs on a host that are throttled or get too little processor
// time and would finish sooner elsewhere. One slow run delays its whole step.
func (p *Planner) migrateSlowRuns(now time.Duration, h *host, runs []pimfleet.ObservedRun, plan *Plan) {
	starts := map[pimjob.TaskKey]progressSample{}
	for _, run := range runs {
		_, step, job := p.state.Task(run.Status.Key)
		if step == nil || !step.BestEffort || step.LongRunning || step.Gang || step.Estimate <= 0 || run.Stopping {
			continue
		}
		start, ok := h.progress.windowStarts[run.Status.Key]
		if !ok {
			start = progressSample{run.Status.ProgressPercent, run.ListedAt}
		}
		if elapsed := run.ListedAt - start.at; elapsed >= speedWindow {
			longest := p.assumedDuration(job, run.Status.Key, h, longDuration)
			speed := float64(run.Status.ProgressPercent-start.percent) / 100 * longest.Seconds() / elapsed.Seconds()
			if speed < migrationSpeed && finishesSoonerElsewhere(step, longest, run.Status.ProgressPercent, speed) &&
				p.hasRoomElsewhere(run.Status.Key, step, h) {
				left := 1 - float64(run.Status.ProgressPercent)/100
				here := time.Duration(left / max(minSpeed, speed) * float64(longest))
				p.stop(now, h, run, stopRequest{reason: pimstop.BetterHost, here: here, avoidHost: true}, plan)
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
	return p.roomElsewhere(key, step, from) != nil
}

// roomElsewhere returns the first host other than from that can take the task now, or nil.
func (p *Planner) roomElsewhere(key pimjob.TaskKey, step *pimjob.Step, from *host) *host {
	job := p.state.Job(key.Job)
	c := candidate{job: job, key: stepKey{key.Job, key.Occurrence, key.Step}}
	var found *host
	p.eachWithRoom(job, step, func(h *host) bool {
		if h != from && !slices.Contains(p.unsuitable(key), h.worker.ID) {
			if _, ok := p.score(c, step, h); ok {
				found = h
			}
		}
		return found == nil
	})
	return found
}

// finishesSoonerElsewhere compares the remaining time of a run at its present speed with that on
// another host at full speed, where it needs the given duration. A run without checkpoints starts over there.
func finishesSoonerElsewhere(step *pimjob.Step, duration time.Duration, percent int, speed float64) bool {
	remaining := (1 - float64(percent)/100) * duration.Seconds()
	elsewhere := duration.Seconds()
	if step.Checkpoints {
		elsewhere = remaining
	}
	return remaining/max(minSpeed, speed) > elsewhere+migrationCost.Seconds()
}
