package pimcontrol

import (
	"slices"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimclock"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimforward"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimvoter"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconsensus"
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

// requestToJoin asks all known control daemons to add this one to the group while it is no member. One that was removed while
// it was silent learns of that from the leader: its own log names it as a member for good, as it gets no more entries.
func (c *Control) requestToJoin() {
	if c.now < c.nextJoinAt {
		return
	}
	c.nextJoinAt = c.now + joinInterval
	isLeftOut := c.forwarder.IsLeftOut(c.id)
	if isLeftOut && !c.isLeftOut {
		c.logger.Info().Uint64("index", c.replica.LastIndex()).Msg("this daemon is no member of the job group, asking to join it")
	}
	c.isLeftOut = isLeftOut
	if c.replica.Members().Contains(c.id) && !isLeftOut {
		return
	}
	for _, address := range c.forwarder.Addresses() {
		c.transport.Send(address, "", pimmessage.LeaderQuery{WantsMembership: true})
	}
}

// adjustMembers proposes the next change of the membership that is due. A leader that a learner is replacing hands over
// its leadership first.
func (c *Control) adjustMembers() {
	l := c.leadership
	if c.now < l.nextMembersAt {
		return
	}
	l.nextMembersAt = c.now + pimvoter.CheckInterval
	members := c.replica.Members()
	if members.IsJoint() && !slices.Contains(members.Voters, c.id) {
		c.transferLeadership()
		return
	}
	change, ok := pimvoter.Next(c.voterGroup(members))
	if !ok {
		return
	}
	if err := c.replica.ProposeMembers(c.now, change.Members); err != nil {
		c.logger.Debug().Err(err).Str("change", change.Description).
			Msg("membership of the job group cannot be changed yet")
		return
	}
	c.metrics.Add("membership-changes", 1)
	c.logger.Info().Str("change", change.Description).Strs("voters", change.Members.Voters).
		Strs("outgoing", change.Members.Outgoing).Strs("learners", change.Members.Learners).
		Msg("changing the membership of the job group")
}

// voterGroup returns what the leader knows of the members.
func (c *Control) voterGroup(members pimconsensus.Members) pimvoter.Group {
	group := pimvoter.Group{
		Self: c.id, Members: members, ToleratedFailures: c.settings.ToleratedFailures, Commit: c.replica.Commit(),
		Peers: map[string]pimvoter.Peer{},
	}
	for _, id := range members.All() {
		if progress, ok := c.replica.ProgressOf(id); ok {
			group.Peers[id] = pimvoter.Peer{Match: progress.Match, Silence: c.now - progress.LastContact}
		}
	}
	return group
}
