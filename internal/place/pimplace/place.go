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

// Policy selects how workers are chosen. The baseline policy stays selectable for
// comparison in measurements.
type Policy string

// Placement policies.
const (
	// PolicyInterference reserves the larger of the declared and the observed resources,
	// spreads the replicas of a service over racks and keeps apart jobs that slow each
	// other down.
	PolicyInterference Policy = "interference"
	// PolicyFirstFit takes the first worker by ID with enough free capacity for the
	// declared resources. It neither throttles nor evicts.
	PolicyFirstFit Policy = "first-fit"
)

// maxPlacementsPerTick bounds the work of one tick and the size of its log entry.
const maxPlacementsPerTick = 256

// target is a worker that accepts tasks, with its free capacity and its tasks,
// reservations included.
type target struct {
	worker *Worker
	free   pimmanifest.Resources
	tasks  []pimconfig.TaskID
}

// placePending assigns tasks that have no worker: services by priority, then the
// batch tasks of the teams in turn.
func (p *Placer) placePending(now time.Duration, view View) {
	if !view.StartsAllowed {
		return
	}
	pending := p.pending(now, view)
	if len(pending) == 0 {
		return
	}
	targets := p.placementTargets(now, view)
	var assignments []pimdomain.Assignment
	for _, id := range pending {
		if len(assignments) == maxPlacementsPerTick {
			break
		}
		owned := view.Owned[id]
		needs := p.estimate(id.Job, owned.Spec.Needs)
		chosen, candidates := p.chooseTarget(targets, id, owned, needs)
		if chosen == nil {
			p.evictForService(now, targets, id, owned, needs, view)
			continue
		}
		assignments = append(assignments, p.assign(chosen, id, owned, needs, candidates, view))
	}
	if len(assignments) > 0 {
		p.proposals = append(p.proposals, pimdomain.AssignTasks{Version: view.ConfigVersion, Assignments: assignments})
	}
}

// assign reserves capacity on the chosen worker and returns the assignment to propose.
func (p *Placer) assign(
	chosen *target, id pimconfig.TaskID, owned OwnedTask, needs pimmanifest.Resources, candidates int, view View,
) pimdomain.Assignment {
	row := view.State.Tasks[id]
	chosen.free = chosen.free.Sub(needs)
	chosen.tasks = append(chosen.tasks, id)
	p.reserved[id] = reservation{worker: chosen.worker.ID, needs: needs, logIndex: ^uint64(0)}
	p.decisions = append(p.decisions, Decision{
		Task: id, Choice: chosen.worker.ID, Reason: string(p.policy), Candidates: candidates,
	})
	assignment := pimdomain.Assignment{
		Task: id, Epoch: owned.Owner.Epoch, Worker: chosen.worker.ID, Checkpoint: owned.Owner.Checkpoint, Needs: needs,
	}
	if row.Epoch == owned.Owner.Epoch {
		assignment.ExpectedIncarnation = row.Incarnation
	}
	return assignment
}

// pending returns the tasks to place, most urgent first. It also sets waitingTasks,
// which includes batch tasks that may not start now or whose job is in backoff.
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

// compareUrgency orders services before batch tasks, then by descending priority.
func compareUrgency(a, b TaskSpec) int {
	if a.Service != b.Service {
		if a.Service {
			return -1
		}
		return 1
	}
	return cmp.Compare(b.Priority, a.Priority)
}

// interleaveTeams leaves the services first and takes the batch tasks from the teams
// in turn, so that one team's tasks can't delay all others.
func interleaveTeams(pending []pimconfig.TaskID, view View) []pimconfig.TaskID {
	first := slices.IndexFunc(pending, func(id pimconfig.TaskID) bool { return !view.Owned[id].Spec.Service })
	if first < 0 {
		return pending
	}
	byTeam := map[string][]pimconfig.TaskID{}
	for _, id := range pending[first:] {
		team := view.Owned[id].Spec.Team
		byTeam[team] = append(byTeam[team], id)
	}
	ordered := slices.Clone(pending[:first])
	teams := slices.Sorted(maps.Keys(byTeam))
	for len(ordered) < len(pending) {
		for _, team := range teams {
			if len(byTeam[team]) > 0 {
				ordered = append(ordered, byTeam[team][0])
				byTeam[team] = byTeam[team][1:]
			}
		}
	}
	return ordered
}

