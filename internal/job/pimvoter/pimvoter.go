// Package pimvoter decides which control daemons vote in the job group.
//
// Each membership that it proposes keeps the group's promise: whichever tolerated number of machines lose their disks,
// a majority remains that can elect a leader, also while other machines are silent. A voter is therefore replaced by
// joint consensus, and never removed first and made up for later: in between, the group would have fewer voters than
// it needs to survive those losses.
package pimvoter

import (
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimforward"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconsensus"
)

type (
	// Group is what the leader knows of its group.
	Group struct {
		// Self is the member ID of the leader.
		Self    string
		Members pimconsensus.Members
		// ToleratedFailures is how many voters may fail at the same time.
		ToleratedFailures int
		// Commit is the index of the last committed entry.
		Commit uint64
		// Peers holds all members but the leader, by member ID.
		Peers map[string]Peer
	}

	// Peer is the leader's view of another member.
	Peer struct {
		// Match is the last index that the member is known to have stored.
		Match uint64
		// Silence is the time since its last message.
		Silence time.Duration
	}

	// Change is a membership to propose, and what it does, for the log.
	Change struct {
		Members     pimconsensus.Members
		Description string
	}
)

const (
	// CheckInterval is the time between checks of the membership.
	CheckInterval = 200 * time.Millisecond
	// voterTimeout is the time without contact after which a learner may replace a voter.
	voterTimeout = 2500 * time.Millisecond
	// learnerTimeout is the time without contact after which a learner is removed.
	learnerTimeout = 10 * time.Second
	// reachableTimeout is the time without contact up to which a member counts as reachable.
	reachableTimeout = 5 * CheckInterval
	// maxLearnerLag is how many committed entries a learner may lack when it becomes a voter.
	maxLearnerLag = 64

	// promotion describes both the growth of the group and the first step of a replacement.
	promotion = "learner promoted to voter"
)

// Next returns the next change of the membership, and whether one is due.
func Next(g Group) (Change, bool) {
	change, ok := g.next()
	if !ok || !change.Members.HasMajority(g.isReachable) {
		return Change{}, false
	}
	survives := change.Members.SurvivesLosses(g.ToleratedFailures)
	if g.Members.SurvivesLosses(g.ToleratedFailures) && !survives {
		return Change{}, false
	}
	return change, true
}

func (g Group) next() (Change, bool) {
	if g.Members.IsJoint() {
		return g.endReplacement()
	}
	for _, id := range g.Members.Learners {
		if g.Peers[id].Silence > learnerTimeout || g.hasNewerGeneration(id) {
			return Change{g.Members.Without(id), "learner removed"}, true
		}
	}
	if voter, successor := g.supersededVoter(); voter != "" {
		return g.replace(voter, successor), true
	}
	learner := g.readyLearner()
	if learner == "" {
		return Change{}, false
	}
	if len(g.Members.Voters) < 2*g.ToleratedFailures+1 {
		return Change{g.Members.WithVoter(learner), promotion}, true
	}
	if voter := g.silentVoter(); voter != "" {
		return g.replace(voter, learner), true
	}
	return Change{}, false
}

func (g Group) replace(voter, learner string) Change {
	return Change{g.Members.WithReplacement(voter, learner), promotion}
}

// endReplacement completes a replacement, or reverts it if the new voter has become silent.
func (g Group) endReplacement() (Change, bool) {
	for _, id := range g.Members.Voters {
		switch {
		case slices.Contains(g.Members.Outgoing, id) || g.isReachable(id):
		case g.Peers[id].Silence > voterTimeout:
			return Change{g.Members.Reverted(), "replacement of a voter reverted, as the learner does not respond"}, true
		default:
			return Change{}, false
		}
	}
	return Change{g.Members.Completed(), "voter removed for a learner to replace it"}, true
}

// hasNewerGeneration reports whether a newer generation of the same daemon is a learner.
func (g Group) hasNewerGeneration(id string) bool {
	at := slices.Index(g.Members.Learners, id)
	return slices.ContainsFunc(g.Members.Learners[at+1:], func(other string) bool { return sameAddress(id, other) })
}

// readyLearner returns a learner that may become a voter, or "".
func (g Group) readyLearner() string {
	for _, id := range g.Members.Learners {
		if g.isReady(id) {
			return id
		}
	}
	return ""
}

// isReady reports whether a learner is reachable and its log is nearly complete.
func (g Group) isReady(learner string) bool {
	peer := g.Peers[learner]
	return peer.Match > 0 && peer.Match+maxLearnerLag >= g.Commit && g.isReachable(learner)
}

// supersededVoter returns a voter whose disk was lost, and the later generation of the same daemon that may replace it.
func (g Group) supersededVoter() (voter, successor string) {
	for _, voter := range g.Members.Voters {
		for _, learner := range g.Members.Learners {
			if voter != g.Self && sameAddress(voter, learner) && g.isReady(learner) {
				return voter, learner
			}
		}
	}
	return "", ""
}

// silentVoter returns the voter that is silent for longest, of those that are for voterTimeout, or "".
func (g Group) silentVoter() string {
	silent := ""
	for _, id := range g.Members.Voters {
		if g.Peers[id].Silence > max(voterTimeout, g.Peers[silent].Silence) {
			silent = id
		}
	}
	return silent
}

func (g Group) isReachable(id string) bool {
	peer, known := g.Peers[id]
	return id == g.Self || (known && peer.Silence < reachableTimeout)
}

func sameAddress(id, other string) bool {
	return pimforward.AddressOf(id) == pimforward.AddressOf(other)
}
