package pimconsensus

import (
	"cmp"
	"slices"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
)

// Members is the membership of a group, as replica ids. Learners receive entries but
// have no vote and don't count towards a majority.
//
// While a voter is being replaced, Outgoing holds the voters from before the replacement. Elections and commits
// then need a majority of Voters and one of Outgoing, so that the group survives each loss that it survives before and
// after the replacement. Otherwise Outgoing is empty.
type Members struct {
	Voters   []string `msgpack:"v"`
	Learners []string `msgpack:"l"`
	Outgoing []string `msgpack:"o,omitempty"`
}

// IsVoter reports whether id has a vote.
func (m Members) IsVoter(id string) bool {
	return slices.Contains(m.Voters, id) || slices.Contains(m.Outgoing, id)
}

// IsJoint reports whether a voter is being replaced.
func (m Members) IsJoint() bool { return len(m.Outgoing) > 0 }

// Contains reports whether id is a voter or a learner.
func (m Members) Contains(id string) bool {
	return m.IsVoter(id) || slices.Contains(m.Learners, id)
}

// AllVoters returns the ids of all replicas that have a vote.
func (m Members) AllVoters() []string {
	all := slices.Clone(m.Voters)
	for _, id := range m.Outgoing {
		if !slices.Contains(all, id) {
			all = append(all, id)
		}
	}
	return all
}

// All returns the ids of all replicas, voters first.
func (m Members) All() []string { return slices.Concat(m.AllVoters(), m.Learners) }

// HasMajority reports whether the replicas for which accept returns true can elect a leader and commit entries.
func (m Members) HasMajority(accept func(id string) bool) bool {
	return majorityMinimum(m, func(id string) int {
		if accept(id) {
			return 1
		}
		return 0
	}) == 1
}

// SurvivesLosses reports whether the voters that remain after any count of them are lost for good are still a majority.
func (m Members) SurvivesLosses(count int) bool {
	survives := func(voters []string) bool { return len(voters)-count >= quorum(voters) }
	return survives(m.Voters) && (!m.IsJoint() || survives(m.Outgoing))
}

// WithLearner returns a copy of m with id as a learner, or m itself if id is a member already.
func (m Members) WithLearner(id string) Members {
	if m.Contains(id) {
		return m
	}
	next := m.clone()
	next.Learners = append(next.Learners, id)
	return next
}

// WithVoter returns a copy of m with id as a voter and not as a learner.
func (m Members) WithVoter(id string) Members {
	if m.IsVoter(id) {
		return m
	}
	rest := m.Without(id)
	rest.Voters = append(rest.Voters, id)
	return rest
}

// Without returns a copy of m without id.
func (m Members) Without(id string) Members {
	same := func(other string) bool { return other == id }
	next := m.clone()
	next.Voters = slices.DeleteFunc(next.Voters, same)
	next.Learners = slices.DeleteFunc(next.Learners, same)
	next.Outgoing = slices.DeleteFunc(next.Outgoing, same)
	return next
}

// WithReplacement returns the membership in which a learner replaces a voter that still votes. Completed and Reverted
// return what may follow it.
func (m Members) WithReplacement(voter, learner string) Members {
	next := m.Without(voter).WithVoter(learner)
	next.Outgoing = slices.Clone(m.Voters)
	return next
}

// Completed returns the membership after the replacement: the replaced voter is no member.
func (m Members) Completed() Members {
	next := m.clone()
	next.Outgoing = nil
	return next
}

// Reverted returns the membership from before the replacement: the replica that was to become a voter is a learner.
func (m Members) Reverted() Members {
	next := Members{Voters: slices.Clone(m.Outgoing), Learners: slices.Clone(m.Learners)}
	for _, id := range m.Voters {
		if !slices.Contains(next.Voters, id) {
			next.Learners = append(next.Learners, id)
		}
	}
	return next
}

func (m Members) clone() Members {
	return Members{
		Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners), Outgoing: slices.Clone(m.Outgoing),
	}
}

// checkChange returns an error unless each majority of next shares a replica with each majority of m.
func (m Members) checkChange(next Members) error {
	sameVoters := sameIDs(m.Voters, next.Voters)
	allowed := false
	switch {
	case m.IsJoint() && next.IsJoint():
		allowed = sameVoters && sameIDs(m.Outgoing, next.Outgoing)
	case m.IsJoint():
		allowed = sameVoters || sameIDs(m.Outgoing, next.Voters)
	case next.IsJoint():
		allowed = sameIDs(m.Voters, next.Outgoing)
	default:
		added, removed := missingFrom(m.Voters, next.Voters), missingFrom(next.Voters, m.Voters)
		allowed = added+removed <= 1
	}
	if !allowed || len(next.Voters) == 0 {
		return pimcode.New(pimcode.ProgramFailed, "members %v cannot follow %v", next, m)
	}
	return nil
}

// missingFrom returns how many of the ids are not in list.
func missingFrom(list, ids []string) int {
	count := 0
	for _, id := range ids {
		if !slices.Contains(list, id) {
			count++
		}
	}
	return count
}

func sameIDs(a, b []string) bool { return missingFrom(a, b) == 0 && missingFrom(b, a) == 0 }

func quorum(voters []string) int { return len(voters)/2 + 1 }

// majorityMinimum returns the largest value that a majority of the voters has reached. While a voter is being
// replaced it is the smaller one of those of the two sets of voters.
func majorityMinimum[T cmp.Ordered](m Members, valueOf func(id string) T) T {
	reached := majorityOf(m.Voters, valueOf)
	if m.IsJoint() {
		reached = min(reached, majorityOf(m.Outgoing, valueOf))
	}
	return reached
}

func majorityOf[T cmp.Ordered](voters []string, valueOf func(id string) T) T {
	var none T
	if len(voters) == 0 {
		return none
	}
	values := make([]T, 0, len(voters))
	for _, id := range voters {
		values = append(values, valueOf(id))
	}
	slices.Sort(values)
	return values[len(values)-quorum(voters)]
}
