package pimfleet

import (
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

func (f *Fleet) onRunStarted(live pimjob.LiveRun) {
	w := f.workers[live.Run.Worker]
	if w == nil || w.worker.Generation != live.Run.Generation {
		return
	}
	run := &trackedRun{live: live, state: starting, committedAt: f.now, speedPercent: 100, wantedSpeedPercent: 100}
	_, step, _ := f.state.Task(live.Key)
	w.addRun(run, step)
	f.unanswered++
	f.advanceRun(w, run)
}

func (f *Fleet) onRunEnded(live pimjob.LiveRun) {
	w := f.workers[live.Run.Worker]
	if w == nil {
		return
	}
	w.dirty = true
	if run := w.runs[runID{live.Key, live.Run.Number}]; run != nil {
		f.onAnswered(run)
		w.removeRun(run)
	}
}

// onAnswered records that a start command of the run had a result, or that none will be sent.
func (f *Fleet) onAnswered(run *trackedRun) {
	if !run.answered {
		run.answered = true
		f.unanswered--
	}
}

// UnansweredStarts returns how many runs have been committed whose first start command has no result yet.
func (f *Fleet) UnansweredStarts() int { return f.unanswered }

func (f *Fleet) stopRunsOfJob(job *pimjob.Job) {
	if job.State == pimjob.Completed {
		return
	}
	id := job.Submission.ID
	for _, w := range f.sortedWorkers {
		for _, run := range w.sortedRuns(func(run *trackedRun) bool { return run.live.Key.Job == id }) {
			f.stopRun(w, run)
		}
	}
}

// sortedRuns returns the runs that match, sorted by task and run number, so that the same input
// gives the same calls.
func (w *workerState) sortedRuns(match func(run *trackedRun) bool) []*trackedRun {
	var runs []*trackedRun
	for _, run := range w.runs {
		if match(run) {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, compareRuns)
	return runs
}

// Stop stops a run on behalf of the planner, which needs its capacity or wants to move it.
func (f *Fleet) Stop(worker string, key pimjob.TaskKey, number int, now time.Duration) {
	f.now = now
	if w := f.workers[worker]; w != nil {
		if run := w.runs[runID{key, number}]; run != nil {
			f.stopRun(w, run)
		}
	}
}

func (f *Fleet) stopRun(w *workerState, run *trackedRun) {
	if run.stopping {
		return
	}
	run.stopping = true
	run.attempts = 0
	run.nextAt = f.now
	f.advanceRun(w, run)
}

// Throttle sets the speed of a run, from 0 (paused) to 100 percent (full speed).
func (f *Fleet) Throttle(worker string, key pimjob.TaskKey, number, percent int, now time.Duration) {
	f.now = now
	if w := f.workers[worker]; w != nil {
		if run := w.runs[runID{key, number}]; run != nil && (run.speedUnknown || run.wantedSpeedPercent != percent) {
			if run.speedUnknown {
				run.speedPercent = unknownSpeed
			}
			run.wantedSpeedPercent = percent
			run.progressedAt = 0
			f.advanceRun(w, run)
		}
	}
}

// advanceRun makes the next call for a run if one is due.
func (f *Fleet) advanceRun(w *workerState, run *trackedRun) {
	w.dirty = true
	defer w.updateDue(run)
	if run.inFlight || f.now < run.nextAt || run.state == closing {
		return
	}
	if w.newGeneration != 0 && !run.stopping {
		run.nextAt = f.now + expiredRetryDelay
		return
	}
	if f.commandsInFlight >= maxCommandsInFlight && run.needsCall() {
		run.nextAt = f.now + retryDelay
		return
	}
	if run.stopping {
		run.attempts++
		f.command(run, StopRun{Target: w.target(), Token: f.token(w.worker.ID), Key: run.live.Key, Number: run.live.Run.Number})
		return
	}
	switch run.state {
	case starting:
		f.startRun(w, run)
	case running:
		if run.speedPercent != run.wantedSpeedPercent {
			f.command(run, ThrottleRun{
				Target: w.target(), Token: f.token(w.worker.ID), Key: run.live.Key, Number: run.live.Run.Number,
				SpeedPercent: run.wantedSpeedPercent,
			})
		}
	case inherited, closing:
	}
}

func (f *Fleet) startRun(w *workerState, run *trackedRun) {
	task, _, job := f.state.Task(run.live.Key)
	if task == nil || job.State.IsEnded() {
		f.stopRun(w, run)
		return
	}
	if reason := f.reasonNotToStart(w); reason != "" {
		f.recordDecision("stopping a run whose start has waited until its worker gets no new ones", w.worker.ID,
			runID{run.live.Key, run.live.Run.Number}, reason)
		f.stopRun(w, run)
		return
	}
	// A start to a worker that does not respond would postpone the end of its lease with each try.
	if !w.reachable || !w.hasClock || f.commandsInFlight >= maxStartsInFlight {
		run.nextAt = f.now + retryDelay
		return
	}
	if !f.isCapacityCurrent(w, f.now) {
		f.awaitCapacity(w, run)
		return
	}
	run.awaitsCapacitySince = 0
	if !w.hasCapacity() {
		f.recordDecision(
			"stopping a run that the worker's capacity no longer holds", w.worker.ID, runID{run.live.Key, run.live.Run.Number}, "",
		)
		f.stopRun(w, run)
		return
	}
	run.attempts++
	run.sentBefore, run.startSentAt = run.startSentAt, f.now
	f.command(run, StartRun{
		Target: w.target(), Token: f.token(w.worker.ID), Key: run.live.Key, Number: run.live.Run.Number,
		Spec: job.Submission.Spec, Checkpoint: task.Checkpoint, Deadline: f.startDeadline(w),
	})
}

// reasonNotToStart returns why a start that was committed before must not be sent to a worker any more, or "". An earlier
// attempt of it may have been executed, so that the run is stopped.
func (f *Fleet) reasonNotToStart(w *workerState) string {
	switch {
	case f.state.IsOutOfService(w.worker.Domain):
		return "its failure domain is out of service"
	case w.worker.Draining:
		return "it drains"
	}
	return ""
}

// command makes a call for a run.
func (f *Fleet) command(run *trackedRun, call Call) {
	run.inFlight = true
	f.commandsInFlight++
	f.calls = append(f.calls, call)
}

// needsCall reports whether a call for the run is to be made at nextAt.
func (run *trackedRun) needsCall() bool {
	if run.inFlight || run.state == closing {
		return false
	}
	return run.stopping || run.state == starting || (run.state == running && run.speedPercent != run.wantedSpeedPercent)
}
