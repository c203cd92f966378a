package pimcore_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/node/pimcore"
	"github.com/pimentoswitch/pimentoswitch/internal/route/pimrequest"
)

var (
	firstSeed = flag.Uint64("first-seed", 100, "first seed of the random fault runs")
	seedCount = flag.Uint64("seeds", 16, "number of random fault runs")
)

// TestRandomFaults injects random faults, which may overlap, while callers repeat requests through
// other daemons, and checks all guarantees at the end. The listed seeds always run.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	seeds := []uint64{122, 130, 234, 238, 299, 347, 1004, 1117}
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			sim := newBusySimulation(t, seed, 80)
			sim.startCallers("callout", 10*time.Millisecond, 30*time.Second)
			sim.sendDuplicates(500)
			for range 6 {
				sim.randomFault()
				sim.run(time.Duration(sim.random.Int64N(int64(5 * time.Second))))
			}
			sim.endFaults()
			sim.run(20 * time.Second)
			// The manifest accepted before the faults is still known, and the cluster makes progress.
			assert.Equal(t, sim.commitManifest(1, 80).Code, pimcode.OK)
			sim.runUntil("six replicas run", 60*time.Second, func() bool { return sim.runningTasks("callout") == 6 })
			sim.runUntil("batch finishes", 180*time.Second, func() bool { return sim.finishedTasks() == 80 })
			answer := sim.requestThrough(sim.hostNames[0], "north.last", false)
			assert.Equal(t, answer.Outcome, pimrequest.OutcomeRan, answer.Code.String())
			sim.assertGuarantees()
		})
	}
}

// sendDuplicates sends non-idempotent requests at random times, each of them twice within 200 ms
// through random daemons.
func (sim *simulation) sendDuplicates(count int) {
	for i := range count {
		at := time.Duration(sim.random.Int64N(int64(30 * time.Second)))
		id := fmt.Sprintf("south.twin-%d", i)
		for range 2 {
			sim.after(at+time.Duration(sim.random.Int64N(int64(200*time.Millisecond))), func() {
				if len(sim.runningHosts("")) > 0 {
					sim.request(&callerRequest{id: id, service: "callout", deadline: sim.now + 2*time.Second})
				}
			})
		}
	}
}

func (sim *simulation) randomHost() string { return sim.hostNames[sim.random.IntN(len(sim.hostNames))] }

// randomFault injects a random fault at a random host and schedules its end.
func (sim *simulation) randomFault() {
	span := time.Duration(sim.random.Int64N(int64(8*time.Second))) + 200*time.Millisecond
	name := sim.randomHost()
	h := sim.hosts[name]
	kind := sim.random.IntN(9)
	sim.t.Logf("%s: fault %d at %s for %s", sim.now, kind, name, span)
	switch kind {
	case 0, 1:
		sim.kill(name)
		sim.after(span, func() { sim.restart(name) })
	case 2:
		if sim.isHealthy() {
			sim.loseDisk(name)
			sim.after(span, func() { sim.restart(name) })
		}
	case 3:
		sim.isolate(name)
		sim.after(span, sim.heal)
	case 4:
		sim.isolate(sim.domainHosts(h.domain)...)
		sim.after(span, sim.heal)
	case 5:
		sim.partition = func(_, to string) bool { return to == name }
		sim.after(span, sim.heal)
	case 6:
		sim.lossRate, sim.duplicateRate, sim.extraDelay = 0.1, 0.2, 20*time.Millisecond
		sim.after(span, func() { sim.lossRate, sim.duplicateRate, sim.extraDelay = 0, 0, 0 })
	case 7:
		h.frozen = true
		sim.after(span, func() { h.frozen = false })
	case 8:
		h.diskFails = true
		sim.after(span, func() {
			sim.kill(name)
			sim.restart(name)
		})
	}
}

// isHealthy reports whether all hosts run without a fault and every group has its target
// membership, so that the loss of one disk can't cost any group its majority.
func (sim *simulation) isHealthy() bool {
	for _, name := range sim.hostNames {
		h := sim.hosts[name]
		if h.node == nil || h.frozen || h.diskFails || !h.node.HasConfigLease() {
			return false
		}
	}
	return sim.partition == nil && sim.hasTargetMembership()
}

// hasTargetMembership reports whether every group has a leader and its target membership.
func (sim *simulation) hasTargetMembership() bool {
	for _, group := range []string{pimcore.ConfigGroup, "domain.north", "domain.south", "domain.west"} {
		leader := sim.leader(group)
		if leader == "" || !sim.hosts[leader].node.HasTargetMembership(group) {
			return false
		}
	}
	return true
}

// restart ends the faults of a host and starts its process if it does not run.
func (sim *simulation) restart(name string) {
	h := sim.hosts[name]
	h.frozen, h.diskFails = false, false
	if h.node == nil {
		sim.start(name)
	}
}

// endFaults ends all faults.
func (sim *simulation) endFaults() {
	sim.heal()
	sim.lossRate, sim.duplicateRate, sim.extraDelay = 0, 0, 0
	for _, name := range sim.hostNames {
		if sim.hosts[name].diskFails {
			sim.kill(name)
		}
		sim.restart(name)
	}
}

// logState logs the status of each host, to explain a failed test.
func (sim *simulation) logState() {
	for _, name := range sim.hostNames {
		h := sim.hosts[name]
		if h.node == nil {
			sim.t.Logf("%s is not running", name)
			continue
		}
		s := h.node.Status()
		sim.t.Logf("%s nonce %d version %d lease %t requests %d owned %v",
			name, h.nonce, s.Version, s.ConfigLease, s.Requests, s.OwnedTasks)
		for _, g := range s.Groups {
			sim.t.Logf("  %s %s term %d commit %d voters %d", g.Name, g.Role, g.Term, g.Commit, g.Voters)
		}
	}
}

// TestDeterminism runs the same seed twice. All nodes must emit the same commands in the same order.
func TestDeterminism(t *testing.T) {
	t.Parallel()
	trace := func() []string {
		var lines []string
		sim := newSimulation(t, 41)
		sim.onCommand = func(h *host, command pimcore.Command) { lines = append(lines, sim.traceLine(h, command)) }
		sim.addEndpoints("callout", 2, 4, 20*time.Millisecond)
		sim.addWorkers(3, workerCapacity)
		sim.commitManifest(1, 80)
		sim.startCallers("callout", 10*time.Millisecond, 20*time.Second)
		sim.sendDuplicates(200)
		for range 6 {
			sim.randomFault()
			sim.run(3 * time.Second)
		}
		sim.endFaults()
		sim.run(10 * time.Second)
		return lines
	}
	first, second := trace(), trace()
	for i := range min(len(first), len(second)) {
		assert.Equal(t, first[i], second[i], "command %d of %d", i, len(first))
	}
	assert.Equal(t, len(first), len(second))
}

// traceLine describes a command without the parts that are encoded from maps, whose bytes may
// differ between runs.
func (sim *simulation) traceLine(h *host, command pimcore.Command) string {
	switch c := command.(type) {
	case pimcore.SendPeer:
		return fmt.Sprintf("%s %s sends %T to %s", sim.now, h.name, c.Message, c.To)
	case pimcore.Persist:
		return fmt.Sprintf("%s %s persists %s %d/%d and sends %d",
			sim.now, h.name, c.Group, c.Index, c.Term, len(c.SendAfterSync))
	case pimcore.AnswerCall:
		return fmt.Sprintf("%s %s answers %T %d", sim.now, h.name, c.Reply, c.Code)
	default:
		return fmt.Sprintf("%s %s %+v", sim.now, h.name, command)
	}
}
