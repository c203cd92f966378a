package pimplan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// paceState is what the planner last did about the filling tasks of a worker.
	paceState struct {
		seenAt  time.Duration
		actedAt time.Duration
		// slowSince tells since when a run has been slowed.
		slowSince map[pimjob.TaskKey]time.Duration
		// calmAt is when all serving tasks were last below their targets.
		calmAt time.Duration
	}

	// server is a serving task on a host: its image and tail as a share of its target.
	server struct {
		image string
		share float64
	}

	// filler is a filling run on a host with what it adds to the worst serving task.
	filler struct {
		key   pimjob.TaskKey
		image string
		cores float64
		pace  int
		harm  float64
	}
)

const (
	// paceDownAt and paceGoal are shares of a serving task's target latency: above the
	// first, filling tasks are slowed until the second is expected.
	paceDownAt = 0.85
	paceGoal   = 0.7
	// paceUpBelow is the share below which slowed tasks are let go faster.
	paceUpBelow = 0.72
	// paceSettle is how long a change of pace takes to show in a worker's lists: the
	// half second that a figure covers, and the platform's delay.
	paceSettle = 650 * time.Millisecond
	// overTargetMost is how long a serving task may be over its target before all that
	// fills beside it is stopped from working. Source: half of the platform's bound.
	overTargetMost = 1500 * time.Millisecond
	paceStep       = 25
	fullPace       = 100
	// harmless is the harm per core below which a filling image is not slowed.
	harmless = 0.012
)

// pace slows the filling tasks that disturb a serving task near its target, the most
// disturbing ones first, and lets them go faster once there is room again.
func (p *Planner) pace(in Input, hosts []*host, plan *Plan) {
	for _, h := range hosts {
		state := p.paces[h.worker.ID]
		if state == nil {
			state = &paceState{slowSince: map[pimjob.TaskKey]time.Duration{}, calmAt: in.Now}
			p.paces[h.worker.ID] = state
		}
		newest := newestRow(h.view.Rows)
		if newest <= state.seenAt {
			continue
		}
		state.seenAt = newest
		p.harms.observe(in.State, h.view.Rows)
		if newest < state.actedAt+paceSettle {
			continue
		}
		p.paceHost(in, h, state, plan)
	}
}

func (p *Planner) paceHost(in Input, h *host, state *paceState, plan *Plan) {
	servers, fillers := h.listSharers(in)
	worst := worstServer(servers)
	if worst.share < 1 {
		state.calmAt = in.Now
	}
	if len(fillers) == 0 {
		return
	}
	for i := range fillers {
		fillers[i].harm = p.harms.harm(worst.image, fillers[i].image)
	}
	slices.SortStableFunc(fillers, func(a, b filler) int { return cmp.Compare(b.harm, a.harm) })
	wanted := map[pimjob.TaskKey]int{}
	switch {
	case len(servers) == 0:
		for _, f := range fillers {
			wanted[f.key] = fullPace
		}
	case in.Now-state.calmAt > overTargetMost:
		for _, f := range fillers {
			wanted[f.key] = 0
		}
	case worst.share >= paceDownAt:
		slowDown(fillers, worst.share-paceGoal, wanted)
	case worst.share < paceUpBelow:
		p.speedUp(in, h, servers, fillers, wanted)
	}
	for _, f := range fillers {
		pace, ok := wanted[f.key]
		if !ok || pace == f.pace {
			continue
		}
		state.actedAt = in.Now
		plan.Paces = append(plan.Paces, Pace{Worker: h.worker.ID, Key: f.key, Number: in.State.RunsOn(h.worker.ID)[f.key].Run.Number, Percent: pace})
	}
}

// slowDown takes off excess, a share of the target, from the most disturbing fillers.
func slowDown(fillers []filler, excess float64, wanted map[pimjob.TaskKey]int) {
	for _, f := range fillers {
		adds := f.harm * f.cores * float64(f.pace) / fullPace
		if excess <= 0 || f.harm < harmless || adds <= 0 {
			continue
		}
		left := max(0, 1-excess/adds)
		wanted[f.key] = int(left*float64(f.pace)) / paceStep * paceStep
		excess -= adds * (1 - float64(wanted[f.key])/float64(f.pace))
	}
}

// speedUp lets the least disturbing slowed filler of each serving task's room go faster.
func (p *Planner) speedUp(_ Input, _ *host, servers []server, fillers []filler, wanted map[pimjob.TaskKey]int) {
	room := make([]float64, len(servers))
	for i, s := range servers {
		room[i] = paceDownAt - s.share
	}
	for i := len(fillers) - 1; i >= 0; i-- {
		f := fillers[i]
		for pace := fullPace; pace > f.pace; pace -= paceStep {
			if p.takeRoom(servers, room, f.image, f.cores*float64(pace-f.pace)/fullPace) {
				wanted[f.key] = pace
				break
			}
		}
	}
}

// takeRoom takes what more cores of a filling image add from the room of all serving
// tasks, unless one of them has not enough.
func (p *Planner) takeRoom(servers []server, room []float64, image string, cores float64) bool {
	for i, s := range servers {
		if p.harms.harm(s.image, image)*cores > max(0, room[i]) {
			return false
		}
	}
	for i, s := range servers {
		room[i] -= p.harms.harm(s.image, image) * cores
	}
	return true
}

// listSharers returns the serving and filling tasks that the host lists.
func (h *host) listSharers(in Input) ([]server, []filler) {
	var servers []server
	var fillers []filler
	for _, key := range slices.SortedFunc(maps.Keys(h.view.Rows), pimjob.CompareKeys) {
		view := h.view.Rows[key]
		_, step, _ := in.State.Task(key)
		switch {
		case step == nil || view.At == 0:
		case step.Fills:
			fillers = append(fillers, filler{key: key, image: step.Image, cores: float64(step.Need.Millicores) / millisPerCore, pace: view.Pace})
		case step.Target > 0:
			servers = append(servers, server{image: step.Image, share: view.Row.Gauge / float64(step.Target.Milliseconds())})
		}
	}
	return servers, fillers
}

func worstServer(servers []server) server {
	var worst server
	for _, s := range servers {
		if s.share >= worst.share {
			worst = s
		}
	}
	return worst
}
