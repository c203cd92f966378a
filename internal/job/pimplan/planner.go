// Package pimplan decides which task runs on which worker. A Planner keeps tables of hosts and of
// jobs with waiting tasks and updates them with each change of the state, so that the cost of a plan
// depends on what has changed. It reads no clock and is deterministic.
//
// Serving tasks have a target for their tail latency. Best-effort tasks use processor time that the
// other tasks on their host leave idle. They are throttled, paused or moved to another host if they
// interfere with a serving task.
package pimplan

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimduration"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimhealth"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimstop"
)

type (
	// Workers provides what is known about the workers. *pimfleet.Fleet implements it.
	Workers interface {
		// IsUsable reports whether a worker may get new runs at that time.
		IsUsable(id string, now time.Duration) bool
		// ObservedRuns returns the runs that a worker last reported.
		ObservedRuns(id string) []pimfleet.ObservedRun
		// TakeUpdatedWorkers returns the ids of the workers that reported their runs since the last
		// call, sorted.
		TakeUpdatedWorkers() []string
		// StaysUntil returns until when a draining worker stays at least, and false if that is not known.
		StaysUntil(id string) (time.Duration, bool)
	}

	// Planner makes plans during one term of leadership.
	Planner struct {
		state   *pimjob.State
		workers Workers
		hosts   map[string]*host
		index   hostIndex
		// waitingJobs holds the jobs with an entry in queue, or with an occurrence to come.
		waitingJobs map[string]*waitingJob
		queue       candidateQueue
		// changedJobs are the jobs whose entry in waitingJobs is out of date.
		changedJobs map[string]bool
		// liveRuns counts the live runs of each job.
		liveRuns map[string]int
		// idleSince is when a job began to have waiting tasks but no live run. A start that its worker refused was no run.
		idleSince map[string]time.Duration
		// unsuitableWorkers are the workers on which a task failed or was slow, by job.
		unsuitableWorkers map[string]map[pimjob.TaskKey][]string
		interference      *interferenceModel
		// refusedStarts counts how many of a job's starts in a row were refused by workers,
		// pausedUntil is when a job with many of them is tried again.
		refusedStarts map[string]int
		pausedUntil   map[string]time.Duration
		// avoided are the hosts that the current plan avoids or probes for their health, probedHosts the latter.
		avoided     map[string]bool
		probedHosts []*host
		// quotas holds, by organisation, what the current plan uses of its quota.
		quotas    map[string]*quotaUse
		durations *pimduration.Model
		pace      paceTable
		stops     *pimstop.Budget
		// topology is nil if a host has changed since it was built.
		topology *topology
		waits    waits
		// shares is how scarce capacity is divided between organisations.
		shares        shareState
		leaving       leavingState
		health        *pimhealth.Model
		isolation     isolation
		compatibility compatibility
		// without holds the mechanisms that are switched off.
		without map[Mechanism]bool
		// startLimit is the number of starts from which on a plan places no more tasks.
		startLimit int
		// onProgress is called now and then during a plan.
		onProgress func()
	}

	// Plan lists the runs to start, stop and throttle.
	Plan struct {
		Starts    []pimjob.Start
		Stops     []StopRun
		Throttles []ThrottleRun
		// Waits lists the tasks that no longer wait for a preferred host.
		Waits []EndedWait
		// Reservations are those that the plan has begun or, with no hosts, given up.
		Reservations []Reservation
		// NextDue is when the next occurrence is due, in milliseconds since 1970, or 0.
		NextDue int64
		// StopReport is what has become of earlier stops.
		StopReport pimstop.Report
		// HealthChanges are the hosts that were taken for faulty or no longer are.
		HealthChanges []pimhealth.Change
		// Limited is set if the plan reached the limit of its starts.
		Limited bool

		// stopped holds, by task, the numbers of the runs among Stops that rules of the planner have found.
		stopped map[pimjob.TaskKey]int
	}

	// Reservation is a step for which hosts are kept free. Key is that of its first waiting task.
	Reservation struct {
		Key   pimjob.TaskKey
		Tasks int
		Hosts int
	}

	// StopRun asks to stop a run. Reason and Decision, what it was decided from, are for the log.
	StopRun struct {
		Worker   string
		Key      pimjob.TaskKey
		Number   int
		Reason   string
		Decision pimstop.Stop
	}

	// ThrottleRun asks to change the speed of a run, where 100 is full speed.
	ThrottleRun struct {
		Worker       string
		Key          pimjob.TaskKey
		Number       int
		SpeedPercent int
	}

	// stepKey identifies a step in an occurrence of a job.
	stepKey struct {
		job        string
		occurrence int
		step       int
	}

	// waitingJob is a job with tasks that may start or with occurrences to come. nextDue is when the
	// next of these is due, in milliseconds since 1970, or 0.
	waitingJob struct {
		job        *pimjob.Job
		candidates []candidate
		nextDue    int64
		// idleSince is that of the job in Planner.idleSince, or 0 while it has live runs.
		idleSince time.Duration
		// isStale means that another entry replaces this one, or none does.
		isStale bool
	}

	// candidate is a step with tasks that may start. Tasks holds their indexes.
	candidate struct {
		job       *pimjob.Job
		key       stepKey
		deadlines deadlines
		priority  int
		urgency   urgency
		tasks     []int
		// hasSuspects means that some of the tasks are suspected of crashing their hosts.
		hasSuspects bool
		// starved means that the job has had waiting tasks but no live run for starvedAfter.
		starved bool
	}
)

