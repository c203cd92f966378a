package pimplan_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimorganisation"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimshare"
)

// digestOfStarts plays jobs of three priorities at 1.5 times the capacity of two workers and returns a digest of the
// sequence of starts.
func digestOfStarts(sim *simulation, submit func(id string, priority int, steps ...pimjob.Step)) string {
	hash := sha256.New()
	for tick := range 200 {
		if tick < 150 && tick%2 == 0 {
			for i := range 3 {
				width := 1 + int(sim.random.ExpFloat64()*2)
				step := batch(width, 1+int64(tick%5))
				step.Gang = tick%14 == 0 && width < 8
				submit(fmt.Sprintf("job-%03d-%d", tick, i), tick%3, step)
			}
		}
		sim.advance()
		for _, start := range sim.plan().Starts {
			fmt.Fprintln(hash, tick, start.Key, start.Number, start.Worker)
		}
		sim.now += tickInterval
	}
	return hex.EncodeToString(hash.Sum(nil))[:16]
}

// submitFor submits a job of an organisation, or of a public queue if it is "".
func (sim *simulation) submitFor(organisation, id string, steps ...pimjob.Step) {
	sim.apply(pimjob.Submit{
		Submission: pimjob.Submission{ID: id, Spec: "s", Steps: steps}, Organisation: organisation,
		Queue:      pimjob.Queue{Name: "q", Service: "svc", Attempts: 3, Stretch: 2, Objective: time.Second},
		RateWindow: rateWindow,
	})
}

func (sim *simulation) configure(organisations ...pimorganisation.Organisation) {
	sim.apply(pimjob.PutConfig{Config: pimjob.Config{Version: 1, Organisations: organisations}})
}

const (
	rateWindow = 5 * time.Second
	// limitMillis is three times the objective of a job with an estimate of 1 s.
	limitMillis = 9000
)

func endedInTime(job *pimjob.Job) bool {
	return job.State == pimjob.Completed && job.EndedAt-job.AcceptedAt <= limitMillis
}

// TestOrderWithoutOrganisations guards against changes of the order where no organisation is configured, and where one is
// but all tasks fit. The digests are those of the planner before organisations were known to it.
func TestOrderWithoutOrganisations(t *testing.T) {
	const short, idle = "791dab4dc3062929", "0850a0764b3a4462"
	t.Run("short capacity without organisations", func(t *testing.T) {
		sim := newSimulation(t, 2)
		assert.Equal(t, digestOfStarts(sim, sim.submit), short)
	})
	t.Run("all tasks fit", func(t *testing.T) {
		sim := newSimulation(t, 40)
		sim.configure(pimorganisation.Organisation{Name: "a", Weight: 1}, pimorganisation.Organisation{Name: "b", Weight: 2})
		owners := 0
		digest := digestOfStarts(sim, func(id string, priority int, steps ...pimjob.Step) {
			owners++
			sim.apply(pimjob.Submit{
				Submission: pimjob.Submission{ID: id, Spec: "s", Steps: steps}, Organisation: []string{"", "a", "b"}[owners%3],
				Queue: pimjob.Queue{
					Name: "q", Service: "svc", Attempts: 3, Priority: priority, Stretch: 2, Objective: time.Second,
				},
			})
		})
		assert.Equal(t, digest, idle)
	})
}

type (
	// offer is what an organisation submits: cores is the mean number of cores that its tasks need, in jobs of a width
	// from a Pareto distribution with this mean and shape 1.5.
	offer struct {
		organisation string
		cores        float64
		width        float64
	}

	// organisationLoad submits the jobs of organisations to a simulation and sums the core-seconds that they use.
	organisationLoad struct {
		sim    *simulation
		nextAt map[string]time.Duration
		ids    []string
		used   map[string]float64
	}
)

func newOrganisationLoad(sim *simulation) *organisationLoad {
	return &organisationLoad{sim: sim, nextAt: map[string]time.Duration{}, used: map[string]float64{}}
}

