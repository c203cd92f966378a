package pimcontrol

import (
	"context"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimforward"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimrpc"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
)

// jobIDLength is the length in bytes of a job ID, which is chosen by the caller.
const jobIDLength = 16

// onRequest handles a request that a daemon forwarded, and responds at once or later. One that was held up until its caller
// had given up is dropped: another daemon may have said meanwhile that it won't be executed. A daemon that
// doesn't lead responds with the member ID of the leader, if it knows another one.
func (c *Control) onRequest(from string, call pimmessage.CallRequest) {
	if call.Deadline > 0 && c.now > call.Deadline {
		c.metrics.Add("late-requests", 1)
		c.logger.Info().Str("from", from).Int64("late-ms", (c.now-call.Deadline).Milliseconds()).Int("bytes", len(call.Body)).
			Msg("request of another daemon came after that had given it up, it is dropped")
		return
	}
	respond := c.respondTo(from, call.ID)
	request, err := pimrpc.DecodeRequest(call.Body)
	if err != nil {
		respond(pimrpc.Rejected{Code: pimcode.UnknownMessage, Detail: err.Error()})
		return
	}
	l := c.leadership
	if l == nil || !l.ready || c.replica.IsTransferring() {
		if call.Indirect && c.passOn(request, respond) {
			return
		}
		leader := c.replica.LeaderID()
		if leader == c.id {
			leader = ""
		}
		respond(pimrpc.NotLeader{Leader: leader})
		return
	}
	switch request := request.(type) {
	case pimrpc.Submit:
		c.submit(request, respond)
	case pimrpc.Lookup:
		l.enqueueRead(c, respond, func() pimrpc.Response { return c.lookup(request) })
	case pimrpc.Cancel:
		c.cancel(request, respond)
	case pimrpc.Heartbeat:
		c.heartbeat(request, respond)
	case pimrpc.Leave:
		c.leave(request, respond)
	case pimrpc.PutConfig:
		c.putConfig(request, respond)
	case pimrpc.GetConfig:
		l.enqueueRead(c, respond, c.configText)
	case pimrpc.CountMarks:
		l.enqueueRead(c, respond, func() pimrpc.Response {
			return pimrpc.MarkCount{Count: c.state.MarkCount(request.Domain)}
		})
	case pimrpc.MarkDomain:
		c.markDomain(request, respond)
	}
}

const (
	// passOnWait is how long a call that is passed on waits for a leader, and passOnTimeout how long for its response:
	// less than the daemon that sent the call waits for this one.
	passOnWait    = 100 * time.Millisecond
	passOnTimeout = 450 * time.Millisecond
)

// passOn sends a request to the leader on behalf of a daemon that can't reach it. It returns false if this daemon can't
// reach the leader either, or passes on too many requests already.
func (c *Control) passOn(request pimrpc.Request, respond responder) bool {
	if !c.forwarder.ReachesLeader() {
		return false
	}
	_, accepted := c.passedOn.TrySubmit(func() {
		response, err := c.forwarder.PassOn(context.Background(), request,
			pimforward.CallTimeouts{LeaderWait: passOnWait, Total: passOnTimeout})
		switch {
		case err == nil:
			respond(response)
		case pimcode.Of(err) == pimcode.NoLeader:
			respond(pimrpc.NotLeader{})
		default:
			respond(pimrpc.OutcomeUnknown{})
		}
	})
	if accepted {
		c.metrics.Add("requests-passed-on", 1)
	} else {
		c.metrics.CountShed("passed-on")
	}
	return accepted
}

// respondTo returns the function that sends the response to a daemon's request.
func (c *Control) respondTo(from string, id uint64) responder {
	return func(response pimrpc.Response) {
		body, err := pimrpc.Encode(response)
		if err != nil {
			c.logger.Error().Err(err).Msg("response to a request cannot be encoded")
			return
		}
		c.Send(pimforward.AddressOf(from), from, pimmessage.CallReply{ID: id, Body: body})
	}
}

