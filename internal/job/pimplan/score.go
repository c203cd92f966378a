package pimplan

import (
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

// failureRecord is what the ends of runs tell of a worker.
type failureRecord struct {
	// failedJobs are the jobs that failed there since the last success.
	failedJobs   []string
	backoffUntil time.Duration
	backoffs     int
}

const (
	// assumedServingLoad is the share of its processor time that a serving task is taken to
	// use while nothing is known of it.
	assumedServingLoad = 0.42
	// minIdleShare is the least share of its processor time that a filling task must
	// find unused to be started.
	minIdleShare = 0.7
	// failedJobsBeforeBackoff is how many jobs must fail in a row on a worker before it is avoided.
	failedJobsBeforeBackoff = 3
	minBackoff              = 2 * time.Second
	maxBackoff              = 16 * time.Second
	maxBackoffDoublings     = 3
	// preferredLabelBonus outweighs any difference of room: data on another rack slows a task
	// down by the platform's remote factor.
	preferredLabelBonus = 10.0
	// backoffPenalty makes an avoided host the last choice.
	backoffPenalty = 100.0
	// sameImageBonus and otherImageMalus bring serving tasks of one image together, so
	// that some hosts carry only images that bear what fills beside them.
	sameImageBonus    = 0.2
	otherImagePenalty = 0.3
	// interferencePenalty weighs the room that a filling task takes from a serving task against the
	// share of the host that stays idle.
	interferencePenalty = 3.0
)

// score returns how well a task of a step is placed on a host, and false where it has no room.
func (p *Planner) score(c candidate, step *pimjob.Step, h *host) (float64, bool) {
	if !h.free.Fits(step.Reserved()) || (step.MaxPerWorker > 0 && h.tasksByStep[c.key] >= step.MaxPerWorker) {
		return 0, false
	}
	score := 0.0
	if h.backingOff {
		if !c.starved && !step.LongRunning {
			return 0, false
		}
		score -= backoffPenalty
	}
	if step.PreferredLabel != "" && h.worker.HasLabel(step.PreferredLabel) {
		score += preferredLabelBonus
	}
	capacity := float64(max(1, h.worker.Capacity.Millicores))
	need := float64(step.Need.Millicores)
	switch {
	case step.BestEffort:
		idle := capacity - float64(h.servingMillicores)*assumedServingLoad - float64(h.otherMillicores) - float64(h.bestEffortMillicores)
		if !c.starved && idle < minIdleShare*need {
			return 0, false
		}
		room, takes := h.throttling.headroomWith(p.interference, step)
		if !c.starved && room < minPlacementHeadroom {
			return 0, false
		}
		score += (idle-need)/capacity - interferencePenalty*takes
	case step.TargetLatency > 0:
		score += sameImageBonus*float64(h.servingImages[step.Image]) - otherImagePenalty*float64(h.countOtherImages(step.Image))
		score -= float64(h.bestEffortMillicores) / capacity
	default:
		score += float64(h.free.Millicores) / capacity
	}
	return score, true
}

// onRunEnded learns from the end of a run. A worker that fails the runs of several jobs in a row is
// avoided for a while; one job that fails everywhere says nothing of a worker.
func (r *failureRecord) onRunEnded(live pimjob.LiveRun, how pimjob.EndKind, now time.Duration) {
	switch how {
	case pimjob.EndDone:
		r.failedJobs = nil
		r.backoffs = 0
	case pimjob.EndFailed:
		if !slices.Contains(r.failedJobs, live.Key.Job) {
			r.failedJobs = append(r.failedJobs, live.Key.Job)
		}
		if len(r.failedJobs) >= failedJobsBeforeBackoff {
			r.backOff(now)
			r.failedJobs = r.failedJobs[:failedJobsBeforeBackoff-1]
		}
	default:
	}
}

// backOff keeps new runs away for a while, longer each time until a run is done there.
func (r *failureRecord) backOff(now time.Duration) {
	if now < r.backoffUntil {
		return
	}
	r.backoffUntil = now + min(maxBackoff, minBackoff<<r.backoffs)
	r.backoffs = min(r.backoffs+1, maxBackoffDoublings)
}
