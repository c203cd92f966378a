// Package pimworker simulates a worker of the platform: it reports to the entry daemons, stops its tasks when
// its lease expires, starts each incarnation of a task at most once, and simulates execution by letting time
// pass.
package pimworker

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/place/pimplace"
	"github.com/pimentoswitch/pimentoswitch/internal/standin/pimplatform"
	"github.com/pimentoswitch/pimentoswitch/internal/standin/pimwitness"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimmanifest"
)

type (
	// Settings describe one worker. FailAll makes every batch task fail shortly after its start.
	Settings struct {
		ID       string
		Domain   string
		Rack     string
		Capacity pimmanifest.Resources
		FailAll  bool
	}

	// Worker simulates one worker. Only the goroutine of Run uses it.
	Worker struct {
		settings Settings
		balancer *pimplatform.Balancer
		witness  *pimwitness.Witness
		bootID   string
		sequence uint64
		leaseEnd time.Time
		tasks    map[pimconfig.TaskID]*task
	}

	// task is one incarnation on this worker. checkpointMillis is the completed work that a checkpoint saves,
	// in milliseconds of run time.
	task struct {
		command          pimplace.Command
		state            pimplace.TaskState
		startedAt        time.Time
		checkpointMillis int64
		throttled        bool
	}
)

const (
	defaultRunTime  = time.Second
	advanceInterval = 50 * time.Millisecond
	failureDelay    = 100 * time.Millisecond
	reportTimeout   = 900 * time.Millisecond
)

// NewWorker returns a worker without tasks; Run starts it. A nil witness records nothing.
func NewWorker(settings Settings, balancer *pimplatform.Balancer, witness *pimwitness.Witness) *Worker {
	return &Worker{
		settings: settings,
		balancer: balancer,
		witness:  witness,
		bootID:   strconv.FormatInt(time.Now().UnixNano(), 36),
		tasks:    map[pimconfig.TaskID]*task{},
	}
}

// Run simulates tasks and sends reports until the context ends, then stops all tasks. A report is sent at once
// when a task ends by itself, and otherwise every pimplace.ReportInterval.
func (w *Worker) Run(ctx context.Context) error {
	ticker := time.NewTicker(advanceInterval)
	defer ticker.Stop()
	lastReport := time.Time{}
	for {
		select {
		case <-ctx.Done():
			w.stopAllTasks()
			return nil
		case <-ticker.C:
		}
		ended := w.advanceTasks(time.Now())
		if ended || time.Since(lastReport) >= pimplace.ReportInterval {
			lastReport = time.Now()
			w.report(ctx)
		}
	}
}

// advanceTasks stops all tasks if the lease has expired, and ends the batch tasks whose run time has passed. It
// reports whether one of these ended by itself.
func (w *Worker) advanceTasks(now time.Time) bool {
	if !w.leaseEnd.IsZero() && now.After(w.leaseEnd) {
		w.stopAllTasks()
		w.leaseEnd = time.Time{}
	}
	ended := false
	for _, t := range w.tasks {
		if t.state != pimplace.TaskRunning || t.command.Service {
			continue
		}
		switch {
		case w.settings.FailAll && now.Sub(t.startedAt) > failureDelay:
			w.endTask(t, pimplace.TaskFailed)
			ended = true
		case t.progress(now) >= t.runTimeMillis():
			w.endTask(t, pimplace.TaskFinished)
			ended = true
		}
	}
	return ended
}

func (t *task) runTimeMillis() int64 {
	if t.command.RunTimeMillis > 0 {
		return t.command.RunTimeMillis
	}
	return defaultRunTime.Milliseconds()
}

// progress returns the completed work in milliseconds of run time, including that of earlier incarnations,
// which the start command hands over as a checkpoint.
func (t *task) progress(now time.Time) int64 {
	return int64(t.command.Checkpoint) + now.Sub(t.startedAt).Milliseconds()
}

