package pimhealth_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimhealth"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

// load is a deployment of 50 hosts, each of which ends a number of runs a second. Each job has four tasks, and all tasks
// of the share poisoned of the jobs fail. Faulty hosts are so for 6 s.
type load struct {
	endsPerSecond, failing, poisoned float64
	faulty                           int
	duration                         time.Duration
}

func service(string) (string, bool) { return "svc", true }

// play returns the share of host-seconds for which healthy hosts are avoided or probed, and that of the faulty time for
// which faulty ones are. A host that is avoided ends no run, and one that is probed a run in 300 ms.
func (l load) play(seed uint64) (healthy, faulty float64) {
	const hosts, step, faultyFrom = 50, 10 * time.Millisecond, 20 * time.Second
	random, model := rand.New(rand.NewPCG(seed, 1)), pimhealth.New()
	sizes := map[string]int{"svc": hosts}
	var healthySteps, faultySteps, healthyAvoided, faultyAvoided float64
	task, poisoned := 0, false
	for now := time.Duration(0); now < l.duration; now += step {
		model.Tick(now)
		selected := model.Select(service, sizes, now)
		for i := range hosts {
			id := fmt.Sprint("w", i)
			isFaulty := i < l.faulty && now >= faultyFrom && now < faultyFrom+6*time.Second
			status, avoided := selected[id], 0.0
			if status != pimhealth.Used {
				avoided = 1
			}
			switch {
			case isFaulty:
				faultySteps, faultyAvoided = faultySteps+1, faultyAvoided+avoided
			case i >= l.faulty:
				healthySteps, healthyAvoided = healthySteps+1, healthyAvoided+avoided
			}
			rate := l.endsPerSecond
			if status == pimhealth.Probed {
				rate = 3
			}
			if status == pimhealth.Avoided || random.Float64() >= rate*step.Seconds() {
				continue
			}
			if task%4 == 0 {
				model.ForgetJob(fmt.Sprint("j", task/4-20))
				poisoned = random.Float64() < l.poisoned
			}
			outcome := pimhealth.Done
			if poisoned || random.Float64() < l.failing || (isFaulty && random.Float64() < 0.45) {
				outcome = pimhealth.Failed
			}
			model.OnEnd(id, fmt.Sprint("j", task/4), outcome, now)
			task++
		}
	}
	return healthyAvoided / healthySteps, faultyAvoided / max(1, faultySteps)
}

// TestHealthyHosts guards against healthy hosts that are avoided: with 3 to 5% of failing tasks for less than 0.2% of the
// time, also if all tasks of a part of the jobs fail.
func TestHealthyHosts(t *testing.T) {
	for _, rate := range []float64{0.5, 2, 8, 30} {
		for _, l := range []load{{failing: 0.03}, {failing: 0.05}, {failing: 0.02, poisoned: 0.03}} {
			l.endsPerSecond, l.duration = rate, 5*time.Minute
			avoided, _ := l.play(1)
			t.Logf("%.1f ends a second, %.2f fail, %.2f of the jobs: avoided for %.5f", rate, l.failing, l.poisoned, avoided)
			assert.Assert(t, avoided < 0.002)
		}
	}
}

// TestFaultyHosts guards against hosts that fail 45% of their tasks for 6 s and are never avoided, since now and then a
// task is done on them: 14% of 50 hosts at once.
func TestFaultyHosts(t *testing.T) {
	for rate, want := range map[float64]float64{2: 0.1, 8: 0.5, 30: 0.75} {
		l := load{endsPerSecond: rate, failing: 0.04, faulty: 7, duration: 30 * time.Second}
		healthy, faulty := 0.0, 0.0
		for seed := range uint64(10) {
			h, f := l.play(seed)
			healthy, faulty = healthy+h/10, faulty+f/10
		}
		t.Logf("%.1f ends a second: faulty hosts avoided for %.2f of the time, healthy ones for %.5f", rate, faulty, healthy)
		assert.Assert(t, faulty > want && healthy < 0.002)
	}
}

// TestModel guards against a job that makes hosts avoided, too many hosts avoided at once, and a leader that forgets them.
func TestModel(t *testing.T) {
	t.Run("a job that fails everywhere says nothing about hosts", func(t *testing.T) {
		model := pimhealth.New()
		for i := range 500 {
			model.OnEnd(fmt.Sprint("other", i%10), fmt.Sprint("done", i), pimhealth.Done, time.Second)
		}
		for i := range 24 {
			model.OnEnd(fmt.Sprint("w", i%4), fmt.Sprint("poison", i/4), pimhealth.Failed, time.Second)
		}
		assert.Assert(t, !model.HasSuspects())
	})
	t.Run("the worst fifth is avoided, and the next leader probes it", func(t *testing.T) {
		model, now := pimhealth.New(), time.Hour
		for i := range 500 {
			model.OnEnd("w0", fmt.Sprint("done", i), pimhealth.Done, now)
		}
		for host := range 10 {
			for i := range host {
				model.OnEnd(fmt.Sprint("w", host), fmt.Sprint("j", host, i), pimhealth.Failed, now)
			}
		}
		generationOf := func(id string) (int64, bool) { return 1, id != "w9" }
		next := pimhealth.New()
		next.Restore(model.Summary(generationOf), generationOf)
		for _, m := range []*pimhealth.Model{model, next} {
			m.Tick(now)
			selected := m.Select(service, map[string]int{"svc": 10}, now)
			assert.Equal(t, len(selected), 2)
			assert.Assert(t, selected["w3"] == pimhealth.Used && selected["w4"] == pimhealth.Used)
			assert.Equal(t, m.IsSuspect("w9"), m == model)
			assert.Assert(t, m.IsSuspect("w8") && !m.IsSuspect("w1"))
		}
		for _, change := range next.TakeChanges() {
			assert.Equal(t, change.Status, pimhealth.Probed)
		}
		broken := pimjob.LearnedHealth{Ends: -1, Failures: 7, Hosts: []pimjob.LearnedHost{{Worker: "w1", Generation: 2, Suspect: true}}}
		next.Restore(broken, generationOf)
		assert.Assert(t, !next.IsSuspect("w1"))
	})
	t.Run("a probe that fails ends the probing, and three that are done end the suspicion", func(t *testing.T) {
		model := pimhealth.New()
		model.OnSymptom("w", pimhealth.Stalled, 0)
		model.Tick(2 * time.Second)
		model.OnEnd("w", "a", pimhealth.Failed, 2500*time.Millisecond)
		model.Tick(6499 * time.Millisecond)
		changes := model.TakeChanges()
		assert.Equal(t, changes[len(changes)-1].Status, pimhealth.Avoided)
		model.Tick(6500 * time.Millisecond)
		for i := range 3 {
			assert.Assert(t, model.IsSuspect("w"))
			model.OnEnd("w", fmt.Sprint(i), pimhealth.Done, 7*time.Second)
		}
		assert.Assert(t, !model.IsSuspect("w"))
	})
}
