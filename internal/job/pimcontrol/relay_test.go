package pimcontrol

import (
	"context"
	"io"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimmetric"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimforward"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimrelay"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
)

type (
	// recordingTransport keeps the results that a relay sends, by the ID of their call.
	recordingTransport struct{ results chan pimmessage.WorkerResult }

	// gatedWorkers executes calls once the gate is open.
	gatedWorkers struct {
		gate  sync.RWMutex
		calls atomic.Int64
	}
)

// Send keeps a result.
func (r recordingTransport) Send(_, _ string, message pimmessage.PeerMessage) {
	if result, ok := message.(pimmessage.WorkerResult); ok {
		r.results <- result
	}
}

// Call waits for the gate.
func (w *gatedWorkers) Call(_ context.Context, call pimfleet.Call) pimfleet.Result {
	w.gate.RLock()
	defer w.gate.RUnlock()
	w.calls.Add(1)
	return pimfleet.Result{Call: call, Outcome: pimfleet.OutcomeExecuted, Clock: time.Minute, Generation: 7}
}

func newRelay(t *testing.T) (*Control, *gatedWorkers, recordingTransport) {
	t.Helper()
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	workers, transport := &gatedWorkers{}, recordingTransport{make(chan pimmessage.WorkerResult, 2*callQueueSize)}
	c, err := New(Settings{Address: "r:1", DataDir: t.TempDir(), Domain: "east"}, workers, pimmetric.NewMetrics(), logger)
	assert.NilError(t, err)
	c.SetTransport(transport, pimforward.NewForwarder(c.ID(), nil, c, logger))
	t.Cleanup(func() {
		c.commands.StopAndWait()
		c.disk.store.Close()
	})
	return c, workers, transport
}

func workerCall(t *testing.T, term, id uint64, validity time.Duration, spec int) pimmessage.WorkerCall {
	t.Helper()
	call := pimfleet.StartRun{Target: pimfleet.Target{ID: "w"}, Token: term, Spec: string(make([]byte, spec))}
	body, err := pimrelay.EncodeCall(call)
	assert.NilError(t, err)
	return pimmessage.WorkerCall{Term: term, ID: id, Validity: validity, Body: body}
}

func (r recordingTransport) assertResult(t *testing.T, id uint64, outcome pimfleet.Outcome) {
	t.Helper()
	select {
	case message := <-r.results:
		result, err := pimrelay.DecodeResult(message.Body, nil)
		assert.NilError(t, err)
		assert.Equal(t, message.ID, id)
		assert.Equal(t, message.Domain, "east")
		assert.Equal(t, result.Outcome, outcome)
	case <-time.After(time.Minute):
		t.Fatalf("no result of call %d", id)
	}
}

// TestRelay guards against a relay that makes calls of a replaced leader or calls that waited too long, against one that
// blocks, and against calls that get no answer.
func TestRelay(t *testing.T) {
	t.Run("a valid call is made and answered", func(t *testing.T) {
		c, workers, transport := newRelay(t)
		c.Receive("l", c.ID(), workerCall(t, 5, 1, time.Minute, 0))
		transport.assertResult(t, 1, pimfleet.OutcomeExecuted)
		assert.Equal(t, workers.calls.Load(), int64(1))
	})
	t.Run("a call of an earlier term than the newest one known", func(t *testing.T) {
		c, workers, transport := newRelay(t)
		c.Receive("l", c.ID(), workerCall(t, 5, 1, time.Minute, 0))
		transport.assertResult(t, 1, pimfleet.OutcomeExecuted)
		c.Receive("l", c.ID(), workerCall(t, 4, 2, time.Minute, 0))
		transport.assertResult(t, 2, pimfleet.OutcomeNotSent)
		c.relaying.advanceTerm(6)
		c.Receive("l", c.ID(), workerCall(t, 5, 3, time.Minute, 0))
		transport.assertResult(t, 3, pimfleet.OutcomeNotSent)
		assert.Equal(t, workers.calls.Load(), int64(1))
	})
	t.Run("a call whose validity or term passes while it waits", func(t *testing.T) {
		for name, validity := range map[string]time.Duration{"validity": 50 * time.Millisecond, "term": time.Minute} {
			t.Run(name, func(t *testing.T) {
				c, workers, transport := newRelay(t)
				workers.gate.Lock()
				for range maxCommands {
					c.Receive("l", c.ID(), workerCall(t, 5, 0, time.Minute, 0))
				}
				for c.commands.RunningWorkers() < maxCommands {
					time.Sleep(time.Millisecond)
				}
				c.Receive("l", c.ID(), workerCall(t, 5, 1, validity, 0))
				time.Sleep(60 * time.Millisecond)
				if name == "term" {
					c.relaying.advanceTerm(6)
				}
				workers.gate.Unlock()
				outcomes := map[pimfleet.Outcome]int{}
				for range maxCommands + 1 {
					message := <-transport.results
					result, err := pimrelay.DecodeResult(message.Body, nil)
					assert.NilError(t, err)
					outcomes[result.Outcome]++
					assert.Equal(t, result.Outcome == pimfleet.OutcomeNotSent, message.ID == 1)
				}
				assert.Equal(t, outcomes[pimfleet.OutcomeNotSent], 1)
			})
		}
	})
	t.Run("calls beyond the limit of bytes and of number are answered at once", func(t *testing.T) {
		c, workers, transport := newRelay(t)
		workers.gate.Lock()
		defer workers.gate.Unlock()
		const size = 4 << 20
		for range maxRelayedBytes / size {
			c.Receive("l", c.ID(), workerCall(t, 5, 1, time.Minute, size-1000))
		}
		c.Receive("l", c.ID(), workerCall(t, 5, 2, time.Minute, size))
		transport.assertResult(t, 2, pimfleet.OutcomeNotSent)
		for range maxCommands + callQueueSize {
			c.Receive("l", c.ID(), workerCall(t, 5, 3, time.Minute, 0))
		}
		transport.assertResult(t, 3, pimfleet.OutcomeNotSent)
	})
	t.Run("a malformed call", func(t *testing.T) {
		c, _, transport := newRelay(t)
		c.Receive("l", c.ID(), pimmessage.WorkerCall{Term: 5, ID: 1, Validity: time.Minute, Body: []byte{0xc1}})
		transport.assertResult(t, 1, pimfleet.OutcomeNotSent)
	})
}

// BenchmarkHeldRenewals measures the memory of the goroutines that hold renewals open, without that of the connections.
func BenchmarkHeldRenewals(b *testing.B) {
	for _, count := range []int{300, 1000, 3000} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			for b.Loop() {
				workers := &gatedWorkers{}
				c := &Control{
					workers:  workers,
					renewals: pond.NewPool(maxRenewals, pond.WithQueueSize(callQueueSize), pond.WithNonBlocking(true)),
				}
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				workers.gate.Lock()
				for range count {
					c.callWorker(b.Context(), pimfleet.RenewLease{}, func() bool { return true }, func(pimfleet.Result) {})
				}
				for c.renewals.RunningWorkers() < int64(count) {
					time.Sleep(time.Millisecond)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				workers.gate.Unlock()
				c.renewals.StopAndWait()
				used := after.HeapAlloc + after.StackInuse - before.HeapAlloc - before.StackInuse
				b.ReportMetric(float64(used)/float64(count), "bytes/renewal")
			}
		})
	}
}
