package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

type (
	// executor is a stand-in for one executor. Its id and address stay the same over its lives.
	executor struct {
		w        *world
		id, zone string
		kind     string
		rack     string
		address  string
		link     *link
		client   *http.Client
		index    int

		// The fields below are guarded by the mutex of the witness.
		life *life
		// refuses is set while the executor answers starts with 503.
		refuses bool
		called  bool
	}

	// life is one incarnation. Everything in it begins anew with the next one.
	life struct {
		born     int64
		began    time.Time
		server   *http.Server
		stop     context.CancelFunc
		ended    bool
		token    uint64
		lease    time.Duration
		running  map[string]*taskRun
		finished []finishedRun
		next     int64
		// highest is the highest run of each task that was stopped or has ended here.
		highest map[string]int

		sequence int64
		// beatAt is when the last heartbeat was sent.
		beatAt   time.Time
		draining bool
		// staysUntil is until when a draining executor stays at least.
		staysUntil time.Time
		daemon     int
		beatMutex  sync.Mutex
	}

	finishedRun struct {
		number int64
		run    *taskRun
	}

	// beat is a heartbeat.
	beat struct {
		Service     string         `json:"service"`
		Address     string         `json:"address"`
		Zone        string         `json:"zone"`
		Version     string         `json:"version"`
		Slots       int            `json:"slots"`
		State       string         `json:"state"`
		ColdLeftMS  int            `json:"cold-left-ms"`
		Capacity    map[string]int `json:"capacity"`
		Labels      []string       `json:"labels"`
		ClockMS     int64          `json:"clock-ms"`
		Sequence    int64          `json:"seq"`
		Born        int64          `json:"born"`
		RemainingMS int64          `json:"remaining-ms,omitempty"`
	}

	// order is the body of any call to an executor.
	order struct {
		Task       string `json:"task"`
		Run        int    `json:"run-id"`
		Spec       string `json:"spec"`
		DeadlineMS int64  `json:"deadline-ms"`
		Token      uint64 `json:"fencing-token"`
		Checkpoint string `json:"checkpoint"`
		Cursor     int64  `json:"ack-cursor"`
		WaitMS     int64  `json:"wait-ms"`
	}
)

const (
	capacityCPU   = 32000
	capacityMemMB = 128000
	rackSize      = 8
	// lingerTime is how much later an executor ends whose leave was not acknowledged.
	lingerTime = 4 * time.Second
	// cutBeforeLeave is how long the link of a leaving executor has been cut when it sends its leave. It is below the time
	// between two heartbeats, so that the leave takes the connection of the last one.
	cutBeforeLeave = 500 * time.Millisecond
	maxWait        = 2 * time.Second
	maxListed      = 500
)

func newExecutor(w *world, index int, kind string) (*executor, error) {
	listener, err := net.Listen("tcp4", fmt.Sprintf("%s:0", w.ip(200, index+1)))
	if err != nil {
		return nil, err
	}
	e := &executor{
		w: w, id: fmt.Sprintf("i-%08x", 0x1000+index), zone: zones[index%len(zones)], kind: kind, rack: fmt.Sprintf("r1-%d", index/rackSize),
		address: listener.Addr().String(), link: &link{}, index: index,
	}
	e.client = &http.Client{Transport: &http.Transport{DialContext: e.link.dial, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}}
	e.begin(listener)
	return e, nil
}

// begin starts a life of the executor.
func (e *executor) begin(listener net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &life{
		born: time.Now().UnixMilli(), began: time.Now(), stop: cancel, running: map[string]*taskRun{}, highest: map[string]int{},
		next: 1, daemon: e.index,
	}
	l.server = &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { e.serve(l, writer, request) })}
	e.w.witness.mutex.Lock()
	e.life = l
	e.w.witness.mutex.Unlock()
	e.w.note("executor %s (kind %s, %s) starts, born %d", e.id, e.kind, e.zone, l.born)
	go func() { _ = l.server.Serve(linkListener{listener, e.link}) }()
	go e.sendBeats(ctx, l)
}

// crash ends the current life without notice.
func (e *executor) crash() {
	e.w.witness.mutex.Lock()
	l := e.life
	e.w.witness.endLife(e, l, "crash")
	e.w.witness.mutex.Unlock()
	l.stop()
	_ = l.server.Close()
	e.client.CloseIdleConnections()
	e.w.note("executor %s crashes", e.id)
}

// restart begins the next life at the same address.
func (e *executor) restart() error {
	listener, err := net.Listen("tcp4", e.address)
	if err != nil {
		return err
	}
	e.begin(listener)
	return nil
}