// placementTargets returns the workers that accept tasks, sorted by ID.
func (p *Placer) placementTargets(now time.Duration, view View) []*target {
	byWorker := map[string]*target{}
	var targets []*target
	for _, worker := range p.Workers() {
		if !p.acceptsTasks(now, worker, view) {
			continue
		}
		t := &target{worker: worker, free: worker.Capacity}
		byWorker[worker.ID] = t
		targets = append(targets, t)
	}
	for _, t := range targets {
		t.tasks = view.State.TasksOn(t.worker.ID)
		for _, id := range t.tasks {
			t.free = t.free.Sub(p.estimate(id.Job, view.State.Tasks[id].Needs))
		}
	}
	for _, id := range sortedTasks(p.reserved) {
		if t := byWorker[p.reserved[id].worker]; t != nil {
			t.free = t.free.Sub(p.reserved[id].needs)
			t.tasks = append(t.tasks, id)
		}
	}
	return targets
}

// acceptsTasks reports whether a worker was seen within half a lease and is not
// quarantined.
func (p *Placer) acceptsTasks(now time.Duration, worker *Worker, view View) bool {
	fresh := now-worker.LastSeenAt <= WorkerLease/2
	return fresh && !view.State.Quarantined[worker.ID]
}

// chooseTarget returns the worker with the lowest cost, or nil if the task fits on none,
// and the number of workers on which it fits.
func (p *Placer) chooseTarget(
	targets []*target, id pimconfig.TaskID, owned OwnedTask, needs pimmanifest.Resources,
) (*target, int) {
	var best *target
	bestCost := 0.0
	candidates := 0
	racks := p.replicasByRack(targets, id.Job, owned.Spec)
	for _, t := range targets {
		if !needs.Fits(t.free) {
			continue
		}
		candidates++
		if p.policy == PolicyFirstFit {
			if best == nil {
				best = t
			}
			continue
		}
		cost := p.cost(t, id, owned, needs, racks)
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best, candidates
}

// replicasByRack counts the replicas of a service in each rack; it is empty for batch
// jobs.
func (p *Placer) replicasByRack(targets []*target, job string, spec TaskSpec) map[string]int {
	racks := map[string]int{}
	if !spec.Service {
		return racks
	}
	for _, t := range targets {
		for _, id := range t.tasks {
			if id.Job == job {
				racks[t.worker.Rack]++
			}
		}
	}
	return racks
}

// Weights of the terms of the placement cost. rackWeight and hostWeight apply to each
// replica of the same service in the rack and on the worker, loadWeight to each of the
// used fractions of CPU and memory, slowdownWeight to the slowdown of each job pair.
const (
	rackWeight     = 1.0
	hostWeight     = 2.0
	loadWeight     = 0.5
	slowdownWeight = 4.0
)

// cost is the cost of placing a task on a worker; lower is better.
func (p *Placer) cost(
	t *target, id pimconfig.TaskID, owned OwnedTask, needs pimmanifest.Resources, racks map[string]int,
) float64 {
	cost := rackWeight * float64(racks[t.worker.Rack])
	for _, other := range t.tasks {
		if other.Job == id.Job && owned.Spec.Service {
			cost += hostWeight
		}
		cost += slowdownWeight * p.pairSlowdown(id.Job, other.Job)
	}
	used := t.worker.Capacity.Sub(t.free).Add(needs)
	cost += loadWeight * fraction(used.CPUMillis, t.worker.Capacity.CPUMillis)
	cost += loadWeight * fraction(used.MemoryMB, t.worker.Capacity.MemoryMB)
	return cost
}

func fraction(amount, whole int64) float64 {
	if whole <= 0 {
		return 1
	}
	return float64(amount) / float64(whole)
}