// enqueueWrite responds once the operations are committed to the log.
func (l *leadership) enqueueWrite(respond responder, ops ...pimjob.Op) {
	l.pending.ops = append(l.pending.ops, ops...)
	l.pending.responders = append(l.pending.responders, respond)
}

// rejectUnknownQueue returns the response to a request whose address belonged to no queue when it was
// received. If a configuration has added the queue meanwhile, the request is to be repeated.
func (c *Control) rejectUnknownQueue(host, path string) pimrpc.Response {
	if c.state.Config().Version == 0 {
		return pimrpc.Rejected{Code: pimcode.ManifestMissing, Detail: "no configuration yet", RetryAfter: time.Second}
	}
	if queue, _ := c.state.Config().FindQueue(host, path); queue != nil {
		return pimrpc.Repeat{}
	}
	return pimrpc.Rejected{Code: pimcode.QueueUnknown, Detail: "no queue at " + host + path}
}

func (c *Control) lookup(request pimrpc.Lookup) pimrpc.Response {
	queue, id := c.findTarget(request.Address)
	if job := c.jobAt(request.Address); job != nil {
		if rejected := c.authorizeForJob(request.Address, id, job.Organisation); rejected != nil {
			return c.reportRejection(request.Address, rejected)
		}
		return pimrpc.JobState{State: job.State}
	}
	if queue == nil {
		return c.rejectUnknownQueue(request.Host, request.Path)
	}
	if _, ok := c.state.Config().Authorize(queue, request.Key); !ok {
		return c.rejectUnknownKey(request.Address)
	}
	if id == "" {
		return pimrpc.Pending{Count: c.state.CountPending(queue.Name)}
	}
	return pimrpc.Rejected{Code: pimcode.JobUnknown, Detail: "no job " + id}
}

// findTarget returns the queue and the job ID of an address. A job may outlive its queue in the configuration, also where
// the address then belongs to a queue with a shorter prefix; its path ends with its ID.
func (c *Control) findTarget(address pimrpc.Address) (*pimjob.Queue, string) {
	queue, id := c.state.Config().FindQueue(address.Host, address.Path)
	if len(address.Path) < jobIDLength {
		return queue, id
	}
	last := address.Path[len(address.Path)-jobIDLength:]
	if queue == nil {
		return nil, last
	}
	job := c.state.Job(last)
	submission := c.submittingJob(last)
	if (job != nil && isAt(&job.Queue, last, address)) || (submission != nil && isAt(submission.queue, last, address)) {
		return queue, last
	}
	return queue, id
}

// submittingJob returns the submission with an ID that is not committed yet, or nil.
func (c *Control) submittingJob(id string) *submission {
	if c.leadership == nil {
		return nil
	}
	return c.leadership.submitting[id]
}

// isAt reports whether an address is that of a job that was submitted to a queue.
func isAt(queue *pimjob.Queue, id string, address pimrpc.Address) bool {
	return queue.Host == address.Host && queue.Prefix+id == address.Path
}

// isSameQueue reports whether two versions of the configuration hold the same queue.
func isSameQueue(a, b *pimjob.Queue) bool {
	return a.Name == b.Name || (a.Host == b.Host && a.Prefix == b.Prefix)
}

// jobAt returns the job that was submitted at an address, or nil. Callers of different queues may choose the same ID.
func (c *Control) jobAt(address pimrpc.Address) *pimjob.Job {
	queue, id := c.findTarget(address)
	job := c.state.Job(id)
	if job == nil || isAt(&job.Queue, id, address) || (queue != nil && isSameQueue(queue, &job.Queue)) {
		return job
	}
	return nil
}

// submissionAt returns the submission at an address that is not committed yet, or nil.
func (c *Control) submissionAt(address pimrpc.Address) *submission {
	queue, id := c.findTarget(address)
	submission := c.submittingJob(id)
	if submission != nil && (isAt(submission.queue, id, address) || (queue != nil && isSameQueue(queue, submission.queue))) {
		return submission
	}
	return nil
}

