package pimplan

import (
	"cmp"
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
		// StartAtOnce makes tasks start on other hosts at once, for comparisons with and without waiting.
		StartAtOnce bool
	}

	// WaitOutcome tells how a wait for a preferred host ended.
	WaitOutcome int

	// EndedWait reports the end of a task's wait for a preferred host.
	EndedWait struct {
		Key     pimjob.TaskKey
		Queue   string
		Outcome WaitOutcome
		Reason  pimwait.Reason
		// Waited is the time since the task could have started, Expected the wait that was expected when it began to wait.
		Waited, Expected time.Duration
		// Gain is the time that the task is estimated to have gained, negative if the wait was in vain.
		Gain time.Duration
	}

	// waitDurations provides quantiles of the time that a task still needs on a preferred host: from the submitted estimate
	// where the estimates of its queue are accurate, else from the learned durations.
	waitDurations struct{ model *pimduration.Model }

	// waits decides which tasks wait for a preferred host.
	waits struct {
		settings  Settings
		durations waitDurations
		// byJob holds the tasks that wait or have waited and have not started yet.
		byJob map[string]map[pimjob.TaskKey]*taskWait
		// arrivals is the work in core-milliseconds that arrived lately for a label, by label, with a weight that falls
		// with its age. Seen holds the steps that are counted in it.
		arrivals map[string]float64
		seen     map[stepKey]bool
		// demand is the processor time that tasks with a preferred label request, by label. It decays after they have
		// started.
		demand map[string]float64
		// contested are the hosts whose contention is not 0.
		contested []*host
		plannedAt time.Duration
		plan      planWaits
	}

	// planWaits is what the decisions of one plan share.
	planWaits struct {
		wallClock int64
		forecasts map[*host]*pimwait.Host
		// waitingNeed is what the tasks that are not placed yet request, by service.
		waitingNeed map[string]pimjob.Resources
		// hasRoom caches hasRoomForWaiting, readyAt when the dependencies of a step ended.
		hasRoom map[roomKey]bool
		readyAt map[stepKey]int64
		// rackOrder holds the racks of a service, those with the most free processor time first.
		rackOrder map[string][]string
	}

	roomKey struct {
		service, requiredLabel string
		need                   pimjob.Resources
	}

	taskWait struct {
		expected time.Duration
		// ended means that the task no longer waits, so that it doesn't wait again while no other host has room.
		ended bool
	}
)

// Outcomes of a wait.
const (
	// EndedNear means that the task starts on a preferred host.
	EndedNear WaitOutcome = iota
	// EndedGone means that no preferred host may get new runs any more.
	EndedGone
	// EndedNotWorthwhile means that waiting longer does not pay off or is not allowed.
	EndedNotWorthwhile
)

const (
	// waitQuantile is the quantile of remaining durations from which the wait is forecast. The wait is compared with the
	// median loss, so that a task waits only if it still gains where the runs take somewhat longer than expected.
	waitQuantile   = 0.7
	medianQuantile = 0.5
	// estimateMargin is the 0.7 quantile of the duration of a task divided by its estimate, where estimates are off by a
	// third at most.
	estimateMargin = 1.15
	// maxEstimateError is the duration of a task divided by its estimate at most, if the estimate is off by a third.
	maxEstimateError = 4.0 / 3
	// minLeftShare is the least share of its estimate that a run is assumed to need still.
	minLeftShare = 0.1
	// overdueShare is the time that a run which has exceeded maxEstimateError is assumed to need still, as a share of the
	// time that it has run. It is the 0.7 quantile if the chance to run on falls with the square of the time.
	overdueShare = 0.83
	// placesPerWaitingTask is how many places elsewhere there must be for each task that is not placed: the platform's
	// guarantee of a start holds with twice the needed capacity.
	placesPerWaitingTask = 2
	// maxCountedNeeds limits the distinct requests for which a plan counts the places on all hosts.
	maxCountedNeeds = 32
	// maxPreferredHosts is the size of a group of hosts from which no task waits for it. A rack has 20 hosts at most.
	maxPreferredHosts = 128
	// maxForecastRacks limits the racks that are considered for a waiting gang.
	maxForecastRacks = 8
	// demandHalfLife is the time in which the demand for a label halves after its tasks have started. Bursts last some
	// seconds, and between two of their jobs no task may be waiting.
	demandHalfLife = 500 * time.Millisecond
	// arrivalWindow is the time over which the work that arrives for a label is averaged. With 2 s a short burst counts as
	// lasting load, and tasks don't wait for a rack that is about to be free.
	arrivalWindow = 4 * time.Second
	// minArrivals is the work in core-milliseconds below which the arrivals for a label are forgotten.
	minArrivals = 10.0
	// minDemand is the processor time in thousandths of a core below which the demand for a label is forgotten.
	minDemand = 100.0
	// contentionPenalty outweighs any difference in free capacity, so that a task placed away from its data takes room on
	// another preferred rack in demand only if there is none elsewhere.
	contentionPenalty = 2.0
)

