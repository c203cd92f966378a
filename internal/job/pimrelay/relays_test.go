package pimrelay_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimrelay"
)

// descriptors is what the platform allows a control daemon.
const descriptors = 4096

func workersOf(count int) []pimrelay.Worker {
	workers := make([]pimrelay.Worker, count)
	for i := range workers {
		workers[i] = pimrelay.Worker{ID: fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250), Domain: fmt.Sprintf("domain-%d", i%3)}
	}
	return workers
}

func daemonsOf(count int) []pimrelay.Daemon {
	daemons := make([]pimrelay.Daemon, count)
	for i := range daemons {
		daemons[i] = pimrelay.Daemon{ID: fmt.Sprintf("10.0.0.%d:9000#first", i+1), Domain: fmt.Sprintf("domain-%d", i%3)}
	}
	return daemons
}

// TestDecision guards against relays in deployments whose leader can call all workers itself, even if each of them has a
// heartbeat connection to the leader, against their lack in larger ones, and against switching back and forth.
func TestDecision(t *testing.T) {
	enabled := func(r *pimrelay.Relays, workers int) bool {
		r.SetWorkers(workersOf(workers), pimrelay.ConnectionBudget(descriptors, workers, 0))
		return r.IsEnabled()
	}
	for workers, want := range map[int]bool{0: false, 350: false, 540: false, 1000: true, 3000: true} {
		t.Run(fmt.Sprintf("%d workers", workers), func(t *testing.T) {
			assert.Equal(t, enabled(pimrelay.NewRelays(pimrelay.Daemon{ID: "l"}, 0), workers), want)
		})
	}
	t.Run("hysteresis", func(t *testing.T) {
		r := pimrelay.NewRelays(pimrelay.Daemon{ID: "l"}, 0)
		assert.Assert(t, enabled(r, 560))
		assert.Assert(t, enabled(r, 540))
		assert.Assert(t, !enabled(r, 450))
		assert.Assert(t, !enabled(r, 540))
	})
	t.Run("without a limit", func(t *testing.T) {
		r := pimrelay.NewRelays(pimrelay.Daemon{ID: "l"}, 0)
		r.SetWorkers(workersOf(3000), pimrelay.ConnectionBudget(0, 3000, 0))
		assert.Assert(t, !r.IsEnabled())
	})
}

// TestAssign guards against daemons that get more workers than their descriptors allow, and against workers that change
// their daemon without need: each change opens new connections.
func TestAssign(t *testing.T) {
	workers := workersOf(3000)
	loads := func(daemons []pimrelay.Daemon) (map[string]string, int, int) {
		assigned, load, local := pimrelay.Assign(workers, daemons), map[string]int{}, 0
		largest := 0
		for i, worker := range workers {
			id := assigned[worker.ID]
			load[id]++
			largest = max(largest, load[id])
			for _, daemon := range daemons {
				if daemon.ID == id && daemon.Domain == workers[i].Domain {
					local++
				}
			}
		}
		assert.Equal(t, len(assigned), len(workers))
		return assigned, largest, local
	}
	six := daemonsOf(6)
	before, largest, local := loads(six)
	assert.Assert(t, largest <= 551, "%d workers at one daemon", largest)
	assert.Assert(t, local > 2700, "%d workers have a daemon in their failure domain", local)
	budget := pimrelay.ConnectionBudget(descriptors, 3000/6, 0)
	assert.Assert(t, largest*pimrelay.ConnectionsPerWorker(budget, largest) <= budget)

	after, _, _ := loads(six[:5])
	moved := 0
	for worker, daemon := range before {
		if daemon != six[5].ID && after[worker] != daemon {
			moved++
		}
	}
	assert.Assert(t, moved < 300, "%d workers of other daemons moved", moved)

	// One failure domain has a single daemon, which must not get all of its 1,000 workers.
	_, largest, _ = loads(six[:4])
	assert.Assert(t, largest <= 826, "%d workers at one daemon", largest)
	budget = pimrelay.ConnectionBudget(descriptors, 3000/4, 0)
	per := pimrelay.ConnectionsPerWorker(budget, largest)
	assert.Assert(t, per >= pimrelay.MinConnectionsPerWorker && largest*per <= budget, "%d connections for each", per)
}

