package pimplan

import (
	"cmp"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimorganisation"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimshare"
)

// shareState is what a planner keeps for dividing scarce capacity between organisations. Nothing of it is replicated: a
// new leader's planner builds it from the state, except for the history, which starts empty.
type shareState struct {
	history *pimshare.History
	// waitingJobs holds the jobs in Planner.waitingJobs that have an organisation, by organisation and id.
	waitingJobs map[string]map[string]*waitingJob
	// capacity is what the schedulable hosts offered in the last plan.
	capacity pimjob.Resources
	// short is set if the last plan found no host for some waiting task.
	short bool
	// now is the time of the current plan.
	now          time.Duration
	reservations reservations
}

func newShareState() shareState {
	return shareState{
		history: pimshare.NewHistory(), waitingJobs: map[string]map[string]*waitingJob{}, reservations: newReservations(),
	}
}

// setWaiting replaces the entry of a job in the tables of waiting jobs. Nil removes it.
func (p *Planner) setWaiting(job *pimjob.Job, waiting *waitingJob) {
	id, owner := job.Submission.ID, job.Organisation
	p.queue.replace(id, p.waitingJobs[id], waiting)
	if waiting != nil {
		p.waitingJobs[id] = waiting
	} else {
		delete(p.waitingJobs, id)
	}
	if owner == "" {
		return
	}
	own := p.shares.waitingJobs[owner]
	switch {
	case waiting == nil:
		if delete(own, id); len(own) == 0 {
			delete(p.shares.waitingJobs, owner)
		}
	case own == nil:
		p.shares.waitingJobs[owner] = map[string]*waitingJob{id: waiting}
	default:
		own[id] = waiting
	}
}

// placeForOrganisations places candidates, in the order of shares while capacity is short and in the given order
// otherwise.
func (p *Planner) placeForOrganisations(
	candidates []candidate, unplaced unplaceable, now time.Duration, plan *Plan,
) []placement {
	p.shares.now = now
	p.resetReservations()
	defer p.dropUnusedReservations()
	short := p.isShort(candidates)
	p.shares.short = false
	var placements []placement
	if !short {
		for _, c := range candidates {
			placements, _ = p.placeAndCount(c, unplaced, placements, plan)
		}
		return placements
	}
	// Jobs over the rate of their organisation come after all others of their priority.
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), compareOverRate(a.job.OverRate, b.job.OverRate))
	})
	shares := p.newShares(candidates)
	for len(candidates) > 0 {
		count := 1
		for count < len(candidates) && candidates[count].priority == candidates[0].priority &&
			candidates[count].job.OverRate == candidates[0].job.OverRate {
			count++
		}
		placements = p.placeByShare(candidates[:count], shares, unplaced, placements, plan)
		candidates = candidates[count:]
	}
	return placements
}

// placeByShare places candidates of equal priority in the order of the shares of their organisations.
func (p *Planner) placeByShare(
	candidates []candidate, shares *pimshare.Shares, unplaced unplaceable, placements []placement, plan *Plan,
) []placement {
	placements = p.placeReserved(candidates, shares, unplaced, placements, plan)
	candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return len(c.tasks) == 0 })
	steps := make([]pimshare.Step, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		step := &c.job.Submission.Steps[c.key.step]
		steps[i] = pimshare.Step{
			Organisation: c.job.Organisation, Need: step.Need.Amounts(), Tasks: len(c.tasks), Gang: step.Gang,
			Urgency: int(c.urgency), Due: c.deadlines.due,
		}
	}
	queue := pimshare.NewQueue(shares, p.shares.history, steps)
	for {
		index, tasks, ok := queue.Next()
		if !ok || p.isFull(plan) {
			return placements
		}
		c := candidates[index]
		c.tasks = c.tasks[:tasks]
		placed := 0
		placements, placed = p.placeAndCount(c, unplaced, placements, plan)
		queue.Placed(placed)
		candidates[index].tasks = candidates[index].tasks[placed:]
		switch _, reserved := p.shares.reservations.since[c.key]; {
		case placed > 0:
			candidates[index].starved = false
		case !reserved:
			p.reserve(c, shares, plan)
		}
	}
}

// placeAndCount places the tasks of a step, returns how many, and records whether capacity was missing.
func (p *Planner) placeAndCount(
	c candidate, unplaced unplaceable, placements []placement, plan *Plan,
) ([]placement, int) {
	before := len(plan.Starts)
	placements = p.place(c, unplaced, placements, plan)
	placed := len(plan.Starts) - before
	step := &c.job.Submission.Steps[c.key.step]
	if placed < len(c.tasks) && !p.isFull(plan) && step.MaxPerWorker == 0 && p.quotaOf(c.job).admits(step.Need, c.together(step)) {
		p.shares.short = true
	}
	return placements, placed
}

// isShort reports whether capacity is short: the last plan found no host for a waiting task, or the tasks that wait now
// need more than is free on the hosts of their service.
func (p *Planner) isShort(candidates []candidate) bool {
	free := map[string]pimjob.Resources{}
	p.shares.capacity = p.index.schedulable
	if p.shares.short {
		return true
	}
	for service, pool := range p.index.pools {
		free[service] = pool.free
	}
	for _, c := range candidates {
		reserved := c.job.Submission.Steps[c.key.step].Reserved()
		left, count := free[c.job.Queue.Service], int64(len(c.tasks))
		need := pimjob.Resources{
			Millicores: count * reserved.Millicores, MemoryMB: count * reserved.MemoryMB, GPUs: count * reserved.GPUs,
		}
		if !left.Fits(need) {
			return true
		}
		free[c.job.Queue.Service] = left.Minus(need)
	}
	return false
}

