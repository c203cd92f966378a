package pimplan

import "github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"

type (
	// terms are the times of an occurrence, in milliseconds since 1970, by which it earns
	// all, a part, or nothing, and the milliseconds of work on its longest chain that are left.
	terms struct {
		due  int64
		last int64
		left int64
		// lasts is set for tasks that last, which earn as long as they run.
		lasts bool
	}

	// urgency orders jobs of one priority while there is not room for all: those that
	// can still be on time come first, then those that can be late, then the others.
	urgency int
)

const (
	canBeOnTime urgency = iota
	canBeLate
	isHopeless
)

// lateFactor is how many times its objective a job may take to be worth something.
// Source: the users' pages.
const lateFactor = 3

// termsOf returns the terms of an occurrence: its objective is the stretched sum of its
// steps' estimates and what the queue adds.
func termsOf(job *pimjob.Job, occurrence int) terms {
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
	return terms{due: begin + objective, last: begin + lateFactor*objective, left: left, lasts: lasts}
}

func (t terms) urgencyAt(wallClock int64) urgency {
	switch end := wallClock + t.left; {
	case t.lasts:
		return canBeOnTime
	case end <= t.due:
		return canBeOnTime
	case end <= t.last:
		return canBeLate
	default:
		return isHopeless
	}
}
