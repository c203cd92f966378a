package pimplan

import (
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimduration"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimwait"
)

type (
	// WaitOutcome tells how a wait for a preferred host ended.
	WaitOutcome int

	// EndedWait reports the end of a task's wait for a preferred host.
	EndedWait struct {
		Key     pimjob.TaskKey
		Queue   string
		Outcome WaitOutcome
		Reason  pimwait.Reason
		// Waited is the time since the task could have started, Expected the wait that was expected when it began to wait.
		Waited, Expected time.Duration
		// Gain is the time that the task is estimated to have gained, negative if the wait was in vain.
		Gain time.Duration
	}
)

// Outcomes of a wait.
const (
	// EndedNear means that the task starts on a preferred host.
	EndedNear WaitOutcome = iota
	// EndedGone means that no preferred host may get new runs any more.
	EndedGone
	// EndedNotWorthwhile means that waiting longer does not pay off or is not allowed.
	EndedNotWorthwhile
)

var outcomeNames = [...]string{"near", "gone", "not-worthwhile"}

// String returns the outcome's name.
func (o WaitOutcome) String() string { return outcomeNames[o] }

// applyDecision records the beginning or the end of the waits of tasks and reports whether they wait.
func (p *Planner) applyDecision(
	c candidate, tasks []int, request pimwait.Request, decision pimwait.Decision, plan *Plan,
) bool {
	w := &p.waits
	known := w.byJob[c.key.job]
	hasEnded := slices.ContainsFunc(tasks, func(index int) bool {
		wait := known[c.taskKey(index)]
		return wait != nil && wait.ended
	})
	if decision.Wait && !hasEnded {
		if _, ok := request.Preferred.Claim(request.Need, request.Duration, request.Count); !ok {
			return false
		}
		if known == nil {
			known = map[pimjob.TaskKey]*taskWait{}
			w.byJob[c.key.job] = known
		}
		for _, index := range tasks {
			if key := c.taskKey(index); known[key] == nil {
				known[key] = &taskWait{expected: decision.Expected}
			}
		}
		return true
	}
	for _, index := range tasks {
		key := c.taskKey(index)
		wait := known[key]
		if wait == nil || wait.ended {
			continue
		}
		wait.ended = true
		outcome := EndedNotWorthwhile
		if decision.Reason == pimwait.PreferredGone {
			outcome = EndedGone
		}
		plan.Waits = append(plan.Waits, EndedWait{
			Key: key, Queue: c.job.Queue.Name, Outcome: outcome, Reason: decision.Reason, Waited: w.waited(c, key),
			Expected: wait.expected, Gain: -w.waited(c, key),
		})
	}
	return false
}

// onPlaced records that a task starts on a preferred host (near) or on another one.
func (p *Planner) onPlaced(c candidate, step *pimjob.Step, key pimjob.TaskKey, near bool, plan *Plan) {
	w := &p.waits
	if !w.enabled() {
		return
	}
	w.plan.addWaiting(c.job, step.Reserved(), -1)
	wait := w.byJob[key.Job][key]
	if wait == nil {
		return
	}
	if delete(w.byJob[key.Job], key); len(w.byJob[key.Job]) == 0 {
		delete(w.byJob, key.Job)
	}
	if wait.ended {
		return
	}
	ended := EndedWait{
		Key: key, Queue: c.job.Queue.Name, Outcome: EndedNear, Waited: w.waited(c, key), Expected: wait.expected,
	}
	ended.Gain = -ended.Waited
	if near {
		ended.Gain += pimwait.Loss(w.durations.Quantile(pimduration.TaskOf(c.job, key), 0, medianQuantile), w.settings.RemoteFactor)
	} else {
		ended.Outcome, ended.Reason = EndedNotWorthwhile, pimwait.BoundReached
	}
	plan.Waits = append(plan.Waits, ended)
}

// forgetJob removes what was recorded about a job that has ended.
func (w *waits) forgetJob(job *pimjob.Job) {
	delete(w.byJob, job.Submission.ID)
	for occurrence := range job.Occurrences {
		for step := range job.Occurrences[occurrence].Steps {
			delete(w.seen, stepKey{job.Submission.ID, occurrence, step})
		}
	}
}
