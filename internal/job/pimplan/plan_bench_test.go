package pimplan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimorganisation"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimplan"
)

// idleWorkers are workers that may get runs and report none.
type idleWorkers struct{}

func (idleWorkers) IsUsable(string, time.Duration) bool        { return true }
func (idleWorkers) ObservedRuns(string) []pimfleet.ObservedRun { return nil }
func (idleWorkers) TakeUpdatedWorkers() []string               { return nil }
func (idleWorkers) StaysUntil(string) (time.Duration, bool)    { return 0, false }

// BenchmarkPlanByHosts measures a plan with two new short jobs of ten tasks each while the serving tasks leave a tenth of each
// host free and 200 steps find no host, by the number of hosts.
func BenchmarkPlanByHosts(b *testing.B) {
	for _, hosts := range []int{100, 300, 1000, 3000} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) { benchmarkPlanByHosts(b, hosts) })
	}
}

func benchmarkPlanByHosts(b *testing.B, hosts int) {
	state := pimjob.NewState()
	var ops []pimjob.Op
	for i := range hosts {
		ops = append(ops, pimjob.PutWorker{Worker: pimjob.Worker{
			ID: fmt.Sprintf("w%04d", i), Generation: 1, Service: "svc", Domain: "east", Rack: fmt.Sprintf("rack-%d", i/20),
			Capacity: pimjob.Resources{Millicores: 32_000, MemoryMB: 128_000},
		}})
	}
	queue := pimjob.Queue{Name: "q", Service: "svc", Attempts: 2, Stretch: 1.5, Objective: time.Second}
	submit := func(id string, step pimjob.Step) pimjob.Op {
		return pimjob.Submit{Submission: pimjob.Submission{ID: id, Steps: []pimjob.Step{step}}, Queue: queue}
	}
	serving := pimjob.Step{
		Count: 4, Need: pimjob.Resources{Millicores: 7000, MemoryMB: 10_000}, TargetLatency: 20 * time.Millisecond,
		LongRunning: true, Image: "serving",
	}
	for i := range hosts {
		ops = append(ops, submit(fmt.Sprintf("serving-%d", i), serving))
	}
	large := pimjob.Step{Count: 10, Need: pimjob.Resources{Millicores: 8000, MemoryMB: 1000}, Estimate: time.Second}
	for i := range 200 {
		step := large
		step.Need.Millicores += int64(i % 50)
		ops = append(ops, submit(fmt.Sprintf("waiting-%d", i), step))
	}
	state.Apply(1000, ops)
	planner := pimplan.NewPlanner(state, idleWorkers{})
	apply := func(now int64, ops ...pimjob.Op) {
		planner.OnChanges(state.Apply(now, ops), time.Duration(now)*time.Millisecond)
	}
	for range 3 {
		for _, start := range planner.Plan(time.Second, 1000).Starts {
			apply(1000, start)
		}
	}
	small := pimjob.Step{Count: 10, Need: pimjob.Resources{Millicores: 2000, MemoryMB: 1000}, Estimate: time.Second}
	starts := 0
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now := int64(2000 + i)
		b.StopTimer()
		apply(now, submit(fmt.Sprintf("a-%d", i), small), submit(fmt.Sprintf("b-%d", i), small))
		b.StartTimer()
		plan := planner.Plan(time.Duration(now)*time.Millisecond, now)
		b.StopTimer()
		starts += len(plan.Starts)
		for _, start := range plan.Starts {
			apply(now, start)
		}
		for _, start := range plan.Starts {
			apply(now, pimjob.End{
				Key: start.Key, Number: start.Number, Worker: start.Worker, Generation: 1, Kind: pimjob.EndDone,
			})
		}
		b.StartTimer()
	}
	b.ReportMetric(float64(starts)/float64(b.N), "starts/op")
}

// BenchmarkPlanForOrganisations measures a plan in which 940 organisations compete for the free capacity of all hosts, with
// three steps of tasks of 1 to 4 cores each.
func BenchmarkPlanForOrganisations(b *testing.B) {
	const count = 940
	for _, hosts := range []int{60, 300, 3000} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			sim := newSimulationWithRacks(nil, hosts, 20)
			var organisations []pimorganisation.Organisation
			for i := range count {
				organisations = append(organisations, pimorganisation.Organisation{Name: fmt.Sprintf("o%d", i), Weight: 1 + i%16})
			}
			sim.configure(organisations...)
			for i := range 3 * count {
				step := batch(1+hosts/100, int64(1+i%4))
				step.Need.MemoryMB += int64(i % 50)
				sim.submitFor(fmt.Sprintf("o%d", i%count), fmt.Sprintf("job-%d", i), step)
			}
			starts := 0
			for b.Loop() {
				starts = len(sim.planner.Plan(sim.now, epochMillis+sim.now.Milliseconds()).Starts)
			}
			b.ReportMetric(float64(starts), "starts/op")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*max(1, starts)), "us/start")
		})
	}
}
