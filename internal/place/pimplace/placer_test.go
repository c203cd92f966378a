package pimplace_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/place/pimplace"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimdomain"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimmanifest"
)

// harness drives one placer; what it proposes is applied at once.
type harness struct {
	testing.TB
	placer   *pimplace.Placer
	now      time.Duration
	view     pimplace.View
	sequence uint64
	epoch    uint64
	reasons  []string
}

func newHarness(t testing.TB, policy pimplace.Policy) *harness {
	return &harness{
		TB: t, placer: pimplace.NewPlacer(time.Second, policy), now: time.Second, epoch: 10,
		view: pimplace.View{Owned: map[pimconfig.TaskID]pimplace.OwnedTask{}, State: pimdomain.NewState(), ConfigCurrent: true, StartsAllowed: true, BatchAllowed: true},
	}
}

func (y *harness) own(job string, count int, spec pimplace.TaskSpec) {
	y.view.ConfigVersion++
	for i := range count {
		y.view.Owned[pimconfig.TaskID{Job: job, Index: i}] = pimplace.OwnedTask{Owner: pimconfig.Owner{Domain: "north", Epoch: y.epoch}, Spec: spec}
	}
}

func (y *harness) report(worker, rack string, capacity pimmanifest.Resources, tasks ...pimplace.TaskReport) pimplace.ReportResponse {
	y.Helper()
	y.sequence++
	answer, err := y.placer.HandleReport(y.now, pimplace.Report{
		Worker: worker, Domain: "north", Rack: rack, Boot: "1", Sequence: y.sequence, Capacity: capacity, Tasks: tasks,
	}, y.view)
	assert.NilError(y, err)
	y.apply()
	return answer
}

func (y *harness) apply() {
	proposals, decisions := y.placer.Take()
	for _, decision := range decisions {
		y.reasons = append(y.reasons, decision.Reason)
	}
	for _, command := range proposals {
		data, err := pimdomain.Encode(command)
		assert.NilError(y, err)
		y.view.AppliedIndex++
		y.placer.OnProposed(command, y.view.AppliedIndex)
		y.view.State.Apply(data)
	}
}

func (y *harness) tick(span time.Duration) {
	for end := y.now + span; y.now < end; {
		y.now += pimplace.TickInterval
		y.placer.Tick(y.now, y.view)
		y.apply()
	}
}

func (y *harness) taskRow(job string, index int) pimdomain.Task {
	return y.view.State.Tasks[pimconfig.TaskID{Job: job, Index: index}]
}

// currentReport is the report line of a task's current incarnation.
func (y *harness) currentReport(job string, index int, state pimplace.TaskState) pimplace.TaskReport {
	row := y.taskRow(job, index)
	return pimplace.TaskReport{
		Task: pimconfig.TaskID{Job: job, Index: index}, Epoch: row.Epoch, Incarnation: row.Incarnation, State: state, MemoryMB: row.Needs.MemoryMB,
	}
}

func (y *harness) tasksByWorker() map[string]int {
	counts := map[string]int{}
	for _, row := range y.view.State.Tasks {
		if row.Worker != "" {
			counts[row.Worker]++
		}
	}
	return counts
}

func resources(cpu, memory int64) pimmanifest.Resources {
	return pimmanifest.Resources{CPUMillis: cpu, MemoryMB: memory}
}

var (
	serviceSpec = pimplace.TaskSpec{Service: true, Priority: 9, Team: "dispatch", Needs: resources(1000, 100)}
	batchSpec   = pimplace.TaskSpec{Team: "studio", Needs: resources(1000, 100), RunTime: time.Minute}
)

