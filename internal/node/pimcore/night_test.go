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

// failDomain ends every host, worker and endpoint of a failure domain at once.
func (w *simulation) failDomain(domain string) {
	for _, name := range w.domainHosts(domain) {
		w.kill(name)
	}
	for id, f := range w.workers {
		if f.domain == domain {
			w.killWorker(id)
		}
	}
	for _, e := range w.endpoints {
		if e.announcement.Domain == domain {
			e.silent = true
			clear(e.running)
		}
	}
}

// restoreDomain starts the hosts and endpoints again, and new workers.
func (w *simulation) restoreDomain(domain string) {
	for _, name := range w.domainHosts(domain) {
		w.start(name)
	}
	for _, e := range w.endpoints {
		if e.announcement.Domain == domain {
			e.silent = false
			e.announcement.Boot = "2"
			e.announcement.Sequence = 0
		}
	}
	for i := range 3 {
		f := &fakeWorker{id: fmt.Sprintf("again-%s-%d", domain, i+1), domain: domain, tasks: map[pimconfig.TaskID]*fakeTask{}}
		w.workers[f.id] = f
		w.report(f, workerCapacity)
	}
}

// TestDomainLossAndReturn is the night of the dispatch service: 17 executors of eight slots in
// each failure domain, one of them lost and back later, nobody on duty.
func TestDomainLossAndReturn(t *testing.T) {
	t.Parallel()
	w := newSimulation(t, 30)
	w.addEndpoints("callout", 17, 8, 40*time.Millisecond)
	w.addWorkers(3, workerCapacity)
	assert.Equal(t, w.commit(1, 60).Code, pimcode.OK)
	w.runUntil("six replicas run", 15*time.Second, func() bool { return w.running("callout") == 6 })
	sent := w.startCallers("callout", 25*time.Millisecond, 90*time.Second)
	w.run(10 * time.Second)
	w.failDomain("north")
	lost := w.now
	w.runUntil("six replicas run without north", 15*time.Second, func() bool { return w.running("callout") == 6 })
	t.Logf("replicas were whole again %s after the loss", w.now-lost)
	w.run(30 * time.Second)
	w.restoreDomain("north")
	w.run(50 * time.Second)
	w.runUntil("every caller has an answer", 30*time.Second, func() bool { return len(w.observed.answers) == sent })
	ran := w.outcomes()[pimrequest.OutcomeRan]
	t.Logf("%d of %d callouts ran, outcomes %v", ran, sent, w.outcomes())
	for id, answer := range w.observed.answers {
		elsewhere := id[:5] == "south" || id[:4] == "west"
		if elsewhere && answer.Outcome == pimrequest.OutcomeNotRun {
			t.Errorf("%s with a home that lives was not run: %s", id, answer.Code)
		}
	}
	w.runUntil("batch finishes", 240*time.Second, func() bool { return w.finished() == 60 })
	w.assertGuarantees()
}

// TestPriorityWithDomainOutOfService is the morning of the booking service: confirmations of high
// priority beside quotes of two studios, a failure domain taken out at short notice.
func TestPriorityWithDomainOutOfService(t *testing.T) {
	t.Parallel()
	w := newSimulation(t, 31)
	w.addEndpoints("callout", 3, 4, 60*time.Millisecond)
	w.addWorkers(3, workerCapacity)
	assert.Equal(t, w.commit(1, 100).Code, pimcode.OK)
	w.run(5 * time.Second)
	confirmations := w.startCallers("callout", 20*time.Millisecond, 30*time.Second)
	quotes := w.startQuoteCallers(30*time.Second, map[string]time.Duration{"studio-a": 4 * time.Millisecond, "studio-b": 8 * time.Millisecond})
	w.run(10 * time.Second)
	assert.Equal(t, w.mark("west", true).Code, pimcode.OK)
	w.run(10 * time.Second)
	assert.Equal(t, w.mark("west", false).Code, pimcode.OK)
	w.run(20 * time.Second)
	ran := 0
	for id, answer := range w.observed.answers {
		if answer.Outcome == pimrequest.OutcomeRan && id[:5] != "quote" {
			ran++
		}
	}
	t.Logf("%d of %d confirmations ran; quotes by studio %v of %d", ran, confirmations, w.ranByPrefix("quote"), quotes)
	assert.Equal(t, ran, confirmations, "every confirmation goes before the quotes")
	shares := w.ranByPrefix("quote")
	assert.Assert(t, shares["studio-b"] > 0 && shares["studio-a"] > 0, "no studio starves")
	w.assertGuarantees()
}

