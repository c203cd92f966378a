// Package pimwitness records what the stand-ins really did, apart from what the
// system says of itself: which request ran how often, which task ran where and when.
package pimwitness

import (
	"sync"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
)

type (
	// Start is one start of a task.
	Start struct {
		Task   pimconfig.TaskID
		Domain string
		At     time.Time
	}

	// Witness collects from all stand-ins of one process.
	Witness struct {
		mutex             sync.Mutex
		executions        map[string]int
		idempotent        map[string]bool
		active            map[pimconfig.TaskID]int
		finished          map[pimconfig.TaskID]int
		starts            []Start
		overlappingStarts int
		slotsExceeded     int
		evictions         int
	}

	// Counts is a summary.
	Counts struct {
		Executions          int `json:"executions"`
		DuplicateExecutions int `json:"doubled"`
		OverlappingStarts   int `json:"tasks-in-two-places"`
		FinishedTwice       int `json:"tasks-finished-twice"`
		SlotsExceeded       int `json:"slots-exceeded"`
		Starts              int `json:"task-starts"`
		Finished            int `json:"tasks-finished"`
		Evictions           int `json:"evictions"`
	}
)

// NewWitness returns an empty witness.
func NewWitness() *Witness {
	return &Witness{
		executions: map[string]int{},
		idempotent: map[string]bool{},
		active:     map[pimconfig.TaskID]int{},
		finished:   map[pimconfig.TaskID]int{},
	}
}

// RecordExecution records that an endpoint ran a request.
func (w *Witness) RecordExecution(requestID string, idempotent bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.executions[requestID]++
	w.idempotent[requestID] = idempotent
}

// ExecutionCount returns how often a request was run.
func (w *Witness) ExecutionCount(requestID string) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.executions[requestID]
}

// RecordSlotsExceeded records that an endpoint was sent more than its slots.
func (w *Witness) RecordSlotsExceeded() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.slotsExceeded++
}

// RecordStart records the start of a task.
func (w *Witness) RecordStart(task pimconfig.TaskID, domain string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.active[task]++
	if w.active[task] > 1 {
		w.overlappingStarts++
	}
	w.starts = append(w.starts, Start{Task: task, Domain: domain, At: time.Now()})
}

// RecordEnd records that a started task no longer runs.
func (w *Witness) RecordEnd(task pimconfig.TaskID, finished, evicted bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.active[task]--
	if finished {
		w.finished[task]++
	}
	if evicted {
		w.evictions++
	}
}

// StartsIn counts the starts in a failure domain within a span of time.
func (w *Witness) StartsIn(domain string, from, to time.Time) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	count := 0
	for _, start := range w.starts {
		if start.Domain == domain && start.At.After(from) && start.At.Before(to) {
			count++
		}
	}
	return count
}

// Counts returns the summary.
func (w *Witness) Counts() Counts {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	counts := Counts{
		Executions:        len(w.executions),
		OverlappingStarts: w.overlappingStarts,
		SlotsExceeded:     w.slotsExceeded,
		Starts:            len(w.starts),
		Finished:          len(w.finished),
		Evictions:         w.evictions,
	}
	for id, count := range w.executions {
		if count > 1 && !w.idempotent[id] {
			counts.DuplicateExecutions++
		}
	}
	for _, count := range w.finished {
		if count > 1 {
			counts.FinishedTwice++
		}
	}
	return counts
}
