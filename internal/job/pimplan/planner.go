// Package pimplan decides which task runs on which worker. A Planner keeps tables of
// hosts and of jobs with waiting tasks, which change only with the state, so that a plan
// costs what has changed. It reads no clock and gives the same plans for the same input.
package pimplan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// Workers tells what is known of a worker; *pimfleet.Fleet offers it.
	Workers interface {
		// IsUsable reports whether a worker may get new runs at that time.
		IsUsable(id string, now time.Duration) bool
		// Rows returns what a worker last listed of its runs.
		ObservedRuns(id string) []pimfleet.ObservedRun
		// TakeFresh returns the workers that listed their runs since the last call, sorted.
		TakeUpdatedWorkers() []string
	}

	// Planner plans during one term of leadership.
	Planner struct {
		state   *pimjob.State
		workers Workers
		hosts   map[string]*host
		// order holds the hosts sorted by id.
		order []*host
		jobs  map[string]*waitingJob
		dirty map[string]bool
		// running counts the live runs of each job.
		running map[string]int
		// unfit holds the workers on which a task failed or was held up.
		unfit map[pimjob.TaskKey][]string
		harms *harmModel
		// refusals counts the starts of a job that workers refused since one was carried
		// out, holds until when it waits therefore.
		refusals map[string]int
		holds    map[string]time.Duration
	}

	// Plan is what is to be done.
	Plan struct {
		Starts    []pimjob.Start
		Stops     []StopRun
		Throttles []ThrottleRun
		// NextDue is when the next occurrence is due, in milliseconds since 1970, or 0.
		NextDue int64
	}

	// StopRun asks to stop a run.
	StopRun struct {
		Worker string
		Key    pimjob.TaskKey
		Number int
		Reason string
	}

	// ThrottleRun asks to let a run work at a share of its speed.
	ThrottleRun struct {
		Worker       string
		Key          pimjob.TaskKey
		Number       int
		SpeedPercent int
	}

	stepKey struct {
		job        string
		occurrence int
		step       int
	}

	// waitingJob is a job with tasks that may start, or with occurrences to come.
	waitingJob struct {
		job     *pimjob.Job
		steps   []candidate
		nextDue int64
		// idleSince is since when the job has had waiting tasks and no run, or 0.
		idleSince time.Duration
	}

	// candidate is a step with tasks that may start.
	candidate struct {
		job      *pimjob.Job
		key      stepKey
		terms    terms
		priority int
		urgency  urgency
		tasks    []int
		// starved means that the job has waited for long and nothing of it runs.
		starved bool
	}
)

// starvedAfter is how long a filling step with nothing running waits for a host that
// it does not disturb. Source: a third of the platform's bound for a job that could run.
const starvedAfter = time.Second

const (
	// refusalsToWait is how many starts of a job in a row may be refused before it waits for
	// refusedWait, so that what no worker takes does not keep all of them busy.
	refusalsToWait = 8
	refusedWait    = time.Second
)

// NewPlanner returns a planner for a state, which has learned nothing.
func NewPlanner(state *pimjob.State, workers Workers) *Planner {
	p := &Planner{
		state: state, workers: workers, hosts: map[string]*host{}, jobs: map[string]*waitingJob{}, dirty: map[string]bool{}, running: map[string]int{},
		unfit: map[pimjob.TaskKey][]string{}, harms: newHarmModel(),
		refusals: map[string]int{}, holds: map[string]time.Duration{},
	}
	for _, worker := range state.Workers() {
		p.putHost(*worker)
		for key := range state.RunsOn(worker.ID) {
			p.running[key.Job]++
		}
	}
	for _, job := range state.OpenJobs() {
		p.dirty[job.Submission.ID] = true
	}
	return p
}

// OnChanges takes in what the log did to the state.
func (p *Planner) OnChanges(changes []pimjob.Change, now time.Duration) {
	for _, change := range changes {
		switch change := change.(type) {
		case pimjob.JobAccepted:
			p.dirty[change.Job.Submission.ID] = true
		case pimjob.RunStarted:
			p.onStarted(change.Live)
		case pimjob.RunEnded:
			p.onEnded(change.Live, change.Kind, now)
		case pimjob.JobEnded:
			p.forget(change.Job)
		case pimjob.WorkerChanged:
			if change.Removed {
				p.dropHost(change.Worker.ID)
			} else {
				p.putHost(change.Worker)
			}
		case pimjob.ConfigChanged:
		}
	}
}

func (p *Planner) onStarted(live pimjob.LiveRun) {
	p.dirty[live.Key.Job] = true
	p.running[live.Key.Job]++
	if h := p.hosts[live.Run.Worker]; h != nil {
		_, step, _ := p.state.Task(live.Key)
		h.add(live.Key, step)
	}
}

