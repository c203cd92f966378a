package pimplan

import (
	"cmp"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// paceState is what is known of the serving and filling tasks of a host, and what was
	// last done about them.
	paceState struct {
		seenAt  time.Duration
		actedAt time.Duration
		// calmAt is when all serving tasks were last below their targets.
		calmAt  time.Duration
		servers []server
		// unseen are the cores by image of filling tasks that no list shows yet.
		unseen map[string]float64
	}

	// server is a serving task: its image and tail as a share of its target.
	server struct {
		image string
		share float64
	}

	// filler is a filling run with the harm of a core of it to the worst serving task.
	filler struct {
		key    pimjob.TaskKey
		number int
		image  string
		cores  float64
		pace   int
		harm   float64
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

// plan notes a filling task that comes to the host, or leaves it with sign -1.
func (s *paceState) plan(step *pimjob.Step, sign int) {
	if s.unseen == nil {
		s.unseen = map[string]float64{}
	}
	s.unseen[step.Image] = max(0, s.unseen[step.Image]+float64(sign)*float64(step.Need.Millicores)/millisPerCore)
}

// worstWith returns the highest tail, as a share of its target, that a serving task of
// the host is expected to have once a filling task works beside it.
func (s *paceState) worstWith(harms *harmModel, step *pimjob.Step) float64 {
	worst := 0.0
	for _, server := range s.servers {
		share := server.share + harms.harm(server.image, step.Image)*float64(step.Need.Millicores)/millisPerCore
		for image, cores := range s.unseen {
			share += harms.harm(server.image, image) * cores
		}
		worst = max(worst, share)
	}
	return worst
}

// pace slows the filling tasks that disturb a serving task near its target, the most
// disturbing ones first, and lets them go faster once there is room again.
func (p *Planner) pace(now time.Duration, plan *Plan) {
	for _, id := range p.workers.TakeFresh() {
		h := p.hosts[id]
		if h == nil {
			continue
		}
		rows := p.workers.Rows(id)
		p.harms.observe(p.state, rows)
		fillers := h.pacing.observe(p.state, rows, now)
		if now < h.pacing.actedAt+paceSettle {
			continue
		}
		p.paceHost(now, h, fillers, plan)
	}
}

// observe takes over the tails that a worker listed and returns its filling runs.
func (s *paceState) observe(state *pimjob.State, rows []pimfleet.RunView, now time.Duration) []filler {
	s.seenAt = now
	s.servers = s.servers[:0]
	clear(s.unseen)
	var fillers []filler
	for _, view := range rows {
		_, step, _ := state.Task(view.Row.Key)
		switch {
		case step == nil:
		case step.Fills:
			fillers = append(fillers, filler{
				key: view.Row.Key, number: view.Row.Number, image: step.Image, cores: float64(step.Need.Millicores) / millisPerCore, pace: view.Pace,
			})
		case step.Target > 0:
			s.servers = append(s.servers, server{image: step.Image, share: view.Row.Gauge / float64(step.Target.Milliseconds())})
		}
	}
	return fillers
}

func (p *Planner) paceHost(now time.Duration, h *host, fillers []filler, plan *Plan) {
	servers, state := h.pacing.servers, &h.pacing
	worst := worstServer(servers)
	if worst.share < 1 {
		state.calmAt = now
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
	case now-state.calmAt > overTargetMost:
		for _, f := range fillers {
			wanted[f.key] = 0
		}
	case worst.share >= paceDownAt:
		slowDown(fillers, worst.share-paceGoal, wanted)
	case worst.share < paceUpBelow:
		p.speedUp(servers, fillers, wanted)
	}
	for _, f := range fillers {
		pace, ok := wanted[f.key]
		if !ok || pace == f.pace {
			continue
		}
		state.actedAt = now
		plan.Paces = append(plan.Paces, Pace{Worker: h.worker.ID, Key: f.key, Number: f.number, Percent: pace})
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

// speedUp lets slowed fillers go faster as far as all serving tasks have room for it, the
// least disturbing first.
func (p *Planner) speedUp(servers []server, fillers []filler, wanted map[pimjob.TaskKey]int) {
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

func worstServer(servers []server) server {
	var worst server
	for _, s := range servers {
		if s.share >= worst.share {
			worst = s
		}
	}
	return worst
}
