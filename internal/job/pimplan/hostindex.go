package pimplan

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// hostIndex finds hosts by their free capacity. It follows each change of a host, so that a plan needs no pass over all
	// hosts. Its pools are rebuilt in the first plan after a host was added or removed.
	hostIndex struct {
		// sorted holds all hosts, sorted by id.
		sorted []*host
		pools  map[string]*hostPool
		// isStale means that hosts were added, removed or moved to another service since the pools were built.
		isStale bool
		// known is the capacity of all hosts, schedulable that of the schedulable hosts.
		known, schedulable pimjob.Resources
		// smallest is the least that any host has of each resource, if isSmallestKnown.
		smallest        pimjob.Resources
		isSmallestKnown bool
		// unavailable are the hosts that the pools leave out, in no particular order.
		unavailable []*host
		reserved    []*host
		// plans counts the plans, now is the time of the current one.
		plans uint64
		now   time.Duration
		// nextCheck is the position in sorted of the host that is checked next without need.
		nextCheck int
	}

	// hostPool holds the hosts of one service in a tree in which each node has the largest room of the hosts below it.
	hostPool struct {
		hosts []*host
		// levels holds the nodes. Each node has poolFanOut children in the level below, levels[0] has one for each host.
		levels [][]room
		// offset is where the next sample of hosts begins.
		offset int
		// free is the free capacity of the schedulable hosts that are not backing off, total at least what all
		// hosts can take together.
		free, total pimjob.Resources
		// byScore ranks the available hosts for all steps whose scores depend on nothing but the host, see rankShared. It is
		// nil until it is needed. Changed lists the hosts that have changed since it was used last.
		byScore *hostHeap
		changed []*host
	}

	// room is what a host can still take, or the least that a step needs to fit.
	room struct {
		millicores, memoryMB, gpus int64
		// idleMillicores is the processor time that best-effort tasks may use.
		idleMillicores int64
	}
)

const (
	// poolFanOut makes three levels of 3,000 hosts, and an update of a host compare 48 nodes.
	poolFanOut = 16
	// maxExactHosts is the number of hosts up to which all hosts with room are ranked. Above it, sampledHosts of them are.
	maxExactHosts = 600
	// sampledHosts is how many hosts with room are ranked for a step on a larger deployment. Best-effort steps rank more:
	// with 128 of 3,000 hosts, serving tasks were over their targets for four times as long as with all hosts.
	sampledHosts           = 128
	sampledBestEffortHosts = 256
	// checkedHosts is how many available hosts a plan of a larger deployment checks without need, so that the totals of
	// free capacity follow within about 12 plans at 3,000 hosts.
	checkedHosts = 256
)

const (
	// maxHeapEntries is the number of entries for each host, of which all but one are outdated, from which hostPool.byScore
	// is built anew.
	maxHeapEntries = 4
	// maxMisfits is how many of the best hosts may be unfit for a task before the hosts with room are ranked instead.
	maxMisfits = 16
)

// noRoom is the room of a host that is not available.
var noRoom = room{math.MinInt64, math.MinInt64, math.MinInt64, math.MinInt64}

// fits reports whether a step with a need may fit.
func (r *room) fits(need *room) bool {
	return need.millicores <= r.millicores && need.memoryMB <= r.memoryMB && need.gpus <= r.gpus &&
		need.idleMillicores <= r.idleMillicores
}

// raise raises each amount to that of other, if that is larger.
func (r *room) raise(other *room) {
	r.millicores = max(r.millicores, other.millicores)
	r.memoryMB = max(r.memoryMB, other.memoryMB)
	r.gpus = max(r.gpus, other.gpus)
	r.idleMillicores = max(r.idleMillicores, other.idleMillicores)
}

// neededRoom returns the room without which score rejects a host for the step.
func neededRoom(step *pimjob.Step, starved bool) room {
	reserved := step.Reserved()
	need := room{reserved.Millicores, reserved.MemoryMB, reserved.GPUs, math.MinInt64}
	if step.BestEffort && !starved {
		need.idleMillicores = int64(math.Floor(minIdleShare * float64(step.Need.Millicores)))
	}
	return need
}

// isAvailable reports whether the host is in the tree of its pool. Hosts that are backing off are left out, as they may get
// only tasks of starved jobs and of long-running steps.
func (h *host) isAvailable() bool { return h.schedulable && !h.backingOff && !h.reserved }

