package pimcontrol

import (
	"time"

	"github.com/phuslu/log"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimhealth"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimplan"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimstop"
)

// logChanges reports the state changes of a committed entry in the daemon's own log and metrics.
func (c *Control) logChanges(changes []pimjob.Change) {
	for _, change := range changes {
		c.countQueueMetrics(change)
		switch change := change.(type) {
		case pimjob.RunEnded:
			c.metrics.CountRunEnd(change.Kind.String())
			if change.Kind != pimjob.EndDone {
				c.logger.Info().Stringer("task", change.Live.Key).Int("run", change.Live.Run.Number).
					Str("worker", change.Live.Run.Worker).Stringer("how", change.Kind).Msg("run ended without completing its task")
			}
		case pimjob.JobEnded:
			c.logger.Info().Str("job", change.Job.Submission.ID).Str("queue", change.Job.Queue.Name).
				Stringer("state", change.Job.State).Int64("took-ms", change.Job.EndedAt-change.Job.AcceptedAt).
				Msg("job ended")
		case pimjob.WorkerChanged:
			c.logger.Info().Str("worker", change.Worker.ID).Int64("born", change.Worker.Generation).
				Bool("draining", change.Worker.Draining).Bool("gone", change.Removed).
				Int64("millicores", change.Worker.Capacity.Millicores).Int64("memory-mb", change.Worker.Capacity.MemoryMB).
				Str("failure-domain", change.Worker.Domain).Msg("worker was added, changed or removed")
		case pimjob.ConfigChanged:
			c.logger.Info().Int64("version", c.state.Config().Version).Int("queues", len(c.state.Config().Queues)).
				Msg("configuration is in effect")
		case pimjob.RunStarted:
			c.reportRestart(change.Live)
		case pimjob.WorkerCrashed:
			c.metrics.Add("workers-crashed", 1)
			c.logger.Warn().Str("worker", change.ID).Int64("born", change.Generation).Int("runs", change.Runs).Msg("worker crashed")
		case pimjob.TaskSuspected:
			c.reportSuspect(change)
		case pimjob.JobAccepted, pimjob.JobBegun:
		}
	}
}

// reportSuspect logs and counts a task that may have crashed its worker.
func (c *Control) reportSuspect(suspect pimjob.TaskSuspected) {
	c.metrics.Add("tasks-suspected", 1)
	if suspect.GivenUp {
		c.metrics.Add("tasks-given-up", 1)
	}
	c.logger.Warn().Stringer("task", suspect.Live.Key).Int("run", suspect.Live.Run.Number).Str("worker", suspect.Live.Run.Worker).
		Int("crashes", suspect.Record.Count).Int("confirmed", suspect.Record.Confirmed).Int("permille", suspect.Record.Permille).
		Int64("age-ms", suspect.Record.Age.Milliseconds()).Bool("given-up", suspect.GivenUp).
		Msg("task is suspected of crashing its worker")
}

// reportRestart logs and counts a run that is to be started of a task that has had one before.
func (c *Control) reportRestart(live pimjob.LiveRun) {
	if live.Run.Number == 1 {
		return
	}
	c.metrics.Add("task-restarts", 1)
	c.logger.Info().Stringer("task", live.Key).Int("run", live.Run.Number).Str("worker", live.Run.Worker).
		Msg("another run of the task is to be started")
}

