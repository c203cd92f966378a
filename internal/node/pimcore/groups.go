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
	// group is this node's replica of a consensus group with its state machine: the node's
	// configuration for the configuration group, tables for a domain group. domain is empty
	// and tables nil for the configuration group. The keys of waiters are log indexes.
	group struct {
		name       string
		domain     string
		replica    *pimconsensus.Replica
		tables     *pimdomain.State
		waiters    map[uint64]waiter
		loggedRole pimconsensus.Role
	}

	// waiter is a call that is answered when the log entry proposed for it is applied, if
	// the entry still has the term in which it was proposed.
	waiter struct {
		term uint64
		from string
		id   uint64
	}
)

// openGroup creates the replica of a group from its stored state.
func (n *Node) openGroup(name string, stored pimconsensus.PersistentState) error {
	domain, isDomain := domainOfGroup(name)
	g := &group{name: name, domain: domain, waiters: map[uint64]waiter{}}
	g.replica = pimconsensus.NewReplica(pimconsensus.Config{
		ID:                 n.config.Member.ID,
		Boot:               n.config.BootID,
		Seed:               n.config.Seed + uint64(len(name)),
		NonPreferredLeader: isDomain && domain != n.config.Member.Domain,

		PersistCommit: !isDomain,
	}, stored, n.now)
	n.groups[name] = g
	return n.restore(g, stored.Snapshot.Data)
}

// restore replaces the state machine of a group by a snapshot.
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

// openEmptyGroup creates an empty replica when a leader sends it entries or a snapshot, and
// reports whether it did. Vote requests do not create one.
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

// processGroupOutputs emits the commands of all replicas and applies their committed entries.
// It reports whether any entry or snapshot was applied.
func (n *Node) processGroupOutputs() bool {
	progressed := false
	for _, name := range n.groupNames() {
		g := n.groups[name]
		output := g.replica.Take()
		progressed = n.processOutput(g, output) || progressed
		n.updateRole(g)
	}
	return progressed
}

// processOutput emits the commands of one replica and applies its committed entries. It reports
// whether any entry or snapshot was applied.
func (n *Node) processOutput(g *group, output pimconsensus.Output) bool {
	n.persist(g, output)
	for _, envelope := range output.Immediate {
		if send, ok := n.consensusCommand(g, envelope); ok {
			n.emit(send)
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
	command := Persist{
		Group:    g.name,
		Batch:    pimlog.Batch{HardState: output.HardState, Entries: output.Entries},
		Snapshot: output.Install,
	}
	for _, envelope := range output.AfterSync {
		if send, ok := n.consensusCommand(g, envelope); ok {
			command.SendAfterSync = append(command.SendAfterSync, send)
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

// consensusCommand returns the command that sends a consensus message, and false if the
// receiver's address is unknown.
func (n *Node) consensusCommand(g *group, envelope pimconsensus.Envelope) (SendPeer, bool) {
	body, err := pimmessage.Encode(envelope.Message)
	address := n.addressOf(envelope.To)
	if err != nil || address == "" {
		return SendPeer{}, false
	}
	return SendPeer{Address: address, To: envelope.To, Message: pimmessage.Consensus{Group: g.name, Body: body}}, true
}

// apply applies a committed log entry and answers the call that waits for it.
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

// onConfigChange applies changed marks at once to the failure domains that this node leads.
func (n *Node) onConfigChange() {
	for _, domain := range slices.Sorted(maps.Keys(n.domainLeaders)) {
		n.domainLeaders[domain].slots.SetOutOfService(n.state.IsOutOfService(domain))
	}
}

// compact takes a snapshot of a group's state machine and drops the log entries it replaces.
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

// updateRole logs a change of role, fails the waiters of a replica that does not lead, and
// creates or drops the state that only leaders have.
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

// propose appends a command to the log of a group and returns its index, or 0 on an error.
// The call that member from sent as id is answered when the command is applied, or at once on
// an error. If from is empty, there is no call to answer. err is the error of encoding data.
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

// lastContactByDomain returns when this node, as the leader of the configuration group, last
// had contact with a daemon of each failure domain. A member without a replica in the group
// counts as last seen when this node became leader.
func (n *Node) lastContactByDomain() map[string]time.Duration {
	contacts := map[string]time.Duration{}
	replica := n.groups[ConfigGroup].replica
	for id, member := range n.state.Members {
		at := replica.LeaderSince()
		if progress, ok := replica.ProgressOf(id); ok {
			at = progress.LastContact
		}
		if id == n.config.Member.ID {
			at = n.now
		}
		contacts[member.Domain] = max(contacts[member.Domain], at)
	}
	return contacts
}
