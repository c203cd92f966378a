package pimcontrol

import (
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
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
				Str("failure-domain", change.Worker.Domain).Msg("worker was added, changed or removed")
		case pimjob.ConfigChanged:
			c.logger.Info().Int64("version", c.state.Config().Version).Int("queues", len(c.state.Config().Queues)).
				Msg("configuration is in effect")
		case pimjob.RunStarted, pimjob.JobAccepted:
		}
	}
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
	case pimjob.RunStarted:
		key := change.Live.Key
		if job := c.state.Job(key.Job); job != nil && key == (pimjob.TaskKey{Job: key.Job}) && change.Live.Run.Number == 1 {
			due := max(job.AcceptedAt, job.Submission.DueAt(0))
			c.metrics.AddForQueue("queue-first-starts", job.Queue.Name, 1)
			c.metrics.AddForQueue("queue-first-start-wait-millis", job.Queue.Name, max(0, change.Live.Run.StartedAt-due))
		}
	case pimjob.RunEnded:
		_, step, job := c.state.Task(change.Live.Key)
		if job == nil || step == nil {
			return
		}
		elapsed := max(0, time.Now().UnixMilli()-change.Live.Run.StartedAt)
		c.metrics.AddForQueue("queue-core-millis", job.Queue.Name, elapsed*step.Need.Millicores/1000)
	case pimjob.JobEnded:
		c.metrics.AddForQueue("queue-jobs-"+change.Job.State.String(), change.Job.Queue.Name, 1)
	case pimjob.WorkerChanged, pimjob.ConfigChanged:
	}
}
