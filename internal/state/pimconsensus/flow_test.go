package pimconsensus_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconsensus"
)

type (
	// frozenGroup is a group of which one member, "c", is frozen: what the others send to it is queued, as in the
	// buffers of its connections, and is delivered later.
	frozenGroup struct {
		t        *testing.T
		now      time.Duration
		replicas map[string]*pimconsensus.Replica
		network  []packet
		queued   []packet
		// queuedBytes is the size of queued, maxQueuedBytes the highest value of it.
		queuedBytes, maxQueuedBytes int
	}
)

const (
	largeEntry    = 20 << 10
	largeSnapshot = 500 << 10
	// maxQueued is what may be on its way to a member that doesn't read: the entries in flight, one more request and
	// one snapshot.
	maxQueued = pimconsensus.MaxInFlightBytes + 1<<20 + largeSnapshot
)

func newFrozenGroup(t *testing.T) *frozenGroup {
	t.Helper()
	g := &frozenGroup{t: t, replicas: map[string]*pimconsensus.Replica{}}
	voters := []string{"a", "b", "c"}
	for i, name := range voters {
		saved := pimconsensus.PersistentState{Snapshot: pimconsensus.BootstrapSnapshot(voters)}
		g.replicas[name] = pimconsensus.NewReplica(pimconsensus.Config{ID: name, Boot: uint64(i + 1), Seed: 1}, saved, 0)
	}
	return g
}

func sizeOf(message pimconsensus.Message) int {
	size := 0
	switch m := message.(type) {
	case pimconsensus.AppendRequest:
		for _, entry := range m.Entries {
			size += len(entry.Data)
		}
	case pimconsensus.SnapshotRequest:
		size = len(m.Snapshot.Data)
	}
	return size
}

// collect sends the output of a member. Its disk syncs at once.
func (g *frozenGroup) collect(name string) {
	replica := g.replicas[name]
	for range 3 {
		output := replica.Take()
		if n := len(output.Entries); n > 0 {
			replica.Persisted(g.now, output.Entries[n-1].Index, output.Entries[n-1].Term)
		}
		for _, envelope := range append(output.Immediate, output.AfterSync...) {
			if envelope.To == "c" {
				g.queued = append(g.queued, packet{name, envelope})
				g.queuedBytes += sizeOf(envelope.Message)
				g.maxQueuedBytes = max(g.maxQueuedBytes, g.queuedBytes)
				continue
			}
			g.network = append(g.network, packet{name, envelope})
		}
	}
}

func (g *frozenGroup) tick(span time.Duration, names ...string) {
	g.now += span
	for _, name := range names {
		g.replicas[name].Tick(g.now)
		g.collect(name)
	}
	for len(g.network) > 0 {
		p := g.network[0]
		g.network = g.network[1:]
		g.replicas[p.To].Step(g.now, p.from, p.Message)
		g.collect(p.To)
	}
}

// readQueued lets the thawed member read some of the messages that wait for it, and its replies arrive.
func (g *frozenGroup) readQueued(count int) {
	for ; count > 0 && len(g.queued) > 0; count-- {
		p := g.queued[0]
		g.queued = g.queued[1:]
		g.queuedBytes -= sizeOf(p.Message)
		g.replicas["c"].Step(g.now, p.from, p.Message)
		g.collect("c")
		g.tick(0)
	}
}

func (g *frozenGroup) leader() *pimconsensus.Replica {
	for _, name := range []string{"a", "b"} {
		if g.replicas[name].IsLeader() {
			return g.replicas[name]
		}
	}
	g.t.Fatal("no leader")
	return nil
}

// TestMemberThatWakesUp freezes a member for eight seconds under load. What is on its way to it stays bounded while it is
// frozen and after it wakes up, and it has caught up soon although it reads slowly.
func TestMemberThatWakesUp(t *testing.T) {
	for name, compacted := range map[string]bool{"while the log is kept": false, "while the log is compacted": true} {
		t.Run(name, func(t *testing.T) {
			g := newFrozenGroup(t)
			for range 40 {
				g.tick(50*time.Millisecond, "a", "b")
				g.readQueued(100)
			}
			leader := g.leader()
			g.maxQueuedBytes = 0
			load := func() {
				for range 3 {
					_, _, err := leader.Propose(g.now, make([]byte, largeEntry))
					assert.NilError(t, err)
				}
				g.collect(leader.ID())
				g.tick(25*time.Millisecond, "a", "b")
			}
			for range 320 {
				load()
			}
			if compacted {
				_, ok := leader.Compact(leader.Applied(), make([]byte, largeSnapshot))
				assert.Assert(t, ok)
			}
			for range 400 {
				load()
				g.readQueued(4)
			}
			assert.Assert(t, g.maxQueuedBytes <= maxQueued, "%d KB were on their way at once", g.maxQueuedBytes>>10)
			behind := leader.LastIndex() - g.replicas["c"].LastIndex()
			assert.Assert(t, behind < 30, "%d entries behind", behind)
		})
	}
}
