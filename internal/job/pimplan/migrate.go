package pimplan

import (
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

const (
	// speedWindow is the time over which the speed of a filling run is judged: two changes
	// of pace and what they take to show.
	speedWindow = 2 * time.Second
	// migrationSpeed is the speed below which a filling run may be moved; 1 is what its
	// estimate says. Estimates are off by a third at most.
	migrationSpeed = 0.35
	// minSpeed keeps the time that a run still takes finite.
	minSpeed = 0.02
	// migrationCost is what a move is taken to last: the stop, the wait for another host, and
	// the work since the last checkpoint.
	migrationCost = time.Second
)

// migrateSlowRuns stops the filling runs of a host that are slowed for the sake of what serves
// there, or find no processor time, and that would be done sooner elsewhere. The rest of
// their step waits for them.
func (p *Planner) migrateSlowRuns(h *host, rows []pimfleet.ObservedRun, plan *Plan) {
	windows := map[pimjob.TaskKey]progressSample{}
	for _, view := range rows {
		_, step, _ := p.state.Task(view.Status.Key)
		if step == nil || !step.BestEffort || step.LongRunning || step.Gang || step.Estimate <= 0 || view.Stopping {
			continue
		}
		window, ok := h.progress.windowStarts[view.Status.Key]
		if !ok {
			window = progressSample{view.Status.ProgressPercent, view.ListedAt}
		}
		if passed := view.ListedAt - window.at; passed >= speedWindow {
			speed := float64(view.Status.ProgressPercent-window.percent) / 100 * step.Estimate.Seconds() / passed.Seconds()
			if speed < migrationSpeed && finishesSoonerElsewhere(step, view.Status.ProgressPercent, speed) {
				p.unsuitableWorkers[view.Status.Key] = append(p.unsuitableWorkers[view.Status.Key], h.worker.ID)
				plan.Stops = append(plan.Stops, StopRun{Worker: h.worker.ID, Key: view.Status.Key, Number: view.Status.Number, Reason: "held up"})
			}
			window = progressSample{view.Status.ProgressPercent, view.ListedAt}
		}
		windows[view.Status.Key] = window
	}
	h.progress.windowStarts = windows
}

// finishesSoonerElsewhere compares what a run still takes at its speed with what it takes on
// another host at full speed. Without checkpoints it begins anew there.
func finishesSoonerElsewhere(step *pimjob.Step, percent int, speed float64) bool {
	left := (1 - float64(percent)/100) * step.Estimate.Seconds()
	elsewhere := step.Estimate.Seconds()
	if step.Checkpoints {
		elsewhere = left
	}
	return left/max(minSpeed, speed) > elsewhere+migrationCost.Seconds()
}
