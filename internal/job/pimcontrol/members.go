package pimcontrol

import (
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimforward"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconsensus"
)

const (
	// membersInterval is the time between looks at the membership.
	membersInterval = 200 * time.Millisecond
	// voterSilence is how long a voter may be silent before a learner replaces it.
	voterSilence = 2500 * time.Millisecond
	// learnerSilence is how long a learner may be silent before it is dropped.
	learnerSilence = 10 * time.Second
	// learnerLag is how many entries a learner may lack to be made a voter.
	learnerLag = 64
)

func (c *Control) directory() pimmessage.LeaderReply {
	return pimmessage.LeaderReply{
		Leader:          c.replica.LeaderID(),
		Term:            c.replica.Term(),
		Members:         c.replica.Members().All(),
		ConfirmedLeader: c.lead != nil && c.lead.ready && !c.replica.IsTransferring() && c.replica.HoldsLease(c.now),
	}
}

// onHello answers with the directory, and takes a control daemon in as a learner.
func (c *Control) onHello(from string, hello pimmessage.LeaderQuery) {
	c.Send(pimforward.AddressOf(from), from, c.directory())
	if !hello.WantsMembership || c.lead == nil || !c.lead.ready {
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

// askToJoin asks all known daemons to take this one in while it is no member.
func (c *Control) askToJoin() {
	if c.now < c.helloAt || c.replica.Members().Contains(c.id) {
		return
	}
	c.helloAt = c.now + joinInterval
	for _, address := range c.forwarder.Addresses() {
		c.transport.Send(address, "", pimmessage.LeaderQuery{WantsMembership: true})
	}
}

// tendMembers makes learners voters, in the place of voters that are gone.
func (c *Control) tendMembers() {
	l := c.lead
	if c.now < l.membersAt {
		return
	}
	l.membersAt = c.now + membersInterval
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
		if progress, _ := c.replica.ProgressOf(id); c.now-progress.LastContact > learnerSilence || c.isReplaced(id, members) {
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
	if gone := c.goneVoter(members, learner); gone != "" && c.majorityWithout(members, gone) {
		return members.Without(gone), "voter is replaced", true
	}
	return members, "", false
}

// isReplaced reports whether a newer life of the same daemon is a learner.
func (c *Control) isReplaced(id string, members pimconsensus.Members) bool {
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
		if ok && progress.Match > 0 && progress.Match+learnerLag >= c.replica.Commit() && c.now-progress.LastContact < membersInterval*5 {
			return id
		}
	}
	return ""
}

// goneVoter returns a voter that a learner may replace: an earlier life of the learner's daemon, or one that is silent.
func (c *Control) goneVoter(members pimconsensus.Members, learner string) string {
	for _, id := range members.Voters {
		if id != c.id && pimforward.AddressOf(id) == pimforward.AddressOf(learner) {
			return id
		}
	}
	for _, id := range members.Voters {
		if progress, ok := c.replica.ProgressOf(id); ok && c.now-progress.LastContact > voterSilence {
			return id
		}
	}
	return ""
}

// majorityWithout reports whether the voters that answer make a majority once one is removed.
func (c *Control) majorityWithout(members pimconsensus.Members, gone string) bool {
	left := members.Without(gone)
	alive := 0
	for _, id := range left.Voters {
		progress, ok := c.replica.ProgressOf(id)
		if id == c.id || (ok && c.now-progress.LastContact < voterSilence/2) {
			alive++
		}
	}
	return alive >= left.Quorum()
}
