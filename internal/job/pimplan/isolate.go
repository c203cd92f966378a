package pimplan

import (
	"maps"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimcrash"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// isolation keeps the tasks that are suspected of crashing their hosts apart, so that the next crash tells which of them
	// was the cause. Another leader's planner begins without it: it lasts about as long as an election.
	isolation struct {
		// hosts holds the hosts with a suspect under observation, by id.
		hosts map[string]*isolatedHost
		// observedUntil is until when a suspect of a job is observed, by job.
		observedUntil map[string]time.Duration
		// heldSince is since when suspects of a job wait for the end of an observation, by job.
		heldSince map[string]time.Duration
	}

	// isolatedHost is a host on which suspects are observed. While it is closed, it gets no new runs.
	isolatedHost struct {
		observedUntil time.Duration
		closed        bool
	}
)

const (
	// A suspect is observed for minObservation and observedAges times its age at the last crash, but not for longer than
	// maxObservation.
	minObservation, maxObservation = 300 * time.Millisecond, 2 * time.Second
	observedAges                   = 1.5
	// minAgeDifference is how much older than a suspect the other runs on its host are, so that their ages tell them apart.
	minAgeDifference = 150 * time.Millisecond
	// maxHold is how long the suspects of a long-running step wait in all. Each of their tasks is owed a run 6 s after its
	// last one, of which two observations and the time until the crash shows are the smaller part. Source of the 6 s: the
	// platform's specification.
	maxHold = 2 * time.Second
	// maxClosedShare is the share of all hosts that may be closed at a time.
	maxClosedShare = 0.1
)

func newIsolation() isolation {
	return isolation{hosts: map[string]*isolatedHost{}, observedUntil: map[string]time.Duration{}, heldSince: map[string]time.Duration{}}
}

// mayHold reports whether suspects of a step may wait until another one of their job has been observed. For those that run
// on and on, the wait is limited, however many there are.
func (i *isolation) mayHold(job string, step *pimjob.Step, now time.Duration) bool {
	if now >= i.observedUntil[job] {
		return false
	}
	if _, ok := i.heldSince[job]; !ok {
		i.heldSince[job] = now
	}
	return !step.LongRunning || now < i.heldSince[job]+maxHold
}

func (p *Planner) isSuspect(key pimjob.TaskKey) bool {
	task, _, _ := p.state.Task(key)
	return task != nil && task.Crash.IsSuspect()
}

// observe records that a suspect starts on a host and returns the host's entry.
func (i *isolation) observe(host string, suspect *pimcrash.Record, now time.Duration) *isolatedHost {
	isolated := i.hosts[host]
	if isolated == nil {
		isolated = &isolatedHost{}
		i.hosts[host] = isolated
	}
	observation := minObservation + time.Duration(observedAges*float64(suspect.Age))
	isolated.observedUntil = max(isolated.observedUntil, now+min(maxObservation, observation))
	return isolated
}

// isClosed reports whether a host gets no new runs because a suspect on it is observed.
func (i *isolation) isClosed(host string, now time.Duration) bool {
	isolated := i.hosts[host]
	return isolated != nil && isolated.closed && now < isolated.observedUntil
}

// countClosed returns how many hosts are closed.
func (i *isolation) countClosed() int {
	count := 0
	for _, isolated := range i.hosts {
		if isolated.closed {
			count++
		}
	}
	return count
}

// refresh ends the observations that have lasted long enough.
func (i *isolation) refresh(now time.Duration) {
	maps.DeleteFunc(i.hosts, func(_ string, isolated *isolatedHost) bool { return now >= isolated.observedUntil })
	maps.DeleteFunc(i.observedUntil, func(_ string, until time.Duration) bool { return now >= until })
}

// placeSuspects starts the suspects among the tasks of a step, one of a job at a time as long as they may be held, on hosts
// without others, and removes them from the candidate. Those for which there is no such host stay in it.
func (p *Planner) placeSuspects(c candidate, step *pimjob.Step, placements []placement, plan *Plan) (candidate, []placement) {
	if !c.hasSuspects {
		return c, placements
	}
	others := make([]int, 0, len(c.tasks))
	held := false
	for _, index := range c.tasks {
		key := c.taskKey(index)
		switch {
		case !p.isSuspect(key):
			others = append(others, index)
		case !c.starved && p.isolation.mayHold(key.Job, step, p.index.now):
			held = true
		default:
			h := p.placeSuspect(c, step, key)
			if h == nil {
				others = append(others, index)
				continue
			}
			placements = p.start(c, step, index, h, placements, plan)
			c.starved = false
		}
	}
	if !held {
		delete(p.isolation.heldSince, c.key.job)
	}
	c.tasks = others
	return c, placements
}

// placeSuspect assigns a suspect to the best host without others, closes the host for a time and returns it, or nil.
func (p *Planner) placeSuspect(c candidate, step *pimjob.Step, key pimjob.TaskKey) *host {
	quota := p.quotaOf(c.job)
	if !quota.admits(step.Need, 1) {
		return nil
	}
	h := p.takeBestHost(c, step, key, p.rankPool(c, step, func(h *host) bool {
		return p.isolation.hosts[h.worker.ID] == nil && p.index.now >= h.lastStartAt+minAgeDifference
	}))
	if h == nil {
		return nil
	}
	quota.add(step.Need, 1)
	task, _, _ := p.state.Task(key)
	closed := p.isolation.countClosed()
	isolated := p.isolation.observe(h.worker.ID, task.Crash, p.index.now)
	p.isolation.observedUntil[key.Job] = isolated.observedUntil
	if closed < max(1, int(maxClosedShare*float64(len(p.index.sorted)))) {
		isolated.closed = true
		p.index.change(h, func() { h.schedulable = false })
	}
	return h
}
