package pimplan

import (
	"cmp"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

// filler is a filling run. Its weight is the greatest share that a core of it takes of
// the room of a serving task.
type filler struct {
	key    pimjob.TaskKey
	number int
	image  string
	cores  float64
	pace   int
	wanted int
	weight float64
}

const (
	// slowBelow and fastAbove are rooms that a serving task is expected to have a second
	// on: below the first, filling tasks are slowed, above the second, slowed ones are let
	// go faster, both as far as roomGoal has it.
	slowBelow = 1.05
	fastAbove = 1.2
	roomGoal  = 1.15
	// leastRoom keeps the share of a room finite.
	leastRoom = 0.1
	// paceSettle is how long a change of pace takes to show in a worker's lists: the
	// half second that a figure covers, and the platform's delay.
	paceSettle = 650 * time.Millisecond
	// overTargetMost is how long a serving task may be over its target before all that
	// fills beside it is stopped from working. Source: half of the platform's bound.
	overTargetMost = 1500 * time.Millisecond
	paceStep       = 25
	fullPace       = 100
)

// pace slows the filling tasks that disturb a serving task near its target, the most
// disturbing ones first, and lets them go faster once there is room again.
func (p *Planner) pace(now time.Duration, plan *Plan) {
	for _, id := range p.workers.TakeUpdatedWorkers() {
		h := p.hosts[id]
		if h == nil {
			continue
		}
		rows := p.workers.ObservedRuns(id)
		p.watch(now, h, rows, plan)
		p.moveHeldUp(h, rows, plan)
		fillers := h.pacing.observe(p.state, p.harms, rows, now)
		if now >= h.pacing.actedAt+paceSettle {
			p.paceHost(now, h, fillers, plan)
		}
	}
}

func (p *Planner) paceHost(now time.Duration, h *host, fillers []filler, plan *Plan) {
	state := &h.pacing
	tightest := state.tightest()
	if tightest == nil || tightest.room > 1 {
		state.calmAt = now
	}
	if len(fillers) == 0 {
		return
	}
	slower, faster := tightest != nil && tightest.expected() < slowBelow, tightest == nil || tightest.expected() > fastAbove
	if !slower && !faster {
		return
	}
	stopAll := now-state.calmAt > overTargetMost
	p.choosePaces(state, fillers)
	for _, f := range fillers {
		if stopAll {
			f.wanted = 0
		}
		if f.wanted == f.pace || (f.wanted < f.pace && !slower) || (f.wanted > f.pace && !faster) {
			continue
		}
		state.actedAt = now
		plan.Throttles = append(plan.Throttles, ThrottleRun{Worker: h.worker.ID, Key: f.key, Number: f.number, SpeedPercent: f.wanted})
	}
}

// choosePaces shares out the room of the serving tasks above roomGoal among the fillers:
// those that take the least of what there is come first, and what takes next to nothing
// always works.
func (p *Planner) choosePaces(state *paceState, fillers []filler) {
	left := map[*server]float64{}
	for _, server := range state.servers {
		left[server] = server.soon - roomGoal
	}
	for i := range fillers {
		for server, room := range left {
			fillers[i].weight = max(fillers[i].weight, p.harms.harm(server.image, fillers[i].image)/max(leastRoom, room))
		}
	}
	slices.SortStableFunc(fillers, func(a, b filler) int { return cmp.Compare(a.weight, b.weight) })
	for i := range fillers {
		f := &fillers[i]
		for f.wanted = fullPace; f.wanted > 0 && !p.takeRoom(left, f); f.wanted -= paceStep {
		}
	}
}

// takeRoom takes what a filler needs at its wanted pace from the room that is left of all
// serving tasks, unless one of them has not enough.
func (p *Planner) takeRoom(left map[*server]float64, f *filler) bool {
	cores := f.cores * float64(f.wanted) / fullPace
	for server, room := range left {
		if harm := p.harms.harm(server.image, f.image); harm >= harmless && harm*cores > room {
			return false
		}
	}
	for server := range left {
		left[server] -= p.harms.harm(server.image, f.image) * cores
	}
	return true
}
