package pimcore_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
	"github.com/pimentoswitch/pimentoswitch/internal/node/pimcore"
	"github.com/pimentoswitch/pimentoswitch/internal/route/pimrequest"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
)

// failDomain ends all hosts, workers and endpoints of a failure domain at once.
func (sim *simulation) failDomain(domain string) {
	for _, name := range sim.domainHosts(domain) {
		sim.kill(name)
	}
	for id, f := range sim.workers {
		if f.domain == domain {
			sim.killWorker(id)
		}
	}
	for _, e := range sim.endpoints {
		if e.announcement.Domain == domain {
			e.unresponsive = true
			clear(e.running)
		}
	}
}

// restoreDomain starts the hosts and endpoints of a failure domain again, with new workers.
func (sim *simulation) restoreDomain(domain string) {
	for _, name := range sim.domainHosts(domain) {
		sim.start(name)
	}
	for _, e := range sim.endpoints {
		if e.announcement.Domain == domain {
			e.unresponsive = false
			e.announcement.Boot = "2"
			e.announcement.Sequence = 0
		}
	}
	for i := range 3 {
		f := &fakeWorker{
			id: fmt.Sprintf("again-%s-%d", domain, i+1), domain: domain, tasks: map[pimconfig.TaskID]*fakeTask{},
		}
		sim.workers[f.id] = f
		sim.sendWorkerReport(f, workerCapacity)
	}
}

// TestDomainLossAndReturn loses a failure domain and restores it 30 seconds or more later, without
// operator action, under the load of a dispatch service: 17 endpoints of eight slots in each
// failure domain. No request whose home is in another failure domain may be answered not-run.
func TestDomainLossAndReturn(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 30)
	sim.addEndpoints("callout", 17, 8, 40*time.Millisecond)
	sim.addWorkers(3, workerCapacity)
	assert.Equal(t, sim.commitManifest(1, 60).Code, pimcode.OK)
	sim.runUntil("six replicas run", 15*time.Second, func() bool { return sim.runningTasks("callout") == 6 })
	sent := sim.startCallers("callout", 25*time.Millisecond, 90*time.Second)
	sim.run(10 * time.Second)
	sim.failDomain("north")
	lost := sim.now
	sim.runUntil("six replicas run without north", 15*time.Second, func() bool { return sim.runningTasks("callout") == 6 })
	t.Logf("six replicas ran again %s after the loss", sim.now-lost)
	sim.run(30 * time.Second)
	sim.restoreDomain("north")
	sim.run(50 * time.Second)
	sim.runUntil("every caller has an answer", 30*time.Second, func() bool { return len(sim.observed.answers) == sent })
	ran := sim.outcomeCounts()[pimrequest.OutcomeRan]
	t.Logf("%d of %d callouts ran, outcomes %v", ran, sent, sim.outcomeCounts())
	for id, answer := range sim.observed.answers {
		elsewhere := id[:5] == "south" || id[:4] == "west"
		if elsewhere && answer.Outcome == pimrequest.OutcomeNotRun {
			t.Errorf("%s was not run though its home was available: %s", id, answer.Code)
		}
	}
	sim.runUntil("batch finishes", 240*time.Second, func() bool { return sim.finishedTasks() == 60 })
	sim.assertGuarantees()
}

// TestPriorityWithDomainOutOfService takes a failure domain out of service and back in while
// confirmations of high priority compete for slots with quotes of low priority from two teams.
// All confirmations must run, and neither team may starve.
func TestPriorityWithDomainOutOfService(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 31)
	sim.addEndpoints("callout", 3, 4, 60*time.Millisecond)
	sim.addWorkers(3, workerCapacity)
	assert.Equal(t, sim.commitManifest(1, 100).Code, pimcode.OK)
	sim.run(5 * time.Second)
	confirmations := sim.startCallers("callout", 20*time.Millisecond, 30*time.Second)
	quotes := sim.startQuoteCallers(30*time.Second, map[string]time.Duration{
		"studio-a": 4 * time.Millisecond, "studio-b": 8 * time.Millisecond,
	})
	sim.run(10 * time.Second)
	assert.Equal(t, sim.markDomain("west", true).Code, pimcode.OK)
	sim.run(10 * time.Second)
	assert.Equal(t, sim.markDomain("west", false).Code, pimcode.OK)
	sim.run(20 * time.Second)
	ran := 0
	for id, answer := range sim.observed.answers {
		if answer.Outcome == pimrequest.OutcomeRan && id[:5] != "quote" {
			ran++
		}
	}
	t.Logf("%d of %d confirmations ran; quotes by team %v of %d", ran, confirmations, sim.ranByPrefix("quote"), quotes)
	assert.Equal(t, ran, confirmations, "confirmations have priority over quotes")
	shares := sim.ranByPrefix("quote")
	assert.Assert(t, shares["studio-b"] > 0 && shares["studio-a"] > 0, "no team starves")
	sim.assertGuarantees()
}