// room returns what an available host can still take, or noRoom.
func (h *host) room() room {
	if !h.isAvailable() {
		return noRoom
	}
	return room{h.free.Millicores, h.free.MemoryMB, h.free.GPUs, int64(math.Ceil(h.idleMillicores()))}
}

// add adds a host, or replaces that with the same id.
func (x *hostIndex) add(h *host) {
	at, found := x.find(h.worker.ID)
	if found {
		x.known = x.known.Minus(x.sorted[at].worker.Capacity)
		x.sorted[at] = h
	} else {
		x.sorted = slices.Insert(x.sorted, at, h)
	}
	x.known = x.known.Plus(h.worker.Capacity)
	x.isStale, x.isSmallestKnown = true, false
}

func (x *hostIndex) remove(id string) {
	if at, found := x.find(id); found {
		x.known = x.known.Minus(x.sorted[at].worker.Capacity)
		x.sorted = slices.Delete(x.sorted, at, at+1)
		x.isStale, x.isSmallestKnown = true, false
	}
}

func (x *hostIndex) find(id string) (int, bool) {
	return slices.BinarySearchFunc(x.sorted, id, func(h *host, id string) int { return strings.Compare(h.worker.ID, id) })
}

// isExact reports whether all hosts with room are ranked.
func (x *hostIndex) isExact() bool { return len(x.sorted) <= maxExactHosts }

// rebuild builds the pools and the totals from the hosts.
func (x *hostIndex) rebuild() {
	offsets := map[string]int{}
	for service, pool := range x.pools {
		offsets[service] = pool.offset
	}
	x.isStale, x.pools, x.schedulable = false, map[string]*hostPool{}, pimjob.Resources{}
	x.unavailable, x.reserved = x.unavailable[:0], x.reserved[:0]
	for _, h := range x.sorted {
		pool := x.pools[h.worker.Service]
		if pool == nil {
			pool = &hostPool{levels: [][]room{nil}}
			x.pools[h.worker.Service] = pool
		}
		h.pool, h.position, h.unavailableAt = pool, len(pool.hosts), -1
		pool.hosts, pool.levels[0] = append(pool.hosts, h), append(pool.levels[0], h.room())
		pool.count(h, 1)
		if h.schedulable {
			x.schedulable = x.schedulable.Plus(h.worker.Capacity)
		}
		if !h.isAvailable() {
			h.unavailableAt = len(x.unavailable)
			x.unavailable = append(x.unavailable, h)
		}
		if h.reserved {
			x.reserved = append(x.reserved, h)
		}
	}
	for service, pool := range x.pools {
		pool.offset = offsets[service] % len(pool.hosts)
		pool.buildLevels()
	}
}

// change changes a host and updates what depends on it.
func (x *hostIndex) change(h *host, apply func()) {
	wasAvailable, pool := h.isAvailable(), h.pool
	if pool == nil || x.isStale {
		apply()
		return
	}
	pool.count(h, -1)
	if h.schedulable {
		x.schedulable = x.schedulable.Minus(h.worker.Capacity)
	}
	apply()
	if h.schedulable {
		x.schedulable = x.schedulable.Plus(h.worker.Capacity)
	}
	pool.count(h, 1)
	pool.update(h)
	switch isAvailable := h.isAvailable(); {
	case wasAvailable && !isAvailable:
		h.unavailableAt = len(x.unavailable)
		x.unavailable = append(x.unavailable, h)
	case isAvailable && !wasAvailable:
		last := len(x.unavailable) - 1
		moved := x.unavailable[last]
		x.unavailable[h.unavailableAt], moved.unavailableAt = moved, h.unavailableAt
		x.unavailable, h.unavailableAt = x.unavailable[:last], -1
	}
}

// reserve keeps a host from the steps that follow in the current plan.
func (x *hostIndex) reserve(h *host) {
	x.change(h, func() { h.reserved = true })
	x.reserved = append(x.reserved, h)
}

// releaseReserved makes all reserved hosts available again.
func (x *hostIndex) releaseReserved() {
	for _, h := range x.reserved {
		x.change(h, func() { h.reserved = false })
	}
	x.reserved = x.reserved[:0]
}

