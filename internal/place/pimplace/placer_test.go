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

// harness drives a placer and applies each proposed command at once.
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
		view: pimplace.View{
			Owned: map[pimconfig.TaskID]pimplace.OwnedTask{}, State: pimdomain.NewState(),
			ConfigCurrent: true, StartsAllowed: true, BatchAllowed: true,
		},
	}
}

func (h *harness) setOwned(job string, count int, spec pimplace.TaskSpec) {
	h.view.ConfigVersion++
	for i := range count {
		h.view.Owned[pimconfig.TaskID{Job: job, Index: i}] = pimplace.OwnedTask{
			Owner: pimconfig.Owner{Domain: "north", Epoch: h.epoch}, Spec: spec,
		}
	}
}

func (h *harness) report(
	worker, rack string, capacity pimmanifest.Resources, tasks ...pimplace.TaskReport,
) pimplace.ReportResponse {
	h.Helper()
	h.sequence++
	response, err := h.placer.HandleReport(h.now, pimplace.Report{
		Worker: worker, Domain: "north", Rack: rack, Boot: "1", Sequence: h.sequence, Capacity: capacity, Tasks: tasks,
	}, h.view)
	assert.NilError(h, err)
	h.apply()
	return response
}

func (h *harness) apply() {
	proposals, decisions := h.placer.Take()
	for _, decision := range decisions {
		h.reasons = append(h.reasons, decision.Reason)
	}
	for _, command := range proposals {
		data, err := pimdomain.Encode(command)
		assert.NilError(h, err)
		h.view.AppliedIndex++
		h.placer.OnProposed(command, h.view.AppliedIndex)
		h.view.State.Apply(data)
	}
}

func (h *harness) tick(span time.Duration) {
	for end := h.now + span; h.now < end; {
		h.now += pimplace.TickInterval
		h.placer.Tick(h.now, h.view)
		h.apply()
	}
}

func (h *harness) taskRow(job string, index int) pimdomain.Task {
	return h.view.State.Tasks[pimconfig.TaskID{Job: job, Index: index}]
}

// currentReport returns the report entry of a task's current incarnation.
func (h *harness) currentReport(job string, index int, state pimplace.TaskState) pimplace.TaskReport {
	row := h.taskRow(job, index)
	return pimplace.TaskReport{
		Task: pimconfig.TaskID{Job: job, Index: index}, Epoch: row.Epoch, Incarnation: row.Incarnation,
		State: state, MemoryMB: row.Needs.MemoryMB,
	}
}

func (h *harness) tasksByWorker() map[string]int {
	counts := map[string]int{}
	for _, row := range h.view.State.Tasks {
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
		t.Run("no worker gets more tasks than fit under "+string(policy), func(t *testing.T) {
			h := newHarness(t, policy)
			h.report("w1", "r1", resources(3000, 1000))
			h.report("w2", "r1", resources(8000, 250))
			h.setOwned("quotes", 20, batchSpec)
			h.tick(time.Second)
			assert.DeepEqual(t, h.tasksByWorker(), map[string]int{"w1": 3, "w2": 2})
		})
	}
	t.Run("replicas are spread over racks and workers", func(t *testing.T) {
		h := newHarness(t, pimplace.PolicyInterference)
		for i := range 4 {
			h.report(fmt.Sprint("w", i), fmt.Sprint("r", i%2), resources(8000, 1000))
		}
		h.setOwned("callout", 4, serviceSpec)
		h.tick(time.Second)
		assert.DeepEqual(t, h.tasksByWorker(), map[string]int{"w0": 1, "w1": 1, "w2": 1, "w3": 1})
	})
	t.Run("services are placed before batch tasks", func(t *testing.T) {
		h := newHarness(t, pimplace.PolicyInterference)
		h.setOwned("a-batch", 10, batchSpec)
		h.setOwned("callout", 2, serviceSpec)
		h.report("w1", "r1", resources(2000, 1000))
		h.tick(time.Second)
		assert.Equal(t, h.taskRow("callout", 0).Worker, "w1")
		assert.Equal(t, h.taskRow("callout", 1).Worker, "w1")
	})
	t.Run("jobs that slow each other down are kept apart", func(t *testing.T) {
		h := newHarness(t, pimplace.PolicyInterference)
		h.setOwned("callout", 1, serviceSpec)
		h.report("w1", "r1", resources(8000, 1000))
		h.tick(time.Second)
		h.setOwned("noisy", 1, batchSpec)
		h.tick(time.Second)
		for range 10 {
			slow := h.currentReport("callout", 0, pimplace.TaskRunning)
			slow.SlowdownPercent = 80
			h.report("w1", "r1", resources(8000, 1000), slow, h.currentReport("noisy", 0, pimplace.TaskRunning))
			h.tick(500 * time.Millisecond)
		}
		h.report("w2", "r2", resources(8000, 1000))
		h.setOwned("noisy", 2, batchSpec)
		h.tick(time.Second)
		assert.Equal(t, h.taskRow("noisy", 1).Worker, "w2")
	})
	t.Run("nothing starts while starts are not allowed", func(t *testing.T) {
		h := newHarness(t, pimplace.PolicyInterference)
		h.report("w1", "r1", resources(8000, 1000))
		h.setOwned("callout", 1, serviceSpec)
		h.tick(time.Second)
		h.view.StartsAllowed = false
		h.setOwned("quotes", 3, batchSpec)
		h.tick(time.Second)
		assert.Equal(t, len(h.tasksByWorker()), 1)
		response := h.report("w1", "r1", resources(8000, 1000))
		assert.Equal(t, len(response.Commands), 0, "%v", response.Commands)
	})
}