func (c *Control) cancel(request pimrpc.Cancel, respond responder) {
	l := c.leadership
	_, id := c.findTarget(request.Address)
	job := c.jobAt(request.Address)
	submitting := c.submissionAt(request.Address) != nil
	switch {
	case c.authorizeCancel(request.Address) != nil:
		l.enqueueRead(c, respond, func() pimrpc.Response {
			if rejected := c.authorizeCancel(request.Address); rejected != nil {
				return c.reportRejection(request.Address, rejected)
			}
			return pimrpc.Repeat{}
		})
	case submitting || (job != nil && !job.State.IsEnded()):
		organisation := ""
		if job != nil {
			organisation = job.Organisation
		} else {
			organisation = l.submitting[id].organisation
		}
		c.logger.Info().Str("job", id).Msg("cancellation of a job is proposed")
		l.enqueueWrite(c.respondIfEnded(id, respond), pimjob.Cancel{ID: id, AuthorizedBy: c.versionOfKeyOf(organisation)})
	default:
		l.enqueueRead(c, respond, func() pimrpc.Response {
			switch job := c.jobAt(request.Address); {
			case job != nil && job.State.IsEnded():
				return pimrpc.Done{}
			case job != nil || c.submissionAt(request.Address) != nil:
				return pimrpc.Repeat{}
			}
			return pimrpc.Rejected{Code: pimcode.JobUnknown, Detail: "no job " + id}
		})
	}
}

// markDomain proposes a mark. It responds that the mark is outdated if another one was committed since the order was read
// and the domain is marked differently.
func (c *Control) markDomain(request pimrpc.MarkDomain, respond responder) {
	c.logger.Info().Str("failure-domain", request.Domain).Bool("out", request.OutOfService).Int64("after", request.After).
		Msg("mark of an operator on a failure domain is proposed")
	respondIfMarked := func(response pimrpc.Response) {
		if _, ok := response.(pimrpc.Done); ok && c.state.IsOutOfService(request.Domain) != request.OutOfService {
			c.metrics.Add("outdated-marks", 1)
			c.logger.Warn().Str("failure-domain", request.Domain).Bool("out", request.OutOfService).Int64("after", request.After).
				Int64("marks", c.state.MarkCount(request.Domain)).Msg("mark on a failure domain came after a newer one")
			response = pimrpc.Rejected{
				Code: pimcode.MarkOutdated, Detail: "another mark on " + request.Domain + " was committed first",
			}
		}
		respond(response)
	}
	c.leadership.enqueueWrite(respondIfMarked, pimjob.MarkDomain{
		Domain: request.Domain, OutOfService: request.OutOfService, Conditional: true, After: request.After,
	})
}

func (c *Control) putConfig(request pimrpc.PutConfig, respond responder) {
	if request.Config.Version <= c.state.Config().Version {
		c.leadership.enqueueRead(c, respond, func() pimrpc.Response { return pimrpc.Done{} })
		return
	}
	current := c.state.Config().Organisations
	c.logger.Info().Int64("version", request.Config.Version).Int("queues", len(request.Config.Queues)).
		Int("organisations", len(request.Config.Organisations)).
		Strs("keys-added", digestsOfNewKeys(current, request.Config.Organisations)).
		Strs("keys-revoked", digestsOfNewKeys(request.Config.Organisations, current)).
		Msg("configuration is proposed")
	c.leadership.enqueueWrite(respond, pimjob.PutConfig{Config: request.Config})
}

func (c *Control) configText() pimrpc.Response {
	config := c.state.Config()
	if config.Version == 0 {
		return pimrpc.Rejected{Code: pimcode.ManifestMissing, Detail: "no configuration yet", RetryAfter: time.Second}
	}
	return pimrpc.ConfigText{Text: config.Text}
}
