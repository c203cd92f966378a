// Package pimwitness records what the simulated endpoints and workers executed: how often each request ran,
// and where and when each task ran. The record does not depend on what the system reports, so that the two
// can be compared.
package pimwitness

import (
	"sync"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
)

type (
	// Start is one start of a task on a worker in a failure domain.
	Start struct {
		Task   pimconfig.TaskID
		Domain string
		At     time.Time
	}

	// Witness collects the executions of all simulated endpoints and workers of one process. It is safe for
	// concurrent use.
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

	// Counts summarizes the record. Executions and Finished count distinct requests and tasks.
	// DuplicateExecutions counts non-idempotent requests that ran more than once, OverlappingStarts the starts
	// of a task that was already running, FinishedTwice the tasks that finished more than once, and
	// SlotsExceeded the requests that an endpoint refused because all its slots were in use.
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

// NewWitness returns a witness without records.
func NewWitness() *Witness {
	return &Witness{
		executions: map[string]int{},
		idempotent: map[string]bool{},
		active:     map[pimconfig.TaskID]int{},
		finished:   map[pimconfig.TaskID]int{},
	}
}

// RecordExecution records one execution of a request at an endpoint.
func (w *Witness) RecordExecution(requestID string, idempotent bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.executions[requestID]++
	w.idempotent[requestID] = idempotent
}

// ExecutionCount returns how often a request ran at all endpoints together.
func (w *Witness) ExecutionCount(requestID string) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.executions[requestID]
}

// RecordSlotsExceeded records that an endpoint received a request while all its slots were in use.
func (w *Witness) RecordSlotsExceeded() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.slotsExceeded++
}

// RecordStart records the start of a task on a worker in the given failure domain.
func (w *Witness) RecordStart(task pimconfig.TaskID, domain string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.active[task]++
	if w.active[task] > 1 {
		w.overlappingStarts++
	}
	w.starts = append(w.starts, Start{Task: task, Domain: domain, At: time.Now()})
}

// RecordEnd records that a started task no longer runs, and whether it finished or was evicted.
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

// StartsIn counts the task starts in a failure domain between two times, both exclusive.
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

// Counts returns a summary of the record so far.
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
