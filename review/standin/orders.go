package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"
)

// orderBody is the body of any order to an executor.
type orderBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run-id"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline-ms"`
	Token      uint64 `json:"fencing-token"`
	Checkpoint string `json:"checkpoint"`
	Cursor     int64  `json:"ack-cursor"`
	Wait       int64  `json:"wait-ms"`
}

// handle serves the orders of the system.
func (e *executor) handle(writer http.ResponseWriter, request *http.Request) {
	text, err := io.ReadAll(request.Body)
	var body orderBody
	if err == nil {
		err = json.Unmarshal(text, &body)
	}
	e.world.mutex.Lock()
	l := e.life
	if l.ended {
		e.world.mutex.Unlock()
		panic(http.ErrAbortHandler)
	}
	if request.Header.Get("X-Expect-Instance") != e.id {
		e.world.mutex.Unlock()
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if err != nil {
		e.world.mutex.Unlock()
		e.answer(writer, l, http.StatusBadRequest, "")
		return
	}
	if body.Token < l.token {
		e.world.noteLocked("%s on %s rejected: token %d is lower than %d", request.URL.Path, e.id, body.Token, l.token)
		e.world.mutex.Unlock()
		e.answer(writer, l, http.StatusConflict, "fence")
		return
	}
	l.token = body.Token
	if request.URL.Path == "/pimentoswitch/hold" {
		e.hold(writer, l, body)
		return
	}
	status, reason := http.StatusOK, ""
	switch request.URL.Path {
	case "/pimentoswitch/run-start":
		status, reason = e.start(l, body)
	case "/pimentoswitch/run-stop":
		l.highest[body.Task] = max(l.highest[body.Task], body.Run)
		if run := l.runs[body.Task]; run != nil && run.number == body.Run {
			e.world.noteLocked("stop   %s run %d on %s is ordered", body.Task, body.Run, e.id)
			run.after(stopTimeout/2, func() { e.end(run, "stopped") })
		}
	case "/pimentoswitch/pace":
	default:
		status = http.StatusNotFound
	}
	e.world.mutex.Unlock()
	e.answer(writer, l, status, reason)
}

func (e *executor) answer(writer http.ResponseWriter, l *life, status int, reason string) {
	body := map[string]any{"clock-ms": l.clock()}
	if reason != "" {
		body["reason"] = reason
	}
	text, _ := json.Marshal(body)
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(text)
}

// extendLease extends the lease, which is shortened to its maximum.
func (l *life) extendLease(deadline int64) {
	l.lease = max(l.lease, min(deadline, l.clock()+holdMax.Milliseconds()))
}

// start begins a run and returns the answer. The caller holds the mutex.
func (e *executor) start(l *life, body orderBody) (int, string) {
	if run := l.runs[body.Task]; run != nil && run.number == body.Run {
		return http.StatusOK, ""
	}
	if body.Deadline <= l.clock() {
		return http.StatusConflict, "late"
	}
	l.extendLease(body.Deadline)
	if body.Run <= l.highest[body.Task] {
		e.world.noteLocked("start of %s run %d on %s rejected: old", body.Task, body.Run, e.id)
		return http.StatusConflict, "old"
	}
	s, err := parseSpec(body.Spec)
	if err != nil {
		return http.StatusBadRequest, ""
	}
	cpu, mem := s.cpu, s.mem
	for _, run := range l.runs {
		cpu, mem = cpu+run.cpu, mem+run.mem
	}
	if cpu > e.cpu || mem > e.mem {
		return http.StatusConflict, "room"
	}
	run := &taskRun{
		executor: e, life: l, task: body.Task, number: body.Run, spec: s, carried: body.Checkpoint, saved: body.Checkpoint,
		began: time.Now(), cpu: s.cpu, mem: s.mem,
	}
	l.runs[body.Task] = run
	e.world.onStart(run, body.Token)
	if s.gang > 0 {
		e.joinGang(run)
	} else {
		run.work()
	}
	return http.StatusOK, ""
}

// hold extends the lease, takes note of the cursor and answers with both lists. It releases the mutex.
func (e *executor) hold(writer http.ResponseWriter, l *life, body orderBody) {
	w := e.world
	l.extendLease(body.Deadline)
	if body.Cursor > l.acked {
		l.acked = body.Cursor
		l.finished = slices.DeleteFunc(l.finished, func(row *endRow) bool {
			if row.n > body.Cursor {
				return false
			}
			if row.run.done != nil && !row.lapsedBy {
				row.run.done.noted, row.run.done.notedAt = true, w.now()
			}
			return true
		})
	}
	changed, waits := l.changed, len(l.finished) == 0 && body.Wait > 0
	w.mutex.Unlock()
	if waits {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(body.Wait, 2000)) * time.Millisecond):
		}
	}
	w.mutex.Lock()
	if l.ended {
		w.mutex.Unlock()
		panic(http.ErrAbortHandler)
	}
	running, finished := []any{}, []any{}
	for _, run := range l.runs {
		percent := 0
		if run.gang == nil || run.gang.working {
			percent = int(min(99, 100*(time.Since(run.began)+savedWork(run.carried))/(run.spec.work+run.spec.spread)))
		}
		running = append(running, []any{run.task, run.number, run.saved, percent, run.cpu})
	}
	for _, row := range l.finished[:min(maxFinished, len(l.finished))] {
		finished = append(finished, []any{row.n, row.run.task, row.run.number, row.how, row.run.saved})
	}
	if len(l.finished) > maxFinished {
		w.noteLocked("%s lists %d of %d ends, up to number %d", e.id, maxFinished, len(l.finished), l.finished[maxFinished-1].n)
	}
	w.mutex.Unlock()
	text, _ := json.Marshal(map[string]any{"clock-ms": l.clock(), "born": l.born, "running": running, "finished": finished})
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(text)
}
