package pimconsensus_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconsensus"
)

// Guards against followers that elect another leader while theirs is busy for longer than the election timeout.
func TestFollowersOfABusyLeader(t *testing.T) {
	for _, keepsAlive := range []bool{true, false} {
		t.Run(map[bool]string{true: "with heartbeats", false: "without"}[keepsAlive], func(t *testing.T) {
			g := newFrozenGroup(t)
			leader := electLeader(g)
			others := followersOf(leader)
			for range 20 {
				g.now += pimconsensus.HeartbeatInterval
				if keepsAlive {
					for _, envelope := range g.replicas[leader].KeepAlive(g.now) {
						g.replicas[envelope.To].Step(g.now, leader, envelope.Message)
					}
				}
				for _, name := range others {
					g.replicas[name].Tick(g.now)
				}
			}
			for _, name := range others {
				assert.Equal(t, g.replicas[name].LeaderID() == leader, keepsAlive)
			}
		})
	}
}

// Guards against heartbeats that are sent more often than they are due, or by a follower.
func TestKeepAliveSendsOnlyWhatIsDue(t *testing.T) {
	g := newFrozenGroup(t)
	leader := electLeader(g)
	g.now += pimconsensus.HeartbeatInterval
	assert.Equal(t, len(g.replicas[leader].KeepAlive(g.now)), 2)
	assert.Equal(t, len(g.replicas[leader].KeepAlive(g.now+time.Millisecond)), 0)
	for _, name := range followersOf(leader) {
		assert.Equal(t, len(g.replicas[name].KeepAlive(g.now+time.Hour)), 0)
	}
}

func electLeader(g *frozenGroup) string {
	for range 40 {
		g.tick(50*time.Millisecond, "a", "b")
		g.readQueued(100)
	}
	return g.leader().ID()
}

func followersOf(leader string) []string {
	var others []string
	for _, name := range []string{"a", "b", "c"} {
		if name != leader {
			others = append(others, name)
		}
	}
	return others
}
