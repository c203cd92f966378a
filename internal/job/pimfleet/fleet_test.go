package pimfleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

func (w *simulation) assertCompleted(ids ...string) {
	w.t.Helper()
	for _, id := range ids {
		assert.Equal(w.t, w.state.Job(id).State, pimjob.Completed, "job %s", id)
	}
}

func TestFleet(t *testing.T) {
	t.Run("a job is carried out", func(t *testing.T) {
		w := newSimulation(t, 1, "w1", "w2")
		w.submit("a", 20)
		w.run(8 * time.Second)
		w.assertCompleted("a")
	})
	t.Run("a run on a worker that is cut off starts elsewhere only when its lease is over", func(t *testing.T) {
		w := newSimulation(t, 2, "w1", "w2")
		w.run(time.Second)
		w.submit("a", 6)
		w.run(100 * time.Millisecond)
		w.workers["w1"].partitioned = true
		w.run(2 * testLease)
		w.assertCompleted("a")
	})
	t.Run("a worker that comes back in time keeps its runs", func(t *testing.T) {
		w := newSimulation(t, 3, "w1")
		w.run(time.Second)
		w.submit("a", 6)
		w.run(100 * time.Millisecond)
		w.workers["w1"].partitioned = true
		w.run(4 * time.Second)
		w.workers["w1"].partitioned = false
		w.run(3 * time.Second)
		assert.Assert(t, w.starts < 9, "%d starts", w.starts)
	})
	t.Run("a new life loses the runs at once", func(t *testing.T) {
		w := newSimulation(t, 4, "w1", "w2")
		w.run(time.Second)
		w.submit("a", 6)
		w.run(50 * time.Millisecond)
		w.workers["w1"].reset(2, w.now)
		w.run(5 * time.Second)
		w.assertCompleted("a")
	})
	t.Run("a worker that leaves right after a run is done has done it", func(t *testing.T) {
		w := newSimulation(t, 1, "w1", "w2")
		w.submit("a", 1)
		answers := func() int {
			return slices.IndexFunc(w.queue, func(d delivery) bool { return d.result != nil && len(d.result.Ended) > 0 })
		}
		for answers() < 0 {
			w.run(tick)
		}
		// The answer that lists the end is on its way.
		leaver := w.workers[pimfleet.TargetOf(w.queue[answers()].result.Call).ID]
		if !w.fleet.OnLeave(leaver.id, leaver.generation, w.now) {
			w.apply(pimjob.DropWorker{ID: leaver.id, Generation: leaver.generation})
		}
		leaver.down = true
		w.run(10 * time.Second)
		w.assertCompleted("a")
		assert.Equal(t, w.starts, 1)
		assert.Assert(t, w.state.Worker(leaver.id) == nil)
	})
	t.Run("a new leader neither loses nor doubles runs", func(t *testing.T) {
		w := newSimulation(t, 5, "w1", "w2")
		w.submit("a", 30)
		for range 8 {
			w.run(400 * time.Millisecond)
			w.elect()
		}
		w.run(8 * time.Second)
		w.assertCompleted("a")
	})
	t.Run("runs of a cancelled job are stopped", func(t *testing.T) {
		w := newSimulation(t, 6, "w1")
		w.run(time.Second)
		w.submit("a", 6)
		w.run(30 * time.Millisecond)
		w.apply(pimjob.Cancel{ID: "a"})
		w.run(300 * time.Millisecond)
		assert.Equal(t, len(w.workers["w1"].runs), 0)
		assert.Equal(t, len(w.state.RunsOn("w1")), 0)
	})
}

// TestFleetUnderFaults lets orders get lost and arrive late while workers crash, are
// cut off and leaders change. The fake workers check that nothing runs twice.
func TestFleetUnderFaults(t *testing.T) {
	for seed := range uint64(120) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			w := newSimulation(t, seed, "w1", "w2", "w3")
			w.lostShare, w.lateShare, w.lostResultShare, w.slowShare, w.noCapacityShare = 0.05, 0.05, 0.08, 0.3, 0.1
			if seed >= 60 {
				// Nothing can fence a call that is later than the end of the run at the old life.
				w.ignoreGeneration, w.lateShare, w.delayedShare = true, 0, 0.3
			}
			ids := []string{"w1", "w2", "w3"}
			for round := range 12 {
				w.submit(fmt.Sprintf("job-%d", round), 4)
				victim := w.workers[ids[w.random.IntN(len(ids))]]
				switch w.random.IntN(4) {
				case 0:
					victim.partitioned = true
				case 1:
					w.restart(victim)
				case 2:
					w.elect()
				default:
				}
				w.run(time.Duration(w.random.Int64N(int64(3 * time.Second))))
				victim.partitioned = false
			}
			w.lostShare, w.lateShare, w.lostResultShare, w.slowShare, w.noCapacityShare, w.delayedShare = 0, 0, 0, 0, 0, 0
			w.run(40 * time.Second)
			for round := range 12 {
				w.assertCompleted(fmt.Sprintf("job-%d", round))
			}
		})
	}
}

// TestRowsTellWhatIsOurDoing: a run that stood still because it was slowed to nothing, or
// is being stopped, must not look like one that stands still by itself.
func TestRowsTellWhatIsOurDoing(t *testing.T) {
	w := newSimulation(t, 7, "w1")
	w.workers["w1"].neverFinishes = true
	w.run(time.Second)
	w.submit("a", 1)
	w.run(500 * time.Millisecond)
	key := pimjob.TaskKey{Job: "a"}
	w.fleet.Throttle("w1", key, 1, 0, w.now)
	w.run(3 * time.Second)
	w.fleet.Throttle("w1", key, 1, 100, w.now)
	w.run(500 * time.Millisecond)
	rows := w.fleet.ObservedRuns("w1")
	assert.Equal(t, len(rows), 1)
	assert.Assert(t, rows[0].ListedAt-rows[0].ProgressedAt < time.Second, "moved at %v, listed at %v", rows[0].ProgressedAt, rows[0].ListedAt)
	assert.Assert(t, !rows[0].Stopping)
	w.fleet.Stop("w1", key, 1, w.now)
	assert.Assert(t, w.fleet.ObservedRuns("w1")[0].Stopping)
}
