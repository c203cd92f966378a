package pimplace

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimdomain"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimmanifest"
)

// Policy selects how workers are chosen. The baselines stay selectable so that
// each measurement can be made against them.
type Policy string

// Policies.
const (
	// PolicyInterference fits by the larger of declared and observed size, spreads
	// services over racks and avoids pairs that slow each other down.
	PolicyInterference Policy = "interference"
	// PolicyFirstFit takes the first worker by id with room for the declared size.
	PolicyFirstFit Policy = "first-fit"
)

// maxPlacementsPerTick bounds the work of one tick.
const maxPlacementsPerTick = 256

// target is what a tick knows of one worker while it places.
type target struct {
	worker *Worker
	free   pimmanifest.Resources
	tasks  []pimconfig.TaskID
}

// placePending assigns tasks that do not run: services by priority, then batch by team.
func (p *Placer) placePending(now time.Duration, view View) {
	if !view.StartsAllowed {
		return
	}
	pending := p.pending(now, view)
	if len(pending) == 0 {
		return
	}
	rooms := p.placementTargets(now, view)
	var assignments []pimdomain.Assignment
	for _, id := range pending {
		if len(assignments) == maxPlacementsPerTick {
			break
		}
		owned := view.Owned[id]
		needs := p.estimate(id.Job, owned.Spec.Needs)
		chosen, candidates := p.chooseTarget(rooms, id, owned, needs)
		if chosen == nil {
			p.evictForService(now, rooms, id, owned, needs, view)
			continue
		}
		assignments = append(assignments, p.assign(chosen, id, owned, needs, candidates, view))
	}
	if len(assignments) > 0 {
		p.proposals = append(p.proposals, pimdomain.AssignTasks{Version: view.ConfigVersion, Assignments: assignments})
	}
}

func (p *Placer) assign(chosen *target, id pimconfig.TaskID, owned OwnedTask, needs pimmanifest.Resources, candidates int, view View) pimdomain.Assignment {
	row := view.State.Tasks[id]
	chosen.free = chosen.free.Sub(needs)
	chosen.tasks = append(chosen.tasks, id)
	p.reserved[id] = reservation{worker: chosen.worker.ID, needs: needs, logIndex: ^uint64(0)}
	p.decisions = append(p.decisions, Decision{Task: id, Choice: chosen.worker.ID, Reason: string(p.policy), Candidates: candidates})
	assignment := pimdomain.Assignment{
		Task: id, Epoch: owned.Owner.Epoch, Worker: chosen.worker.ID, Checkpoint: owned.Owner.Checkpoint, Needs: needs,
	}
	if row.Epoch == owned.Owner.Epoch {
		assignment.ExpectedIncarnation = row.Incarnation
	}
	return assignment
}

// pending returns the tasks to place, most urgent first, and counts those that wait,
// the ones that are held back for a while included.
func (p *Placer) pending(now time.Duration, view View) []pimconfig.TaskID {
	p.waitingTasks = 0
	var pending []pimconfig.TaskID
	for id, owned := range view.Owned {
		row := view.State.Tasks[id]
		ended := row.Epoch == owned.Owner.Epoch && (row.Released || row.LastOutcome == pimdomain.OutcomeFinished)
		if owned.Owner.Releasing || row.Worker != "" || ended || p.isReserved(id) {
			continue
		}
		p.waitingTasks++
		if !owned.Spec.Service && (!view.BatchAllowed || p.inBackoff(now, id.Job)) {
			continue
		}
		pending = append(pending, id)
	}
	slices.SortFunc(pending, func(a, b pimconfig.TaskID) int {
		return cmp.Or(compareUrgency(view.Owned[a].Spec, view.Owned[b].Spec), pimconfig.CompareTasks(a, b))
	})
	return interleaveTeams(pending, view)
}

// compareUrgency orders services before batch and higher priorities first.
func compareUrgency(a, b TaskSpec) int {
	if a.Service != b.Service {
		if a.Service {
			return -1
		}
		return 1
	}
	return cmp.Compare(b.Priority, a.Priority)
}