// newInUse returns the relays of a leader that calls all 12 workers, with the relays a, b and c in contact.
func newInUse(t *testing.T) (*pimrelay.Relays, func(now time.Duration, ids ...string) []pimfleet.Result) {
	t.Helper()
	r := pimrelay.NewRelays(pimrelay.Daemon{ID: "leader"}, 0)
	r.SetMembers([]string{"leader", "a", "b", "c"})
	r.SetWorkers(workersOf(12), 1)
	at := time.Duration(0)
	return r, func(now time.Duration, ids ...string) []pimfleet.Result {
		var results []pimfleet.Result
		for ; at < now; at += 50 * time.Millisecond {
			for _, id := range ids {
				r.OnContact(id, at+1)
			}
			results = append(results, r.Tick(at+1)...)
		}
		return results
	}
}

func callTo(worker int, wait time.Duration) pimfleet.Call {
	return pimfleet.RenewLease{Target: pimfleet.Target{ID: workersOf(worker + 1)[worker].ID}, Wait: wait}
}

// TestLostRelay guards against calls whose outcome is reported late, or as not sent, when their relay is lost.
func TestLostRelay(t *testing.T) {
	sendAll := func(r *pimrelay.Relays, now time.Duration) map[string]int {
		calls := map[string]int{}
		for worker := range 12 {
			id, _ := r.Send(callTo(worker, time.Second), now)
			calls[id]++
		}
		return calls
	}
	t.Run("without contact", func(t *testing.T) {
		r, advance := newInUse(t)
		advance(time.Second, "a", "b", "c")
		calls := sendAll(r, time.Second)
		results := advance(2100*time.Millisecond, "a", "b")
		assert.Assert(t, calls["c"] > 0)
		assert.Equal(t, len(results), calls["c"])
		for _, result := range results {
			assert.Equal(t, result.Outcome, pimfleet.OutcomeUnknown)
		}
		assert.Equal(t, sendAll(r, 2100*time.Millisecond)["c"], 0)
	})
	t.Run("with contact and without answers", func(t *testing.T) {
		r, advance := newInUse(t)
		advance(time.Second, "a", "b", "c")
		relayed := map[string]int{}
		for worker := range 36 {
			id, _ := r.Send(pimfleet.StopRun{Target: pimfleet.TargetOf(callTo(worker%12, 0))}, time.Second)
			relayed[id]++
		}
		assert.Assert(t, min(relayed["a"], relayed["b"], relayed["c"]) >= 3)
		assert.Equal(t, len(advance(2200*time.Millisecond, "a", "b", "c")), 36-relayed[""])
		assert.Equal(t, sendAll(r, 2200*time.Millisecond)[""], 12)
	})
	t.Run("while the leader is paused", func(t *testing.T) {
		r, advance := newInUse(t)
		advance(time.Second, "a", "b", "c")
		calls := sendAll(r, time.Second)
		assert.Equal(t, len(r.Tick(10*time.Second)), 0)
		assert.DeepEqual(t, sendAll(r, 10*time.Second), calls)
	})
	t.Run("an answer after the end of the call is dropped", func(t *testing.T) {
		r, advance := newInUse(t)
		advance(time.Second, "a", "b", "c")
		relay, id := "", uint64(0)
		for worker := 0; relay == ""; worker++ {
			relay, id = r.Send(callTo(worker, 0), time.Second)
		}
		_, ok := r.OnResult("another", "", id, time.Second)
		assert.Assert(t, !ok)
		_, ok = r.OnResult(relay, "", id, time.Second)
		assert.Assert(t, ok)
		_, ok = r.OnResult(relay, "", id, time.Second)
		assert.Assert(t, !ok)
	})
}

