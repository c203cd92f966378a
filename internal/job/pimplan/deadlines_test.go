package pimplan

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimduration"
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

// TestLearnedDeadlines guards against jobs that count as hopeless, or as early, because the estimates of their queue are
// wrong, and against other deadlines where estimates are accurate.
func TestLearnedDeadlines(t *testing.T) {
	for factor, want := range map[float64]deadlines{
		1.25: {due: 1000 + 2*6000 + 1000, latest: 1000 + lateFactor*13000, remaining: 6000},
		1.9:  {due: 1000 + 2*11400 + 1000, latest: 1000 + lateFactor*23800, remaining: 11400},
	} {
		state := pimjob.NewState()
		steps := []pimjob.Step{
			{Count: 1, Estimate: 2 * time.Second}, {Count: 1, Estimate: 4 * time.Second, DependsOn: []int{0}},
		}
		state.Apply(1000, []pimjob.Op{pimjob.Submit{
			Submission: pimjob.Submission{ID: "a", Steps: steps},
			Queue:      pimjob.Queue{Name: "q", Stretch: 2, Objective: time.Second},
		}})
		planner := NewPlanner(state, nil)
		for i := range 100 {
			planner.durations.Observe(pimduration.Sample{
				Task:     pimduration.Task{Queue: "q", Key: pimjob.TaskKey{Job: "other", Index: i}, Estimate: time.Second},
				Duration: time.Duration(factor * float64(time.Second)),
			})
		}
		planner.refreshJobs(0, 1000)
		got := planner.waitingJobs["a"].candidates[0].deadlines
		for _, pair := range [][2]int64{{got.due, want.due}, {got.latest, want.latest}, {got.remaining, want.remaining}} {
			assert.Assert(t, math.Abs(float64(pair[0]-pair[1])) < 0.1*float64(pair[1]), "factor %v: %+v, want %+v", factor, got, want)
		}
		if factor < 1+usualError {
			assert.Equal(t, got, deadlinesOf(state.Job("a"), 0))
		}
	}
}
