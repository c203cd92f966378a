package pimcore_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
	"github.com/pimentoswitch/pimentoswitch/internal/node/pimcore"
	"github.com/pimentoswitch/pimentoswitch/internal/place/pimplace"
	"github.com/pimentoswitch/pimentoswitch/internal/route/pimrequest"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconsensus"
)

type (
	// step is one row of the matrix: the first command of a node that matches triggers the fault.
	step struct {
		name    string
		matches func(command pimcore.Command) bool
		// duringReplacement is set for steps that occur only while a lost disk is being replaced.
		duringReplacement bool
	}

	// fault is one column of the matrix. inject starts the fault at the host that reached the
	// step and schedules its end. setUp runs before the daemons start.
	fault struct {
		name   string
		setUp  func(sim *simulation)
		inject func(sim *simulation, h *host)
		// losesDisk is set for faults that are injected only while no other disk is being replaced.
		losesDisk bool
	}
)

// inEffectLimit is the time within which a change of the configuration must be in effect everywhere.
const inEffectLimit = 6 * time.Second

var writeFaults = flag.String("write-faults", "", "file to write the matrix to")

// persistsEntry matches a Persist command with a log entry of the given kind, which follows the
// first byte of the encoded entry.
func persistsEntry(kind string) func(pimcore.Command) bool {
	return func(command pimcore.Command) bool {
		persist, ok := command.(pimcore.Persist)
		if !ok {
			return false
		}
		for _, entry := range persist.Batch.Entries {
			if bytes.HasPrefix(entry.Data[min(1, len(entry.Data)):], []byte(kind)) {
				return true
			}
		}
		return false
	}
}

// sendsWorkerCommand matches the answer to a worker's report that carries a command of the given
// kind.
func sendsWorkerCommand(kind pimplace.CommandKind) func(pimcore.Command) bool {
	return func(command pimcore.Command) bool {
		answer, _ := command.(pimcore.AnswerCall)
		reported, ok := answer.Reply.(pimmessage.Reported)
		if !ok {
			return false
		}
		for _, c := range reported.Answer.Commands {
			if c.Kind == kind {
				return true
			}
		}
		return false
	}
}

// sendsPeerMessage matches a SendPeer command whose message matches.
func sendsPeerMessage(match func(pimmessage.PeerMessage) bool) func(pimcore.Command) bool {
	return func(command pimcore.Command) bool {
		peer, ok := command.(pimcore.SendPeer)
		return ok && match(peer.Message)
	}
}

// answersCall matches an AnswerCall command with a reply of type R.
func answersCall[R pimmessage.Reply](command pimcore.Command) bool {
	answer, ok := command.(pimcore.AnswerCall)
	if !ok {
		return false
	}
	_, ok = answer.Reply.(R)
	return ok
}

// isCommand matches commands of type C.
func isCommand[C pimcore.Command](command pimcore.Command) bool {
	_, ok := command.(C)
	return ok
}

