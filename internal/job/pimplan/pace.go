package pimplan

import (
	"maps"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

// paceState is the share at which the filling tasks of a worker may work.
type paceState struct {
	percent int
	seenAt  time.Duration
}

const (
	// paceDownAt and paceUpBelow are shares of a serving task's target latency.
	paceDownAt  = 0.85
	paceUpBelow = 0.6
	paceUpStep  = 20
	fullPace    = 100
)

// pace slows the filling tasks beside a serving task that comes near its target, and
// lets them go on faster once it is well below.
func (p *Planner) pace(in Input, hosts []*host, plan *Plan) {
	for _, h := range hosts {
		worst, seenAt := worstTail(in.State, h)
		state := p.paces[h.worker.ID]
		if state == nil {
			state = &paceState{percent: fullPace}
			p.paces[h.worker.ID] = state
		}
		if seenAt > state.seenAt {
			state.seenAt = seenAt
			state.step(worst)
		}
		if worst == 0 {
			state.percent = fullPace
		}
		p.applyPace(in, h, state.percent, plan)
	}
}

func (s *paceState) step(worst float64) {
	switch {
	case worst >= 1:
		s.percent = 0
	case worst >= paceDownAt:
		s.percent /= 2
	case worst < paceUpBelow:
		s.percent = min(fullPace, s.percent+paceUpStep)
	}
}

// worstTail returns the highest tail of the host's serving tasks as a share of its target, and when it was seen.
func worstTail(state *pimjob.State, h *host) (float64, time.Duration) {
	worst, seenAt := 0.0, time.Duration(0)
	for key, view := range h.view.Rows {
		_, step, _ := state.Task(key)
		if step == nil || step.Target <= 0 || view.At == 0 {
			continue
		}
		worst = max(worst, view.Row.Gauge/float64(step.Target.Milliseconds()))
		seenAt = max(seenAt, view.At)
	}
	return worst, seenAt
}

func (p *Planner) applyPace(in Input, h *host, percent int, plan *Plan) {
	if h.fillers == 0 {
		return
	}
	runs := in.State.RunsOn(h.worker.ID)
	for _, key := range slices.SortedFunc(maps.Keys(runs), pimjob.CompareKeys) {
		_, step, _ := in.State.Task(key)
		if view, ok := h.view.Rows[key]; ok && step.Fills && view.Pace != percent {
			plan.Paces = append(plan.Paces, Pace{Worker: h.worker.ID, Key: key, Number: runs[key].Run.Number, Percent: percent})
		}
	}
}
