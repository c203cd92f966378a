package pimplan

import (
	"math"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimduration"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimwait"
)

type (
	// Settings configures a planner. The zero value makes no task wait for a preferred host.
	Settings struct {
		// RemoteFactor is how many times as long a task takes on a host that is not near its data or its group. With 1 or
		// less, no task waits.
		RemoteFactor float64
		// StopTimeout is how long a worker takes at most to stop a run.
		StopTimeout time.Duration
		// Without lists the mechanisms that are switched off, for comparisons.
		Without []Mechanism
	}

	// waits decides which tasks wait for a preferred host.
	waits struct {
		settings  Settings
		durations waitDurations
		// byJob holds the tasks that wait or have waited and have not started yet.
		byJob map[string]map[pimjob.TaskKey]*taskWait
		// arrivals is the work in core-milliseconds that arrived lately for each preferred label, with a weight that falls
		// with its age. Seen holds the steps that are counted in it.
		arrivals map[string]float64
		seen     map[stepKey]bool
		// demand is the processor time in thousandths of a core that waiting tasks request, by preferred label. It decays
		// after they have started.
		demand map[string]float64
		// contested are the hosts whose contention is not 0.
		contested []*host
		// plannedAt is the time of the last plan, up to which arrivals and demand have decayed.
		plannedAt time.Duration
		plan      planWaits
	}

	// planWaits is what the decisions of one plan share.
	planWaits struct {
		// wallClock is the time of the plan in milliseconds since 1970.
		wallClock int64
		// forecasts holds the hosts that were forecast, with the claims of the tasks that wait for them.
		forecasts map[*host]*pimwait.Host
		// waitingNeed is what the tasks that are not placed yet request, by service.
		waitingNeed map[string]pimjob.Resources
		// hasRoom caches hasRoomForWaiting, readyAt when the dependencies of a step ended.
		hasRoom map[roomKey]bool
		readyAt map[stepKey]int64
		// rackOrder holds the racks of a service, those with the most free processor time first.
		rackOrder map[string][]string
	}

	// taskWait is the wait of a task, which may have ended.
	taskWait struct {
		// expected is the wait that was expected when it began.
		expected time.Duration
		// ended means that the task no longer waits, so that it doesn't wait again while no other host has room.
		ended bool
	}
)

const (
	// maxPreferredHosts is the size of a group of hosts from which no task waits for it. A rack has 20 hosts at most.
	maxPreferredHosts = 128
	// contentionPenalty outweighs any difference in free capacity, so that a task placed away from its data takes room on
	// another preferred rack in demand only if there is none elsewhere.
	contentionPenalty = 2.0
)

func newWaits(model *pimduration.Model) waits {
	return waits{
		durations: waitDurations{model}, byJob: map[string]map[pimjob.TaskKey]*taskWait{},
		arrivals: map[string]float64{}, seen: map[stepKey]bool{}, demand: map[string]float64{},
	}
}

// Configure sets the planner's settings.
func (p *Planner) Configure(settings Settings) {
	p.waits.settings = settings
	p.without = map[Mechanism]bool{}
	for _, mechanism := range settings.Without {
		p.without[mechanism] = true
	}
}

// enabled reports whether any task may wait.
func (w *waits) enabled() bool {
	return w.settings.RemoteFactor > 1 && !slices.Contains(w.settings.Without, DelayScheduling)
}

