package pimplace

import (
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimmanifest"
)

// Limits of the pressure on a worker, as fractions of its capacity, and of the reactions
// to it. Batch tasks are throttled when CPU usage is above throttleAbove and unthrottled
// when it is below unthrottleBelow; one is evicted when memory usage is above evictAbove.
const (
	throttleAbove   = 0.95
	unthrottleBelow = 0.75
	evictAbove      = 0.95
	settleTime      = 3 * time.Second
	// evictionBurst and evictionsPerSecond limit the evictions in the whole failure domain.
	evictionBurst      = 10.0
	evictionsPerSecond = 1.0
)

// relievePressure throttles batch tasks on workers short of CPU, unthrottles them when CPU
// usage is low again, and evicts on workers short of memory. It acts on a worker only if the
// usage was sampled more than settleTime after the last action there, so that the sample
// shows the effect of that action.
func (p *Placer) relievePressure(now time.Duration, view View) {
	p.evictionTokens = min(evictionBurst, p.evictionTokens+evictionsPerSecond*(now-p.tokensRefilledAt).Seconds())
	p.tokensRefilledAt = now
	if p.policy == PolicyFirstFit {
		return
	}
	for _, worker := range p.Workers() {
		if worker.UsageAt <= max(worker.ThrottledAt, worker.EvictedAt)+settleTime {
			continue
		}
		cpu := fraction(worker.Usage.CPUMillis, worker.Capacity.CPUMillis)
		memory := fraction(worker.Usage.MemoryMB, worker.Capacity.MemoryMB)
		switch {
		case memory > evictAbove:
			p.evictLargest(now, worker, view)
		case cpu > throttleAbove:
			p.throttleBatch(now, worker, view, true)
		case cpu < unthrottleBelow:
			p.throttleBatch(now, worker, view, false)
		}
	}
}

// throttleBatch throttles or unthrottles all batch tasks on a worker.
func (p *Placer) throttleBatch(now time.Duration, worker *Worker, view View, throttle bool) {
	for _, id := range p.batchOn(worker.ID, view) {
		incarnation := view.State.Tasks[id].Incarnation
		if (p.throttled[id] == incarnation) == throttle {
			continue
		}
		worker.ThrottledAt = now
		if throttle {
			p.throttled[id] = incarnation
		} else {
			delete(p.throttled, id)
		}
		p.decisions = append(p.decisions, Decision{Task: id, Choice: worker.ID, Reason: throttleReason(throttle)})
	}
}

func throttleReason(throttle bool) string {
	if throttle {
		return "throttle: CPU usage is high"
	}
	return "unthrottle: CPU usage is low"
}

// evictLargest evicts the batch task that uses the most memory, if the eviction rate
// allows it.
func (p *Placer) evictLargest(now time.Duration, worker *Worker, view View) {
	batch := p.batchOn(worker.ID, view)
	if len(batch) == 0 || p.evictionTokens < 1 {
		return
	}
	largest := slices.MaxFunc(batch, func(a, b pimconfig.TaskID) int {
		return int(worker.Tasks[a].MemoryMB - worker.Tasks[b].MemoryMB)
	})
	p.evict(now, worker, largest, view, "evict: memory usage is high")
}

func (p *Placer) evict(now time.Duration, worker *Worker, id pimconfig.TaskID, view View, reason string) {
	p.evictionTokens--
	worker.EvictedAt = now
	p.markStopping(id, view.State.Tasks[id])
	p.decisions = append(p.decisions, Decision{Task: id, Choice: worker.ID, Reason: reason})
}

// batchOn returns the batch tasks that are assigned to a worker and not stopping.
func (p *Placer) batchOn(worker string, view View) []pimconfig.TaskID {
	return slices.DeleteFunc(view.State.TasksOn(worker), func(id pimconfig.TaskID) bool {
		owned, ok := view.Owned[id]
		return !ok || owned.Spec.Service || p.stopping[id] == view.State.Tasks[id].Incarnation
	})
}

// evictForService evicts batch tasks for a service task that fits on no worker, on the
// worker where the fewest evictions make it fit. It does nothing if some worker will have
// enough free capacity anyway once its stopping tasks have ended.
func (p *Placer) evictForService(
	now time.Duration, targets []*target, id pimconfig.TaskID, owned OwnedTask, needs pimmanifest.Resources, view View,
) {
	if !owned.Spec.Service || p.policy == PolicyFirstFit {
		return
	}
	var best *target
	var victims []pimconfig.TaskID
	for _, t := range targets {
		if p.willFit(t, needs, view) {
			return
		}
		list := p.victims(t, needs, view)
		if list != nil && (best == nil || len(list) < len(victims)) {
			best, victims = t, list
		}
	}
	if best == nil || p.evictionTokens < float64(len(victims)) {
		return
	}
	for _, victim := range victims {
		p.evict(now, best.worker, victim, view, "evict: free capacity for "+id.Job)
	}
}

// willFit reports whether a task fits on a worker once its stopping tasks have ended.
func (p *Placer) willFit(t *target, needs pimmanifest.Resources, view View) bool {
	free := t.free
	for _, id := range t.tasks {
		if p.stopping[id] == view.State.Tasks[id].Incarnation && p.stopping[id] > 0 {
			free = free.Add(p.estimate(id.Job, view.State.Tasks[id].Needs))
		}
	}
	return needs.Fits(free)
}

// victims returns batch tasks whose eviction makes a task fit on a worker, or nil if
// evicting all of them is not enough.
func (p *Placer) victims(t *target, needs pimmanifest.Resources, view View) []pimconfig.TaskID {
	free := t.free
	var list []pimconfig.TaskID
	for _, id := range p.batchOn(t.worker.ID, view) {
		free = free.Add(p.estimate(id.Job, view.State.Tasks[id].Needs))
		list = append(list, id)
		if needs.Fits(free) {
			return list
		}
	}
	return nil
}
