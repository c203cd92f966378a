package pimplan

import (
	"container/heap"
	"math"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// hostScan finds the hosts that can take a task of a step, in stages. On a deployment of up to maxExactHosts it finds all
	// at once. On a larger one it stops when it has found enough of them and goes on when these are used up, so that a task
	// never waits while a host can take it.
	hostScan struct {
		c        candidate
		step     *pimjob.Step
		includes func(h *host) bool
		stage    scanStage
		// afterProbed is the stage that follows scanProbed.
		afterProbed scanStage
		need        room
		// preferred are the hosts with the preferred label of the step if they are scanned first.
		preferred []*host
		// position is where the scan of the pool goes on, and end where it stops. It begins at start and wraps.
		position, start, end int
	}

	// scanStage is the group of hosts that a scan considers next. The stages follow each other in the order of the
	// constants; scanPreferred may be left out.
	scanStage int
)

const (
	scanProbed scanStage = iota
	scanPreferred
	scanPool
	scanUnavailable
	scanEnded
)

// rankPool returns the hosts that can take a task of the step and that the filter, if there is one, includes.
func (p *Planner) rankPool(c candidate, step *pimjob.Step, includes func(h *host) bool) *hostHeap {
	ranked := &hostHeap{}
	pool := p.index.pools[c.job.Queue.Service]
	if pool == nil {
		return ranked
	}
	scan := &hostScan{
		c: c, step: step, includes: includes, need: neededRoom(step, c.starved), afterProbed: scanPool, end: len(pool.hosts),
	}
	if !p.index.isExact() {
		scan.position, scan.start = pool.offset, pool.offset
		if preferred := p.hostTopology().byLabel[step.PreferredLabel]; includes == nil && step.PreferredLabel != "" &&
			len(preferred) <= maxPreferredHosts {
			scan.afterProbed, scan.preferred = scanPreferred, preferred
		}
	}
	ranked.scan = scan
	p.hasHost(ranked)
	return ranked
}

// rankShared returns the hosts that can take a task of the step. If its scores depend on nothing but the host, it returns
// a heap that all such steps share and that is kept from plan to plan; the hosts that have changed since its last use are
// added with their new scores.
func (p *Planner) rankShared(c candidate, step *pimjob.Step) *hostHeap {
	pool := p.index.pools[c.job.Queue.Service]
	if pool == nil || step.BestEffort || step.TargetLatency > 0 || step.LongRunning || step.MaxPerWorker > 0 ||
		step.RequiredLabel != "" || step.PreferredLabel != "" || c.starved || len(p.probedHosts) > 0 {
		return p.rankHosts(c, step, "")
	}
	need := neededRoom(step, false)
	if !p.hasRoom(pool, &need) {
		return &hostHeap{}
	}
	changed := pool.changed
	if pool.byScore == nil {
		pool.byScore, changed = &hostHeap{shared: true}, pool.hosts
	}
	pool.byScore.ranked = nil
	for _, h := range changed {
		if h.isAvailable() {
			score, _ := p.score(c, &pimjob.Step{}, h)
			pool.byScore.hosts = append(pool.byScore.hosts, scoredHost{h, score, h.version})
			heap.Fix(pool.byScore, pool.byScore.Len()-1)
		}
	}
	pool.changed = pool.changed[:0]
	return pool.byScore
}

// hasRoom reports whether an available host of the pool has the room.
func (p *Planner) hasRoom(pool *hostPool, need *room) bool {
	for position := pool.next(0, need); position >= 0; position = pool.next(position+1, need) {
		if p.refreshHost(pool.hosts[position]); pool.hosts[position].isAvailable() {
			return true
		}
	}
	return false
}

