package pimfleet_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimorganisation"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimplan"
)

// quotaSimulation plans the starts of a simulation with a planner, whose plans are committed some time later, and
// checks at the fake workers that the runs of no organisation exceed its quota.
type quotaSimulation struct {
	planner *pimplan.Planner
	version int64
	// planned holds the starts that are not committed before commitAt.
	planned  []pimjob.Op
	commitAt time.Duration
	// quotas holds, by organisation, the quota in effect when a start of it was last committed.
	quotas map[string]pimorganisation.Resources
	// ineffective counts the planned starts that had no effect, overQuota the starts that exceeded a quota by one task.
	ineffective, overQuota int
}

const (
	// quotaSeeds bounds the seeds in CI. PIM_QUOTA_SEEDS sets another number for longer runs.
	quotaSeeds = 200
	// maxCommitDelay is the longest time from a plan until its starts are committed.
	maxCommitDelay = 300 * time.Millisecond
	quotaRounds    = 6
)

var quotaOrganisations = []string{"a", "b"}

// replaceLeader elects another leader, whose state is restored from a snapshot. The starts that the old leader planned
// are committed or lost.
func (q *quotaSimulation) replaceLeader(s *simulation) {
	if s.random.IntN(2) == 0 {
		q.commit(s)
	}
	q.planned = nil
	data, err := s.state.Snapshot()
	assert.NilError(s.t, err)
	before := s.state
	s.state, err = pimjob.Restore(data)
	assert.NilError(s.t, err)
	for _, name := range quotaOrganisations {
		assert.Equal(s.t, s.state.Usage(name), before.Usage(name))
	}
	s.elect()
	q.planner = pimplan.NewPlanner(s.state, s.fleet)
}

func (q *quotaSimulation) place(s *simulation) {
	if len(q.planned) > 0 {
		if s.now >= q.commitAt {
			q.commit(s)
		}
		return
	}
	for _, start := range q.planner.Plan(s.now, startMillis+s.now.Milliseconds()).Starts {
		q.planned = append(q.planned, start)
	}
	q.commitAt = s.now + time.Duration(s.random.Int64N(int64(maxCommitDelay)))
}

func (q *quotaSimulation) commit(s *simulation) {
	ops := q.planned
	q.planned = nil
	if len(ops) > 0 {
		q.ineffective += len(ops)
		s.apply(ops...)
	}
}

func (q *quotaSimulation) onChanges(s *simulation, changes []pimjob.Change) {
	for _, change := range changes {
		started, ok := change.(pimjob.RunStarted)
		if !ok {
			continue
		}
		q.ineffective--
		_, _, job := s.state.Task(started.Live.Key)
		q.quotas[job.Organisation] = pimorganisation.Resources{}
		if organisation := s.state.Organisation(job); organisation != nil {
			q.quotas[job.Organisation] = organisation.Quota
		}
	}
	q.planner.OnChanges(changes, s.now)
}

// checkStart fails the test if a run that starts on a worker makes the runs on all workers exceed the quota by more than
// a task.
func (q *quotaSimulation) checkStart(s *simulation, call pimfleet.StartRun) {
	_, step, job := s.state.Task(call.Key)
	running, largest := step.Need.Amounts(), step.Need.Amounts()
	for _, worker := range s.workers {
		for key := range worker.runs {
			_, other, owner := s.state.Task(key)
			if owner.Organisation == job.Organisation {
				need := other.Need.Amounts()
				running = running.Add(need)
				largest.CPUMillis = max(largest.CPUMillis, need.CPUMillis)
				largest.MemoryMB = max(largest.MemoryMB, need.MemoryMB)
			}
		}
	}
	quota := q.quotas[job.Organisation]
	if running.WithinQuota(quota) {
		return
	}
	q.overQuota++
	if !running.Sub(largest).WithinQuota(quota) {
		s.t.Errorf("at %v: %v run %d: %q runs %+v with the quota %+v", s.now, call.Key, call.Number, job.Organisation, running, quota)
	}
}