func TestIncarnations(t *testing.T) {
	t.Run("a start is repeated until the worker reports the task", func(t *testing.T) {
		h := newHarness(t, pimplace.PolicyInterference)
		h.report("w1", "r1", resources(8000, 1000))
		h.setOwned("quotes", 1, batchSpec)
		h.tick(time.Second)
		for range 2 {
			response := h.report("w1", "r1", resources(8000, 1000))
			assert.Equal(t, response.Commands[0].Kind, pimplace.CommandStart)
			assert.Equal(t, response.Commands[0].Incarnation, uint64(1))
		}
		response := h.report("w1", "r1", resources(8000, 1000), h.currentReport("quotes", 0, pimplace.TaskRunning))
		assert.Equal(t, len(response.Commands), 0)
	})
	t.Run("a worker's tasks start elsewhere only after its lease has expired", func(t *testing.T) {
		h := newHarness(t, pimplace.PolicyInterference)
		h.report("w1", "r1", resources(8000, 1000))
		h.setOwned("callout", 1, serviceSpec)
		h.tick(time.Second)
		lease := pimplace.WorkerLease + pimplace.LeaseMargin - time.Second
		for range int(lease / (500 * time.Millisecond)) {
			h.report("w2", "r2", resources(8000, 1000))
			h.tick(500 * time.Millisecond)
			assert.Equal(t, h.taskRow("callout", 0).Worker, "w1")
		}
		h.report("w2", "r2", resources(8000, 1000))
		h.tick(time.Second)
		assert.Equal(t, h.taskRow("callout", 0).Worker, "w2")
		assert.Equal(t, h.taskRow("callout", 0).Incarnation, uint64(2))
	})
	t.Run("a worker gets no lease while the loss of its tasks is being committed", func(t *testing.T) {
		h := newHarness(t, pimplace.PolicyInterference)
		h.report("w1", "r1", resources(8000, 1000))
		h.setOwned("callout", 1, serviceSpec)
		h.tick(time.Second)
		h.now += pimplace.WorkerLease + pimplace.LeaseMargin
		h.placer.Tick(h.now, h.view)
		proposals, _ := h.placer.Take()
		h.placer.OnProposed(proposals[0], h.view.AppliedIndex+1)
		_, err := h.placer.HandleReport(h.now, pimplace.Report{
			Worker: "w1", Boot: "1", Sequence: 99, Capacity: resources(8000, 1000),
		}, h.view)
		assert.Equal(t, pimcode.Of(err), pimcode.LeaseExpired)
		data, err := pimdomain.Encode(proposals[0])
		assert.NilError(t, err)
		h.view.State.Apply(data)
		h.view.AppliedIndex++
		h.tick(pimplace.TickInterval)
		h.sequence = 100
		h.report("w1", "r1", resources(8000, 1000))
		h.tick(time.Second)
		assert.Equal(t, h.taskRow("callout", 0).Incarnation, uint64(2))
	})
	t.Run("an old incarnation is stopped", func(t *testing.T) {
		h := newHarness(t, pimplace.PolicyInterference)
		h.report("w1", "r1", resources(8000, 1000))
		h.setOwned("callout", 1, serviceSpec)
		h.tick(time.Second)
		stray := h.currentReport("callout", 0, pimplace.TaskRunning)
		stray.Epoch--
		response := h.report("w2", "r1", resources(100, 100), stray)
		assert.Equal(t, response.Commands[0].Kind, pimplace.CommandStop)
	})
	t.Run("an evicted task resumes once, from its checkpoint", func(t *testing.T) {
		h := newHarness(t, pimplace.PolicyInterference)
		h.report("w1", "r1", resources(1000, 1000))
		h.setOwned("quotes", 1, batchSpec)
		h.tick(time.Second)
		h.setOwned("callout", 1, serviceSpec)
		h.report("w1", "r1", resources(1000, 1000), h.currentReport("quotes", 0, pimplace.TaskRunning))
		h.tick(time.Second)
		response := h.report("w1", "r1", resources(1000, 1000), h.currentReport("quotes", 0, pimplace.TaskRunning))
		assert.Equal(t, response.Commands[0].Kind, pimplace.CommandCheckpoint)
		stopped := h.currentReport("quotes", 0, pimplace.TaskStopped)
		stopped.Checkpoint = 4711
		h.report("w1", "r1", resources(1000, 1000), stopped)
		h.report("w2", "r1", resources(1000, 1000))
		h.tick(time.Second)
		assert.Equal(t, h.taskRow("callout", 0).Worker, "w1")
		row := h.taskRow("quotes", 0)
		assert.Equal(t, row.Worker, "w2")
		assert.Equal(t, row.Checkpoint, uint64(4711))
		assert.Equal(t, row.Incarnation, uint64(2))
	})
	t.Run("a released task is not started again", func(t *testing.T) {
		h := newHarness(t, pimplace.PolicyInterference)
		h.setOwned("quotes", 1, batchSpec)
		owned := h.view.Owned[pimconfig.TaskID{Job: "quotes"}]
		owned.Owner.Releasing = true
		h.view.Owned[pimconfig.TaskID{Job: "quotes"}] = owned
		h.tick(time.Second)
		assert.Assert(t, h.taskRow("quotes", 0).Released)
		owned.Owner.Releasing = false
		h.view.ConfigVersion++
		h.view.Owned[pimconfig.TaskID{Job: "quotes"}] = owned
		h.report("w1", "r1", resources(8000, 1000))
		h.tick(time.Second)
		assert.Equal(t, h.taskRow("quotes", 0).Worker, "")
	})
}

