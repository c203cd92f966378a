package pimplan

import (
	"container/heap"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimshare"
)

const (
	// minReservedPart is the part of the processor time of a host, or of its memory or accelerators, that the tasks which
	// start together must need to get a reservation. Smaller ones find space without one.
	minReservedPart = 0.25
	// reservedHostsPart is the part of the hosts that may be reserved. A reserved host is half idle on average, so this
	// costs at most a thirty-second of the capacity. Where no other reservation is held, a large gang may reserve
	// maxGangHostsPart of the hosts.
	reservedHostsPart = 1.0 / 16
	maxGangHostsPart  = 1.0 / 4
	// reservationLimit is how long hosts are reserved for a step: several times the duration of most tasks, after which the
	// hosts are expected to hold something that does not end.
	reservationLimit = 10 * time.Second
	// maxReservationAttempts bounds the cost of a plan in which many steps find no hosts to reserve: each attempt is a pass
	// over all hosts. Above maxExactHosts it stands for as many hosts, not steps.
	maxReservationAttempts = 32
	// maxAbandoned bounds the memory of steps whose reservation expired.
	maxAbandoned = 4096
)

// reservations are the steps for which hosts are kept free until the runs there have ended: tasks of many cores and gangs,
// which otherwise start only if enough capacity becomes free at the same moment. They are not replicated: a new leader
// makes them again once a job has been starved for starvedAfter.
type reservations struct {
	// since is when hosts were first reserved for a step, seen whether the current plan has considered the step.
	since map[stepKey]time.Duration
	seen  map[stepKey]bool
	// abandoned are the steps whose reservation expired.
	abandoned map[stepKey]bool
	// hosts and attempts count the reserved hosts and the attempts of the current plan.
	hosts, attempts int
	// smallest is the least that any host has of each resource.
	smallest pimjob.Resources
}

func newReservations() reservations {
	return reservations{since: map[stepKey]time.Duration{}, seen: map[stepKey]bool{}, abandoned: map[stepKey]bool{}}
}

// resetReservations makes the reserved hosts available to the first group of a plan.
func (p *Planner) resetReservations() {
	r := &p.shares.reservations
	p.index.releaseReserved()
	r.smallest = p.index.smallestCapacity()
	r.hosts, r.attempts = 0, 0
	clear(r.seen)
}

// dropUnusedReservations ends the reservations of steps that the plan has not considered.
func (p *Planner) dropUnusedReservations() {
	for key := range p.shares.reservations.since {
		if !p.shares.reservations.seen[key] {
			delete(p.shares.reservations.since, key)
		}
	}
}

// placeReserved places the steps that hold reservations before all others of their priority, and keeps their hosts from
// the others if they still find no space.
func (p *Planner) placeReserved(
	candidates []candidate, shares *pimshare.Shares, unplaced unplaceable, placements []placement, plan *Plan,
) []placement {
	if len(p.shares.reservations.since) == 0 {
		return placements
	}
	for i := range candidates {
		c := &candidates[i]
		if _, ok := p.shares.reservations.since[c.key]; !ok || !c.starved {
			continue
		}
		placed := 0
		if placements, placed = p.placeAndCount(*c, unplaced, placements, plan); placed == 0 {
			p.reserve(*c, shares, plan)
			continue
		}
		if c.job.Organisation != "" {
			shares.Use(c.job.Organisation, c.job.Submission.Steps[c.key.step].Need.Amounts(), placed)
		}
		c.tasks, c.starved = c.tasks[placed:], false
	}
	return placements
}

