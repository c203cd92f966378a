package pimplan

import (
	"slices"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// deadlines are the times, in milliseconds since 1970, until which the end of an occurrence
	// earns full credit (due) and partial credit (latest). Remaining is the longest chain of the
	// estimates of its open steps in milliseconds.
	deadlines struct {
		due       int64
		latest    int64
		remaining int64
		// longRunning is set if the job has a long-running step, which earns credit as long as it
		// runs.
		longRunning bool
	}

	// urgency orders jobs of equal priority while capacity is short: first those that can still be
	// on time, then those that can still earn partial credit, then the rest.
	urgency int
)

const (
	canBeOnTime urgency = iota
	canBeLate
	tooLate
)

// lateFactor is the multiple of its objective within which a job must end to earn any credit.
// Source: the platform's specification.
const lateFactor = 3

// deadlinesOf returns the deadlines of an occurrence. Its objective is the longest chain of its steps'
// estimates times the queue's stretch factor, plus the queue's own objective.
func deadlinesOf(job *pimjob.Job, occurrence int) deadlines {
	begin := max(job.AcceptedAt, job.Submission.DueAt(occurrence))
	steps := job.Submission.Steps
	longRunning := slices.ContainsFunc(steps, func(step pimjob.Step) bool { return step.LongRunning })
	total := longestChain(steps, func(int) bool { return true })
	remaining := longestChain(steps, func(i int) bool { return job.Occurrences[occurrence].Steps[i].OpenTasks > 0 })
	d := deadlines{remaining: remaining, longRunning: longRunning}
	d.setObjective(job, begin, total)
	return d
}

// setObjective sets the times until which an occurrence earns credit from its longest chain of work in milliseconds.
func (d *deadlines) setObjective(job *pimjob.Job, begin, total int64) {
	objective := objectiveOf(total, &job.Queue)
	d.due, d.latest = begin+objective, begin+lateFactor*objective
}

// correctDeadlines replaces the estimates of a job by learned durations if those of its queue are known to be wrong. The
// objective is replaced only where the work differs from the estimates by more than their usual error, since the
// platform computes it from the true work.
func (p *Planner) correctDeadlines(waiting *waitingJob) {
	job := waiting.job
	if !p.estimatesAreWrong(job) {
		return
	}
	steps := slices.Clone(job.Submission.Steps)
	for i := range steps {
		steps[i].Estimate = p.medianDuration(job, i)
	}
	estimated := longestChain(job.Submission.Steps, func(int) bool { return true })
	learned := longestChain(steps, func(int) bool { return true })
	for i := range waiting.candidates {
		c := &waiting.candidates[i]
		occurrence := c.key.occurrence
		c.deadlines.remaining = longestChain(steps, func(i int) bool {
			return job.Occurrences[occurrence].Steps[i].OpenTasks > 0
		})
		if factor := float64(max(learned, 1)) / float64(max(estimated, 1)); max(factor, 1/factor) > 1+usualError {
			c.deadlines.setObjective(job, max(job.AcceptedAt, job.Submission.DueAt(occurrence)), learned)
		}
	}
}

// objectiveOf returns the time in milliseconds within which a job is to end whose longest chain of steps takes chain.
func objectiveOf(chain int64, queue *pimjob.Queue) int64 {
	return int64(float64(chain)*max(1, queue.Stretch)) + queue.Objective.Milliseconds()
}

// longestChain returns the estimate in milliseconds of the longest chain of steps that depend on each other, of which only
// those that count are added up.
func longestChain(steps []pimjob.Step, counts func(step int) bool) int64 {
	chains := make([]int64, len(steps))
	longest := int64(0)
	for i := range steps {
		for _, before := range steps[i].DependsOn {
			chains[i] = max(chains[i], chains[before])
		}
		if counts(i) {
			chains[i] += steps[i].Estimate.Milliseconds()
		}
		longest = max(longest, chains[i])
	}
	return longest
}

func (d deadlines) urgencyAt(wallClock int64) urgency {
	switch end := wallClock + d.remaining; {
	case d.longRunning:
		return canBeOnTime
	case end <= d.due:
		return canBeOnTime
	case end <= d.latest:
		return canBeLate
	default:
		return tooLate
	}
}
