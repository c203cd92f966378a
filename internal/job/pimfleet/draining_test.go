package pimfleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

// TestStaysUntil guards against a time to leave that is later than what the worker said, which would cost the runs on it,
// and against one that is forgotten while heartbeats are lost or kept when the worker takes it back.
func TestStaysUntil(t *testing.T) {
	// beat is a heartbeat that arrives the given time after the one before and was sent age before it arrives.
	type beat struct{ after, staysFor, age time.Duration }
	for name, test := range map[string]struct {
		beats []beat
		want  time.Duration
	}{
		"remains when heartbeats are lost": {[]beat{{0, 4 * time.Second, 0}, {3 * time.Second, 0, 0}}, time.Second},
		"a delayed heartbeat counts from when it was sent": {
			[]beat{{0, 4 * time.Second, time.Second}}, 3 * time.Second,
		},
		"a heartbeat that another one has overtaken has no effect": {
			[]beat{{0, 4 * time.Second, 0}, {0, 9 * time.Second, time.Second}}, 4 * time.Second,
		},
		"the worker stays longer":        {[]beat{{0, 4 * time.Second, 0}, {time.Second, 6 * time.Second, 0}}, 6 * time.Second},
		"the worker leaves earlier":      {[]beat{{0, 4 * time.Second, 0}, {time.Second, time.Second, 0}}, time.Second},
		"a little earlier has no effect": {[]beat{{0, 4 * time.Second, 0}, {time.Second, 2900 * time.Millisecond, 0}}, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s := newDrainingSimulation(t)
			for _, b := range test.beats {
				s.run(b.after)
				s.fleet.OnHeartbeat("w1", 1, s.workers["w1"].clock(s.now-b.age), b.staysFor, s.now)
			}
			until, ok := s.fleet.StaysUntil("w1")
			// The clock of the worker may be off by 2% over at most 6 s, and is known up to the delay of a call.
			stays, slack := until-s.now, 120*time.Millisecond+2*networkDelay
			assert.Assert(t, ok && stays <= test.want+2*networkDelay && stays >= test.want-slack, "stays for %v", stays)
			s.elect()
			_, ok = s.fleet.StaysUntil("w1")
			assert.Assert(t, !ok, "a new leader has had no heartbeat that says it")
		})
	}
	t.Run("a worker that leaves earlier than it said loses its runs, which start elsewhere", func(t *testing.T) {
		s := newDrainingSimulation(t)
		leaver := s.workers["w1"]
		s.fleet.OnHeartbeat("w1", 1, leaver.clock(s.now), 4*time.Second, s.now)
		s.submit("a", 4)
		s.run(200 * time.Millisecond)
		assert.Assert(t, s.fleet.OnLeave(leaver.id, leaver.generation, s.now))
		leaver.down = true
		s.run(8 * time.Second)
		s.assertCompleted("a")
	})
}

func newDrainingSimulation(t *testing.T) *simulation {
	s := newSimulation(t, 7, "w1", "w2")
	s.run(time.Second)
	worker := *s.state.Worker("w1")
	worker.Draining = true
	s.apply(pimjob.PutWorker{Worker: worker})
	return s
}
