package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Bounds of the small deployments.
const (
	heartbeat     = 1500 * time.Millisecond
	contact       = 3 * time.Second
	drain         = 2 * time.Second
	evacuateBound = 5 * time.Second
	holdMax       = 10 * time.Second
	stopTimeout   = 200 * time.Millisecond
	gangTimeout   = 3 * time.Second
	checkpointing = time.Second
	restore       = 250 * time.Millisecond
	// finish is how long after the end of the traffic jobs are asked for.
	finish = 14 * time.Second
	// maxFinished is how many ends an executor lists at a time.
	maxFinished = 500
)

type (
	// executor is a stand-in for an executor. All its state is guarded by the mutex of the world.
	executor struct {
		world    *world
		id       string
		zone     string
		labels   []string
		cpu, mem int64
		// reportsTo is the index of the control daemon that it sends heartbeats to.
		reportsTo int
		address   string
		life      *life
		draining  bool
		cut       bool
		proxy     *proxy
	}

	// life is one incarnation.
	life struct {
		born     int64
		began    time.Time
		token    uint64
		lease    int64
		sequence int64
		number   int64
		runs     map[string]*taskRun
		highest  map[string]int
		finished []*endRow
		acked    int64
		changed  chan struct{}
		ended    bool
	}

	endRow struct {
		n        int64
		run      *taskRun
		how      string
		lapsedBy bool
	}

	// taskRun is a run of a task on an executor. Work is the work that it has done, for gangs that of the gang.
	taskRun struct {
		executor *executor
		life     *life
		task     string
		number   int
		spec     spec
		carried  string
		saved    string
		began    time.Time
		timers   []*time.Timer
		ended    bool
		done     *doneEnd
		cpu, mem int64
		gang     *gang
	}

	// spec is what the text of a job says about its tasks.
	spec struct {
		work, spread time.Duration
		cpu, mem     int64
		saves        bool
		gang         int
	}

	gangKey struct {
		step       string
		number     int
		checkpoint string
	}

	// gang holds the members of one run of a gang that carry the same checkpoint.
	gang struct {
		members map[*taskRun]bool
		working bool
	}
)

func specText(s spec) string {
	return fmt.Sprintf("work=%d spread=%d cpu=%d mem=%d saves=%t gang=%d", s.work.Milliseconds(), s.spread.Milliseconds(), s.cpu, s.mem, s.saves, s.gang)
}

func parseSpec(text string) (spec, error) {
	var s spec
	var work, spread int64
	_, err := fmt.Sscanf(text, "work=%d spread=%d cpu=%d mem=%d saves=%t gang=%d", &work, &spread, &s.cpu, &s.mem, &s.saves, &s.gang)
	s.work, s.spread = time.Duration(work)*time.Millisecond, time.Duration(spread)*time.Millisecond
	return s, err
}