func TestPressure(t *testing.T) {
	t.Run("high CPU usage throttles batch tasks and evicts none", func(t *testing.T) {
		h := newHarness(t, pimplace.PolicyInterference)
		h.report("w1", "r1", resources(4000, 1000))
		h.setOwned("quotes", 2, batchSpec)
		h.tick(time.Second)
		busy := h.currentReport("quotes", 0, pimplace.TaskRunning)
		busy.CPUMillis = 3900
		h.now += 5 * time.Second
		h.report("w1", "r1", resources(4000, 1000), busy, h.currentReport("quotes", 1, pimplace.TaskRunning))
		h.tick(200 * time.Millisecond)
		response := h.report("w1", "r1", resources(4000, 1000), busy, h.currentReport("quotes", 1, pimplace.TaskRunning))
		assert.Equal(t, len(response.Commands), 2)
		assert.Equal(t, response.Commands[0].Kind, pimplace.CommandThrottle)
	})
	t.Run("a throttled task is unthrottled once CPU usage is low, also by a new leader", func(t *testing.T) {
		h := newHarness(t, pimplace.PolicyInterference)
		h.report("w1", "r1", resources(4000, 1000))
		h.setOwned("quotes", 1, batchSpec)
		h.tick(time.Second)
		idle := h.currentReport("quotes", 0, pimplace.TaskRunning)
		idle.CPUMillis, idle.Throttled = 100, true
		h.now += 5 * time.Second
		response := h.report("w1", "r1", resources(4000, 1000), idle)
		assert.Equal(t, len(response.Commands), 1)
		assert.Equal(t, response.Commands[0].Kind, pimplace.CommandUnthrottle)
		idle.Throttled = false
		assert.Equal(t, len(h.report("w1", "r1", resources(4000, 1000), idle).Commands), 0)
	})
	t.Run("high memory usage evicts only the largest batch task", func(t *testing.T) {
		h := newHarness(t, pimplace.PolicyInterference)
		h.report("w1", "r1", resources(4000, 1000))
		h.setOwned("quotes", 3, batchSpec)
		h.tick(time.Second)
		large := h.currentReport("quotes", 1, pimplace.TaskRunning)
		large.MemoryMB = 900
		h.now += 5 * time.Second
		reports := []pimplace.TaskReport{
			h.currentReport("quotes", 0, pimplace.TaskRunning), large, h.currentReport("quotes", 2, pimplace.TaskRunning),
		}
		h.report("w1", "r1", resources(4000, 1000), reports...)
		h.tick(time.Second)
		response := h.report("w1", "r1", resources(4000, 1000), reports...)
		assert.Equal(t, len(response.Commands), 1, "%v", response.Commands)
		assert.Equal(t, response.Commands[0].Task.Index, 1)
	})
}