// count adds the free capacity of a host to the totals, or with sign -1 subtracts it.
func (pool *hostPool) count(h *host, sign int64) {
	free := pimjob.Resources{Millicores: sign * h.free.Millicores, MemoryMB: sign * h.free.MemoryMB, GPUs: sign * h.free.GPUs}
	pool.total = pool.total.Plus(positive(h.free, sign))
	if h.schedulable && !h.backingOff {
		pool.free = pool.free.Plus(free)
	}
}

// buildLevels builds the inner nodes of the tree from its leaves.
func (pool *hostPool) buildLevels() {
	pool.levels = pool.levels[:1]
	for below := pool.levels[0]; len(below) > poolFanOut; {
		level := make([]room, (len(below)+poolFanOut-1)/poolFanOut)
		for i := range level {
			level[i] = largestRoom(below, i)
		}
		pool.levels = append(pool.levels, level)
		below = level
	}
}

// largestRoom returns the largest room of the children of a node, for each resource.
func largestRoom(below []room, node int) room {
	largest := noRoom
	for i := node * poolFanOut; i < min(len(below), (node+1)*poolFanOut); i++ {
		largest.raise(&below[i])
	}
	return largest
}

// update updates the nodes above a host up to the first that doesn't change.
func (pool *hostPool) update(h *host) {
	h.version++
	if pool.byScore != nil {
		pool.changed = append(pool.changed, h)
		if len(pool.changed)+pool.byScore.Len() > maxHeapEntries*len(pool.hosts) {
			pool.byScore, pool.changed = nil, pool.changed[:0]
		}
	}
	node, changed := h.position, h.room()
	for level := 0; pool.levels[level][node] != changed; {
		pool.levels[level][node] = changed
		if level++; level == len(pool.levels) {
			return
		}
		node /= poolFanOut
		changed = largestRoom(pool.levels[level-1], node)
	}
}

// next returns the first position from the given one on whose host has the room, or -1.
func (pool *hostPool) next(from int, need *room) int {
	level, node, top := 0, from, len(pool.levels)-1
	for node < len(pool.levels[level]) {
		switch {
		case pool.levels[level][node].fits(need):
			if level == 0 {
				return node
			}
			level, node = level-1, node*poolFanOut
			continue
		default:
			node++
		}
		for level < top && node%poolFanOut == 0 {
			level, node = level+1, node/poolFanOut
		}
	}
	return -1
}

// refresh updates which hosts may get new runs. On a large deployment it checks the hosts that could not get any, which are
// few, and some others. All others are checked when a plan is about to use them.
func (p *Planner) refreshHosts(now time.Duration) {
	x := &p.index
	x.plans++
	x.now = now
	if x.isStale {
		x.rebuild()
	}
	if x.isExact() {
		for _, h := range x.sorted {
			p.refreshHost(h)
		}
		return
	}
	// From the end, as a host that becomes available is replaced by the last one.
	for i := len(x.unavailable) - 1; i >= 0; i-- {
		p.refreshHost(x.unavailable[i])
	}
	for range checkedHosts {
		if x.nextCheck++; x.nextCheck >= len(x.sorted) {
			x.nextCheck = 0
		}
		p.refreshHost(x.sorted[x.nextCheck])
	}
}

// refreshHost updates whether a host may get new runs, once in each plan.
func (p *Planner) refreshHost(h *host) {
	if h.checkedIn == p.index.plans {
		return
	}
	h.checkedIn = p.index.plans
	if schedulable := p.isSchedulable(h, p.index.now); schedulable != h.schedulable {
		p.index.change(h, func() { h.schedulable = schedulable })
	}
}

// smallestCapacity returns the least that any host has of each resource.
func (x *hostIndex) smallestCapacity() pimjob.Resources {
	if x.isSmallestKnown {
		return x.smallest
	}
	var smallest pimjob.Resources
	for i, h := range x.sorted {
		if i == 0 {
			smallest = h.worker.Capacity
			continue
		}
		smallest = pimjob.Resources{
			Millicores: min(smallest.Millicores, h.worker.Capacity.Millicores),
			MemoryMB:   min(smallest.MemoryMB, h.worker.Capacity.MemoryMB),
			GPUs:       min(smallest.GPUs, h.worker.Capacity.GPUs),
		}
	}
	x.smallest, x.isSmallestKnown = smallest, true
	return smallest
}
