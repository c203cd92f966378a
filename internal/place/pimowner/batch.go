package pimowner

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimmanifest"
)

func mapsKeys[K comparable, V any](m map[K]V) iter.Seq[K] { return maps.Keys(m) }

// planBatch moves or deletes batch tasks whose owner must not keep them, then assigns tasks
// without an owner to failure domains below their limit, by fair share of the teams.
func (p *plan) planBatch() {
	for _, id := range slices.SortedFunc(mapsKeys(p.state.Owners), pimconfig.CompareTasks) {
		if _, service := p.state.Manifest.ServiceNamed(id.Job); !service && !p.isFull() {
			p.checkOwner(id, p.state.Owners[id])
		}
	}
	p.assignBatch()
}

// checkOwner releases a task whose owner must not keep it, and reassigns one that is being
// released.
func (p *plan) checkOwner(id pimconfig.TaskID, owner pimconfig.Owner) {
	job, declared := p.state.Manifest.BatchJobNamed(id.Job)
	wanted := declared && id.Index < job.Tasks
	if owner.Releasing {
		p.reassign(id, owner, job, wanted)
		return
	}
	if !wanted || !p.mayKeepTasks(owner.Domain, job.FailureDomains) {
		p.release(id)
		return
	}
	if p.batchGraceExpired(owner.Domain) {
		p.release(id)
	}
}

// reassign gives a task to its next owner, or deletes it if it is not wanted any more, once
// the last owner has stopped it.
func (p *plan) reassign(id pimconfig.TaskID, owner pimconfig.Owner, job pimmanifest.BatchJob, wanted bool) {
	ended, released := p.released[id]
	if !released && !p.batchGraceExpired(owner.Domain) {
		return
	}
	if !wanted {
		p.change(pimconfig.OwnerChange{Task: id, ExpectedEpoch: owner.Epoch, Delete: true})
		return
	}
	next := p.pickDomain(job)
	if next == "" {
		return
	}
	p.ownedBatch[next]++
	p.change(pimconfig.OwnerChange{
		Task:          id,
		ExpectedEpoch: owner.Epoch,
		Owner:         pimconfig.Owner{Domain: next, Checkpoint: max(ended.Checkpoint, owner.Checkpoint)},
	})
}

// batchLimit returns how many batch tasks a failure domain may own: those that run there
// and a backlog, which grows over rampTime after the failure domain is back in service.
func (p *plan) batchLimit(domain string) int {
	report := p.reports[domain]
	running := 0
	for job, count := range report.Running {
		if _, service := p.state.Manifest.ServiceNamed(job); !service {
			running += count
		}
	}
	slack := float64(max(minBacklog, backlogPerWorker*report.Workers))
	ramp := float64(p.now-p.inSince[domain]) / float64(rampTime)
	return running + int(slack*min(1, max(minRamp, ramp)))
}

// pickDomain returns the failure domain that may take most tasks below its limit, or ""
// if none may take a task of the job.
func (p *plan) pickDomain(job pimmanifest.BatchJob) string {
	best, most := "", 0
	for _, domain := range p.state.Domains() {
		remaining := p.batchLimit(domain) - p.ownedBatch[domain]
		if remaining > most && p.acceptsTasks(domain, job.FailureDomains) {
			best, most = domain, remaining
		}
	}
	return best
}

// assignBatch assigns tasks without an owner. The team whose owned tasks need least CPU per
// weight comes first; within a team, the job with the earliest deadline.
func (p *plan) assignBatch() {
	queues := p.pendingByTeam()
	for len(queues) > 0 && !p.isFull() {
		team := p.lowestShareTeam(queues)
		queue := queues[team]
		if !p.assignNext(queue) {
			queue.jobs = queue.jobs[1:]
			queue.nextIndex = 0
		}
		if len(queue.jobs) == 0 {
			delete(queues, team)
		}
	}
}

// teamQueue holds the unfinished jobs of a team by deadline. nextIndex is the task of the
// first job to assign next.
type teamQueue struct {
	name      string
	jobs      []pimmanifest.BatchJob
	nextIndex int
}

// pendingByTeam returns the unfinished jobs of each team.
func (p *plan) pendingByTeam() map[string]*teamQueue {
	queues := map[string]*teamQueue{}
	jobs := slices.Clone(p.state.Manifest.BatchJobs)
	slices.SortStableFunc(jobs, func(a, b pimmanifest.BatchJob) int {
		return int(deadlineOrMax(a) - deadlineOrMax(b))
	})
	for _, job := range jobs {
		if len(p.state.Finished[job.Name]) >= job.Tasks {
			continue
		}
		if queues[job.Team] == nil {
			queues[job.Team] = &teamQueue{name: job.Team}
		}
		queues[job.Team].jobs = append(queues[job.Team].jobs, job)
	}
	return queues
}

// deadlineOrMax sorts jobs without a deadline last.
func deadlineOrMax(job pimmanifest.BatchJob) time.Duration {
	if job.Deadline == 0 {
		return 1 << 62
	}
	return job.Deadline
}

// lowestShareTeam returns the team whose owned tasks need least CPU per weight.
func (p *plan) lowestShareTeam(queues map[string]*teamQueue) string {
	best := ""
	bestShare := 0.0
	for _, team := range slices.Sorted(maps.Keys(queues)) {
		weight := float64(p.state.Manifest.TeamNamed(team).Weight)
		share := float64(p.teamUsage[team].CPUMillis) / weight
		if best == "" || share < bestShare {
			best, bestShare = team, share
		}
	}
	return best
}

// assignNext assigns the next task without an owner of the queue's first job. It returns
// false if the job has none left, no failure domain may take it or the quota is used up.
func (p *plan) assignNext(queue *teamQueue) bool {
	job := queue.jobs[0]
	for ; queue.nextIndex < job.Tasks; queue.nextIndex++ {
		id := pimconfig.TaskID{Job: job.Name, Index: queue.nextIndex}
		if _, owned := p.state.Owners[id]; owned || p.state.IsFinished(id) {
			continue
		}
		domain := p.pickDomain(job)
		if domain == "" || !p.withinQuota(job.Team, job.Needs) {
			return false
		}
		queue.nextIndex++
		p.ownedBatch[domain]++
		p.addUsage(job.Team, job.Needs)
		p.change(pimconfig.OwnerChange{Task: id, Owner: pimconfig.Owner{Domain: domain}})
		return true
	}
	return false
}
