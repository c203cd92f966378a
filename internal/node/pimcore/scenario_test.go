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

// newBusySimulation returns a simulation with endpoints and workers in all failure domains and a
// manifest with the given number of batch tasks, after all replicas of its service have started.
func newBusySimulation(t *testing.T, seed uint64, tasks int) *simulation {
	sim := newSimulation(t, seed)
	sim.addEndpoints("callout", 2, 4, 20*time.Millisecond)
	sim.addWorkers(3, workerCapacity)
	assert.Equal(t, sim.commitManifest(1, tasks).Code, pimcode.OK)
	sim.runUntil("six replicas run", 15*time.Second, func() bool { return sim.runningTasks("callout") == 6 })
	return sim
}

// outcomeCounts returns the number of recorded answers for each outcome.
func (sim *simulation) outcomeCounts() map[pimrequest.Outcome]int {
	counts := map[pimrequest.Outcome]int{}
	for _, answer := range sim.observed.answers {
		counts[answer.Outcome]++
	}
	return counts
}

// TestNoFaults checks that without faults every request runs and the batch job finishes.
func TestNoFaults(t *testing.T) {
	t.Parallel()
	sim := newBusySimulation(t, 1, 40)
	sent := sim.startCallers("callout", 10*time.Millisecond, 5*time.Second)
	sim.run(8 * time.Second)
	assert.Equal(t, sim.outcomeCounts()[pimrequest.OutcomeRan], sent)
	sim.runUntil("batch finishes", 60*time.Second, func() bool { return sim.finishedTasks() == 40 })
	sim.assertGuarantees()
}

// TestKilledDaemons checks that after crashes and restarts of daemons every request is answered,
// accepted manifests are kept and batch jobs finish.
func TestKilledDaemons(t *testing.T) {
	t.Parallel()
	for _, group := range []string{pimcore.ConfigGroup, pimcore.DomainGroup("north")} {
		t.Run("leader of "+group, func(t *testing.T) {
			t.Parallel()
			sim := newBusySimulation(t, 2, 60)
			sent := sim.startCallers("callout", 10*time.Millisecond, 6*time.Second)
			sim.run(2 * time.Second)
			victim := sim.leader(group)
			sim.kill(victim)
			sim.runUntil("another daemon leads", 5*time.Second, func() bool { return sim.leader(group) != "" })
			sim.run(2 * time.Second)
			sim.start(victim)
			sim.run(10 * time.Second)
			assert.Equal(t, len(sim.observed.answers), sent)
			sim.runUntil("batch finishes", 90*time.Second, func() bool { return sim.finishedTasks() == 60 })
			sim.assertGuarantees()
		})
	}
	t.Run("every daemon, one after another", func(t *testing.T) {
		t.Parallel()
		sim := newBusySimulation(t, 3, 60)
		sent := sim.startCallers("callout", 20*time.Millisecond, 20*time.Second)
		for _, name := range sim.hostNames {
			sim.kill(name)
			sim.run(2 * time.Second)
			sim.start(name)
			sim.run(2 * time.Second)
		}
		sim.run(10 * time.Second)
		assert.Equal(t, len(sim.observed.answers), sent)
		sim.assertGuarantees()
	})
	t.Run("all daemons at once", func(t *testing.T) {
		t.Parallel()
		sim := newBusySimulation(t, 4, 60)
		for _, name := range sim.hostNames {
			sim.kill(name)
		}
		sim.run(time.Second)
		for _, name := range sim.hostNames {
			sim.start(name)
		}
		assert.Equal(t, sim.commitManifest(1, 60).Code, pimcode.OK)
		sim.runUntil("batch finishes", 90*time.Second, func() bool { return sim.finishedTasks() == 60 })
		sim.assertGuarantees()
	})
}

