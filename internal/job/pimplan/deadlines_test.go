package pimplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

// TestLongestChain checks that steps which run side by side don't add up.
func TestLongestChain(t *testing.T) {
	step := func(seconds int, dependsOn ...int) pimjob.Step {
		return pimjob.Step{Count: 1, Estimate: time.Duration(seconds) * time.Second, DependsOn: dependsOn}
	}
	state := pimjob.NewState()
	state.Apply(1000, []pimjob.Op{pimjob.Submit{
		Submission: pimjob.Submission{ID: "a", Steps: []pimjob.Step{step(1), step(4), step(2, 0), step(3, 2)}},
		Queue:      pimjob.Queue{Stretch: 2, Objective: time.Second},
	}})
	job := state.Job("a")
	assert.Equal(t, deadlinesOf(job, 0), deadlines{due: 1000 + 2*6000 + 1000, latest: 1000 + lateFactor*13000, remaining: 6000})
	job.Occurrences[0].Steps[0].OpenTasks = 0
	assert.Equal(t, deadlinesOf(job, 0).remaining, int64(5000))
}