func TestQuarantine(t *testing.T) {
	simulate := func(h *harness, span time.Duration, failing func(worker string, job string) bool) {
		for end := h.now + span; h.now < end; {
			for _, worker := range []string{"w1", "w2", "w3"} {
				var reports []pimplace.TaskReport
				for id, row := range h.view.State.Tasks {
					if row.Worker != worker {
						continue
					}
					state := pimplace.TaskFinished
					if failing(worker, id.Job) {
						state = pimplace.TaskFailed
					}
					reports = append(reports, h.currentReport(id.Job, id.Index, state))
				}
				h.report(worker, worker, resources(2000, 1000), reports...)
			}
			h.tick(500 * time.Millisecond)
		}
	}
	t.Run("a worker that fails every task is quarantined after a few", func(t *testing.T) {
		h := newHarness(t, pimplace.PolicyInterference)
		h.setOwned("a", 200, batchSpec)
		h.setOwned("b", 200, batchSpec)
		simulate(h, 20*time.Second, func(worker, _ string) bool { return worker == "w2" })
		assert.Assert(t, h.view.State.Quarantined["w2"])
		assert.Equal(t, len(h.view.State.Quarantined), 1)
		failures := 0
		for _, row := range h.view.State.Tasks {
			failures += row.Failures
		}
		assert.Assert(t, failures <= 6, "%d tasks failed", failures)
	})
	t.Run("a quarantined worker gets tasks again later", func(t *testing.T) {
		h := newHarness(t, pimplace.PolicyInterference)
		h.setOwned("a", 400, batchSpec)
		simulate(h, 10*time.Second, func(worker, _ string) bool { return worker == "w2" })
		assert.Assert(t, h.view.State.Quarantined["w2"])
		simulate(h, 60*time.Second, func(string, string) bool { return false })
		assert.Equal(t, len(h.view.State.Quarantined), 0)
	})
	t.Run("a job that fails everywhere quarantines no worker and goes into backoff", func(t *testing.T) {
		h := newHarness(t, pimplace.PolicyInterference)
		h.setOwned("hopeless", 3, batchSpec)
		h.setOwned("fine", 50, batchSpec)
		simulate(h, 60*time.Second, func(_, job string) bool { return job == "hopeless" })
		assert.Equal(t, len(h.view.State.Quarantined), 0)
		starts := uint64(0)
		for i := range 3 {
			starts += h.taskRow("hopeless", i).Incarnation
		}
		assert.Assert(t, starts < 40, "%d starts of a job that can't run", starts)
	})
}

func BenchmarkTick(b *testing.B) {
	for _, workers := range []int{50, 100, 200, 600} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			h := newHarness(b, pimplace.PolicyInterference)
			h.setOwned("quotes", workers*10, batchSpec)
			for i := range workers {
				h.report(fmt.Sprint("w", i), "r", resources(10_000, 10_000))
			}
			for placed := -1; placed < len(h.view.State.Tasks); {
				placed = len(h.view.State.Tasks)
				h.tick(pimplace.TickInterval)
			}
			b.ReportAllocs()
			for b.Loop() {
				h.placer.Tick(h.now, h.view)
				h.apply()
			}
		})
	}
}
