package pimplan

import (
	"container/heap"
	"slices"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// shape is what decides whether a step fits anywhere, its size aside.
	shape struct {
		service, requirement, image string
		fills                       bool
	}

	// refusals are the needs for which a plan found no host, by shape. A need that is as
	// large in every resource finds none either.
	refusals map[shape][]pimjob.Resources

	// ranking is a heap of hosts for the tasks of one step, the best first.
	ranking struct {
		rows []ranked
	}

	ranked struct {
		host  *host
		score float64
	}
)

// Len, Less, Swap, Push and Pop are for container/heap. Equal scores go by id.
func (r *ranking) Len() int { return len(r.rows) }

// Less puts the higher score first.
func (r *ranking) Less(i, j int) bool {
	if r.rows[i].score != r.rows[j].score {
		return r.rows[i].score > r.rows[j].score
	}
	return r.rows[i].host.worker.ID < r.rows[j].host.worker.ID
}

// Swap exchanges two rows.
func (r *ranking) Swap(i, j int) { r.rows[i], r.rows[j] = r.rows[j], r.rows[i] }

// Push adds a row.
func (r *ranking) Push(row any) { r.rows = append(r.rows, row.(ranked)) }

// Pop takes the last row off.
func (r *ranking) Pop() any {
	last := r.rows[len(r.rows)-1]
	r.rows = r.rows[:len(r.rows)-1]
	return last
}

func shapeOf(c candidate, step *pimjob.Step) shape {
	s := shape{service: c.job.Queue.Service, requirement: step.RequiredLabel, fills: step.BestEffort}
	if step.BestEffort {
		s.image = step.Image
	}
	return s
}

// covers reports whether a step is known to find no host.
func (r refusals) covers(c candidate, step *pimjob.Step) bool {
	if c.starved || step.LongRunning {
		return false
	}
	for _, refused := range r[shapeOf(c, step)] {
		if step.Need.Fits(refused) {
			return true
		}
	}
	return false
}

// maxRefused is how many filling steps may find no host before a plan looks at no more.
const maxRefused = 40

func (r refusals) fillers() int {
	count := 0
	for shape, needs := range r {
		if shape.fills {
			count += len(needs)
		}
	}
	return count
}

// place starts the tasks of a step as far as there is room.
func (p *Planner) place(c candidate, refused refusals, planned []placed, plan *Plan) []placed {
	step := &c.job.Submission.Steps[c.key.step]
	if refused.covers(c, step) || (step.BestEffort && !c.starved && refused.fillers() >= maxRefused) {
		return planned
	}
	if step.Gang {
		return p.placeGang(c, step, planned, plan)
	}
	r := p.rank(c, step, "")
	if r.Len() == 0 && step.MaxPerWorker == 0 && !c.starved {
		at := shapeOf(c, step)
		refused[at] = append(refused[at], step.Need)
		return planned
	}
	state := &c.job.Occurrences[c.key.occurrence].Steps[c.key.step]
	for _, index := range c.tasks {
		key := c.task(index)
		h := p.best(c, step, key, r)
		if h == nil {
			return planned
		}
		if c.starved {
			// One run is enough to go on; the others wait for a better place.
			c.starved = false
			r = p.rank(c, step, "")
		}
		planned = append(planned, placed{h, key, step})
		plan.Starts = append(plan.Starts, pimjob.Start{Key: key, Number: state.Tasks[index].LastRun + 1, Worker: h.worker.ID, Generation: h.worker.Generation})
	}
	return planned
}

func (c *candidate) task(index int) pimjob.TaskKey {
	return pimjob.TaskKey{Job: c.key.job, Occurrence: c.key.occurrence, Step: c.key.step, Index: index}
}

// placeGang starts all tasks of a step together or none, on one rack where that is asked for and possible.
func (p *Planner) placeGang(c candidate, step *pimjob.Step, planned []placed, plan *Plan) []placed {
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
		r := p.rank(c, step, rack)
		var chosen []placed
		for _, index := range c.tasks {
			if h := p.best(c, step, c.task(index), r); h != nil {
				chosen = append(chosen, placed{h, c.task(index), step})
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
	for _, h := range p.order {
		racks = append(racks, h.worker.Rack)
	}
	slices.Sort(racks)
	return slices.Compact(racks)
}

// rank returns the hosts that may take a task of the step.
func (p *Planner) rank(c candidate, step *pimjob.Step, rack string) *ranking {
	r := &ranking{}
	for _, h := range p.order {
		if !h.open || h.worker.Service != c.job.Queue.Service || !h.worker.HasLabel(step.RequiredLabel) || (rack != "" && h.worker.Rack != rack) {
			continue
		}
		if score, ok := p.score(c, step, h); ok {
			r.rows = append(r.rows, ranked{h, score})
		}
	}
	heap.Init(r)
	return r
}

// best takes the best host for a task and puts the task on it. A host where the task
// failed or was held up is taken only if no other has room.
func (p *Planner) best(c candidate, step *pimjob.Step, key pimjob.TaskKey, r *ranking) *host {
	var skipped []ranked
	var found *host
	for r.Len() > 0 && found == nil {
		row := heap.Pop(r).(ranked)
		if slices.Contains(p.unfit[key], row.host.worker.ID) {
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
		heap.Push(r, ranked{found, score})
	}
	return found
}