// TestLostDisk checks that the cluster replaces daemons that lost their disk and keeps what it
// accepted before.
func TestLostDisk(t *testing.T) {
	t.Parallel()
	t.Run("a second disk is lost after the first was replaced", func(t *testing.T) {
		t.Parallel()
		sim := newBusySimulation(t, 5, 20)
		sim.loseDisk("north-1")
		sim.run(500 * time.Millisecond)
		sim.start("north-1")
		sim.run(6 * time.Second)
		sim.loseDisk("north-2")
		sim.run(500 * time.Millisecond)
		sim.start("north-2")
		result := sim.commitManifest(1, 20)
		assert.Equal(t, result.Code, pimcode.OK, "the accepted manifest is still known: %s", result.Detail)
		sim.runUntil("north has a leader", 20*time.Second, func() bool {
			return sim.leader(pimcore.DomainGroup("north")) != ""
		})
		sim.runUntil("batch finishes", 90*time.Second, func() bool { return sim.finishedTasks() == 20 })
		sim.assertGuarantees()
	})
	t.Run("a host that stays down is replaced as a voter", func(t *testing.T) {
		t.Parallel()
		sim := newBusySimulation(t, 6, 10)
		sim.loseDisk("north-1")
		sim.run(20 * time.Second)
		sim.loseDisk("south-1")
		sim.run(20 * time.Second)
		assert.Equal(t, sim.commitManifest(2, 10).Code, pimcode.OK)
		sim.assertGuarantees()
	})
}

// TestNetworkPartition checks the behaviour of daemons that are cut off from others.
func TestNetworkPartition(t *testing.T) {
	t.Parallel()
	t.Run("a partitioned failure domain continues to serve its callers", func(t *testing.T) {
		t.Parallel()
		sim := newBusySimulation(t, 7, 30)
		sim.isolate(sim.domainHosts("north")...)
		sim.run(3 * time.Second)
		answer := sim.requestThrough("north-1", "north.alone", false)
		assert.Equal(t, answer.Outcome, pimrequest.OutcomeRan, answer.Code.String())
		answer = sim.requestThrough("south-1", "south.rest", false)
		assert.Equal(t, answer.Outcome, pimrequest.OutcomeRan, answer.Code.String())
		sim.heal()
		sim.runUntil("batch finishes", 90*time.Second, func() bool { return sim.finishedTasks() == 30 })
		sim.assertGuarantees()
	})
	t.Run("no task starts in a failure domain that can't receive its mark", func(t *testing.T) {
		t.Parallel()
		sim := newBusySimulation(t, 8, 400)
		sim.isolate(sim.domainHosts("north")...)
		result := sim.markThrough("south-1", "north", true)
		assert.Equal(t, result.Code, pimcode.OK)
		marked := sim.now
		sim.run(5 * time.Second)
		sim.killWorker(sim.workerRunning("callout", "north"))
		sim.run(25 * time.Second)
		assert.Equal(t, sim.startsAfter("north", marked+pimcore.ConfigLease+time.Second), 0)
		assert.Assert(t, sim.startsAfter("south", marked) > 0)
		sim.heal()
		sim.run(10 * time.Second)
		assert.Equal(t, sim.startsAfter("north", marked+pimcore.ConfigLease+time.Second), 0)
		sim.assertGuarantees()
	})
	t.Run("the configuration leader is isolated", func(t *testing.T) {
		t.Parallel()
		sim := newBusySimulation(t, 9, 30)
		former := sim.leader(pimcore.ConfigGroup)
		sim.isolate(former)
		sim.runUntil("another daemon leads", 5*time.Second, func() bool {
			leader := sim.leader(pimcore.ConfigGroup)
			return leader != "" && leader != former
		})
		sim.run(5 * time.Second)
		assert.Assert(t, !sim.hosts[former].node.HasConfigLease())
		next := sim.leader(pimcore.ConfigGroup)
		sim.heal()
		sim.run(5 * time.Second)
		assert.Equal(t, sim.leader(pimcore.ConfigGroup), next, "the former leader did not depose the new one")
		sim.assertGuarantees()
	})
	t.Run("the configuration leader can send but not receive", func(t *testing.T) {
		t.Parallel()
		sim := newBusySimulation(t, 10, 30)
		former := sim.leader(pimcore.ConfigGroup)
		sim.partition = func(_, to string) bool { return to == former }
		sim.run(5 * time.Second)
		assert.Assert(t, !sim.hosts[former].node.HasConfigLease())
		sim.heal()
		assert.Equal(t, sim.commitManifest(2, 30).Code, pimcode.OK)
		sim.assertGuarantees()
	})
}

