package pimcontrol

import (
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimrpc"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimshare"
)

// admit decides whether a new job of an organisation is accepted. A job without an organisation always is.
func (c *Control) admit(submission *pimjob.Submission, queue *pimjob.Queue, organisation string) pimshare.Admission {
	owner := c.state.OrganisationNamed(organisation)
	if owner == nil {
		return pimshare.Admission{Accepted: true}
	}
	overRate := c.state.IsOverRate(organisation, c.settings.RateWindow, time.Now().UnixMilli())
	return c.leadership.planner.Admit(submission, queue, owner, overRate)
}

// rejectSubmission returns the response to a submission that was not admitted when it was received. If the job would be
// admitted meanwhile, the request is to be repeated.
func (c *Control) rejectSubmission(request pimrpc.Submit, organisation string) pimrpc.Response {
	id := request.Submission.ID
	queue, _ := c.state.Config().FindQueue(request.Host, request.Path)
	if queue == nil {
		return c.rejectUnknownQueue(request.Host, request.Path)
	}
	if owner, ok := c.state.Config().Authorize(queue, request.Key); !ok || owner != organisation {
		return c.rejectUnknownKey(request.Address)
	}
	admission := c.admit(&request.Submission, queue, organisation)
	if admission.Accepted {
		return pimrpc.Repeat{}
	}
	c.metrics.Add("organisation-rejected", 1)
	c.organisations.countRejected(organisation)
	c.logger.Info().Str("job", id).Str("queue", queue.Name).Str("organisation", organisation).
		Int64("version", c.state.Config().Version).Int64("work-core-millis", admission.WorkCoreMillis).
		Int64("millicores", admission.Millicores).Dur("predicted", admission.Predicted).Dur("limit", admission.Limit).
		Dur("retry-after", admission.RetryAfter).Msg("job rejected because it cannot end in time")
	return pimrpc.Rejected{
		Code: pimcode.OrganisationFull, RetryAfter: admission.RetryAfter,
		Detail: "the job would end after " + admission.Predicted.String() + ", at most " + admission.Limit.String() +
			" are allowed",
	}
}

// reportFairness updates the gauge of the fairness between organisations.
func (c *Control) reportFairness() {
	l := c.leadership
	if c.now < l.nextFairnessAt || len(c.state.Config().Organisations) == 0 {
		return
	}
	l.nextFairnessAt = c.now + fairnessInterval
	c.metrics.SetGauge("organisation-fairness", l.planner.FairnessIndex())
}
