package pimstop_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimstop"
)

// cores is the capacity of a deployment whose budget is 60 core-seconds a minute.
const cores = 100.0

func stopOf(job string, number int) pimstop.Stop {
	return pimstop.Stop{
		Key: pimjob.TaskKey{Job: job}, Number: number, Reason: pimstop.BetterHost,
		Here: 20 * time.Second, There: 6 * time.Second, Discarded: 10, Expected: 5 * time.Second,
	}
}

func assertRefused(t *testing.T, budget *pimstop.Budget, stop pimstop.Stop, now time.Duration, want pimstop.Refusal) {
	t.Helper()
	allowed, refusal := budget.Allow(stop, cores, now)
	assert.Equal(t, refusal, want)
	assert.Equal(t, allowed, want == "")
}

// TestBudget guards against stops that cost more than they gain. The load is that of a deployment with wrong estimates,
// on which 145 tasks were stopped more than once in a day and one of them eleven times.
func TestBudget(t *testing.T) {
	t.Run("a stop must gain more than it costs", func(t *testing.T) {
		stop := stopOf("a", 1)
		stop.There = 17 * time.Second
		assertRefused(t, pimstop.NewBudget(), stop, 0, pimstop.NoGain)
		stop.EstimateAccurate = true
		assertRefused(t, pimstop.NewBudget(), stop, 0, "")
	})
	t.Run("a task is not stopped twice within its expected duration", func(t *testing.T) {
		budget := pimstop.NewBudget()
		assertRefused(t, budget, stopOf("a", 1), 0, "")
		assertRefused(t, budget, stopOf("a", 1), time.Second, "")
		assertRefused(t, budget, stopOf("a", 2), 4*time.Second, pimstop.StoppedBefore)
		stalled := stopOf("a", 2)
		stalled.Reason = pimstop.NoProgress
		assertRefused(t, budget, stalled, 4*time.Second, pimstop.StoppedBefore)
		assertRefused(t, budget, stopOf("a", 2), 6*time.Second, "")
		assert.Equal(t, budget.TakeReport(0).Discarded, 20.0)
	})
	t.Run("the discarded work is limited", func(t *testing.T) {
		budget := pimstop.NewBudget()
		allowed := 0
		for i := range 120 {
			if ok, _ := budget.Allow(stopOf(fmt.Sprint(i), 1), cores, time.Duration(i)*time.Second/2); ok {
				allowed++
			}
		}
		// A full budget and the refill of a minute, 10 core-seconds for each stop.
		assert.Assert(t, allowed >= 10 && allowed <= 12, "%d stops", allowed)
		stalled := stopOf("stalled", 1)
		stalled.Reason = pimstop.NoProgress
		assertRefused(t, budget, stalled, time.Minute, "")
	})
	t.Run("a run that its leaving host would lose is stopped although nothing more may be discarded", func(t *testing.T) {
		budget := pimstop.NewBudget()
		large := stopOf("a", 1)
		large.Discarded = 100
		assertRefused(t, budget, large, 0, "")
		leaving := stopOf("b", 1)
		leaving.Reason, leaving.Here = pimstop.HostLeaving, leaving.There
		assertRefused(t, budget, leaving, 0, "")
		leaving.Number = 2
		assertRefused(t, budget, leaving, time.Second, "")
		assertRefused(t, budget, stopOf("b", 3), 2*time.Second, pimstop.StoppedBefore)
		assert.Equal(t, budget.TakeReport(0).Discarded, 120.0)
	})
	t.Run("a stop that exceeds the whole budget is possible while it is full", func(t *testing.T) {
		budget := pimstop.NewBudget()
		large := stopOf("a", 1)
		large.Discarded = 100
		assertRefused(t, budget, large, 0, "")
		assertRefused(t, budget, stopOf("b", 1), 30*time.Second, pimstop.BudgetIsSpent)
	})
}

// TestReport guards against a log that grows with the number of refused stops, and against stops whose result operators
// can't see.
func TestReport(t *testing.T) {
	budget := pimstop.NewBudget()
	for _, job := range []string{"in time", "late", "cancelled", "completed before the stop"} {
		assertRefused(t, budget, stopOf(job, 1), 0, "")
	}
	budget.OnEnd(pimjob.TaskKey{Job: "completed before the stop"}, 1, time.Second)
	budget.OnEnd(pimjob.TaskKey{Job: "in time"}, 2, 20*time.Second)
	budget.OnEnd(pimjob.TaskKey{Job: "late"}, 2, 21*time.Second)
	budget.Forget("cancelled")
	budget.OnEnd(pimjob.TaskKey{Job: "cancelled"}, 2, 21*time.Second)
	report := budget.TakeReport(21 * time.Second)
	assert.Equal(t, report.PaidOff, 1)
	assert.Equal(t, report.NotPaidOff, 1)
	lines, refused := 0, 0
	for i := range 1000 {
		stop := stopOf("a", i)
		stop.There = stop.Here
		now := time.Minute + time.Duration(i)*10*time.Millisecond
		assertRefused(t, budget, stop, now, pimstop.NoGain)
		for _, line := range budget.TakeReport(now).Refused {
			lines, refused = lines+1, refused+line.Count
		}
	}
	assert.Equal(t, lines, 10)
	assert.Assert(t, refused > 900)
}
