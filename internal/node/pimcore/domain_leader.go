package pimcore

import (
	"maps"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
	"github.com/pimentoswitch/pimentoswitch/internal/place/pimowner"
	"github.com/pimentoswitch/pimentoswitch/internal/place/pimplace"
	"github.com/pimentoswitch/pimentoswitch/internal/route/pimslot"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconsensus"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimdomain"
)

// domainLeader is the volatile state of a domain group's leader in one term. slots holds the
// endpoint table and grants the endpoints' slots; placer holds the worker table.
type domainLeader struct {
	group        *group
	term         uint64
	slots        *pimslot.Allocator
	placer       *pimplace.Placer
	slotWaiters  map[string]waiter // AcquireSlot calls, by attempt
	ownedTasks   map[pimconfig.TaskID]pimplace.OwnedTask
	ownedVersion uint64 // configuration version of ownedTasks
	nextTickAt   time.Duration
	nextReportAt time.Duration
	nextClockAt  time.Duration
}

// updateDomainLeader drops the leader state when the leadership or its term ends, and creates
// it when the replica is ready to lead.
func (n *Node) updateDomainLeader(g *group, ready bool) {
	leader := n.domainLeaders[g.domain]
	if leader != nil && (!g.replica.IsLeader() || leader.term != g.replica.Term()) {
		delete(n.domainLeaders, g.domain)
		leader = nil
	}
	if leader == nil && ready {
		n.domainLeaders[g.domain] = n.newDomainLeader(g)
	}
}

// newDomainLeader creates the tables of a new leader and queries all other daemons for the
// credits that earlier leaders granted them.
func (n *Node) newDomainLeader(g *group) *domainLeader {
	var others []string
	for _, member := range n.state.MembersOf("") {
		if member.ID != n.config.Member.ID {
			others = append(others, member.ID)
		}
	}
	term := g.replica.Term()
	leader := &domainLeader{
		group:       g,
		term:        term,
		slots:       pimslot.NewAllocator(term, n.now, others),
		placer:      pimplace.NewPlacer(n.now, n.config.Policy),
		slotWaiters: map[string]waiter{},
		nextClockAt: n.now + journalClockInterval,
	}
	leader.slots.SetOutOfService(n.state.IsOutOfService(g.domain))
	query := pimmessage.CreditLedgerQuery{Domain: g.domain, Term: term}
	for _, id := range others {
		n.send(id, query)
	}
	own := n.creditLedger(query)
	leader.slots.Recover(n.now, n.config.Member.ID, own.Credits, own.Announcements)
	return leader
}

// creditLedger returns the credits of a failure domain that this daemon holds, and the
// announcements of that domain's endpoints that it forwarded and that have not expired. From
// then on the router refuses grants of terms before m.Term.
func (n *Node) creditLedger(m pimmessage.CreditLedgerQuery) pimmessage.CreditLedgerReply {
	reply := pimmessage.CreditLedgerReply{Domain: m.Domain, Term: m.Term}
	reply.Credits = n.router.HeldCredits(n.now, m.Domain, m.Term)
	for _, id := range slices.Sorted(maps.Keys(n.announcements)) {
		received := n.announcements[id]
		if received.announcement.Domain == m.Domain && n.now-received.receivedAt <= pimslot.ExpireAfter {
			reply.Announcements = append(reply.Announcements, received.announcement)
		}
	}
	return reply
}

func (n *Node) onCreditLedgerQuery(from string, m pimmessage.CreditLedgerQuery) {
	n.send(from, n.creditLedger(m))
}

func (n *Node) onCreditLedgerReply(from string, m pimmessage.CreditLedgerReply) {
	if leader := n.domainLeaders[m.Domain]; leader != nil && leader.term == m.Term {
		leader.slots.Recover(n.now, from, m.Credits, m.Announcements)
	}
}

// deliverSlotReplies answers the AcquireSlot calls that were granted or refused a slot, and
// reports whether there were any.
func (n *Node) deliverSlotReplies() bool {
	progressed := false
	for _, domain := range slices.Sorted(maps.Keys(n.domainLeaders)) {
		leader := n.domainLeaders[domain]
		for _, reply := range leader.slots.Take() {
			progressed = true
			w, ok := leader.slotWaiters[reply.Attempt]
			delete(leader.slotWaiters, reply.Attempt)
			if ok {
				n.respond(w.from, w.id, pimmessage.SlotReply{Reply: reply})
			}
		}
	}
	return progressed
}

// tickLeaders does the periodic work of the groups that this node leads, and discards expired
// announcements.
func (n *Node) tickLeaders() {
	for _, domain := range slices.Sorted(maps.Keys(n.domainLeaders)) {
		leader := n.domainLeaders[domain]
		if !leader.group.replica.Ready(n.now) {
			continue
		}
		leader.slots.Tick(n.now)
		if n.now >= leader.nextTickAt {
			leader.nextTickAt = n.now + pimplace.TickInterval
			leader.placer.Tick(n.now, n.placerView(leader))
			n.proposePlacements(leader)
		}
		if n.now >= leader.nextReportAt {
			leader.nextReportAt = n.now + domainReportInterval
			n.reportDomain(leader)
		}
		n.advanceClock(leader)
	}
	n.tickConfigLeader()
	maps.DeleteFunc(n.announcements, func(_ string, a receivedAnnouncement) bool {
		return n.now-a.receivedAt > pimslot.ExpireAfter
	})
}

