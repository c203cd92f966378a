package pimcore

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconsensus"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimdomain"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimlog"
)

type (
	// group is one replica with its state machine and those who wait for entries.
	group struct {
		name       string
		domain     string
		replica    *pimconsensus.Replica
		tables     *pimdomain.State
		waiters    map[uint64]waiter
		loggedRole pimconsensus.Role
	}

	// waiter is a call that is answered when its entry is applied.
	waiter struct {
		term uint64
		from string
		id   uint64
	}
)

// openGroup creates the replica of a group from what is saved.
func (n *Node) openGroup(name string, saved pimconsensus.PersistentState) error {
	domain, isDomain := domainOfGroup(name)
	g := &group{name: name, domain: domain, waiters: map[uint64]waiter{}}
	g.replica = pimconsensus.NewReplica(pimconsensus.Config{
		ID:                 n.config.Member.ID,
		Boot:               n.config.BootID,
		Seed:               n.config.Seed + uint64(len(name)),
		NonPreferredLeader: isDomain && domain != n.config.Member.Domain,

		PersistCommit: !isDomain,
	}, saved, n.now)
	n.groups[name] = g
	return n.restore(g, saved.Snapshot.Data)
}

func (n *Node) restore(g *group, data []byte) error {
	if g.domain != "" {
		tables, err := pimdomain.Restore(data)
		g.tables = tables
		return err
	}
	state, err := pimconfig.Restore(data)
	if err == nil {
		n.state = state
	}
	return err
}

func (n *Node) onConsensus(from string, m pimmessage.Consensus) {
	if n.clusterID == "" {
		return
	}
	message, err := pimmessage.DecodeConsensus(m.Body)
	if err != nil {
		n.logEvent(m.Group, "bad-message", err.Error())
		return
	}
	if n.groups[m.Group] == nil && !n.openEmptyGroup(m.Group, message) {
		return
	}
	n.groups[m.Group].replica.Step(n.now, from, message)
}

// openEmptyGroup creates a replica that a leader wants to fill. Votes create nothing.
func (n *Node) openEmptyGroup(name string, message pimconsensus.Message) bool {
	switch message.(type) {
	case pimconsensus.AppendRequest, pimconsensus.SnapshotRequest:
	default:
		return false
	}
	_, isDomain := domainOfGroup(name)
	if name != ConfigGroup && !isDomain {
		return false
	}
	return n.openGroup(name, pimconsensus.PersistentState{}) == nil
}

// processGroupOutputs emits what the replicas want persisted and sent, and applies what is committed.
func (n *Node) processGroupOutputs() bool {
	moved := false
	for _, name := range n.groupNames() {
		g := n.groups[name]
		output := g.replica.Take()
		moved = n.processOutput(g, output) || moved
		n.updateRole(g)
	}
	return moved
}

func (n *Node) processOutput(g *group, output pimconsensus.Output) bool {
	n.persist(g, output)
	for _, envelope := range output.Immediate {
		if peer, ok := n.consensusPeer(g, envelope); ok {
			n.emit(peer)
		}
	}
	if output.Restore != nil {
		if err := n.restore(g, output.Restore.Data); err != nil {
			n.logEvent(g.name, "bad-snapshot", err.Error())
		}
	}
	for _, entry := range output.Committed {
		n.apply(g, entry)
	}
	if len(output.Committed) > 0 {
		n.compact(g)
	}
	return len(output.Committed) > 0 || output.Restore != nil
}

func (n *Node) persist(g *group, output pimconsensus.Output) {
	command := Persist{Group: g.name, Batch: pimlog.Batch{HardState: output.HardState, Entries: output.Entries}, Snapshot: output.Install}
	for _, envelope := range output.AfterSync {
		if peer, ok := n.consensusPeer(g, envelope); ok {
			command.SendAfterSync = append(command.SendAfterSync, peer)
		}
	}
	if len(output.Entries) > 0 {
		last := output.Entries[len(output.Entries)-1]
		command.Index, command.Term = last.Index, last.Term
	}
	empty := output.HardState == nil && len(output.Entries) == 0 && output.Install == nil
	if !empty || len(command.SendAfterSync) > 0 {
		n.emit(command)
	}
}

