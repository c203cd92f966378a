package pimplan

import (
	"github.com/pimentoswitch/pimentoswitch/internal/base/pimorganisation"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

// quotaUse is the quota of an organisation and what its runs and the starts of the current plan use of it. It is nil for
// a job without an organisation.
type quotaUse struct {
	organisation *pimorganisation.Organisation
	used         pimorganisation.Resources
}

// quotaOf returns the quota that bounds the runs of a job.
func (p *Planner) quotaOf(job *pimjob.Job) *quotaUse {
	organisation := p.state.Organisation(job)
	if organisation == nil {
		return nil
	}
	use := p.quotas[organisation.Name]
	if use == nil {
		use = &quotaUse{organisation, p.state.Usage(organisation.Name)}
		p.quotas[organisation.Name] = use
	}
	return use
}

// admits reports whether count more tasks may start together.
func (q *quotaUse) admits(need pimjob.Resources, count int) bool {
	return q == nil || q.organisation.Admits(q.used, need.Amounts(), count)
}

// add counts tasks that start in the current plan.
func (q *quotaUse) add(need pimjob.Resources, count int) {
	if q != nil {
		q.used = q.used.Add(need.Amounts().Times(int64(count)))
	}
}
