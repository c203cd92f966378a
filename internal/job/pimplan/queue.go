package pimplan

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

type (
	// candidateQueue keeps the steps with tasks to start in the order that does not depend on the time: by priority, due
	// time, job and position in the job. A plan merges what has changed into it.
	candidateQueue struct {
		entries []queueEntry
		added   []queueEntry
		// isStale means that entries has some of stale jobs.
		isStale bool
		// scheduled holds the jobs with occurrences to come.
		scheduled map[string]*waitingJob
		// merged and byUrgency are kept for their memory.
		merged    []queueEntry
		byUrgency [tooLate + 1][]candidate
		ordered   []candidate
	}

	// queueEntry is a candidate of a job, by its position there.
	queueEntry struct {
		waiting *waitingJob
		index   int
	}
)

func newCandidateQueue() candidateQueue { return candidateQueue{scheduled: map[string]*waitingJob{}} }

func (e queueEntry) candidate() *candidate { return &e.waiting.candidates[e.index] }

// compareEntries gives the order of a candidateQueue.
func compareEntries(e, other queueEntry) int {
	a, b := e.candidate(), other.candidate()
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.deadlines.due, b.deadlines.due),
		strings.Compare(a.key.job, b.key.job), cmp.Compare(e.index, other.index))
}

// replace replaces the entry of a job. Known and waiting may be nil.
func (q *candidateQueue) replace(id string, known, waiting *waitingJob) {
	if known != nil {
		known.isStale, q.isStale = true, true
		delete(q.scheduled, id)
	}
	if waiting == nil {
		return
	}
	for i := range waiting.candidates {
		q.added = append(q.added, queueEntry{waiting, i})
	}
	if waiting.nextDue != 0 {
		q.scheduled[id] = waiting
	}
}

// update removes stale entries and merges the added ones.
func (q *candidateQueue) update() {
	isStale := func(entry queueEntry) bool { return entry.waiting.isStale }
	if q.isStale {
		q.entries, q.isStale = slices.DeleteFunc(q.entries, isStale), false
		q.added = slices.DeleteFunc(q.added, isStale)
	}
	if len(q.added) == 0 {
		return
	}
	slices.SortFunc(q.added, compareEntries)
	merged, next := q.merged[:0], 0
	for _, entry := range q.entries {
		for next < len(q.added) && compareEntries(q.added[next], entry) < 0 {
			merged = append(merged, q.added[next])
			next++
		}
		merged = append(merged, entry)
	}
	merged = append(merged, q.added[next:]...)
	q.entries, q.merged = merged, q.entries
	clear(q.merged)
	clear(q.added)
	q.added = q.added[:0]
}

// candidates returns the steps with tasks to start, the most urgent first. The result is valid until the next call.
func (p *Planner) candidates(now time.Duration, wallClock int64, plan *Plan) []candidate {
	q := &p.queue
	q.update()
	for id, waiting := range q.scheduled {
		if now >= p.pausedUntil[id] && (plan.NextDue == 0 || waiting.nextDue < plan.NextDue) {
			plan.NextDue = waiting.nextDue
		}
	}
	q.ordered = q.ordered[:0]
	for i, entry := range q.entries {
		c := entry.candidate()
		if i > 0 && c.priority != q.entries[i-1].candidate().priority {
			q.orderByUrgency()
		}
		if len(p.pausedUntil) > 0 && now < p.pausedUntil[c.key.job] {
			continue
		}
		urgent := canBeOnTime
		if p.uses(UrgencyOrder) {
			urgent = c.deadlines.urgencyAt(wallClock)
		}
		q.byUrgency[urgent] = append(q.byUrgency[urgent], *c)
		added := &q.byUrgency[urgent][len(q.byUrgency[urgent])-1]
		added.urgency = urgent
		added.starved = entry.waiting.idleSince != 0 && now-entry.waiting.idleSince >= starvedAfter
	}
	q.orderByUrgency()
	return q.ordered
}

// orderByUrgency appends the candidates of one priority to the result.
func (q *candidateQueue) orderByUrgency() {
	for i := range q.byUrgency {
		q.ordered = append(q.ordered, q.byUrgency[i]...)
		clear(q.byUrgency[i])
		q.byUrgency[i] = q.byUrgency[i][:0]
	}
}