// startQuoteCallers sends idempotent requests of low priority for several teams, at one interval
// per team. It returns their number.
func (sim *simulation) startQuoteCallers(span time.Duration, intervals map[string]time.Duration) int {
	count := 0
	for team, interval := range intervals {
		for at := time.Duration(0); at < span; at += interval {
			count++
			sim.after(at, func() {
				sim.request(&callerRequest{
					id: fmt.Sprintf("quote.%s.%d", team, at), service: "callout", team: team, idempotent: true,
					deadline: sim.now + time.Second, priority: 1,
				})
			})
		}
	}
	return count
}

// ranByPrefix counts the requests that ran whose id starts with the prefix, by the eight
// characters of the team name that follow it.
func (sim *simulation) ranByPrefix(prefix string) map[string]int {
	counts := map[string]int{}
	for id, answer := range sim.observed.answers {
		var team string
		if _, err := fmt.Sscanf(id, prefix+".%8s", &team); err == nil && answer.Outcome == pimrequest.OutcomeRan {
			counts[team]++
		}
	}
	return counts
}

// TestRemovedBatchJobStops commits a manifest without the running batch job and with fewer replicas.
// The surplus tasks must stop, and none may start again.
func TestRemovedBatchJobStops(t *testing.T) {
	t.Parallel()
	sim := newBusySimulation(t, 32, 300)
	sim.run(2 * time.Second)
	content := []byte("number: 2\nteams: [{name: dispatch}]\nservices:\n  - {name: callout, replicas: 2, team: dispatch, idempotent: false, needs: {cpu-millis: 1000, memory-mb: 100}}\n")
	sim.mustCall(pimcore.ConfigGroup, pimmessage.CommitManifest{
		Command: pimconfig.CommitManifest{Content: content},
	}, 10*time.Second)
	sim.runUntil("cancelled tasks stop", 10*time.Second, func() bool {
		return sim.runningTasks("quotes") == 0 && sim.runningTasks("callout") == 2
	})
	cancelled := sim.now
	sim.run(10 * time.Second)
	for _, start := range sim.observed.starts {
		assert.Assert(t, start.at <= cancelled, "%v started after it was cancelled", start.task)
	}
	sim.assertGuarantees()
}

// TestLeavingEndpoint checks that an endpoint which announces that it is leaving gets no requests
// two seconds later.
func TestLeavingEndpoint(t *testing.T) {
	t.Parallel()
	sim := newBusySimulation(t, 33, 10)
	sim.startCallers("callout", 10*time.Millisecond, 8*time.Second)
	sim.run(2 * time.Second)
	e := sim.endpoints["callout-north-1"]
	e.announcement.Leaving = true
	sim.run(2 * time.Second)
	sentLater := 0
	sim.onCommand = func(_ *host, command pimcore.Command) {
		if send, ok := command.(pimcore.SendEndpoint); ok && send.Attempt.Endpoint == e.announcement.ID {
			sentLater++
		}
	}
	sim.run(5 * time.Second)
	assert.Equal(t, sentLater, 0)
	sim.assertGuarantees()
}

// TestBatchJobThatFitsNoWorker checks that a job whose tasks exceed the capacity of every worker
// does not hold up another job.
func TestBatchJobThatFitsNoWorker(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 34)
	sim.addWorkers(2, workerCapacity)
	content := []byte("number: 1\nteams: [{name: a}]\nbatch-jobs:\n  - {name: huge, tasks: 5, team: a, needs: {cpu-millis: 900000, memory-mb: 1}}\n  - {name: fine, tasks: 40, team: a, run-time: 1s, needs: {cpu-millis: 1000, memory-mb: 1}}\n")
	sim.mustCall(pimcore.ConfigGroup, pimmessage.CommitManifest{
		Command: pimconfig.CommitManifest{Content: content},
	}, 10*time.Second)
	sim.runUntil("the job that fits finishes", 60*time.Second, func() bool { return sim.finishedTasks() == 40 })
	assert.Equal(t, sim.runningTasks("huge"), 0)
	sim.assertGuarantees()
}