var outcomeNames = [...]string{"near", "gone", "not-worthwhile"}

// String returns the outcome's name.
func (o WaitOutcome) String() string { return outcomeNames[o] }

// Quantile returns the quantile q of the time that a task still needs after it has run for elapsed.
func (d waitDurations) Quantile(task pimduration.Task, elapsed time.Duration, q float64) time.Duration {
	if d.model.Error(task.Queue) > usualError {
		return d.model.Quantile(task, elapsed, q)
	}
	estimate := task.Estimate
	if estimate <= 0 {
		return 0
	}
	whole := float64(estimate)
	if q > medianQuantile {
		whole *= estimateMargin
	}
	if float64(elapsed) > maxEstimateError*float64(estimate) {
		return time.Duration(overdueShare * float64(elapsed))
	}
	return time.Duration(max(whole-float64(elapsed), minLeftShare*float64(estimate)))
}

func newWaits(model *pimduration.Model) waits {
	return waits{
		durations: waitDurations{model}, byJob: map[string]map[pimjob.TaskKey]*taskWait{},
		arrivals: map[string]float64{}, seen: map[stepKey]bool{}, demand: map[string]float64{},
	}
}

// Configure sets the planner's settings.
func (p *Planner) Configure(settings Settings) { p.waits.settings = settings }

func (w *waits) enabled() bool { return w.settings.RemoteFactor > 1 && !w.settings.StartAtOnce }

// begin prepares the decisions of a plan.
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

// work returns the work of the waiting tasks of a step in core-milliseconds.
func (w *waits) work(c candidate, step *pimjob.Step) float64 {
	duration := w.durations.Quantile(pimduration.TaskOf(c.job, c.taskKey(c.tasks[0])), 0, medianQuantile)
	return float64(step.Reserved().Millicores) / 1000 * float64(len(c.tasks)) * float64(duration.Milliseconds())
}

// arrivalShare returns the work of other steps that lately arrived for the label of a step, as a share of what the hosts
// with the label can do.
func (w *waits) arrivalShare(p *Planner, c candidate, step *pimjob.Step, waited time.Duration) float64 {
	if step.PreferredLabel == "" {
		return 0
	}
	cores := 0.0
	hosts := p.hostTopology().byLabel[step.PreferredLabel]
	if len(hosts) > maxPreferredHosts {
		// No task waits for so many hosts.
		return 0
	}
	for _, h := range hosts {
		if p.mayWaitFor(c, step, h) {
			cores += float64(h.worker.Capacity.Millicores-h.servingMillicores) / 1000
		}
	}
	own := w.work(c, step) * math.Exp(-float64(waited)/float64(arrivalWindow))
	return max(0, w.arrivals[step.PreferredLabel]-own) / max(1, cores*float64(arrivalWindow.Milliseconds()))
}

func (w *planWaits) addWaiting(job *pimjob.Job, reserved pimjob.Resources, count int64) {
	known := w.waitingNeed[job.Queue.Service]
	w.waitingNeed[job.Queue.Service] = known.Plus(pimjob.Resources{
		Millicores: count * reserved.Millicores, MemoryMB: count * reserved.MemoryMB, GPUs: count * reserved.GPUs,
	})
}

// updateContention sets for each host which share of the free processor time of its labels is in demand.
func (w *waits) updateContention(p *Planner) {
	for _, h := range w.contested {
		h.contention = 0
	}
	w.contested = w.contested[:0]
	for label, demand := range w.demand {
		hosts := p.hostTopology().byLabel[label]
		if len(hosts) > maxPreferredHosts {
			continue
		}
		free := int64(1)
		for _, h := range hosts {
			if p.refreshHost(h); h.schedulable {
				free += max(0, h.free.Millicores)
			}
		}
		for _, h := range hosts {
			h.contention = max(h.contention, min(1, demand/float64(free)))
			w.contested = append(w.contested, h)
		}
	}
}

