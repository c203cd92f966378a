package pimcontrol

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimrpc"
)

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
		} {
			assert.Assert(t, !filter.isRedundant(heartbeat(change), budget, 5*time.Second))
		}
	})
	t.Run("a worker that drains or has left is no longer filtered", func(t *testing.T) {
		filter.onChanges(state.Apply(2, []pimjob.Op{pimjob.DropWorker{ID: "w7", Generation: 1}}))
		assert.Assert(t, !filter.isRedundant(unchanged, budget, 5*time.Second))
	})
	t.Run("a deployment whose workers the leader calls directly is not filtered", func(t *testing.T) {
		other := heartbeat(func(worker *pimjob.Worker) { worker.ID = "w8" })
		assert.Assert(t, !filter.isRedundant(other, 6*workers, 5*time.Second))
		assert.Assert(t, !filter.isRedundant(other, 6*workers, 5*time.Second+1))
	})
}
