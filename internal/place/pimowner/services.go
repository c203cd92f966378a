package pimowner

import (
	"cmp"
	"slices"

	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimmanifest"
)

// replicas holds the tasks of one service by the state of their owners: active where the
// owner is reachable and may keep them, leaving where it must not keep them, releasing where
// their release is under way. A task of an unreachable owner is in none of these.
type replicas struct {
	active      []pimconfig.TaskID
	leaving     []pimconfig.TaskID
	releasing   []pimconfig.TaskID
	usedIndexes map[int]bool
}

// planServices keeps each service at its declared number of replicas. A replica whose
// failure domain is out of service is released after its replacement runs, or after
// ForceReleaseAfter. A replica whose failure domain is unreachable is replaced by one under
// another index, so that no task runs twice.
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

// add adds a task to the list that fits its owner's state.
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

// planService plans the changes for one service.
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

// addReplica assigns a replica under the lowest unused index to the failure domain with
// the fewest replicas. It returns false if no failure domain or quota is left.
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

// releaseSurplus releases active replicas above the declared number, each from the failure
// domain that has the most.
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

// releaseLeaving releases replicas that their owner must not keep, once enough others run
// or the owner has been out of service for ForceReleaseAfter.
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

// release asks the owner of a task to stop it and report it as released.
func (p *plan) release(id pimconfig.TaskID) {
	owner := p.state.Owners[id]
	owner.Releasing = true
	p.change(pimconfig.OwnerChange{Task: id, ExpectedEpoch: owner.Epoch, Owner: owner})
}

// deleteReleased plans the removal of a replica's owner once the replica is reported as released.
func (p *plan) deleteReleased(id pimconfig.TaskID) {
	if ended, ok := p.released[id]; ok && !p.isFull() {
		p.change(pimconfig.OwnerChange{Task: id, ExpectedEpoch: ended.Epoch, Delete: true})
	}
}
