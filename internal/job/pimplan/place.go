package pimplan

import (
	"container/heap"
	"slices"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// equivalenceClass is what determines which hosts can take a step, apart from the size of its
	// request.
	equivalenceClass struct {
		service, requiredLabel, image string
		bestEffort                    bool
	}

	// unplaceable holds the requests for which the current plan found no host. A request of the same
	// class that is at least as large in every resource finds none either.
	unplaceable map[equivalenceClass][]pimjob.Resources

	// hostHeap is a heap of hosts for the tasks of one step, with the best on top. Its scan, if there is one, finds more.
	hostHeap struct {
		hosts []scoredHost
		scan  *hostScan
		// A shared heap has hosts without room for the step, too. Ranked replaces it for a step once it has met too many.
		shared bool
		ranked *hostHeap
	}

	// scoredHost is a host with its score at a version.
	scoredHost struct {
		host    *host
		score   float64
		version uint64
	}
)

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h *hostHeap) Len() int { return len(h.hosts) }

// Less puts the higher score first, and orders equal scores by worker id.
func (h *hostHeap) Less(i, j int) bool {
	if h.hosts[i].score != h.hosts[j].score {
		return h.hosts[i].score > h.hosts[j].score
	}
	return h.hosts[i].host.worker.ID < h.hosts[j].host.worker.ID
}

// Swap exchanges two hosts.
func (h *hostHeap) Swap(i, j int) { h.hosts[i], h.hosts[j] = h.hosts[j], h.hosts[i] }

// Push appends a host.
func (h *hostHeap) Push(entry any) { h.hosts = append(h.hosts, entry.(scoredHost)) }

// Pop removes the last host.
func (h *hostHeap) Pop() any {
	last := h.hosts[len(h.hosts)-1]
	h.hosts = h.hosts[:len(h.hosts)-1]
	return last
}

func equivalenceClassOf(queue *pimjob.Queue, step *pimjob.Step) equivalenceClass {
	class := equivalenceClass{
		service: queue.Service, requiredLabel: step.RequiredLabel, bestEffort: step.BestEffort,
	}
	if step.BestEffort {
		class.image = step.Image
	}
	return class
}

// contains reports whether the step is known to find no host. Starved jobs and long-running steps
// are always tried, as they may use hosts that others may not.
func (u unplaceable) contains(c candidate, step *pimjob.Step) bool {
	if c.starved || step.LongRunning {
		return false
	}
	for _, request := range u[equivalenceClassOf(&c.job.Queue, step)] {
		if step.Need.Fits(request) {
			return true
		}
	}
	return false
}

// progressInterval is the number of members of a gang after which Planner.onProgress is called.
const progressInterval = 256

// maxUnplaceableBestEffort is how many best-effort steps may find no host before a plan skips the
// rest.
const maxUnplaceableBestEffort = 40

func (u unplaceable) countBestEffort() int {
	count := 0
	for class, requests := range u {
		if class.bestEffort {
			count += len(requests)
		}
	}
	return count
}

// place starts the tasks of a step as far as hosts can take them.
func (p *Planner) place(c candidate, unplaced unplaceable, placements []placement, plan *Plan) []placement {
	p.onProgress()
	step := &c.job.Submission.Steps[c.key.step]
	quota := p.quotaOf(c.job)
	if p.isFull(plan) || !quota.admits(step.Need, 1) || unplaced.contains(c, step) ||
		(step.BestEffort && !c.starved && unplaced.countBestEffort() >= maxUnplaceableBestEffort) {
		return placements
	}
	if step.Gang {
		return p.placeGang(c, step, placements, plan)
	}
	c.tasks = c.tasks[:min(len(c.tasks), p.startLimit-len(plan.Starts))]
	if c, placements = p.placeSuspects(c, step, placements, plan); len(c.tasks) == 0 {
		return placements
	}
	if p.waits.appliesTo(step) && !c.starved {
		return p.placeNear(c, step, unplaced, placements, plan)
	}
	ranked := p.rankShared(c, step)
	// A step that has reached MaxPerWorker everywhere tells nothing about others of its class.
	if !p.hasHost(ranked) && step.MaxPerWorker == 0 && !c.starved {
		class := equivalenceClassOf(&c.job.Queue, step)
		unplaced[class] = append(unplaced[class], step.Need)
		return placements
	}
	for _, index := range c.tasks {
		key := c.taskKey(index)
		if !quota.admits(step.Need, 1) {
			return placements
		}
		h := p.takeBestHost(c, step, key, ranked)
		if h == nil {
			return placements
		}
		quota.add(step.Need, 1)
		placements = p.start(c, step, index, h, placements, plan)
		if c.starved {
			// One run ends the starvation; the other tasks wait for a better host.
			c.starved = false
			ranked = p.rankHosts(c, step, "")
		}
	}
	return placements
}

// start adds the start of a task on a host to the plan.
func (p *Planner) start(
	c candidate, step *pimjob.Step, index int, h *host, placements []placement, plan *Plan,
) []placement {
	key := c.taskKey(index)
	p.onPlaced(c, step, key, step.PreferredLabel != "" && h.worker.HasLabel(step.PreferredLabel), plan)
	number := c.job.Occurrences[c.key.occurrence].Steps[c.key.step].Tasks[index].LastRun + 1
	plan.Starts = append(plan.Starts, pimjob.Start{
		Key: key, Number: number, Worker: h.worker.ID, Generation: h.worker.Generation,
	})
	return append(placements, placement{h, key, step})
}

func (c *candidate) taskKey(index int) pimjob.TaskKey {
	return pimjob.TaskKey{Job: c.key.job, Occurrence: c.key.occurrence, Step: c.key.step, Index: index}
}

