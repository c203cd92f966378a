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

// TestRandomFaults lets faults come at any moment, together or twice, while callers
// come back through other daemons, and checks every promise at the end.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	seeds := []uint64{122, 130, 234, 238, 299, 347, 1004, 1117}
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			w := newBusySimulation(t, seed, 80)
			w.startCallers("callout", 10*time.Millisecond, 30*time.Second)
			w.sendDuplicates(500)
			for range 6 {
				w.randomFault()
				w.run(time.Duration(w.random.Int64N(int64(5 * time.Second))))
			}
			w.endFaults()
			w.run(20 * time.Second)
			// An entry accepted before the faults is still known, and the system goes on.
			assert.Equal(t, w.commit(1, 80).Code, pimcode.OK)
			w.runUntil("six replicas run", 60*time.Second, func() bool { return w.running("callout") == 6 })
			w.runUntil("batch finishes", 180*time.Second, func() bool { return w.finished() == 80 })
			answer := w.requestThrough(w.names[0], "north.last", false)
			assert.Equal(t, answer.Outcome, pimrequest.OutcomeRan, answer.Code.String())
			w.assertGuarantees()
		})
	}
}

// sendDuplicates sends non-idempotent requests twice, through two daemons, at nearly the same time.
func (w *simulation) sendDuplicates(count int) {
	for i := range count {
		at := time.Duration(w.random.Int64N(int64(30 * time.Second)))
		id := fmt.Sprintf("south.twin-%d", i)
		for range 2 {
			w.after(at+time.Duration(w.random.Int64N(int64(200*time.Millisecond))), func() {
				if len(w.runningHosts("")) > 0 {
					w.request(&callerRequest{id: id, service: "callout", deadline: w.now + 2*time.Second})
				}
			})
		}
	}
}

func (w *simulation) randomHost() string { return w.names[w.random.IntN(len(w.names))] }

// randomFault starts a fault and plans its end.
func (w *simulation) randomFault() {
	span := time.Duration(w.random.Int64N(int64(8*time.Second))) + 200*time.Millisecond
	name := w.randomHost()
	h := w.hosts[name]
	kind := w.random.IntN(9)
	w.t.Logf("%s: fault %d at %s for %s", w.now, kind, name, span)
	switch kind {
	case 0, 1:
		w.kill(name)
		w.after(span, func() { w.restart(name) })
	case 2:
		if w.isHealthy() {
			w.loseDisk(name)
			w.after(span, func() { w.restart(name) })
		}
	case 3:
		w.isolate(name)
		w.after(span, w.heal)
	case 4:
		w.isolate(w.domainHosts(h.domain)...)
		w.after(span, w.heal)
	case 5:
		w.isLinkCut = func(_, to string) bool { return to == name }
		w.after(span, w.heal)
	case 6:
		w.lossRate, w.duplicateRate, w.extraDelay = 0.1, 0.2, 20*time.Millisecond
		w.after(span, func() { w.lossRate, w.duplicateRate, w.extraDelay = 0, 0, 0 })
	case 7:
		h.frozen = true
		w.after(span, func() { h.frozen = false })
	case 8:
		h.diskFails = true
		w.after(span, func() {
			w.kill(name)
			w.restart(name)
		})
	}
}

// isHealthy reports whether all hosts run and every group has its wanted voters, so
// that losing one disk can't lose a majority.
func (w *simulation) isHealthy() bool {
	for _, name := range w.names {
		h := w.hosts[name]
		if h.node == nil || h.frozen || h.diskFails || !h.node.HasConfigLease() {
			return false
		}
	}
	return w.isLinkCut == nil && w.hasTargetMembership()
}

// hasTargetMembership reports whether no membership change is under way.
func (w *simulation) hasTargetMembership() bool {
	for _, group := range []string{pimcore.ConfigGroup, "domain.north", "domain.south", "domain.west"} {
		leader := w.leader(group)
		if leader == "" || !w.hosts[leader].node.HasTargetMembership(group) {
			return false
		}
	}
	return true
}

func (w *simulation) restart(name string) {
	h := w.hosts[name]
	h.frozen, h.diskFails = false, false
	if h.node == nil {
		w.start(name)
	}
}

// endFaults ends all faults.
func (w *simulation) endFaults() {
	w.heal()
	w.lossRate, w.duplicateRate, w.extraDelay = 0, 0, 0
	for _, name := range w.names {
		if w.hosts[name].diskFails {
			w.kill(name)
		}
		w.restart(name)
	}
}

// logState logs what each host knows, for a run that failed.
func (w *simulation) logState() {
	for _, name := range w.names {
		h := w.hosts[name]
		if h.node == nil {
			w.t.Logf("%s has no process", name)
			continue
		}
		s := h.node.Status()
		w.t.Logf("%s nonce %d version %d lease %t requests %d owned %v", name, h.nonce, s.Version, s.ConfigLease, s.Requests, s.OwnedTasks)
		for _, g := range s.Groups {
			w.t.Logf("  %s %s term %d commit %d voters %d", g.Name, g.Role, g.Term, g.Commit, g.Voters)
		}
	}
}

// TestDeterminism runs the same seed twice: every command of every core must be the same.
func TestDeterminism(t *testing.T) {
	t.Parallel()
	trace := func() []string {
		var lines []string
		w := newSimulation(t, 41)
		w.onCommand = func(h *host, command pimcore.Command) { lines = append(lines, w.traceLine(h, command)) }
		w.addEndpoints("callout", 2, 4, 20*time.Millisecond)
		w.addWorkers(3, workerCapacity)
		w.commit(1, 80)
		w.startCallers("callout", 10*time.Millisecond, 20*time.Second)
		w.sendDuplicates(200)
		for range 6 {
			w.randomFault()
			w.run(3 * time.Second)
		}
		w.endFaults()
		w.run(10 * time.Second)
		return lines
	}
	first, second := trace(), trace()
	for i := range min(len(first), len(second)) {
		assert.Equal(t, first[i], second[i], "command %d of %d", i, len(first))
	}
	assert.Equal(t, len(first), len(second))
}

// traceLine names a command without what is encoded from maps, whose bytes may differ.
func (w *simulation) traceLine(h *host, command pimcore.Command) string {
	switch c := command.(type) {
	case pimcore.SendPeer:
		return fmt.Sprintf("%s %s sends %T to %s", w.now, h.name, c.Message, c.To)
	case pimcore.Persist:
		return fmt.Sprintf("%s %s persists %s %d/%d and sends %d", w.now, h.name, c.Group, c.Index, c.Term, len(c.SendAfterSync))
	case pimcore.AnswerCall:
		return fmt.Sprintf("%s %s answers %T %d", w.now, h.name, c.Reply, c.Code)
	default:
		return fmt.Sprintf("%s %s %+v", w.now, h.name, command)
	}
}