// appliesTo reports whether the tasks of a step may wait for hosts with their preferred label. The room that best-effort
// tasks need is not forecast by the ends of runs, so they don't wait.
func (w *waits) appliesTo(step *pimjob.Step) bool {
	return w.enabled() && step.PreferredLabel != "" && !step.LongRunning && !step.BestEffort
}

// placeNear starts the tasks of a step on hosts with its preferred label as far as these have room. The others wait or
// start on other hosts, which are ranked only if they are needed.
func (p *Planner) placeNear(c candidate, step *pimjob.Step, unplaced unplaceable, placements []placement, plan *Plan) []placement {
	quota := p.quotaOf(c.job)
	state := &c.job.Occurrences[c.key.occurrence].Steps[c.key.step]
	isNear := func(h *host) bool { return h.worker.HasLabel(step.PreferredLabel) }
	near := p.rankPreferred(c, step, isNear)
	start := func(index int, h *host) {
		key := c.taskKey(index)
		quota.add(step.Need, 1)
		p.onPlaced(c, step, key, h.worker.HasLabel(step.PreferredLabel), plan)
		placements = append(placements, placement{h, key, step})
		plan.Starts = append(plan.Starts, pimjob.Start{
			Key: key, Number: state.Tasks[index].LastRun + 1, Worker: h.worker.ID, Generation: h.worker.Generation,
		})
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

func (p *Planner) mayWaitFor(c candidate, step *pimjob.Step, h *host) bool {
	return p.mayRunOn(c.job, step, h) && !h.backingOff
}

// forecast returns the forecast for hosts with the claims of the tasks ahead in the plan.
func (p *Planner) forecast(hosts []*host) pimwait.Forecast {
	forecast := make(pimwait.Forecast, 0, len(hosts))
	for _, h := range hosts {
		known := p.waits.plan.forecasts[h]
		if known == nil {
			known = pimwait.NewHost(h.free, p.releases(h))
			p.waits.plan.forecasts[h] = known
		}
		forecast = append(forecast, known)
	}
	return forecast
}

// releases returns when the runs on a host are expected to end. Runs that are away from their own data take longer by the
// remote factor.
func (p *Planner) releases(h *host) []pimwait.Release {
	var releases []pimwait.Release
	for key, live := range p.state.RunsOn(h.worker.ID) {
		_, step, job := p.state.Task(key)
		if step == nil || step.LongRunning || step.Estimate <= 0 || live.Run.Generation != h.worker.Generation {
			continue
		}
		factor := 1.0
		if !hasLocalData(step, h) {
			factor = p.waits.settings.RemoteFactor
		}
		elapsed := float64(max(0, p.waits.plan.wallClock-live.Run.StartedAt)) * float64(time.Millisecond)
		left := p.waits.durations.Quantile(pimduration.TaskOf(job, key), time.Duration(elapsed/factor), waitQuantile)
		releases = append(releases, pimwait.Release{
			// At least 1 ms, so that a run that should have ended doesn't count as free capacity.
			After: max(time.Millisecond, time.Duration(float64(left)*factor)), Returned: step.Reserved(),
		})
	}
	return releases
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

// waitRequest returns the request for tasks of a step without its preferred hosts.
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

// remoteEnd returns when the last run of the step away from its preferred hosts is expected to end, or 0 if there is none.
func (p *Planner) remoteEnd(c candidate, step *pimjob.Step) time.Duration {
	end := time.Duration(0)
	if step.Gang {
		return end
	}
	factor := p.waits.settings.RemoteFactor
	tasks := c.job.Occurrences[c.key.occurrence].Steps[c.key.step].Tasks
	for index := range tasks {
		run := tasks[index].Run
		if run == nil {
			continue
		}
		if h := p.hosts[run.Worker]; h != nil && !h.worker.HasLabel(step.PreferredLabel) {
			elapsed := time.Duration(max(0, p.waits.plan.wallClock-run.StartedAt)) * time.Millisecond
			task := pimduration.TaskOf(c.job, c.taskKey(index))
			left := p.waits.durations.Quantile(task, time.Duration(float64(elapsed)/factor), medianQuantile)
			end = max(end, time.Duration(float64(left)*factor))
		}
	}
	return end
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

// hasRoomForWaiting reports whether the hosts of a service have room for all tasks that are not placed and as much again.
// Otherwise a task that waits could find no place at all.
func (p *Planner) hasRoomForWaiting(c candidate, step *pimjob.Step) bool {
	w := &p.waits.plan
	key := roomKey{c.job.Queue.Service, step.RequiredLabel, step.Need}
	known, ok := w.hasRoom[key]
	if ok || len(w.hasRoom) >= maxCountedNeeds {
		return known
	}
	missing := placesPerWaitingTask * max(1, countTasks(w.waitingNeed[key.service], step.Need))
	p.eachWithRoom(c.job, step, func(h *host) bool {
		missing -= countPlaces(h.free, step.Need)
		return missing > 0
	})
	w.hasRoom[key] = missing <= 0
	return w.hasRoom[key]
}

// countTasks returns how many tasks with a need request at least the amount in each resource that the need has.
func countTasks(amount, need pimjob.Resources) int64 {
	count := int64(0)
	for _, r := range [][2]int64{
		{amount.Millicores, need.Millicores}, {amount.MemoryMB, need.MemoryMB}, {amount.GPUs, need.GPUs},
	} {
		if r[1] > 0 {
			count = max(count, (r[0]+r[1]-1)/r[1])
		}
	}
	return count
}

// countPlaces returns how many tasks with a need fit into free capacity.
func countPlaces(free, need pimjob.Resources) int64 {
	count := int64(math.MaxInt32)
	for _, r := range [][2]int64{
		{free.Millicores, need.Millicores}, {free.MemoryMB, need.MemoryMB}, {free.GPUs, need.GPUs},
	} {
		if r[1] > 0 {
			count = min(count, max(0, r[0]/r[1]))
		}
	}
	return count
}

// applyDecision records the beginning or the end of the waits of tasks and reports whether they wait.
func (p *Planner) applyDecision(
	c candidate, tasks []int, request pimwait.Request, decision pimwait.Decision, plan *Plan,
) bool {
	w := &p.waits
	known := w.byJob[c.key.job]
	hasEnded := slices.ContainsFunc(tasks, func(index int) bool {
		wait := known[c.taskKey(index)]
		return wait != nil && wait.ended
	})
	if decision.Wait && !hasEnded {
		if _, ok := request.Preferred.Claim(request.Need, request.Duration, request.Count); !ok {
			return false
		}
		if known == nil {
			known = map[pimjob.TaskKey]*taskWait{}
			w.byJob[c.key.job] = known
		}
		for _, index := range tasks {
			if key := c.taskKey(index); known[key] == nil {
				known[key] = &taskWait{expected: decision.Expected}
			}
		}
		return true
	}
	for _, index := range tasks {
		key := c.taskKey(index)
		wait := known[key]
		if wait == nil || wait.ended {
			continue
		}
		wait.ended = true
		outcome := EndedNotWorthwhile
		if decision.Reason == pimwait.PreferredGone {
			outcome = EndedGone
		}
		plan.Waits = append(plan.Waits, EndedWait{
			Key: key, Queue: c.job.Queue.Name, Outcome: outcome, Reason: decision.Reason, Waited: w.waited(c, key),
			Expected: wait.expected, Gain: -w.waited(c, key),
		})
	}
	return false
}

// onPlaced records that a task starts on a preferred host (near) or on another one.
func (p *Planner) onPlaced(c candidate, step *pimjob.Step, key pimjob.TaskKey, near bool, plan *Plan) {
	w := &p.waits
	if !w.enabled() {
		return
	}
	w.plan.addWaiting(c.job, step.Reserved(), -1)
	wait := w.byJob[key.Job][key]
	if wait == nil {
		return
	}
	if delete(w.byJob[key.Job], key); len(w.byJob[key.Job]) == 0 {
		delete(w.byJob, key.Job)
	}
	if wait.ended {
		return
	}
	ended := EndedWait{
		Key: key, Queue: c.job.Queue.Name, Outcome: EndedNear, Waited: w.waited(c, key), Expected: wait.expected,
	}
	ended.Gain = -ended.Waited
	if near {
		ended.Gain += pimwait.Loss(w.durations.Quantile(pimduration.TaskOf(c.job, key), 0, medianQuantile), w.settings.RemoteFactor)
	} else {
		ended.Outcome, ended.Reason = EndedNotWorthwhile, pimwait.BoundReached
	}
	plan.Waits = append(plan.Waits, ended)
}

// forgetJob removes what was recorded about a job that has ended.
func (w *waits) forgetJob(job *pimjob.Job) {
	delete(w.byJob, job.Submission.ID)
	for occurrence := range job.Occurrences {
		for step := range job.Occurrences[occurrence].Steps {
			delete(w.seen, stepKey{job.Submission.ID, occurrence, step})
		}
	}
}

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
