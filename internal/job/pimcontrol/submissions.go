package pimcontrol

import (
	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/base/pimorganisation"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimrpc"
)

// submit proposes a new job and responds once it is committed. A job that is stored or proposed already is looked up before
// anything else is checked: the request may repeat one that was carried out under an earlier configuration.
func (c *Control) submit(request pimrpc.Submit, respond responder) {
	l := c.leadership
	id := request.Submission.ID
	if c.state.Job(id) != nil {
		l.enqueueRead(c, respond, func() pimrpc.Response { return c.repeatedSubmission(request) })
		return
	}
	if earlier := l.submitting[id]; earlier != nil {
		c.joinSubmission(earlier, request, respond)
		return
	}
	queue, rest := c.state.Config().FindQueue(request.Host, request.Path)
	if queue == nil {
		c.rejectUnlessStored(request, respond, func() pimrpc.Response { return c.rejectUnknownQueue(request.Host, request.Path) })
		return
	}
	if rest != id {
		c.rejectUnlessStored(request, respond, func() pimrpc.Response { return c.rejectPathBelowQueue(request) })
		return
	}
	organisation, ok := c.state.Config().Authorize(queue, request.Key)
	if !ok {
		c.rejectUnlessStored(request, respond, func() pimrpc.Response { return c.rejectUnknownKey(request.Address) })
		return
	}
	if admission := c.admit(&request.Submission, queue, organisation); !admission.Accepted {
		c.rejectUnlessStored(request, respond, func() pimrpc.Response { return c.rejectSubmission(request, organisation) })
		return
	}
	l.submitting[id] = &submission{organisation: organisation, queue: queue, responders: []responder{respond}}
	l.pending.ops = append(l.pending.ops, pimjob.Submit{
		Submission: request.Submission, Queue: *queue, Organisation: organisation,
		AuthorizedBy: c.versionOfKeyOf(organisation), RateWindow: c.settings.RateWindow,
	})
	l.pending.jobIDs = append(l.pending.jobIDs, id)
	c.metrics.Add("submitted", 1)
	c.logger.Debug().Str("job", id).Str("queue", queue.Name).Str("organisation", organisation).
		Int("steps", len(request.Submission.Steps)).Msg("job submission is proposed")
}

// joinSubmission answers a submission of a job that is proposed already once that is committed. If it is that of another caller
// or queue, it is answered from the state.
func (c *Control) joinSubmission(earlier *submission, request pimrpc.Submit, respond responder) {
	if c.submissionAt(request.Address) != earlier || !c.mayRepeat(request, earlier.organisation) {
		respondTo := respond
		respond = func(response pimrpc.Response) {
			if _, unknown := response.(pimrpc.OutcomeUnknown); !unknown {
				response = c.repeatedSubmission(request)
			}
			respondTo(response)
		}
	}
	earlier.responders = append(earlier.responders, respond)
}

// rejectUnlessStored responds with a rejection once the leadership is confirmed: only then is it certain that no other leader
// has accepted the job. A job that is stored or proposed by then is not rejected.
func (c *Control) rejectUnlessStored(request pimrpc.Submit, respond responder, reject func() pimrpc.Response) {
	l, id := c.leadership, request.Submission.ID
	l.enqueueRead(c, respond, func() pimrpc.Response {
		if c.state.Job(id) != nil || l.submitting[id] != nil {
			return c.repeatedSubmission(request)
		}
		return reject()
	})
}

// rejectPathBelowQueue returns the response to a submission whose path goes on between the prefix of its queue and its
// ID. No repetition helps until a configuration changes the queues.
func (c *Control) rejectPathBelowQueue(request pimrpc.Submit) pimrpc.Response {
	queue, rest := c.state.Config().FindQueue(request.Host, request.Path)
	switch {
	case queue == nil:
		return c.rejectUnknownQueue(request.Host, request.Path)
	case rest == request.Submission.ID:
		return pimrpc.Repeat{}
	default:
		return pimrpc.Rejected{
			Code: pimcode.QueueUnknown, Detail: "the path of a job must be the prefix " + queue.Prefix + " and the id",
		}
	}
}

// mayRepeat reports whether the caller of a submission may be the one that submitted a job of an organisation. The caller
// may repeat it after the queue became public, began to require a key, moved or was removed.
func (c *Control) mayRepeat(request pimrpc.Submit, organisation string) bool {
	return organisation == "" || organisation == c.organisationOfKey(request.Key)
}

// organisationOfKey returns the name of the organisation that a key belongs to, or "".
func (c *Control) organisationOfKey(key string) string {
	if owner := pimorganisation.FindByKey(c.state.Config().Organisations, key); owner != nil {
		return owner.Name
	}
	return ""
}

// repeatedSubmission returns the response to a submission with the ID of a known job. What is stored is answered as stored,
// whatever the configuration says by now. At another queue it is another job, which is rejected.
func (c *Control) repeatedSubmission(request pimrpc.Submit) pimrpc.Response {
	job := c.state.Job(request.Submission.ID)
	if job == nil {
		return pimrpc.Repeat{}
	}
	if job == c.jobAt(request.Address) && c.mayRepeat(request, job.Organisation) {
		return pimrpc.Done{}
	}
	caller := c.organisationOfKey(request.Key)
	queue, rest := c.state.Config().FindQueue(request.Host, request.Path)
	switch {
	case queue == nil || rest != request.Submission.ID:
		return c.rejectPathBelowQueue(request)
	case queue.RequiresKey && caller == "":
		return c.reportRejection(request.Address, unknownKey(request.Address))
	}
	c.organisations.countRejected(caller)
	return c.reportRejection(request.Address, pimrpc.Rejected{
		Code: pimcode.RequestIDReused, Detail: "another organisation, or a caller of another queue, has used the id " + request.Submission.ID,
	})
}

// submissionResponse returns the response to a committed submission. One that had no effect is to be repeated.
func (c *Control) submissionResponse(id string, submitted *submission) pimrpc.Response {
	job := c.state.Job(id)
	if job == nil || job.Organisation != submitted.organisation || !isSameQueue(&job.Queue, submitted.queue) {
		return pimrpc.Repeat{}
	}
	return pimrpc.Done{}
}