var steps = []step{
	{name: "request: journal entry written, not synced", matches: persistsEntry("begin-request")},
	{name: "request: chosen and sent, no answer yet", matches: func(c pimcore.Command) bool {
		send, ok := c.(pimcore.SendEndpoint)
		return ok && !send.Attempt.Idempotent
	}},
	{name: "request: caller answered, end not journaled", matches: isCommand[pimcore.AnswerRequest]},
	{name: "request: end written, not synced", matches: persistsEntry("end-request")},
	{name: "commit: entry written, not synced", matches: persistsEntry("commit-manifest")},
	{name: "commit: committed, answer under way", matches: answersCall[pimmessage.Configured]},
	{name: "mark: entry written, not synced", matches: persistsEntry("mark-domain")},
	{name: "owners: entry written, not synced", matches: persistsEntry("change-owners")},
	{name: "task start: assignment written, not synced", matches: persistsEntry("assign-tasks")},
	{name: "task start: worker told", matches: sendsWorkerCommand(pimplace.CommandStart)},
	{name: "eviction: worker told", matches: sendsWorkerCommand(pimplace.CommandCheckpoint)},
	{name: "eviction: end written, not synced", matches: persistsEntry("end-tasks")},
	{name: "move: release written, not synced", matches: persistsEntry("release-tasks")},
	{name: "lease renewal: report answered", matches: answersCall[pimmessage.Reported]},
	{name: "slots: new leader asks who holds what", matches: sendsPeerMessage(func(m pimmessage.PeerMessage) bool {
		_, ok := m.(pimmessage.CreditLedgerQuery)
		return ok
	})},
	{name: "endpoint: announcement answered", matches: answersCall[pimmessage.Announced]},
	{name: "replacement: member written, not synced", matches: persistsEntry("add-member"), duringReplacement: true},
	{name: "replacement: snapshot under way", matches: sendsPeerMessage(func(m pimmessage.PeerMessage) bool {
		consensus, ok := m.(pimmessage.Consensus)
		if !ok {
			return false
		}
		body, err := pimmessage.DecodeConsensus(consensus.Body)
		_, snapshot := body.(pimconsensus.SnapshotRequest)
		return err == nil && snapshot
	}), duringReplacement: true},
	{name: "graceful stop: leadership handed over", matches: sendsPeerMessage(func(m pimmessage.PeerMessage) bool {
		consensus, ok := m.(pimmessage.Consensus)
		if !ok {
			return false
		}
		body, err := pimmessage.DecodeConsensus(consensus.Body)
		_, now := body.(pimconsensus.TimeoutNow)
		return err == nil && now
	})},
}

var faults = []fault{
	{name: "process killed", inject: func(sim *simulation, h *host) {
		sim.kill(h.name)
		sim.after(2*time.Second, func() { sim.restart(h.name) })
	}},
	{name: "host and disk lost", losesDisk: true, inject: func(sim *simulation, h *host) {
		sim.loseDisk(h.name)
		sim.after(2*time.Second, func() { sim.restart(h.name) })
	}},
	{name: "messages lost", inject: func(sim *simulation, _ *host) {
		sim.lossRate = 0.5
		sim.after(time.Second, func() { sim.lossRate = 0 })
	}},
	{name: "messages delayed and reordered", inject: func(sim *simulation, _ *host) {
		sim.extraDelay = 150 * time.Millisecond
		sim.after(3*time.Second, func() { sim.extraDelay = 0 })
	}},
	{name: "messages repeated", inject: func(sim *simulation, _ *host) {
		sim.duplicateRate = 1
		sim.after(3*time.Second, func() { sim.duplicateRate = 0 })
	}},
	{name: "host can't be reached", inject: func(sim *simulation, h *host) {
		sim.partition = func(_, to string) bool { return to == h.name }
		sim.after(4*time.Second, sim.heal)
	}},
	{name: "host can't send", inject: func(sim *simulation, h *host) {
		sim.partition = func(from, _ string) bool { return from == h.name }
		sim.after(4*time.Second, sim.heal)
	}},
	{name: "host isolated", inject: func(sim *simulation, h *host) {
		sim.isolate(h.name)
		sim.after(8*time.Second, sim.heal)
	}},
	{name: "failure domain cut off", inject: func(sim *simulation, h *host) {
		sim.isolate(sim.domainHosts(h.domain)...)
		sim.after(8*time.Second, sim.heal)
	}},
	{name: "process frozen", inject: func(sim *simulation, h *host) {
		h.frozen = true
		sim.after(3*time.Second, func() { h.frozen = false })
	}},
	{name: "disk stops, then process killed", inject: func(sim *simulation, h *host) {
		h.diskFails = true
		sim.after(3*time.Second, func() {
			sim.kill(h.name)
			sim.restart(h.name)
		})
	}},
	{name: "disk slow", inject: func(sim *simulation, h *host) {
		h.extraSyncDelay = 300 * time.Millisecond
		sim.after(5*time.Second, func() { h.extraSyncDelay = 0 })
	}},
	{name: "clock fast here, slow elsewhere", setUp: func(sim *simulation) {
		for i, name := range sim.hostNames {
			sim.hosts[name].clockRate = 0.96 + 0.015*float64(i)
		}
	}, inject: func(sim *simulation, h *host) {
		sim.kill(h.name)
		sim.restart(h.name)
	}},
	{name: "endpoints silent", inject: func(sim *simulation, _ *host) {
		for _, e := range sim.endpoints {
			e.unresponsive = e.announcement.Domain == "north"
		}
		sim.after(4*time.Second, func() {
			for _, e := range sim.endpoints {
				e.unresponsive = false
			}
		})
	}},
	{name: "a worker lost", inject: func(sim *simulation, h *host) { sim.killWorker("worker-" + h.domain + "-1") }},
	{name: "killed, and another after the restart", inject: func(sim *simulation, h *host) {
		other := sim.domainHosts(h.domain)[0]
		if other == h.name {
			other = sim.domainHosts(h.domain)[1]
		}
		sim.kill(h.name)
		sim.after(1500*time.Millisecond, func() { sim.restart(h.name) })
		sim.after(2500*time.Millisecond, func() { sim.kill(other) })
		sim.after(4500*time.Millisecond, func() { sim.restart(other) })
	}},
	{name: "killed while messages are lost", inject: func(sim *simulation, h *host) {
		sim.kill(h.name)
		sim.lossRate, sim.duplicateRate = 0.2, 0.2
		sim.after(2*time.Second, func() { sim.restart(h.name) })
		sim.after(4*time.Second, func() { sim.lossRate, sim.duplicateRate = 0, 0 })
	}},
}

