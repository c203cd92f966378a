package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// executor is a stand-in of an executor: it follows "Running tasks" and "Service discovery" of the users' pages. It
	// guards its capacity and enforces leases, fencing tokens and run numbers.
	executor struct {
		record  *record
		id      string
		address string
		zone    string
		labels  []string
		// controls are the addresses of the daemons that take heartbeats, the preferred one first.
		controls []string
		cpu      int64
		gangs    *gangs

		mutex    sync.Mutex
		server   *http.Server
		listener net.Listener
		// born is the start of this life in Unix milliseconds, and started the start of its clock.
		born    int64
		started time.Time
		up      bool
		token   uint64
		// lease is the end of the lease in milliseconds on the executor's clock.
		lease int64
		runs  map[string]*run
		// highest is the highest run number that has ended or was stopped here, by task.
		highest  map[string]int
		finished []ended
		sequence int64
		acked    int64
		// changed is closed and replaced when a run ends.
		changed  chan struct{}
		beats    int64
		draining bool
		staysFor time.Time
		left     bool
		// onEnd, if set, is called when a run ends, outside of the mutex.
		onEnd func(task string, number int, how string)
		// onAcked, if set, is called when an end is taken note of, outside of the mutex.
		onAcked func(task string, number int, how string)
	}

	run struct {
		number  int
		began   time.Time
		lasts   time.Duration
		cpu     int64
		saved   string
		percent int
		gang    *gang
	}

	ended struct {
		sequence int64
		task     string
		number   int
		how      string
		saved    string
	}

	call struct {
		Task       string `json:"task"`
		RunID      int    `json:"run-id"`
		Spec       string `json:"spec"`
		Deadline   int64  `json:"deadline-ms"`
		Token      uint64 `json:"fencing-token"`
		Checkpoint string `json:"checkpoint"`
		Cursor     int64  `json:"ack-cursor"`
		Wait       int64  `json:"wait-ms"`
	}
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	maxLeaseMS        = 10_000
)

// start begins a life of the executor.
func (e *executor) start() error {
	listener, err := net.Listen("tcp4", e.address)
	if err != nil {
		return err
	}
	e.mutex.Lock()
	e.address = listener.Addr().String()
	now := time.Now()
	e.born, e.started, e.up, e.left, e.draining = now.UnixMilli(), now, true, false, false
	e.token, e.lease, e.sequence, e.acked, e.beats = 0, 0, 0, 0, 0
	e.runs, e.highest, e.finished = map[string]*run{}, map[string]int{}, nil
	e.changed = make(chan struct{})
	e.listener, e.server = listener, &http.Server{Handler: http.HandlerFunc(e.serve)}
	server, born := e.server, e.born
	e.mutex.Unlock()
	go func() { _ = server.Serve(listener) }()
	go e.beatLoop(born)
	go e.workLoop(born)
	return nil
}

// crash ends this life without notice: what runs is gone, and its connections break.
func (e *executor) crash() {
	e.mutex.Lock()
	e.up = false
	lost := len(e.runs)
	for _, r := range e.runs {
		if r.gang != nil {
			e.gangs.leave(r.gang)
		}
	}
	e.runs = map[string]*run{}
	server := e.server
	e.mutex.Unlock()
	e.record.line("%s crashes with %d runs", e.id, lost)
	_ = server.Close()
}

func (e *executor) clock() int64 { return time.Since(e.started).Milliseconds() + 1 }

// isLife reports whether a life of the executor goes on. The caller holds the mutex.
func (e *executor) isLife(born int64) bool { return e.up && e.born == born }

func (e *executor) beatLoop(born int64) {
	for {
		e.mutex.Lock()
		alive := e.isLife(born) && !e.left
		e.mutex.Unlock()
		if !alive {
			return
		}
		e.beat()
		time.Sleep(heartbeatInterval)
	}
}

// beat sends a heartbeat to the first daemon that acknowledges it, and reports whether one did.
func (e *executor) beat() bool {
	e.mutex.Lock()
	e.beats++
	state, remaining := "ready", int64(0)
	if e.draining {
		state, remaining = "draining", max(0, time.Until(e.staysFor).Milliseconds())
	}
	body, _ := json.Marshal(map[string]any{
		"service": "work", "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": state,
		"remaining-ms": remaining, "cold-left-ms": 0, "capacity": map[string]int64{"cpu": e.cpu, "mem-mb": 64000, "gpu": 0},
		"labels": e.labels, "clock-ms": e.clock(), "seq": e.beats, "born": e.born,
	})
	e.mutex.Unlock()
	for _, control := range e.controls {
		status, _ := request(http.MethodPut, "http://"+control+"/pimentoswitch/instances/"+e.id, "", body, time.Second)
		if status/100 == 2 {
			return true
		}
	}
	return false
}