// begin prepares the decisions of a plan: it updates what is in demand and counts the waiting tasks.
func (w *waits) begin(p *Planner, candidates []candidate, now time.Duration, wallClock int64) {
	if !w.enabled() {
		return
	}
	w.plan = planWaits{
		wallClock: wallClock, forecasts: map[*host]*pimwait.Host{}, waitingNeed: map[string]pimjob.Resources{},
		hasRoom: map[roomKey]bool{}, readyAt: map[stepKey]int64{}, rackOrder: map[string][]string{},
	}
	for label := range w.arrivals {
		if w.arrivals[label] *= math.Exp(-float64(now-w.plannedAt) / float64(arrivalWindow)); w.arrivals[label] < minArrivals {
			delete(w.arrivals, label)
		}
	}
	decay := math.Exp2(-float64(now-w.plannedAt) / float64(demandHalfLife))
	w.plannedAt = now
	wanted := map[string]float64{}
	for _, c := range candidates {
		step := &c.job.Submission.Steps[c.key.step]
		reserved := step.Reserved()
		if p.quotaOf(c.job).admits(step.Need, 1) {
			w.plan.addWaiting(c.job, reserved, int64(len(c.tasks)))
		}
		if step.PreferredLabel != "" {
			wanted[step.PreferredLabel] += float64(reserved.Millicores) * float64(len(c.tasks))
			if !w.seen[c.key] {
				w.seen[c.key] = true
				w.arrivals[step.PreferredLabel] += w.work(c, step)
			}
		}
	}
	for label := range w.demand {
		if w.demand[label] *= decay; w.demand[label] < minDemand {
			delete(w.demand, label)
		}
	}
	for label, millicores := range wanted {
		w.demand[label] = max(w.demand[label], millicores)
	}
	w.updateContention(p)
}

// appliesTo reports whether the tasks of a step may wait for hosts with their preferred label. The room that best-effort
// tasks need is not forecast by the ends of runs, so they don't wait.
func (w *waits) appliesTo(step *pimjob.Step) bool {
	return w.enabled() && step.PreferredLabel != "" && !step.LongRunning && !step.BestEffort
}

// placeNear starts the tasks of a step on hosts with its preferred label as far as these have room. The others wait or
// start on other hosts, which are ranked only if they are needed.
func (p *Planner) placeNear(
	c candidate, step *pimjob.Step, unplaced unplaceable, placements []placement, plan *Plan,
) []placement {
	quota := p.quotaOf(c.job)
	isNear := func(h *host) bool { return h.worker.HasLabel(step.PreferredLabel) }
	near := p.rankPreferred(c, step, isNear)
	start := func(index int, h *host) {
		quota.add(step.Need, 1)
		placements = p.start(c, step, index, h, placements, plan)
	}
	var left []int
	for _, index := range c.tasks {
		if !quota.admits(step.Need, len(left)+1) {
			break
		}
		if h := p.takeSuitableHost(c, step, c.taskKey(index), near); h != nil {
			start(index, h)
		} else {
			left = append(left, index)
		}
	}
	if len(left) == 0 || p.tasksWait(c, step, left, plan) {
		return placements
	}
	far := p.rankPool(c, step, func(h *host) bool { return !isNear(h) })
	if !p.hasHost(far) && !p.hasHost(near) && step.MaxPerWorker == 0 {
		class := equivalenceClassOf(&c.job.Queue, step)
		unplaced[class] = append(unplaced[class], step.Need)
	}
	for _, index := range left {
		h := p.takeBestHost(c, step, c.taskKey(index), far)
		if h == nil {
			h = p.takeBestHost(c, step, c.taskKey(index), near)
		}
		if h == nil {
			return placements
		}
		start(index, h)
	}
	return placements
}

// takeSuitableHost assigns a task to the best host on which it has neither failed nor been slow, and returns it, or nil.
func (p *Planner) takeSuitableHost(c candidate, step *pimjob.Step, key pimjob.TaskKey, ranked *hostHeap) *host {
	unsuitable := p.unsuitable(key)
	if len(unsuitable) > 0 && !slices.ContainsFunc(ranked.hosts, func(entry scoredHost) bool {
		return !slices.Contains(unsuitable, entry.host.worker.ID)
	}) {
		return nil
	}
	return p.takeBestHost(c, step, key, ranked)
}