// TestFaultMatrix runs the same scenario for each pair of a step and a fault, and injects the fault
// when a host first reaches the step. The scenario has requests, a failure domain that goes out of
// service and back in, a second manifest, a lost disk and a graceful stop. All guarantees are
// checked against what the fakes recorded.
func TestFaultMatrix(t *testing.T) {
	t.Parallel()
	results := &matrixResults{cells: map[string]string{}}
	t.Cleanup(func() { results.write(t) })
	for i, row := range steps {
		for j, column := range faults {
			t.Run(row.name+"/"+column.name, func(t *testing.T) {
				t.Parallel()
				results.set(row, column, "failed")
				injected := runCell(t, uint64(1000+100*i+j), row, column)
				if !injected && column.losesDisk && row.duringReplacement {
					results.set(row, column, "a second disk before the first is replaced: beyond three voters")
					return
				}
				assert.Assert(t, injected, "the step was never reached")
				results.set(row, column, "held")
			})
		}
	}
}

// runCell runs the scenario with one fault at one step. After the end of all faults the cluster
// must work again. It returns false if the step was not reached.
func runCell(t *testing.T, seed uint64, row step, column fault) bool {
	sim := newSimulationWith(t, seed, column.setUp)
	sim.addEndpoints("callout", 2, 4, 20*time.Millisecond)
	sim.addWorkers(3, workerCapacity)
	injected := false
	sim.onCommand = func(h *host, command pimcore.Command) {
		if injected || !row.matches(command) || (column.losesDisk && sim.replacing) {
			return
		}
		injected = true
		column.inject(sim, h)
	}
	sim.runScenario()
	if !injected {
		return false
	}
	sim.onCommand = nil
	sim.endFaults()
	sim.extraDelay = 0
	sim.run(5 * time.Second)
	assert.Equal(t, sim.commitManifest(2, 60).Code, pimcode.OK, "the accepted manifest is still known")
	sim.runUntil("six replicas run", 60*time.Second, func() bool { return sim.runningTasks("callout") == 6 })
	sim.runUntil("batch finishes", 180*time.Second, func() bool { return sim.finishedTasks() == 60 })
	sim.runUntil("every caller has an answer", 30*time.Second, func() bool {
		return len(sim.observed.answers) == sim.observed.requestCount
	})
	assert.Equal(t, sim.requestThrough(sim.hostNames[0], "north.last", false).Outcome, pimrequest.OutcomeRan)
	sim.assertGuarantees()
	return true
}