// starvedAfter is how long a job without live runs waits for a host that is not backing off and, for
// a best-effort step, on which it interferes with no serving task. Source: a third of the platform's
// limit for a job that could run.
const starvedAfter = time.Second

const (
	// refusalsBeforePause is how many starts of a job in a row may be refused before it pauses for
	// refusalPause, so that a job that no worker accepts does not keep all of them busy.
	refusalsBeforePause = 8
	refusalPause        = time.Second
)

// NewPlanner returns a planner for a state. Its models of interference and load cycles start from what the state holds
// of earlier leaders' planners. Its records of failures are empty.
func NewPlanner(state *pimjob.State, workers Workers) *Planner {
	p := &Planner{
		state: state, workers: workers, hosts: map[string]*host{},
		waitingJobs: map[string]*waitingJob{}, queue: newCandidateQueue(), changedJobs: map[string]bool{}, liveRuns: map[string]int{}, idleSince: map[string]time.Duration{},
		unsuitableWorkers: map[string]map[pimjob.TaskKey][]string{}, interference: newInterferenceModel(),
		refusedStarts: map[string]int{}, pausedUntil: map[string]time.Duration{},
		shares: newShareState(), durations: pimduration.New(), pace: newPaceTable(), stops: pimstop.NewBudget(),
		leaving: newLeavingState(), health: pimhealth.New(), isolation: newIsolation(), startLimit: math.MaxInt,
		onProgress: func() {},
	}
	p.waits = newWaits(p.durations)
	p.inherit(state.Learned())
	for _, worker := range state.Workers() {
		p.putHost(*worker)
		for key := range state.RunsOn(worker.ID) {
			p.liveRuns[key.Job]++
		}
	}
	for _, job := range state.OpenJobs() {
		p.changedJobs[job.Submission.ID] = true
	}
	return p
}

// OnChanges updates the planner with the changes that committed operations made to the state.
func (p *Planner) OnChanges(changes []pimjob.Change, now time.Duration) {
	for _, change := range changes {
		switch change := change.(type) {
		case pimjob.JobAccepted:
			p.changedJobs[change.Job.Submission.ID] = true
		case pimjob.RunStarted:
			p.onRunStarted(change.Live, now)
		case pimjob.RunEnded:
			p.onRunEnded(change.Live, change.Kind, now)
		case pimjob.JobEnded:
			p.forgetJob(change.Job)
		case pimjob.WorkerChanged:
			if change.Removed {
				p.removeHost(change.Worker.ID)
			} else {
				p.putHost(change.Worker)
			}
		case pimjob.ConfigChanged:
		}
	}
}