// reserve keeps hosts from the candidates that follow in the plan, so that the step finds space there once the runs on
// them have ended. Those with the most free processor time come first, so that the next plan chooses the same ones.
func (p *Planner) reserve(c candidate, shares *pimshare.Shares, plan *Plan) {
	r, step := &p.shares.reservations, &c.job.Submission.Steps[c.key.step]
	if !c.starved || step.BestEffort || !isLargePart(step, c.together(step), r.smallest) || r.abandoned[c.key] ||
		!p.quotaOf(c.job).admits(step.Need, c.together(step)) {
		return
	}
	since, ok := r.since[c.key]
	if !ok && c.job.Organisation != "" && shares.IsAboveFairShare(c.job.Organisation) {
		return
	}
	if ok && p.shares.now-since > reservationLimit {
		if len(r.abandoned) >= maxAbandoned {
			clear(r.abandoned)
		}
		r.abandoned[c.key] = true
		plan.Reservations = append(plan.Reservations, Reservation{Key: c.taskKey(c.tasks[0]), Tasks: c.together(step)})
		return
	}
	limit := max(1, int(reservedHostsPart*float64(len(p.index.sorted)))) - r.hosts
	if r.hosts == 0 {
		limit = max(1, int(maxGangHostsPart*float64(len(p.index.sorted))))
	}
	if limit <= 0 || r.attempts >= maxReservationAttempts ||
		r.attempts*len(p.index.sorted) > maxReservationAttempts*maxExactHosts {
		return
	}
	r.attempts++
	chosen := p.hostsToReserve(c, step, limit)
	if len(chosen) == 0 {
		return
	}
	for _, h := range chosen {
		p.index.reserve(h)
	}
	r.hosts += len(chosen)
	r.seen[c.key] = true
	if !ok {
		r.since[c.key] = p.shares.now
		plan.Reservations = append(plan.Reservations, Reservation{
			Key: c.taskKey(c.tasks[0]), Tasks: c.together(step), Hosts: len(chosen),
		})
	}
}

// hostsToReserve returns at most limit hosts that can take the tasks of a step once all but the serving tasks on them
// have ended, or none if these do not suffice.
func (p *Planner) hostsToReserve(c candidate, step *pimjob.Step, limit int) []*host {
	var usable []*host
	for _, h := range p.index.sorted {
		if p.mayRunOn(c.job, step, h) && h.roomFor(step) > 0 &&
			isLargePart(step, c.together(step), h.worker.Capacity) {
			usable = append(usable, h)
		}
	}
	ranked := &hostHeap{}
	for _, h := range usable {
		ranked.hosts = append(ranked.hosts, scoredHost{h, float64(h.free.Millicores), h.version})
	}
	heap.Init(ranked)
	chosen := usable[:0]
	for missing := c.together(step); missing > 0; {
		if ranked.Len() == 0 || len(chosen) >= limit {
			return nil
		}
		h := heap.Pop(ranked).(scoredHost).host
		chosen, missing = append(chosen, h), missing-h.roomFor(step)
	}
	return chosen
}

// together returns how many tasks of the step start at once.
func (c *candidate) together(step *pimjob.Step) int {
	if step.Gang {
		return len(c.tasks)
	}
	return 1
}

// roomFor returns how many tasks of a step fit beside the serving tasks of the host.
func (h *host) roomFor(step *pimjob.Step) int {
	room := h.worker.Capacity
	room.Millicores = h.free.Millicores + h.otherMillicores
	count := int64(step.Count)
	bound := func(room, need int64) {
		if need > 0 {
			count = min(count, room/need)
		}
	}
	bound(room.Millicores, step.Need.Millicores)
	bound(room.MemoryMB, step.Need.MemoryMB)
	bound(room.GPUs, step.Need.GPUs)
	return int(max(0, count))
}

// isLargePart reports whether count tasks of a step need a large part of the capacity of a host.
func isLargePart(step *pimjob.Step, count int, capacity pimjob.Resources) bool {
	isLarge := func(need, capacity int64) bool {
		return float64(need)*float64(count) >= minReservedPart*float64(capacity) && need > 0
	}
	return isLarge(step.Need.Millicores, capacity.Millicores) || isLarge(step.Need.MemoryMB, capacity.MemoryMB) ||
		isLarge(step.Need.GPUs, capacity.GPUs)
}
