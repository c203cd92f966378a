package pimplan

import (
	"cmp"
	"slices"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimwait"
)

// maxForecastRacks limits the racks that are considered for a waiting gang.
const maxForecastRacks = 8

// isGangNear reports whether all members of a gang are on one rack, if the step asks for it, or else have its preferred
// label.
func isGangNear(step *pimjob.Step, members []placement) bool {
	return !slices.ContainsFunc(members, func(member placement) bool {
		if step.SameRack {
			return member.host.worker.Rack != members[0].host.worker.Rack
		}
		return !member.host.worker.HasLabel(step.PreferredLabel)
	})
}

// gangWaits decides whether a gang that could start away from its preferred hosts waits for them instead.
func (p *Planner) gangWaits(c candidate, step *pimjob.Step, members []placement, plan *Plan) bool {
	w := &p.waits
	if !w.enabled() || c.starved || step.LongRunning || step.BestEffort || step.MaxPerWorker > 0 || isGangNear(step, members) {
		return false
	}
	for _, member := range members {
		member.host.remove(member.key, step)
	}
	request := p.waitRequest(c, step, c.tasks)
	best := pimwait.Decision{Reason: pimwait.PreferredGone}
	for _, hosts := range p.gangHosts(c, step) {
		offer := request
		offer.Preferred = p.forecast(hosts)
		if decision := pimwait.Decide(offer); best.Reason == pimwait.PreferredGone || decision.Gain > best.Gain {
			best, request = decision, offer
		}
	}
	if p.applyDecision(c, c.tasks, request, best, plan) {
		return true
	}
	for _, member := range members {
		member.host.add(member.key, step)
	}
	return false
}

// gangHosts returns the groups of hosts for one of which a gang may wait. They are limited to the racks with the most free
// processor time, as these are expected to have room first.
func (p *Planner) gangHosts(c candidate, step *pimjob.Step) [][]*host {
	if !step.SameRack {
		return [][]*host{p.forecastPreferred(c, step)}
	}
	var groups [][]*host
	for _, rack := range p.racksByFree(c.job.Queue.Service) {
		var hosts []*host
		places := int64(0)
		for _, h := range p.hostTopology().byRack[rack].hosts {
			if p.mayWaitFor(c, step, h) {
				hosts = append(hosts, h)
				places += countPlaces(h.worker.Capacity, step.Need)
			}
		}
		if places < int64(len(c.tasks)) || len(hosts) > maxPreferredHosts {
			continue
		}
		if groups = append(groups, hosts); len(groups) == maxForecastRacks {
			break
		}
	}
	return groups
}

// racksByFree returns the racks with hosts of a service, those with the most free processor time first.
func (p *Planner) racksByFree(service string) []string {
	if known, ok := p.waits.plan.rackOrder[service]; ok {
		return known
	}
	free := map[string]int64{}
	for _, h := range p.index.sorted {
		if p.refreshHost(h); h.schedulable && h.worker.Service == service && h.worker.Rack != "" {
			free[h.worker.Rack] += h.free.Millicores
		}
	}
	racks := make([]string, 0, len(free))
	for rack := range free {
		racks = append(racks, rack)
	}
	slices.SortFunc(racks, func(a, b string) int { return cmp.Or(cmp.Compare(free[b], free[a]), cmp.Compare(a, b)) })
	p.waits.plan.rackOrder[service] = racks
	return racks
}
