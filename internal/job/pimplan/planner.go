// Package pimplan decides which task runs on which worker. Plan is a pure function of
// the replicated state, of what workers listed last and of what the planner learned
// from ends; it reads no clock and gives the same plan for the same input.
package pimplan

import (
	"cmp"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// Workers tells what is known of a worker; *pimfleet.Fleet offers it.
	Workers interface {
		View(id string) pimfleet.WorkerView
	}

	// Planner keeps what it learned during one term of leadership.
	Planner struct {
		records map[string]*record
		// failedOn holds the workers on which a task failed.
		failedOn map[pimjob.TaskKey][]string
		paces    map[string]*paceState
		harms    *harmModel
	}

	// Input is what a plan is made from. Now is steady, WallClock in milliseconds since 1970.
	Input struct {
		State     *pimjob.State
		Workers   Workers
		Now       time.Duration
		WallClock int64
	}

	// Plan is what is to be done.
	Plan struct {
		Starts []pimjob.Start
		Stops  []Stop
		Paces  []Pace
		// NextDue is when the next occurrence is due, in milliseconds since 1970, or 0.
		NextDue int64
	}

	// Stop asks to stop a run.
	Stop struct {
		Worker string
		Key    pimjob.TaskKey
		Number int
		Why    string
	}

	// Pace asks to let a run work at a share of its speed.
	Pace struct {
		Worker  string
		Key     pimjob.TaskKey
		Number  int
		Percent int
	}

	// host is a row of the table of workers in one plan.
	host struct {
		worker  *pimjob.Worker
		view    pimfleet.WorkerView
		record  *record
		free    pimjob.Resources
		serving int64
		busy    int64
		filling int64
		fillers int
		steps   map[stepKey]int
		images  map[string]int
		// servers are the serving tasks with their tails; planned fillers raise them.
		servers []server
	}

	stepKey struct {
		job        string
		occurrence int
		step       int
	}

	// candidate is a step with tasks that may start.
	candidate struct {
		job      *pimjob.Job
		key      stepKey
		due      int64
		priority int
		tasks    []int
	}
)

// NewPlanner returns a planner that has learned nothing.
func NewPlanner() *Planner {
	return &Planner{records: map[string]*record{}, failedOn: map[pimjob.TaskKey][]string{}, paces: map[string]*paceState{}, harms: newHarmModel()}
}

// Plan decides what to start, stop and pace now.
func (p *Planner) Plan(in Input) Plan {
	var plan Plan
	hosts := p.buildHosts(in)
	candidates := p.findCandidates(in, &plan)
	for _, c := range candidates {
		p.place(in, c, hosts, &plan)
	}
	p.pace(in, hosts, &plan)
	return plan
}

func (p *Planner) buildHosts(in Input) []*host {
	var hosts []*host
	for _, worker := range in.State.Workers() {
		h := &host{worker: worker, view: in.Workers.View(worker.ID), record: p.recordOf(worker.ID), free: worker.Capacity, steps: map[stepKey]int{}, images: map[string]int{}}
		for key := range in.State.RunsOn(worker.ID) {
			_, step, _ := in.State.Task(key)
			h.add(key, step)
		}
		h.servers, _ = h.listSharers(in)
		hosts = append(hosts, h)
	}
	return hosts
}

func (h *host) add(key pimjob.TaskKey, step *pimjob.Step) {
	h.free = h.free.Minus(step.Reserved())
	h.steps[stepKey{key.Job, key.Occurrence, key.Step}]++
	switch {
	case step.Fills:
		h.filling += step.Need.Millicores
		h.fillers++
	case step.Target > 0:
		h.serving += step.Need.Millicores
		h.images[step.Image]++
	default:
		h.busy += step.Need.Millicores
	}
}

// isOpen reports whether new runs may go to the host.
func (h *host) isOpen(in Input) bool {
	return h.view.Usable && !h.worker.Draining && !in.State.IsOut(h.worker.Domain) && in.Now >= h.view.UnwellUntil
}

// findCandidates returns the steps with tasks to start, the most urgent first.
func (p *Planner) findCandidates(in Input, plan *Plan) []candidate {
	var candidates []candidate
	for _, job := range in.State.OpenJobs() {
		for o := range job.Occurrences {
			if due := job.Submission.DueAt(o); due > in.WallClock {
				if plan.NextDue == 0 || due < plan.NextDue {
					plan.NextDue = due
				}
				break
			}
			if job.Occurrences[o].Open > 0 {
				candidates = appendCandidates(candidates, job, o)
			}
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.due, b.due))
	})
	return candidates
}

