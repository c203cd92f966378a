// Package pimowner decides which failure domain owns which task. The leader of the
// configuration group runs it; a change of ownership takes effect when it is committed.
//
// A task has one owner at a time. It gets another owner only after the old one has
// reported that the task stopped, or has been out of contact for so long that it must
// have stopped its batch tasks.
//
// Times are durations on the clock of the daemon that leads the group.
package pimowner

import (
	"maps"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimmanifest"
)

type (
	// EndedTask is a task that a failure domain owned at Epoch and no longer runs.
	EndedTask struct {
		Task       pimconfig.TaskID `msgpack:"t"`
		Epoch      uint64           `msgpack:"e"`
		Checkpoint uint64           `msgpack:"c"`
	}

	// Report is the state of a failure domain, sent by the leader of its group. Running
	// counts the running tasks of each service and batch job.
	Report struct {
		Domain   string                `msgpack:"d"`
		Workers  int                   `msgpack:"w"`
		Capacity pimmanifest.Resources `msgpack:"c"`
		Running  map[string]int        `msgpack:"r"`
		Finished []EndedTask           `msgpack:"f"`
		Released []EndedTask           `msgpack:"l"`
	}

	// Planner plans changes of ownership. It keeps the newest report of each failure domain
	// and the time since which each has been in or out of service.
	Planner struct {
		batchGracePeriod time.Duration
		reports          map[string]Report
		reportAt         map[string]time.Duration
		outSince         map[string]time.Duration
		inSince          map[string]time.Duration
	}

	// plan is the state of one call of Plan. ownedBatch counts the batch tasks of each
	// failure domain, replicaCounts the replicas by service and failure domain; teamUsage sums
	// the declared needs of each team's owned tasks.
	plan struct {
		*Planner
		now           time.Duration
		state         *pimconfig.State
		lastContact   map[string]time.Duration
		released      map[pimconfig.TaskID]EndedTask
		ownedBatch    map[string]int
		replicaCounts map[string]map[string]int
		teamUsage     map[string]pimmanifest.Resources
		changes       []pimconfig.OwnerChange
	}
)

// Timing and limits of planning.
const (
	// UnreachableAfter is the time without contact after which a failure domain gets no
	// tasks and its replicas are replaced in other failure domains.
	UnreachableAfter = 5 * time.Second
	// ForceReleaseAfter is how long the replicas in a failure domain out of service may
	// wait for their replacements to run.
	ForceReleaseAfter = 20 * time.Second
	// BatchGraceMargin is added to the batch grace period before the batch tasks of a silent
	// failure domain get other owners.
	BatchGraceMargin = 30 * time.Second
	// rampTime is how long the backlog of a failure domain that is back in service grows
	// from the fraction minRamp to its full size.
	rampTime = 15 * time.Second
	minRamp  = 0.1
	// minBacklog and backlogPerWorker bound the batch tasks that a failure domain owns
	// beyond those that it runs.
	minBacklog       = 8
	backlogPerWorker = 4
	// maxChangesPerPlan bounds the size of a log entry.
	maxChangesPerPlan = 2000
)

// NewPlanner returns a planner without reports. batchGracePeriod is how long a failure domain
// without a current configuration keeps running its batch tasks.
func NewPlanner(batchGracePeriod time.Duration) *Planner {
	return &Planner{
		batchGracePeriod: batchGracePeriod,
		reports:          map[string]Report{},
		reportAt:         map[string]time.Duration{},
		outSince:         map[string]time.Duration{},
		inSince:          map[string]time.Duration{},
	}
}

// RecordReport replaces the report of a failure domain.
func (p *Planner) RecordReport(now time.Duration, report Report) {
	p.reports[report.Domain] = report
	p.reportAt[report.Domain] = now
}

// Plan returns the changes of ownership that are due. lastContact holds the time of the last
// contact with each failure domain. The changes of the previous call must have been
// applied to state or abandoned.
func (p *Planner) Plan(
	now time.Duration, state *pimconfig.State, lastContact map[string]time.Duration,
) []pimconfig.OwnerChange {
	round := &plan{
		Planner:       p,
		now:           now,
		state:         state,
		lastContact:   lastContact,
		released:      map[pimconfig.TaskID]EndedTask{},
		ownedBatch:    map[string]int{},
		replicaCounts: map[string]map[string]int{},
		teamUsage:     map[string]pimmanifest.Resources{},
	}
	round.trackServiceState()
	round.applyReports()
	round.countOwned()
	round.planServices()
	round.planBatch()
	return round.changes
}