// runScenario runs the scenario of each cell. Operator calls are repeated until they are answered.
func (sim *simulation) runScenario() {
	assert.Equal(sim.t, sim.commitManifest(1, 60).Code, pimcode.OK)
	sim.observed.requestCount = sim.startCallers("callout", 20*time.Millisecond, 16*time.Second)
	sim.run(2 * time.Second)
	result := sim.markDomain("west", true)
	assert.Equal(sim.t, result.Code, pimcode.OK)
	marked := sim.now
	sim.waitInEffect(result.Version)
	assert.Assert(sim.t, sim.now-marked <= inEffectLimit, "in effect only after %s", sim.now-marked)
	sim.run(4 * time.Second)
	late := sim.startsAfter("west", marked+pimcore.ConfigLease+pimplace.StartWithin)
	assert.Equal(sim.t, late, 0, "starts after the mark")
	assert.Equal(sim.t, sim.markDomain("west", false).Code, pimcode.OK)
	assert.Equal(sim.t, sim.commitManifest(2, 60).Code, pimcode.OK)
	sim.run(time.Second)
	if sim.isHealthy() {
		sim.loseDisk("south-2")
		sim.after(500*time.Millisecond, func() { sim.restart("south-2") })
	}
	for range 10 {
		sim.run(time.Second)
		if !sim.replacing {
			break
		}
	}
	sim.stopGracefully(sim.leader(pimcore.DomainGroup("north")))
	sim.run(6 * time.Second)
}

// stopGracefully drains a host for at most five seconds, ends its process and restarts it a second
// later.
func (sim *simulation) stopGracefully(name string) {
	if name == "" {
		return
	}
	h := sim.hosts[name]
	sim.handle(h, pimcore.Drain{})
	for range 100 {
		if h.node == nil || h.node.IsDrained() {
			break
		}
		sim.run(50 * time.Millisecond)
	}
	sim.kill(name)
	sim.after(time.Second, func() { sim.restart(name) })
}

// matrixResults collects the result of each cell, by "step/fault".
type matrixResults struct {
	mutex sync.Mutex
	cells map[string]string
}

func (r *matrixResults) set(row step, column fault, result string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.cells[row.name+"/"+column.name] = result
}

// write writes the matrix as a Markdown page with one row for each step, if -write-faults is set.
func (r *matrixResults) write(t *testing.T) {
	if *writeFaults == "" {
		return
	}
	var page strings.Builder
	page.WriteString("# Fault matrix\n\nWritten by `make matrix` from the tables in `internal/node/pimcore/matrix_test.go`. Each cell is a run of\n")
	page.WriteString("the same scenario, with requests, a mark out and in, a second manifest, a lost disk and a graceful stop; the fault is\ninjected at the host that first reaches the step. `held` means that every check against what the fakes recorded passed.\n\n")
	page.WriteString("| step |")
	for _, column := range faults {
		fmt.Fprintf(&page, " %s |", column.name)
	}
	page.WriteString("\n|" + strings.Repeat(" --- |", len(faults)+1) + "\n")
	for _, row := range steps {
		fmt.Fprintf(&page, "| %s |", row.name)
		for _, column := range faults {
			fmt.Fprintf(&page, " %s |", r.cells[row.name+"/"+column.name])
		}
		page.WriteString("\n")
	}
	assert.NilError(t, os.WriteFile(*writeFaults, []byte(page.String()), 0o644))
}