// TestDomainOutAndIn takes a failure domain out of service and back in. Its tasks must move to other
// domains, none may start in it from two seconds after the mark, and every request must run.
func TestDomainOutAndIn(t *testing.T) {
	t.Parallel()
	sim := newBusySimulation(t, 11, 200)
	sent := sim.startCallers("callout", 10*time.Millisecond, 30*time.Second)
	sim.run(2 * time.Second)
	assert.Equal(t, sim.markDomain("west", true).Code, pimcode.OK)
	marked := sim.now
	sim.run(10 * time.Second)
	assert.Equal(t, sim.startsAfter("west", marked+2*time.Second), 0)
	assert.Assert(t, sim.observed.evictions > 0, "batch tasks are evicted from the failure domain")
	assert.Equal(t, sim.runningTasks("callout"), 6, "all replicas run elsewhere")
	assert.Equal(t, sim.markDomain("west", false).Code, pimcode.OK)
	back := sim.now
	sim.run(20 * time.Second)
	assert.Assert(t, sim.startsAfter("west", back) > 0)
	assert.Equal(t, sim.outcomeCounts()[pimrequest.OutcomeRan], sent)
	sim.runUntil("batch finishes", 120*time.Second, func() bool { return sim.finishedTasks() == 200 })
	sim.assertGuarantees()
}

// TestGracefulStop drains each daemon in turn. It must complete its requests, hand over leadership
// and refuse new requests.
func TestGracefulStop(t *testing.T) {
	t.Parallel()
	sim := newBusySimulation(t, 12, 30)
	for _, name := range sim.hostNames {
		sent := sim.sendThrough("callout", name, 50)
		sim.run(100 * time.Millisecond)
		sim.handle(sim.hosts[name], pimcore.Drain{})
		sim.runUntil(name+" drains", 10*time.Second, func() bool { return sim.hosts[name].node.IsDrained() })
		assert.Equal(t, sim.countRan(sent), len(sent), "no request is aborted")
		assert.Equal(t, len(sim.hosts[name].node.LedGroups()), 0, "leadership is handed over")
		refused := sim.requestThrough(name, sim.hosts[name].domain+".late-"+name, false)
		assert.Equal(t, refused.Code, pimcode.Draining)
		sim.kill(name)
		sim.run(2 * time.Second)
		sim.start(name)
		sim.run(3 * time.Second)
	}
	sim.assertGuarantees()
}

// TestBadNetwork checks that every request is answered and the batch job finishes although messages
// are lost, repeated and delayed.
func TestBadNetwork(t *testing.T) {
	t.Parallel()
	sim := newBusySimulation(t, 13, 60)
	sim.lossRate, sim.duplicateRate, sim.extraDelay = 0.05, 0.1, 5*time.Millisecond
	sent := sim.startCallers("callout", 20*time.Millisecond, 10*time.Second)
	sim.run(20 * time.Second)
	assert.Equal(t, len(sim.observed.answers), sent)
	sim.lossRate, sim.duplicateRate, sim.extraDelay = 0, 0, 0
	sim.runUntil("batch finishes", 120*time.Second, func() bool { return sim.finishedTasks() == 60 })
	sim.assertGuarantees()
}

// TestDeadWorker checks that the tasks of lost workers run again elsewhere.
func TestDeadWorker(t *testing.T) {
	t.Parallel()
	sim := newBusySimulation(t, 14, 60)
	sim.run(2 * time.Second)
	sim.killWorker("worker-north-1")
	sim.killWorker("worker-south-2")
	sim.run(15 * time.Second)
	assert.Equal(t, sim.runningTasks("callout"), 6)
	sim.runUntil("batch finishes", 120*time.Second, func() bool { return sim.finishedTasks() == 60 })
	sim.assertGuarantees()
}

// TestWorkerThatFailsEverything checks that a worker on which every batch task fails does not keep
// the job from finishing and gets few tasks: fewer than 60 starts besides the 100 batch tasks and
// six replicas.
func TestWorkerThatFailsEverything(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 15)
	sim.addWorkers(3, workerCapacity)
	sim.workers["worker-north-1"].failAll = true
	sim.commitManifest(1, 100)
	sim.runUntil("batch finishes", 120*time.Second, func() bool { return sim.finishedTasks() == 100 })
	failed := 0
	for _, start := range sim.observed.starts {
		if start.domain == "north" && sim.observed.finished[start.task] == 0 {
			failed++
		}
	}
	assert.Assert(t, len(sim.observed.starts) < 100+6+60, "starts: %d", len(sim.observed.starts))
	sim.assertGuarantees()
}