// interleaveTeams keeps services in front and takes batch tasks from the teams in turn.
func interleaveTeams(pending []pimconfig.TaskID, view View) []pimconfig.TaskID {
	first := slices.IndexFunc(pending, func(id pimconfig.TaskID) bool { return !view.Owned[id].Spec.Service })
	if first < 0 {
		return pending
	}
	lines := map[string][]pimconfig.TaskID{}
	for _, id := range pending[first:] {
		team := view.Owned[id].Spec.Team
		lines[team] = append(lines[team], id)
	}
	ordered := slices.Clone(pending[:first])
	teams := slices.Sorted(maps.Keys(lines))
	for len(ordered) < len(pending) {
		for _, team := range teams {
			if len(lines[team]) > 0 {
				ordered = append(ordered, lines[team][0])
				lines[team] = lines[team][1:]
			}
		}
	}
	return ordered
}

// placementTargets returns the workers that may take tasks, with what is free on each.
func (p *Placer) placementTargets(now time.Duration, view View) []*target {
	byWorker := map[string]*target{}
	var rooms []*target
	for _, worker := range p.Workers() {
		if !p.acceptsTasks(now, worker, view) {
			continue
		}
		r := &target{worker: worker, free: worker.Capacity}
		byWorker[worker.ID] = r
		rooms = append(rooms, r)
	}
	for _, r := range rooms {
		r.tasks = view.State.TasksOn(r.worker.ID)
		for _, id := range r.tasks {
			r.free = r.free.Sub(p.estimate(id.Job, view.State.Tasks[id].Needs))
		}
	}
	for _, id := range sortedTasks(p.reserved) {
		if r := byWorker[p.reserved[id].worker]; r != nil {
			r.free = r.free.Sub(p.reserved[id].needs)
			r.tasks = append(r.tasks, id)
		}
	}
	return rooms
}

// acceptsTasks reports whether a worker's lease is fresh enough and it is not set aside.
func (p *Placer) acceptsTasks(now time.Duration, worker *Worker, view View) bool {
	fresh := now-worker.LastSeenAt <= WorkerLease/2
	return fresh && !view.State.Quarantined[worker.ID]
}

// chooseTarget returns the best worker with room, and how many had room.
func (p *Placer) chooseTarget(rooms []*target, id pimconfig.TaskID, owned OwnedTask, needs pimmanifest.Resources) (*target, int) {
	var best *target
	bestCost := 0.0
	candidates := 0
	racks := p.replicasByRack(rooms, id.Job, owned.Spec)
	for _, r := range rooms {
		if !needs.Fits(r.free) {
			continue
		}
		candidates++
		if p.policy == PolicyFirstFit {
			if best == nil {
				best = r
			}
			continue
		}
		cost := p.cost(r, id, owned, needs, racks)
		if best == nil || cost < bestCost {
			best, bestCost = r, cost
		}
	}
	return best, candidates
}

// replicasByRack counts the replicas of a service in each rack.
func (p *Placer) replicasByRack(rooms []*target, job string, spec TaskSpec) map[string]int {
	racks := map[string]int{}
	if !spec.Service {
		return racks
	}
	for _, r := range rooms {
		for _, id := range r.tasks {
			if id.Job == job {
				racks[r.worker.Rack]++
			}
		}
	}
	return racks
}

// Weights of the parts of a placement's cost.
const (
	rackWeight     = 1.0
	hostWeight     = 2.0
	loadWeight     = 0.5
	slowdownWeight = 4.0
)

func (p *Placer) cost(r *target, id pimconfig.TaskID, owned OwnedTask, needs pimmanifest.Resources, racks map[string]int) float64 {
	cost := rackWeight * float64(racks[r.worker.Rack])
	for _, other := range r.tasks {
		if other.Job == id.Job && owned.Spec.Service {
			cost += hostWeight
		}
		cost += slowdownWeight * p.pairSlowdown(id.Job, other.Job)
	}
	used := r.worker.Capacity.Sub(r.free).Add(needs)
	cost += loadWeight * fraction(used.CPUMillis, r.worker.Capacity.CPUMillis)
	cost += loadWeight * fraction(used.MemoryMB, r.worker.Capacity.MemoryMB)
	return cost
}

func fraction(amount, whole int64) float64 {
	if whole <= 0 {
		return 1
	}
	return float64(amount) / float64(whole)
}