// placeGang starts all tasks of a step or none, on a single rack if the step asks for it and one can
// take them.
func (p *Planner) placeGang(c candidate, step *pimjob.Step, placements []placement, plan *Plan) []placement {
	quota := p.quotaOf(c.job)
	if !quota.admits(step.Need, len(c.tasks)) {
		return placements
	}
	reserved, count := step.Reserved(), int64(len(c.tasks))
	together := pimjob.Resources{
		Millicores: count * reserved.Millicores, MemoryMB: count * reserved.MemoryMB, GPUs: count * reserved.GPUs,
	}
	if pool := p.index.pools[c.job.Queue.Service]; pool == nil || !pool.total.Fits(together) {
		return placements
	}
	var racks []string
	if step.SameRack {
		racks = p.hostTopology().racks
	}
	state := &c.job.Occurrences[c.key.occurrence].Steps[c.key.step]
	// All members get the same run number, by which their failures are counted once.
	number := 0
	for i := range state.Tasks {
		number = max(number, state.Tasks[i].LastRun+1)
	}
	for i := range len(racks) + 1 {
		var ranked *hostHeap
		if i == len(racks) {
			ranked = p.rankHosts(c, step, "")
		} else if !p.hostTopology().byRack[racks[i]].free.Fits(together) {
			continue
		} else {
			ranked = p.rankHosts(c, step, racks[i])
		}
		var chosen []placement
		for i, index := range c.tasks {
			if i%progressInterval == 0 {
				p.onProgress()
			}
			if h := p.takeBestHost(c, step, c.taskKey(index), ranked); h != nil {
				chosen = append(chosen, placement{h, c.taskKey(index), step})
			}
		}
		if len(chosen) < len(c.tasks) {
			for _, member := range chosen {
				member.host.remove(member.key, step)
			}
			continue
		}
		if p.gangWaits(c, step, chosen, plan) {
			return placements
		}
		quota.add(step.Need, len(chosen))
		near := isGangNear(step, chosen)
		for _, member := range chosen {
			p.onPlaced(c, step, member.key, near, plan)
		}
		for _, member := range chosen {
			plan.Starts = append(plan.Starts, pimjob.Start{
				Key: member.key, Number: number, Worker: member.host.worker.ID,
				Generation: member.host.worker.Generation,
			})
		}
		return append(placements, chosen...)
	}
	return placements
}

// rankHosts returns the hosts that can take a task of the step. A rack other than "" limits them to
// that rack.
func (p *Planner) rankHosts(c candidate, step *pimjob.Step, rack string) *hostHeap {
	if rack != "" {
		return p.rank(c, step, p.hostTopology().byRack[rack].hosts, nil)
	}
	return p.rankPool(c, step, nil)
}

// rank returns those of the hosts that can take a task of the step and that the filter, if there is one, includes.
func (p *Planner) rank(c candidate, step *pimjob.Step, hosts []*host, includes func(h *host) bool) *hostHeap {
	ranked := &hostHeap{}
	for _, h := range hosts {
		if !p.mayRunOn(c.job, step, h) || (includes != nil && !includes(h)) {
			continue
		}
		if score, ok := p.score(c, step, h); ok {
			ranked.hosts = append(ranked.hosts, scoredHost{h, score, h.version})
		}
	}
	heap.Init(ranked)
	return ranked
}

// mayRunOn reports whether a host may get new runs and is of the kind that the step needs.
func (p *Planner) mayRunOn(job *pimjob.Job, step *pimjob.Step, h *host) bool {
	p.refreshHost(h)
	return h.schedulable && !h.reserved && h.worker.Service == job.Queue.Service && h.worker.HasLabel(step.RequiredLabel)
}

// takeBestHost assigns a task to the best host and returns it, or nil. A host on which the task
// failed or was slow is taken only if no other can take it.
func (p *Planner) takeBestHost(c candidate, step *pimjob.Step, key pimjob.TaskKey, ranked *hostHeap) *host {
	if ranked.ranked != nil {
		ranked = ranked.ranked
	}
	var skipped, misfits []scoredHost
	var found *host
	unsuitable := p.unsuitable(key)
	for found == nil && p.hasHost(ranked) {
		if ranked.shared && len(skipped)+len(misfits) == maxMisfits {
			ranked.putBack(append(skipped, misfits...))
			ranked.ranked = p.rankHosts(c, step, "")
			return p.takeBestHost(c, step, key, ranked)
		}
		entry := heap.Pop(ranked).(scoredHost)
		if ranked.shared && !entry.host.free.Fits(step.Reserved()) {
			misfits = append(misfits, entry)
			continue
		}
		if slices.Contains(unsuitable, entry.host.worker.ID) {
			skipped = append(skipped, entry)
			continue
		}
		found = entry.host
	}
	if found == nil && len(skipped) > 0 {
		found = skipped[0].host
		skipped = skipped[1:]
	}
	ranked.putBack(skipped)
	ranked.putBack(misfits)
	if found == nil {
		return nil
	}
	found.lastStartAt = p.index.now
	found.add(key, step)
	if score, ok := p.score(c, step, found); ok {
		heap.Push(ranked, scoredHost{found, score, found.version})
		if changed := found.pool.changed; ranked.shared && len(changed) > 0 {
			// The heap has the new score already.
			found.pool.changed = changed[:len(changed)-1]
		}
	}
	return found
}

func (h *hostHeap) putBack(entries []scoredHost) {
	for _, entry := range entries {
		heap.Push(h, entry)
	}
}
