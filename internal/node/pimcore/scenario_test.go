package pimcore_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/node/pimcore"
	"github.com/pimentoswitch/pimentoswitch/internal/route/pimrequest"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimmanifest"
)

var workerCapacity = pimmanifest.Resources{CPUMillis: 8000, MemoryMB: 1000}

// newBusySimulation has endpoints, workers, a manifest in force and batch tasks running.
func newBusySimulation(t *testing.T, seed uint64, tasks int) *simulation {
	w := newSimulation(t, seed)
	w.addEndpoints("callout", 2, 4, 20*time.Millisecond)
	w.addWorkers(3, workerCapacity)
	assert.Equal(t, w.commit(1, tasks).Code, pimcode.OK)
	w.runUntil("six replicas run", 15*time.Second, func() bool { return w.running("callout") == 6 })
	return w
}

func (w *simulation) outcomes() map[pimrequest.Outcome]int {
	counts := map[pimrequest.Outcome]int{}
	for _, answer := range w.observed.answers {
		counts[answer.Outcome]++
	}
	return counts
}

func TestNoFaults(t *testing.T) {
	t.Parallel()
	w := newBusySimulation(t, 1, 40)
	sent := w.startCallers("callout", 10*time.Millisecond, 5*time.Second)
	w.run(8 * time.Second)
	assert.Equal(t, w.outcomes()[pimrequest.OutcomeRan], sent)
	w.runUntil("batch finishes", 60*time.Second, func() bool { return w.finished() == 40 })
	w.assertGuarantees()
}

func TestKilledDaemons(t *testing.T) {
	t.Parallel()
	for _, group := range []string{pimcore.ConfigGroup, pimcore.DomainGroup("north")} {
		t.Run("leader of "+group, func(t *testing.T) {
			t.Parallel()
			w := newBusySimulation(t, 2, 60)
			sent := w.startCallers("callout", 10*time.Millisecond, 6*time.Second)
			w.run(2 * time.Second)
			victim := w.leader(group)
			w.kill(victim)
			w.runUntil("another leads", 5*time.Second, func() bool { return w.leader(group) != "" })
			w.run(2 * time.Second)
			w.start(victim)
			w.run(10 * time.Second)
			assert.Equal(t, len(w.observed.answers), sent)
			w.runUntil("batch finishes", 90*time.Second, func() bool { return w.finished() == 60 })
			w.assertGuarantees()
		})
	}
	t.Run("every daemon, one after another", func(t *testing.T) {
		t.Parallel()
		w := newBusySimulation(t, 3, 60)
		sent := w.startCallers("callout", 20*time.Millisecond, 20*time.Second)
		for _, name := range w.names {
			w.kill(name)
			w.run(2 * time.Second)
			w.start(name)
			w.run(2 * time.Second)
		}
		w.run(10 * time.Second)
		assert.Equal(t, len(w.observed.answers), sent)
		w.assertGuarantees()
	})
	t.Run("all at once, and back", func(t *testing.T) {
		t.Parallel()
		w := newBusySimulation(t, 4, 60)
		for _, name := range w.names {
			w.kill(name)
		}
		w.run(time.Second)
		for _, name := range w.names {
			w.start(name)
		}
		assert.Equal(t, w.commit(1, 60).Code, pimcode.OK)
		w.runUntil("batch finishes", 90*time.Second, func() bool { return w.finished() == 60 })
		w.assertGuarantees()
	})
}

func TestLostDisk(t *testing.T) {
	t.Parallel()
	t.Run("a second host is lost right after a repair", func(t *testing.T) {
		t.Parallel()
		w := newBusySimulation(t, 5, 20)
		w.loseDisk("north-1")
		w.run(500 * time.Millisecond)
		w.start("north-1")
		w.run(6 * time.Second)
		w.loseDisk("north-2")
		w.run(500 * time.Millisecond)
		w.start("north-2")
		result := w.commit(1, 20)
		assert.Equal(t, result.Code, pimcode.OK, "the accepted manifest is still known: %s", result.Detail)
		w.runUntil("north has a leader", 20*time.Second, func() bool { return w.leader(pimcore.DomainGroup("north")) != "" })
		w.runUntil("batch finishes", 90*time.Second, func() bool { return w.finished() == 20 })
		w.assertGuarantees()
	})
	t.Run("a host that stays away is replaced as a voter", func(t *testing.T) {
		t.Parallel()
		w := newBusySimulation(t, 6, 10)
		w.loseDisk("north-1")
		w.run(20 * time.Second)
		w.loseDisk("south-1")
		w.run(20 * time.Second)
		assert.Equal(t, w.commit(2, 10).Code, pimcode.OK)
		w.assertGuarantees()
	})
}

