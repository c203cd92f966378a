// Package pimqueue is a fair queue: strict priority between classes, but with a minimum
// share for the lowest, and start-time fair queueing by team weight within a class.
package pimqueue

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"
)

type (
	// Item is a waiting request. Weight is its team's share and must be positive. A higher
	// Priority goes first.
	Item struct {
		Key       string
		Team      string
		Weight    int
		Priority  int
		Deadline  time.Duration
		ArrivedAt time.Duration
	}

	// Queue holds items by priority and team. Every LowestClassInterval-th Pop takes from the
	// lowest class that has items, so that no class starves.
	Queue struct {
		classes map[int]*class
		length  int
		pops    int
	}

	// class holds the items of one priority. Each item taken adds 1/weight to the start tag
	// of its team; the team with the lowest start tag is served next. The finish tag of a
	// team without items is kept while it is ahead of virtualTime, so that a team gains
	// nothing by leaving the queue and coming back.
	class struct {
		teams       map[string]*teamQueue
		byStartTag  teamHeap
		finishTags  map[string]float64
		virtualTime float64
	}

	// teamQueue holds the items of one team in order of arrival.
	teamQueue struct {
		team      string
		items     []Item
		startTag  float64
		heapIndex int
	}

	// teamHeap orders the teams of a class by start tag, then by name.
	teamHeap []*teamQueue
)

// LowestClassInterval is the number of pops of which one takes from the lowest class.
const LowestClassInterval = 8

// maxFinishTags is the number of finish tags in a class above which those that
// virtualTime has reached are deleted.
const maxFinishTags = 1024

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{classes: map[int]*class{}} }

// Len returns the number of items.
func (q *Queue) Len() int { return q.length }

// LenAtLeast returns the number of items of the given priority or a higher one.
func (q *Queue) LenAtLeast(priority int) int {
	count := 0
	for p, c := range q.classes {
		if p < priority {
			continue
		}
		for _, t := range c.teams {
			count += len(t.items)
		}
	}
	return count
}

// Push adds an item.
func (q *Queue) Push(item Item) {
	c := q.classes[item.Priority]
	if c == nil {
		c = &class{teams: map[string]*teamQueue{}, finishTags: map[string]float64{}}
		q.classes[item.Priority] = c
	}
	t := c.teams[item.Team]
	if t == nil {
		t = &teamQueue{team: item.Team, startTag: max(c.virtualTime, c.finishTags[item.Team])}
		delete(c.finishTags, item.Team)
		c.teams[item.Team] = t
		heap.Push(&c.byStartTag, t)
	}
	t.items = append(t.items, item)
	q.length++
}

// Pop removes and returns the next item, or false if the queue is empty.
func (q *Queue) Pop() (Item, bool) {
	if q.length == 0 {
		return Item{}, false
	}
	q.pops++
	q.length--
	return q.nextClass(q.pops%LowestClassInterval == 0).pop(), true
}

// nextClass returns the highest class that has items or, if lowest is true, the lowest one.
func (q *Queue) nextClass(lowest bool) *class {
	var best *class
	bestPriority := 0
	for priority, c := range q.classes {
		better := best == nil || (priority > bestPriority) != lowest
		if len(c.teams) > 0 && better {
			best, bestPriority = c, priority
		}
	}
	return best
}

// pop takes the first item of the team with the lowest start tag.
func (c *class) pop() Item {
	t := c.byStartTag[0]
	item := t.items[0]
	t.items = t.items[1:]
	c.virtualTime = max(c.virtualTime, t.startTag)
	t.startTag += 1 / float64(max(item.Weight, 1))
	if len(t.items) == 0 {
		c.retire(t)
	} else {
		heap.Fix(&c.byStartTag, t.heapIndex)
	}
	return item
}

// retire removes a team without items and keeps its finish tag.
func (c *class) retire(t *teamQueue) {
	c.finishTags[t.team] = t.startTag
	delete(c.teams, t.team)
	heap.Remove(&c.byStartTag, t.heapIndex)
	if len(c.finishTags) > maxFinishTags {
		maps.DeleteFunc(c.finishTags, func(_ string, finish float64) bool { return finish <= c.virtualTime })
	}
}

// Remove removes and returns the items for which drop is true.
func (q *Queue) Remove(drop func(Item) bool) []Item {
	var dropped []Item
	for _, priority := range slices.Sorted(maps.Keys(q.classes)) {
		c := q.classes[priority]
		for _, team := range slices.Sorted(maps.Keys(c.teams)) {
			dropped = append(dropped, c.teams[team].remove(drop)...)
			if len(c.teams[team].items) == 0 {
				c.retire(c.teams[team])
			}
		}
	}
	q.length -= len(dropped)
	return dropped
}

// remove removes and returns the items for which drop is true.
func (t *teamQueue) remove(drop func(Item) bool) []Item {
	var dropped []Item
	t.items = slices.DeleteFunc(t.items, func(item Item) bool {
		if !drop(item) {
			return false
		}
		dropped = append(dropped, item)
		return true
	})
	return dropped
}

// Len is part of heap.Interface.
func (h teamHeap) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h teamHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].startTag, h[j].startTag), cmp.Compare(h[i].team, h[j].team)) < 0
}

// Swap is part of heap.Interface.
func (h teamHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push is part of heap.Interface.
func (h *teamHeap) Push(x any) {
	t := x.(*teamQueue)
	t.heapIndex = len(*h)
	*h = append(*h, t)
}

// Pop is part of heap.Interface.
func (h *teamHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