// putQuotas puts a configuration with random quotas into effect, in which an organisation may be missing.
func (q *quotaSimulation) putQuotas(s *simulation) {
	q.version++
	var organisations []pimorganisation.Organisation
	for _, name := range quotaOrganisations {
		if s.random.IntN(12) == 0 {
			continue
		}
		organisations = append(organisations, pimorganisation.Organisation{Name: name, Quota: pimorganisation.Resources{
			CPUMillis: 200 + s.random.Int64N(4000), MemoryMB: 200 + s.random.Int64N(4000),
		}})
	}
	s.apply(pimjob.PutConfig{Config: pimjob.Config{Version: q.version, Organisations: organisations}})
}

func (q *quotaSimulation) submit(s *simulation, id string) {
	step := pimjob.Step{
		Count: 1 + s.random.IntN(6), Estimate: time.Second, Gang: s.random.IntN(4) == 0, BestEffort: s.random.IntN(4) == 0,
		Need: pimjob.Resources{Millicores: s.random.Int64N(1500), MemoryMB: s.random.Int64N(1500)},
	}
	step.BestEffort = step.BestEffort && !step.Gang
	s.apply(pimjob.Submit{
		Submission:   pimjob.Submission{ID: id, Spec: "s", Steps: []pimjob.Step{step}},
		Queue:        pimjob.Queue{Name: "q", Service: "svc", Attempts: 1000, RequiresKey: true},
		Organisation: quotaOrganisations[s.random.IntN(len(quotaOrganisations))],
	})
}

// seedsFrom returns the number of seeds that an environment variable sets, or a default.
func seedsFrom(t *testing.T, variable string, number int) int {
	text := os.Getenv(variable)
	if text == "" {
		return number
	}
	number, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return number
}

// TestQuotasUnderFaults loses and delays calls, restarts workers, replaces leaders and changes quotas while jobs of two
// organisations run. It guards against a quota that is exceeded by runs whose start has no answer, that are being
// stopped or that are still alive on a silent worker.
func TestQuotasUnderFaults(t *testing.T) {
	seeds := seedsFrom(t, "PIM_QUOTA_SEEDS", quotaSeeds)
	starts, ineffective, overQuota := 0, 0, 0
	for seed := range uint64(seeds) {
		s := newSimulation(t, seed, "w1", "w2", "w3")
		q := &quotaSimulation{quotas: map[string]pimorganisation.Resources{}, planner: pimplan.NewPlanner(s.state, s.fleet)}
		s.quotas = q
		s.lostShare, s.lateShare, s.lostResultShare, s.slowShare, s.noCapacityShare = 0.05, 0.05, 0.08, 0.3, 0.1
		ids := []string{"w1", "w2", "w3"}
		for round := range quotaRounds {
			q.putQuotas(s)
			for job := range 3 {
				q.submit(s, fmt.Sprintf("job-%d-%d", round, job))
			}
			s.apply(pimjob.Cancel{ID: fmt.Sprintf("job-%d-%d", s.random.IntN(round+1), s.random.IntN(3))})
			victim := s.workers[ids[s.random.IntN(len(ids))]]
			switch s.random.IntN(4) {
			case 0:
				victim.partitioned = true
			case 1:
				s.restart(victim)
			case 2:
				q.replaceLeader(s)
			default:
			}
			s.run(time.Duration(s.random.Int64N(int64(2 * time.Second))))
			victim.partitioned = false
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
		starts, ineffective, overQuota = starts+s.starts, ineffective+q.ineffective, overQuota+q.overQuota
	}
	t.Logf("%d seeds: %d starts at workers, %d over a quota by one task, %d planned starts without effect",
		seeds, starts, overQuota, ineffective)
	assert.Assert(t, starts > 10*seeds && overQuota > 0 && ineffective > 0, "the simulation exercises the quotas")
}
