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
	}

	// taskPlan is what a task does. The text of the job's specification holds it.
	taskPlan struct {
		CPU    int64 `json:"cpu"`
		MemMB  int64 `json:"mem"`
		WorkMS int64 `json:"work"`
		Lasts  bool  `json:"lasts,omitempty"`
		Saves  bool  `json:"saves,omitempty"`
		// Gang is the number of members, or 0.
		Gang int `json:"gang,omitempty"`
	}

	taskRun struct {
		executor  *executor
		life      *life
		task      string
		number    int
		plan      taskPlan
		startedAt time.Time
		// from is the checkpoint that the start carried, checkpoint the newest value.
		from, checkpoint string
		// workFrom is the work that the checkpoint holds; workingAt is when the work begins, or zero for a gang that is not
		// complete.
		workFrom  time.Duration
		workingAt time.Time
		stopAt    time.Time
		endedAt   time.Time
		how       string
		// noted is set once the cursor has reached the end.
		noted bool
	}
)

const (
	witnessInterval = 5 * time.Millisecond
	startupTime     = 400 * time.Millisecond
	percentFull     = 100
	checkpointForm  = "%08x%s"
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
	run := &taskRun{executor: e, life: l, task: o.Task, number: o.Run, startedAt: time.Now(), from: o.Checkpoint, checkpoint: o.Checkpoint}
	if err := json.Unmarshal([]byte(o.Spec), &run.plan); err != nil {
		return nil, err
	}
	if o.Checkpoint != "" {
		var ms int64
		if _, err := fmt.Sscanf(o.Checkpoint[:8], "%08x", &ms); err != nil {
			return nil, err
		}
		run.workFrom = time.Duration(ms) * time.Millisecond
	}
	return run, nil
}

// begin records a start. The caller holds the mutex.
func (w *witness) begin(run *taskRun) {
	for _, other := range w.runs {
		if other.task == run.task && other.how == "" {
			line := fmt.Sprintf("%s: run %d on %s beside run %d on %s", run.task, run.number, run.executor.id, other.number, other.executor.id)
			w.twice = append(w.twice, line)
			w.w.note("two runs at the same time: %s", line)
		}
	}
	run.life.running[run.task] = run
	w.runs = append(w.runs, run)
	if run.plan.Gang == 0 {
		run.work()
	}
	w.w.note("executor %s starts %s run %d, checkpoint %q", run.executor.id, run.task, run.number, run.from)
}

// work begins the work of a run.
func (r *taskRun) work() {
	r.workingAt = time.Now()
	if r.from != "" {
		r.workingAt = r.workingAt.Add(restoreTime)
	}
}

// worked returns the work that is done.
func (r *taskRun) worked() time.Duration {
	if r.workingAt.IsZero() {
		return r.workFrom
	}
	return r.workFrom + max(0, time.Since(r.workingAt))
}

// save produces a new value.
func (r *taskRun) save(work time.Duration) {
	r.checkpoint = fmt.Sprintf(checkpointForm, work.Milliseconds(), r.task[4:12])
}

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
	w.w.note("executor %s ends %s run %d: %s, saved %q", run.executor.id, run.task, run.number, how, run.checkpoint)
	if run.plan.Gang == 0 {
		return
	}
	for _, member := range w.members(run) {
		switch {
		case member.how != "":
		case how == "done":
			w.finish(member, "done")
		case !member.workingAt.IsZero():
			w.finish(member, "broken")
		}
	}
}

// members returns the other members of a gang's run that carry the same checkpoint.
func (w *witness) members(run *taskRun) []*taskRun {
	step := run.task[:strings.LastIndexByte(run.task, '.')+1]
	var members []*taskRun
	for _, other := range w.runs {
		if other != run && strings.HasPrefix(other.task, step) && other.number == run.number && other.from == run.from {
			members = append(members, other)
		}
	}
	return members
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
	if run.plan.Gang > 0 && run.workingAt.IsZero() {
		w.advanceGang(run, now)
		if run.how != "" {
			return
		}
	}
	if made := (run.worked() - run.workFrom).Truncate(checkpointTime); run.plan.Saves && made > 0 {
		run.save(run.workFrom + made)
	}
	switch {
	case !run.stopAt.IsZero() && now.After(run.stopAt):
		if run.plan.Saves && run.worked() > run.workFrom {
			run.save(run.worked())
		}
		w.finish(run, "stopped")
	case !run.plan.Lasts && run.worked() >= time.Duration(run.plan.WorkMS)*time.Millisecond:
		w.finish(run, "done")
	}
}

// advanceGang begins the work of a gang whose members are all present, and ends a member that has waited too long.
func (w *witness) advanceGang(run *taskRun, now time.Time) {
	present := []*taskRun{run}
	for _, member := range w.members(run) {
		if member.how == "" {
			present = append(present, member)
		}
	}
	if len(present) == run.plan.Gang {
		for _, member := range present {
			member.work()
		}
		return
	}
	if now.Sub(run.startedAt) > gangTimeout {
		w.finish(run, "alone")
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
