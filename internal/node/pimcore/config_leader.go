package pimcore

import (
	"maps"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
	"github.com/pimentoswitch/pimentoswitch/internal/place/pimowner"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconsensus"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimmanifest"
)

// configLeader is the volatile state of the configuration group's leader in one term.
type configLeader struct {
	term       uint64
	planner    *pimowner.Planner
	nextPlanAt time.Duration
	planIndex  uint64 // log index of the last proposed plan
}

// updateConfigLeader drops the leader state when the leadership or its term ends, and creates
// it when the replica is ready to lead. The first plan waits until every domain leader had
// time for two reports.
func (n *Node) updateConfigLeader(g *group, ready bool) {
	if n.configLeader != nil && (!g.replica.IsLeader() || n.configLeader.term != g.replica.Term()) {
		n.configLeader = nil
	}
	if n.configLeader == nil && ready {
		n.configLeader = &configLeader{
			term:       g.replica.Term(),
			planner:    pimowner.NewPlanner(n.config.BatchGracePeriod),
			nextPlanAt: n.now + 2*domainReportInterval,
		}
	}
}

// tickConfigLeader proposes changes of task owners. No plan is made while the last one is not
// applied yet.
func (n *Node) tickConfigLeader() {
	g := n.groups[ConfigGroup]
	if n.configLeader == nil || !g.replica.Ready(n.now) || n.draining || n.now < n.configLeader.nextPlanAt {
		return
	}
	n.configLeader.nextPlanAt = n.now + ownerPlanInterval
	if n.configLeader.planIndex > g.replica.Applied() {
		return
	}
	changes := n.configLeader.planner.Plan(n.now, n.state, n.lastContactByDomain())
	if len(changes) == 0 {
		return
	}
	data, err := pimconfig.Encode(pimconfig.ChangeOwners{Changes: changes})
	n.configLeader.planIndex = n.propose(g, data, err, "", 0)
}

// handleConfigCall handles a call to the configuration group as its leader.
func (n *Node) handleConfigCall(from string, id uint64, g *group, call pimmessage.Call) {
	switch c := call.(type) {
	case pimmessage.CommitManifest:
		n.commitManifest(from, id, g, c)
	case pimmessage.MarkDomain:
		data, err := pimconfig.Encode(c.Command)
		n.propose(g, data, err, from, id)
	case pimmessage.Join:
		n.handleJoin(from, id, g, c)
	case pimmessage.ReportDomain:
		if n.configLeader != nil {
			n.configLeader.planner.RecordReport(n.now, c.Report)
		}
		n.respond(from, id, pimmessage.Done{})
	case pimmessage.QueryVersionStatus:
		n.respond(from, id, n.versionStatus(g, c.Version))
	default:
		n.respondError(from, id, pimcode.UnknownMessage, "not a call to the configuration group")
	}
}

// commitManifest proposes a manifest, or answers with its faults if it is invalid.
func (n *Node) commitManifest(from string, id uint64, g *group, c pimmessage.CommitManifest) {
	manifest, faults := pimmanifest.Parse(c.Command.Content)
	if len(faults) > 0 {
		result := pimconfig.Result{Code: pimcode.ManifestInvalid, Detail: faults[0].String()}
		n.respond(from, id, pimmessage.Configured{Result: result, Faults: faults})
		return
	}
	c.Command.Number = manifest.Number
	data, err := pimconfig.Encode(c.Command)
	n.propose(g, data, err, from, id)
}

// versionStatus returns the names of the daemons that may still act on a version before the
// given one: those that have not applied it and whose configuration lease may not have
// expired yet, with an allowance for clock drift. Without such daemons the version is in
// effect everywhere.
func (n *Node) versionStatus(g *group, version uint64) pimmessage.VersionStatus {
	result := pimmessage.VersionStatus{Version: version, InForce: true}
	leaseEnd := ConfigLease + time.Duration(pimconsensus.MaxClockDrift*float64(ConfigLease))
	for _, id := range slices.Sorted(maps.Keys(n.state.Members)) {
		if id == n.config.Member.ID {
			continue
		}
		lastContact := g.replica.LeaderSince()
		progress, ok := g.replica.ProgressOf(id)
		if ok {
			lastContact = max(lastContact, progress.LastContact)
		}
		if progress.Applied < version && n.now-lastContact <= leaseEnd {
			result.InForce = false
			result.Waiting = append(result.Waiting, n.state.Members[id].Name)
		}
	}
	return result
}

// handleJoin adds a daemon to the cluster. The daemon replaces the member that had its name
// with another data folder, if any. It repeats the call until it is a member.
func (n *Node) handleJoin(from string, id uint64, g *group, c pimmessage.Join) {
	known, ok := n.state.Members[c.Member.ID]
	if ok && known == c.Member {
		n.respond(from, id, pimmessage.Joined{ClusterID: n.clusterID, Members: n.state.MembersOf("")})
		return
	}
	n.logEvent(ConfigGroup, "join", c.Member.ID)
	data, err := pimconfig.Encode(pimconfig.AddMember{Member: c.Member})
	n.propose(g, data, err, "", 0)
	n.respondError(from, id, pimcode.MembershipPending, "the daemon is being added to the cluster")
}
