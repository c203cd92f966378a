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

// planBatch moves or gives up tasks whose owner must not keep them, then gives
// tasks without an owner to failure domains with room, team by team.
func (p *plan) planBatch() {
	for _, id := range slices.SortedFunc(mapsKeys(p.state.Owners), pimconfig.CompareTasks) {
		if _, service := p.state.Manifest.ServiceNamed(id.Job); !service && !p.isFull() {
			p.checkOwner(id, p.state.Owners[id])
		}
	}
	p.assignBatch()
}

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
	if p.holdExpired(owner.Domain) {
		p.release(id)
	}
}

// reassign names the next owner of a task that its last owner has stopped.
func (p *plan) reassign(id pimconfig.TaskID, owner pimconfig.Owner, job pimmanifest.BatchJob, wanted bool) {
	ended, released := p.released[id]
	if !released && !p.holdExpired(owner.Domain) {
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

// batchLimit is how many batch tasks a failure domain may own. It follows what runs
// there, and grows slowly after the failure domain came back.
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

func (p *plan) pickDomain(job pimmanifest.BatchJob) string {
	best, most := "", 0
	for _, domain := range p.state.Domains() {
		room := p.batchLimit(domain) - p.ownedBatch[domain]
		if room > most && p.acceptsTasks(domain, job.FailureDomains) {
			best, most = domain, room
		}
	}
	return best
}

// assignBatch gives tasks to failure domains. The team with the smallest share of
// owned tasks for its weight is served first; inside a team, the earlier deadline.
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

// teamQueue is what a team still waits for: its jobs, and the next index of the first.
type teamQueue struct {
	name      string
	jobs      []pimmanifest.BatchJob
	nextIndex int
}

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

func deadlineOrMax(job pimmanifest.BatchJob) time.Duration {
	if job.Deadline == 0 {
		return 1 << 62
	}
	return job.Deadline
}

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

// assignNext gives the next free task of the line's first job to a failure domain.
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
