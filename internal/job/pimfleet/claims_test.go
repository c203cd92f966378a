package pimfleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

// claim delivers a heartbeat that gives another generation or address of a worker.
func (s *simulation) claim(id string, generation int64, address string) {
	worker := *s.state.Worker(id)
	worker.Generation, worker.Address = generation, address
	s.fleet.OnClaim(worker, s.workers[id].clock(s.now), s.now)
}

// answerClaim answers the calls to a claimed address as a worker of a generation does.
func (s *simulation) answerClaim(address string, generation int64) {
	s.t.Helper()
	calls, _, _ := s.fleet.Take()
	answered := 0
	for _, call := range calls {
		if target := pimfleet.TargetOf(call); target.Address == address {
			answered++
			s.fleet.OnResult(pimfleet.Result{
				Call: call, Outcome: pimfleet.OutcomeExecuted, Generation: generation, Clock: time.Second,
			}, s.now)
			continue
		}
		s.send(call)
	}
	assert.Equal(s.t, answered, 1)
	s.applyFleetOutput()
}

// Guards against ending the runs of a worker on the word of a heartbeat that another writer has sent.
func TestClaims(t *testing.T) {
	const far = int64(9_000_000_000_000)
	t.Run("a generation that the worker does not confirm changes nothing", func(t *testing.T) {
		s := newLeaveSimulation(t, false)
		for _, generation := range []int64{far, 2, 0} {
			s.claim("w1", generation, "other:1")
			s.answerClaim("other:1", 1)
			s.run(time.Second)
		}
		s.claim("w1", far, "")
		s.run(2 * testLease)
		assert.Equal(t, s.starts, 6)
		assert.Equal(t, len(s.workers["w1"].runs), 6)
		assert.Equal(t, s.state.Worker("w1").Generation, int64(1))
		s.assertUsable("w1")
	})
	t.Run("an address at which nothing responds changes nothing", func(t *testing.T) {
		s := newLeaveSimulation(t, false)
		s.claim("w1", 1, "nowhere:1")
		calls, _, _ := s.fleet.Take()
		for _, call := range calls {
			if pimfleet.TargetOf(call).Address == "nowhere:1" {
				s.fleet.OnResult(pimfleet.Result{Call: call}, s.now)
				continue
			}
			s.send(call)
		}
		s.run(2 * testLease)
		assert.Equal(t, s.starts, 6)
		assert.Equal(t, s.state.Worker("w1").Address, "")
		s.assertUsable("w1")
	})
	t.Run("a generation that the worker confirms ends the runs of the one before", func(t *testing.T) {
		s := newLeaveSimulation(t, false)
		s.restart(s.workers["w1"])
		s.claim("w1", 2, "new:1")
		s.answerClaim("new:1", 2)
		assert.Equal(t, s.state.Worker("w1").Generation, int64(2))
		assert.Equal(t, s.state.Worker("w1").Address, "new:1")
		assert.Equal(t, len(s.state.RunsOn("w1")), 0)
		s.run(2 * time.Second)
		assert.Equal(t, s.starts, 12)
	})
	t.Run("an earlier generation is not taken back while the present one responds", func(t *testing.T) {
		s := newSimulation(t, 1, "w1")
		s.restart(s.workers["w1"])
		s.run(time.Second)
		s.claim("w1", 1, "old:1")
		s.answerClaim("old:1", 1)
		assert.Equal(t, s.state.Worker("w1").Generation, int64(2))
	})
	t.Run("a worker whose generation was known too high is heard again", func(t *testing.T) {
		s := newSimulation(t, 1, "w1")
		w2 := &fakeWorker{id: "w2"}
		w2.reset(1, s.now)
		s.workers["w2"] = w2
		s.apply(pimjob.PutWorker{Worker: pimjob.Worker{ID: "w2", Generation: far, Service: "svc", Address: "odd:1", Capacity: s.capacity}})
		calls, _, _ := s.fleet.Take()
		for _, call := range calls {
			s.fleet.OnResult(pimfleet.Result{Call: call}, s.now)
		}
		s.claim("w2", 1, "real:1")
		s.answerClaim("real:1", 1)
		assert.Equal(t, s.state.Worker("w2").Generation, int64(1))
		s.run(time.Second)
		s.assertUsable("w2")
	})
	t.Run("a worker whose time of day was set back comes back", func(t *testing.T) {
		s := newSimulation(t, 1, "w1")
		// Calls name the worker and not its generation.
		s.ignoreGeneration = true
		w1 := s.workers["w1"]
		w1.neverFinishes = true
		w1.reset(7, s.now)
		s.run(time.Second)
		s.submit("a", 6)
		s.run(time.Second)
		assert.Equal(t, len(w1.runs), 6)
		w1.reset(3, s.now)
		s.breakRenewals(w1)
		s.run(2 * testLease)
		assert.Equal(t, s.state.Worker("w1").Generation, int64(3))
		assert.Equal(t, s.starts, 12)
	})
}

// Guards against one heartbeat with a number that is too large after which those of the worker count as late.
func TestImplausibleHeartbeats(t *testing.T) {
	const far = 9_000_000_000 * time.Second
	s := newSimulation(t, 1, "w1")
	observe := func(sequence int64, clock time.Duration) bool {
		return s.fleet.ObserveOrder("w1", 1, sequence, clock, s.now)
	}
	clock := func() time.Duration { return s.workers["w1"].clock(s.now) }
	t.Run("before the worker has told its clock", func(t *testing.T) {
		assert.Assert(t, s.fleet.IsPlausible("w1", 1, far, s.now))
		observe(1<<53, far)
		s.fleet.OnCapacity("w1", 1, far, s.now)
		s.run(500 * time.Millisecond)
		assert.Assert(t, !observe(7, clock()))
	})
	t.Run("afterwards", func(t *testing.T) {
		assert.Assert(t, !s.fleet.IsPlausible("w1", 1, far, s.now))
		assert.Assert(t, !s.fleet.IsPlausible("w1", 1, clock()+10*time.Second, s.now))
		assert.Assert(t, s.fleet.IsPlausible("w1", 1, clock()+time.Second, s.now))
	})
	t.Run("a sequence number that is too large", func(t *testing.T) {
		observe(1<<53, clock())
		s.run(time.Second)
		assert.Assert(t, !observe(8, clock()))
		assert.Assert(t, observe(7, clock()-500*time.Millisecond), "an earlier heartbeat is late")
	})
}
