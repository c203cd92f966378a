package pimplan

import (
	"maps"
	"slices"
	"time"
)

// compatibility estimates how scarce the hosts are that a best-effort image can use without harm to the serving tasks there.
// An image that disturbs few others can run on most hosts. If it takes the hosts that other images depend on, tasks of
// those wait while other hosts are idle.
type compatibility struct {
	// demand holds, by image, the cores that best-effort tasks request, those that wait and those that run.
	demand map[string]float64
	nextAt time.Duration
}

const (
	// compatibilityInterval is the time between updates. Interference is learned over seconds.
	compatibilityInterval = 500 * time.Millisecond
	// opportunityWeight is how much of a host's processor time must be idle elsewhere to outweigh that all scarce demand
	// could use the host.
	opportunityWeight = 1.0
)

// refreshCompatibility updates the opportunity cost of each host: the share of the scarce demand that could use it.
func (p *Planner) refreshCompatibility(candidates []candidate, now time.Duration) {
	c := &p.compatibility
	if now < c.nextAt || !p.uses(CompatibleHosts) {
		return
	}
	c.nextAt = now + compatibilityInterval
	c.demand = p.bestEffortDemand(candidates)
	scarcity, sum := map[string]float64{}, 0.0
	for _, image := range slices.Sorted(maps.Keys(c.demand)) {
		room := 1.0
		for _, h := range p.index.sorted {
			if h.schedulable && p.isCompatible(h, image) {
				room += h.unreservedCores()
			}
		}
		scarcity[image] = c.demand[image] / room
		sum += scarcity[image]
	}
	for _, h := range p.index.sorted {
		h.opportunityCost = 0
		for _, image := range slices.Sorted(maps.Keys(scarcity)) {
			if p.isCompatible(h, image) {
				h.opportunityCost += scarcity[image] / sum
			}
		}
	}
}

// bestEffortDemand returns, by image, the cores that best-effort tasks request, those that wait and those that run.
func (p *Planner) bestEffortDemand(candidates []candidate) map[string]float64 {
	demand := map[string]float64{}
	for i := range candidates {
		step := &candidates[i].job.Submission.Steps[candidates[i].key.step]
		if step.BestEffort && step.Need.Millicores > 0 {
			demand[step.Image] += float64(len(candidates[i].tasks)) * float64(step.Need.Millicores) / millicoresPerCore
		}
	}
	for _, h := range p.index.sorted {
		for image, cores := range h.throttling.requestedCores {
			if cores > 0 {
				demand[image] += cores
			}
		}
	}
	return demand
}

// isCompatible reports whether a best-effort image disturbs none of the serving tasks of a host.
func (p *Planner) isCompatible(h *host, image string) bool {
	for serving := range h.servingImages {
		if p.interference.perCore(serving, image) >= negligibleInterference {
			return false
		}
	}
	return true
}

// unreservedCores returns the processor time that the host has for best-effort tasks.
func (h *host) unreservedCores() float64 {
	return max(0, h.idleMillicores()+float64(h.bestEffortMillicores)) / millicoresPerCore
}
