package pimfleet

import (
	"maps"
	"slices"
	"time"
)

// ObservedRun is a run as its worker last listed it. Its times are on the worker's clock.
type ObservedRun struct {
	Status   RunStatus
	ListedAt time.Duration
	// SpeedPercent is the speed that the leader requested. SpeedUnknown is set while an earlier leader may have requested
	// another one.
	SpeedPercent int
	SpeedUnknown bool
	// ProgressedAt is when the progress, the checkpoint or the requested speed was last seen to change.
	ProgressedAt time.Duration
	// Stopping is set once the leader decided to stop the run.
	Stopping bool
}

// IsUsable reports whether a worker may get new runs: it responded to its last renewal in this term,
// is not leaving, neither unhealthy nor out of capacity, and its capacity is known.
func (f *Fleet) IsUsable(id string, now time.Duration) bool {
	w := f.workers[id]
	return w != nil && w.reachable && w.hasClock && !w.leaving && w.leaveReportedAt == 0 && now >= w.unhealthyUntil && f.isCapacityCurrent(w, now)
}

// ObservedRuns returns the runs in the last list of a worker, sorted by task and run number. A run that an earlier list
// showed and the last one does not has ended, or is about to be started again.
func (f *Fleet) ObservedRuns(id string) []ObservedRun {
	w := f.workers[id]
	if w == nil {
		return nil
	}
	var observed []ObservedRun
	for _, run := range w.sortedRuns(func(run *trackedRun) bool { return run.listedAt != 0 && run.listedAt == w.listedAt }) {
		observed = append(observed, ObservedRun{
			Status: run.status, ListedAt: run.listedAt, SpeedPercent: run.wantedSpeedPercent, SpeedUnknown: run.speedUnknown,
			ProgressedAt: run.progressedAt, Stopping: run.stopping,
		})
	}
	return observed
}

// TakeUpdatedWorkers returns the IDs of the workers that listed their runs since the last call, sorted.
func (f *Fleet) TakeUpdatedWorkers() []string {
	ids := slices.Sorted(maps.Keys(f.updated))
	clear(f.updated)
	return ids
}