func (p *Planner) onRunStarted(live pimjob.LiveRun, now time.Duration) {
	p.changedJobs[live.Key.Job] = true
	p.liveRuns[live.Key.Job]++
	p.beginPace(live)
	if task, _, _ := p.state.Task(live.Key); task != nil && task.Crash.IsSuspect() {
		p.isolation.observe(live.Run.Worker, task.Crash, now)
	}
	if h := p.hosts[live.Run.Worker]; h != nil {
		_, step, _ := p.state.Task(live.Key)
		h.add(live.Key, step)
	}
}

func (p *Planner) onRunEnded(live pimjob.LiveRun, kind pimjob.EndKind, now time.Duration) {
	p.changedJobs[live.Key.Job] = true
	p.endPace(live, kind, now)
	if p.liveRuns[live.Key.Job]--; p.liveRuns[live.Key.Job] <= 0 {
		delete(p.liveRuns, live.Key.Job)
	}
	if h := p.hosts[live.Run.Worker]; h != nil && h.worker.Generation == live.Run.Generation {
		if _, step, _ := p.state.Task(live.Key); step != nil {
			h.remove(live.Key, step)
		}
		p.observeEnd(live, kind, now)
	}
	if kind != pimjob.EndRefused {
		delete(p.refusedStarts, live.Key.Job)
		delete(p.idleSince, live.Key.Job)
	} else if p.refusedStarts[live.Key.Job]++; p.refusedStarts[live.Key.Job]%refusalsBeforePause == 0 {
		p.pausedUntil[live.Key.Job] = now + refusalPause
	}
	switch kind {
	case pimjob.EndDone:
		delete(p.unsuitableWorkers[live.Key.Job], live.Key)
	case pimjob.EndFailed:
		p.addUnsuitable(live.Key, live.Run.Worker)
	default:
	}
}

// forgetJob removes what was recorded about a job that has ended.
func (p *Planner) forgetJob(job *pimjob.Job) {
	p.setWaiting(job, nil)
	delete(p.changedJobs, job.Submission.ID)
	delete(p.refusedStarts, job.Submission.ID)
	delete(p.idleSince, job.Submission.ID)
	delete(p.isolation.heldSince, job.Submission.ID)
	delete(p.pausedUntil, job.Submission.ID)
	p.health.ForgetJob(job.Submission.ID)
	p.forgetDurations(job)
	p.waits.forgetJob(job)
	delete(p.unsuitableWorkers, job.Submission.ID)
}

// unsuitable returns the workers on which a task failed or was slow.
func (p *Planner) unsuitable(key pimjob.TaskKey) []string { return p.unsuitableWorkers[key.Job][key] }

func (p *Planner) addUnsuitable(key pimjob.TaskKey, worker string) {
	ofJob := p.unsuitableWorkers[key.Job]
	if ofJob == nil {
		ofJob = map[pimjob.TaskKey][]string{}
		p.unsuitableWorkers[key.Job] = ofJob
	}
	ofJob[key] = append(ofJob[key], worker)
}