func TestNetworkPartition(t *testing.T) {
	t.Parallel()
	t.Run("a failure domain goes on serving its callers", func(t *testing.T) {
		t.Parallel()
		w := newBusySimulation(t, 7, 30)
		w.isolate(w.domainHosts("north")...)
		w.run(3 * time.Second)
		answer := w.requestThrough("north-1", "north.alone", false)
		assert.Equal(t, answer.Outcome, pimrequest.OutcomeRan, answer.Code.String())
		answer = w.requestThrough("south-1", "south.rest", false)
		assert.Equal(t, answer.Outcome, pimrequest.OutcomeRan, answer.Code.String())
		w.heal()
		w.runUntil("batch finishes", 90*time.Second, func() bool { return w.finished() == 30 })
		w.assertGuarantees()
	})
	t.Run("nothing starts after a mark that can't be heard", func(t *testing.T) {
		t.Parallel()
		w := newBusySimulation(t, 8, 400)
		w.isolate(w.domainHosts("north")...)
		result := w.markThrough("south-1", "north", true)
		assert.Equal(t, result.Code, pimcode.OK)
		marked := w.now
		w.run(5 * time.Second)
		w.killWorker(w.workerRunning("callout", "north"))
		w.run(25 * time.Second)
		assert.Equal(t, w.startsIn("north", marked+pimcore.ConfigLease+time.Second), 0)
		assert.Assert(t, w.startsIn("south", marked) > 0)
		w.heal()
		w.run(10 * time.Second)
		assert.Equal(t, w.startsIn("north", marked+pimcore.ConfigLease+time.Second), 0)
		w.assertGuarantees()
	})
	t.Run("a silent partition isolates the configuration leader", func(t *testing.T) {
		t.Parallel()
		w := newBusySimulation(t, 9, 30)
		old := w.leader(pimcore.ConfigGroup)
		w.isolate(old)
		w.runUntil("another leads", 5*time.Second, func() bool {
			leads := w.leader(pimcore.ConfigGroup)
			return leads != "" && leads != old
		})
		w.run(5 * time.Second)
		assert.Assert(t, !w.hosts[old].node.HasConfigLease())
		next := w.leader(pimcore.ConfigGroup)
		w.heal()
		w.run(5 * time.Second)
		assert.Equal(t, w.leader(pimcore.ConfigGroup), next, "the one that came back unseated nobody")
		w.assertGuarantees()
	})
	t.Run("one direction only", func(t *testing.T) {
		t.Parallel()
		w := newBusySimulation(t, 10, 30)
		old := w.leader(pimcore.ConfigGroup)
		w.isLinkCut = func(_, to string) bool { return to == old }
		w.run(5 * time.Second)
		assert.Assert(t, !w.hosts[old].node.HasConfigLease())
		w.heal()
		assert.Equal(t, w.commit(2, 30).Code, pimcode.OK)
		w.assertGuarantees()
	})
}

func TestDomainOutAndIn(t *testing.T) {
	t.Parallel()
	w := newBusySimulation(t, 11, 200)
	sent := w.startCallers("callout", 10*time.Millisecond, 30*time.Second)
	w.run(2 * time.Second)
	assert.Equal(t, w.mark("west", true).Code, pimcode.OK)
	marked := w.now
	w.run(10 * time.Second)
	assert.Equal(t, w.startsIn("west", marked+2*time.Second), 0)
	assert.Assert(t, w.observed.evictions > 0, "batch tasks left the failure domain")
	assert.Equal(t, w.running("callout"), 6, "replicas moved")
	assert.Equal(t, w.mark("west", false).Code, pimcode.OK)
	back := w.now
	w.run(20 * time.Second)
	assert.Assert(t, w.startsIn("west", back) > 0)
	assert.Equal(t, w.outcomes()[pimrequest.OutcomeRan], sent)
	w.runUntil("batch finishes", 120*time.Second, func() bool { return w.finished() == 200 })
	w.assertGuarantees()
}

func TestGracefulStop(t *testing.T) {
	t.Parallel()
	w := newBusySimulation(t, 12, 30)
	for _, name := range w.names {
		sent := w.sendThrough("callout", name, 50)
		w.run(100 * time.Millisecond)
		w.handle(w.hosts[name], pimcore.Drain{})
		w.runUntil(name+" drains", 10*time.Second, func() bool { return w.hosts[name].node.IsDrained() })
		assert.Equal(t, w.countRan(sent), len(sent), "no request is cut off")
		assert.Equal(t, len(w.hosts[name].node.LedGroups()), 0, "leadership is handed over")
		refused := w.requestThrough(name, w.hosts[name].domain+".late-"+name, false)
		assert.Equal(t, refused.Code, pimcode.Draining)
		w.kill(name)
		w.run(2 * time.Second)
		w.start(name)
		w.run(3 * time.Second)
	}
	w.assertGuarantees()
}

func TestBadNetwork(t *testing.T) {
	t.Parallel()
	w := newBusySimulation(t, 13, 60)
	w.lossRate, w.duplicateRate, w.extraDelay = 0.05, 0.1, 5*time.Millisecond
	sent := w.startCallers("callout", 20*time.Millisecond, 10*time.Second)
	w.run(20 * time.Second)
	assert.Equal(t, len(w.observed.answers), sent)
	w.lossRate, w.duplicateRate, w.extraDelay = 0, 0, 0
	w.runUntil("batch finishes", 120*time.Second, func() bool { return w.finished() == 60 })
	w.assertGuarantees()
}

