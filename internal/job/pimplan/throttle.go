package pimplan

import (
	"cmp"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

// bestEffortRun is a best-effort run on a host. Its cost is the largest share of a serving task's
// available headroom that one of its cores takes.
type bestEffortRun struct {
	key           pimjob.TaskKey
	number        int
	image         string
	cores         float64
	speedPercent  int
	wantedPercent int
	// speedUnknown is set for a run of an earlier leader to which this one has sent no speed yet.
	speedUnknown bool
	cost         float64
}

const (
	// If the forecast headroom of a serving task is below throttleBelow, best-effort tasks beside it
	// are slowed. If that of all serving tasks on a host is above releaseAbove, throttled tasks are
	// sped up. Either way headroomGoal is to remain.
	throttleBelow = 1.05
	releaseAbove  = 1.2
	headroomGoal  = 1.15
	// minHeadroom keeps the cost of a run finite.
	minHeadroom = 0.1
	// throttleSettleTime is how long a speed change takes to show in a worker's reports: the half
	// second that a metric covers, and the platform's delay.
	throttleSettleTime = 650 * time.Millisecond
	// maxTimeOverTarget is how long a serving task may be over its target before all best-effort
	// tasks beside it are paused. Source: half of the platform's limit.
	maxTimeOverTarget = 1500 * time.Millisecond
	// speedStep and fullSpeed are in percent.
	speedStep = 25
	fullSpeed = 100
)

// handleReports processes the new reports of workers: it stops stalled and slow runs and adjusts the
// speed of best-effort runs. Those that interfere most with a serving task near its target are slowed
// first, and are sped up again once it has enough headroom.
func (p *Planner) handleReports(now time.Duration, plan *Plan) {
	for _, id := range p.workers.TakeUpdatedWorkers() {
		h := p.hosts[id]
		if h == nil {
			continue
		}
		observed := p.workers.ObservedRuns(id)
		p.observePace(h, observed)
		if p.uses(ProgressChecks) {
			p.checkProgress(now, h, observed, plan)
		}
		if p.uses(SlowRunMoves) {
			p.migrateSlowRuns(now, h, observed, plan)
		}
		runs := h.throttling.observe(p.state, p.interference, observed, now)
		if p.uses(Throttling) && now >= h.throttling.throttledAt+throttleSettleTime {
			p.throttleHost(now, h, runs, plan)
		}
	}
}

// throttleHost plans the speed changes for the best-effort runs of a host.
func (p *Planner) throttleHost(now time.Duration, h *host, runs []bestEffortRun, plan *Plan) {
	state := &h.throttling
	tightest := state.tightest()
	if len(runs) == 0 {
		return
	}
	slower, faster := tightest != nil && tightest.forecast() < throttleBelow,
		tightest == nil || tightest.forecast() > releaseAbove
	if !slower && !faster && !slices.ContainsFunc(runs, func(run bestEffortRun) bool { return run.speedUnknown }) {
		return
	}
	pauseAll := state.longestOverTarget() > maxTimeOverTarget
	p.chooseSpeeds(state, runs)
	for _, run := range runs {
		if pauseAll {
			run.wantedPercent = 0
		}
		if !run.speedUnknown && (run.wantedPercent == run.speedPercent || (run.wantedPercent < run.speedPercent && !slower) ||
			(run.wantedPercent > run.speedPercent && !faster)) {
			continue
		}
		state.throttledAt = now
		plan.Throttles = append(plan.Throttles, ThrottleRun{
			Worker: h.worker.ID, Key: run.key, Number: run.number, SpeedPercent: run.wantedPercent,
		})
	}
}

// chooseSpeeds divides the headroom of the serving tasks above headroomGoal among the best-effort
// runs. Those with the lowest cost come first, and those with negligible interference always run at
// full speed.
func (p *Planner) chooseSpeeds(state *throttleState, runs []bestEffortRun) {
	left := map[*servingTask]float64{}
	for _, task := range state.servingTasks {
		left[task] = task.throttleForecast - headroomGoal
	}
	for i := range runs {
		for task, headroom := range left {
			runs[i].cost = max(runs[i].cost,
				p.interference.perCore(task.image, runs[i].image)/max(minHeadroom, headroom))
		}
	}
	slices.SortStableFunc(runs, func(a, b bestEffortRun) int { return cmp.Compare(a.cost, b.cost) })
	for i := range runs {
		r := &runs[i]
		for r.wantedPercent = fullSpeed; r.wantedPercent > 0 && !p.takeHeadroom(left, r); r.wantedPercent -= speedStep {
		}
	}
}

// takeHeadroom subtracts what a run takes at its wanted speed from the headroom left to each
// serving task. If one of them has too little, it changes nothing and returns false.
func (p *Planner) takeHeadroom(left map[*servingTask]float64, run *bestEffortRun) bool {
	cores := run.cores * float64(run.wantedPercent) / fullSpeed
	for task, headroom := range left {
		if perCore := p.interference.perCore(task.image, run.image); perCore >= negligibleInterference &&
			perCore*cores > headroom {
			return false
		}
	}
	for task := range left {
		left[task] -= p.interference.perCore(task.image, run.image) * cores
	}
	return true
}
