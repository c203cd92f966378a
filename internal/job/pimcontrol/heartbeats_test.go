package pimcontrol

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimrpc"
)

// TestChangedCapacity guards against a worker whose capacity shrinks while it runs and that gets more runs than it then can
// hold, and against a late heartbeat that takes back a newer one.
func TestChangedCapacity(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := startLeader(ctx, t)
	heartbeat := func(sequence, millicores int64) {
		responded := false
		c.heartbeat(pimrpc.Heartbeat{
			Worker:   pimjob.Worker{ID: "w", Generation: 1, Address: "w:1", Capacity: pimjob.Resources{Millicores: millicores}},
			Clock:    time.Duration(sequence) * time.Second,
			Sequence: sequence,
		}, func(pimrpc.Response) { responded = true })
		advanceUntil(ctx, t, c, func() bool { return responded })
	}
	capacity := func() int64 { return c.state.Worker("w").Capacity.Millicores }
	heartbeat(3, 8000)
	assert.Equal(t, capacity(), int64(8000))
	heartbeat(5, 2000)
	assert.Equal(t, capacity(), int64(2000))
	heartbeat(4, 8000)
	assert.Equal(t, capacity(), int64(2000), "a heartbeat that was sent before")
	heartbeat(6, 8000)
	assert.Equal(t, capacity(), int64(8000))
}

// TestHeartbeatFilter guards against a heartbeat with news that does not reach the leader, and against thousands of workers
// whose unchanged heartbeats all do.
func TestHeartbeatFilter(t *testing.T) {
	const workers, budget = 1000, 3000
	state := pimjob.NewState()
	var ops []pimjob.Op
	for i := range workers {
		ops = append(ops, pimjob.PutWorker{Worker: pimjob.Worker{ID: fmt.Sprintf("w%d", i), Generation: 1, Address: "a:1"}})
	}
	state.Apply(1, ops)
	filter := &heartbeatFilter{}
	filter.reset(state)
	heartbeat := func(change func(worker *pimjob.Worker)) pimrpc.Heartbeat {
		worker := pimjob.Worker{ID: "w7", Generation: 1, Address: "a:1"}
		change(&worker)
		return pimrpc.Heartbeat{Worker: worker}
	}
	unchanged := heartbeat(func(*pimjob.Worker) {})

	t.Run("the leader gets an unchanged heartbeat every four seconds", func(t *testing.T) {
		assert.Assert(t, !filter.isRedundant(unchanged, budget, time.Second))
		assert.Assert(t, filter.isRedundant(unchanged, budget, 2500*time.Millisecond))
		assert.Assert(t, !filter.isRedundant(unchanged, budget, 5*time.Second))
	})
	t.Run("the leader gets each heartbeat with news", func(t *testing.T) {
		for _, change := range []func(worker *pimjob.Worker){
			func(worker *pimjob.Worker) { worker.Draining = true },
			func(worker *pimjob.Worker) { worker.Generation = 2 },
			func(worker *pimjob.Worker) { worker.Address = "a:2" },
			func(worker *pimjob.Worker) { worker.ID = "new" },
			func(worker *pimjob.Worker) { worker.Capacity = pimjob.Resources{Millicores: 1000} },
		} {
			assert.Assert(t, !filter.isRedundant(heartbeat(change), budget, 5*time.Second))
		}
	})
	t.Run("a worker that drains or has left is no longer filtered", func(t *testing.T) {
		filter.onChanges(state.Apply(2, []pimjob.Op{pimjob.DropWorker{ID: "w7", Generation: 1}}), nil)
		assert.Assert(t, !filter.isRedundant(unchanged, budget, 5*time.Second))
	})
	t.Run("a deployment whose workers the leader calls directly is not filtered", func(t *testing.T) {
		other := heartbeat(func(worker *pimjob.Worker) { worker.ID = "w8" })
		assert.Assert(t, !filter.isRedundant(other, 6*workers, 5*time.Second))
		assert.Assert(t, !filter.isRedundant(other, 6*workers, 5*time.Second+1))
	})
}