func TestPlacement(t *testing.T) {
	for _, policy := range []pimplace.Policy{pimplace.PolicyInterference, pimplace.PolicyFirstFit} {
		t.Run("no worker gets more than it holds under "+string(policy), func(t *testing.T) {
			y := newHarness(t, policy)
			y.report("w1", "r1", resources(3000, 1000))
			y.report("w2", "r1", resources(8000, 250))
			y.own("quotes", 20, batchSpec)
			y.tick(time.Second)
			assert.DeepEqual(t, y.tasksByWorker(), map[string]int{"w1": 3, "w2": 2})
		})
	}
	t.Run("replicas spread over racks", func(t *testing.T) {
		y := newHarness(t, pimplace.PolicyInterference)
		for i := range 4 {
			y.report(fmt.Sprint("w", i), fmt.Sprint("r", i%2), resources(8000, 1000))
		}
		y.own("callout", 4, serviceSpec)
		y.tick(time.Second)
		assert.DeepEqual(t, y.tasksByWorker(), map[string]int{"w0": 1, "w1": 1, "w2": 1, "w3": 1})
	})
	t.Run("services go before batch", func(t *testing.T) {
		y := newHarness(t, pimplace.PolicyInterference)
		y.own("a-batch", 10, batchSpec)
		y.own("callout", 2, serviceSpec)
		y.report("w1", "r1", resources(2000, 1000))
		y.tick(time.Second)
		assert.Equal(t, y.taskRow("callout", 0).Worker, "w1")
		assert.Equal(t, y.taskRow("callout", 1).Worker, "w1")
	})
	t.Run("pairs that slow each other down are kept apart", func(t *testing.T) {
		y := newHarness(t, pimplace.PolicyInterference)
		y.own("callout", 1, serviceSpec)
		y.report("w1", "r1", resources(8000, 1000))
		y.tick(time.Second)
		y.own("noisy", 1, batchSpec)
		y.tick(time.Second)
		for range 10 {
			slow := y.currentReport("callout", 0, pimplace.TaskRunning)
			slow.SlowdownPercent = 80
			y.report("w1", "r1", resources(8000, 1000), slow, y.currentReport("noisy", 0, pimplace.TaskRunning))
			y.tick(500 * time.Millisecond)
		}
		y.report("w2", "r2", resources(8000, 1000))
		y.own("noisy", 2, batchSpec)
		y.tick(time.Second)
		assert.Equal(t, y.taskRow("noisy", 1).Worker, "w2")
	})
	t.Run("nothing starts without leave", func(t *testing.T) {
		y := newHarness(t, pimplace.PolicyInterference)
		y.report("w1", "r1", resources(8000, 1000))
		y.own("callout", 1, serviceSpec)
		y.tick(time.Second)
		y.view.StartsAllowed = false
		y.own("quotes", 3, batchSpec)
		y.tick(time.Second)
		assert.Equal(t, len(y.tasksByWorker()), 1)
		answer := y.report("w1", "r1", resources(8000, 1000))
		assert.Equal(t, len(answer.Commands), 0, "%v", answer.Commands)
	})
}

