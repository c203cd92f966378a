package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

// playLeave lets an executor leave as planned, while nothing passes to it for a while.
func playLeave(w *world, trouble bool) (bool, error) {
	const cut = 5500 * time.Millisecond
	if err := w.prepare(map[string]int{"a": 16}); err != nil {
		return false, err
	}
	id := newJobID()
	plan := taskPlan{CPU: 4000, MemMB: 4000, Lasts: true}
	body := job{Spec: plan.specification(), Steps: []step{{Count: 1, CPU: plan.CPU, MemMB: plan.MemMB, EstimateMS: 400, LongRunning: true}}}
	if err := w.submit(id, body); err != nil {
		return false, err
	}
	if !await(10*time.Second, func() bool { return w.witness.active(id) != nil }) {
		return false, errors.New("the task did not start")
	}
	time.Sleep(settleTime)
	leaving := w.witness.active(id).executor
	leaving.leave(func() {
		if !trouble {
			return
		}
		w.note("the link of %s is cut one way: nothing passes to it for %v", leaving.id, cut)
		leaving.link.set(true, false)
		time.AfterFunc(cut, func() {
			leaving.link.set(false, false)
			w.note("the link of %s passes again", leaving.id)
		})
	})
	restarted := await(20*time.Second, func() bool {
		run := w.witness.active(id)
		return run != nil && run.executor != leaving
	})
	if !restarted {
		return false, errors.New("the task was not started again")
	}
	time.Sleep(settleTime)
	return len(w.witness.overlaps()) > 0, nil
}

// playEntry sends a heartbeat of another writer for each executor, and then submits a job.
func playEntry(w *world, trouble bool) (bool, error) {
	const finish, idle = 14 * time.Second, 3 * time.Second
	if err := w.prepare(map[string]int{"a": 6}); err != nil {
		return false, err
	}
	if trouble {
		for i, e := range w.executors {
			e.w.witness.mutex.Lock()
			entry := e.currentBeat(e.life)
			e.w.witness.mutex.Unlock()
			entry.Service, entry.State = "service-of-another-writer", "draining"
			data, err := json.Marshal(entry)
			if err != nil {
				return false, err
			}
			status, _ := send(w.client, http.MethodPut, w.controlURL(i)+"/pimentoswitch/instances/"+e.id, "", data)
			w.note("another writer's entry under the id of %s, of a service that is not named: %d", e.id, status)
		}
	}
	// Each executor says itself that it is ready, twice.
	time.Sleep(2 * heartbeatInterval)
	id := newJobID()
	plan := taskPlan{CPU: 2000, MemMB: 4000, WorkMS: 1000}
	body := job{Spec: plan.specification(), Steps: []step{{Count: 2, CPU: plan.CPU, MemMB: plan.MemMB, EstimateMS: plan.WorkMS}}}
	if err := w.submit(id, body); err != nil {
		return false, err
	}
	acceptedAt := time.Now()
	state := ""
	await(finish+idle, func() bool {
		if now := w.state(id); now != "" && now != state {
			state = now
			w.note("client: job %s is shown as %s", id, state)
		}
		return state == "completed"
	})
	w.note("%.1f s after it was accepted the job is shown as %s and has had %d runs; all %d executors are up, ready and empty",
		time.Since(acceptedAt).Seconds(), state, len(w.witness.runsOf(id)), len(w.executors))
	return !w.witness.hasRun(id), nil
}

// playPending lets one of twelve executors answer starts with 503 and compares the count of pending jobs with those that have
// not begun.
func playPending(w *world, trouble bool) (bool, error) {
	const jobs = 6
	const lasts, samples = 6500 * time.Millisecond, 6
	if err := w.prepare(map[string]int{"a": 11, "b": 1}); err != nil {
		return false, err
	}
	for _, e := range w.executors {
		if e.kind == "b" && trouble {
			e.setRefuses(true)
			w.note("executor %s answers starts with 503 for %v, its health is good", e.id, lasts)
			time.AfterFunc(lasts, func() {
				e.setRefuses(false)
				w.note("executor %s is sound again", e.id)
			})
		}
	}
	plan := taskPlan{CPU: 2000, MemMB: 4000, WorkMS: 1000}
	body := job{Spec: plan.specification(), Steps: []step{{Count: 1, CPU: plan.CPU, MemMB: plan.MemMB, EstimateMS: plan.WorkMS, Requirements: "b"}}}
	var ids []string
	for range jobs {
		id := newJobID()
		if err := w.submit(id, body); err != nil {
			return false, err
		}
		ids = append(ids, id)
	}
	time.Sleep(visible + settleTime + 100*time.Millisecond)
	broken := false
	for i := range samples {
		before := notBegun(w, ids)
		pending := w.pending(i)
		// Jobs that have begun meanwhile count as begun.
		after := notBegun(w, ids)
		w.note("client: GET of the queue at %s: pending %d; of the jobs accepted 5 s before, %d have not begun, %d after the answer",
			w.entries[i%len(w.entries)].name, pending, before, after)
		broken = broken || (pending >= 0 && 2*pending < after)
		time.Sleep(150 * time.Millisecond)
	}
	if !await(20*time.Second, func() bool { return notBegun(w, ids) == 0 }) {
		return broken, errors.New("the jobs did not begin")
	}
	return broken, nil
}

