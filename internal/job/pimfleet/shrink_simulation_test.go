package pimfleet_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimorganisation"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimplan"
)

type (
	// shrinkSimulation has workers that start whatever they are told to and whose capacity shrinks and grows back. It checks
	// that no start exceeds a capacity that its worker has had for capacityAge.
	shrinkSimulation struct {
		workers map[string]*shrinkingWorker
		// shrunk counts the changes of a worker behind a partition, overload the starts on a worker that had just shrunk.
		shrunk, overload int
	}

	shrinkingWorker struct {
		// changes are the capacities so far, the last one in force.
		changes         []capacityChange
		nextHeartbeatAt time.Duration
		sequence        int64
	}

	capacityChange struct {
		at       time.Duration
		capacity pimjob.Resources
	}
)

const (
	shrinkSeeds    = 150
	shrinkRounds   = 12
	beatInterval   = 1500 * time.Millisecond
	capacityAge    = 4500 * time.Millisecond
	shrinkingTasks = 8
)

var fullCapacity = pimjob.Resources{Millicores: 8000, MemoryMB: 8000}

func newShrinkSimulation(t *testing.T, seed uint64, ids ...string) *simulation {
	s := newSimulation(t, seed, ids...)
	s.capacity = fullCapacity
	s.policy.CapacityAge = capacityAge
	s.shrinks = &shrinkSimulation{workers: map[string]*shrinkingWorker{}}
	ops := []pimjob.Op{pimjob.PutConfig{Config: pimjob.Config{Version: 1, Services: map[string]pimjob.Service{"svc": {Name: "svc"}}}}}
	for _, worker := range s.state.Workers() {
		resized := *worker
		resized.Capacity = fullCapacity
		ops = append(ops, pimjob.PutWorker{Worker: resized})
		s.shrinks.workers[worker.ID] = &shrinkingWorker{
			changes:         []capacityChange{{0, fullCapacity}},
			nextHeartbeatAt: time.Duration(s.random.Int64N(int64(beatInterval))),
		}
	}
	s.state.Apply(startMillis, ops)
	s.elect()
	s.quotas = &quotaSimulation{quotas: map[string]pimorganisation.Resources{}, planner: pimplan.NewPlanner(s.state, s.fleet)}
	return s
}

// resize changes the capacity of a worker.
func (x *shrinkSimulation) resize(s *simulation, id string, share float64) {
	worker := x.workers[id]
	worker.changes = append(worker.changes, capacityChange{s.now, pimjob.Resources{
		Millicores: int64(float64(fullCapacity.Millicores) * share), MemoryMB: fullCapacity.MemoryMB,
	}})
	if s.workers[id].partitioned {
		x.shrunk++
	}
}

// advance sends the heartbeats that are due. One in ten is lost, as all of a partitioned worker are.
func (x *shrinkSimulation) advance(s *simulation) {
	for _, id := range slices.Sorted(maps.Keys(x.workers)) {
		worker, fake := x.workers[id], s.workers[id]
		if s.now < worker.nextHeartbeatAt {
			continue
		}
		worker.nextHeartbeatAt += beatInterval
		known := s.state.Worker(id)
		if fake.partitioned || s.random.IntN(10) == 0 || known == nil || known.Generation != fake.generation {
			continue
		}
		worker.sequence++
		clock, capacity := fake.clock(s.now), worker.changes[len(worker.changes)-1].capacity
		s.fleet.ObserveOrder(id, fake.generation, worker.sequence, clock, s.now)
		if known.Capacity != capacity {
			resized := *known
			resized.Capacity = capacity
			s.apply(pimjob.PutWorker{Worker: resized})
		}
		s.fleet.OnHeartbeat(id, fake.generation, clock, 0, s.now)
		s.fleet.OnCapacity(id, fake.generation, clock, s.now)
	}
}

// checkStart fails the test if a worker whose capacity no longer holds its runs gets another one.
func (x *shrinkSimulation) checkStart(s *simulation, at *fakeWorker, call pimfleet.StartRun) {
	var used pimjob.Resources
	for key := range at.runs {
		_, step, _ := s.state.Task(key)
		used = used.Plus(step.Need)
	}
	_, step, _ := s.state.Task(call.Key)
	used = used.Plus(step.Need)
	changes := x.workers[at.id].changes
	allowed := changes[len(changes)-1].capacity
	if !allowed.Fits(used) {
		x.overload++
	}
	for i := len(changes) - 1; i > 0 && changes[i].at > s.now-capacityAge; i-- {
		allowed.Millicores = max(allowed.Millicores, changes[i-1].capacity.Millicores)
	}
	if !allowed.Fits(used) {
		s.t.Errorf("at %v: %v run %d starts on %s: %d millicores are taken then, the worker has %d",
			s.now, call.Key, call.Number, at.id, used.Millicores, allowed.Millicores)
	}
}

// TestShrinkingWorkers guards against starts that are decided on a capacity from before a silence: workers that start
// whatever they are told to shrink and grow, also behind partitions and around elections, while calls are lost and late.
func TestShrinkingWorkers(t *testing.T) {
	seeds := seedsFrom(t, "PIM_SHRINK_SEEDS", shrinkSeeds)
	starts, shrunk, overload := 0, 0, 0
	for seed := range uint64(seeds) {
		ids := []string{"w1", "w2", "w3", "w4"}
		s := newShrinkSimulation(t, seed, ids...)
		s.lostShare, s.lateShare, s.lostResultShare, s.slowShare = 0.03, 0.03, 0.05, 0.3
		for round := range shrinkRounds {
			step := pimjob.Step{
				Count: shrinkingTasks, Estimate: time.Second, Need: pimjob.Resources{Millicores: 1500, MemoryMB: 100},
			}
			s.apply(pimjob.Submit{
				Submission: pimjob.Submission{ID: fmt.Sprintf("job-%d", round), Spec: "s", Steps: []pimjob.Step{step}},
				Queue:      pimjob.Queue{Name: "q", Service: "svc", Attempts: 1000},
			})
			id := ids[s.random.IntN(len(ids))]
			s.workers[id].partitioned = s.random.IntN(2) == 0
			s.run(time.Duration(s.random.Int64N(int64(time.Second))))
			s.shrinks.resize(s, id, []float64{0.2, 0.45, 0.7, 1}[s.random.IntN(4)])
			s.run(time.Duration(s.random.Int64N(int64(4 * time.Second))))
			switch s.random.IntN(4) {
			case 0:
				s.quotas.replaceLeader(s)
			case 1:
				s.restart(s.workers[ids[s.random.IntN(len(ids))]])
			}
			for _, worker := range s.workers {
				worker.partitioned = worker.partitioned && s.random.IntN(3) == 0
			}
			s.run(time.Duration(s.random.Int64N(int64(2 * time.Second))))
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
		starts, shrunk, overload = starts+s.starts, shrunk+s.shrinks.shrunk, overload+s.shrinks.overload
	}
	t.Logf("%d seeds: %d starts, %d changes behind a partition, %d starts on a worker that had just shrunk",
		seeds, starts, shrunk, overload)
	assert.Assert(t, starts > 50*seeds && shrunk > 2*seeds, "the simulation exercises the changes")
}