// startQuoteCallers sends idempotent requests of low priority for several teams.
func (w *simulation) startQuoteCallers(span time.Duration, intervals map[string]time.Duration) int {
	count := 0
	for team, interval := range intervals {
		for at := time.Duration(0); at < span; at += interval {
			count++
			w.after(at, func() {
				w.request(&callerRequest{
					id: fmt.Sprintf("quote.%s.%d", team, at), service: "callout", team: team, idempotent: true, deadline: w.now + time.Second, priority: 1,
				})
			})
		}
	}
	return count
}

// ranByPrefix counts the requests that ran, by the second part of their id.
func (w *simulation) ranByPrefix(prefix string) map[string]int {
	counts := map[string]int{}
	for id, answer := range w.observed.answers {
		var team string
		if _, err := fmt.Sscanf(id, prefix+".%8s", &team); err == nil && answer.Outcome == pimrequest.OutcomeRan {
			counts[team]++
		}
	}
	return counts
}

func TestRemovedBatchJobStops(t *testing.T) {
	t.Parallel()
	w := newBusySimulation(t, 32, 300)
	w.run(2 * time.Second)
	content := []byte("number: 2\nteams: [{name: dispatch}]\nservices:\n  - {name: callout, replicas: 2, team: dispatch, idempotent: false, needs: {cpu-millis: 1000, memory-mb: 100}}\n")
	w.mustCall(pimcore.ConfigGroup, pimmessage.CommitManifest{Command: pimconfig.CommitManifest{Content: content}}, 10*time.Second)
	w.runUntil("cancelled tasks stop", 10*time.Second, func() bool { return w.running("quotes") == 0 && w.running("callout") == 2 })
	cancelled := w.now
	w.run(10 * time.Second)
	for _, start := range w.observed.starts {
		assert.Assert(t, start.at <= cancelled, "%v started after it was cancelled", start.task)
	}
	w.assertGuarantees()
}

func TestLeavingEndpoint(t *testing.T) {
	t.Parallel()
	w := newBusySimulation(t, 33, 10)
	w.startCallers("callout", 10*time.Millisecond, 8*time.Second)
	w.run(2 * time.Second)
	e := w.endpoints["callout-north-1"]
	e.announcement.Leaving = true
	w.run(2 * time.Second)
	sentLater := 0
	w.onCommand = func(_ *host, command pimcore.Command) {
		if send, ok := command.(pimcore.SendEndpoint); ok && send.Attempt.Endpoint == e.announcement.ID {
			sentLater++
		}
	}
	w.run(5 * time.Second)
	assert.Equal(t, sentLater, 0)
	w.assertGuarantees()
}

// TestBatchJobThatFitsNoWorker has a job that fits on no worker beside one that does.
func TestBatchJobThatFitsNoWorker(t *testing.T) {
	t.Parallel()
	w := newSimulation(t, 34)
	w.addWorkers(2, workerCapacity)
	content := []byte("number: 1\nteams: [{name: a}]\nbatch-jobs:\n  - {name: huge, tasks: 5, team: a, needs: {cpu-millis: 900000, memory-mb: 1}}\n  - {name: fine, tasks: 40, team: a, run-time: 1s, needs: {cpu-millis: 1000, memory-mb: 1}}\n")
	w.mustCall(pimcore.ConfigGroup, pimmessage.CommitManifest{Command: pimconfig.CommitManifest{Content: content}}, 10*time.Second)
	w.runUntil("the job that fits finishes", 60*time.Second, func() bool { return w.finished() == 40 })
	assert.Equal(t, w.running("huge"), 0)
	w.assertGuarantees()
}
