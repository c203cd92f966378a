package pimcontrol

import (
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimforward"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimrpc"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
)

// jobIDLength is the length of a job's id, which callers choose.
const jobIDLength = 16

// onRequest answers an ask of a daemon, at once or later.
func (c *Control) onRequest(from string, request pimmessage.CallRequest) {
	respond := c.respondTo(from, request.ID)
	ask, err := pimrpc.DecodeRequest(request.Body)
	if err != nil {
		respond(pimrpc.Rejected{Code: pimcode.UnknownMessage, Detail: err.Error()})
		return
	}
	l := c.leadership
	if l == nil || !l.ready || c.replica.IsTransferring() {
		leader := c.replica.LeaderID()
		if leader == c.id {
			leader = ""
		}
		respond(pimrpc.NotLeader{Leader: leader})
		return
	}
	switch ask := ask.(type) {
	case pimrpc.Submit:
		c.submit(ask, respond)
	case pimrpc.Lookup:
		l.enqueueRead(c, respond, func() pimrpc.Response { return c.lookup(ask) })
	case pimrpc.Cancel:
		c.cancel(ask, respond)
	case pimrpc.Heartbeat:
		c.heartbeat(ask, respond)
	case pimrpc.Leave:
		c.leave(ask, respond)
	case pimrpc.PutConfig:
		c.putConfig(ask, respond)
	case pimrpc.GetConfig:
		l.enqueueRead(c, respond, c.configText)
	case pimrpc.MarkDomain:
		c.logger.Info().Str("failure-domain", ask.Domain).Bool("out", ask.Out).Msg("mark is stored")
		l.enqueueWrite(respond, pimjob.MarkDomain{Domain: ask.Domain, OutOfService: ask.Out})
	}
}

// respondTo returns the reply to a daemon's ask.
func (c *Control) respondTo(from string, id uint64) responder {
	return func(answer pimrpc.Response) {
		body, err := pimrpc.Encode(answer)
		if err != nil {
			c.logger.Error().Err(err).Msg("answer can't be encoded")
			return
		}
		c.Send(pimforward.AddressOf(from), from, pimmessage.CallReply{ID: id, Body: body})
	}
}

// enqueueRead answers from the state once this leadership is confirmed.
func (l *leadership) enqueueRead(c *Control, respond responder, answer func() pimrpc.Response) {
	l.reads = append(l.reads, pendingRead{receivedAt: c.now, evaluate: answer, respond: respond})
}

// enqueueWrite answers once the operations are in the log.
func (l *leadership) enqueueWrite(respond responder, ops ...pimjob.Op) {
	l.pending.ops = append(l.pending.ops, ops...)
	l.pending.responders = append(l.pending.responders, respond)
}

func (c *Control) submit(ask pimrpc.Submit, respond responder) {
	l := c.leadership
	id := ask.Submission.ID
	queue, rest := c.state.Config().FindQueue(ask.Host, ask.Path)
	if queue == nil || rest != id {
		l.enqueueRead(c, respond, func() pimrpc.Response { return c.rejectUnknownQueue(ask.Host, ask.Path) })
		return
	}
	if c.state.Job(id) != nil {
		l.enqueueRead(c, respond, func() pimrpc.Response { return pimrpc.Done{} })
		return
	}
	if waiting, ok := l.submitting[id]; ok {
		l.submitting[id] = append(waiting, respond)
		return
	}
	l.submitting[id] = []responder{respond}
	l.pending.ops = append(l.pending.ops, pimjob.Submit{Submission: ask.Submission, Queue: *queue})
	l.pending.jobIDs = append(l.pending.jobIDs, id)
	c.metrics.Add("submitted", 1)
	c.logger.Debug().Str("job", id).Str("queue", queue.Name).Int("steps", len(ask.Submission.Steps)).Msg("job is taken in")
}

// rejectUnknownQueue answers an ask whose address led to no queue when it came.
func (c *Control) rejectUnknownQueue(host, path string) pimrpc.Response {
	if c.state.Config().Version == 0 {
		return pimrpc.Rejected{Code: pimcode.ManifestMissing, Detail: "no configuration yet", RetryAfter: time.Second}
	}
	if queue, _ := c.state.Config().FindQueue(host, path); queue != nil {
		return pimrpc.OutcomeUnknown{}
	}
	return pimrpc.Rejected{Code: pimcode.QueueUnknown, Detail: "no queue at " + host + path}
}