// end ends the executor for good. It may have ended before.
func (e *executor) end() {
	e.w.witness.mutex.Lock()
	l := e.life
	ended := l.ended
	if !ended {
		e.w.witness.endLife(e, l, "the executor ends")
	}
	e.w.witness.mutex.Unlock()
	if ended {
		return
	}
	l.stop()
	_ = l.server.Close()
	e.client.CloseIdleConnections()
	e.w.note("executor %s ends", e.id)
}

// leave drains the executor and ends it, as planned work does. An executor whose leave is not acknowledged ends some seconds
// later.
func (e *executor) leave(beforeDelete func()) {
	l := e.life
	e.w.witness.mutex.Lock()
	l.draining, l.staysUntil = true, time.Now().Add(drain)
	e.w.witness.mutex.Unlock()
	e.w.note("executor %s reports draining", e.id)
	for !e.beat(l) {
		time.Sleep(100 * time.Millisecond)
	}
	e.w.note("executor %s: draining is acknowledged", e.id)
	time.Sleep(drain)
	for !e.beat(l) {
		time.Sleep(100 * time.Millisecond)
	}
	beforeDelete()
	time.Sleep(cutBeforeLeave)
	e.w.note("executor %s sends its leave", e.id)
	sentAt := time.Now()
	status := e.call(l, http.MethodDelete, nil)
	e.w.note("executor %s: answer to the leave: %d", e.id, status)
	if status/100 != 2 {
		time.Sleep(time.Until(sentAt.Add(lingerTime)))
	}
	e.end()
}

// sendBeats sends heartbeats until the life ends.
func (e *executor) sendBeats(ctx context.Context, l *life) {
	for {
		e.w.witness.mutex.Lock()
		due := time.Until(l.beatAt.Add(heartbeatInterval))
		e.w.witness.mutex.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(due):
		}
		e.w.witness.mutex.Lock()
		isDue := time.Since(l.beatAt) >= heartbeatInterval
		e.w.witness.mutex.Unlock()
		if isDue {
			e.beat(l)
		}
	}
}

// beat sends a heartbeat, to the next daemon if it gets no answer within a second, and returns whether it was acknowledged.
func (e *executor) beat(l *life) bool {
	for range len(e.w.controls) {
		if e.call(l, http.MethodPut, e.beatBody(l))/100 == 2 {
			return true
		}
		e.w.witness.mutex.Lock()
		l.daemon++
		ended := l.ended
		e.w.witness.mutex.Unlock()
		if ended {
			return false
		}
	}
	return false
}

// call makes a call on the executor itself to its daemon and returns the status, or 0 without an answer.
func (e *executor) call(l *life, method string, body []byte) int {
	l.beatMutex.Lock()
	defer l.beatMutex.Unlock()
	e.w.witness.mutex.Lock()
	url := e.w.controlURL(l.daemon) + "/pimentoswitch/instances/" + e.id
	ended := l.ended
	e.w.witness.mutex.Unlock()
	if ended {
		return 0
	}
	return sendWithin(e.client, answerTime, method, url, body)
}

// beatBody returns the body of the next heartbeat.
func (e *executor) beatBody(l *life) []byte {
	e.w.witness.mutex.Lock()
	defer e.w.witness.mutex.Unlock()
	l.sequence++
	l.beatAt = time.Now()
	b := e.currentBeat(l)
	data, _ := json.Marshal(b)
	return data
}

// currentBeat returns what the executor says of itself.
func (e *executor) currentBeat(l *life) beat {
	b := beat{
		Service: e.w.service, Address: e.address, Zone: e.zone, Version: "v1", Slots: 8, State: "ready",
		Capacity: map[string]int{"cpu": capacityCPU, "mem-mb": capacityMemMB, "gpu": 0}, Labels: []string{e.kind, e.rack},
		ClockMS: l.clock().Milliseconds(), Sequence: l.sequence, Born: l.born,
	}
	if l.draining {
		b.State, b.RemainingMS = "draining", max(0, time.Until(l.staysUntil).Milliseconds())
	}
	return b
}

// clock returns the steady clock of the life, which begins anew with it.
func (l *life) clock() time.Duration { return time.Since(l.began) + time.Second }

func (e *executor) isCalled() bool {
	e.w.witness.mutex.Lock()
	defer e.w.witness.mutex.Unlock()
	return e.called
}

// setRefuses sets whether the executor answers starts with 503.
func (e *executor) setRefuses(refuses bool) {
	e.w.witness.mutex.Lock()
	defer e.w.witness.mutex.Unlock()
	e.refuses = refuses
}

func sendWithin(client *http.Client, limit time.Duration, method, url string, body []byte) int {
	limited := *client
	limited.Timeout = limit
	status, _ := send(&limited, method, url, "", body)
	return status
}

