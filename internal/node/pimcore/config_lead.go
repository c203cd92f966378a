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

// configLeader is what only the leader of the configuration group holds.
type configLeader struct {
	term       uint64
	planner    *pimowner.Planner
	nextPlanAt time.Duration
	planIndex  uint64
}

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

// versionStatus tells which daemons may still act on an older version: those that have not
// applied it and whose configuration lease may still run.
func (n *Node) versionStatus(g *group, version uint64) pimmessage.VersionStatus {
	result := pimmessage.VersionStatus{Version: version, InForce: true}
	leaseEnd := ConfigLease + time.Duration(pimconsensus.MaxClockDrift*float64(ConfigLease))
	for _, id := range slices.Sorted(maps.Keys(n.state.Members)) {
		if id == n.config.Member.ID {
			continue
		}
		heardAt := g.replica.LeaderSince()
		progress, ok := g.replica.ProgressOf(id)
		if ok {
			heardAt = max(heardAt, progress.LastContact)
		}
		if progress.Applied < version && n.now-heardAt <= leaseEnd {
			result.InForce = false
			result.Waiting = append(result.Waiting, n.state.Members[id].Name)
		}
	}
	return result
}

// handleJoin takes in a daemon, which replaces one of the same name with another data folder.
func (n *Node) handleJoin(from string, id uint64, g *group, c pimmessage.Join) {
	known, ok := n.state.Members[c.Member.ID]
	if ok && known == c.Member {
		n.respond(from, id, pimmessage.Joined{ClusterID: n.clusterID, Members: n.state.MembersOf("")})
		return
	}
	n.logEvent(ConfigGroup, "join", c.Member.ID)
	data, err := pimconfig.Encode(pimconfig.AddMember{Member: c.Member})
	n.propose(g, data, err, "", 0)
	n.respondError(from, id, pimcode.MembershipPending, "the daemon is being taken in")
}
