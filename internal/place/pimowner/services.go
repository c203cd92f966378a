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
func (l *plan) planServices() {
	byService := l.replicasByService()
	for _, service := range l.state.Manifest.Services {
		r := byService[service.Name]
		if r == nil {
			r = &replicas{usedIndexes: map[int]bool{}}
		}
		l.planService(service, r)
		delete(byService, service.Name)
	}
}

func (l *plan) replicasByService() map[string]*replicas {
	byService := map[string]*replicas{}
	for _, id := range slices.SortedFunc(mapsKeys(l.state.Owners), pimconfig.CompareTasks) {
		service, ok := l.state.Manifest.ServiceNamed(id.Job)
		if !ok {
			continue
		}
		r := byService[id.Job]
		if r == nil {
			r = &replicas{usedIndexes: map[int]bool{}}
			byService[id.Job] = r
		}
		r.add(l, service, id)
	}
	return byService
}

func (r *replicas) add(l *plan, service pimmanifest.Service, id pimconfig.TaskID) {
	owner := l.state.Owners[id]
	r.usedIndexes[id.Index] = true
	switch {
	case owner.Releasing:
		r.releasing = append(r.releasing, id)
	case !l.mayKeepTasks(owner.Domain, service.FailureDomains):
		r.leaving = append(r.leaving, id)
	case l.isReachable(owner.Domain):
		r.active = append(r.active, id)
	}
}

func (l *plan) planService(service pimmanifest.Service, r *replicas) {
	for missing := service.Replicas - len(r.active); missing > 0 && !l.isFull(); missing-- {
		if !l.addReplica(service, r) {
			break
		}
	}
	l.releaseSurplus(service, r)
	l.releaseLeaving(service, r)
	for _, id := range r.releasing {
		l.deleteReleased(id)
	}
}

func (l *plan) addReplica(service pimmanifest.Service, r *replicas) bool {
	counts := l.replicaCounts[service.Name]
	best := ""
	for _, domain := range l.state.Domains() {
		if l.acceptsTasks(domain, service.FailureDomains) && (best == "" || counts[domain] < counts[best]) {
			best = domain
		}
	}
	if best == "" || !l.withinQuota(service.Team, service.Needs) {
		return false
	}
	index := 0
	for r.usedIndexes[index] {
		index++
	}
	r.usedIndexes[index] = true
	l.addUsage(service.Team, service.Needs)
	l.countService(service.Name, best, 1)
	l.change(pimconfig.OwnerChange{
		Task:  pimconfig.TaskID{Job: service.Name, Index: index},
		Owner: pimconfig.Owner{Domain: best},
	})
	return true
}

// releaseSurplus releases replicas above the declared number, from the failure domain with most.
func (l *plan) releaseSurplus(service pimmanifest.Service, r *replicas) {
	counts := l.replicaCounts[service.Name]
	active := slices.Clone(r.active)
	for len(active) > service.Replicas && !l.isFull() {
		last := slices.MaxFunc(active, func(a, b pimconfig.TaskID) int {
			byCount := cmp.Compare(counts[l.state.Owners[a].Domain], counts[l.state.Owners[b].Domain])
			return cmp.Or(byCount, cmp.Compare(a.Index, b.Index))
		})
		active = slices.DeleteFunc(active, func(id pimconfig.TaskID) bool { return id == last })
		counts[l.state.Owners[last].Domain]--
		l.release(last)
	}
}

// releaseLeaving releases replicas that must go once enough others run, or after BreakAfter.
func (l *plan) releaseLeaving(service pimmanifest.Service, r *replicas) {
	running := 0
	for _, domain := range l.state.Domains() {
		if l.acceptsTasks(domain, service.FailureDomains) {
			running += l.reports[domain].Running[service.Name]
		}
	}
	for _, id := range r.leaving {
		since, out := l.outSince[l.state.Owners[id].Domain]
		overdue := out && l.now-since > ForceReleaseAfter
		if (running >= service.Replicas || overdue) && !l.isFull() {
			l.release(id)
		}
	}
}

func (l *plan) release(id pimconfig.TaskID) {
	owner := l.state.Owners[id]
	owner.Releasing = true
	l.change(pimconfig.OwnerChange{Task: id, ExpectedEpoch: owner.Epoch, Owner: owner})
}

func (l *plan) deleteReleased(id pimconfig.TaskID) {
	if ended, ok := l.released[id]; ok && !l.isFull() {
		l.change(pimconfig.OwnerChange{Task: id, ExpectedEpoch: ended.Epoch, Delete: true})
	}
}