func (p *Planner) onEnded(live pimjob.LiveRun, how pimjob.EndKind, now time.Duration) {
	p.dirty[live.Key.Job] = true
	if p.running[live.Key.Job]--; p.running[live.Key.Job] <= 0 {
		delete(p.running, live.Key.Job)
	}
	if h := p.hosts[live.Run.Worker]; h != nil && h.worker.Generation == live.Run.Generation {
		if _, step, _ := p.state.Task(live.Key); step != nil {
			h.remove(live.Key, step)
		}
		h.record.onEnd(live, how, now)
	}
	if how != pimjob.EndRefused {
		delete(p.refusals, live.Key.Job)
	} else if p.refusals[live.Key.Job]++; p.refusals[live.Key.Job]%refusalsToWait == 0 {
		p.holds[live.Key.Job] = now + refusedWait
	}
	switch how {
	case pimjob.EndDone:
		delete(p.unfit, live.Key)
	case pimjob.EndFailed:
		p.unfit[live.Key] = append(p.unfit[live.Key], live.Run.Worker)
	default:
	}
}

// forget drops what was learned of a job that has ended.
func (p *Planner) forget(job *pimjob.Job) {
	delete(p.jobs, job.Submission.ID)
	delete(p.dirty, job.Submission.ID)
	delete(p.refusals, job.Submission.ID)
	delete(p.holds, job.Submission.ID)
	for key := range p.unfit {
		if key.Job == job.Submission.ID {
			delete(p.unfit, key)
		}
	}
}

// Plan decides what to start, stop and pace. Now is steady, wallClock in milliseconds since 1970.
func (p *Planner) Plan(now time.Duration, wallClock int64) Plan {
	var plan Plan
	p.refreshJobs(now, wallClock)
	for _, h := range p.order {
		h.open = p.isOpen(h, now)
		h.avoided = now < h.record.badUntil
	}
	var planned []placed
	refused := refusals{}
	for _, c := range p.candidates(now, wallClock, &plan) {
		planned = p.place(c, refused, planned, &plan)
	}
	for _, placed := range planned {
		placed.host.remove(placed.key, placed.step)
	}
	p.pace(now, &plan)
	return plan
}

// isOpen reports whether new runs may go to a host.
func (p *Planner) isOpen(h *host, now time.Duration) bool {
	return !h.worker.Draining && !p.state.IsOutOfService(h.worker.Domain) && p.workers.IsUsable(h.worker.ID, now)
}

// refreshJobs looks again at the jobs that have changed or whose time has come.
func (p *Planner) refreshJobs(now time.Duration, wallClock int64) {
	for id, waiting := range p.jobs {
		if waiting.nextDue != 0 && waiting.nextDue <= wallClock {
			p.dirty[id] = true
		}
	}
	for id := range p.dirty {
		delete(p.dirty, id)
		job := p.state.Job(id)
		if job == nil || job.State.IsEnded() {
			delete(p.jobs, id)
			continue
		}
		waiting := findWaiting(job, wallClock)
		if len(waiting.steps) == 0 && waiting.nextDue == 0 {
			delete(p.jobs, id)
			continue
		}
		if known := p.jobs[id]; known != nil {
			waiting.idleSince = known.idleSince
		}
		p.jobs[id] = waiting
		switch {
		case p.running[id] > 0 || len(waiting.steps) == 0:
			waiting.idleSince = 0
		case waiting.idleSince == 0:
			waiting.idleSince = now
		}
	}
}

func findWaiting(job *pimjob.Job, wallClock int64) *waitingJob {
	waiting := &waitingJob{job: job}
	for o := range job.Occurrences {
		if due := job.Submission.DueAt(o); due > wallClock {
			waiting.nextDue = due
			break
		}
		if job.Occurrences[o].OpenSteps > 0 {
			waiting.steps = appendCandidates(waiting.steps, job, o)
		}
	}
	return waiting
}

func appendCandidates(candidates []candidate, job *pimjob.Job, occurrence int) []candidate {
	for s := range job.Submission.Steps {
		state := &job.Occurrences[occurrence].Steps[s]
		if state.OpenTasks == 0 || !job.IsStepReady(occurrence, s) {
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
			priority: job.Queue.Priority, terms: termsOf(job, occurrence),
		})
	}
	return candidates
}

// candidates returns the steps with tasks to start, the most urgent first.
func (p *Planner) candidates(now time.Duration, wallClock int64, plan *Plan) []candidate {
	var candidates []candidate
	for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
		waiting := p.jobs[id]
		if now < p.holds[id] {
			continue
		}
		starved := waiting.idleSince != 0 && now-waiting.idleSince >= starvedAfter
		for _, c := range waiting.steps {
			c.starved = starved
			c.urgency = c.terms.urgencyAt(wallClock)
			candidates = append(candidates, c)
		}
		if waiting.nextDue != 0 && (plan.NextDue == 0 || waiting.nextDue < plan.NextDue) {
			plan.NextDue = waiting.nextDue
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.terms.due, b.terms.due))
	})
	return candidates
}
