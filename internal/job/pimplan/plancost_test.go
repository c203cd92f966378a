package pimplan_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimorganisation"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimplan"
)

// mixedLoad submits serving, best-effort, batch, gang and long-running jobs that together need more than the workers have.
type mixedLoad struct {
	sim           *simulation
	workers       int
	organisations int
	jobs          []string
}

func newMixedLoad(t *testing.T, workers, organisations int, settings pimplan.Settings) *mixedLoad {
	sim := newSimulationWithRacks(t, workers, 20)
	sim.planner.Configure(settings)
	sim.remoteFactor = settings.RemoteFactor
	sim.interference = map[string]map[string]float64{"s0": {"b0": 0.25}, "s1": {"b1": 0.25}, "s2": {"b0": 0.1, "b1": 0.1}}
	var configured []pimorganisation.Organisation
	for i := range organisations {
		configured = append(configured, pimorganisation.Organisation{Name: fmt.Sprintf("o%d", i), Weight: 1 + i})
	}
	if organisations > 0 {
		sim.configure(configured...)
	}
	return &mixedLoad{sim: sim, workers: workers, organisations: organisations}
}

func (l *mixedLoad) submit(steps ...pimjob.Step) {
	id := fmt.Sprintf("job-%05d", len(l.jobs))
	organisation := ""
	if l.organisations > 0 {
		organisation = fmt.Sprintf("o%d", len(l.jobs)%l.organisations)
	}
	l.sim.apply(pimjob.Submit{
		Submission: pimjob.Submission{ID: id, Spec: "s", Steps: steps}, Organisation: organisation,
		Queue: pimjob.Queue{
			Name: fmt.Sprintf("q%d", len(l.jobs)%3), Service: "svc", Attempts: 3, Priority: len(l.jobs) % 2, Stretch: 2,
			Objective: time.Second,
		},
	})
	l.jobs = append(l.jobs, id)
}

// tick submits jobs that need about the given number of cores, and makes and executes a plan.
func (l *mixedLoad) tick(index int, cores float64) pimplan.Plan {
	sim := l.sim
	if index == 0 {
		for i := range 3 {
			l.submit(serving(fmt.Sprintf("s%d", i), l.workers/2))
		}
		hosted := pimjob.Step{
			Count: l.workers / 2, Need: pimjob.Resources{Millicores: 1000, MemoryMB: 500}, LongRunning: true, MaxPerWorker: 1,
		}
		l.submit(hosted)
	}
	for submitted := 0.0; submitted < cores; {
		width := 1 + int(min(40, sim.random.ExpFloat64()*4))
		step := batch(width, 1+sim.random.Int64N(6))
		switch kind := sim.random.IntN(10); {
		case kind < 3:
			step = bestEffort(fmt.Sprintf("b%d", sim.random.IntN(3)), width)
		case kind < 6:
			step.PreferredLabel = fmt.Sprintf("rack-%d", sim.random.IntN(max(1, l.workers/20)))
		case kind < 7:
			step.Gang, step.SameRack = true, sim.random.IntN(2) == 0
		}
		submitted += float64(width) * float64(step.Need.Millicores) / 1000
		l.submit(step)
	}
	sim.advance()
	for i, worker := range sim.state.Workers() {
		if (sim.now+time.Duration(i)*70*time.Millisecond)%reportInterval < tickInterval {
			sim.updated = append(sim.updated, worker.ID)
		}
	}
	switch index % 10 {
	case 3:
		l.failRuns(sim.random.IntN(l.workers))
	case 4:
		worker := *sim.state.Workers()[sim.random.IntN(l.workers)]
		worker.Draining = !worker.Draining
		sim.apply(pimjob.PutWorker{Worker: worker})
	case 5:
		sim.unusable = map[string]bool{fmt.Sprintf("w%02d", sim.random.IntN(l.workers)): true}
		sim.speeds = map[string]float64{fmt.Sprintf("w%02d", sim.random.IntN(l.workers)): 0.1}
	}
	plan := sim.plan()
	sim.now += tickInterval
	return plan
}

// failRuns lets all tasks on a worker that end fail, so that the worker is avoided for a while.
func (l *mixedLoad) failRuns(worker int) {
	var ended []pimjob.Op
	for key, live := range l.sim.state.RunsOn(fmt.Sprintf("w%02d", worker)) {
		if _, step, _ := l.sim.state.Task(key); !step.LongRunning {
			ended = append(ended, pimjob.End{
				Key: key, Number: live.Run.Number, Worker: live.Run.Worker, Generation: 1, Kind: pimjob.EndFailed,
			})
		}
	}
	slices.SortFunc(ended, func(a, b pimjob.Op) int { return pimjob.CompareKeys(a.(pimjob.End).Key, b.(pimjob.End).Key) })
	l.sim.apply(ended...)
}

