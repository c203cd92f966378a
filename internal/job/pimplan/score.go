package pimplan

import (
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

// record is what the ends of runs tell of a worker.
type record struct {
	// failedJobs are the jobs that failed there since the last success.
	failedJobs []string
	badUntil   time.Duration
	strikes    int
}

const (
	// servingLoad is the share of its processor time that a serving task is taken to
	// use while nothing is known of it.
	servingLoad = 0.42
	// minFillShare is the least share of its processor time that a filling task must
	// find unused to be started.
	minFillShare = 0.7
	// failuresToAvoid is how many jobs must fail in a row on a worker before it is avoided.
	failuresToAvoid = 3
	avoidFirst      = 2 * time.Second
	avoidMost       = 16 * time.Second
	maxStrikes      = 3
	// affinityBonus outweighs any difference of room: data on another rack slows a task
	// down by the platform's remote factor.
	affinityBonus = 10.0
	// avoidedMalus makes an avoided host the last choice.
	avoidedMalus = 100.0
	// sameImageBonus and otherImageMalus bring serving tasks of one image together, so
	// that some hosts carry only images that bear what fills beside them.
	sameImageBonus  = 0.2
	otherImageMalus = 0.3
	// harmMalus weighs the room that a filling task takes from a serving task against the
	// share of the host that stays idle.
	harmMalus = 3.0
)

// score returns how well a task of a step is placed on a host, and false where it has no room.
func (p *Planner) score(c candidate, step *pimjob.Step, h *host) (float64, bool) {
	if !h.free.Fits(step.Reserved()) || (step.MaxPerWorker > 0 && h.steps[c.key] >= step.MaxPerWorker) {
		return 0, false
	}
	score := 0.0
	if h.avoided {
		if !c.starved && !step.LongRunning {
			return 0, false
		}
		score -= avoidedMalus
	}
	if step.PreferredLabel != "" && h.worker.HasLabel(step.PreferredLabel) {
		score += affinityBonus
	}
	capacity := float64(max(1, h.worker.Capacity.Millicores))
	need := float64(step.Need.Millicores)
	switch {
	case step.BestEffort:
		idle := capacity - float64(h.serving)*servingLoad - float64(h.busy) - float64(h.filling)
		if !c.starved && idle < minFillShare*need {
			return 0, false
		}
		room, takes := h.pacing.roomWith(p.harms, step)
		if !c.starved && room < fillRoom {
			return 0, false
		}
		score += (idle-need)/capacity - harmMalus*takes
	case step.TargetLatency > 0:
		score += sameImageBonus*float64(h.images[step.Image]) - otherImageMalus*float64(h.holdsOthers(step.Image))
		score -= float64(h.filling) / capacity
	default:
		score += float64(h.free.Millicores) / capacity
	}
	return score, true
}

// onEnd learns from the end of a run. A worker that fails the runs of several jobs in a row is
// avoided for a while; one job that fails everywhere says nothing of a worker.
func (r *record) onEnd(live pimjob.LiveRun, how pimjob.EndKind, now time.Duration) {
	switch how {
	case pimjob.EndDone:
		r.failedJobs = nil
		r.strikes = 0
	case pimjob.EndFailed:
		if !slices.Contains(r.failedJobs, live.Key.Job) {
			r.failedJobs = append(r.failedJobs, live.Key.Job)
		}
		if len(r.failedJobs) >= failuresToAvoid {
			r.strike(now)
			r.failedJobs = r.failedJobs[:failuresToAvoid-1]
		}
	default:
	}
}

// strike keeps new runs away for a while, longer each time until a run is done there.
func (r *record) strike(now time.Duration) {
	if now < r.badUntil {
		return
	}
	r.badUntil = now + min(avoidMost, avoidFirst<<r.strikes)
	r.strikes = min(r.strikes+1, maxStrikes)
}