// newShares returns the shares of the organisations of candidates at the begin of a plan.
func (p *Planner) newShares(candidates []candidate) *pimshare.Shares {
	shares := pimshare.NewShares(p.shares.capacity.Amounts())
	for _, c := range candidates {
		if name := c.job.Organisation; name != "" && !shares.Has(name) {
			shares.Add(p.accountOf(name))
		}
	}
	return shares
}

// accountOf returns what an organisation uses. The jobs of one that was removed from the configuration run on with
// weight 1.
func (p *Planner) accountOf(name string) pimshare.Account {
	account := pimshare.Account{Name: name, Weight: 1, Used: p.state.Usage(name)}
	if organisation := p.state.OrganisationNamed(name); organisation != nil {
		account.Weight = organisation.Weight
	}
	return account
}

// FairnessIndex returns Jain's index over the shares, divided by weight, of the organisations that have waiting work
// which their quota admits.
func (p *Planner) FairnessIndex() float64 {
	shares := pimshare.NewShares(p.shares.capacity.Amounts())
	for name, jobs := range p.shares.waitingJobs {
		organisation := p.state.OrganisationNamed(name)
		for _, waiting := range jobs {
			if slices.ContainsFunc(waiting.candidates, func(c candidate) bool {
				need := c.job.Submission.Steps[c.key.step].Need.Amounts()
				return organisation == nil || organisation.Admits(p.state.Usage(name), need, 1)
			}) {
				shares.Add(p.accountOf(name))
				break
			}
		}
	}
	return shares.Index()
}

// Admit decides whether a job that an organisation submits is accepted, given the queue of the organisation ahead of it.
// The organisation may use its share of the capacity among those that have waiting jobs, or what it uses now if that is
// more; while capacity is not short it may use all. Jobs with a start time or a long-running step are always accepted.
func (p *Planner) Admit(
	submission *pimjob.Submission, queue *pimjob.Queue, organisation *pimorganisation.Organisation, overRate bool,
) pimshare.Admission {
	if submission.StartAt > 0 || submission.Repeat > 0 ||
		slices.ContainsFunc(submission.Steps, func(step pimjob.Step) bool { return step.LongRunning }) {
		return pimshare.Admission{Accepted: true}
	}
	objective := objectiveOf(longestChain(submission.Steps, func(int) bool { return true }), queue)
	request := pimshare.Submission{
		Limit: lateFactor * time.Duration(objective) * time.Millisecond, OverRate: overRate,
	}
	for _, step := range submission.Steps {
		request.CoreMillis += coreMillis(&step, step.Count)
		request.WidestMillicores = max(request.WidestMillicores, step.Need.Millicores)
	}
	backlog := pimshare.Backlog{QuotaMillicores: organisation.Quota.CPUMillis}
	if overRate {
		backlog.ShareMillicores = p.shareOf(organisation)
		for i := range submission.Steps {
			backlog.CoreMillis = max(backlog.CoreMillis, p.workAhead(organisation.Name, queue, &submission.Steps[i]))
		}
	}
	return pimshare.Admit(request, backlog)
}

// shareOf returns the processor time that an organisation may use, apart from its quota.
func (p *Planner) shareOf(organisation *pimorganisation.Organisation) int64 {
	// All known workers count: a new leader has no valid lease of most of them yet, and must not reject jobs for that.
	capacity := p.index.known.Millicores
	if !p.shares.short {
		return capacity
	}
	weights := organisation.Weight
	for name := range p.shares.waitingJobs {
		if name != organisation.Name {
			weights += p.accountOf(name).Weight
		}
	}
	share := capacity * int64(organisation.Weight) / int64(max(1, weights))
	return max(share, p.state.Usage(organisation.Name).CPUMillis)
}

// workAhead returns the waiting work of an organisation that is placed before a step of a new job over the rate, whenever
// there is capacity for that step: work of a higher priority and work within the rate whose tasks run on the same hosts and
// are not larger. Other work over the rate doesn't count: it makes way for the new job once it is late itself, so that any
// of these jobs may be the one that is served.
func (p *Planner) workAhead(organisation string, queue *pimjob.Queue, step *pimjob.Step) int64 {
	class := equivalenceClassOf(queue, step)
	work := int64(0)
	for _, waiting := range p.shares.waitingJobs[organisation] {
		for _, c := range waiting.candidates {
			other := &c.job.Submission.Steps[c.key.step]
			if c.priority > queue.Priority || (c.priority == queue.Priority && c.job.OverRate) ||
				other.LongRunning || other.Gang || other.MaxPerWorker > 0 ||
				equivalenceClassOf(&c.job.Queue, other) != class || !step.Need.Fits(other.Need) {
				continue
			}
			work += coreMillis(other, len(c.tasks))
		}
	}
	return work
}

// coreMillis returns the work of count tasks, in thousandths of a core times milliseconds.
func coreMillis(step *pimjob.Step, count int) int64 {
	return int64(count) * step.Need.Millicores * step.Estimate.Milliseconds()
}

// compareOverRate orders jobs within the rate of their organisation before those over it.
func compareOverRate(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
