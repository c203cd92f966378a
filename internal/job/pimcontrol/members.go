package pimcontrol

import (
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimclock"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimforward"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconsensus"
)

const (
	// membershipInterval is the time between checks of the membership.
	membershipInterval = 200 * time.Millisecond
	// voterTimeout is the time without contact after which a learner may replace a voter.
	voterTimeout = 2500 * time.Millisecond
	// learnerTimeout is the time without contact after which a learner is removed.
	learnerTimeout = 10 * time.Second
	// maxLearnerLag is how many committed entries a learner may lack when it becomes a voter.
	maxLearnerLag = 64
)

func (c *Control) leaderReply() pimmessage.LeaderReply {
	return pimmessage.LeaderReply{
		Leader:  c.replica.LeaderID(),
		Term:    c.replica.Term(),
		Members: c.replica.Members().All(),
		ConfirmedLeader: c.leadership != nil && c.leadership.ready && !c.replica.IsTransferring() &&
			c.replica.HoldsLease(c.now),
		Sender: c.id, ReachesLeader: c.forwarder.ReachesLeader(),
	}
}

// onLeaderQuery responds with the leader and the members of the group. The leader also adds a daemon
// that asks for membership as a learner.
func (c *Control) onLeaderQuery(from string, query pimmessage.LeaderQuery) {
	reply := c.leaderReply()
	reply.Clock, reply.QueriedAt = pimclock.Now(), query.SentAt
	c.Send(pimforward.AddressOf(from), from, reply)
	if !query.WantsMembership || c.leadership == nil || !c.leadership.ready {
		return
	}
	members := c.replica.Members()
	if members.Contains(from) {
		return
	}
	if err := c.replica.ProposeMembers(c.now, members.WithLearner(from)); err != nil {
		c.logger.Debug().Err(err).Str("member", from).Msg("daemon cannot be added as a learner yet")
		return
	}
	c.logger.Info().Str("member", from).Msg("adding a daemon to the job group as a learner")
}

// requestToJoin asks all known control daemons to add this one to the group while it is no member.
func (c *Control) requestToJoin() {
	if c.now < c.nextJoinAt || c.replica.Members().Contains(c.id) {
		return
	}
	c.nextJoinAt = c.now + joinInterval
	for _, address := range c.forwarder.Addresses() {
		c.transport.Send(address, "", pimmessage.LeaderQuery{WantsMembership: true})
	}
}

// adjustMembers promotes learners while the group has too few voters, and replaces failed voters by learners.
func (c *Control) adjustMembers() {
	l := c.leadership
	if c.now < l.nextMembersAt {
		return
	}
	l.nextMembersAt = c.now + membershipInterval
	members := c.replica.Members()
	next, change, ok := c.nextMembers(members)
	if !ok {
		return
	}
	if err := c.replica.ProposeMembers(c.now, next); err != nil {
		c.logger.Debug().Err(err).Str("change", change).Msg("membership of the job group cannot be changed yet")
		return
	}
	c.logger.Info().Str("change", change).Strs("voters", next.Voters).Strs("learners", next.Learners).
		Msg("changing the membership of the job group")
}

// nextMembers returns the membership after the next change, a description of the change, and whether
// a change is due. It changes one member at a time.
func (c *Control) nextMembers(members pimconsensus.Members) (pimconsensus.Members, string, bool) {
	for _, id := range members.Learners {
		if progress, _ := c.replica.ProgressOf(id); c.now-progress.LastContact > learnerTimeout ||
			c.hasNewerGeneration(id, members) {
			return members.Without(id), "learner removed", true
		}
	}
	learner := c.readyLearner(members)
	if learner == "" {
		return members, "", false
	}
	wanted := 2*c.settings.ToleratedFailures + 1
	if len(members.Voters) < wanted {
		return members.WithVoter(learner), "learner promoted to voter", true
	}
	if voter := c.replaceableVoter(members, learner); voter != "" && c.hasQuorumWithout(members, voter) {
		return members.Without(voter), "voter removed for a learner to replace it", true
	}
	return members, "", false
}

// hasNewerGeneration reports whether a newer generation of the same daemon is a learner.
func (c *Control) hasNewerGeneration(id string, members pimconsensus.Members) bool {
	at := slices.Index(members.Learners, id)
	for _, other := range members.Learners[at+1:] {
		if pimforward.AddressOf(other) == pimforward.AddressOf(id) {
			return true
		}
	}
	return false
}

// readyLearner returns a reachable learner whose log is nearly complete, or "".
func (c *Control) readyLearner(members pimconsensus.Members) string {
	for _, id := range members.Learners {
		progress, ok := c.replica.ProgressOf(id)
		if ok && progress.Match > 0 && progress.Match+maxLearnerLag >= c.replica.Commit() &&
			c.now-progress.LastContact < membershipInterval*5 {
			return id
		}
	}
	return ""
}

// replaceableVoter returns a voter that the learner may replace: an earlier generation of the learner's
// daemon, or else one without contact for voterTimeout. It returns "" if there is none.
func (c *Control) replaceableVoter(members pimconsensus.Members, learner string) string {
	for _, id := range members.Voters {
		if id != c.id && pimforward.AddressOf(id) == pimforward.AddressOf(learner) {
			return id
		}
	}
	for _, id := range members.Voters {
		if progress, ok := c.replica.ProgressOf(id); ok && c.now-progress.LastContact > voterTimeout {
			return id
		}
	}
	return ""
}

// hasQuorumWithout reports whether the reachable voters are a majority after a voter is removed.
func (c *Control) hasQuorumWithout(members pimconsensus.Members, voter string) bool {
	remaining := members.Without(voter)
	reachable := 0
	for _, id := range remaining.Voters {
		progress, ok := c.replica.ProgressOf(id)
		if id == c.id || (ok && c.now-progress.LastContact < voterTimeout/2) {
			reachable++
		}
	}
	return reachable >= remaining.Quorum()
}
