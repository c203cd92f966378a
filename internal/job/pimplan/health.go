package pimplan

import (
	"maps"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimhealth"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

// maxProbeShare is the share of the capacity of a host that a probe may take, so that little work is lost with it.
const maxProbeShare = 0.25

// observeEnd records what the end of a run says about its host. Other ends than these have causes elsewhere.
func (p *Planner) observeEnd(live pimjob.LiveRun, kind pimjob.EndKind, now time.Duration) {
	outcome := pimhealth.Done
	switch kind {
	case pimjob.EndDone:
	case pimjob.EndFailed:
		outcome = pimhealth.Failed
	case pimjob.EndRefused:
		outcome = pimhealth.Refused
	default:
		return
	}
	p.health.OnEnd(live.Run.Worker, live.Key.Job, outcome, now)
}

// selectHealthyHosts determines which hosts are avoided and probed during this plan.
func (p *Planner) selectHealthyHosts(now time.Duration) {
	p.health.Tick(now)
	var selected map[string]pimhealth.Status
	if p.uses(HostHealth) && p.health.HasSuspects() {
		sizes := map[string]int{}
		for _, h := range p.index.sorted {
			if h.schedulable {
				sizes[h.worker.Service]++
			}
		}
		selected = p.health.Select(func(id string) (string, bool) {
			h := p.hosts[id]
			if h == nil || !h.schedulable {
				return "", false
			}
			return h.worker.Service, true
		}, sizes, now)
	}
	for _, id := range slices.Sorted(maps.Keys(p.avoided)) {
		if _, ok := selected[id]; !ok {
			p.setHealth(id, pimhealth.Used)
		}
	}
	p.avoided = map[string]bool{}
	p.probedHosts = p.probedHosts[:0]
	for _, id := range slices.Sorted(maps.Keys(selected)) {
		p.setHealth(id, selected[id])
	}
}

// setHealth sets whether a host is avoided or probed.
func (p *Planner) setHealth(id string, status pimhealth.Status) {
	h := p.hosts[id]
	if h == nil {
		return
	}
	backingOff, probed := status != pimhealth.Used, status == pimhealth.Probed
	if backingOff != h.backingOff || probed != h.probed {
		p.index.change(h, func() { h.backingOff, h.probed = backingOff, probed })
	}
	if !probed {
		h.probes = nil
	} else {
		p.probedHosts = append(p.probedHosts, h)
	}
	if backingOff {
		p.avoided[id] = true
	}
}

// admitsProbe reports whether a task of the step may probe the host now. A gang that fails would cost the work of all its
// hosts.
func (h *host) admitsProbe(step *pimjob.Step) bool {
	capacity := h.worker.Capacity
	return h.probed && len(h.probes) == 0 && !step.Gang && !step.LongRunning &&
		float64(step.Need.Millicores) <= maxProbeShare*float64(capacity.Millicores) &&
		float64(step.Need.MemoryMB) <= maxProbeShare*float64(capacity.MemoryMB)
}

// adjustProbes records a task that is assigned to the host or removed from it.
func (h *host) adjustProbes(key pimjob.TaskKey, added bool) {
	switch {
	case !added:
		delete(h.probes, key)
	case h.probed:
		if h.probes == nil {
			h.probes = map[pimjob.TaskKey]bool{}
		}
		h.probes[key] = true
	}
}

// generationOf returns the generation of a worker, for what was learned about it.
func (p *Planner) generationOf(id string) (int64, bool) {
	worker := p.state.Worker(id)
	if worker == nil {
		return 0, false
	}
	return worker.Generation, true
}
