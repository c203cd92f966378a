package pimplan

import (
	"cmp"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

// bestEffortRun is a filling run. Its weight is the greatest share that a core of it takes of
// the room of a serving task.
type bestEffortRun struct {
	key           pimjob.TaskKey
	number        int
	image         string
	cores         float64
	speedPercent  int
	wantedPercent int
	cost          float64
}

const (
	// throttleBelow and fastAbove are rooms that a serving task is expected to have a second
	// on: below the first, filling tasks are slowed, above the second, slowed ones are let
	// go faster, both as far as roomGoal has it.
	throttleBelow = 1.05
	releaseAbove  = 1.2
	headroomGoal  = 1.15
	// minHeadroom keeps the share of a room finite.
	minHeadroom = 0.1
	// throttleSettleTime is how long a change of pace takes to show in a worker's lists: the
	// half second that a figure covers, and the platform's delay.
	throttleSettleTime = 650 * time.Millisecond
	// maxTimeOverTarget is how long a serving task may be over its target before all that
	// fills beside it is stopped from working. Source: half of the platform's bound.
	maxTimeOverTarget = 1500 * time.Millisecond
	speedStep         = 25
	fullSpeed         = 100
)

// throttle slows the filling tasks that disturb a serving task near its target, the most
// disturbing ones first, and lets them go faster once there is room again.
func (p *Planner) throttle(now time.Duration, plan *Plan) {
	for _, id := range p.workers.TakeUpdatedWorkers() {
		h := p.hosts[id]
		if h == nil {
			continue
		}
		rows := p.workers.ObservedRuns(id)
		p.checkProgress(now, h, rows, plan)
		p.migrateSlowRuns(h, rows, plan)
		fillers := h.throttling.observe(p.state, p.interference, rows, now)
		if now >= h.throttling.throttledAt+throttleSettleTime {
			p.throttleHost(now, h, fillers, plan)
		}
	}
}

func (p *Planner) throttleHost(now time.Duration, h *host, fillers []bestEffortRun, plan *Plan) {
	state := &h.throttling
	tightest := state.tightest()
	if tightest == nil || tightest.headroom > 1 {
		state.withinTargetAt = now
	}
	if len(fillers) == 0 {
		return
	}
	slower, faster := tightest != nil && tightest.forecast() < throttleBelow, tightest == nil || tightest.forecast() > releaseAbove
	if !slower && !faster {
		return
	}
	stopAll := now-state.withinTargetAt > maxTimeOverTarget
	p.chooseSpeeds(state, fillers)
	for _, f := range fillers {
		if stopAll {
			f.wantedPercent = 0
		}
		if f.wantedPercent == f.speedPercent || (f.wantedPercent < f.speedPercent && !slower) || (f.wantedPercent > f.speedPercent && !faster) {
			continue
		}
		state.throttledAt = now
		plan.Throttles = append(plan.Throttles, ThrottleRun{Worker: h.worker.ID, Key: f.key, Number: f.number, SpeedPercent: f.wantedPercent})
	}
}

// chooseSpeeds shares out the room of the serving tasks above roomGoal among the fillers:
// those that take the least of what there is come first, and what takes next to nothing
// always works.
func (p *Planner) chooseSpeeds(state *throttleState, fillers []bestEffortRun) {
	left := map[*servingTask]float64{}
	for _, server := range state.servingTasks {
		left[server] = server.throttleForecast - headroomGoal
	}
	for i := range fillers {
		for server, room := range left {
			fillers[i].cost = max(fillers[i].cost, p.interference.perCore(server.image, fillers[i].image)/max(minHeadroom, room))
		}
	}
	slices.SortStableFunc(fillers, func(a, b bestEffortRun) int { return cmp.Compare(a.cost, b.cost) })
	for i := range fillers {
		f := &fillers[i]
		for f.wantedPercent = fullSpeed; f.wantedPercent > 0 && !p.takeHeadroom(left, f); f.wantedPercent -= speedStep {
		}
	}
}

// takeHeadroom takes what a filler needs at its wanted pace from the room that is left of all
// serving tasks, unless one of them has not enough.
func (p *Planner) takeHeadroom(left map[*servingTask]float64, f *bestEffortRun) bool {
	cores := f.cores * float64(f.wantedPercent) / fullSpeed
	for server, room := range left {
		if harm := p.interference.perCore(server.image, f.image); harm >= negligibleInterference && harm*cores > room {
			return false
		}
	}
	for server := range left {
		left[server] -= p.interference.perCore(server.image, f.image) * cores
	}
	return true
}