// Plan decides which runs to start, stop and throttle. Now is monotonic, wallClock is in
// milliseconds since 1970.
func (p *Planner) Plan(now time.Duration, wallClock int64) Plan {
	var plan Plan
	p.refreshJobs(now, wallClock)
	p.quotas = map[string]*quotaUse{}
	p.isolation.refresh(now)
	p.refreshHosts(now)
	p.selectHealthyHosts(now)
	var placements []placement
	unplaced := unplaceable{}
	candidates := p.candidates(now, wallClock, &plan)
	p.refreshCompatibility(candidates, now)
	p.waits.begin(p, candidates, now, wallClock)
	if len(p.state.Config().Organisations) > 0 {
		placements = p.placeForOrganisations(candidates, unplaced, now, &plan)
	} else {
		// Some are left if the last organisation was removed.
		p.index.releaseReserved()
		for _, c := range candidates {
			placements = p.place(c, unplaced, placements, &plan)
		}
	}
	// Placements of this plan count as taken, so that moves use only what they leave.
	p.moveFromLeavingHosts(now, &plan)
	// Runs count as placed only once their starts are committed.
	for _, placed := range placements {
		placed.host.remove(placed.key, placed.step)
	}
	p.handleReports(now, &plan)
	plan.StopReport = p.stops.TakeReport(now)
	plan.HealthChanges = p.health.TakeChanges()
	plan.Limited = p.isFull(&plan)
	return plan
}

// LimitStarts limits the starts of each plan from now on. The members of a gang are started together, also beyond the limit.
func (p *Planner) LimitStarts(limit int) { p.startLimit = limit }

// OnProgress sets a function that is called now and then during a plan. It must not use the planner.
func (p *Planner) OnProgress(call func()) { p.onProgress = call }

// isFull reports whether a plan has reached the limit of its starts.
func (p *Planner) isFull(plan *Plan) bool { return len(plan.Starts) >= p.startLimit }

// isSchedulable reports whether new runs may go to a host.
func (p *Planner) isSchedulable(h *host, now time.Duration) bool {
	return !h.worker.Draining && !p.state.IsOutOfService(h.worker.Domain) && !p.isolation.isClosed(h.worker.ID, now) &&
		p.workers.IsUsable(h.worker.ID, now)
}

// refreshJobs updates the waiting jobs that have changed or have an occurrence due.
func (p *Planner) refreshJobs(now time.Duration, wallClock int64) {
	for id, waiting := range p.queue.scheduled {
		if waiting.nextDue <= wallClock {
			p.changedJobs[id] = true
		}
	}
	changed := slices.Sorted(maps.Keys(p.changedJobs))
	clear(p.changedJobs)
	for _, id := range changed {
		job := p.state.Job(id)
		if job == nil {
			if known := p.waitingJobs[id]; known != nil {
				p.setWaiting(known.job, nil)
			}
			continue
		}
		if job.State.IsEnded() {
			p.setWaiting(job, nil)
			continue
		}
		waiting := newWaitingJob(job, wallClock)
		p.correctDeadlines(waiting)
		if len(waiting.candidates) == 0 && waiting.nextDue == 0 {
			p.setWaiting(job, nil)
			continue
		}
		p.setWaiting(job, waiting)
		if p.liveRuns[id] > 0 || len(waiting.candidates) == 0 {
			continue
		}
		if _, ok := p.idleSince[id]; !ok {
			p.idleSince[id] = now
		}
		waiting.idleSince = p.idleSince[id]
	}
}

func newWaitingJob(job *pimjob.Job, wallClock int64) *waitingJob {
	waiting := &waitingJob{job: job}
	for o := range job.Occurrences {
		if due := job.Submission.DueAt(o); due > wallClock {
			waiting.nextDue = due
			break
		}
		if job.Occurrences[o].OpenSteps > 0 {
			waiting.candidates = appendCandidates(waiting.candidates, job, o)
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
		hasSuspects := false
		for i := range state.Tasks {
			if !state.Tasks[i].Done && state.Tasks[i].Run == nil {
				tasks = append(tasks, i)
				hasSuspects = hasSuspects || state.Tasks[i].Crash.IsSuspect()
			}
		}
		if len(tasks) == 0 || (job.Submission.Steps[s].Gang && len(tasks) < len(state.Tasks)) {
			continue
		}
		candidates = append(candidates, candidate{
			job: job, key: stepKey{job.Submission.ID, occurrence, s}, tasks: tasks,
			priority: job.Queue.Priority, deadlines: deadlinesOf(job, occurrence), hasSuspects: hasSuspects,
		})
	}
	return candidates
}
