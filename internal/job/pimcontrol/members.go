package pimcontrol

import (
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimforward"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconsensus"
)

const (
	// membershipInterval is the time between looks at the membership.
	membershipInterval = 200 * time.Millisecond
	// voterTimeout is how long a voter may be silent before a learner replaces it.
	voterTimeout = 2500 * time.Millisecond
	// learnerTimeout is how long a learner may be silent before it is dropped.
	learnerTimeout = 10 * time.Second
	// maxLearnerLag is how many entries a learner may lack to be made a voter.
	maxLearnerLag = 64
)

func (c *Control) directory() pimmessage.LeaderReply {
	return pimmessage.LeaderReply{
		Leader:          c.replica.LeaderID(),
		Term:            c.replica.Term(),
		Members:         c.replica.Members().All(),
		ConfirmedLeader: c.leadership != nil && c.leadership.ready && !c.replica.IsTransferring() && c.replica.HoldsLease(c.now),
	}
}

// onHello answers with the directory, and takes a control daemon in as a learner.
func (c *Control) onHello(from string, hello pimmessage.LeaderQuery) {
	c.Send(pimforward.AddressOf(from), from, c.directory())
	if !hello.WantsMembership || c.leadership == nil || !c.leadership.ready {
		return
	}
	members := c.replica.Members()
	if members.Contains(from) {
		return
	}
	if err := c.replica.ProposeMembers(c.now, members.WithLearner(from)); err != nil {
		c.logger.Debug().Err(err).Str("member", from).Msg("learner waits")
		return
	}
	c.logger.Info().Str("member", from).Msg("learner is taken in")
}

// requestToJoin asks all known daemons to take this one in while it is no member.
func (c *Control) requestToJoin() {
	if c.now < c.nextHelloAt || c.replica.Members().Contains(c.id) {
		return
	}
	c.nextHelloAt = c.now + joinInterval
	for _, address := range c.forwarder.Addresses() {
		c.transport.Send(address, "", pimmessage.LeaderQuery{WantsMembership: true})
	}
}

// adjustMembers makes learners voters, in the place of voters that are gone.
func (c *Control) adjustMembers() {
	l := c.leadership
	if c.now < l.nextMembersAt {
		return
	}
	l.nextMembersAt = c.now + membershipInterval
	members := c.replica.Members()
	next, what, ok := c.nextMembers(members)
	if !ok {
		return
	}
	if err := c.replica.ProposeMembers(c.now, next); err != nil {
		c.logger.Debug().Err(err).Str("change", what).Msg("membership waits")
		return
	}
	c.logger.Info().Str("change", what).Strs("voters", next.Voters).Strs("learners", next.Learners).Msg("membership changes")
}

// nextMembers returns the next change of one member, if one is due.
func (c *Control) nextMembers(members pimconsensus.Members) (pimconsensus.Members, string, bool) {
	for _, id := range members.Learners {
		if progress, _ := c.replica.ProgressOf(id); c.now-progress.LastContact > learnerTimeout || c.hasNewerGeneration(id, members) {
			return members.Without(id), "learner is dropped", true
		}
	}
	learner := c.readyLearner(members)
	if learner == "" {
		return members, "", false
	}
	wanted := 2*c.settings.ToleratedFailures + 1
	if len(members.Voters) < wanted {
		return members.WithVoter(learner), "learner becomes a voter", true
	}
	if gone := c.replaceableVoter(members, learner); gone != "" && c.hasQuorumWithout(members, gone) {
		return members.Without(gone), "voter is replaced", true
	}
	return members, "", false
}

// hasNewerGeneration reports whether a newer life of the same daemon is a learner.
func (c *Control) hasNewerGeneration(id string, members pimconsensus.Members) bool {
	at := slices.Index(members.Learners, id)
	for _, other := range members.Learners[at+1:] {
		if pimforward.AddressOf(other) == pimforward.AddressOf(id) {
			return true
		}
	}
	return false
}

func (c *Control) readyLearner(members pimconsensus.Members) string {
	for _, id := range members.Learners {
		progress, ok := c.replica.ProgressOf(id)
		if ok && progress.Match > 0 && progress.Match+maxLearnerLag >= c.replica.Commit() && c.now-progress.LastContact < membershipInterval*5 {
			return id
		}
	}
	return ""
}

// replaceableVoter returns a voter that a learner may replace: an earlier life of the learner's daemon, or one that is silent.
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

// hasQuorumWithout reports whether the voters that answer make a majority once one is removed.
func (c *Control) hasQuorumWithout(members pimconsensus.Members, gone string) bool {
	left := members.Without(gone)
	alive := 0
	for _, id := range left.Voters {
		progress, ok := c.replica.ProgressOf(id)
		if id == c.id || (ok && c.now-progress.LastContact < voterTimeout/2) {
			alive++
		}
	}
	return alive >= left.Quorum()
}