func TestDeadWorker(t *testing.T) {
	t.Parallel()
	w := newBusySimulation(t, 14, 60)
	w.run(2 * time.Second)
	w.killWorker("worker-north-1")
	w.killWorker("worker-south-2")
	w.run(15 * time.Second)
	assert.Equal(t, w.running("callout"), 6)
	w.runUntil("batch finishes", 120*time.Second, func() bool { return w.finished() == 60 })
	w.assertGuarantees()
}

func TestWorkerThatFailsEverything(t *testing.T) {
	t.Parallel()
	w := newSimulation(t, 15)
	w.addWorkers(3, workerCapacity)
	w.workers["worker-north-1"].failAll = true
	w.commit(1, 100)
	w.runUntil("batch finishes", 120*time.Second, func() bool { return w.finished() == 100 })
	failed := 0
	for _, start := range w.observed.starts {
		if start.domain == "north" && w.observed.finished[start.task] == 0 {
			failed++
		}
	}
	assert.Assert(t, len(w.observed.starts) < 100+6+60, "starts: %d", len(w.observed.starts))
	w.assertGuarantees()
}

func TestDuplicateRequests(t *testing.T) {
	t.Parallel()
	t.Run("two daemons get the same id at the same time", func(t *testing.T) {
		t.Parallel()
		w := newBusySimulation(t, 16, 10)
		w.sendDuplicates(300)
		w.run(40 * time.Second)
		assert.Equal(t, len(w.observed.answers), 300)
		assert.Equal(t, w.outcomes()[pimrequest.OutcomeRan], 300)
		w.assertGuarantees()
	})
	t.Run("a caller comes back after the daemon that sent was killed", func(t *testing.T) {
		t.Parallel()
		w := newBusySimulation(t, 17, 10)
		for _, e := range w.endpoints {
			e.work = 500 * time.Millisecond
		}
		ids := w.sendThrough("callout", "north-1", 4)
		w.run(200 * time.Millisecond)
		w.kill("north-1")
		for _, id := range []string{ids[1], ids[3]} {
			answer := w.requestThrough("south-1", id, false)
			assert.Assert(t, answer.Outcome != pimrequest.OutcomeNotRun || w.observed.executions[id] == 0)
		}
		w.run(10 * time.Second)
		w.start("north-1")
		w.assertGuarantees()
	})
	t.Run("an id with other content is refused", func(t *testing.T) {
		t.Parallel()
		w := newBusySimulation(t, 18, 10)
		assert.Equal(t, w.requestThrough("north-1", "north.a", false).Outcome, pimrequest.OutcomeRan)
		w.request(&callerRequest{id: "north.a", service: "callout", deadline: w.now + time.Second, digest: "other"})
		w.run(2 * time.Second)
		assert.Equal(t, w.observed.answers["north.a"].Code, pimcode.RequestIDReused)
	})
}

func TestLeaderChangeWithAllSlotsInUse(t *testing.T) {
	t.Parallel()
	for name, stop := range map[string]func(w *simulation, victim string){
		"killed":  func(w *simulation, victim string) { w.kill(victim) },
		"drained": func(w *simulation, victim string) { w.stopGracefully(victim) },
		"frozen":  func(w *simulation, victim string) { w.hosts[victim].frozen = true },
	} {
		t.Run("no slot is given twice when the leader is "+name, func(t *testing.T) {
			t.Parallel()
			w := newBusySimulation(t, 19, 10)
			for _, e := range w.endpoints {
				e.work = 1500 * time.Millisecond
			}
			w.startCallers("callout", 10*time.Millisecond, 12*time.Second)
			for _, domain := range []string{"north", "south"} {
				w.run(2 * time.Second)
				victim := w.leader(pimcore.DomainGroup(domain))
				stop(w, victim)
				w.run(2 * time.Second)
				w.restart(victim)
			}
			w.run(10 * time.Second)
			assert.Assert(t, w.outcomes()[pimrequest.OutcomeRan] > 100)
			w.assertGuarantees()
		})
	}
}

func TestRestartDuringPartition(t *testing.T) {
	t.Parallel()
	w := newBusySimulation(t, 20, 10)
	result := w.commit(2, 10)
	w.waitInEffect(result.Version)
	w.isolate(w.domainHosts("north")...)
	w.run(4 * time.Second)
	for _, name := range w.domainHosts("north") {
		w.kill(name)
		w.start(name)
	}
	w.run(15 * time.Second)
	for _, name := range w.domainHosts("north") {
		assert.Assert(t, w.hosts[name].node.Version() >= result.Version, "the configuration went back")
		assert.Equal(t, w.hosts[name].node.Status().Manifest.Number, uint64(2))
	}
	answer := w.requestThrough("north-1", "north.alone", false)
	assert.Equal(t, answer.Outcome, pimrequest.OutcomeRan, answer.Code.String())
	w.assertGuarantees()
}
