package pimplan

import (
	"slices"
	"strings"

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
		progress   progressState
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
	p.topology = nil
	p.leaving.setDraining(worker.ID, worker.Draining)
	known := p.hosts[worker.ID]
	if known != nil && known.worker.Generation == worker.Generation {
		known.worker = worker
		return
	}
	if known != nil {
		p.health.ForgetHost(worker.ID)
	}
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
	p.sortHosts()
}

func (p *Planner) removeHost(id string) {
	p.topology = nil
	p.leaving.setDraining(id, false)
	p.health.ForgetHost(id)
	delete(p.hosts, id)
	p.sortHosts()
}

func (p *Planner) sortHosts() {
	p.sortedHosts = p.sortedHosts[:0]
	for _, h := range p.hosts {
		p.sortedHosts = append(p.sortedHosts, h)
	}
	slices.SortFunc(p.sortedHosts, func(a, b *host) int { return strings.Compare(a.worker.ID, b.worker.ID) })
}

func (h *host) add(key pimjob.TaskKey, step *pimjob.Step) { h.adjust(key, step, 1) }

func (h *host) remove(key pimjob.TaskKey, step *pimjob.Step) { h.adjust(key, step, -1) }

// adjust adds a task to the host's totals with sign 1 and removes it with sign -1.
func (h *host) adjust(key pimjob.TaskKey, step *pimjob.Step, sign int64) {
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