func appendCandidates(candidates []candidate, job *pimjob.Job, occurrence int) []candidate {
	for s := range job.Submission.Steps {
		state := &job.Occurrences[occurrence].Steps[s]
		if state.Open == 0 || !job.StepIsReady(occurrence, s) {
			continue
		}
		var tasks []int
		for i := range state.Tasks {
			if !state.Tasks[i].Done && state.Tasks[i].Run == nil {
				tasks = append(tasks, i)
			}
		}
		if len(tasks) == 0 || (job.Submission.Steps[s].Gang && len(tasks) < len(state.Tasks)) {
			continue
		}
		candidates = append(candidates, candidate{
			job: job, key: stepKey{job.Submission.ID, occurrence, s}, tasks: tasks,
			priority: job.Queue.Priority, due: dueBy(job, occurrence),
		})
	}
	return candidates
}

// dueBy returns when an occurrence should be done, in milliseconds since 1970: the
// stretched sum of its steps' estimates and the queue's objective after its beginning.
func dueBy(job *pimjob.Job, occurrence int) int64 {
	begin := max(job.AcceptedAt, job.Submission.DueAt(occurrence))
	var chain time.Duration
	for i := range job.Submission.Steps {
		chain += job.Submission.Steps[i].Estimate
	}
	return begin + int64(float64(chain.Milliseconds())*max(1, job.Queue.Stretch)) + job.Queue.Objective.Milliseconds()
}

// place starts the tasks of a step as far as there is room.
func (p *Planner) place(in Input, c candidate, hosts []*host, plan *Plan) {
	step := &c.job.Submission.Steps[c.key.step]
	if step.Gang {
		p.placeGang(in, c, step, hosts, plan)
		return
	}
	state := &c.job.Occurrences[c.key.occurrence].Steps[c.key.step]
	for _, index := range c.tasks {
		key := pimjob.TaskKey{Job: c.key.job, Occurrence: c.key.occurrence, Step: c.key.step, Index: index}
		best := p.choose(in, c, step, key, hosts, "")
		if best == nil {
			return
		}
		best.add(key, step)
		if step.Fills {
			best.disturb(p.harms, step)
		}
		plan.Starts = append(plan.Starts, pimjob.Start{Key: key, Number: state.Tasks[index].Last + 1, Worker: best.worker.ID, Born: best.worker.Born})
	}
}

// placeGang starts all tasks of a step together or none, on one rack where that is asked for and possible.
func (p *Planner) placeGang(in Input, c candidate, step *pimjob.Step, hosts []*host, plan *Plan) {
	racks := []string{""}
	if step.SameRack {
		racks = append(racksOf(hosts), "")
	}
	number := 0
	state := &c.job.Occurrences[c.key.occurrence].Steps[c.key.step]
	for i := range state.Tasks {
		number = max(number, state.Tasks[i].Last+1)
	}
	for _, rack := range racks {
		var chosen []*host
		for _, index := range c.tasks {
			key := pimjob.TaskKey{Job: c.key.job, Occurrence: c.key.occurrence, Step: c.key.step, Index: index}
			best := p.choose(in, c, step, key, hosts, rack)
			if best == nil {
				break
			}
			best.add(key, step)
			chosen = append(chosen, best)
		}
		if len(chosen) == len(c.tasks) {
			for i, h := range chosen {
				key := pimjob.TaskKey{Job: c.key.job, Occurrence: c.key.occurrence, Step: c.key.step, Index: c.tasks[i]}
				plan.Starts = append(plan.Starts, pimjob.Start{Key: key, Number: number, Worker: h.worker.ID, Born: h.worker.Born})
			}
			return
		}
		for _, h := range chosen {
			h.remove(c.key, step)
		}
	}
}

func (h *host) remove(key stepKey, step *pimjob.Step) {
	h.free = h.free.Plus(step.Reserved())
	h.steps[key]--
	switch {
	case step.Fills:
		h.filling -= step.Need.Millicores
		h.fillers--
	case step.Target > 0:
		h.serving -= step.Need.Millicores
	default:
		h.busy -= step.Need.Millicores
	}
}

// racksOf returns all labels of the workers, sorted; the kinds among them do no harm.
func racksOf(hosts []*host) []string {
	var racks []string
	for _, h := range hosts {
		racks = append(racks, h.worker.Labels...)
	}
	slices.Sort(racks)
	return slices.Compact(racks)
}

// choose returns the best host for a task, or nil.
func (p *Planner) choose(in Input, c candidate, step *pimjob.Step, key pimjob.TaskKey, hosts []*host, rack string) *host {
	var best *host
	bestScore := 0.0
	for _, h := range hosts {
		if h.worker.Service != c.job.Queue.Service || !h.isOpen(in) || !h.free.Fits(step.Reserved()) {
			continue
		}
		if !h.worker.HasLabel(step.Requirement) || !h.worker.HasLabel(rack) {
			continue
		}
		if step.MaxPerWorker > 0 && h.steps[c.key] >= step.MaxPerWorker {
			continue
		}
		score, ok := p.score(in, step, key, h)
		if ok && (best == nil || score > bestScore) {
			best, bestScore = h, score
		}
	}
	return best
}