// play runs the simulation for a duration while jobs of single-core tasks of 1 s are submitted.
func (l *organisationLoad) play(duration time.Duration, offers ...offer) {
	sim := l.sim
	for end := sim.now + duration; sim.now < end; {
		for _, o := range offers {
			l.nextAt[o.organisation] = max(l.nextAt[o.organisation], sim.now-tickInterval)
			for l.nextAt[o.organisation] < sim.now {
				width := min(64, max(1, int(o.width/3*math.Pow(1-sim.random.Float64(), -1/1.5))))
				l.nextAt[o.organisation] += time.Duration(float64(width) / o.cores * float64(time.Second))
				l.ids = append(l.ids, fmt.Sprintf("job-%06d", len(l.ids)))
				sim.submitFor(o.organisation, l.ids[len(l.ids)-1], batch(width, 1))
			}
		}
		sim.run(tickInterval)
		for _, o := range offers {
			l.used[o.organisation] += float64(sim.state.Usage(o.organisation).CPUMillis) / 1000 * tickInterval.Seconds()
		}
	}
}

// weighted returns organisations with weights from 1 to 16, and offers of a multiple of their shares of a capacity.
func weighted(count int, cores, load float64) ([]pimorganisation.Organisation, []offer) {
	var organisations []pimorganisation.Organisation
	var offers []offer
	sum := 0
	for i := range count {
		organisations = append(organisations, pimorganisation.Organisation{Name: fmt.Sprintf("o%02d", i), Weight: 1 + i*7%16})
		sum += organisations[i].Weight
	}
	for _, o := range organisations {
		offers = append(offers, offer{organisation: o.Name, cores: load * cores * float64(o.Weight) / float64(sum), width: 4})
	}
	return organisations, offers
}

// TestSharesUnderOverload guards against shares that do not follow the weights: 20 organisations with weights from 1 to
// 16 submit twice as much as 8 workers can do, for a minute.
func TestSharesUnderOverload(t *testing.T) {
	sim := newSimulation(t, 8)
	organisations, offers := weighted(20, 8*hostCores, 2)
	sim.configure(organisations...)
	load := newOrganisationLoad(sim)
	load.play(3*time.Second, offers...)
	clear(load.used)
	load.play(time.Minute, offers...)
	var normalised []float64
	total := 0.0
	for _, organisation := range organisations {
		normalised = append(normalised, load.used[organisation.Name]/float64(organisation.Weight))
		total += load.used[organisation.Name]
	}
	index := pimshare.Jain(normalised)
	t.Logf("index %.4f, %.3f of the capacity used", index, total/(8*hostCores*60))
	assert.Assert(t, index >= 0.95, "index %.3f of %v", index, normalised)
	assert.Assert(t, total > 0.9*8*hostCores*60, "%.0f core-seconds used", total)
}

// TestBurst guards against a burst of one organisation that takes capacity from others: it submits ten times as much as
// before for 20 s, where all submit 0.85 of their shares.
func TestBurst(t *testing.T) {
	usedByOthers := func(factor float64) float64 {
		sim := newSimulation(t, 8)
		organisations, offers := weighted(20, 8*hostCores, 0.85)
		sim.configure(organisations...)
		load := newOrganisationLoad(sim)
		load.play(5*time.Second, offers...)
		clear(load.used)
		offers[9].cores *= factor
		load.play(20*time.Second, offers...)
		sum := 0.0
		for i, o := range offers {
			if i != 9 {
				sum += load.used[o.organisation]
			}
		}
		return sum
	}
	without, with := usedByOthers(1), usedByOthers(10)
	assert.Assert(t, with > 0.96*without, "%.0f core-seconds without the burst, %.0f with it", without, with)
}

