package pimcore

import (
	"slices"

	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconsensus"
)

// chooseConfigVoters returns the voters that the configuration group should have:
// an odd number, spread over the failure domains, keeping those of current that live.
func chooseConfigVoters(state *pimconfig.State, current []string, lives func(string) bool) []string {
	members := state.MembersOf("")
	target := configVoterCount(len(members))
	voters := keepAlive(state, current, lives, target)
	perDomain := map[string]int{}
	for _, id := range voters {
		perDomain[state.Members[id].Domain]++
	}
	for len(voters) < target {
		next := ""
		for _, member := range members {
			if slices.Contains(voters, member.ID) || !lives(member.ID) {
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

// chooseDomainVoters returns the voters that a domain group should have: daemons of
// the failure domain, and where fewer than three live, others from the next failure
// domains, so that one of three may die.
func chooseDomainVoters(state *pimconfig.State, domain string, current []string, lives func(string) bool) []string {
	var local, voters []string
	for _, member := range state.MembersOf(domain) {
		if lives(member.ID) {
			local = append(local, member.ID)
		}
	}
	for _, id := range slices.Concat(keepAlive(state, current, lives, domainVoterTarget), local) {
		isLocal := slices.Contains(local, id)
		if isLocal && !slices.Contains(voters, id) && len(voters) < domainVoterTarget {
			voters = append(voters, id)
		}
	}
	for _, id := range slices.Concat(keepAlive(state, current, lives, domainVoterTarget), membersOfOtherDomains(state, domain)) {
		if len(voters) >= domainVoterTarget {
			break
		}
		if !slices.Contains(voters, id) && lives(id) {
			voters = append(voters, id)
		}
	}
	return voters
}

// membersOfOtherDomains returns the members of the other failure domains, those of the next one first.
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

func keepAlive(state *pimconfig.State, current []string, lives func(string) bool, most int) []string {
	var kept []string
	for _, id := range current {
		_, isMember := state.Members[id]
		if isMember && lives(id) && len(kept) < most {
			kept = append(kept, id)
		}
	}
	return kept
}

// reconcileMembers lets each group that this node leads take one step towards the
// voters and learners that it should have.
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

// returnLeadership hands a domain group that this node leads from outside back to a
// daemon of the failure domain, once one has the whole log.
func (n *Node) returnLeadership(g *group) {
	if g.domain == "" || g.domain == n.config.Member.Domain {
		return
	}
	if to := n.successor(g); to != "" && n.hasCaughtUp(g, to) {
		n.logEvent(g.name, "return-leadership", to)
		g.replica.TransferTo(n.now, to)
	}
}

// nextMembership returns a membership one step closer to the wanted one. A voter is
// removed only after its replacement has caught up and become a voter.
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

// withoutMember removes a member; a leader that must go hands over first.
func (n *Node) withoutMember(g *group, members pimconsensus.Members, id string) (pimconsensus.Members, bool) {
	if id != n.config.Member.ID {
		return members.Without(id), true
	}
	if to := n.successor(g); to != "" {
		g.replica.TransferTo(n.now, to)
	}
	return members, false
}

// minVoters is the size below which a group never shrinks.
func (n *Node) minVoters(g *group) int {
	if g.domain != "" {
		return domainVoterTarget
	}
	return configVoterCount(len(n.state.Members))
}

func configVoterCount(members int) int {
	target := configVoterTarget
	for target > 1 && target > members {
		target -= 2
	}
	return target
}

func (n *Node) hasCaughtUp(g *group, id string) bool {
	progress, ok := g.replica.ProgressOf(id)
	return ok && progress.Match >= g.replica.Commit() && progress.Match > 0
}

func (n *Node) targetMembers(g *group) ([]string, []string) {
	lives := func(id string) bool { return n.countsAsAlive(g, id) }
	current := g.replica.Members().Voters
	if g.domain != "" {
		return chooseDomainVoters(n.state, g.domain, current, lives), nil
	}
	voters := chooseConfigVoters(n.state, current, lives)
	var learners []string
	for _, member := range n.state.MembersOf("") {
		if !slices.Contains(voters, member.ID) {
			learners = append(learners, member.ID)
		}
	}
	return voters, learners
}

// countsAsAlive reports whether a replica may count as a voter: it was heard within
// ReplaceAfter, by this group or, where it is not in the group, by gossip.
func (n *Node) countsAsAlive(g *group, id string) bool {
	if id == n.config.Member.ID {
		return true
	}
	if progress, ok := g.replica.ProgressOf(id); ok {
		return n.now-progress.LastContact <= n.config.ReplaceAfter
	}
	return n.isReachable(id)
}

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
// should have, so that no replica is still catching up.
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
