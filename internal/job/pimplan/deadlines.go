package pimplan

import "github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"

type (
	// deadlines are the times, in milliseconds since 1970, until which the end of an occurrence
	// earns full credit (due) and partial credit (latest). Remaining is the sum of the estimates of
	// its open steps in milliseconds.
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

// deadlinesOf returns the deadlines of an occurrence. Its objective is the sum of its steps'
// estimates times the queue's stretch factor, plus the queue's own objective.
func deadlinesOf(job *pimjob.Job, occurrence int) deadlines {
	begin := max(job.AcceptedAt, job.Submission.DueAt(occurrence))
	var total, remaining int64
	longRunning := false
	for i := range job.Submission.Steps {
		estimate := job.Submission.Steps[i].Estimate.Milliseconds()
		total += estimate
		longRunning = longRunning || job.Submission.Steps[i].LongRunning
		if job.Occurrences[occurrence].Steps[i].OpenTasks > 0 {
			remaining += estimate
		}
	}
	objective := int64(float64(total)*max(1, job.Queue.Stretch)) + job.Queue.Objective.Milliseconds()
	return deadlines{
		due: begin + objective, latest: begin + lateFactor*objective,
		remaining: remaining, longRunning: longRunning,
	}
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
