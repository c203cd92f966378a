package pimplan

import (
	"container/heap"
	"slices"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// equivalenceClass is what decides whether a step fits anywhere, its size aside.
	equivalenceClass struct {
		service, requiredLabel, image string
		bestEffort                    bool
	}

	// unplaceable are the needs for which a plan found no host, by shape. A need that is as
	// large in every resource finds none either.
	unplaceable map[equivalenceClass][]pimjob.Resources

	// hostHeap is a heap of hosts for the tasks of one step, the best first.
	hostHeap struct {
		hosts []scoredHost
	}

	scoredHost struct {
		host  *host
		score float64
	}
)

// Len, Less, Swap, Push and Pop are for container/heap. Equal scores go by id.
func (r *hostHeap) Len() int { return len(r.hosts) }

// Less puts the higher score first.
func (r *hostHeap) Less(i, j int) bool {
	if r.hosts[i].score != r.hosts[j].score {
		return r.hosts[i].score > r.hosts[j].score
	}
	return r.hosts[i].host.worker.ID < r.hosts[j].host.worker.ID
}

// Swap exchanges two rows.
func (r *hostHeap) Swap(i, j int) { r.hosts[i], r.hosts[j] = r.hosts[j], r.hosts[i] }

// Push adds a row.
func (r *hostHeap) Push(row any) { r.hosts = append(r.hosts, row.(scoredHost)) }

// Pop takes the last row off.
func (r *hostHeap) Pop() any {
	last := r.hosts[len(r.hosts)-1]
	r.hosts = r.hosts[:len(r.hosts)-1]
	return last
}

func equivalenceClassOf(c candidate, step *pimjob.Step) equivalenceClass {
	s := equivalenceClass{service: c.job.Queue.Service, requiredLabel: step.RequiredLabel, bestEffort: step.BestEffort}
	if step.BestEffort {
		s.image = step.Image
	}
	return s
}

// contains reports whether a step is known to find no host.
func (r unplaceable) contains(c candidate, step *pimjob.Step) bool {
	if c.starved || step.LongRunning {
		return false
	}
	for _, refused := range r[equivalenceClassOf(c, step)] {
		if step.Need.Fits(refused) {
			return true
		}
	}
	return false
}

// maxUnplaceableBestEffort is how many filling steps may find no host before a plan looks at no more.
const maxUnplaceableBestEffort = 40

func (r unplaceable) countBestEffort() int {
	count := 0
	for shape, needs := range r {
		if shape.bestEffort {
			count += len(needs)
		}
	}
	return count
}

// place starts the tasks of a step as far as there is room.
func (p *Planner) place(c candidate, refused unplaceable, planned []placement, plan *Plan) []placement {
	step := &c.job.Submission.Steps[c.key.step]
	if refused.contains(c, step) || (step.BestEffort && !c.starved && refused.countBestEffort() >= maxUnplaceableBestEffort) {
		return planned
	}
	if step.Gang {
		return p.placeGang(c, step, planned, plan)
	}
	r := p.rankHosts(c, step, "")
	if r.Len() == 0 && step.MaxPerWorker == 0 && !c.starved {
		at := equivalenceClassOf(c, step)
		refused[at] = append(refused[at], step.Need)
		return planned
	}
	state := &c.job.Occurrences[c.key.occurrence].Steps[c.key.step]
	for _, index := range c.tasks {
		key := c.taskKey(index)
		h := p.takeBestHost(c, step, key, r)
		if h == nil {
			return planned
		}
		if c.starved {
			// One run is enough to go on; the others wait for a better place.
			c.starved = false
			r = p.rankHosts(c, step, "")
		}
		planned = append(planned, placement{h, key, step})
		plan.Starts = append(plan.Starts, pimjob.Start{Key: key, Number: state.Tasks[index].LastRun + 1, Worker: h.worker.ID, Generation: h.worker.Generation})
	}
	return planned
}

func (c *candidate) taskKey(index int) pimjob.TaskKey {
	return pimjob.TaskKey{Job: c.key.job, Occurrence: c.key.occurrence, Step: c.key.step, Index: index}
}

// placeGang starts all tasks of a step together or none, on one rack where that is asked for and possible.
func (p *Planner) placeGang(c candidate, step *pimjob.Step, planned []placement, plan *Plan) []placement {
	racks := []string{""}
	if step.SameRack {
		racks = append(p.racks(), "")
	}
	state := &c.job.Occurrences[c.key.occurrence].Steps[c.key.step]
	number := 0
	for i := range state.Tasks {
		number = max(number, state.Tasks[i].LastRun+1)
	}
	for _, rack := range racks {
		r := p.rankHosts(c, step, rack)
		var chosen []placement
		for _, index := range c.tasks {
			if h := p.takeBestHost(c, step, c.taskKey(index), r); h != nil {
				chosen = append(chosen, placement{h, c.taskKey(index), step})
			}
		}
		if len(chosen) < len(c.tasks) {
			for _, member := range chosen {
				member.host.remove(member.key, step)
			}
			continue
		}
		for _, member := range chosen {
			plan.Starts = append(plan.Starts, pimjob.Start{Key: member.key, Number: number, Worker: member.host.worker.ID, Generation: member.host.worker.Generation})
		}
		return append(planned, chosen...)
	}
	return planned
}

// racks returns the racks of the hosts, sorted.
func (p *Planner) racks() []string {
	var racks []string
	for _, h := range p.sortedHosts {
		racks = append(racks, h.worker.Rack)
	}
	slices.Sort(racks)
	return slices.Compact(racks)
}

// rankHosts returns the hosts that may take a task of the step.
func (p *Planner) rankHosts(c candidate, step *pimjob.Step, rack string) *hostHeap {
	r := &hostHeap{}
	for _, h := range p.sortedHosts {
		if !h.schedulable || h.worker.Service != c.job.Queue.Service || !h.worker.HasLabel(step.RequiredLabel) || (rack != "" && h.worker.Rack != rack) {
			continue
		}
		if score, ok := p.score(c, step, h); ok {
			r.hosts = append(r.hosts, scoredHost{h, score})
		}
	}
	heap.Init(r)
	return r
}

// takeBestHost takes the takeBestHost host for a task and puts the task on it. A host where the task
// failed or was held up is taken only if no other has room.
func (p *Planner) takeBestHost(c candidate, step *pimjob.Step, key pimjob.TaskKey, r *hostHeap) *host {
	var skipped []scoredHost
	var found *host
	for r.Len() > 0 && found == nil {
		row := heap.Pop(r).(scoredHost)
		if slices.Contains(p.unsuitableWorkers[key], row.host.worker.ID) {
			skipped = append(skipped, row)
			continue
		}
		found = row.host
	}
	if found == nil && len(skipped) > 0 {
		found = skipped[0].host
		skipped = skipped[1:]
	}
	for _, row := range skipped {
		heap.Push(r, row)
	}
	if found == nil {
		return nil
	}
	found.add(key, step)
	if score, ok := p.score(c, step, found); ok {
		heap.Push(r, scoredHost{found, score})
	}
	return found
}