// rankPreferred returns the hosts with the preferred label of the step that can take a task of it.
func (p *Planner) rankPreferred(c candidate, step *pimjob.Step, isPreferred func(h *host) bool) *hostHeap {
	hosts := p.hostTopology().byLabel[step.PreferredLabel]
	if p.index.isExact() || len(hosts) <= maxPreferredHosts {
		return p.rank(c, step, hosts, nil)
	}
	return p.rankPool(c, step, isPreferred)
}

// hasHost reports whether the heap has a host, after it has scanned for more if it is empty.
func (p *Planner) hasHost(ranked *hostHeap) bool {
	for ranked.Len() > 0 {
		best := &ranked.hosts[0]
		if p.refreshHost(best.host); best.version == best.host.version {
			break
		}
		heap.Pop(ranked)
	}
	scan := ranked.scan
	if ranked.Len() > 0 || scan == nil || scan.stage == scanEnded {
		return ranked.Len() > 0
	}
	for scan.stage < scanEnded && (ranked.Len() == 0 || p.index.isExact()) {
		switch scan.stage {
		case scanProbed:
			for _, h := range p.probedHosts {
				if p.refreshHost(h); !scan.c.starved && !scan.step.LongRunning && h.probed {
					p.rankHost(ranked, h)
				}
			}
			scan.stage = scan.afterProbed
		case scanPreferred:
			for _, h := range scan.preferred {
				if p.refreshHost(h); !h.backingOff {
					p.rankHost(ranked, h)
				}
			}
			scan.stage = scanPool
		case scanPool:
			p.scanPool(ranked)
		case scanUnavailable:
			// Only these may get tasks on hosts that are backing off.
			if scan.c.starved || scan.step.LongRunning {
				for _, h := range p.index.unavailable {
					p.rankHost(ranked, h)
				}
			}
			scan.stage = scanEnded
		case scanEnded:
		}
	}
	heap.Init(ranked)
	return ranked.Len() > 0
}

// rankHost adds a host to the heap if it can take a task of the step.
func (p *Planner) rankHost(ranked *hostHeap, h *host) {
	scan := ranked.scan
	if !p.mayRunOn(scan.c.job, scan.step, h) || (scan.includes != nil && !scan.includes(h)) {
		return
	}
	if score, ok := p.score(scan.c, scan.step, h); ok {
		ranked.hosts = append(ranked.hosts, scoredHost{h, score, h.version})
	}
}

// scanPool adds hosts of the step's service with room until there are enough, and ends the stage if there are no more.
func (p *Planner) scanPool(ranked *hostHeap) {
	scan, pool := ranked.scan, p.index.pools[ranked.scan.c.job.Queue.Service]
	enough := sampledHosts
	if scan.step.BestEffort {
		enough = sampledBestEffortHosts
	}
	if p.index.isExact() {
		enough = math.MaxInt
	}
	for ranked.Len() < enough {
		position := pool.next(scan.position, &scan.need)
		if position < 0 || position >= scan.end {
			if scan.start == 0 || scan.end == scan.start {
				scan.stage = scanUnavailable
				return
			}
			scan.position, scan.end = 0, scan.start
			continue
		}
		scan.position = position + 1
		h := pool.hosts[position]
		// A host that this check finds to be backing off is left to the last stage.
		if p.refreshHost(h); h.isAvailable() && (scan.preferred == nil || !h.worker.HasLabel(scan.step.PreferredLabel)) {
			p.rankHost(ranked, h)
		}
	}
	pool.offset = scan.position % len(pool.hosts)
}

// eachWithRoom calls visit with the available hosts that have the room for a task of the step until it returns false.
func (p *Planner) eachWithRoom(job *pimjob.Job, step *pimjob.Step, visit func(h *host) bool) {
	pool := p.index.pools[job.Queue.Service]
	if pool == nil {
		return
	}
	need := neededRoom(step, false)
	for position := pool.next(0, &need); position >= 0; position = pool.next(position+1, &need) {
		h := pool.hosts[position]
		if p.mayRunOn(job, step, h) && h.isAvailable() && !visit(h) {
			return
		}
	}
}
