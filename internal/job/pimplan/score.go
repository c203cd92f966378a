package pimplan

import (
	"math"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

const (
	// assumedServingLoad is the share of its requested processor time that a serving task is assumed
	// to use. Workers report its tail latency, but not its processor time.
	assumedServingLoad = 0.42
	// minIdleShare is the least share of its requested processor time that must be idle on a host
	// for a best-effort task to start there.
	minIdleShare = 0.7
	// preferredLabelBonus outweighs any difference in free capacity, as a task whose data is on
	// another rack is slowed down by the platform's remote factor.
	preferredLabelBonus = 10.0
	// backoffPenalty makes a host that is backing off the last choice.
	backoffPenalty = 100.0
	// sameImageBonus and otherImagePenalty group serving tasks by image, so that some hosts run only
	// images that tolerate best-effort tasks beside them.
	sameImageBonus    = 0.2
	otherImagePenalty = 0.3
	// interferencePenalty weighs the headroom that a best-effort task takes from a serving task
	// against the idle share of the host.
	interferencePenalty = 3.0
)

// score rates a host for a task of a step, higher being better. It returns false if the host cannot
// take the task.
func (p *Planner) score(c candidate, step *pimjob.Step, h *host) (float64, bool) {
	if !h.free.Fits(step.Reserved()) || (step.MaxPerWorker > 0 && h.tasksByStep[c.key] >= step.MaxPerWorker) {
		return 0, false
	}
	score := 0.0
	if h.backingOff {
		switch {
		case h.admitsProbe(step):
		case c.starved || step.LongRunning:
			score -= backoffPenalty
		default:
			return 0, false
		}
	}
	switch {
	case step.PreferredLabel == "":
	case h.worker.HasLabel(step.PreferredLabel):
		score += preferredLabelBonus
	default:
		score -= contentionPenalty * h.contention
	}
	capacity := float64(max(1, h.worker.Capacity.Millicores))
	requested := float64(step.Need.Millicores)
	switch {
	case step.BestEffort:
		idle := h.idleMillicores()
		if !c.starved && idle < minIdleShare*requested {
			return 0, false
		}
		headroom, taken := h.throttling.headroomWith(p.interference, step)
		if !p.uses(HeadroomPlacement) {
			headroom, taken = math.Inf(1), 0
		}
		if !c.starved && headroom < minPlacementHeadroom {
			return 0, false
		}
		score += (idle-requested)/capacity - interferencePenalty*taken - opportunityWeight*h.opportunityCost
	case step.TargetLatency > 0:
		if p.uses(ImageGrouping) {
			score += sameImageBonus*float64(h.servingImages[step.Image]) -
				otherImagePenalty*float64(h.countOtherImages(step.Image))
		}
		score -= float64(h.bestEffortMillicores) / capacity
	default:
		score += float64(h.free.Millicores) / capacity
	}
	return score, true
}
