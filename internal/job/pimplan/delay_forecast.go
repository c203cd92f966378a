package pimplan

import (
	"math"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimduration"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimwait"
)

type (
	// waitDurations provides quantiles of the time that a task still needs on a preferred host: from the submitted estimate
	// where the estimates of its queue are accurate, else from the learned durations.
	waitDurations struct{ model *pimduration.Model }

	// roomKey is the key by which a plan caches the results of hasRoomForWaiting.
	roomKey struct {
		service, requiredLabel string
		need                   pimjob.Resources
	}
)

const (
	// waitQuantile is the quantile of remaining durations from which the wait is forecast. The wait is compared with the
	// median loss, so that a task waits only if it still gains where the runs take somewhat longer than expected.
	waitQuantile   = 0.7
	medianQuantile = 0.5
	// estimateMargin is the 0.7 quantile of the duration of a task divided by its estimate, where estimates are off by a
	// third at most.
	estimateMargin = 1.15
	// maxEstimateError is the duration of a task divided by its estimate at most, if the estimate is off by a third.
	maxEstimateError = 4.0 / 3
	// minLeftShare is the least share of its estimate that a run is assumed to need still.
	minLeftShare = 0.1
	// overdueShare is the time that a run which has exceeded maxEstimateError is assumed to need still, as a share of the
	// time that it has run. It is the 0.7 quantile if the chance to run on falls with the square of the time.
	overdueShare = 0.83
	// placesPerWaitingTask is how many places elsewhere there must be for each task that is not placed: the platform's
	// guarantee of a start holds with twice the needed capacity.
	placesPerWaitingTask = 2
	// maxCountedNeeds limits the distinct requests for which a plan counts the places on all hosts.
	maxCountedNeeds = 32
)

// Quantile returns the quantile q of the time that a task still needs after it has run for elapsed.
func (d waitDurations) Quantile(task pimduration.Task, elapsed time.Duration, q float64) time.Duration {
	if d.model.Error(task.Queue) > usualError {
		return d.model.Quantile(task, elapsed, q)
	}
	estimate := task.Estimate
	if estimate <= 0 {
		return 0
	}
	whole := float64(estimate)
	if q > medianQuantile {
		whole *= estimateMargin
	}
	if float64(elapsed) > maxEstimateError*float64(estimate) {
		return time.Duration(overdueShare * float64(elapsed))
	}
	return time.Duration(max(whole-float64(elapsed), minLeftShare*float64(estimate)))
}

// forecast returns when hosts will have room, less what tasks ahead in the plan have claimed.
func (p *Planner) forecast(hosts []*host) pimwait.Forecast {
	forecast := make(pimwait.Forecast, 0, len(hosts))
	for _, h := range hosts {
		known := p.waits.plan.forecasts[h]
		if known == nil {
			known = pimwait.NewHost(h.free, p.releases(h))
			p.waits.plan.forecasts[h] = known
		}
		forecast = append(forecast, known)
	}
	return forecast
}

// releases returns when the runs on a host are expected to end. Runs that are away from their own data take longer by the
// remote factor.
func (p *Planner) releases(h *host) []pimwait.Release {
	var releases []pimwait.Release
	for key, live := range p.state.RunsOn(h.worker.ID) {
		_, step, job := p.state.Task(key)
		if step == nil || step.LongRunning || step.Estimate <= 0 || live.Run.Generation != h.worker.Generation {
			continue
		}
		factor := 1.0
		if !hasLocalData(step, h) {
			factor = p.waits.settings.RemoteFactor
		}
		elapsed := float64(max(0, p.waits.plan.wallClock-live.Run.StartedAt)) * float64(time.Millisecond)
		left := p.waits.durations.Quantile(pimduration.TaskOf(job, key), time.Duration(elapsed/factor), waitQuantile)
		releases = append(releases, pimwait.Release{
			// At least 1 ms, so that a run that should have ended doesn't count as free capacity.
			After: max(time.Millisecond, time.Duration(float64(left)*factor)), Returned: step.Reserved(),
		})
	}
	return releases
}

// remoteEnd returns when the last run of the step away from its preferred hosts is expected to end, or 0 if there is none.
func (p *Planner) remoteEnd(c candidate, step *pimjob.Step) time.Duration {
	end := time.Duration(0)
	if step.Gang {
		return end
	}
	factor := p.waits.settings.RemoteFactor
	tasks := c.job.Occurrences[c.key.occurrence].Steps[c.key.step].Tasks
	for index := range tasks {
		run := tasks[index].Run
		if run == nil {
			continue
		}
		if h := p.hosts[run.Worker]; h != nil && !h.worker.HasLabel(step.PreferredLabel) {
			elapsed := time.Duration(max(0, p.waits.plan.wallClock-run.StartedAt)) * time.Millisecond
			task := pimduration.TaskOf(c.job, c.taskKey(index))
			left := p.waits.durations.Quantile(task, time.Duration(float64(elapsed)/factor), medianQuantile)
			end = max(end, time.Duration(float64(left)*factor))
		}
	}
	return end
}

// hasRoomForWaiting reports whether the hosts of a service have room for all tasks that are not placed and as much again.
// Otherwise a task that waits could find no place at all.
func (p *Planner) hasRoomForWaiting(c candidate, step *pimjob.Step) bool {
	w := &p.waits.plan
	key := roomKey{c.job.Queue.Service, step.RequiredLabel, step.Need}
	known, ok := w.hasRoom[key]
	if ok || len(w.hasRoom) >= maxCountedNeeds {
		return known
	}
	missing := placesPerWaitingTask * max(1, countTasks(w.waitingNeed[key.service], step.Need))
	p.eachWithRoom(c.job, step, func(h *host) bool {
		missing -= countPlaces(h.free, step.Need)
		return missing > 0
	})
	w.hasRoom[key] = missing <= 0
	return w.hasRoom[key]
}

// countTasks returns how many tasks with a need request at least the amount in each resource that the need has.
func countTasks(amount, need pimjob.Resources) int64 {
	count := int64(0)
	for _, r := range [][2]int64{
		{amount.Millicores, need.Millicores}, {amount.MemoryMB, need.MemoryMB}, {amount.GPUs, need.GPUs},
	} {
		if r[1] > 0 {
			count = max(count, (r[0]+r[1]-1)/r[1])
		}
	}
	return count
}

// countPlaces returns how many tasks with a need fit into free capacity.
func countPlaces(free, need pimjob.Resources) int64 {
	count := int64(math.MaxInt32)
	for _, r := range [][2]int64{
		{free.Millicores, need.Millicores}, {free.MemoryMB, need.MemoryMB}, {free.GPUs, need.GPUs},
	} {
		if r[1] > 0 {
			count = min(count, max(0, r[0]/r[1]))
		}
	}
	return count
}