func TestIncarnations(t *testing.T) {
	t.Run("a start is repeated until the worker has it", func(t *testing.T) {
		y := newHarness(t, pimplace.PolicyInterference)
		y.report("w1", "r1", resources(8000, 1000))
		y.own("quotes", 1, batchSpec)
		y.tick(time.Second)
		for range 2 {
			answer := y.report("w1", "r1", resources(8000, 1000))
			assert.Equal(t, answer.Commands[0].Kind, pimplace.CommandStart)
			assert.Equal(t, answer.Commands[0].Incarnation, uint64(1))
		}
		answer := y.report("w1", "r1", resources(8000, 1000), y.currentReport("quotes", 0, pimplace.TaskRunning))
		assert.Equal(t, len(answer.Commands), 0)
	})
	t.Run("a worker's tasks start elsewhere only after its lease", func(t *testing.T) {
		y := newHarness(t, pimplace.PolicyInterference)
		y.report("w1", "r1", resources(8000, 1000))
		y.own("callout", 1, serviceSpec)
		y.tick(time.Second)
		lease := pimplace.WorkerLease + pimplace.LeaseMargin - time.Second
		for range int(lease / (500 * time.Millisecond)) {
			y.report("w2", "r2", resources(8000, 1000))
			y.tick(500 * time.Millisecond)
			assert.Equal(t, y.taskRow("callout", 0).Worker, "w1")
		}
		y.report("w2", "r2", resources(8000, 1000))
		y.tick(time.Second)
		assert.Equal(t, y.taskRow("callout", 0).Worker, "w2")
		assert.Equal(t, y.taskRow("callout", 0).Incarnation, uint64(2))
	})
	t.Run("a worker gets no lease while the loss of its tasks is being committed", func(t *testing.T) {
		y := newHarness(t, pimplace.PolicyInterference)
		y.report("w1", "r1", resources(8000, 1000))
		y.own("callout", 1, serviceSpec)
		y.tick(time.Second)
		y.now += pimplace.WorkerLease + pimplace.LeaseMargin
		y.placer.Tick(y.now, y.view)
		proposals, _ := y.placer.Take()
		y.placer.OnProposed(proposals[0], y.view.AppliedIndex+1)
		_, err := y.placer.HandleReport(y.now, pimplace.Report{Worker: "w1", Boot: "1", Sequence: 99, Capacity: resources(8000, 1000)}, y.view)
		assert.Equal(t, pimcode.Of(err), pimcode.LeaseExpired)
		data, err := pimdomain.Encode(proposals[0])
		assert.NilError(t, err)
		y.view.State.Apply(data)
		y.view.AppliedIndex++
		y.tick(pimplace.TickInterval)
		y.sequence = 100
		y.report("w1", "r1", resources(8000, 1000))
		y.tick(time.Second)
		assert.Equal(t, y.taskRow("callout", 0).Incarnation, uint64(2))
	})
	t.Run("an old incarnation is stopped", func(t *testing.T) {
		y := newHarness(t, pimplace.PolicyInterference)
		y.report("w1", "r1", resources(8000, 1000))
		y.own("callout", 1, serviceSpec)
		y.tick(time.Second)
		stray := y.currentReport("callout", 0, pimplace.TaskRunning)
		stray.Epoch--
		answer := y.report("w2", "r1", resources(100, 100), stray)
		assert.Equal(t, answer.Commands[0].Kind, pimplace.CommandStop)
	})
	t.Run("evicted work resumes from its checkpoint, once", func(t *testing.T) {
		y := newHarness(t, pimplace.PolicyInterference)
		y.report("w1", "r1", resources(1000, 1000))
		y.own("quotes", 1, batchSpec)
		y.tick(time.Second)
		y.own("callout", 1, serviceSpec)
		y.report("w1", "r1", resources(1000, 1000), y.currentReport("quotes", 0, pimplace.TaskRunning))
		y.tick(time.Second)
		answer := y.report("w1", "r1", resources(1000, 1000), y.currentReport("quotes", 0, pimplace.TaskRunning))
		assert.Equal(t, answer.Commands[0].Kind, pimplace.CommandCheckpoint)
		stopped := y.currentReport("quotes", 0, pimplace.TaskStopped)
		stopped.Checkpoint = 4711
		y.report("w1", "r1", resources(1000, 1000), stopped)
		y.report("w2", "r1", resources(1000, 1000))
		y.tick(time.Second)
		assert.Equal(t, y.taskRow("callout", 0).Worker, "w1")
		row := y.taskRow("quotes", 0)
		assert.Equal(t, row.Worker, "w2")
		assert.Equal(t, row.Checkpoint, uint64(4711))
		assert.Equal(t, row.Incarnation, uint64(2))
	})
	t.Run("a released task is not started again", func(t *testing.T) {
		y := newHarness(t, pimplace.PolicyInterference)
		y.own("quotes", 1, batchSpec)
		owned := y.view.Owned[pimconfig.TaskID{Job: "quotes"}]
		owned.Owner.Releasing = true
		y.view.Owned[pimconfig.TaskID{Job: "quotes"}] = owned
		y.tick(time.Second)
		assert.Assert(t, y.taskRow("quotes", 0).Released)
		owned.Owner.Releasing = false
		y.view.ConfigVersion++
		y.view.Owned[pimconfig.TaskID{Job: "quotes"}] = owned
		y.report("w1", "r1", resources(8000, 1000))
		y.tick(time.Second)
		assert.Equal(t, y.taskRow("quotes", 0).Worker, "")
	})
}