// TestDuplicateRequests checks that a request that is sent more than once under the same id runs at
// most once.
func TestDuplicateRequests(t *testing.T) {
	t.Parallel()
	t.Run("two daemons receive the same request id at the same time", func(t *testing.T) {
		t.Parallel()
		sim := newBusySimulation(t, 16, 10)
		sim.sendDuplicates(300)
		sim.run(40 * time.Second)
		assert.Equal(t, len(sim.observed.answers), 300)
		assert.Equal(t, sim.outcomeCounts()[pimrequest.OutcomeRan], 300)
		sim.assertGuarantees()
	})
	t.Run("a caller retries after the daemon with its request was killed", func(t *testing.T) {
		t.Parallel()
		sim := newBusySimulation(t, 17, 10)
		for _, e := range sim.endpoints {
			e.serviceTime = 500 * time.Millisecond
		}
		ids := sim.sendThrough("callout", "north-1", 4)
		sim.run(200 * time.Millisecond)
		sim.kill("north-1")
		for _, id := range []string{ids[1], ids[3]} {
			answer := sim.requestThrough("south-1", id, false)
			assert.Assert(t, answer.Outcome != pimrequest.OutcomeNotRun || sim.observed.executions[id] == 0)
		}
		sim.run(10 * time.Second)
		sim.start("north-1")
		sim.assertGuarantees()
	})
	t.Run("a request id with other content is refused", func(t *testing.T) {
		t.Parallel()
		sim := newBusySimulation(t, 18, 10)
		assert.Equal(t, sim.requestThrough("north-1", "north.a", false).Outcome, pimrequest.OutcomeRan)
		sim.request(&callerRequest{id: "north.a", service: "callout", deadline: sim.now + time.Second, digestSuffix: "other"})
		sim.run(2 * time.Second)
		assert.Equal(t, sim.observed.answers["north.a"].Code, pimcode.RequestIDReused)
	})
}

// TestLeaderChangeWithAllSlotsInUse ends the leadership of domain groups while all slots are in use.
// The next leader must learn of the granted slots before it grants any; runAttempt records a
// violation if an endpoint gets more attempts than it has slots.
func TestLeaderChangeWithAllSlotsInUse(t *testing.T) {
	t.Parallel()
	for name, stop := range map[string]func(sim *simulation, victim string){
		"killed":  func(sim *simulation, victim string) { sim.kill(victim) },
		"drained": func(sim *simulation, victim string) { sim.stopGracefully(victim) },
		"frozen":  func(sim *simulation, victim string) { sim.hosts[victim].frozen = true },
	} {
		t.Run("no slot is granted twice when the leader is "+name, func(t *testing.T) {
			t.Parallel()
			sim := newBusySimulation(t, 19, 10)
			for _, e := range sim.endpoints {
				e.serviceTime = 1500 * time.Millisecond
			}
			sim.startCallers("callout", 10*time.Millisecond, 12*time.Second)
			for _, domain := range []string{"north", "south"} {
				sim.run(2 * time.Second)
				victim := sim.leader(pimcore.DomainGroup(domain))
				stop(sim, victim)
				sim.run(2 * time.Second)
				sim.restart(victim)
			}
			sim.run(10 * time.Second)
			assert.Assert(t, sim.outcomeCounts()[pimrequest.OutcomeRan] > 100)
			sim.assertGuarantees()
		})
	}
}

// TestRestartDuringPartition restarts the daemons of a failure domain that is cut off. They must not
// fall back to an older configuration, and must serve their callers again.
func TestRestartDuringPartition(t *testing.T) {
	t.Parallel()
	sim := newBusySimulation(t, 20, 10)
	result := sim.commitManifest(2, 10)
	sim.waitInEffect(result.Version)
	sim.isolate(sim.domainHosts("north")...)
	sim.run(4 * time.Second)
	for _, name := range sim.domainHosts("north") {
		sim.kill(name)
		sim.start(name)
	}
	sim.run(15 * time.Second)
	for _, name := range sim.domainHosts("north") {
		assert.Assert(t, sim.hosts[name].node.Version() >= result.Version, "the configuration version decreased")
		assert.Equal(t, sim.hosts[name].node.Status().Manifest.Number, uint64(2))
	}
	answer := sim.requestThrough("north-1", "north.alone", false)
	assert.Equal(t, answer.Outcome, pimrequest.OutcomeRan, answer.Code.String())
	sim.assertGuarantees()
}
