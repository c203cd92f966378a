package pimcore

import (
	"slices"

	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconsensus"
)

// chooseConfigVoters returns the voters that the configuration group should have: an odd
// number, spread over the failure domains. Current voters that are alive are kept.
// The result is shorter if too few members are alive.
func chooseConfigVoters(state *pimconfig.State, current []string, isAlive func(string) bool) []string {
	members := state.MembersOf("")
	target := configVoterCount(len(members))
	voters := keepAlive(state, current, isAlive, target)
	perDomain := map[string]int{}
	for _, id := range voters {
		perDomain[state.Members[id].Domain]++
	}
	for len(voters) < target {
		next := ""
		for _, member := range members {
			if slices.Contains(voters, member.ID) || !isAlive(member.ID) {
				continue
			}
			if next == "" || perDomain[member.Domain] < perDomain[state.Members[next].Domain] {
				next = member.ID
			}
		}
		if next == "" {
			break
		}
		voters = append(voters, next)
		perDomain[state.Members[next].Domain]++
	}
	return voters
}

// chooseDomainVoters returns the voters that a domain group should have: daemons of the
// failure domain, and if fewer than three of them are alive, others from the next failure
// domains, so that the group survives the loss of one voter.
func chooseDomainVoters(state *pimconfig.State, domain string, current []string, isAlive func(string) bool) []string {
	var local, voters []string
	for _, member := range state.MembersOf(domain) {
		if isAlive(member.ID) {
			local = append(local, member.ID)
		}
	}
	for _, id := range slices.Concat(keepAlive(state, current, isAlive, domainVoterTarget), local) {
		isLocal := slices.Contains(local, id)
		if isLocal && !slices.Contains(voters, id) && len(voters) < domainVoterTarget {
			voters = append(voters, id)
		}
	}
	for _, id := range slices.Concat(
		keepAlive(state, current, isAlive, domainVoterTarget), membersOfOtherDomains(state, domain),
	) {
		if len(voters) >= domainVoterTarget {
			break
		}
		if !slices.Contains(voters, id) && isAlive(id) {
			voters = append(voters, id)
		}
	}
	return voters
}