// drain announces that the executor leaves, and that it stays at least for a time.
func (e *executor) drain(stays time.Duration) bool {
	e.mutex.Lock()
	e.draining, e.staysFor = true, time.Now().Add(stays)
	e.mutex.Unlock()
	acknowledged := e.beat()
	e.record.line("%s says that it drains and stays for %v: acknowledged %v", e.id, stays, acknowledged)
	return acknowledged
}

// leave reports that the executor leaves, to one daemon after the other, until one acknowledges it.
func (e *executor) leave(patience time.Duration) {
	until := time.Now().Add(patience)
	for time.Now().Before(until) {
		for _, control := range e.controls {
			e.record.line("%s sends DELETE to %s", e.id, control)
			status, _ := request(http.MethodDelete, "http://"+control+"/pimentoswitch/instances/"+e.id, "", nil, time.Second)
			e.record.line("%s gets %d for DELETE from %s", e.id, status, control)
			if status/100 == 2 {
				e.end()
				return
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	e.end()
}

// end ends the executor for good.
func (e *executor) end() {
	e.mutex.Lock()
	e.left, e.up = true, false
	e.runs = map[string]*run{}
	server := e.server
	e.mutex.Unlock()
	e.record.line("%s ends", e.id)
	_ = server.Close()
}

// workLoop ends runs that are done and runs whose lease has expired.
func (e *executor) workLoop(born int64) {
	for {
		time.Sleep(5 * time.Millisecond)
		e.mutex.Lock()
		if !e.isLife(born) {
			e.mutex.Unlock()
			return
		}
		lapsed := e.lease > 0 && e.clock() > e.lease
		var calls []func()
		for task, r := range e.runs {
			took := time.Since(r.began)
			switch {
			case lapsed:
				calls = append(calls, e.finish(task, "lapsed"))
			case r.gang != nil:
				work, how := e.gangs.look(r.gang, r.lasts)
				if seconds := int(work / checkpointing); seconds > 0 {
					r.saved = fmt.Sprintf("%s-%d", task[:16], seconds)
				}
				r.percent = min(99, int(100*work/max(1, r.lasts)))
				if how != "" {
					calls = append(calls, e.finish(task, how))
				}
			case r.lasts > 0 && took >= r.lasts:
				calls = append(calls, e.finish(task, "done"))
			case r.lasts > 0:
				r.percent = int(100 * took / r.lasts)
			default:
				r.percent = 100
			}
		}
		e.mutex.Unlock()
		for _, call := range calls {
			call()
		}
	}
}

// finish ends a run and returns a function to call without the mutex. The caller holds the mutex.
func (e *executor) finish(task, how string) func() {
	r := e.runs[task]
	delete(e.runs, task)
	if r.gang != nil && how != "done" {
		e.gangs.leave(r.gang)
	}
	e.highest[task] = max(e.highest[task], r.number)
	e.sequence++
	e.finished = append(e.finished, ended{sequence: e.sequence, task: task, number: r.number, how: how, saved: r.saved})
	close(e.changed)
	e.changed = make(chan struct{})
	e.record.ended(e.id, task, r.number, how)
	onEnd := e.onEnd
	return func() {
		if onEnd != nil {
			onEnd(task, r.number, how)
		}
	}
}

func (e *executor) serve(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Expect-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var c call
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch strings.TrimPrefix(r.URL.Path, "/pimentoswitch/") {
	case "run-start":
		e.runStart(w, &c)
	case "run-stop":
		e.runStop(w, &c)
	case "hold":
		e.hold(w, r, &c)
	case "pace":
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if e.accepts(w, c.Token) {
			e.answer(w, http.StatusOK, "")
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// accepts checks a fencing token. The caller holds the mutex.
func (e *executor) accepts(w http.ResponseWriter, token uint64) bool {
	if token < e.token {
		e.answer(w, http.StatusConflict, "fence")
		return false
	}
	e.token = token
	return true
}

// answer writes a response without lists. The caller holds the mutex.
func (e *executor) answer(w http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock-ms": e.clock(), "born": e.born}
	if reason != "" {
		body["reason"] = reason
	}
	writeBody(w, status, body)
}

func writeBody(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// extend extends the lease to a deadline. The caller holds the mutex.
func (e *executor) extend(deadline int64) {
	e.lease = max(e.lease, min(deadline, e.clock()+maxLeaseMS))
}

func (e *executor) runStart(w http.ResponseWriter, c *call) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.accepts(w, c.Token) {
		return
	}
	if known := e.runs[c.Task]; known != nil && known.number == c.RunID {
		e.extend(c.Deadline)
		e.answer(w, http.StatusOK, "")
		return
	}
	cpu, lasts, members := workOf(c.Spec)
	used := int64(0)
	for _, r := range e.runs {
		used += r.cpu
	}
	switch {
	case c.Deadline <= e.clock():
		e.answer(w, http.StatusConflict, "late")
	case e.runs[c.Task] != nil || c.RunID <= e.highest[c.Task]:
		e.extend(c.Deadline)
		e.record.line("%s refuses the start of %s run %d as old", e.id, c.Task, c.RunID)
		e.answer(w, http.StatusConflict, "old")
	case used+cpu > e.cpu:
		e.extend(c.Deadline)
		e.answer(w, http.StatusConflict, "room")
	default:
		e.extend(c.Deadline)
		r := &run{number: c.RunID, began: time.Now(), lasts: lasts, cpu: cpu, saved: c.Checkpoint}
		if members > 0 {
			r.gang = e.gangs.join(e.record, c, members)
		}
		e.runs[c.Task] = r
		e.record.started(e.id, c.Task, c.RunID, e.draining)
		e.answer(w, http.StatusOK, "")
	}
}

func (e *executor) runStop(w http.ResponseWriter, c *call) {
	e.mutex.Lock()
	if !e.accepts(w, c.Token) {
		e.mutex.Unlock()
		return
	}
	var call func()
	if r := e.runs[c.Task]; r != nil && r.number == c.RunID {
		call = e.finish(c.Task, "stopped")
	}
	e.highest[c.Task] = max(e.highest[c.Task], c.RunID)
	e.answer(w, http.StatusOK, "")
	e.mutex.Unlock()
	if call != nil {
		call()
	}
}

func (e *executor) hold(w http.ResponseWriter, r *http.Request, c *call) {
	e.mutex.Lock()
	if !e.accepts(w, c.Token) {
		e.mutex.Unlock()
		return
	}
	e.extend(c.Deadline)
	var acked []ended
	left := e.finished[:0:0]
	for _, end := range e.finished {
		if end.sequence <= c.Cursor {
			acked = append(acked, end)
			e.record.acked(e.id, end.task, end.number, end.how)
		} else {
			left = append(left, end)
		}
	}
	e.finished, e.acked = left, max(e.acked, c.Cursor)
	changed, onAcked := e.changed, e.onAcked
	wait := len(e.finished) == 0 && c.Wait > 0
	e.mutex.Unlock()
	for _, end := range acked {
		if onAcked != nil {
			onAcked(end.task, end.number, end.how)
		}
	}
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(c.Wait) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.up {
		panic(http.ErrAbortHandler)
	}
	running, finished := [][]any{}, [][]any{}
	tasks := make([]string, 0, len(e.runs))
	for task := range e.runs {
		tasks = append(tasks, task)
	}
	sort.Strings(tasks)
	for _, task := range tasks {
		running = append(running, []any{task, e.runs[task].number, e.runs[task].saved, e.runs[task].percent, 0})
	}
	for _, end := range e.finished {
		finished = append(finished, []any{end.sequence, end.task, end.number, end.how, end.saved})
	}
	writeBody(w, http.StatusOK, map[string]any{
		"clock-ms": e.clock(), "born": e.born, "running": running, "finished": finished,
	})
}

// workOf reads a spec: "cpu=2000 ms=900 gang=3", where ms=0 is a task that lasts.
func workOf(spec string) (cpu int64, lasts time.Duration, members int) {
	for _, part := range strings.Fields(spec) {
		name, value, _ := strings.Cut(part, "=")
		number, _ := strconv.ParseInt(value, 10, 64)
		switch name {
		case "cpu":
			cpu = number
		case "ms":
			lasts = time.Duration(number) * time.Millisecond
		case "gang":
			members = int(number)
		}
	}
	return cpu, lasts, members
}

func (e *executor) String() string { return fmt.Sprintf("%s at %s", e.id, e.address) }
