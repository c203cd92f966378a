package pimfleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

const benchRuns = 30

var benchPolicy = pimfleet.Policy{Lease: 8 * time.Second, Wait: time.Second}

// newBenchState returns a state with workers and benchRuns runs on each.
func newBenchState(workers int) *pimjob.State {
	state := pimjob.NewState()
	var ops []pimjob.Op
	for i := range workers {
		ops = append(ops, pimjob.PutWorker{Worker: pimjob.Worker{
			ID: fmt.Sprintf("w%04d", i), Generation: 1, Service: "svc", Capacity: pimjob.Resources{Millicores: 1 << 20, MemoryMB: 1 << 20},
		}})
	}
	ops = append(ops, pimjob.Submit{
		Submission: pimjob.Submission{ID: "a", Spec: "s", Steps: []pimjob.Step{{Count: workers * benchRuns, Estimate: time.Second}}},
		Queue:      pimjob.Queue{Name: "q", Service: "svc", Attempts: 3},
	})
	for i := range workers * benchRuns {
		ops = append(ops, pimjob.Start{
			Key: pimjob.TaskKey{Job: "a", Index: i}, Number: 1, Worker: fmt.Sprintf("w%04d", i/benchRuns), Generation: 1,
		})
	}
	state.Apply(startMillis, ops)
	return state
}

// newBenchFleet returns the fleet of a leader and one result of a renewal for each worker.
func newBenchFleet(state *pimjob.State, workers int) (*pimfleet.Fleet, []pimfleet.Result) {
	fleet := pimfleet.NewFleet(benchPolicy, 1, state, time.Second)
	results := make([]pimfleet.Result, workers)
	for i := range results {
		id := fmt.Sprintf("w%04d", i)
		results[i] = pimfleet.Result{
			Call:    pimfleet.RenewLease{Target: pimfleet.Target{ID: id, Generation: 1}, Token: 1},
			Outcome: pimfleet.OutcomeExecuted, Clock: time.Second, Generation: 1,
		}
		for run := range benchRuns {
			results[i].Running = append(results[i].Running, pimfleet.RunStatus{
				Key: pimjob.TaskKey{Job: "a", Index: i*benchRuns + run}, Number: 1, ProgressPercent: 5, Metric: 900,
			})
		}
		fleet.OnHeartbeat(id, 1, time.Second, 0, time.Second)
		fleet.OnResult(results[i], time.Second)
	}
	fleet.Take()
	return fleet, results
}

// BenchmarkFleet measures what the leader does for one renewal, and for each wakeup of its event loop without work for a
// worker.
func BenchmarkFleet(b *testing.B) {
	for _, workers := range []int{300, 1000, 3000} {
		state := newBenchState(workers)
		fleet, results := newBenchFleet(state, workers)
		now := time.Second
		b.Run(fmt.Sprintf("renewal/%d", workers), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				now += time.Millisecond
				result := results[i%workers]
				result.Clock = now
				fleet.OnResult(result, now)
				fleet.Tick(now)
				fleet.Take()
				fleet.Next()
			}
		})
		b.Run(fmt.Sprintf("wakeup/%d", workers), func(b *testing.B) {
			for b.Loop() {
				now++
				fleet.Tick(now)
				fleet.Next()
			}
		})
		b.Run(fmt.Sprintf("cursors/%d", workers), func(b *testing.B) {
			for b.Loop() {
				fleet.PendingCursors()
			}
		})
		b.Run(fmt.Sprintf("new-leader/%d", workers), func(b *testing.B) {
			for b.Loop() {
				pimfleet.NewFleet(benchPolicy, 1, state, time.Second)
			}
		})
	}
}