// serve answers a call of a control daemon.
func (e *executor) serve(l *life, writer http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodGet && request.URL.Path == "/health" {
		writer.WriteHeader(http.StatusOK)
		return
	}
	data, err := io.ReadAll(request.Body)
	var o order
	if err == nil {
		err = json.Unmarshal(data, &o)
	}
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		e.answer(l, writer, http.StatusMisdirectedRequest, nil)
		return
	}
	switch request.URL.Path {
	case "/pimentoswitch/hold":
		e.hold(l, writer, o)
	case "/pimentoswitch/run-start":
		status, reason := e.startRun(l, o)
		e.answer(l, writer, status, map[string]any{"reason": reason})
	case "/pimentoswitch/run-stop":
		status, reason := e.stopRun(l, o)
		e.answer(l, writer, status, map[string]any{"reason": reason})
	case "/pimentoswitch/pace":
		e.answer(l, writer, http.StatusOK, nil)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

// answer writes an answer with the clock and the birth of the life.
func (e *executor) answer(l *life, writer http.ResponseWriter, status int, body map[string]any) {
	if body == nil {
		body = map[string]any{}
	}
	if body["reason"] == "" {
		delete(body, "reason")
	}
	body["clock-ms"], body["born"] = l.clock().Milliseconds(), l.born
	data, _ := json.Marshal(body)
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(data)
}

// passes checks and keeps the fencing token, and extends the lease. The caller holds the mutex.
func (l *life) passes(o order) bool {
	if o.Token < l.token {
		return false
	}
	l.token = o.Token
	return true
}

func (l *life) extend(deadlineMS int64) {
	if deadlineMS > 0 {
		l.lease = max(l.lease, min(time.Duration(deadlineMS)*time.Millisecond, l.clock()+holdMax))
	}
}

// hold renews the lease and returns the lists, at once or when a run has ended.
func (e *executor) hold(l *life, writer http.ResponseWriter, o order) {
	mutex := &e.w.witness.mutex
	mutex.Lock()
	if !l.passes(o) {
		mutex.Unlock()
		e.answer(l, writer, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	e.called = true
	l.extend(o.DeadlineMS)
	kept := l.finished[:0]
	for _, finished := range l.finished {
		if finished.number > o.Cursor {
			kept = append(kept, finished)
			continue
		}
		finished.run.noted = true
	}
	l.finished = kept
	for until := time.Now().Add(min(maxWait, time.Duration(o.WaitMS)*time.Millisecond)); len(l.finished) == 0 && !l.ended && time.Now().Before(until); {
		mutex.Unlock()
		time.Sleep(5 * time.Millisecond)
		mutex.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, run := range l.running {
		running = append(running, []any{run.task, run.number, run.checkpoint, run.percent(), run.metric()})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	for _, entry := range l.finished[:min(len(l.finished), maxListed)] {
		finished = append(finished, []any{entry.number, entry.run.task, entry.run.number, entry.run.how, entry.run.checkpoint})
	}
	mutex.Unlock()
	e.answer(l, writer, http.StatusOK, map[string]any{"running": running, "finished": finished})
}

// startRun starts a run, or says why not.
func (e *executor) startRun(l *life, o order) (int, string) {
	w := e.w.witness
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if e.refuses {
		e.w.note("executor %s answers the start of %s run %d with 503", e.id, o.Task, o.Run)
		return http.StatusServiceUnavailable, ""
	}
	if !l.passes(o) {
		return http.StatusConflict, "fence"
	}
	if o.DeadlineMS > 0 && l.clock().Milliseconds() > o.DeadlineMS {
		return http.StatusConflict, "late"
	}
	l.extend(o.DeadlineMS)
	if run := l.running[o.Task]; run != nil && run.number == o.Run {
		return http.StatusOK, ""
	}
	if o.Run <= l.highest[o.Task] || l.running[o.Task] != nil {
		return http.StatusConflict, "old"
	}
	run, err := newRun(e, l, o)
	if err != nil {
		return http.StatusBadRequest, ""
	}
	cpu, memory := run.plan.CPU, run.plan.MemMB
	for _, other := range l.running {
		cpu, memory = cpu+other.plan.CPU, memory+other.plan.MemMB
	}
	if cpu > capacityCPU || memory > capacityMemMB {
		return http.StatusConflict, "room"
	}
	w.begin(run)
	return http.StatusOK, ""
}

// stopRun stops a run. One that is not there yet will be rejected.
func (e *executor) stopRun(l *life, o order) (int, string) {
	w := e.w.witness
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !l.passes(o) {
		return http.StatusConflict, "fence"
	}
	run := l.running[o.Task]
	if run == nil || run.number != o.Run {
		l.highest[o.Task] = max(l.highest[o.Task], o.Run)
		return http.StatusOK, ""
	}
	if run.stopAt.IsZero() {
		run.stopAt = time.Now().Add(stopTime)
		e.w.note("executor %s is told to stop %s run %d", e.id, o.Task, o.Run)
	}
	return http.StatusOK, ""
}