// TestDetour guards against a worker whose relay can't reach it losing its lease: another relay and then the leader call
// it, and all calls of the worker take the same route.
func TestDetour(t *testing.T) {
	r, advance := newInUse(t)
	advance(time.Second, "a", "b", "c")
	var routes []string
	for worker := 0; len(routes) == 0; worker++ {
		first, _ := r.Send(callTo(worker, 0), time.Second)
		if first == "" {
			continue
		}
		for range 4 {
			id, _ := r.Send(callTo(worker, 0), time.Second)
			command, _ := r.Send(pimfleet.StopRun{Target: pimfleet.TargetOf(callTo(worker, 0))}, time.Second)
			assert.Equal(t, id, command)
			routes = append(routes, id)
			r.Observe(pimfleet.Result{Call: callTo(worker, 0)}, time.Second)
		}
		assert.Equal(t, routes[1], first)
	}
	assert.Equal(t, routes[0], routes[1])
	assert.Assert(t, routes[2] != routes[0] && routes[2] != "")
	assert.Equal(t, routes[3], "")
}

// TestCodec guards against fields of calls and results that get lost between daemons.
func TestCodec(t *testing.T) {
	key := rapid.Custom(func(t *rapid.T) pimjob.TaskKey {
		return pimjob.TaskKey{
			Job: rapid.SampledFrom([]string{"5c0e7a21d94b36f8", "b", ""}).Draw(t, "job"), Occurrence: rapid.Int().Draw(t, "occurrence"),
			Step: rapid.IntRange(0, 9).Draw(t, "step"), Index: rapid.IntRange(0, 1<<20).Draw(t, "index"),
		}
	})
	status := rapid.Custom(func(t *rapid.T) pimfleet.RunStatus {
		return pimfleet.RunStatus{
			Key: key.Draw(t, "key"), Number: rapid.Int().Draw(t, "number"), Checkpoint: rapid.String().Draw(t, "checkpoint"),
			ProgressPercent: rapid.IntRange(-1, 101).Draw(t, "progress"), Metric: rapid.Float64().Draw(t, "metric"),
		}
	})
	ended := rapid.Custom(func(t *rapid.T) pimfleet.EndedRun {
		return pimfleet.EndedRun{
			Sequence: rapid.Int64().Draw(t, "sequence"), Key: key.Draw(t, "key"), Number: rapid.Int().Draw(t, "number"),
			EndKind:    pimjob.EndKind(rapid.IntRange(0, int(pimjob.EndLost)).Draw(t, "kind")),
			Checkpoint: rapid.String().Draw(t, "checkpoint"),
		}
	})
	duration := rapid.Map(rapid.Int64(), func(n int64) time.Duration { return time.Duration(n) })
	rapid.Check(t, func(t *rapid.T) {
		target := pimfleet.Target{ID: rapid.String().Draw(t, "id"), Generation: rapid.Int64().Draw(t, "generation"), Address: "a:1"}
		token, number, run := rapid.Uint64().Draw(t, "token"), rapid.Int().Draw(t, "number"), key.Draw(t, "key")
		deadline := duration.Draw(t, "deadline")
		for _, call := range []pimfleet.Call{
			pimfleet.RenewLease{Target: target, Token: token, Cursor: int64(number), Deadline: deadline, Wait: 7, SentAt: 9},
			pimfleet.StartRun{
				Target: target, Token: token, Key: run, Number: number, Spec: "s", Checkpoint: "c", Ticket: "t", Deadline: deadline,
			},
			pimfleet.StopRun{Target: target, Token: token, Key: run, Number: number},
			pimfleet.ThrottleRun{Target: target, Token: token, Key: run, Number: number, SpeedPercent: 40},
		} {
			data, err := pimrelay.EncodeCall(call)
			assert.NilError(t, err)
			decoded, err := pimrelay.DecodeCall(data)
			assert.NilError(t, err)
			assert.DeepEqual(t, decoded, call)
		}
		result := pimfleet.Result{
			Outcome: pimfleet.Outcome(rapid.IntRange(0, int(pimfleet.OutcomeNotSent)).Draw(t, "outcome")),
			Reason:  pimfleet.Reason(rapid.IntRange(0, int(pimfleet.ReasonInvalidRequest)).Draw(t, "reason")),
			Clock:   duration.Draw(t, "clock"), Generation: rapid.Int64().Draw(t, "generation"),
			Incomplete: rapid.Bool().Draw(t, "incomplete"),
		}
		if n := rapid.IntRange(0, 5).Draw(t, "rows"); n > 0 {
			result.Running = rapid.SliceOfN(status, n, n).Draw(t, "running")
			result.Ended = rapid.SliceOfN(ended, n, n).Draw(t, "ended")
		}
		data, err := pimrelay.EncodeResult(result)
		assert.NilError(t, err)
		decoded, err := pimrelay.DecodeResult(data, nil)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, result)
	})
}