func (n *Node) consensusPeer(g *group, envelope pimconsensus.Envelope) (SendPeer, bool) {
	body, err := pimmessage.Encode(envelope.Message)
	address := n.addressOf(envelope.To)
	if err != nil || address == "" {
		return SendPeer{}, false
	}
	return SendPeer{Address: address, To: envelope.To, Message: pimmessage.Consensus{Group: g.name, Body: body}}, true
}

func (n *Node) apply(g *group, entry pimconsensus.Entry) {
	w, waits := g.waiters[entry.Index]
	delete(g.waiters, entry.Index)
	if entry.Kind != pimconsensus.EntryCommand {
		if waits {
			n.respondError(w.from, w.id, pimcode.LeadershipLost, "")
		}
		return
	}
	reply := n.applyCommand(g, entry)
	switch {
	case !waits:
	case w.term != entry.Term:
		n.respondError(w.from, w.id, pimcode.LeadershipLost, "")
	default:
		n.respond(w.from, w.id, reply)
	}
}

func (n *Node) applyCommand(g *group, entry pimconsensus.Entry) pimmessage.Reply {
	if g.domain != "" {
		return pimmessage.Journaled{Result: g.tables.Apply(entry.Data)}
	}
	result := n.state.Apply(entry.Index, entry.Data)
	n.onConfigChange()
	return pimmessage.Configured{Result: result}
}

// onConfigChange makes marks effective at once for what this node leads.
func (n *Node) onConfigChange() {
	for _, domain := range slices.Sorted(maps.Keys(n.domainLeaders)) {
		n.domainLeaders[domain].slots.SetOutOfService(n.state.IsOutOfService(domain))
	}
}

func (n *Node) compact(g *group) {
	if g.replica.Applied()-g.replica.SnapshotIndex() < compactionThreshold {
		return
	}
	data, err := n.snapshotOf(g)
	if err != nil {
		n.logEvent(g.name, "snapshot-failed", err.Error())
		return
	}
	if snapshot, ok := g.replica.Compact(g.replica.Applied(), data); ok {
		n.emit(Persist{Group: g.name, Snapshot: &snapshot})
	}
}

func (n *Node) snapshotOf(g *group) ([]byte, error) {
	if g.domain != "" {
		return g.tables.Snapshot()
	}
	return n.state.Snapshot()
}

// updateRole starts and ends what only leaders do.
func (n *Node) updateRole(g *group) {
	role := g.replica.Role()
	if role != g.loggedRole {
		n.logEvent(g.name, "role", fmt.Sprintf("%s in term %d", role, g.replica.Term()))
		g.loggedRole = role
	}
	if role != pimconsensus.Leader {
		n.failWaiters(g)
	}
	leads := g.replica.Ready(n.now)
	if g.domain != "" {
		n.updateDomainLeader(g, leads)
		return
	}
	n.updateConfigLeader(g, leads)
}

func (n *Node) failWaiters(g *group) {
	for _, index := range slices.Sorted(maps.Keys(g.waiters)) {
		w := g.waiters[index]
		delete(g.waiters, index)
		n.respondError(w.from, w.id, pimcode.LeadershipLost, "")
	}
}

// propose appends a command to a group; the call is answered when it is applied.
func (n *Node) propose(g *group, data []byte, err error, from string, id uint64) uint64 {
	if err != nil {
		n.respondError(from, id, pimcode.Of(err), err.Error())
		return 0
	}
	index, term, err := g.replica.Propose(n.now, data)
	if err != nil {
		n.respondError(from, id, pimcode.Of(err), err.Error())
		return 0
	}
	if from != "" {
		g.waiters[index] = waiter{term: term, from: from, id: id}
	}
	return index
}

// lastContactByDomain returns when the leader of the configuration group last heard each failure domain.
func (n *Node) lastContactByDomain() map[string]time.Duration {
	heard := map[string]time.Duration{}
	replica := n.groups[ConfigGroup].replica
	for id, member := range n.state.Members {
		at := replica.LeaderSince()
		if progress, ok := replica.ProgressOf(id); ok {
			at = progress.LastContact
		}
		if id == n.config.Member.ID {
			at = n.now
		}
		heard[member.Domain] = max(heard[member.Domain], at)
	}
	return heard
}
