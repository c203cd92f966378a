package pimplan

import (
	"math"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimduration"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

const (
	// demandHalfLife is the time in which the demand for a label halves after its tasks have started. Bursts last some
	// seconds, and between two of their jobs no task may be waiting.
	demandHalfLife = 500 * time.Millisecond
	// arrivalWindow is the time over which the work that arrives for a label is averaged. With 2 s a short burst counts as
	// lasting load, and tasks don't wait for a rack that is about to be free.
	arrivalWindow = 4 * time.Second
	// minArrivals is the work in core-milliseconds below which the arrivals for a label are forgotten.
	minArrivals = 10.0
	// minDemand is the processor time in thousandths of a core below which the demand for a label is forgotten.
	minDemand = 100.0
)

// work returns the work of the waiting tasks of a step in core-milliseconds.
func (w *waits) work(c candidate, step *pimjob.Step) float64 {
	duration := w.durations.Quantile(pimduration.TaskOf(c.job, c.taskKey(c.tasks[0])), 0, medianQuantile)
	return float64(step.Reserved().Millicores) / 1000 * float64(len(c.tasks)) * float64(duration.Milliseconds())
}

// arrivalShare returns the work of other steps that lately arrived for the label of a step, as a share of what the hosts
// with the label can do.
func (w *waits) arrivalShare(p *Planner, c candidate, step *pimjob.Step, waited time.Duration) float64 {
	if step.PreferredLabel == "" {
		return 0
	}
	cores := 0.0
	hosts := p.hostTopology().byLabel[step.PreferredLabel]
	if len(hosts) > maxPreferredHosts {
		// No task waits for so many hosts.
		return 0
	}
	for _, h := range hosts {
		if p.mayWaitFor(c, step, h) {
			cores += float64(h.worker.Capacity.Millicores-h.servingMillicores) / 1000
		}
	}
	own := w.work(c, step) * math.Exp(-float64(waited)/float64(arrivalWindow))
	return max(0, w.arrivals[step.PreferredLabel]-own) / max(1, cores*float64(arrivalWindow.Milliseconds()))
}

// addWaiting adds tasks that are not placed yet, or removes them if count is negative.
func (w *planWaits) addWaiting(job *pimjob.Job, reserved pimjob.Resources, count int64) {
	known := w.waitingNeed[job.Queue.Service]
	w.waitingNeed[job.Queue.Service] = known.Plus(pimjob.Resources{
		Millicores: count * reserved.Millicores, MemoryMB: count * reserved.MemoryMB, GPUs: count * reserved.GPUs,
	})
}

// updateContention sets for each host which share of the free processor time of its labels is in demand.
func (w *waits) updateContention(p *Planner) {
	for _, h := range w.contested {
		h.contention = 0
	}
	w.contested = w.contested[:0]
	for label, demand := range w.demand {
		hosts := p.hostTopology().byLabel[label]
		if len(hosts) > maxPreferredHosts {
			continue
		}
		free := int64(1)
		for _, h := range hosts {
			if p.refreshHost(h); h.schedulable {
				free += max(0, h.free.Millicores)
			}
		}
		for _, h := range hosts {
			h.contention = max(h.contention, min(1, demand/float64(free)))
			w.contested = append(w.contested, h)
		}
	}
}
