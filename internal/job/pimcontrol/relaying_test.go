package pimcontrol_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimcontrol"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimrpc"
)

type (
	// workerPool is the workers of a deployment. Each run takes runTime.
	workerPool struct {
		mutex    sync.Mutex
		began    time.Time
		workers  map[string]*pooledWorker
		finished map[pimjob.TaskKey]bool
		// calls counts the calls of each control daemon.
		calls  map[string]int
		faults []string
	}

	pooledWorker struct {
		running  map[pimjob.TaskKey]int
		ended    []pimfleet.EndedRun
		sequence int64
	}

	// poolClient makes the calls of one control daemon.
	poolClient struct {
		pool   *workerPool
		daemon string
	}
)

const (
	runTime    = 150 * time.Millisecond
	poolTick   = 5 * time.Millisecond
	poolSize   = 20
	reserved   = 264
	testBudget = 40
)

func newWorkerPool() *workerPool {
	p := &workerPool{
		began: time.Now(), workers: map[string]*pooledWorker{}, finished: map[pimjob.TaskKey]bool{}, calls: map[string]int{},
	}
	for i := range poolSize {
		p.workers[fmt.Sprintf("w%02d", i)] = &pooledWorker{running: map[pimjob.TaskKey]int{}}
	}
	return p
}

func (p *workerPool) clock() time.Duration { return time.Since(p.began) + time.Second }

// Call executes a call. A renewal returns when a run ends or its wait has passed.
func (c poolClient) Call(ctx context.Context, call pimfleet.Call) pimfleet.Result {
	c.pool.mutex.Lock()
	c.pool.calls[c.daemon]++
	c.pool.mutex.Unlock()
	renewal, ok := call.(pimfleet.RenewLease)
	for end := time.Now().Add(renewal.Wait); ok && time.Now().Before(end) && ctx.Err() == nil; time.Sleep(poolTick) {
		if c.pool.hasEnds(renewal) {
			break
		}
	}
	return c.pool.execute(call)
}

func (p *workerPool) hasEnds(call pimfleet.RenewLease) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.ContainsFunc(p.workers[call.Target.ID].ended, func(end pimfleet.EndedRun) bool {
		return end.Sequence > call.Cursor
	})
}

func (p *workerPool) execute(call pimfleet.Call) pimfleet.Result {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	result := pimfleet.Result{Call: call, Outcome: pimfleet.OutcomeExecuted, Clock: p.clock(), Generation: 1}
	worker := p.workers[pimfleet.TargetOf(call).ID]
	switch call := call.(type) {
	case pimfleet.RenewLease:
		worker.ended = slices.DeleteFunc(worker.ended, func(end pimfleet.EndedRun) bool { return end.Sequence <= call.Cursor })
		for key, number := range worker.running {
			result.Running = append(result.Running, pimfleet.RunStatus{Key: key, Number: number})
		}
		result.Ended = slices.Clone(worker.ended)
	case pimfleet.StartRun:
		p.start(worker, call)
	}
	return result
}

func (p *workerPool) start(worker *pooledWorker, call pimfleet.StartRun) {
	if worker.running[call.Key] == call.Number {
		return
	}
	if p.finished[call.Key] {
		p.faults = append(p.faults, fmt.Sprintf("%v run %d starts after the task was done", call.Key, call.Number))
	}
	for id, other := range p.workers {
		if number := other.running[call.Key]; number != 0 {
			p.faults = append(p.faults, fmt.Sprintf("%v run %d starts while run %d is on %s", call.Key, call.Number, number, id))
		}
	}
	worker.running[call.Key] = call.Number
	time.AfterFunc(runTime, func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		delete(worker.running, call.Key)
		p.finished[call.Key] = true
		worker.sequence++
		worker.ended = append(worker.ended, pimfleet.EndedRun{Sequence: worker.sequence, Key: call.Key, Number: call.Number})
	})
}

func (p *workerPool) callsOf(daemon string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.calls[daemon]
}

// request repeats a request through the member at an address until the response is of type T.
func request[T pimrpc.Response](g *group, at string, request pimrpc.Request) T {
	g.t.Helper()
	var response pimrpc.Response
	var err error
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if response, err = g.members[at].call(request, time.Second); err == nil {
			if typed, ok := response.(T); ok {
				return typed
			}
		}
	}
	g.t.Fatalf("last response to %T: %T %+v, %v", request, response, response, err)
	panic("unreachable")
}

func (g *group) awaitCompleted(at string, ids ...string) {
	g.t.Helper()
	for _, id := range ids {
		lookup := pimrpc.Lookup{Address: pimrpc.Address{Host: "h", Path: "/q/" + id}}
		end := time.Now().Add(testTimeout)
		for request[pimrpc.JobState](g, at, lookup).State != pimjob.Completed {
			assert.Assert(g.t, time.Now().Before(end), "job %s was not completed", id)
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// TestRelays guards against jobs that stop, and runs that are doubled, when the descriptors of the leader don't suffice for
// all workers and a daemon that relays its calls is killed under load.
func TestRelays(t *testing.T) {
	pool := newWorkerPool()
	g := newGroupWith(t,
		func(address string) pimcontrol.Workers { return poolClient{pool, address} },
		func(settings *pimcontrol.Settings) {
			settings.MaxDescriptors = reserved + testBudget
			settings.Fleet.Lease = 6 * time.Second
		})
	leader := g.leader()
	others := g.others(leader)
	request[pimrpc.Done](g, leader, pimrpc.PutConfig{Config: pimjob.Config{
		Version: 2, Text: []byte("x"), Services: map[string]pimjob.Service{"svc": {Name: "svc"}},
		Queues: []pimjob.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "svc", Attempts: 3}},
	}})
	for id := range pool.workers {
		request[pimrpc.Done](g, leader, pimrpc.Heartbeat{Clock: pool.clock(), Worker: pimjob.Worker{
			ID: id, Generation: 1, Address: id + ":1", Service: "svc", Domain: "east",
			Capacity: pimjob.Resources{Millicores: 4000, MemoryMB: 4000},
		}})
	}
	var ids []string
	submit := func(count int) {
		for range count {
			id := fmt.Sprintf("%016x", len(ids)+1)
			ids = append(ids, id)
			request[pimrpc.Done](g, leader, pimrpc.Submit{
				Address: pimrpc.Address{Host: "h", Path: "/q/" + id},
				Submission: pimjob.Submission{ID: id, Spec: "x", Steps: []pimjob.Step{{
					Count: 20, Need: pimjob.Resources{Millicores: 1000, MemoryMB: 100}, Estimate: runTime,
				}}},
			})
		}
	}
	submit(10)
	g.awaitCompleted(leader, ids...)
	for _, address := range g.addresses {
		assert.Assert(t, pool.callsOf(address) > 10, "%s made %d calls", address, pool.callsOf(address))
	}
	submit(20)
	killed := others[0]
	g.members[killed].partitioned.Store(true)
	g.members[killed].stop()
	before := pool.callsOf(others[1])
	submit(10)
	g.awaitCompleted(leader, ids...)
	assert.Assert(t, pool.callsOf(others[1]) > before+10, "the other relay made %d calls", pool.callsOf(others[1])-before)
	// On a busy machine the other voter may be elected meanwhile, which must not harm the runs either.
	t.Logf("still the leader: %v", g.members[leader].control.IsLeader())
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	assert.DeepEqual(t, pool.faults, []string(nil))
	assert.Equal(t, len(pool.finished), 20*len(ids))
}