// forecastPreferred returns the hosts with the preferred label of a step for which its tasks may wait. Hosts that have
// room are left out: a task that was not placed there cannot run there for another reason.
func (p *Planner) forecastPreferred(c candidate, step *pimjob.Step) []*host {
	hosts := p.hostTopology().byLabel[step.PreferredLabel]
	if len(hosts) > maxPreferredHosts {
		return nil
	}
	var preferred []*host
	for _, h := range hosts {
		if p.mayWaitFor(c, step, h) && (step.MaxPerWorker == 0 || h.tasksByStep[c.key] < step.MaxPerWorker) {
			preferred = append(preferred, h)
		}
	}
	return preferred
}

// mayWaitFor reports whether the tasks of a step may run on a host once it has room for them.
func (p *Planner) mayWaitFor(c candidate, step *pimjob.Step, h *host) bool {
	return p.mayRunOn(c.job, step, h) && !h.backingOff
}

// tasksWait decides whether the tasks of a step for which no preferred host has room wait for such hosts.
func (p *Planner) tasksWait(c candidate, step *pimjob.Step, tasks []int, plan *Plan) bool {
	hosts := p.forecastPreferred(c, step)
	for _, index := range tasks {
		unsuitable := p.unsuitable(c.taskKey(index))
		hosts = slices.DeleteFunc(hosts, func(h *host) bool {
			return h.free.Fits(step.Need) || slices.Contains(unsuitable, h.worker.ID)
		})
	}
	request := p.waitRequest(c, step, tasks)
	request.Preferred = p.forecast(hosts)
	return p.applyDecision(c, tasks, request, pimwait.Decide(request), plan)
}

// waitRequest returns the request to decide on for tasks of a step. The caller adds the forecast of the preferred hosts.
func (p *Planner) waitRequest(c candidate, step *pimjob.Step, tasks []int) pimwait.Request {
	w := &p.waits
	key := c.taskKey(tasks[0])
	median := w.durations.Quantile(pimduration.TaskOf(c.job, key), 0, medianQuantile)
	request := pimwait.Request{
		Need: step.Need, Count: len(tasks), Duration: median, RemoteFactor: w.settings.RemoteFactor,
		StepEnd: p.remoteEnd(c, step), Idle: p.liveRuns[c.key.job] == 0 && len(tasks) == len(c.tasks),
		RoomElsewhere: p.hasRoomForWaiting(c, step),
	}
	for _, index := range tasks {
		request.Waited = max(request.Waited, w.waited(c, c.taskKey(index)))
	}
	request.Arrivals = w.arrivalShare(p, c, step, request.Waited)
	if c.deadlines.longRunning {
		return request
	}
	high := time.Duration(float64(w.durations.Quantile(pimduration.TaskOf(c.job, key), 0, waitQuantile)) * w.settings.RemoteFactor)
	end := w.plan.wallClock + c.deadlines.remaining + (high - median).Milliseconds()
	for _, deadline := range []int64{c.deadlines.due, c.deadlines.latest} {
		if end < deadline {
			request.HasDeadline, request.Slack = true, time.Duration(deadline-end)*time.Millisecond
			break
		}
	}
	return request
}

// waited returns the time since a task could have started. It follows from the replicated state alone, so a new leader
// continues a wait where the one before left it.
func (w *waits) waited(c candidate, key pimjob.TaskKey) time.Duration {
	steps := c.job.Occurrences[key.Occurrence].Steps
	ready, ok := w.plan.readyAt[c.key]
	if !ok {
		ready = max(c.job.AcceptedAt, c.job.Submission.DueAt(key.Occurrence))
		for _, before := range c.job.Submission.Steps[key.Step].DependsOn {
			for i := range steps[before].Tasks {
				ready = max(ready, steps[before].Tasks[i].EndedAt)
			}
		}
		w.plan.readyAt[c.key] = ready
	}
	ready = max(ready, steps[key.Step].Tasks[key.Index].EndedAt)
	return max(0, time.Duration(w.plan.wallClock-ready)*time.Millisecond)
}
