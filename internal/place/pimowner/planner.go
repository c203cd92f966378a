// Package pimowner decides which failure domain owns which task. The leader of the
// configuration group runs it; its changes become effective when they are committed.
//
// A task has one owner at a time. Its next owner is named only after the old one
// has reported that the task stopped, or can't run it any more because its hold
// without a current configuration is over.
package pimowner

import (
	"maps"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimmanifest"
)

type (
	// EndedTask is a task that a failure domain no longer runs under an epoch.
	EndedTask struct {
		Task       pimconfig.TaskID `msgpack:"t"`
		Epoch      uint64           `msgpack:"e"`
		Checkpoint uint64           `msgpack:"c"`
	}

	// Report is what the leader of a domain group tells about its failure domain.
	Report struct {
		Domain   string                `msgpack:"d"`
		Workers  int                   `msgpack:"w"`
		Capacity pimmanifest.Resources `msgpack:"c"`
		Running  map[string]int        `msgpack:"r"`
		Finished []EndedTask           `msgpack:"f"`
		Released []EndedTask           `msgpack:"l"`
	}

	// Planner keeps the newest report of each failure domain.
	Planner struct {
		batchHold time.Duration
		reports   map[string]Report
		reportAt  map[string]time.Duration
		outSince  map[string]time.Duration
		inSince   map[string]time.Duration
	}

	// plan is the work of one call of Plan.
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
	UnreachableAfter  = 5 * time.Second
	ForceReleaseAfter = 20 * time.Second
	HoldMargin        = 30 * time.Second
	rampTime          = 15 * time.Second
	minRamp           = 0.1
	minBacklog        = 8
	backlogPerWorker  = 4
	maxChangesPerPlan = 2000
)

// NewPlanner returns a planner. Hold is how long a failure domain without a current
// configuration keeps its batch tasks.
func NewPlanner(hold time.Duration) *Planner {
	return &Planner{
		batchHold: hold,
		reports:   map[string]Report{},
		reportAt:  map[string]time.Duration{},
		outSince:  map[string]time.Duration{},
		inSince:   map[string]time.Duration{},
	}
}

// RecordReport takes in a report of a failure domain.
func (p *Planner) RecordReport(now time.Duration, report Report) {
	p.reports[report.Domain] = report
	p.reportAt[report.Domain] = now
}

// Plan returns the changes of ownership that are due. Contact tells when each
// failure domain was last heard; no change may be under way from an earlier call.
func (p *Planner) Plan(now time.Duration, state *pimconfig.State, contact map[string]time.Duration) []pimconfig.OwnerChange {
	round := &plan{
		Planner:       p,
		now:           now,
		state:         state,
		lastContact:   contact,
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

func (p *plan) setSince(since map[string]time.Duration, domain string) {
	if _, ok := since[domain]; !ok {
		since[domain] = p.now
	}
}

func (p *plan) change(change pimconfig.OwnerChange) {
	p.changes = append(p.changes, change)
}

func (p *plan) isFull() bool { return len(p.changes) >= maxChangesPerPlan }

// applyReports takes in what the failure domains reported as finished or released.
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

// isReachable reports whether a failure domain was heard lately enough to count on it.
func (p *plan) isReachable(domain string) bool {
	return p.now-p.lastContact[domain] <= UnreachableAfter
}

// acceptsTasks reports whether a failure domain may become the owner of a task.
func (p *plan) acceptsTasks(domain string, allowed []string) bool {
	if len(allowed) > 0 && !slices.Contains(allowed, domain) {
		return false
	}
	return !p.state.IsOutOfService(domain) && p.isReachable(domain) && p.reports[domain].Workers > 0
}

// mayKeepTasks reports whether an owner may go on, though perhaps unreachable.
func (p *plan) mayKeepTasks(domain string, allowed []string) bool {
	if len(allowed) > 0 && !slices.Contains(allowed, domain) {
		return false
	}
	return !p.state.IsOutOfService(domain)
}

// holdExpired reports whether a silent failure domain has certainly stopped its batch tasks.
func (p *plan) holdExpired(domain string) bool {
	return p.now-p.lastContact[domain] > p.batchHold+HoldMargin
}
