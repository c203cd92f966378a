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
			l.reviewOwner(id, l.state.Owners[id])
		}
	}
	l.grantBatch()
}

func (l *plan) reviewOwner(id pimconfig.TaskID, owner pimconfig.Owner) {
	job, declared := l.state.Manifest.BatchJobNamed(id.Job)
	wanted := declared && id.Index < job.Tasks
	if owner.Releasing {
		l.passOn(id, owner, job, wanted)
		return
	}
	if !wanted || !l.mayKeep(owner.Domain, job.FailureDomains) {
		l.release(id)
		return
	}
	if l.holdIsOver(owner.Domain) {
		l.release(id)
	}
}

// passOn names the next owner of a task that its last owner has stopped.
func (l *plan) passOn(id pimconfig.TaskID, owner pimconfig.Owner, job pimmanifest.BatchJob, wanted bool) {
	ended, released := l.released[id]
	if !released && !l.holdIsOver(owner.Domain) {
		return
	}
	if !wanted {
		l.change(pimconfig.OwnerChange{Task: id, ExpectedEpoch: owner.Epoch, Delete: true})
		return
	}
	next := l.roomiest(job)
	if next == "" {
		return
	}
	l.owned[next]++
	l.change(pimconfig.OwnerChange{
		Task:          id,
		ExpectedEpoch: owner.Epoch,
		Owner:         pimconfig.Owner{Domain: next, Checkpoint: max(ended.Checkpoint, owner.Checkpoint)},
	})
}

// backlog is how many batch tasks a failure domain may own. It follows what runs
// there, and grows slowly after the failure domain came back.
func (l *plan) backlog(domain string) int {
	report := l.reports[domain]
	running := 0
	for job, count := range report.Running {
		if _, service := l.state.Manifest.ServiceNamed(job); !service {
			running += count
		}
	}
	slack := float64(max(backlogFloor, backlogRatio*report.Workers))
	ramp := float64(l.now-l.inSince[domain]) / float64(rampTime)
	return running + int(slack*min(1, max(rampFloor, ramp)))
}

func (l *plan) roomiest(job pimmanifest.BatchJob) string {
	best, most := "", 0
	for _, domain := range l.state.Domains() {
		room := l.backlog(domain) - l.owned[domain]
		if room > most && l.takesTasks(domain, job.FailureDomains) {
			best, most = domain, room
		}
	}
	return best
}

// grantBatch gives tasks to failure domains. The team with the smallest share of
// owned tasks for its weight is served first; inside a team, the earlier deadline.
func (l *plan) grantBatch() {
	lines := l.waitingByTeam()
	for len(lines) > 0 && !l.isFull() {
		team := l.neediestTeam(lines)
		line := lines[team]
		if !l.grantNext(line) {
			line.jobs = line.jobs[1:]
			line.next = 0
		}
		if len(line.jobs) == 0 {
			delete(lines, team)
		}
	}
}

// teamLine is what a team still waits for: its jobs, and the next index of the first.
type teamLine struct {
	name string
	jobs []pimmanifest.BatchJob
	next int
}

func (l *plan) waitingByTeam() map[string]*teamLine {
	lines := map[string]*teamLine{}
	jobs := slices.Clone(l.state.Manifest.BatchJobs)
	slices.SortStableFunc(jobs, func(a, b pimmanifest.BatchJob) int {
		return int(deadlineOrLast(a) - deadlineOrLast(b))
	})
	for _, job := range jobs {
		if len(l.state.Finished[job.Name]) >= job.Tasks {
			continue
		}
		if lines[job.Team] == nil {
			lines[job.Team] = &teamLine{name: job.Team}
		}
		lines[job.Team].jobs = append(lines[job.Team].jobs, job)
	}
	return lines
}

func deadlineOrLast(job pimmanifest.BatchJob) time.Duration {
	if job.Deadline == 0 {
		return 1 << 62
	}
	return job.Deadline
}

func (l *plan) neediestTeam(lines map[string]*teamLine) string {
	best := ""
	bestShare := 0.0
	for _, team := range slices.Sorted(maps.Keys(lines)) {
		weight := float64(l.state.Manifest.TeamNamed(team).Weight)
		share := float64(l.usage[team].CPUMillis) / weight
		if best == "" || share < bestShare {
			best, bestShare = team, share
		}
	}
	return best
}

// grantNext gives the next free task of the line's first job to a failure domain.
func (l *plan) grantNext(line *teamLine) bool {
	job := line.jobs[0]
	for ; line.next < job.Tasks; line.next++ {
		id := pimconfig.TaskID{Job: job.Name, Index: line.next}
		if _, owned := l.state.Owners[id]; owned || l.state.IsFinished(id) {
			continue
		}
		domain := l.roomiest(job)
		if domain == "" || !l.withinQuota(job.Team, job.Needs) {
			return false
		}
		line.next++
		l.owned[domain]++
		l.addUsage(job.Team, job.Needs)
		l.change(pimconfig.OwnerChange{Task: id, Owner: pimconfig.Owner{Domain: domain}})
		return true
	}
	return false
}
