package pimfleet_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

// Guards against starting tasks again whose ends are missing from a list because it holds a limited number of ends.
func TestMoreEndsThanAWorkerLists(t *testing.T) {
	for name, disrupt := range map[string]func(s *simulation){
		"behind a partition": func(s *simulation) {
			s.workers["w1"].partitioned = true
			s.run(4 * time.Second)
			s.workers["w1"].partitioned = false
		},
		"while there is no leader": func(s *simulation) {
			for range 300 {
				s.now += tick
				s.workers["w1"].advance(s, s.now)
			}
			s.queue = nil
			s.elect()
		},
		"with a leader after each list": func(s *simulation) {
			for range 20 {
				s.run(100 * time.Millisecond)
				s.elect()
			}
		},
		"with lost results": func(s *simulation) {
			s.lostResultShare = 0.3
			s.run(4 * time.Second)
			s.lostResultShare = 0
		},
	} {
		for _, limit := range []int{1, 7, 40} {
			t.Run(fmt.Sprintf("%s/%d at a time", name, limit), func(t *testing.T) {
				s := newSimulation(t, uint64(limit), "w1")
				s.maxListedEnds = limit
				s.run(time.Second)
				s.submit("a", 200)
				s.run(80 * time.Millisecond)
				disrupt(s)
				for range 60 {
					s.run(time.Second)
					if s.state.Job("a").State == pimjob.Completed {
						break
					}
				}
				s.assertCompleted("a")
				assert.Equal(t, s.starts, 200+s.failures, "%d tasks ran again after they were done", s.starts-200-s.failures)
			})
		}
	}
}

// Guards against a run that is taken for one that never ran because the response of its worker could not be read in full.
func TestIncompleteList(t *testing.T) {
	s := newSimulation(t, 1, "w1")
	s.workers["w1"].neverFinishes = true
	s.run(time.Second)
	s.submit("a", 3)
	s.run(time.Second)
	for _, incomplete := range []bool{true, false} {
		s.fleet.Take()
		s.fleet.OnResult(pimfleet.Result{
			Call:    pimfleet.RenewLease{Target: pimfleet.Target{ID: "w1", Generation: 1}, SentAt: s.now},
			Outcome: pimfleet.OutcomeExecuted, Generation: 1, Clock: s.now, Incomplete: incomplete,
		}, s.now)
		calls, ops, _ := s.fleet.Take()
		starts := 0
		for _, call := range calls {
			if _, ok := call.(pimfleet.StartRun); ok {
				starts++
			}
		}
		assert.Equal(t, starts, map[bool]int{true: 0, false: 3}[incomplete])
		assert.Equal(t, len(ops), 0)
	}
}