func (c *Control) lookup(ask pimrpc.Lookup) pimrpc.Response {
	queue, id := c.state.Config().FindQueue(ask.Host, ask.Path)
	if queue == nil && len(ask.Path) >= jobIDLength {
		id = ask.Path[len(ask.Path)-jobIDLength:]
	}
	if job := c.state.Job(id); job != nil {
		return pimrpc.JobState{State: job.State}
	}
	if queue == nil {
		return c.rejectUnknownQueue(ask.Host, ask.Path)
	}
	if id == "" {
		return pimrpc.Pending{Count: c.state.CountPending(queue.Name)}
	}
	return pimrpc.Rejected{Code: pimcode.JobUnknown, Detail: "no job " + id}
}

func (c *Control) cancel(ask pimrpc.Cancel, respond responder) {
	l := c.leadership
	_, id := c.state.Config().FindQueue(ask.Host, ask.Path)
	if id == "" && len(ask.Path) >= jobIDLength {
		id = ask.Path[len(ask.Path)-jobIDLength:]
	}
	_, coming := l.submitting[id]
	job := c.state.Job(id)
	switch {
	case coming || (job != nil && !job.State.IsEnded()):
		c.logger.Info().Str("job", id).Msg("job is cancelled")
		l.enqueueWrite(respond, pimjob.Cancel{ID: id})
	default:
		l.enqueueRead(c, respond, func() pimrpc.Response {
			if c.state.Job(id) != nil {
				return pimrpc.Done{}
			}
			return pimrpc.Rejected{Code: pimcode.JobUnknown, Detail: "no job " + id}
		})
	}
}

// heartbeat notes a worker. It is answered at once unless something changed that must be kept.
func (c *Control) heartbeat(ask pimrpc.Heartbeat, respond responder) {
	l := c.leadership
	worker := ask.Worker
	if c.state.HasGenerationEnded(worker.ID, worker.Generation) {
		respond(pimrpc.Done{})
		return
	}
	known := c.state.Worker(worker.ID)
	if known != nil && known.Generation > worker.Generation {
		respond(pimrpc.Done{})
		return
	}
	if known != nil && known.Generation == worker.Generation && known.Draining {
		worker.Draining = true
	}
	if known != nil && known.Generation == worker.Generation && known.Draining == worker.Draining && known.Address == worker.Address {
		l.fleet.OnHeartbeat(worker.ID, worker.Generation, ask.Clock, c.now)
		respond(pimrpc.Done{})
		return
	}
	if known != nil && known.Generation < worker.Generation && known.Address == worker.Address && !l.fleet.OnNewGeneration(worker.ID, worker.Generation, c.now) {
		// It is taken in with a later report, once no start for its old life can reach it.
		respond(pimrpc.Done{})
		return
	}
	id, born, clock := worker.ID, worker.Generation, ask.Clock
	l.enqueueWrite(func(answer pimrpc.Response) {
		if c.leadership != nil && c.leadership.fleet != nil {
			c.leadership.fleet.OnHeartbeat(id, born, clock, c.now)
		}
		respond(answer)
	}, pimjob.PutWorker{Worker: worker})
}

func (c *Control) leave(ask pimrpc.Leave, respond responder) {
	known := c.state.Worker(ask.ID)
	born := ask.Generation
	if known != nil && born == 0 {
		born = known.Generation
	}
	if known == nil || known.Generation > born {
		respond(pimrpc.Done{})
		return
	}
	if c.leadership.fleet.OnLeave(ask.ID, born, c.now) {
		respond(pimrpc.Done{})
		return
	}
	c.leadership.enqueueWrite(respond, pimjob.DropWorker{ID: ask.ID, Generation: born})
}

func (c *Control) putConfig(ask pimrpc.PutConfig, respond responder) {
	if ask.Config.Version <= c.state.Config().Version {
		c.leadership.enqueueRead(c, respond, func() pimrpc.Response { return pimrpc.Done{} })
		return
	}
	c.logger.Info().Int64("version", ask.Config.Version).Int("queues", len(ask.Config.Queues)).Msg("configuration is proposed")
	c.leadership.enqueueWrite(respond, pimjob.PutConfig{Config: ask.Config})
}

func (c *Control) configText() pimrpc.Response {
	config := c.state.Config()
	if config.Version == 0 {
		return pimrpc.Rejected{Code: pimcode.ManifestMissing, Detail: "no configuration yet", RetryAfter: time.Second}
	}
	return pimrpc.ConfigText{Text: config.Text}
}
