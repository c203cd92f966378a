package pimplan

import (
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// host is a worker with its free capacity, its tasks and what was learned about it.
	host struct {
		worker pimjob.Worker
		free   pimjob.Resources
		// servingMillicores, otherMillicores and bestEffortMillicores are the processor time that
		// the serving, other and best-effort tasks on the host request, in thousandths of a core.
		servingMillicores, otherMillicores, bestEffortMillicores int64
		tasksByStep                                              map[stepKey]int
		servingImages                                            map[string]int
		// A schedulable host may get new runs. While it is backing off, it gets only those of
		// long-running steps and starved jobs, and, while it is probed, one small task at a time.
		schedulable, backingOff, probed bool
		// probes are the tasks that were assigned to the host while it was probed.
		probes map[pimjob.TaskKey]bool
		// contention is the share of the free processor time near the host that tasks with a preferred label are about to
		// use.
		contention float64
		// A reserved host gets no further runs from the current plan, see reserve.
		reserved   bool
		throttling throttleState
		// opportunityCost is the share of the scarce best-effort demand that could use the host, see compatibility.
		opportunityCost float64
		progress        progressState
		// pool and rack are nil until they are built, position is that in the pool, unavailableAt that in
		// hostIndex.unavailable, or -1, and checkedIn the number of the plan that checked the host last.
		pool                    *hostPool
		rack                    *rack
		position, unavailableAt int
		checkedIn               uint64
		// lastStartAt is when a task was last assigned to the host.
		lastStartAt time.Duration
		// version counts the changes of the host, so that scores from before a change are recognized.
		version uint64
	}

	// placement is a task that the current plan assigns to a host.
	placement struct {
		host *host
		key  pimjob.TaskKey
		step *pimjob.Step
	}
)

// putHost adds or updates a worker. A new generation replaces the host and all that was learned
// about it.
func (p *Planner) putHost(worker pimjob.Worker) {
	p.leaving.setDraining(worker.ID, worker.Draining)
	known := p.hosts[worker.ID]
	if known != nil && known.worker.Generation == worker.Generation {
		p.updateHost(known, worker)
		return
	}
	if known != nil {
		p.health.ForgetHost(worker.ID)
	}
	p.topology = nil
	h := &host{worker: worker, free: worker.Capacity, tasksByStep: map[stepKey]int{}, servingImages: map[string]int{}}
	for key, live := range p.state.RunsOn(worker.ID) {
		if live.Run.Generation != worker.Generation {
			continue
		}
		if _, step, _ := p.state.Task(key); step != nil {
			h.add(key, step)
		}
	}
	p.hosts[worker.ID] = h
	p.index.add(h)
}

// updateHost replaces what is known about a worker of the same generation.
func (p *Planner) updateHost(h *host, worker pimjob.Worker) {
	if h.worker.Rack != worker.Rack || !slices.Equal(h.worker.Labels, worker.Labels) {
		p.topology = nil
	}
	p.index.isStale = p.index.isStale || h.worker.Service != worker.Service
	p.index.isSmallestKnown = p.index.isSmallestKnown && h.worker.Capacity == worker.Capacity
	p.index.known = p.index.known.Minus(h.worker.Capacity).Plus(worker.Capacity)
	if h.rack != nil {
		h.rack.count(h, -1)
	}
	p.index.change(h, func() {
		h.free = h.free.Minus(h.worker.Capacity).Plus(worker.Capacity)
		h.worker = worker
	})
	if h.rack != nil {
		h.rack.count(h, 1)
	}
}

func (p *Planner) removeHost(id string) {
	p.topology = nil
	p.leaving.setDraining(id, false)
	p.health.ForgetHost(id)
	delete(p.hosts, id)
	p.index.remove(id)
}

func (h *host) add(key pimjob.TaskKey, step *pimjob.Step) { h.adjust(key, step, 1) }

func (h *host) remove(key pimjob.TaskKey, step *pimjob.Step) { h.adjust(key, step, -1) }

// adjust adds a task to the host with sign 1 and removes it with sign -1.
func (h *host) adjust(key pimjob.TaskKey, step *pimjob.Step, sign int64) {
	if h.rack != nil {
		h.rack.count(h, -1)
		defer func() { h.rack.count(h, 1) }()
	}
	if h.pool != nil {
		h.pool.count(h, -1)
		defer func() {
			h.pool.count(h, 1)
			h.pool.update(h)
		}()
	}
	h.adjustTotals(key, step, sign)
}

func (h *host) adjustTotals(key pimjob.TaskKey, step *pimjob.Step, sign int64) {
	reserved := step.Reserved()
	h.free = h.free.Minus(pimjob.Resources{
		Millicores: sign * reserved.Millicores, MemoryMB: sign * reserved.MemoryMB, GPUs: sign * reserved.GPUs,
	})
	h.adjustProbes(key, sign > 0 && !step.LongRunning)
	stepID := stepKey{key.Job, key.Occurrence, key.Step}
	if h.tasksByStep[stepID] += int(sign); h.tasksByStep[stepID] == 0 {
		delete(h.tasksByStep, stepID)
	}
	millicores := sign * step.Need.Millicores
	switch {
	case step.BestEffort:
		h.bestEffortMillicores += millicores
		h.throttling.adjustPendingCores(step, int(sign))
	case step.TargetLatency > 0:
		h.servingMillicores += millicores
		if h.servingImages[step.Image] += int(sign); h.servingImages[step.Image] == 0 {
			delete(h.servingImages, step.Image)
		}
		h.throttling.adjustPendingServing(key, step, int(sign))
	default:
		h.otherMillicores += millicores
	}
}

// idleMillicores returns the processor time that best-effort tasks may use.
func (h *host) idleMillicores() float64 {
	return float64(max(1, h.worker.Capacity.Millicores)) - float64(h.servingMillicores)*assumedServingLoad -
		float64(h.otherMillicores) - float64(h.bestEffortMillicores)
}

// countOtherImages returns how many serving tasks on the host run another image.
func (h *host) countOtherImages(image string) int {
	count := 0
	for other, n := range h.servingImages {
		if other != image {
			count += n
		}
	}
	return count
}
