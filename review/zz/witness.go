package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

type (
	// witness holds all runs on all executors, and moves them on.
	witness struct {
		w     *world
		mutex sync.Mutex
		runs  []*taskRun
		// twice holds a line for each start of a task beside another run of it on an executor that is up.
		twice []string
		live map[string]*taskRun
	}

	// taskPlan is what a task does. The text of the job's specification holds it.
	taskPlan struct {
		CPU    int64 `json:"cpu"`
		MemMB  int64 `json:"mem"`
		WorkMS int64 `json:"work"`
		Lasts  bool  `json:"lasts,omitempty"`
	}

	taskRun struct {
		executor  *executor
		life      *life
		task      string
		number    int
		plan      taskPlan
		startedAt time.Time
		// checkpoint is the one that the start carried.
		checkpoint string
		stopAt     time.Time
		endedAt    time.Time
		how        string
		// noted is set once the cursor has reached the end.
		noted bool
	}
)

const (
	witnessInterval = 20 * time.Millisecond
	startupTime     = 400 * time.Millisecond
	percentFull     = 100
)

func newWitness(w *world) *witness {
	witness := &witness{w: w}
	go func() {
		for {
			time.Sleep(witnessInterval)
			witness.advance()
		}
	}()
	return witness
}

func newRun(e *executor, l *life, o order) (*taskRun, error) {
	run := &taskRun{executor: e, life: l, task: o.Task, number: o.Run, startedAt: time.Now(), checkpoint: o.Checkpoint}
	if err := json.Unmarshal([]byte(o.Spec), &run.plan); err != nil {
		return nil, err
	}
	return run, nil
}

// begin records a start. The caller holds the mutex.
func (w *witness) begin(run *taskRun) {
	if w.live == nil { w.live = map[string]*taskRun{} }
	if other := w.live[run.task]; other != nil && other.how == "" {
		w.twice = append(w.twice, run.task)
	}
	w.live[run.task] = run
	run.life.running[run.task] = run
	w.runs = append(w.runs, run)
}

// worked returns the work that is done.
func (r *taskRun) worked() time.Duration { return time.Since(r.startedAt) }

func (r *taskRun) percent() int {
	if r.plan.Lasts {
		if r.worked() < startupTime {
			return 0
		}
		return percentFull
	}
	return min(percentFull-1, int(percentFull*r.worked().Milliseconds()/r.plan.WorkMS))
}

// metric is the tail of a task that lasts, or the processor use of any other.
func (r *taskRun) metric() int64 {
	if r.plan.Lasts {
		return 1
	}
	return r.plan.CPU
}

// finish ends a run. The caller holds the mutex.
func (w *witness) finish(run *taskRun, how string) {
	run.how, run.endedAt = how, time.Now()
	delete(run.life.running, run.task)
	run.life.highest[run.task] = max(run.life.highest[run.task], run.number)
	if !run.life.ended {
		run.life.finished = append(run.life.finished, finishedRun{run.life.next, run})
		run.life.next++
	}
}

// endLife ends all runs of a life without a trace there. The caller holds the mutex.
func (w *witness) endLife(e *executor, l *life, why string) {
	l.ended = true
	for _, run := range w.runs {
		if run.life == l && run.how == "" {
			w.finish(run, "gone: "+why)
		}
	}
	e.called = false
}

// advance moves all runs on.
func (w *witness) advance() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	for _, run := range w.runs {
		if run.how == "" {
			w.advanceRun(run, now)
		}
	}
}

func (w *witness) advanceRun(run *taskRun, now time.Time) {
	if run.life.clock() > run.life.lease {
		w.finish(run, "lapsed")
		return
	}
	switch {
	case !run.stopAt.IsZero() && now.After(run.stopAt):
		w.finish(run, "stopped")
	case !run.plan.Lasts && run.worked() >= time.Duration(run.plan.WorkMS)*time.Millisecond:
		w.finish(run, "done")
	}
}

// runsOf returns the runs of a job's tasks so far.
func (w *witness) runsOf(job string) []taskRun {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var runs []taskRun
	for _, run := range w.runs {
		if strings.HasPrefix(run.task, job+".") {
			runs = append(runs, *run)
		}
	}
	return runs
}

// hasRun returns whether any task of a job has begun.
func (w *witness) hasRun(job string) bool { return len(w.runsOf(job)) > 0 }

// active returns the run of a job that is running, or nil.
func (w *witness) active(job string) *taskRun {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, run := range w.runs {
		if strings.HasPrefix(run.task, job+".") && run.how == "" {
			return run
		}
	}
	return nil
}

// overlaps returns the lines of the runs that were found at the same time as another one of their task.
func (w *witness) overlaps() []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]string{}, w.twice...)
}

// specification returns the text of a job's specification.
func (p taskPlan) specification() string {
	data, _ := json.Marshal(p)
	return string(data)
}