// FuzzWorkerCall decodes what a control daemon may receive as a call or as a result.
func FuzzWorkerCall(f *testing.F) {
	for _, call := range []pimfleet.Call{
		pimfleet.RenewLease{}, pimfleet.StartRun{Spec: "s"}, pimfleet.StopRun{}, pimfleet.ThrottleRun{},
	} {
		data, _ := pimrelay.EncodeCall(call)
		f.Add(data)
	}
	result := pimfleet.Result{Running: make([]pimfleet.RunStatus, 2), Ended: make([]pimfleet.EndedRun, 1)}
	data, _ := pimrelay.EncodeResult(result)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		if call, err := pimrelay.DecodeCall(data); err == nil {
			assert.Assert(t, call != nil)
			_ = pimfleet.TargetOf(call)
		}
		if result, err := pimrelay.DecodeResult(data, nil); err == nil {
			_, _ = result.Outcome.String(), result.Reason.String()
			for _, end := range result.Ended {
				_ = end.EndKind.String()
			}
		}
	})
}

// BenchmarkRenewalResult measures the result of a renewal with 125 running runs of 12 jobs: bytes in the message, and the
// time to encode and to decode it.
func BenchmarkRenewalResult(b *testing.B) {
	result := pimfleet.Result{Outcome: pimfleet.OutcomeExecuted, Clock: 3 * time.Hour, Generation: 1_764_000_000_000}
	for i := range 125 {
		result.Running = append(result.Running, pimfleet.RunStatus{
			Key: pimjob.TaskKey{Job: fmt.Sprintf("%016x", 0x5c0e7a21d94b36f8+i%12), Step: i % 4, Index: i}, Number: 1 + i%3,
			ProgressPercent: i % 100, Metric: 871.25 + float64(i),
		})
	}
	data, err := pimrelay.EncodeResult(result)
	assert.NilError(b, err)
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			_, _ = pimrelay.EncodeResult(result)
		}
		b.ReportMetric(float64(len(data)), "bytes/renewal")
	})
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			_, _ = pimrelay.DecodeResult(data, nil)
		}
	})
}

// BenchmarkRelays measures what the leader adds for each relayed renewal, and the assignment after a relay is lost.
func BenchmarkRelays(b *testing.B) {
	for _, count := range []int{300, 1000, 3000} {
		workers := workersOf(count)
		r := pimrelay.NewRelays(daemonsOf(6)[0], 0)
		var ids []string
		for _, daemon := range daemonsOf(6) {
			ids = append(ids, daemon.ID)
		}
		r.SetMembers(ids)
		r.SetWorkers(workers, 1)
		now := time.Duration(1)
		b.Run(fmt.Sprintf("renewal/%d", count), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				now += time.Second / time.Duration(count)
				for _, id := range ids[1:] {
					r.OnContact(id, now)
				}
				call := pimfleet.RenewLease{Target: pimfleet.Target{ID: workers[i%count].ID}, Wait: time.Second}
				if relay, id := r.Send(call, now); relay != "" {
					r.OnResult(relay, "", id, now)
				}
				r.Tick(now)
			}
		})
		b.Run(fmt.Sprintf("assign/%d", count), func(b *testing.B) {
			for b.Loop() {
				pimrelay.Assign(workers, daemonsOf(6))
			}
		})
	}
}