// membersOfOtherDomains returns the ids of the members of all other failure domains, starting
// with the domain that follows the given one.
func membersOfOtherDomains(state *pimconfig.State, domain string) []string {
	domains := state.Domains()
	own := slices.Index(domains, domain)
	var ids []string
	for i := 1; i < len(domains); i++ {
		for _, member := range state.MembersOf(domains[(own+i)%len(domains)]) {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// keepAlive returns the current voters that are members and alive, at most limit of them.
func keepAlive(state *pimconfig.State, current []string, isAlive func(string) bool, limit int) []string {
	var kept []string
	for _, id := range current {
		_, isMember := state.Members[id]
		if isMember && isAlive(id) && len(kept) < limit {
			kept = append(kept, id)
		}
	}
	return kept
}

// reconcileMembers proposes, for each group that this node leads, the next single change
// towards the voters and learners that the group should have.
func (n *Node) reconcileMembers() {
	for _, name := range n.groupNames() {
		g := n.groups[name]
		if !g.replica.Ready(n.now) || n.draining {
			continue
		}
		n.returnLeadership(g)
		next, changed := n.nextMembership(g)
		if !changed {
			continue
		}
		if err := g.replica.ProposeMembers(n.now, next); err == nil {
			n.logEvent(name, "members", describeMembers(next))
		}
	}
}

// returnLeadership transfers the leadership of another failure domain's group to a daemon of
// that domain, once one has caught up with the log.
func (n *Node) returnLeadership(g *group) {
	if g.domain == "" || g.domain == n.config.Member.Domain {
		return
	}
	if to := n.successor(g); to != "" && n.hasCaughtUp(g, to) {
		n.logEvent(g.name, "return-leadership", to)
		g.replica.TransferTo(n.now, to)
	}
}

// nextMembership returns a membership that is one change closer to the target, and whether it
// differs from the current one. A voter is removed only after its replacement has caught up
// and become a voter.
func (n *Node) nextMembership(g *group) (pimconsensus.Members, bool) {
	members := g.replica.Members()
	voters, learners := n.targetMembers(g)
	for _, id := range slices.Concat(voters, learners) {
		if !members.Contains(id) {
			return members.WithLearner(id), true
		}
	}
	for _, id := range voters {
		if !members.IsVoter(id) && n.hasCaughtUp(g, id) {
			return members.WithVoter(id), true
		}
	}
	for _, id := range members.All() {
		if slices.Contains(voters, id) || (slices.Contains(learners, id) && !members.IsVoter(id)) {
			continue
		}
		if members.IsVoter(id) && len(members.Voters) <= n.minVoters(g) {
			continue
		}
		return n.withoutMember(g, members, id)
	}
	return members, false
}

// withoutMember returns the membership without a member. If that is this node, which leads the
// group, it starts a transfer of leadership instead and returns false.
func (n *Node) withoutMember(g *group, members pimconsensus.Members, id string) (pimconsensus.Members, bool) {
	if id != n.config.Member.ID {
		return members.Without(id), true
	}
	if to := n.successor(g); to != "" {
		g.replica.TransferTo(n.now, to)
	}
	return members, false
}

// minVoters returns the number of voters below which a group is never reduced.
func (n *Node) minVoters(g *group) int {
	if g.domain != "" {
		return domainVoterTarget
	}
	return configVoterCount(len(n.state.Members))
}

// configVoterCount returns the number of voters for a cluster of the given size: odd and at most
// configVoterTarget.
func configVoterCount(members int) int {
	target := configVoterTarget
	for target > 1 && target > members {
		target -= 2
	}
	return target
}

// hasCaughtUp reports whether a replica has all committed entries.
func (n *Node) hasCaughtUp(g *group, id string) bool {
	progress, ok := g.replica.ProgressOf(id)
	return ok && progress.Match >= g.replica.Commit() && progress.Match > 0
}

// targetMembers returns the voters and learners that a group should have. All members that are
// not voters are learners of the configuration group.
func (n *Node) targetMembers(g *group) ([]string, []string) {
	isAlive := func(id string) bool { return n.countsAsAlive(g, id) }
	current := g.replica.Members().Voters
	if g.domain != "" {
		return chooseDomainVoters(n.state, g.domain, current, isAlive), nil
	}
	voters := chooseConfigVoters(n.state, current, isAlive)
	var learners []string
	for _, member := range n.state.MembersOf("") {
		if !slices.Contains(voters, member.ID) {
			learners = append(learners, member.ID)
		}
	}
	return voters, learners
}

// countsAsAlive reports whether a member may be chosen as a voter of a group that this node
// leads. A replica of the group must have had contact with this node within ReplaceAfter; any
// other daemon must be reachable by gossip.
func (n *Node) countsAsAlive(g *group, id string) bool {
	if id == n.config.Member.ID {
		return true
	}
	if progress, ok := g.replica.ProgressOf(id); ok {
		return n.now-progress.LastContact <= n.config.ReplaceAfter
	}
	return n.isReachable(id)
}

// describeMembers formats a membership for the log.
func describeMembers(members pimconsensus.Members) string {
	text := "voters"
	for _, id := range members.Voters {
		text += " " + id
	}
	if len(members.Learners) > 0 {
		text += ", learners"
	}
	for _, id := range members.Learners {
		text += " " + id
	}
	return text
}

// HasTargetMembership reports whether a group that this node leads has the members that it
// should have and all voters have caught up. It is false if the node does not lead the group.
func (n *Node) HasTargetMembership(group string) bool {
	g := n.groups[group]
	if g == nil || !g.replica.Ready(n.now) {
		return false
	}
	_, changes := n.nextMembership(g)
	voters, _ := n.targetMembers(g)
	for _, id := range voters {
		if !g.replica.Members().IsVoter(id) || (id != n.config.Member.ID && !n.hasCaughtUp(g, id)) {
			return false
		}
	}
	return !changes
}