// advanceClock advances the replicated clock of a domain group, by which journal entries expire.
func (n *Node) advanceClock(leader *domainLeader) {
	if n.now < leader.nextClockAt {
		return
	}
	leader.nextClockAt = n.now + journalClockInterval
	data, err := pimdomain.Encode(pimdomain.AdvanceClock{
		By: journalClockInterval, JournalRetention: n.config.JournalRetention,
	})
	n.propose(leader.group, data, err, "", 0)
}

// placerView returns the placer's view of the replicated state. Tasks may only start with a
// current configuration in which the failure domain is in service, and not while this node
// drains.
func (n *Node) placerView(leader *domainLeader) pimplace.View {
	if leader.ownedTasks == nil || leader.ownedVersion != n.state.Version {
		leader.ownedTasks = n.tasksOwnedBy(leader.group.domain)
		leader.ownedVersion = n.state.Version
	}
	current := n.HasConfigLease() && n.state.Version >= leader.group.tables.ConfigVersion
	return pimplace.View{
		ConfigVersion: n.state.Version,
		ConfigCurrent: current,
		Owned:         leader.ownedTasks,
		State:         leader.group.tables,
		AppliedIndex:  leader.group.replica.Applied(),
		StartsAllowed: current && !n.state.IsOutOfService(leader.group.domain) && !n.draining,
		BatchAllowed:  n.mayContinueBatch(),
	}
}

// tasksOwnedBy returns the tasks that the configuration assigns to a failure domain. Tasks of
// jobs that are not in the manifest any more are returned as releasing.
func (n *Node) tasksOwnedBy(domain string) map[pimconfig.TaskID]pimplace.OwnedTask {
	owned := map[pimconfig.TaskID]pimplace.OwnedTask{}
	specs := map[string]pimplace.TaskSpec{}
	for _, s := range n.state.Manifest.Services {
		specs[s.Name] = pimplace.TaskSpec{Service: true, Priority: s.Priority, Team: s.Team, Needs: s.Needs}
	}
	for _, b := range n.state.Manifest.BatchJobs {
		specs[b.Name] = pimplace.TaskSpec{Team: b.Team, Needs: b.Needs, RunTime: b.RunTime, Checkpoint: b.Checkpoint}
	}
	for id, owner := range n.state.Owners {
		if owner.Domain != domain {
			continue
		}
		spec, declared := specs[id.Job]
		if !declared {
			owner.Releasing = true
		}
		owned[id] = pimplace.OwnedTask{Owner: owner, Spec: spec}
	}
	return owned
}

func (n *Node) proposePlacements(leader *domainLeader) {
	proposals, decisions := leader.placer.Take()
	for _, command := range proposals {
		data, err := pimdomain.Encode(command)
		leader.placer.OnProposed(command, n.propose(leader.group, data, err, "", 0))
	}
	for _, decision := range decisions {
		n.emit(LogPlacement{Decision: decision, Version: n.state.Version})
	}
}

// reportDomain reports a failure domain's running, finished and released tasks and the total
// capacity of its workers to the leader of the configuration group.
func (n *Node) reportDomain(leader *domainLeader) {
	report := pimowner.Report{Domain: leader.group.domain, Running: map[string]int{}}
	for _, worker := range leader.placer.Workers() {
		report.Workers++
		report.Capacity = report.Capacity.Add(worker.Capacity)
	}
	for _, id := range slices.SortedFunc(maps.Keys(leader.group.tables.Tasks), pimconfig.CompareTasks) {
		row := leader.group.tables.Tasks[id]
		ended := pimowner.EndedTask{Task: id, Epoch: row.Epoch, Checkpoint: row.Checkpoint}
		switch {
		case row.Worker != "":
			report.Running[id.Job]++
		case row.LastOutcome == pimdomain.OutcomeFinished:
			report.Finished = append(report.Finished, ended)
		case row.Released:
			report.Released = append(report.Released, ended)
		}
	}
	n.startCall(ConfigGroup, pimmessage.ReportDomain{Report: report}, domainReportInterval*2, noOrigin{})
}

// handleCall handles a call as the leader of its group, or answers NotLeader.
func (n *Node) handleCall(from string, id uint64, groupName string, call pimmessage.Call) {
	g := n.groups[groupName]
	if g == nil || !g.replica.Ready(n.now) || n.draining {
		n.respondError(from, id, pimcode.NotLeader, groupName)
		return
	}
	if g.domain == "" {
		n.handleConfigCall(from, id, g, call)
		return
	}
	if n.domainLeaders[g.domain] == nil {
		n.updateDomainLeader(g, true)
	}
	n.handleDomainCall(from, id, n.domainLeaders[g.domain], call)
}