// trackServiceState records since when each failure domain has been in or out of service.
func (p *plan) trackServiceState() {
	for _, domain := range p.state.Domains() {
		if p.state.IsOutOfService(domain) {
			delete(p.inSince, domain)
			p.setSince(p.outSince, domain)
			continue
		}
		delete(p.outSince, domain)
		p.setSince(p.inSince, domain)
	}
}

// setSince records the current time unless the failure domain has an earlier one.
func (p *plan) setSince(since map[string]time.Duration, domain string) {
	if _, ok := since[domain]; !ok {
		since[domain] = p.now
	}
}

func (p *plan) change(change pimconfig.OwnerChange) {
	p.changes = append(p.changes, change)
}

func (p *plan) isFull() bool { return len(p.changes) >= maxChangesPerPlan }

// applyReports plans the removal of the owners of tasks that were reported as finished, and
// collects the tasks that were reported as released.
func (p *plan) applyReports() {
	for _, domain := range slices.Sorted(maps.Keys(p.reports)) {
		for _, ended := range p.reports[domain].Finished {
			if p.state.Owners[ended.Task].Epoch == ended.Epoch && !p.isFull() {
				p.change(pimconfig.OwnerChange{Task: ended.Task, ExpectedEpoch: ended.Epoch, Delete: true, Finished: true})
			}
		}
		for _, ended := range p.reports[domain].Released {
			if p.state.Owners[ended.Task].Epoch == ended.Epoch {
				p.released[ended.Task] = ended
			}
		}
	}
}

// countOwned counts the owned tasks by failure domain and sums their needs by team.
func (p *plan) countOwned() {
	finishing := map[pimconfig.TaskID]bool{}
	for _, change := range p.changes {
		finishing[change.Task] = true
	}
	for id, owner := range p.state.Owners {
		if finishing[id] {
			continue
		}
		if service, ok := p.state.Manifest.ServiceNamed(id.Job); ok {
			p.addUsage(service.Team, service.Needs)
			p.countService(id.Job, owner.Domain, 1)
			continue
		}
		p.ownedBatch[owner.Domain]++
		if job, ok := p.state.Manifest.BatchJobNamed(id.Job); ok {
			p.addUsage(job.Team, job.Needs)
		}
	}
}

func (p *plan) countService(job, domain string, by int) {
	if p.replicaCounts[job] == nil {
		p.replicaCounts[job] = map[string]int{}
	}
	p.replicaCounts[job][domain] += by
}

func (p *plan) addUsage(team string, needs pimmanifest.Resources) {
	p.teamUsage[team] = p.teamUsage[team].Add(needs)
}

func (p *plan) withinQuota(team string, needs pimmanifest.Resources) bool {
	return p.teamUsage[team].Add(needs).WithinQuota(p.state.Manifest.TeamNamed(team).Quota)
}

// isReachable reports whether the last contact with a failure domain is recent.
func (p *plan) isReachable(domain string) bool {
	return p.now-p.lastContact[domain] <= UnreachableAfter
}

// acceptsTasks reports whether a failure domain may become the owner of a task. allowed
// lists the failure domains that the manifest permits; empty permits all.
func (p *plan) acceptsTasks(domain string, allowed []string) bool {
	if len(allowed) > 0 && !slices.Contains(allowed, domain) {
		return false
	}
	return !p.state.IsOutOfService(domain) && p.isReachable(domain) && p.reports[domain].Workers > 0
}

// mayKeepTasks reports whether an owner may keep its tasks, even if it is unreachable.
func (p *plan) mayKeepTasks(domain string, allowed []string) bool {
	if len(allowed) > 0 && !slices.Contains(allowed, domain) {
		return false
	}
	return !p.state.IsOutOfService(domain)
}

// batchGraceExpired reports whether a failure domain has been silent for so long that it must
// have stopped its batch tasks.
func (p *plan) batchGraceExpired(domain string) bool {
	return p.now-p.lastContact[domain] > p.batchGracePeriod+BatchGraceMargin
}