func notBegun(w *world, ids []string) int {
	count := 0
	for _, id := range ids {
		if !w.witness.hasRun(id) {
			count++
		}
	}
	return count
}

// playRack lets all executors of one rack crash, and measures for how long tasks that last have no run after that.
func playRack(w *world, trouble bool) (bool, error) {
	const tasks, executors = 8, 48
	const down = time.Second
	// A task that lasts may be without a run for 6 s after its last one, and for 3 s more; the 4 s before those are calm.
	const afterRun, calm, idle = 6 * time.Second, 4 * time.Second, 3 * time.Second
	if err := w.prepare(map[string]int{"a": executors}); err != nil {
		return false, err
	}
	id := newJobID()
	plan := taskPlan{CPU: 6400, MemMB: 13000, Lasts: true}
	body := job{Spec: plan.specification(), Steps: []step{{
		Count: tasks, CPU: plan.CPU, MemMB: plan.MemMB, EstimateMS: 400, LongRunning: true, Affinity: w.executors[0].rack, AntiAffinity: 1,
	}}}
	if err := w.submit(id, body); err != nil {
		return false, err
	}
	if !await(10*time.Second, func() bool { return len(w.witness.runsOf(id)) == tasks }) {
		return false, errors.New("the tasks did not start")
	}
	time.Sleep(1500 * time.Millisecond)
	returnedAt := time.Now()
	if trouble {
		var rack []*executor
		for _, e := range w.executors {
			if e.rack == w.executors[0].rack {
				rack = append(rack, e)
				e.crash()
			}
		}
		time.Sleep(down)
		for _, e := range rack {
			if err := e.restart(); err != nil {
				return false, err
			}
		}
		returnedAt = time.Now()
		w.note("all executors are up from now on")
	}
	time.Sleep(30 * time.Second)
	ends, starts := map[string]time.Time{}, map[string]time.Time{}
	for _, run := range w.witness.runsOf(id) {
		if run.how != "" {
			ends[run.task] = run.endedAt
			continue
		}
		starts[run.task] = run.startedAt
	}
	broken := false
	for task, endedAt := range ends {
		startedAt, started := starts[task]
		if !started {
			startedAt = time.Now()
		}
		owed := endedAt.Add(afterRun)
		if calmAt := returnedAt.Add(calm); calmAt.After(owed) {
			owed = calmAt
		}
		late := startedAt.Sub(owed)
		w.note("%s had no run for %.1f s, %.1f s of them while one was owed", task, startedAt.Sub(endedAt).Seconds(), max(0, late.Seconds()))
		broken = broken || late > idle
	}
	return broken, nil
}

// playSameID submits jobs with the same id to two queues, and cancels the one that was submitted last.
func playSameID(w *world, trouble bool) (bool, error) {
	const finish, idle = 14 * time.Second, 3 * time.Second
	if err := w.prepare(map[string]int{"a": 6}); err != nil {
		return false, err
	}
	first, second := newJobID(), newJobID()
	if trouble {
		second = first
	}
	plans := []taskPlan{{CPU: 2000, MemMB: 4000, WorkMS: 60000}, {CPU: 1000, MemMB: 2000, WorkMS: 2000}}
	bodies := make([]job, 0, len(plans))
	for _, plan := range plans {
		bodies = append(bodies, job{Spec: plan.specification(), Steps: []step{{Count: 1, CPU: plan.CPU, MemMB: plan.MemMB, EstimateMS: plan.WorkMS}}})
	}
	if err := w.submitTo(w.queue, first, bodies[0]); err != nil {
		return false, err
	}
	if !await(10*time.Second, func() bool { return w.witness.hasRun(first) }) {
		return false, errors.New("the first job did not start")
	}
	if err := w.submitTo(w.otherQueue, second, bodies[1]); err != nil {
		// A clear refusal loses nothing.
		w.note("%v", err)
		return false, nil
	}
	ran := await(finish+idle, func() bool {
		for _, run := range w.witness.runsOf(second) {
			if run.plan == plans[1] {
				return true
			}
		}
		return false
	})
	w.note("the job that %s%s accepted has run: %v; it is shown as %q", w.otherQueue, second, ran, w.stateIn(w.otherQueue, second))
	status, _ := send(w.client, http.MethodDelete, w.entryURL(0)+w.otherQueue+second, w.host, nil)
	w.note("client: DELETE of %s%s: %d; then %s%s is shown as %q", w.otherQueue, second, status, w.queue, first, w.stateIn(w.queue, first))
	return !ran, nil
}
