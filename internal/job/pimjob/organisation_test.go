package pimjob_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimorganisation"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

// putOrganisations returns an operation that puts organisations into effect.
func putOrganisations(version int64, organisations ...pimorganisation.Organisation) pimjob.Op {
	return pimjob.PutConfig{Config: pimjob.Config{Version: version, Organisations: organisations}}
}

// withQuota returns an organisation "o" that may use millicores and accelerators.
func withQuota(millicores, accelerators int64) pimorganisation.Organisation {
	return pimorganisation.Organisation{
		Name: "o", Quota: pimorganisation.Resources{CPUMillis: millicores, Accelerators: accelerators},
	}
}

// submitOf submits a job of tasks of one step for an organisation.
func submitOf(organisation, id string, count int, step pimjob.Step) pimjob.Op {
	step.Count = count
	return pimjob.Submit{
		Submission:   pimjob.Submission{ID: id, Spec: "s", Steps: []pimjob.Step{step}},
		Queue:        pimjob.Queue{Name: "q", Service: "svc", Attempts: 9, RequiresKey: true},
		Organisation: organisation,
	}
}

func needs(millicores, accelerators int64) pimjob.Step {
	return pimjob.Step{Need: pimjob.Resources{Millicores: millicores, GPUs: accelerators}}
}

func assertUsage(t assert.TestingT, s *pimjob.State, organisation string, millicores int64) {
	assert.Equal(t, s.Usage(organisation).CPUMillis, millicores)
}

func TestQuota(t *testing.T) {
	starts := func(job string, number int, indexes ...int) []pimjob.Op {
		var ops []pimjob.Op
		for _, i := range indexes {
			ops = append(ops, start(key(job, 0, i), number, "w1"))
		}
		return ops
	}
	gang := needs(1000, 0)
	gang.Gang = true
	for _, c := range []struct {
		name     string
		ops      []pimjob.Op
		expected int64
	}{
		{
			"starts stay within the quota",
			slices.Concat([]pimjob.Op{putOrganisations(1, withQuota(2500, 0)), submitOf("o", "a", 4, needs(1000, 0))}, starts("a", 1, 0, 1, 2, 3)),
			2000,
		},
		{
			"a task larger than half of the quota starts while at most half is used",
			slices.Concat([]pimjob.Op{putOrganisations(1, withQuota(1000, 0)), submitOf("o", "a", 2, needs(1500, 0))}, starts("a", 1, 0, 1)),
			1500,
		},
		{
			"a gang exceeds the quota by one task at most",
			slices.Concat([]pimjob.Op{putOrganisations(1, withQuota(1500, 0)), submitOf("o", "a", 4, gang)}, starts("a", 1, 0, 1, 2, 3)),
			0,
		},
		{
			"a gang that exceeds the quota by less than one task starts as a whole",
			slices.Concat([]pimjob.Op{putOrganisations(1, withQuota(3500, 0)), submitOf("o", "a", 4, gang)}, starts("a", 1, 0, 1, 2, 3)),
			4000,
		},
		{
			"no member of a gang starts if the quota was lowered after the gang was planned",
			slices.Concat([]pimjob.Op{
				putOrganisations(1, withQuota(9000, 0)), submitOf("o", "a", 3, gang), putOrganisations(2, withQuota(1500, 0)),
			}, starts("a", 1, 0, 1, 2)),
			0,
		},
		{
			// A run of a former start of the gang, which may still be alive on a silent worker, let the next start pass.
			"a run of an earlier start of a gang does not admit the next start",
			slices.Concat([]pimjob.Op{putOrganisations(1, withQuota(3000, 0)), submitOf("o", "a", 3, gang)}, starts("a", 1, 0, 1, 2),
				[]pimjob.Op{
					end(key("a", 0, 0), 1, "w1", pimjob.EndGangBroken), end(key("a", 0, 1), 1, "w1", pimjob.EndGangBroken),
					putOrganisations(2, withQuota(1500, 0)),
				}, starts("a", 2, 0, 1)),
			1000,
		},
		{
			"nothing starts while a lowered quota is exceeded in another resource",
			slices.Concat([]pimjob.Op{
				putOrganisations(1, withQuota(9000, 4)), submitOf("o", "a", 1, needs(500, 4)), submitOf("o", "b", 1, needs(1000, 0)),
			}, starts("a", 1, 0), []pimjob.Op{putOrganisations(2, withQuota(9000, 2))}, starts("b", 1, 0)),
			500,
		},
		{
			"an organisation that was removed while a job runs has no quota",
			slices.Concat([]pimjob.Op{putOrganisations(1, withQuota(1000, 0)), submitOf("o", "a", 3, needs(1000, 0))}, starts("a", 1, 0),
				[]pimjob.Op{putOrganisations(2)}, starts("a", 1, 1, 2)),
			3000,
		},
		{
			"an organisation that returns has the usage of the runs that remain",
			slices.Concat([]pimjob.Op{putOrganisations(1, withQuota(2000, 0)), submitOf("o", "a", 4, needs(1000, 0))}, starts("a", 1, 0),
				[]pimjob.Op{putOrganisations(2)}, starts("a", 1, 1), []pimjob.Op{putOrganisations(3, withQuota(2000, 0))}, starts("a", 1, 2, 3)),
			2000,
		},
		{
			"runs of a cancelled job count until they end",
			slices.Concat([]pimjob.Op{
				putOrganisations(1, withQuota(1000, 0)), submitOf("o", "a", 1, needs(1000, 0)), submitOf("o", "b", 1, needs(1000, 0)),
			}, starts("a", 1, 0), []pimjob.Op{pimjob.Cancel{ID: "a"}}, starts("b", 1, 0)),
			1000,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newState(c.ops...)
			assertUsage(t, s, "o", c.expected)
		})
	}
	t.Run("jobs of a public queue have no quota", func(t *testing.T) {
		s := newState(slices.Concat([]pimjob.Op{putOrganisations(1, withQuota(1, 0)), submitOf("", "a", 2, needs(1000, 0))}, starts("a", 1, 0, 1))...)
		assert.Equal(t, len(s.RunsOn("w1")), 2)
		assertUsage(t, s, "", 0)
	})
}

