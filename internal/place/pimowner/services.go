package pimowner

import (
	"cmp"
	"slices"

	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimmanifest"
)

// replicas sorts the tasks of one service by what their owners can do.
type replicas struct {
	active      []pimconfig.TaskID
	leaving     []pimconfig.TaskID
	releasing   []pimconfig.TaskID
	usedIndexes map[int]bool
}

// planServices keeps each service at its declared number of replicas. A replica
// whose failure domain is out is replaced before it is released; one whose failure
// domain is unreachable is replaced by a new replica under another index, so that
// no task ever runs twice.
func (p *plan) planServices() {
	byService := p.replicasByService()
	for _, service := range p.state.Manifest.Services {
		r := byService[service.Name]
		if r == nil {
			r = &replicas{usedIndexes: map[int]bool{}}
		}
		p.planService(service, r)
		delete(byService, service.Name)
	}
}

func (p *plan) replicasByService() map[string]*replicas {
	byService := map[string]*replicas{}
	for _, id := range slices.SortedFunc(mapsKeys(p.state.Owners), pimconfig.CompareTasks) {
		service, ok := p.state.Manifest.ServiceNamed(id.Job)
		if !ok {
			continue
		}
		r := byService[id.Job]
		if r == nil {
			r = &replicas{usedIndexes: map[int]bool{}}
			byService[id.Job] = r
		}
		r.add(p, service, id)
	}
	return byService
}

func (r *replicas) add(p *plan, service pimmanifest.Service, id pimconfig.TaskID) {
	owner := p.state.Owners[id]
	r.usedIndexes[id.Index] = true
	switch {
	case owner.Releasing:
		r.releasing = append(r.releasing, id)
	case !p.mayKeepTasks(owner.Domain, service.FailureDomains):
		r.leaving = append(r.leaving, id)
	case p.isReachable(owner.Domain):
		r.active = append(r.active, id)
	}
}

func (p *plan) planService(service pimmanifest.Service, r *replicas) {
	for missing := service.Replicas - len(r.active); missing > 0 && !p.isFull(); missing-- {
		if !p.addReplica(service, r) {
			break
		}
	}
	p.releaseSurplus(service, r)
	p.releaseLeaving(service, r)
	for _, id := range r.releasing {
		p.deleteReleased(id)
	}
}

func (p *plan) addReplica(service pimmanifest.Service, r *replicas) bool {
	counts := p.replicaCounts[service.Name]
	best := ""
	for _, domain := range p.state.Domains() {
		if p.acceptsTasks(domain, service.FailureDomains) && (best == "" || counts[domain] < counts[best]) {
			best = domain
		}
	}
	if best == "" || !p.withinQuota(service.Team, service.Needs) {
		return false
	}
	index := 0
	for r.usedIndexes[index] {
		index++
	}
	r.usedIndexes[index] = true
	p.addUsage(service.Team, service.Needs)
	p.countService(service.Name, best, 1)
	p.change(pimconfig.OwnerChange{
		Task:  pimconfig.TaskID{Job: service.Name, Index: index},
		Owner: pimconfig.Owner{Domain: best},
	})
	return true
}

// releaseSurplus releases replicas above the declared number, from the failure domain with most.
func (p *plan) releaseSurplus(service pimmanifest.Service, r *replicas) {
	counts := p.replicaCounts[service.Name]
	active := slices.Clone(r.active)
	for len(active) > service.Replicas && !p.isFull() {
		last := slices.MaxFunc(active, func(a, b pimconfig.TaskID) int {
			byCount := cmp.Compare(counts[p.state.Owners[a].Domain], counts[p.state.Owners[b].Domain])
			return cmp.Or(byCount, cmp.Compare(a.Index, b.Index))
		})
		active = slices.DeleteFunc(active, func(id pimconfig.TaskID) bool { return id == last })
		counts[p.state.Owners[last].Domain]--
		p.release(last)
	}
}

// releaseLeaving releases replicas that must go once enough others run, or after BreakAfter.
func (p *plan) releaseLeaving(service pimmanifest.Service, r *replicas) {
	running := 0
	for _, domain := range p.state.Domains() {
		if p.acceptsTasks(domain, service.FailureDomains) {
			running += p.reports[domain].Running[service.Name]
		}
	}
	for _, id := range r.leaving {
		since, out := p.outSince[p.state.Owners[id].Domain]
		overdue := out && p.now-since > ForceReleaseAfter
		if (running >= service.Replicas || overdue) && !p.isFull() {
			p.release(id)
		}
	}
}

func (p *plan) release(id pimconfig.TaskID) {
	owner := p.state.Owners[id]
	owner.Releasing = true
	p.change(pimconfig.OwnerChange{Task: id, ExpectedEpoch: owner.Epoch, Owner: owner})
}

func (p *plan) deleteReleased(id pimconfig.TaskID) {
	if ended, ok := p.released[id]; ok && !p.isFull() {
		p.change(pimconfig.OwnerChange{Task: id, ExpectedEpoch: ended.Epoch, Delete: true})
	}
}