// countQueueMetrics updates the metrics by which queues can be compared: how long the jobs of a queue
// wait, how much processor time they are given and how they end. Only the leader counts, so the value
// of a queue is the sum over all control daemons.
func (c *Control) countQueueMetrics(change pimjob.Change) {
	switch change := change.(type) {
	case pimjob.JobAccepted:
		c.metrics.AddForQueue("queue-jobs-accepted", change.Job.Queue.Name, 1)
		if change.Job.OverRate {
			c.metrics.Add("organisation-jobs-over-rate", 1)
		}
	case pimjob.JobBegun:
		due := max(change.Job.AcceptedAt, change.Job.Submission.DueAt(0))
		c.metrics.AddForQueue("queue-first-starts", change.Job.Queue.Name, 1)
		c.metrics.AddForQueue("queue-first-start-wait-millis", change.Job.Queue.Name, max(0, c.state.Now()-due))
	case pimjob.RunEnded:
		_, step, job := c.state.Task(change.Live.Key)
		if job == nil || step == nil || change.Kind == pimjob.EndRefused {
			return
		}
		elapsed := max(0, time.Now().UnixMilli()-change.Live.Run.StartedAt)
		c.metrics.AddForQueue("queue-core-millis", job.Queue.Name, elapsed*step.Need.Millicores/1000)
	case pimjob.JobEnded:
		c.metrics.AddForQueue("queue-jobs-"+change.Job.State.String(), change.Job.Queue.Name, 1)
	case pimjob.RunStarted, pimjob.WorkerChanged, pimjob.ConfigChanged, pimjob.WorkerCrashed, pimjob.TaskSuspected:
	}
}

// logStop adds what a stop was decided from.
func logStop(entry *log.Entry, stop pimstop.Stop) *log.Entry {
	return entry.Int64("here-ms", stop.Here.Milliseconds()).Int64("there-ms", stop.There.Milliseconds()).
		Int64("expected-ms", stop.Expected.Milliseconds()).Int64("discarded-core-ms", int64(stop.Discarded*1000)).
		Bool("estimate-accurate", stop.EstimateAccurate)
}

// reportStop logs and counts a run that the planner stops.
func (c *Control) reportStop(stop pimplan.StopRun) {
	entry := c.logger.Info().Stringer("task", stop.Key).Int("run", stop.Number).Str("worker", stop.Worker).Str("why", stop.Reason)
	logStop(entry, stop.Decision).Msg("planner stops a run")
	c.metrics.CountStop(stop.Reason)
}

// reportStops logs refused stops and counts what earlier stops have brought.
func (c *Control) reportStops(report pimstop.Report) {
	for _, refused := range report.Refused {
		entry := c.logger.Info().Stringer("task", refused.Stop.Key).Int("run", refused.Stop.Number).
			Str("why", string(refused.Stop.Reason)).Str("refusal", string(refused.Refusal)).Int("count", refused.Count)
		logStop(entry, refused.Stop).Msg("planner may not stop runs")
		c.metrics.CountRefusedStop(string(refused.Stop.Reason), string(refused.Refusal), int64(refused.Count))
	}
	c.metrics.CountJudgedStops("paid-off", int64(report.PaidOff))
	c.metrics.CountJudgedStops("not-paid-off", int64(report.NotPaidOff))
	if report.Discarded > 0 {
		c.metrics.Add("planner-discarded-core-millis", int64(report.Discarded*1000))
	}
}

// reportHealth logs the workers that are taken for faulty or no longer are. A worker has at most one backoff in 2 s.
func (c *Control) reportHealth(changes []pimhealth.Change) {
	for _, change := range changes {
		c.logger.Info().Str("worker", change.Host).Stringer("status", change.Status).Str("why", string(change.Why)).
			Float64("evidence", change.Evidence).Float64("threshold", change.Threshold).
			Int64("backoff-ms", change.Backoff.Milliseconds()).Msg("worker is avoided, probed or used again")
		if change.Status == pimhealth.Avoided {
			c.metrics.Add("workers-avoided", 1)
		}
	}
}

// reportReservations logs and counts the reservations of hosts that began or were given up.
func (c *Control) reportReservations(reservations []pimplan.Reservation) {
	for _, reservation := range reservations {
		c.logger.Info().Stringer("task", reservation.Key).Int("tasks", reservation.Tasks).Int("hosts", reservation.Hosts).
			Msg("reservation of hosts for a large start is begun, or given up if there are no hosts")
		c.metrics.Add("reservations", 1)
	}
}