// TestLentShares guards against shares that stay idle while their owner has no work, and against lent shares that do not
// return: an organisation with equal weight gets its half within the duration of the tasks that run and must have it
// after 3 s, the platform's limit for a job that could run.
func TestLentShares(t *testing.T) {
	sim := newSimulation(t, 4)
	sim.configure(pimorganisation.Organisation{Name: "a", Weight: 4}, pimorganisation.Organisation{Name: "b", Weight: 4})
	for i := range 40 {
		sim.submitFor("a", fmt.Sprintf("a-%02d", i), batch(64, 1))
	}
	sim.plan()
	assert.Equal(t, sim.state.Usage("a").CPUMillis, int64(4*hostCores*1000))
	sim.run(500 * time.Millisecond)
	for i := range 20 {
		sim.submitFor("b", fmt.Sprintf("b-%02d", i), batch(64, 1))
	}
	sim.run(3 * time.Second)
	assert.Assert(t, sim.state.Usage("b").CPUMillis >= 60_000, "b uses %d", sim.state.Usage("b").CPUMillis)
}

// TestHeavyTailedWidth guards against wide jobs that wait behind many narrow ones of their own organisation, and the
// reverse: two organisations submit 1.4 times what two workers can do, in jobs of 1 to 64 tasks.
func TestHeavyTailedWidth(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.configure(pimorganisation.Organisation{Name: "a", Weight: 3}, pimorganisation.Organisation{Name: "b", Weight: 3})
	load := newOrganisationLoad(sim)
	load.play(time.Minute, offer{"a", 45, 6}, offer{"b", 45, 6})
	offered, done := map[string]int{}, map[string]int{}
	for _, id := range load.ids {
		job := sim.state.Job(id)
		width, class := job.Submission.Steps[0].Count, "narrow"
		if width >= 9 {
			class = "widest tenth"
		}
		if epochMillis+sim.now.Milliseconds()-job.AcceptedAt >= limitMillis {
			offered[class] += width
			if endedInTime(job) {
				done[class] += width
			}
		}
	}
	t.Logf("offered %v, done in time %v", offered, done)
	// Half of what there is capacity for.
	for _, class := range []string{"narrow", "widest tenth"} {
		assert.Assert(t, float64(done[class]) > 0.35*float64(offered[class]), "%s: %d of %d", class, done[class], offered[class])
	}
}

// TestWidthsOfOneOrganisation guards against jobs that never start because their organisation always has others with an
// earlier deadline or others that fit into less free capacity. Each stream but the one looked at exceeds the capacity of
// two workers by itself; the stream looked at needs a tenth of it.
func TestWidthsOfOneOrganisation(t *testing.T) {
	long := func(step pimjob.Step, estimate time.Duration) pimjob.Step {
		step.Estimate = estimate
		return step
	}
	gang := func(step pimjob.Step) pimjob.Step {
		step.Gang = true
		return step
	}
	tests := []struct {
		name        string
		rare, usual pimjob.Step
		others      bool
	}{
		{name: "many tasks behind narrow jobs with earlier deadlines", rare: long(batch(32, 1), 2*time.Second), usual: batch(1, 1)},
		{
			name: "narrow jobs behind wide ones with earlier deadlines",
			rare: long(batch(1, 1), 2*time.Second), usual: long(batch(32, 1), 500*time.Millisecond),
		},
		{name: "a task of many cores", rare: batch(1, 24), usual: batch(1, 1)},
		{name: "a gang", rare: gang(batch(12, 2)), usual: batch(1, 1)},
		{name: "a task of many cores beside another organisation", rare: batch(1, 24), usual: batch(1, 1), others: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sim := newSimulation(t, 2)
			sim.configure(pimorganisation.Organisation{Name: "a", Weight: 4}, pimorganisation.Organisation{Name: "b", Weight: 4})
			jittered := func(step pimjob.Step) pimjob.Step {
				return long(step, time.Duration((0.5+sim.random.Float64())*float64(step.Estimate)))
			}
			work := func(step pimjob.Step) float64 {
				return float64(step.Count) * float64(step.Need.Millicores) / 1000 * step.Estimate.Seconds()
			}
			rare, usual, count := 0, 0, 0
			for tick := range 300 {
				elapsed := (time.Duration(tick) * tickInterval).Seconds()
				for ; float64(rare)*work(test.rare) < 0.1*2*hostCores*elapsed; rare++ {
					sim.submitFor("a", fmt.Sprintf("rare-%03d", rare), test.rare)
				}
				for ; float64(usual)*work(test.usual) < 1.3*2*hostCores*elapsed; usual++ {
					sim.submitFor("a", fmt.Sprintf("usual-%05d", usual), jittered(test.usual))
				}
				for ; test.others && float64(count) < 1.3*2*hostCores*elapsed; count++ {
					sim.submitFor("b", fmt.Sprintf("other-%05d", count), jittered(batch(1, 1)))
				}
				sim.run(tickInterval)
			}
			done, old := 0, 0
			for i := range rare {
				job := sim.state.Job(fmt.Sprintf("rare-%03d", i))
				if job.AcceptedAt > epochMillis+sim.now.Milliseconds()-9000 {
					continue
				}
				old++
				if job.State == pimjob.Completed {
					done++
				}
			}
			t.Logf("%d of %d ended", done, old)
			assert.Assert(t, done*10 >= old*9, "%d of %d", done, old)
		})
	}
}

