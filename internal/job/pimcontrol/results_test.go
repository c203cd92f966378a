package pimcontrol

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimclock"
	"github.com/pimentoswitch/pimentoswitch/internal/base/pimmetric"
	"github.com/pimentoswitch/pimentoswitch/internal/base/pimroutine"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimforward"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
)

type (
	noTransport struct{}

	// heldWorkers counts the calls and never responds before the context ends.
	heldWorkers struct{ calls atomic.Int64 }
)

// Send drops the message.
func (noTransport) Send(string, string, pimmessage.PeerMessage) {}

// Call waits for the end of the context.
func (w *heldWorkers) Call(ctx context.Context, call pimfleet.Call) pimfleet.Result {
	w.calls.Add(1)
	<-ctx.Done()
	return pimfleet.Result{Call: call, Outcome: pimfleet.OutcomeNotSent}
}

// startLeader returns the only member of a group, which leads it and knows one worker. The test does the work of the
// daemon's loop.
func startLeader(ctx context.Context, t *testing.T) *Control {
	t.Helper()
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	c, err := New(Settings{
		Address: "a:1", DataDir: t.TempDir(), Bootstrap: true, InitialMembers: []string{"a:1"},
		Fleet: pimfleet.Policy{Lease: 8 * time.Second, Wait: time.Second},
	}, &heldWorkers{}, pimmetric.NewMetrics(), logger)
	assert.NilError(t, err)
	c.SetTransport(noTransport{}, pimforward.NewForwarder(c.ID(), nil, c, logger))
	written := pimroutine.Start(ctx, func(ctx context.Context) error { return c.disk.run(ctx, c.events) })
	t.Cleanup(func() { assert.NilError(t, <-written) })
	advanceUntil(ctx, t, c, func() bool { return c.leadership != nil && c.leadership.ready })
	c.leadership.pending.ops = append(c.leadership.pending.ops,
		pimjob.PutWorker{Worker: pimjob.Worker{ID: "w", Generation: 1, Address: "w:1"}})
	advanceUntil(ctx, t, c, func() bool { return c.state.Worker("w") != nil })
	return c
}

func advanceUntil(ctx context.Context, t *testing.T, c *Control, reached func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !reached(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end))
		c.now = pimclock.Now()
		select {
		case e := <-c.events:
			assert.NilError(t, c.handleEvents(e))
		default:
		}
		c.tick(ctx)
	}
}

func renewalResult(term uint64) resultEvent {
	target := pimfleet.Target{ID: "w", Generation: 1, Address: "w:1"}
	return resultEvent{term: term, result: pimfleet.Result{
		Call: pimfleet.RenewLease{Target: target, Token: term}, Outcome: pimfleet.OutcomeExecuted, Clock: time.Second, Generation: 1,
	}}
}

// TestLateResult checks that the result of a call to a worker reaches the leadership that made the call and no other one.
func TestLateResult(t *testing.T) {
	t.Run("a result of the present leadership", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := startLeader(ctx, t)
		assert.NilError(t, c.handleEvent(renewalResult(c.leadership.term)))
		assert.Assert(t, c.leadership.fleet.IsUsable("w", c.now))
	})
	t.Run("a result of an earlier leadership", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := startLeader(ctx, t)
		assert.NilError(t, c.handleEvent(renewalResult(c.leadership.term-1)))
		assert.Assert(t, !c.leadership.fleet.IsUsable("w", c.now))
	})
	t.Run("a result between the election and its confirmation", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := startLeader(ctx, t)
		term := c.leadership.term
		c.leadership = &leadership{term: term + 1}
		assert.NilError(t, c.handleEvent(renewalResult(term)))
		assert.NilError(t, c.handleEvent(renewalResult(term+1)))
		c.leadership = nil
		assert.NilError(t, c.handleEvent(renewalResult(term)))
	})
}

// TestPausedLeader checks that a leader that is paused between a decision and the call that follows from it doesn't make
// the call once another leader may have been elected.
func TestPausedLeader(t *testing.T) {
	for name, c := range map[string]struct {
		pause time.Duration
		calls int64
	}{
		"paused for as long as its permission lasts": {commandValidity, 0},
		"with a permission that lasts":               {-time.Minute, 1},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			control := startLeader(ctx, t)
			workers := &heldWorkers{}
			control.workers = workers
			control.now = pimclock.Now() - c.pause
			target := pimfleet.Target{ID: "w", Generation: 1, Address: "w:1"}
			control.call(ctx, pimfleet.StopRun{Target: target, Token: control.leadership.term})
			cancel()
			control.commands.StopAndWait()
			assert.Equal(t, workers.calls.Load(), c.calls)
		})
	}
}