// handleDomainCall handles a call to a domain group as its leader.
func (n *Node) handleDomainCall(from string, id uint64, leader *domainLeader, call pimmessage.Call) {
	switch c := call.(type) {
	case pimmessage.Announce:
		token, err := leader.slots.Announce(n.now, c.Announcement)
		if err != nil {
			n.respondError(from, id, pimcode.Of(err), err.Error())
			return
		}
		n.respond(from, id, pimmessage.Announced{Token: token})
	case pimmessage.AcquireSlot:
		leader.slotWaiters[c.Acquire.Attempt] = waiter{from: from, id: id}
		leader.slots.Acquire(n.now, c.Holder, c.Acquire)
	case pimmessage.ReleaseSlot:
		leader.slots.Release(n.now, c.Release)
		delete(leader.slotWaiters, c.Release.Attempt)
		n.respond(from, id, pimmessage.Done{})
	case pimmessage.ReportWorker:
		n.handleWorkerReport(from, id, leader, c.Report)
	case pimmessage.BeginRequest:
		if result, known := leader.group.tables.Lookup(c.Command); known {
			n.respond(from, id, pimmessage.Journaled{Result: result})
			return
		}
		data, err := pimdomain.Encode(c.Command)
		n.propose(leader.group, data, err, from, id)
	case pimmessage.EndRequest:
		data, err := pimdomain.Encode(c.Command)
		n.propose(leader.group, data, err, from, id)
	case pimmessage.QueryDomain:
		n.respond(from, id, n.domainTables(leader))
	default:
		n.respondError(from, id, pimcode.UnknownMessage, "not a call to a domain group")
	}
}

func (n *Node) handleWorkerReport(from string, id uint64, leader *domainLeader, report pimplace.Report) {
	answer, err := leader.placer.HandleReport(n.now, report, n.placerView(leader))
	n.proposePlacements(leader)
	if err != nil {
		n.respondError(from, id, pimcode.Of(err), err.Error())
		return
	}
	n.respond(from, id, pimmessage.Reported{Answer: answer})
}

// domainTables returns the endpoint and worker tables for the status output.
func (n *Node) domainTables(leader *domainLeader) pimmessage.DomainTables {
	tables := pimmessage.DomainTables{
		Leader:  n.config.Member.Name,
		Running: map[string]int{},
		Journal: len(leader.group.tables.Journal),
	}
	for _, endpoint := range leader.slots.Endpoints() {
		tables.Endpoints = append(tables.Endpoints, pimmessage.EndpointRow{
			ID:      endpoint.ID,
			Service: endpoint.Service,
			Address: endpoint.Address,
			Slots:   endpoint.Slots,
			Used:    len(endpoint.Credits) + endpoint.UncreditedAttempts,
			State:   endpoint.StateName(n.now),
		})
	}
	counts := map[string]int{}
	for id, row := range leader.group.tables.Tasks {
		if row.Worker != "" {
			counts[row.Worker]++
			tables.Running[id.Job]++
		}
	}
	for _, worker := range leader.placer.Workers() {
		tables.Workers = append(tables.Workers, pimmessage.WorkerRow{
			ID: worker.ID, Rack: worker.Rack, Tasks: counts[worker.ID],
			Quarantined: leader.group.tables.Quarantined[worker.ID],
		})
	}
	return tables
}

// drain makes the node refuse requests and calls, and starts to hand over leadership.
func (n *Node) drain() {
	n.draining = true
	n.logEvent("", "drain", "handing over leadership")
	n.transferLeadership()
}

// transferLeadership transfers the leadership of each group that this node leads, if there is
// a successor.
func (n *Node) transferLeadership() {
	for _, name := range n.groupNames() {
		g := n.groups[name]
		if !g.replica.IsLeader() {
			continue
		}
		if to := n.successor(g); to != "" && !g.replica.IsTransferring() {
			g.replica.TransferTo(n.now, to)
		}
	}
}

// successor returns the reachable voter with the longest replicated log that is not draining,
// or "". For a domain group, only voters in its failure domain qualify.
func (n *Node) successor(g *group) string {
	best, bestMatch := "", uint64(0)
	for _, id := range g.replica.Members().Voters {
		member := n.state.Members[id]
		outside := g.domain != "" && member.Domain != g.domain
		p := n.peers[id]
		if id == n.config.Member.ID || outside || !n.isReachable(id) || (p != nil && p.gossip.Draining) {
			continue
		}
		progress, ok := g.replica.ProgressOf(id)
		if ok && (best == "" || progress.Match > bestMatch) {
			best, bestMatch = id, progress.Match
		}
	}
	return best
}

// IsDrained reports whether a draining node has answered every request and leads no group
// that has a successor.
func (n *Node) IsDrained() bool {
	if !n.draining || n.router.Len() > 0 {
		return false
	}
	for _, g := range n.groups {
		if g.replica.Role() == pimconsensus.Leader && n.successor(g) != "" {
			return false
		}
	}
	return true
}