func (w *Worker) endTask(t *task, state pimplace.TaskState) {
	t.checkpointMillis = min(t.progress(time.Now()), t.runTimeMillis())
	t.state = state
	if w.witness != nil {
		w.witness.RecordEnd(t.command.Task,
			state == pimplace.TaskFinished, state == pimplace.TaskStopped && !t.command.Service)
	}
}

func (w *Worker) stopAllTasks() {
	for _, t := range w.tasks {
		if t.state == pimplace.TaskRunning {
			w.endTask(t, pimplace.TaskStopped)
		}
	}
}

// report sends a report and executes the commands of the response. Lease and start deadlines count from the
// time at which the report was sent.
func (w *Worker) report(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	sentAt := time.Now()
	w.sequence++
	var response pimplace.ReportResponse
	path := "/v1/workers/" + w.settings.ID + "/reports"
	if err := w.balancer.Do(ctx, http.MethodPost, path, w.buildReport(), &response); err != nil {
		return
	}
	w.leaseEnd = sentAt.Add(time.Duration(response.LeaseMillis) * time.Millisecond)
	for _, command := range response.Commands {
		w.handleCommand(command, sentAt)
	}
}

func (w *Worker) buildReport() pimplace.Report {
	report := pimplace.Report{
		Worker:   w.settings.ID,
		Domain:   w.settings.Domain,
		Rack:     w.settings.Rack,
		Boot:     w.bootID,
		Sequence: w.sequence,
		Capacity: w.settings.Capacity,
	}
	for _, id := range slices.SortedFunc(maps.Keys(w.tasks), pimconfig.CompareTasks) {
		t := w.tasks[id]
		status := pimplace.TaskReport{
			Task: id, Epoch: t.command.Epoch, Incarnation: t.command.Incarnation,
			State: t.state, Checkpoint: uint64(t.checkpointMillis), Throttled: t.throttled,
		}
		if t.state == pimplace.TaskRunning {
			status.CPUMillis = t.command.Needs.CPUMillis / 2
			status.MemoryMB = t.command.Needs.MemoryMB / 2
		}
		report.Tasks = append(report.Tasks, status)
	}
	return report
}

// handleCommand executes one command. A start is ignored if it comes too late, repeats an incarnation that this
// worker already has, or comes while another one is running. A stop for an unknown task is recorded as a stopped
// incarnation, so that the next report confirms it.
func (w *Worker) handleCommand(command pimplace.Command, sentAt time.Time) {
	t := w.tasks[command.Task]
	sameIncarnation := t != nil && t.command.Epoch == command.Epoch && t.command.Incarnation == command.Incarnation
	switch command.Kind {
	case pimplace.CommandStart:
		expired := time.Since(sentAt) > time.Duration(command.StartWithinMillis)*time.Millisecond
		if !expired && !sameIncarnation && (t == nil || t.state != pimplace.TaskRunning) {
			w.startTask(command)
		}
	case pimplace.CommandStop, pimplace.CommandCheckpoint:
		switch {
		case sameIncarnation && t.state == pimplace.TaskRunning:
			w.endTask(t, pimplace.TaskStopped)
		case t == nil:
			w.tasks[command.Task] = &task{
				command: command, state: pimplace.TaskStopped, checkpointMillis: int64(command.Checkpoint),
			}
		}
	case pimplace.CommandThrottle, pimplace.CommandUnthrottle:
		if sameIncarnation {
			t.throttled = command.Kind == pimplace.CommandThrottle
		}
	case pimplace.CommandForget:
		if sameIncarnation {
			delete(w.tasks, command.Task)
		}
	}
}

func (w *Worker) startTask(command pimplace.Command) {
	t := &task{
		command: command, state: pimplace.TaskRunning, startedAt: time.Now(),
		checkpointMillis: int64(command.Checkpoint),
	}
	w.tasks[command.Task] = t
	if w.witness != nil {
		w.witness.RecordStart(command.Task, w.settings.Domain)
	}
}
