package pimowner_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/place/pimowner"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
)

// harness drives a planner and applies its changes to the state at once.
type harness struct {
	*testing.T
	planner     *pimowner.Planner
	state       *pimconfig.State
	now         time.Duration
	lastContact map[string]time.Duration
	index       uint64
}

const batchGracePeriod = time.Minute

var domains = []string{"north", "south", "west"}

func newHarness(t *testing.T, manifest string) *harness {
	h := &harness{
		T: t, planner: pimowner.NewPlanner(batchGracePeriod), now: time.Minute,
		lastContact: map[string]time.Duration{}, index: 1,
	}
	var members []pimconfig.Member
	for _, domain := range domains {
		members = append(members, pimconfig.Member{ID: domain + "-1#a", Name: domain + "-1", Domain: domain})
	}
	h.state = pimconfig.NewState("cluster", members)
	h.apply(pimconfig.CommitManifest{Number: 1, Content: []byte("number: 1\n" + manifest)})
	return h
}

func (h *harness) apply(command pimconfig.Command) {
	h.Helper()
	data, err := pimconfig.Encode(command)
	assert.NilError(h, err)
	h.index++
	result := h.state.Apply(h.index, data)
	assert.Equal(h, int(result.Code), 0, result.Detail)
}

// advance moves the time forward. Only the reachable failure domains have contact and report.
func (h *harness) advance(span time.Duration, reachable ...string) {
	for end := h.now + span; h.now < end; {
		h.now += 200 * time.Millisecond
		for _, domain := range reachable {
			h.lastContact[domain] = h.now
			h.planner.RecordReport(h.now, h.reportOf(domain))
		}
		changes := h.planner.Plan(h.now, h.state, h.lastContact)
		if len(changes) > 0 {
			h.apply(pimconfig.ChangeOwners{Changes: changes})
		}
	}
}

// reportOf returns the report of a failure domain that runs every task that it owns and has
// stopped every task that it must release.
func (h *harness) reportOf(domain string) pimowner.Report {
	report := pimowner.Report{Domain: domain, Workers: 4, Running: map[string]int{}}
	for id, owner := range h.state.Owners {
		switch {
		case owner.Domain != domain:
		case owner.Releasing:
			report.Released = append(report.Released, pimowner.EndedTask{Task: id, Epoch: owner.Epoch, Checkpoint: 99})
		default:
			report.Running[id.Job]++
		}
	}
	return report
}

func (h *harness) ownersOf(job string) map[string]int {
	counts := map[string]int{}
	for id, owner := range h.state.Owners {
		if id.Job == job && !owner.Releasing {
			counts[owner.Domain]++
		}
	}
	return counts
}

const services = `teams: [{name: dispatch}]
services:
  - {name: callout, replicas: 6, team: dispatch, idempotent: false, needs: {cpu-millis: 1000, memory-mb: 1}}
`

func TestServices(t *testing.T) {
	t.Run("replicas are spread over failure domains", func(t *testing.T) {
		h := newHarness(t, services)
		h.advance(2*time.Second, domains...)
		assert.DeepEqual(t, h.ownersOf("callout"), map[string]int{"north": 2, "south": 2, "west": 2})
	})
	t.Run("replicas leave a failure domain out of service once others have replaced them", func(t *testing.T) {
		h := newHarness(t, services)
		h.advance(2*time.Second, domains...)
		h.apply(pimconfig.MarkDomain{Domain: "west", OutOfService: true})
		h.advance(200*time.Millisecond, domains...)
		assert.Equal(t, h.ownersOf("callout")["west"], 2, "the old replicas stay until the new ones run")
		h.advance(3*time.Second, domains...)
		assert.DeepEqual(t, h.ownersOf("callout"), map[string]int{"north": 3, "south": 3})
	})
	t.Run("replicas of a silent failure domain are replaced under other indexes, not moved", func(t *testing.T) {
		h := newHarness(t, services)
		h.advance(2*time.Second, domains...)
		h.advance(20*time.Second, "north", "south")
		assert.DeepEqual(t, h.ownersOf("callout"), map[string]int{"north": 3, "south": 3, "west": 2})
		h.advance(5*time.Second, domains...)
		total := 0
		for _, count := range h.ownersOf("callout") {
			total += count
		}
		assert.Equal(t, total, 6, "surplus replicas are released when the failure domain is back")
	})
}

