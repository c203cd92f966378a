package pimplan

import (
	"slices"
	"strings"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// host is a row of the table of workers.
	host struct {
		worker pimjob.Worker
		record record
		free   pimjob.Resources
		// serving, busy and filling are the thousandths of a core that the runs of
		// serving, other and filling tasks ask for.
		serving, busy, filling int64
		steps                  map[stepKey]int
		images                 map[string]int
		// open hosts may get runs; avoided ones only those that would otherwise wait for long.
		open, avoided bool
		pacing        paceState
		progress      progressState
	}

	// placed is a task that a plan puts on a host.
	placed struct {
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
	h := &host{worker: worker, free: worker.Capacity, steps: map[stepKey]int{}, images: map[string]int{}}
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

func (p *Planner) dropHost(id string) {
	delete(p.hosts, id)
	p.sortHosts()
}

func (p *Planner) sortHosts() {
	p.order = p.order[:0]
	for _, h := range p.hosts {
		p.order = append(p.order, h)
	}
	slices.SortFunc(p.order, func(a, b *host) int { return strings.Compare(a.worker.ID, b.worker.ID) })
}

func (h *host) add(key pimjob.TaskKey, step *pimjob.Step) { h.count(key, step, 1) }

func (h *host) remove(key pimjob.TaskKey, step *pimjob.Step) { h.count(key, step, -1) }

// count adds a task to the host's sums, or takes it off with sign -1.
func (h *host) count(key pimjob.TaskKey, step *pimjob.Step, sign int64) {
	reserved := step.Reserved()
	h.free = h.free.Minus(pimjob.Resources{
		Millicores: sign * reserved.Millicores, MemoryMB: sign * reserved.MemoryMB, GPUs: sign * reserved.GPUs,
	})
	at := stepKey{key.Job, key.Occurrence, key.Step}
	if h.steps[at] += int(sign); h.steps[at] == 0 {
		delete(h.steps, at)
	}
	cores := sign * step.Need.Millicores
	switch {
	case step.BestEffort:
		h.filling += cores
		h.pacing.plan(step, int(sign))
	case step.TargetLatency > 0:
		h.serving += cores
		if h.images[step.Image] += int(sign); h.images[step.Image] == 0 {
			delete(h.images, step.Image)
		}
		h.pacing.expect(key, step, int(sign))
	default:
		h.busy += cores
	}
}

// holdsOthers returns how many serving tasks of other images the host carries.
func (h *host) holdsOthers(image string) int {
	count := 0
	for other, n := range h.images {
		if other != image {
			count += n
		}
	}
	return count
}
