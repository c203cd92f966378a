package pimcontrol

import (
	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/base/pimorganisation"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimrpc"
)

// rejectUnknownKey returns the response to a request whose key belonged to no organisation when it was received. If a
// configuration has added the key meanwhile, OutcomeUnknown makes the forwarder repeat the request. It must be evaluated
// after the leadership is confirmed, since a leader that was replaced may not know the newest keys.
func (c *Control) rejectUnknownKey(address pimrpc.Address) pimrpc.Response {
	config := c.state.Config()
	queue, _ := config.FindQueue(address.Host, address.Path)
	if queue == nil {
		return c.rejectUnknownQueue(address.Host, address.Path)
	}
	if _, ok := config.Authorize(queue, address.Key); ok {
		return pimrpc.OutcomeUnknown{}
	}
	return c.reportRejection(address, unknownKey(address))
}

func unknownKey(address pimrpc.Address) pimrpc.Response {
	if address.Key == "" {
		return pimrpc.Rejected{Code: pimcode.KeyUnknown, Detail: "no key is given"}
	}
	return pimrpc.Rejected{Code: pimcode.KeyUnknown, Detail: "key " + pimorganisation.Digest(address.Key) + " is unknown"}
}

// reportRejection logs and counts the rejection of a request, and returns it.
func (c *Control) reportRejection(address pimrpc.Address, response pimrpc.Response) pimrpc.Response {
	c.metrics.Add("access-rejected", 1)
	c.logger.Info().Str("path", address.Path).Str("key-digest", pimorganisation.Digest(address.Key)).
		Int64("version", c.state.Config().Version).Any("response", response).Msg("request rejected because of its key")
	return response
}

// authorizeForJob returns the rejection of a request for a job, or nil if the key that it gives belongs to the owner of
// the job, or the job has no owner.
func (c *Control) authorizeForJob(address pimrpc.Address, job *pimjob.Job) pimrpc.Response {
	if job.Organisation == "" {
		return nil
	}
	organisation := pimorganisation.FindByKey(c.state.Config().Organisations, address.Key)
	if organisation == nil {
		return unknownKey(address)
	}
	if organisation.Name != job.Organisation {
		return pimrpc.Rejected{Code: pimcode.JobUnknown, Detail: "no job " + job.Submission.ID}
	}
	return nil
}

// authorizeCancel returns the rejection of a cancellation, or nil if its key allows it.
func (c *Control) authorizeCancel(address pimrpc.Address) pimrpc.Response {
	queue, id := c.findTarget(address)
	if job := c.state.Job(id); job != nil {
		return c.authorizeForJob(address, job)
	}
	if queue == nil {
		return nil
	}
	organisation, ok := c.state.Config().Authorize(queue, address.Key)
	if !ok {
		return unknownKey(address)
	}
	if submission := c.leadership.submitting[id]; submission != nil && submission.organisation != organisation {
		return pimrpc.Rejected{Code: pimcode.JobUnknown, Detail: "no job " + id}
	}
	return nil
}

// repeatedSubmission returns the response to a submission with the ID of a known job. Its owner may repeat it after the
// queue became public, or began to require a key.
func (c *Control) repeatedSubmission(request pimrpc.Submit) pimrpc.Response {
	job := c.state.Job(request.Submission.ID)
	queue, _ := c.state.Config().FindQueue(request.Host, request.Path)
	if job == nil || queue == nil {
		return pimrpc.OutcomeUnknown{}
	}
	caller := ""
	if owner := pimorganisation.FindByKey(c.state.Config().Organisations, request.Key); owner != nil {
		caller = owner.Name
	}
	isSameQueue := queue.Host == job.Queue.Host && queue.Prefix == job.Queue.Prefix
	switch {
	case job.Organisation != "" && caller == job.Organisation, job.Organisation == "" && (isSameQueue || !queue.RequiresKey):
		return pimrpc.Done{}
	case queue.RequiresKey && caller == "":
		return c.reportRejection(request.Address, unknownKey(request.Address))
	}
	return idReused(request.Submission.ID)
}

func idReused(id string) pimrpc.Response {
	return pimrpc.Rejected{Code: pimcode.RequestIDReused, Detail: "another organisation has used the id " + id}
}

// versionOfKeyOf returns the version of the configuration in effect, which holds the caller's key, or 0 for a job
// without an organisation.
func (c *Control) versionOfKeyOf(organisation string) int64 {
	if organisation == "" {
		return 0
	}
	return c.state.Config().Version
}

// respondIfEnded returns a responder for a cancellation. A cancellation whose key must be checked again had no effect;
// OutcomeUnknown makes the forwarder repeat it.
func (c *Control) respondIfEnded(id string, respond responder) responder {
	return func(response pimrpc.Response) {
		if _, done := response.(pimrpc.Done); done {
			if job := c.state.Job(id); job == nil || !job.State.IsEnded() {
				response = pimrpc.OutcomeUnknown{}
			}
		}
		respond(response)
	}
}

// submissionResponse returns the response to a committed submission. OutcomeUnknown makes the forwarder repeat one that
// had no effect.
func (c *Control) submissionResponse(id, organisation string) pimrpc.Response {
	if job := c.state.Job(id); job == nil || job.Organisation != organisation {
		return pimrpc.OutcomeUnknown{}
	}
	return pimrpc.Done{}
}
