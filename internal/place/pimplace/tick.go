package pimplace

import (
	"maps"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimdomain"
)

// Tick updates the tables and queues the commands and decisions that Take returns. It is
// to be called every TickInterval. The steps that visit every task run only when the
// replicated state has changed or tasks wait for a worker, so that an idle tick stays
// cheap in a large failure domain.
func (p *Placer) Tick(now time.Duration, view View) {
	p.dropApplied(view)
	p.endLostTasks(now, view)
	changed := p.viewChanged(view)
	if changed {
		p.releaseOwnership(view)
	}
	p.relievePressure(now, view)
	if changed || p.waitingTasks > 0 {
		p.placePending(now, view)
	}
	p.updateQuarantine(now, view)
}

// viewKey identifies the content of a View without comparing its tables.
type viewKey struct {
	configVersion, appliedIndex                uint64
	configCurrent, startsAllowed, batchAllowed bool
}

// viewChanged reports whether the view differs from that of the last tick.
func (p *Placer) viewChanged(view View) bool {
	now := viewKey{view.ConfigVersion, view.AppliedIndex, view.ConfigCurrent, view.StartsAllowed, view.BatchAllowed}
	changed := now != p.lastView
	p.lastView = now
	return changed
}

// dropApplied removes entries whose log entry has been applied or whose incarnation has
// ended.
func (p *Placer) dropApplied(view View) {
	maps.DeleteFunc(p.reserved, func(_ pimconfig.TaskID, r reservation) bool {
		return r.logIndex <= view.AppliedIndex
	})
	maps.DeleteFunc(p.pendingLosses, func(_ pimconfig.TaskID, index uint64) bool { return index <= view.AppliedIndex })
	maps.DeleteFunc(p.stopping, func(id pimconfig.TaskID, incarnation uint64) bool {
		row := view.State.Tasks[id]
		return row.Worker == "" || row.Incarnation != incarnation
	})
	maps.DeleteFunc(p.countedEnds, func(id pimconfig.TaskID, incarnation uint64) bool {
		row := view.State.Tasks[id]
		return row.Worker == "" || row.Incarnation != incarnation
	})
	maps.DeleteFunc(p.throttled, func(id pimconfig.TaskID, incarnation uint64) bool {
		row := view.State.Tasks[id]
		return row.Worker == "" || row.Incarnation != incarnation
	})
}

// isAlive reports whether a worker's lease may still be valid. A worker that this leader
// has not seen may hold a lease of an earlier leader.
func (p *Placer) isAlive(now time.Duration, id string) bool {
	lastSeen := p.leaderSince
	if worker := p.workers[id]; worker != nil {
		lastSeen = max(lastSeen, worker.LastSeenAt)
	}
	return now <= lastSeen+WorkerLease+LeaseMargin
}

// endLostTasks proposes to end the tasks of workers whose lease has expired as lost, and
// removes these workers.
func (p *Placer) endLostTasks(now time.Duration, view View) {
	var endings []pimdomain.Ending
	for _, worker := range view.State.BusyWorkers() {
		if p.isAlive(now, worker) || p.hasPendingLoss(worker, view) {
			continue
		}
		for _, id := range view.State.TasksOn(worker) {
			row := view.State.Tasks[id]
			endings = append(endings, pimdomain.Ending{
				Task: id, Epoch: row.Epoch, Incarnation: row.Incarnation, Outcome: pimdomain.OutcomeLost,
			})
		}
	}
	if len(endings) > 0 {
		p.proposals = append(p.proposals, pimdomain.EndTasks{Endings: endings})
	}
	maps.DeleteFunc(p.workers, func(id string, _ *Worker) bool { return !p.isAlive(now, id) })
}

// releaseOwnership stops tasks that this failure domain must not run any more. Once they
// have stopped, it proposes to release those whose owner is releasing them, and to forget
// those that the current configuration no longer assigns here. Tasks that a stale
// configuration lacks keep running while batch tasks are allowed.
func (p *Placer) releaseOwnership(view View) {
	released := map[pimconfig.TaskID]uint64{}
	forgotten := map[pimconfig.TaskID]uint64{}
	for id, owned := range view.Owned {
		row := view.State.Tasks[id]
		if p.shouldStop(owned, view) {
			p.markStopping(id, row)
		}
		ended := row.Worker == "" && !row.Released && row.LastOutcome != pimdomain.OutcomeFinished
		if owned.Owner.Releasing && ended && !p.isReserved(id) {
			released[id] = owned.Owner.Epoch
		}
	}
	for id, row := range view.State.Tasks {
		owned, ok := view.Owned[id]
		if (ok && owned.Owner.Epoch >= row.Epoch) || (!view.ConfigCurrent && view.BatchAllowed) {
			continue
		}
		p.markStopping(id, row)
		if view.ConfigCurrent && row.Worker == "" && !p.isReserved(id) {
			forgotten[id] = row.Epoch
		}
	}
	if len(released) > 0 {
		p.proposals = append(p.proposals, pimdomain.ReleaseTasks{Tasks: released})
	}
	if len(forgotten) > 0 {
		p.proposals = append(p.proposals, pimdomain.ForgetTasks{Version: view.ConfigVersion, Tasks: forgotten})
	}
}

// shouldStop reports whether an owned task must not run here any more.
func (p *Placer) shouldStop(owned OwnedTask, view View) bool {
	return owned.Owner.Releasing || (!owned.Spec.Service && !view.BatchAllowed)
}

// markStopping makes the worker checkpoint and stop the current incarnation of a task.
func (p *Placer) markStopping(id pimconfig.TaskID, row pimdomain.Task) {
	if row.Worker != "" {
		p.stopping[id] = row.Incarnation
	}
}

func (p *Placer) isReserved(id pimconfig.TaskID) bool {
	_, reserved := p.reserved[id]
	return reserved
}

func sortedTasks[V any](tasks map[pimconfig.TaskID]V) []pimconfig.TaskID {
	return slices.SortedFunc(maps.Keys(tasks), pimconfig.CompareTasks)
}
