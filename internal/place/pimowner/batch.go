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
func (l *plan) planBatch() {
	for _, id := range slices.SortedFunc(mapsKeys(l.state.Owners), pimconfig.CompareTasks) {
		if _, service := l.state.Manifest.ServiceNamed(id.Job); !service && !l.isFull() {
			l.checkOwner(id, l.state.Owners[id])
		}
	}
	l.assignBatch()
}

func (l *plan) checkOwner(id pimconfig.TaskID, owner pimconfig.Owner) {
	job, declared := l.state.Manifest.BatchJobNamed(id.Job)
	wanted := declared && id.Index < job.Tasks
	if owner.Releasing {
		l.reassign(id, owner, job, wanted)
		return
	}
	if !wanted || !l.mayKeepTasks(owner.Domain, job.FailureDomains) {
		l.release(id)
		return
	}
	if l.holdExpired(owner.Domain) {
		l.release(id)
	}
}

// reassign names the next owner of a task that its last owner has stopped.
func (l *plan) reassign(id pimconfig.TaskID, owner pimconfig.Owner, job pimmanifest.BatchJob, wanted bool) {
	ended, released := l.released[id]
	if !released && !l.holdExpired(owner.Domain) {
		return
	}
	if !wanted {
		l.change(pimconfig.OwnerChange{Task: id, ExpectedEpoch: owner.Epoch, Delete: true})
		return
	}
	next := l.pickDomain(job)
	if next == "" {
		return
	}
	l.ownedBatch[next]++
	l.change(pimconfig.OwnerChange{
		Task:          id,
		ExpectedEpoch: owner.Epoch,
		Owner:         pimconfig.Owner{Domain: next, Checkpoint: max(ended.Checkpoint, owner.Checkpoint)},
	})
}

// batchLimit is how many batch tasks a failure domain may own. It follows what runs
// there, and grows slowly after the failure domain came back.
func (l *plan) batchLimit(domain string) int {
	report := l.reports[domain]
	running := 0
	for job, count := range report.Running {
		if _, service := l.state.Manifest.ServiceNamed(job); !service {
			running += count
		}
	}
	slack := float64(max(minBacklog, backlogPerWorker*report.Workers))
	ramp := float64(l.now-l.inSince[domain]) / float64(rampTime)
	return running + int(slack*min(1, max(minRamp, ramp)))
}

func (l *plan) pickDomain(job pimmanifest.BatchJob) string {
	best, most := "", 0
	for _, domain := range l.state.Domains() {
		room := l.batchLimit(domain) - l.ownedBatch[domain]
		if room > most && l.acceptsTasks(domain, job.FailureDomains) {
			best, most = domain, room
		}
	}
	return best
}

// assignBatch gives tasks to failure domains. The team with the smallest share of
// owned tasks for its weight is served first; inside a team, the earlier deadline.
func (l *plan) assignBatch() {
	lines := l.pendingByTeam()
	for len(lines) > 0 && !l.isFull() {
		team := l.lowestShareTeam(lines)
		line := lines[team]
		if !l.assignNext(line) {
			line.jobs = line.jobs[1:]
			line.nextIndex = 0
		}
		if len(line.jobs) == 0 {
			delete(lines, team)
		}
	}
}

// teamQueue is what a team still waits for: its jobs, and the next index of the first.
type teamQueue struct {
	name      string
	jobs      []pimmanifest.BatchJob
	nextIndex int
}

func (l *plan) pendingByTeam() map[string]*teamQueue {
	lines := map[string]*teamQueue{}
	jobs := slices.Clone(l.state.Manifest.BatchJobs)
	slices.SortStableFunc(jobs, func(a, b pimmanifest.BatchJob) int {
		return int(deadlineOrMax(a) - deadlineOrMax(b))
	})
	for _, job := range jobs {
		if len(l.state.Finished[job.Name]) >= job.Tasks {
			continue
		}
		if lines[job.Team] == nil {
			lines[job.Team] = &teamQueue{name: job.Team}
		}
		lines[job.Team].jobs = append(lines[job.Team].jobs, job)
	}
	return lines
}

func deadlineOrMax(job pimmanifest.BatchJob) time.Duration {
	if job.Deadline == 0 {
		return 1 << 62
	}
	return job.Deadline
}

func (l *plan) lowestShareTeam(lines map[string]*teamQueue) string {
	best := ""
	bestShare := 0.0
	for _, team := range slices.Sorted(maps.Keys(lines)) {
		weight := float64(l.state.Manifest.TeamNamed(team).Weight)
		share := float64(l.teamUsage[team].CPUMillis) / weight
		if best == "" || share < bestShare {
			best, bestShare = team, share
		}
	}
	return best
}

// assignNext gives the next free task of the line's first job to a failure domain.
func (l *plan) assignNext(line *teamQueue) bool {
	job := line.jobs[0]
	for ; line.nextIndex < job.Tasks; line.nextIndex++ {
		id := pimconfig.TaskID{Job: job.Name, Index: line.nextIndex}
		if _, owned := l.state.Owners[id]; owned || l.state.IsFinished(id) {
			continue
		}
		domain := l.pickDomain(job)
		if domain == "" || !l.withinQuota(job.Team, job.Needs) {
			return false
		}
		line.nextIndex++
		l.ownedBatch[domain]++
		l.addUsage(job.Team, job.Needs)
		l.change(pimconfig.OwnerChange{Task: id, Owner: pimconfig.Owner{Domain: domain}})
		return true
	}
	return false
}
