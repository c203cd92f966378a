package pimcontrol

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimrpc"
)

// Guards against a heartbeat of another writer that ends the runs of the worker under whose ID it comes.
func TestHeartbeatOfAnotherWriter(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := startLeader(ctx, t)
	report := func(worker pimjob.Worker) {
		worker.ID = "w"
		c.heartbeat(pimrpc.Heartbeat{Worker: worker, Clock: time.Second, Sequence: 1}, func(pimrpc.Response) {})
		end := time.Now().Add(100 * time.Millisecond)
		advanceUntil(ctx, t, c, func() bool { return time.Now().After(end) })
	}
	answer := func(target pimfleet.Target, generation int64) {
		assert.NilError(t, c.handleEvent(resultEvent{c.leadership.term, pimfleet.Result{
			Call: pimfleet.RenewLease{Target: target, Token: c.leadership.term}, Outcome: pimfleet.OutcomeExecuted,
			Generation: generation, Clock: time.Second,
		}}))
	}
	for name, worker := range map[string]pimjob.Worker{
		"a later generation":   {Generation: 9_000_000_000_000, Address: "w:1"},
		"another address":      {Generation: 1, Address: "x:1"},
		"an earlier one":       {Generation: 0, Address: "w:1"},
		"both":                 {Generation: 5, Address: "y:1"},
		"another service":      {Generation: 1, Address: "w:1", Service: "other", Capacity: pimjob.Resources{Millicores: 1}},
		"another domain":       {Generation: 1, Address: "w:1", Domain: "other", Capacity: pimjob.Resources{Millicores: 2}},
		"others of its labels": {Generation: 1, Address: "w:1", Labels: []string{"x"}, Capacity: pimjob.Resources{Millicores: 3}},
	} {
		t.Run(name, func(t *testing.T) {
			report(worker)
			// At another address, another worker responds.
			answered := map[bool]int64{true: 1, false: 77}[worker.Address == "w:1"]
			answer(pimfleet.Target{ID: "w", Generation: worker.Generation, Address: worker.Address}, answered)
			known := *c.state.Worker("w")
			known.Capacity = pimjob.Resources{}
			assert.DeepEqual(t, known, pimjob.Worker{ID: "w", Generation: 1, Address: "w:1"})
		})
	}
	t.Run("a later generation that the worker confirms", func(t *testing.T) {
		report(pimjob.Worker{Generation: 2, Address: "w:2"})
		answer(pimfleet.Target{ID: "w", Generation: 2, Address: "w:2"}, 2)
		advanceUntil(ctx, t, c, func() bool { return c.state.Worker("w").Generation == 2 })
		assert.Equal(t, c.state.Worker("w").Address, "w:2")
	})
}