// TestUsageOverRandomOps guards against usage that drifts from the live runs, which would exceed a quota or block an
// organisation for good. It compares both after each random operation and after each restore of a snapshot.
func TestUsageOverRandomOps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newState()
		at := baseTime
		for version := range rapid.IntRange(1, 80).Draw(t, "ops") {
			at += rapid.Int64Range(0, 20_000).Draw(t, "step")
			s.Apply(at, []pimjob.Op{randomUsageOp(t, int64(version+1))})
			assertUsageOfLiveRuns(t, s)
			if rapid.IntRange(0, 3).Draw(t, "restore") == 0 {
				data, err := s.Snapshot()
				assert.NilError(t, err)
				s, err = pimjob.Restore(data)
				assert.NilError(t, err)
				assertUsageOfLiveRuns(t, s)
			}
		}
	})
}

func randomUsageOp(t *rapid.T, version int64) pimjob.Op {
	organisation := rapid.SampledFrom([]string{"o", "p", ""}).Draw(t, "organisation")
	job := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "job"))
	k := key(job, 0, rapid.IntRange(0, 2).Draw(t, "index"))
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		step := needs(rapid.Int64Range(0, 3000).Draw(t, "need"), rapid.Int64Range(0, 2).Draw(t, "accelerators"))
		step.Gang, step.BestEffort = rapid.Bool().Draw(t, "gang"), rapid.Bool().Draw(t, "best effort")
		return submitOf(organisation, job, 3, step)
	case 1:
		return pimjob.Cancel{ID: job}
	case 2:
		present := []pimorganisation.Organisation{withQuota(rapid.Int64Range(0, 6000).Draw(t, "quota"), 0)}
		if rapid.Bool().Draw(t, "removed") {
			present[0].Name = "renamed"
		}
		return putOrganisations(version, present...)
	case 3, 4, 5, 6:
		worker := rapid.SampledFrom([]string{"w1", "w2"}).Draw(t, "worker")
		return pimjob.Start{Key: k, Number: rapid.IntRange(1, 9).Draw(t, "number"), Worker: worker, Generation: 1}
	default:
		return randomOpOn(t, k)
	}
}

func assertUsageOfLiveRuns(t *rapid.T, s *pimjob.State) {
	expected := map[string]pimorganisation.Resources{}
	for _, worker := range []string{"w1", "w2"} {
		for k := range s.RunsOn(worker) {
			_, step, job := s.Task(k)
			expected[job.Organisation] = expected[job.Organisation].Add(step.Need.Amounts())
		}
	}
	for _, organisation := range []string{"o", "p"} {
		assert.Equal(t, s.Usage(organisation), expected[organisation])
	}
}