// inTime returns the share of the work of jobs submitted up to the given time that ended within their objective.
func (l *mixedLoad) inTime(until int64) float64 {
	submitted, inTime := 0.0, 0.0
	for _, id := range l.jobs {
		job := l.sim.state.Job(id)
		step := &job.Submission.Steps[0]
		if step.LongRunning || job.AcceptedAt > until {
			continue
		}
		work := float64(step.Count) * float64(step.Need.Millicores) * step.Estimate.Seconds()
		submitted += work
		if job.State == pimjob.Completed && job.EndedAt-job.AcceptedAt <= (2*step.Estimate+time.Second).Milliseconds() {
			inTime += work
		}
	}
	return inTime / submitted
}

// BenchmarkPlanQuality measures what a simulated load gets from the plans, by the number of hosts: the share of the work
// that ended in time, the best-effort work done for each host, the time that serving tasks were over their targets, and the time
// to plan a start.
func BenchmarkPlanQuality(b *testing.B) {
	const ticks, settle = 120, 80
	for _, cores := range []float64{1.5, 2.2} {
		for _, workers := range []int{100, 300, 1000, 3000} {
			b.Run(fmt.Sprintf("cores=%v/hosts=%d", cores, workers), func(b *testing.B) {
				for b.Loop() {
					load := newMixedLoad(nil, workers, 0, pimplan.Settings{RemoteFactor: 2})
					starts, until := 0, int64(0)
					for index := range ticks {
						if index == settle {
							until = epochMillis + load.sim.now.Milliseconds()
						}
						starts += len(load.tick(index, float64(workers)*cores).Starts)
					}
					sim := load.sim
					b.ReportMetric(100*load.inTime(until), "%in-time")
					b.ReportMetric(sim.bestEffortDone/float64(workers), "best-effort-s/host")
					b.ReportMetric(1000*sim.timeOverTarget/float64(workers), "over-target-ms/host")
					b.ReportMetric(float64(sim.planning.Microseconds())/float64(starts), "us/start")
					b.ReportMetric(float64(starts), "starts")
				}
			})
		}
	}
}

// TestSamePlansAsFullPass guards against plans of deployments of up to 600 hosts that differ from those of a full pass over
// all hosts. The digests are those of the planner before it had an index of free capacity.
func TestSamePlansAsFullPass(t *testing.T) {
	for _, test := range []struct {
		workers, organisations int
		settings               pimplan.Settings
		digest                 string
	}{
		{60, 0, pimplan.Settings{}, "05ba87ba9cac03df"},
		{60, 5, pimplan.Settings{RemoteFactor: 2}, "b0424814e83253c0"},
		{300, 0, pimplan.Settings{RemoteFactor: 2}, "44082f8a27689606"},
		{600, 3, pimplan.Settings{}, "ee4c0c2cfb4b009c"},
	} {
		t.Run(fmt.Sprintf("%d workers, %d organisations", test.workers, test.organisations), func(t *testing.T) {
			// That planner did not rank hosts by what other images could use them.
			test.settings.Without = []pimplan.Mechanism{pimplan.CompatibleHosts}
			load := newMixedLoad(t, test.workers, test.organisations, test.settings)
			hash := sha256.New()
			starts := 0
			for index := range 60 {
				plan := load.tick(index, float64(test.workers)*1.5)
				for _, start := range plan.Starts {
					fmt.Fprintln(hash, index, start.Key, start.Number, start.Worker)
				}
				for _, stop := range plan.Stops {
					fmt.Fprintln(hash, index, stop.Key, stop.Worker, stop.Reason)
				}
				starts += len(plan.Starts)
			}
			assert.Equal(t, hex.EncodeToString(hash.Sum(nil))[:16], test.digest, "%d starts", starts)
		})
	}
}

// TestSamePlansFromSameInput guards against plans of large deployments that depend on the order of a map, or on anything else
// but the input.
func TestSamePlansFromSameInput(t *testing.T) {
	for _, organisations := range []int{0, 4} {
		var digests []string
		for range 2 {
			load := newMixedLoad(t, 700, organisations, pimplan.Settings{RemoteFactor: 2})
			hash := sha256.New()
			for index := range 20 {
				fmt.Fprintln(hash, load.tick(index, 1400))
			}
			digests = append(digests, hex.EncodeToString(hash.Sum(nil)))
		}
		assert.Equal(t, digests[0], digests[1], "%d organisations", organisations)
	}
}
