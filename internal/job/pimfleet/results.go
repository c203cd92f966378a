package pimfleet

import (
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

// OnResult handles the result of a call.
func (f *Fleet) OnResult(result Result, now time.Duration) {
	f.now = now
	target := TargetOf(result.Call)
	renewal, isRenewal := result.Call.(RenewLease)
	if !isRenewal {
		f.commandsInFlight--
	}
	w := f.workers[target.ID]
	if w != nil && w.isForClaim(result.Call) {
		f.onClaimResult(w, result)
		return
	}
	if w == nil || w.worker.Generation != target.Generation {
		return
	}
	if isRenewal && target.Address != w.worker.Address && target.Address != w.renewedAddress {
		// It asked the worker for a claim that is no longer of interest.
		return
	}
	w.dirty = true
	f.observeContact(w, result)
	switch {
	case result.Outcome == OutcomeOtherGeneration:
		f.recordDecision("another generation of the worker rejected the call", w.worker.ID, runID{}, "")
		w.renewing = false
		w.reachable = false
		if run := w.runs[runOf(result.Call)]; run != nil {
			run.inFlight = false
			w.updateDue(run)
		}
		f.proposeDrop(w)
	case isRenewal:
		f.onRenewalResult(w, renewal, result)
	default:
		f.onCommandResult(w, result)
	}
}

// runOf returns the run that a call is for, which is empty for a RenewLease.
func runOf(call Call) runID {
	switch call := call.(type) {
	case StartRun:
		return runID{call.Key, call.Number}
	case StopRun:
		return runID{call.Key, call.Number}
	case ThrottleRun:
		return runID{call.Key, call.Number}
	case RenewLease:
	}
	return runID{}
}

func (f *Fleet) onCommandResult(w *workerState, result Result) {
	id := runOf(result.Call)
	run := w.runs[id]
	if run == nil {
		delete(w.strayStops, id)
		return
	}
	switch call := result.Call.(type) {
	case StartRun:
		if result.Outcome != OutcomeNotSent {
			f.onAnswered(run)
		}
		f.onStartResult(w, run, result)
	case StopRun:
		f.onStopResult(run, result)
	case ThrottleRun:
		f.onThrottleResult(w, run, call, result)
	case RenewLease:
	}
	w.updateDue(run)
}

func (f *Fleet) onRenewalResult(w *workerState, call RenewLease, result Result) {
	w.renewing = false
	if result.Outcome == OutcomeExecuted {
		f.observeGeneration(w.worker.ID, result.Generation)
	}
	if result.Outcome != OutcomeExecuted {
		f.onRenewalFailed(w, result)
		if result.Outcome != OutcomeNotSent {
			f.onSilenceAfterLeave(w)
		}
		return
	}
	if result.Generation != w.worker.Generation {
		if f.fenceNewGeneration(w, call, result) {
			f.proposeDrop(w)
		}
		return
	}
	w.newGeneration = 0
	f.onFirstResponse(w)
	w.ends.acknowledged = max(w.ends.acknowledged, call.Cursor)
	w.setClock(result.Clock, f.now)
	w.dropImplausibleClocks()
	w.failures = 0
	w.reachable = true
	w.renewAt = f.now
	w.listedAt = w.clock
	f.onResponseAfterLeave(w, call)
	listed := f.recordRunning(w, result.Running)
	f.updated[w.worker.ID] = true
	f.proposeEnds(w, result.Ended, listed)
	if !result.Incomplete {
		f.resolveMissing(w, call.SentAt, listed)
	}
	if w.ends.areCommitted() {
		f.renewLease(w)
	}
}

func (f *Fleet) onRenewalFailed(w *workerState, result Result) {
	if result.Outcome == OutcomeNotSent {
		w.renewAt = f.now + retryDelay
		return
	}
	if w.reachable {
		f.recordDecision(
			"lease renewal of the worker failed", w.worker.ID, runID{}, result.Outcome.String()+" "+result.Reason.String(),
		)
	}
	w.reachable = false
	w.failures++
	w.renewAt = f.now
	if w.failures > 1 {
		w.renewAt = f.now + unreachableRetryDelay
	}
	if w.leaseExpired {
		w.renewAt = f.now + expiredRetryDelay
	}
}

// recordRunning records a worker's list of running runs, stops listed runs that the log no longer
// holds, and returns the IDs of all listed runs.
func (f *Fleet) recordRunning(w *workerState, statuses []RunStatus) map[runID]bool {
	listed := make(map[runID]bool, len(statuses))
	for _, status := range statuses {
		id := runID{status.Key, status.Number}
		listed[id] = true
		run := w.runs[id]
		if run == nil {
			f.stopStray(w, id)
			continue
		}
		f.recordStatus(w, run, status)
	}
	return listed
}

// stopStray stops a run that the worker lists and the log does not hold.
func (f *Fleet) stopStray(w *workerState, id runID) {
	if w.strayStops[id] || len(w.strayStops) >= maxStrayStops || f.commandsInFlight >= maxCommandsInFlight {
		return
	}
	w.strayStops[id] = true
	f.commandsInFlight++
	f.recordDecision("stopping a run that the worker lists and the log does not hold", w.worker.ID, id, "")
	f.calls = append(f.calls, StopRun{Target: w.target(), Token: f.token(w.worker.ID), Key: id.key, Number: id.number})
}

func (f *Fleet) recordStatus(w *workerState, run *trackedRun, status RunStatus) {
	if run.progressedAt == 0 || status.ProgressPercent != run.status.ProgressPercent ||
		status.Checkpoint != run.status.Checkpoint {
		run.progressedAt = w.clock
	}
	if status.Checkpoint != "" && status.Checkpoint != run.status.Checkpoint {
		if task, _, _ := f.state.Task(status.Key); task != nil && task.Checkpoint != status.Checkpoint {
			f.ops = append(f.ops, pimjob.SaveCheckpoint{
				Key: status.Key, Number: status.Number, Checkpoint: status.Checkpoint,
			})
		}
	}
	run.status, run.listedAt = status, w.clock
	if run.state == inherited || run.state == starting {
		f.confirmRun(run)
		w.updateDue(run)
	}
	if _, _, job := f.state.Task(status.Key); job == nil || (job.State.IsEnded() && job.State != pimjob.Completed) {
		f.stopRun(w, run)
	}
}

func (f *Fleet) confirmRun(run *trackedRun) {
	run.state = running
	run.mayHaveBegun = true
	run.outcomeUnknown = false
	run.confirmedAt = f.now
	f.reportBegin(run.live)
}

// reportBegin proposes to record that the job of a run has begun.
func (f *Fleet) reportBegin(live pimjob.LiveRun) {
	_, _, job := f.state.Task(live.Key)
	if job == nil || job.Begun || f.begun[live.Key.Job] {
		return
	}
	f.begun[live.Key.Job] = true
	f.ops = append(f.ops, pimjob.ConfirmBegin{Key: live.Key, Number: live.Run.Number})
}

// proposeEnd proposes an end that a worker has listed.
func (f *Fleet) proposeEnd(w *workerState, run *trackedRun, end EndedRun) {
	f.reportBegin(run.live)
	f.ops = append(f.ops, pimjob.End{
		Key: end.Key, Number: end.Number, Worker: w.worker.ID, Generation: w.worker.Generation,
		Kind: end.EndKind, Checkpoint: end.Checkpoint,
	})
}

// resolveMissing handles the tracked runs that complete lists do not show. A run that the worker confirmed
// not to start has ended as refused. For a run that should be listed, the start command is sent
// again with the same run number: the worker starts the run or rejects it as ended.
func (f *Fleet) resolveMissing(w *workerState, sentAt time.Duration, listed map[runID]bool) {
	missing := func(run *trackedRun) bool { return !run.inFlight && !listed[runID{run.live.Key, run.live.Run.Number}] }
	for _, run := range w.sortedRuns(missing) {
		id := runID{run.live.Key, run.live.Run.Number}
		switch {
		case run.state == closing && run.closingSince < sentAt:
			f.recordDecision("run ended as refused: the worker will not start it", w.worker.ID, id, "")
			f.proposeRefusedEnd(w, run)
			run.closingSince = f.now
		case run.state == inherited || (run.state == running && run.confirmedAt < sentAt):
			run.state = starting
			run.attempts = 0
			run.outcomeUnknown = true
			run.nextAt = f.now
			f.advanceRun(w, run)
		}
	}
}

func (f *Fleet) proposeRefusedEnd(w *workerState, run *trackedRun) {
	f.ops = append(f.ops, pimjob.End{
		Key: run.live.Key, Number: run.live.Run.Number, Worker: w.worker.ID, Generation: w.worker.Generation,
		Kind: pimjob.EndRefused,
	})
}

func (f *Fleet) onStartResult(w *workerState, run *trackedRun, result Result) {
	run.inFlight = false
	if result.Clock > 0 {
		w.setClock(result.Clock, f.now)
	}
	if run.state != starting {
		f.advanceRun(w, run)
		return
	}
	switch result.Outcome {
	case OutcomeExecuted:
		f.confirmRun(run)
		if w.markedSilent {
			f.markSilent(w, run.live.Key)
		}
		f.advanceRun(w, run)
	case OutcomeRejected, OutcomeUnhealthy:
		f.onStartRejected(w, run, result)
	case OutcomeUnknown, OutcomeOtherGeneration:
		run.outcomeUnknown, run.mayHaveBegun = true, true
		run.nextAt = f.now + retryDelay
		if run.attempts >= maxStartAttempts {
			f.recordDecision(
				"stopping a run whose start commands got no response", w.worker.ID, runID{run.live.Key, run.live.Run.Number}, "",
			)
			f.stopRun(w, run)
		}
	case OutcomeNotSent:
		run.startSentAt = run.sentBefore
		run.nextAt = f.now + retryDelay
	}
}

func (f *Fleet) onStartRejected(w *workerState, run *trackedRun, result Result) {
	id := runID{run.live.Key, run.live.Run.Number}
	f.recordDecision(
		"worker rejected the start of a run", w.worker.ID, id, result.Outcome.String()+" "+result.Reason.String(),
	)
	if result.Reason == ReasonFenced {
		run.outcomeUnknown = true
		run.nextAt = f.now + expiredRetryDelay
		return
	}
	if result.Outcome == OutcomeUnhealthy || result.Reason == ReasonNoCapacity {
		w.unhealthyUntil = f.now + unhealthyBackoff
	}
	switch {
	case result.Reason == ReasonStaleRun:
		run.state = closing
		run.closingSince = f.now
	case run.outcomeUnknown:
		f.stopRun(w, run)
	default:
		run.state = closing
		run.closingSince = f.now
		f.proposeRefusedEnd(w, run)
	}
}

func (f *Fleet) onStopResult(run *trackedRun, result Result) {
	run.inFlight = false
	switch result.Outcome {
	case OutcomeExecuted:
		run.state = closing
		run.closingSince = f.now
	default:
		run.nextAt = f.now + min(expiredRetryDelay, retryDelay*time.Duration(run.attempts))
	}
}

func (f *Fleet) onThrottleResult(w *workerState, run *trackedRun, call ThrottleRun, result Result) {
	run.inFlight = false
	if result.Outcome == OutcomeExecuted {
		run.speedPercent, run.speedUnknown = call.SpeedPercent, false
	} else {
		run.nextAt = f.now + retryDelay
	}
	f.advanceRun(w, run)
}
