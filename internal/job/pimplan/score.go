package pimplan

import (
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// record is what the ends of runs tell of a worker.
	record struct {
		// failedJobs are the jobs that failed there since the last success.
		failedJobs []string
		badUntil   time.Duration
		strikes    int
	}
)

const (
	// servingLoad is the share of its processor time that a serving task is taken to
	// use while nothing is known of it.
	servingLoad = 0.5
	// minFillShare is the least share of its processor time that a filling task must
	// find unused to be started.
	minFillShare = 0.7
	// failuresToAvoid is how many jobs must fail in a row on a worker before it is avoided.
	failuresToAvoid = 3
	avoidFirst      = 2 * time.Second
	avoidMost       = 16 * time.Second
	// affinityBonus outweighs any difference of room: data on another rack slows a task
	// down by the platform's remote factor.
	affinityBonus = 10.0
	failedPenalty = 5.0
	// fillGoal is the share of a serving task's target that a new filling task may bring it to.
	fillGoal = 0.8
	// sameImageBonus and otherImageMalus bring serving tasks of one image together, so
	// that some hosts carry only images that bear what fills beside them.
	sameImageBonus  = 0.2
	otherImageMalus = 0.3
)

func (p *Planner) recordOf(worker string) *record {
	r := p.records[worker]
	if r == nil {
		r = &record{}
		p.records[worker] = r
	}
	return r
}

// score returns how well a task is placed on a host that has room, and false where it must not go.
func (p *Planner) score(in Input, step *pimjob.Step, key pimjob.TaskKey, h *host) (float64, bool) {
	if in.Now < h.record.badUntil {
		return 0, false
	}
	score := 0.0
	if step.Affinity != "" && h.worker.HasLabel(step.Affinity) {
		score += affinityBonus
	}
	if slices.Contains(p.failedOn[key], h.worker.ID) {
		score -= failedPenalty
	}
	capacity := float64(max(1, h.worker.Capacity.Millicores))
	idle := capacity - float64(h.serving)*servingLoad - float64(h.busy) - float64(h.filling)
	switch {
	case step.Fills:
		if idle < minFillShare*float64(step.Need.Millicores) {
			return 0, false
		}
		worst := h.worstWith(p.harms, step)
		if worst > fillGoal {
			return 0, false
		}
		score += (idle-float64(step.Need.Millicores))/capacity - worst
	case step.Target > 0:
		score += sameImageBonus*float64(h.images[step.Image]) - otherImageMalus*float64(h.otherImages(step.Image))
		score -= float64(h.filling) / capacity
	case step.Lasting:
		score += 1 - float64(h.free.Millicores)/capacity
	default:
		score += float64(h.free.Millicores) / capacity
	}
	return score, true
}

// OnEnd learns from the end of a run.
func (p *Planner) OnEnd(live pimjob.LiveRun, how pimjob.EndKind, now time.Duration) {
	r := p.recordOf(live.Run.Worker)
	switch how {
	case pimjob.EndDone:
		r.failedJobs = nil
		r.strikes = 0
		delete(p.failedOn, live.Key)
	case pimjob.EndFailed:
		p.failedOn[live.Key] = append(p.failedOn[live.Key], live.Run.Worker)
		if !slices.Contains(r.failedJobs, live.Key.Job) {
			r.failedJobs = append(r.failedJobs, live.Key.Job)
		}
		if len(r.failedJobs) >= failuresToAvoid {
			r.badUntil = now + min(avoidMost, avoidFirst<<r.strikes)
			r.strikes = min(r.strikes+1, 3)
			r.failedJobs = r.failedJobs[:failuresToAvoid-1]
		}
	default:
	}
}

// Forget drops what was learned of a job that has ended.
func (p *Planner) Forget(job *pimjob.Job) {
	for key := range p.failedOn {
		if key.Job == job.Submission.ID {
			delete(p.failedOn, key)
		}
	}
}

// worstWith returns the highest tail, as a share of its target, that a serving task of
// the host is expected to have once a filling task works beside it.
func (h *host) worstWith(harms *harmModel, step *pimjob.Step) float64 {
	worst := 0.0
	for _, s := range h.servers {
		worst = max(worst, s.share+harms.harm(s.image, step.Image)*float64(step.Need.Millicores)/millisPerCore)
	}
	return worst
}

// disturb raises the tails of the host's serving tasks by what a planned filling task adds.
func (h *host) disturb(harms *harmModel, step *pimjob.Step) {
	for i := range h.servers {
		h.servers[i].share += harms.harm(h.servers[i].image, step.Image) * float64(step.Need.Millicores) / millisPerCore
	}
}

func (h *host) otherImages(image string) int {
	count := 0
	for other, n := range h.images {
		if other != image {
			count += n
		}
	}
	return count
}