// TestAdmission guards against rejected jobs that would have been served: it compares the decision on each job of a burst
// of 18 times the share of an organisation with what became of the job, which is submitted all the same.
func TestAdmission(t *testing.T) {
	sim := newSimulation(t, 2)
	organisations := []pimorganisation.Organisation{{Name: "a", Weight: 4}, {Name: "b", Weight: 4}}
	sim.configure(organisations...)
	queue := &pimjob.Queue{Name: "q", Service: "svc", Attempts: 3, Stretch: 2, Objective: time.Second}
	submitted := map[bool][]string{}
	for tick := range 400 {
		for i := range 2 {
			if tick < 200 {
				step := batch(10+sim.random.IntN(40), 1)
				wallClock := epochMillis + sim.now.Milliseconds()
				id := fmt.Sprintf("a-%03d-%02d", tick, i)
				admission := sim.planner.Admit(&pimjob.Submission{ID: id, Steps: []pimjob.Step{step}}, queue,
					&organisations[0], sim.state.IsOverRate("a", rateWindow, wallClock))
				sim.submitFor("a", id, step)
				submitted[admission.Accepted] = append(submitted[admission.Accepted], id)
			}
		}
		sim.submitFor("b", fmt.Sprintf("b-%03d", tick), batch(4, 1))
		sim.run(tickInterval)
	}
	served := func(ids []string) int {
		count := 0
		for _, id := range ids {
			if endedInTime(sim.state.Job(id)) {
				count++
			}
		}
		return count
	}
	rejected, accepted := submitted[false], submitted[true]
	t.Logf("%d of %d rejected jobs and %d of %d accepted ones would have been served",
		served(rejected), len(rejected), served(accepted), len(accepted))
	assert.Assert(t, len(rejected) > 0)
	assert.Equal(t, served(rejected), 0)
}

// TestOverRate guards against jobs over the rate of their organisation that start before those within it: two
// organisations submit 60 single-core tasks to 32 cores, of which 20 are over the rate.
func TestOverRate(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(pimorganisation.Organisation{Name: "a", Weight: 1}, pimorganisation.Organisation{Name: "b", Weight: 1})
	for i := range 15 {
		sim.submitFor([]string{"a", "a", "b"}[i/5], fmt.Sprintf("job-%02d", i), batch(4, 1))
	}
	starts := sim.plan().Starts
	assert.Equal(t, len(starts), hostCores)
	for _, start := range starts {
		assert.Assert(t, !sim.state.Job(start.Key.Job).OverRate, "%s", start.Key)
	}
}
