package pimplan

import (
	"slices"
	"strings"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// host is a row of the table of workers.
	host struct {
		worker   pimjob.Worker
		failures failureRecord
		free     pimjob.Resources
		// servingMillicores, otherMillicores and bestEffortMillicores are the thousandths of a core that the runs of
		// servingMillicores, other and bestEffortMillicores tasks ask for.
		servingMillicores, otherMillicores, bestEffortMillicores int64
		tasksByStep                                              map[stepKey]int
		servingImages                                            map[string]int
		// schedulable hosts may get runs; backingOff ones only those that would otherwise wait for long.
		schedulable, backingOff bool
		throttling              throttleState
		progress                progressState
	}

	// placement is a task that a plan puts on a host.
	placement struct {
		host *host
		key  pimjob.TaskKey
		step *pimjob.Step
	}
)

func (p *Planner) putHost(worker pimjob.Worker) {
	known := p.hosts[worker.ID]
	if known != nil && known.worker.Generation == worker.Generation {
		known.worker = worker
		return
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

// adjust adds a task to the host's sums, or takes it off with sign -1.
func (h *host) adjust(key pimjob.TaskKey, step *pimjob.Step, sign int64) {
	reserved := step.Reserved()
	h.free = h.free.Minus(pimjob.Resources{
		Millicores: sign * reserved.Millicores, MemoryMB: sign * reserved.MemoryMB, GPUs: sign * reserved.GPUs,
	})
	at := stepKey{key.Job, key.Occurrence, key.Step}
	if h.tasksByStep[at] += int(sign); h.tasksByStep[at] == 0 {
		delete(h.tasksByStep, at)
	}
	cores := sign * step.Need.Millicores
	switch {
	case step.BestEffort:
		h.bestEffortMillicores += cores
		h.throttling.adjustPendingCores(step, int(sign))
	case step.TargetLatency > 0:
		h.servingMillicores += cores
		if h.servingImages[step.Image] += int(sign); h.servingImages[step.Image] == 0 {
			delete(h.servingImages, step.Image)
		}
		h.throttling.adjustPendingServing(key, step, int(sign))
	default:
		h.otherMillicores += cores
	}
}

// countOtherImages returns how many serving tasks of other images the host carries.
func (h *host) countOtherImages(image string) int {
	count := 0
	for other, n := range h.servingImages {
		if other != image {
			count += n
		}
	}
	return count
}