const jobs = `teams: [{name: large}, {name: small, quota: {cpu-millis: 3000, memory-mb: 1000}}]
batch-jobs:
  - {name: many, tasks: 500, team: large, needs: {cpu-millis: 1000, memory-mb: 1}}
  - {name: few, tasks: 20, team: small, needs: {cpu-millis: 1000, memory-mb: 1}}
`

func TestBatch(t *testing.T) {
	t.Run("a quota limits the tasks in all failure domains together", func(t *testing.T) {
		h := newHarness(t, jobs)
		h.advance(5*time.Second, domains...)
		total := 0
		for _, count := range h.ownersOf("few") {
			total += count
		}
		assert.Equal(t, total, 3)
	})
	t.Run("tasks return gradually to a failure domain that was out of service", func(t *testing.T) {
		h := newHarness(t, jobs)
		h.apply(pimconfig.MarkDomain{Domain: "west", OutOfService: true})
		h.advance(time.Second, domains...)
		h.apply(pimconfig.MarkDomain{Domain: "west", OutOfService: false})
		h.advance(400*time.Millisecond, domains...)
		first := h.ownersOf("many")["west"]
		assert.Assert(t, first > 0 && first < 4, "%d tasks at once", first)
	})
	t.Run("a released task moves with its checkpoint", func(t *testing.T) {
		h := newHarness(t, jobs)
		h.advance(20*time.Second, domains...)
		h.apply(pimconfig.MarkDomain{Domain: "west", OutOfService: true})
		h.advance(2*time.Second, domains...)
		assert.Equal(t, h.ownersOf("many")["west"], 0)
		moved := 0
		for _, owner := range h.state.Owners {
			if owner.Checkpoint == 99 {
				moved++
			}
		}
		assert.Assert(t, moved > 0)
	})
	t.Run("a silent failure domain keeps its tasks until the batch grace period has passed", func(t *testing.T) {
		h := newHarness(t, jobs)
		h.advance(20*time.Second, domains...)
		h.apply(pimconfig.MarkDomain{Domain: "west", OutOfService: true})
		before := map[pimconfig.TaskID]bool{}
		for id, owner := range h.state.Owners {
			before[id] = owner.Domain == "west"
		}
		stillOwned := func() int {
			count := 0
			for id, owner := range h.state.Owners {
				if before[id] && owner.Domain == "west" {
					count++
				}
			}
			return count
		}
		all := stillOwned()
		assert.Assert(t, all > 0)
		h.advance(batchGracePeriod+pimowner.BatchGraceMargin-time.Second, "north", "south")
		assert.Equal(t, stillOwned(), all)
		h.advance(10*time.Second, "north", "south")
		assert.Equal(t, stillOwned(), 0)
	})
}

func BenchmarkPlan(b *testing.B) {
	for _, tasks := range []int{100, 1000, 10_000, 50_000} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			state := pimconfig.NewState("cluster", []pimconfig.Member{{ID: "north-1#a", Domain: "north"}})
			content := fmt.Appendf(nil, "number: 1\nteams: [{name: a}]\nbatch-jobs: [{name: many, tasks: %d, team: a, needs: {cpu-millis: 1, memory-mb: 1}}]\n", tasks)
			data, err := pimconfig.Encode(pimconfig.CommitManifest{Number: 1, Content: content})
			assert.NilError(b, err)
			state.Apply(2, data)
			planner := pimowner.NewPlanner(batchGracePeriod)
			planner.RecordReport(time.Second, pimowner.Report{Domain: "north", Workers: 10 * tasks})
			lastContact := map[string]time.Duration{"north": time.Minute}
			for index := uint64(3); len(state.Owners) < tasks; index++ {
				data, err := pimconfig.Encode(pimconfig.ChangeOwners{Changes: planner.Plan(time.Minute, state, lastContact)})
				assert.NilError(b, err)
				state.Apply(index, data)
			}
			b.ReportAllocs()
			for b.Loop() {
				planner.Plan(time.Minute, state, lastContact)
			}
		})
	}
}
