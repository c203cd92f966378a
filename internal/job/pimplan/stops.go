package pimplan

import (
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimstop"
)

// stopRequest is what a rule of the planner gives as grounds for a stop. Here is the time that the run still needs on its
// host. With avoidHost, the task does not return to the host while another can take it.
type stopRequest struct {
	reason    pimstop.Reason
	here      time.Duration
	avoidHost bool
	// lostHere means that the run is lost after here and starts again on another host then.
	lostHere bool
}

const (
	// restartQuantile is the quantile of the duration that is assumed for a run that starts again. It is above the
	// median because a stop on too favourable an assumption costs the work done, and a missed one only some time.
	restartQuantile = 0.75
	// stalledRemaining stands for the remaining time of a run that makes no progress.
	stalledRemaining = time.Hour
)

// stop stops a run if the budget allows it. All stops that the planner decides on pass through here.
func (p *Planner) stop(now time.Duration, h *host, run pimfleet.ObservedRun, request stopRequest, plan *Plan) {
	key := run.Status.Key
	stop := StopRun{Worker: h.worker.ID, Key: key, Number: run.Status.Number, Reason: string(request.reason)}
	if _, _, job := p.state.Task(key); job.State.IsEnded() {
		// The fleet stops such a run in any case, and nothing starts again.
		plan.Stops = append(plan.Stops, stop)
		return
	}
	stop.Decision = p.decisionOf(h, run, request)
	if allowed, _ := p.stops.Allow(stop.Decision, p.usableCores(), now); !allowed {
		return
	}
	if request.avoidHost {
		p.addUnsuitable(key, h.worker.ID)
	}
	// Several rules may find the same run.
	if plan.stopped[key] == stop.Number {
		return
	}
	if plan.stopped == nil {
		plan.stopped = map[pimjob.TaskKey]int{}
	}
	plan.stopped[key] = stop.Number
	plan.Stops = append(plan.Stops, stop)
}

// decisionOf returns what the stop of a run costs and saves.
func (p *Planner) decisionOf(h *host, run pimfleet.ObservedRun, request stopRequest) pimstop.Stop {
	key := run.Status.Key
	_, step, job := p.state.Task(key)
	accurate := !p.estimatesAreWrong(job)
	expected, restart := p.assumedDuration(job, key, h, 0.5), p.assumedDuration(job, key, h, restartQuantile)
	done := float64(run.Status.ProgressPercent) / 100
	discarded := time.Duration(done * float64(expected))
	if step.Checkpoints {
		// migrationCost includes the work since the last checkpoint.
		restart = time.Duration((1 - done) * float64(restart))
		discarded = min(discarded, migrationCost)
	}
	decision := pimstop.Stop{
		Key: key, Number: run.Status.Number, Reason: request.reason, Here: request.here, There: restart + migrationCost,
		Discarded: discarded.Seconds() * float64(step.Need.Millicores) / millicoresPerCore,
		Expected:  expected, EstimateAccurate: accurate,
	}
	if request.lostHere {
		decision.Here += decision.There
	}
	return decision
}

// usableCores returns the cores of the hosts that may get new runs.
func (p *Planner) usableCores() float64 {
	return float64(p.index.schedulable.Millicores) / millicoresPerCore
}

// forgetDurations removes what was recorded about the steps and stops of a job that has ended.
func (p *Planner) forgetDurations(job *pimjob.Job) {
	id := job.Submission.ID
	p.stops.Forget(id)
	for occurrence := range job.Occurrences {
		for step := range job.Submission.Steps {
			p.durations.Forget(pimjob.TaskKey{Job: id, Occurrence: occurrence, Step: step})
			delete(p.pace.steps, stepKey{id, occurrence, step})
		}
	}
}