// addExecutor starts an executor that sends heartbeats. Behind a proxy it can be cut off.
func (w *world) addExecutor(n int, labels []string, behindProxy bool) (*executor, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &executor{
		world: w, id: fmt.Sprintf("i-%08x", 0x7f3a91c0+n), zone: zones[n%len(zones)], labels: labels, cpu: 32000, mem: 128000,
		reportsTo: n, address: listener.Addr().String(),
	}
	if behindProxy {
		if e.proxy, err = newProxy(e.address); err != nil {
			return nil, err
		}
		e.address = e.proxy.listener.Addr().String()
	}
	e.life = newLife()
	server := &http.Server{Handler: http.HandlerFunc(e.handle), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	w.mutex.Lock()
	w.executors = append(w.executors, e)
	w.mutex.Unlock()
	go e.beat()
	go e.watchLease()
	return e, nil
}

func newLife() *life {
	return &life{
		born: time.Now().UnixMilli(), began: time.Now(), runs: map[string]*taskRun{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
}

func (l *life) clock() int64 { return time.Since(l.began).Milliseconds() + 1 }

// report returns what the executor says of itself. The caller holds the mutex.
func (e *executor) report() string {
	e.life.sequence++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	body := map[string]any{
		"service": "dispatch", "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": state, "cold-left-ms": 0,
		"capacity": map[string]int64{"cpu": e.cpu, "mem-mb": e.mem, "gpu": 0}, "labels": e.labels, "clock-ms": e.life.clock(),
		"seq": e.life.sequence, "born": e.life.born,
	}
	if e.draining {
		body["remaining-ms"] = drain.Milliseconds()
	}
	text, _ := json.Marshal(body)
	return string(text)
}

// beat sends heartbeats while the executor is up.
func (e *executor) beat() {
	for {
		e.sendHeartbeat()
		time.Sleep(heartbeat)
	}
}

// sendHeartbeat sends a heartbeat, to the next daemon if one doesn't acknowledge it within a second.
func (e *executor) sendHeartbeat() bool {
	for range 3 {
		e.world.mutex.Lock()
		if e.life.ended || e.cut || e.world.closing {
			e.world.mutex.Unlock()
			return false
		}
		body, control := e.report(), e.world.controls[e.reportsTo%len(e.world.controls)]
		e.world.mutex.Unlock()
		status, _ := call(http.MethodPut, "http://"+control.address("control")+"/pimentoswitch/instances/"+e.id, "", body, time.Second)
		if status >= 200 && status < 300 {
			return true
		}
		e.world.mutex.Lock()
		e.reportsTo++
		e.world.mutex.Unlock()
	}
	return false
}

// endLife ends the incarnation with everything that runs on it. The caller holds the mutex.
func (e *executor) endLife(how string) {
	l := e.life
	l.ended = true
	for _, run := range l.runs {
		e.world.onEnd(run, how)
		run.stopTimers()
		e.leaveGang(run)
	}
	l.runs = map[string]*taskRun{}
	close(l.changed)
}

// crash ends the executor without notice, and starts it again under the same id after a time.
func (e *executor) crash(down time.Duration) {
	w := e.world
	w.mutex.Lock()
	if e.life.ended {
		w.mutex.Unlock()
		return
	}
	w.noteLocked("executor %s crashes", e.id)
	e.endLife("lost in a crash")
	w.mutex.Unlock()
	time.AfterFunc(down, e.startAgain)
}

// startAgain starts a new incarnation under the same id.
func (e *executor) startAgain() {
	e.world.mutex.Lock()
	e.life, e.draining = newLife(), false
	e.world.noteLocked("executor %s starts again, born %d", e.id, e.life.born)
	e.world.mutex.Unlock()
	e.sendHeartbeat()
}

// watchLease kills what runs once the lease has ended.
func (e *executor) watchLease() {
	for {
		time.Sleep(10 * time.Millisecond)
		e.world.mutex.Lock()
		if l := e.life; !l.ended && l.lease > 0 && l.clock() > l.lease {
			for _, row := range l.finished {
				row.lapsedBy = true
			}
			for _, run := range l.runs {
				e.end(run, "lapsed")
			}
		}
		e.world.mutex.Unlock()
	}
}

// end ends a run and lists its end. The caller holds the mutex.
func (e *executor) end(run *taskRun, how string) {
	l := run.life
	if run.ended || l.ended {
		return
	}
	run.ended = true
	run.stopTimers()
	delete(l.runs, run.task)
	l.highest[run.task] = max(l.highest[run.task], run.number)
	l.number++
	l.finished = append(l.finished, &endRow{n: l.number, run: run, how: how})
	e.world.onEnd(run, how)
	e.leaveGang(run)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (r *taskRun) stopTimers() {
	for _, timer := range r.timers {
		timer.Stop()
	}
}

// after calls f with the mutex held, unless the run has ended by then.
func (r *taskRun) after(delay time.Duration, f func()) {
	r.timers = append(r.timers, time.AfterFunc(delay, func() {
		r.executor.world.mutex.Lock()
		defer r.executor.world.mutex.Unlock()
		if !r.ended && !r.life.ended {
			f()
		}
	}))
}

// work lets a run work from its checkpoint to its end, saving as it goes.
func (r *taskRun) work() {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(r.task))
	length := r.spec.work
	if r.spec.spread > 0 {
		length += time.Duration(hash.Sum32()%uint32(r.spec.spread.Milliseconds())) * time.Millisecond
	}
	saved, delay := savedWork(r.carried), time.Duration(0)
	if saved > 0 {
		delay = restore
	}
	for at := saved + checkpointing; r.spec.saves && at < length; at += checkpointing {
		r.after(delay+at-saved, func() { r.saved = fmt.Sprintf("%08x", at.Milliseconds()) })
	}
	r.after(delay+length-saved, func() {
		members := []*taskRun{r}
		if r.gang != nil {
			members = nil
			for member := range r.gang.members {
				members = append(members, member)
			}
		}
		for _, member := range members {
			member.gang = nil
		}
		for _, member := range members {
			member.executor.end(member, "done")
		}
	})
}

// savedWork returns the work that a checkpoint holds.
func savedWork(checkpoint string) time.Duration {
	ms, _ := strconv.ParseInt(checkpoint, 16, 64)
	return time.Duration(ms) * time.Millisecond
}

// joinGang adds a run to its gang, which works once all members are present. The caller holds the mutex.
func (e *executor) joinGang(run *taskRun) {
	key := gangKey{run.task[:strings.LastIndexByte(run.task, '.')], run.number, run.carried}
	g := e.world.gangs[key]
	if g == nil {
		g = &gang{members: map[*taskRun]bool{}}
		e.world.gangs[key] = g
	}
	g.members[run] = true
	run.gang = g
	if len(g.members) < run.spec.gang {
		run.after(gangTimeout, func() {
			if !g.working {
				e.end(run, "alone")
			}
		})
		return
	}
	g.working = true
	for member := range g.members {
		member.work()
	}
}

// leaveGang ends the other members of a gang that works, since it can't without this one.
func (e *executor) leaveGang(run *taskRun) {
	g := run.gang
	if g == nil {
		return
	}
	run.gang = nil
	delete(g.members, run)
	if !g.working {
		return
	}
	for member := range g.members {
		member.gang = nil
		member.executor.end(member, "broken")
	}
}