func TestPressure(t *testing.T) {
	t.Run("processors that run short throttle batch before anything is evicted", func(t *testing.T) {
		y := newHarness(t, pimplace.PolicyInterference)
		y.report("w1", "r1", resources(4000, 1000))
		y.own("quotes", 2, batchSpec)
		y.tick(time.Second)
		hot := y.currentReport("quotes", 0, pimplace.TaskRunning)
		hot.CPUMillis = 3900
		y.now += 5 * time.Second
		y.report("w1", "r1", resources(4000, 1000), hot, y.currentReport("quotes", 1, pimplace.TaskRunning))
		y.tick(200 * time.Millisecond)
		answer := y.report("w1", "r1", resources(4000, 1000), hot, y.currentReport("quotes", 1, pimplace.TaskRunning))
		assert.Equal(t, len(answer.Commands), 2)
		assert.Equal(t, answer.Commands[0].Kind, pimplace.CommandThrottle)
	})
	t.Run("memory that runs short evicts the largest batch task, and one at a time", func(t *testing.T) {
		y := newHarness(t, pimplace.PolicyInterference)
		y.report("w1", "r1", resources(4000, 1000))
		y.own("quotes", 3, batchSpec)
		y.tick(time.Second)
		large := y.currentReport("quotes", 1, pimplace.TaskRunning)
		large.MemoryMB = 900
		y.now += 5 * time.Second
		lines := []pimplace.TaskReport{y.currentReport("quotes", 0, pimplace.TaskRunning), large, y.currentReport("quotes", 2, pimplace.TaskRunning)}
		y.report("w1", "r1", resources(4000, 1000), lines...)
		y.tick(time.Second)
		answer := y.report("w1", "r1", resources(4000, 1000), lines...)
		assert.Equal(t, len(answer.Commands), 1, "%v", answer.Commands)
		assert.Equal(t, answer.Commands[0].Task.Index, 1)
	})
}

func TestQuarantine(t *testing.T) {
	run := func(y *harness, span time.Duration, failing func(worker string, job string) bool) {
		for end := y.now + span; y.now < end; {
			for _, worker := range []string{"w1", "w2", "w3"} {
				var lines []pimplace.TaskReport
				for id, row := range y.view.State.Tasks {
					if row.Worker != worker {
						continue
					}
					state := pimplace.TaskFinished
					if failing(worker, id.Job) {
						state = pimplace.TaskFailed
					}
					lines = append(lines, y.currentReport(id.Job, id.Index, state))
				}
				y.report(worker, worker, resources(2000, 1000), lines...)
			}
			y.tick(500 * time.Millisecond)
		}
	}
	t.Run("a worker that fails everything is set aside after a few tasks", func(t *testing.T) {
		y := newHarness(t, pimplace.PolicyInterference)
		y.own("a", 200, batchSpec)
		y.own("b", 200, batchSpec)
		run(y, 20*time.Second, func(worker, _ string) bool { return worker == "w2" })
		assert.Assert(t, y.view.State.Quarantined["w2"])
		assert.Equal(t, len(y.view.State.Quarantined), 1)
		failures := 0
		for _, row := range y.view.State.Tasks {
			failures += row.Failures
		}
		assert.Assert(t, failures <= 6, "%d tasks failed", failures)
	})
	t.Run("it is tried again later", func(t *testing.T) {
		y := newHarness(t, pimplace.PolicyInterference)
		y.own("a", 400, batchSpec)
		run(y, 10*time.Second, func(worker, _ string) bool { return worker == "w2" })
		assert.Assert(t, y.view.State.Quarantined["w2"])
		run(y, 60*time.Second, func(string, string) bool { return false })
		assert.Equal(t, len(y.view.State.Quarantined), 0)
	})
	t.Run("a job that runs nowhere sets no worker aside and is held back", func(t *testing.T) {
		y := newHarness(t, pimplace.PolicyInterference)
		y.own("hopeless", 3, batchSpec)
		y.own("fine", 50, batchSpec)
		run(y, 60*time.Second, func(_, job string) bool { return job == "hopeless" })
		assert.Equal(t, len(y.view.State.Quarantined), 0)
		starts := uint64(0)
		for i := range 3 {
			starts += y.taskRow("hopeless", i).Incarnation
		}
		assert.Assert(t, starts < 40, "%d starts of a job that can't run", starts)
	})
}

func BenchmarkTick(b *testing.B) {
	for _, workers := range []int{50, 100, 200, 600} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			y := newHarness(b, pimplace.PolicyInterference)
			y.own("quotes", workers*10, batchSpec)
			for i := range workers {
				y.report(fmt.Sprint("w", i), "r", resources(10_000, 10_000))
			}
			for placed := -1; placed < len(y.view.State.Tasks); {
				placed = len(y.view.State.Tasks)
				y.tick(pimplace.TickInterval)
			}
			b.ReportAllocs()
			for b.Loop() {
				y.placer.Tick(y.now, y.view)
				y.apply()
			}
		})
	}
}
