package pimplan

import "github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"

type (
	// deadlines are the times of an occurrence, in milliseconds since 1970, by which it earns
	// all, a part, or nothing, and the milliseconds of work on its longest chain that are left.
	deadlines struct {
		due       int64
		latest    int64
		remaining int64
		// longRunning is set for tasks that last, which earn as long as they run.
		longRunning bool
	}

	// urgency orders jobs of one priority while there is not room for all: those that
	// can still be on time come first, then those that can be late, then the others.
	urgency int
)

const (
	canBeOnTime urgency = iota
	canBeLate
	tooLate
)

// lateFactor is how many times its objective a job may take to be worth something.
// Source: the users' pages.
const lateFactor = 3

// deadlinesOf returns the terms of an occurrence: its objective is the stretched sum of its
// steps' estimates and what the queue adds.
func deadlinesOf(job *pimjob.Job, occurrence int) deadlines {
	begin := max(job.AcceptedAt, job.Submission.DueAt(occurrence))
	var chain, left int64
	lasts := false
	for i := range job.Submission.Steps {
		estimate := job.Submission.Steps[i].Estimate.Milliseconds()
		chain += estimate
		lasts = lasts || job.Submission.Steps[i].LongRunning
		if job.Occurrences[occurrence].Steps[i].OpenTasks > 0 {
			left += estimate
		}
	}
	objective := int64(float64(chain)*max(1, job.Queue.Stretch)) + job.Queue.Objective.Milliseconds()
	return deadlines{due: begin + objective, latest: begin + lateFactor*objective, remaining: left, longRunning: lasts}
}

func (t deadlines) urgencyAt(wallClock int64) urgency {
	switch end := wallClock + t.remaining; {
	case t.longRunning:
		return canBeOnTime
	case end <= t.due:
		return canBeOnTime
	case end <= t.latest:
		return canBeLate
	default:
		return tooLate
	}
}
