package pimconsensus_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconsensus"
)

type (
	// slowDiskGroup is a group whose disks take syncTime for each write and write one batch at a time, as those of the
	// daemons do. Messages take networkDelay.
	slowDiskGroup struct {
		now      time.Duration
		syncTime time.Duration
		replicas map[string]*pimconsensus.Replica
		disks    map[string]*slowDisk
		network  []delayedPacket
		// proposed and committed count the entries of the group's clients.
		proposed, committed int
	}

	slowDisk struct {
		pending, writing []pimconsensus.Output
		writtenAt        time.Duration
	}

	delayedPacket struct {
		packet
		at time.Duration
	}
)

const (
	networkDelay   = 2 * time.Millisecond
	proposalPeriod = 50 * time.Millisecond
	// slowDiskLimit is within the minute that an operator's command is repeated.
	slowDiskLimit = 30 * time.Second
)

func newSlowDiskGroup(seed uint64, syncTime time.Duration, running ...string) *slowDiskGroup {
	g := &slowDiskGroup{syncTime: syncTime, replicas: map[string]*pimconsensus.Replica{}, disks: map[string]*slowDisk{}}
	for i, name := range running {
		saved := pimconsensus.PersistentState{Snapshot: pimconsensus.BootstrapSnapshot([]string{"a", "b", "c"})}
		config := pimconsensus.Config{ID: name, Boot: uint64(i + 1), Seed: seed}
		g.replicas[name], g.disks[name] = pimconsensus.NewReplica(config, saved, 0), &slowDisk{}
	}
	return g
}

func (g *slowDiskGroup) send(from string, envelopes []pimconsensus.Envelope) {
	for _, envelope := range envelopes {
		g.network = append(g.network, delayedPacket{packet{from, envelope}, g.now + networkDelay})
	}
}

func (g *slowDiskGroup) collect(name string) {
	output := g.replicas[name].Take()
	g.send(name, output.Immediate)
	for _, entry := range output.Committed {
		if entry.Kind == pimconsensus.EntryCommand && g.replicas[name].IsLeader() {
			g.committed++
		}
	}
	g.disks[name].pending = append(g.disks[name].pending, output)
}

// sync ends the write of a disk that is due and starts the next one. Messages without a write before them are sent at once.
func (g *slowDiskGroup) sync(name string) {
	disk := g.disks[name]
	if len(disk.writing) > 0 && g.now < disk.writtenAt {
		return
	}
	for _, output := range disk.writing {
		g.send(name, output.AfterSync)
		if n := len(output.Entries); n > 0 {
			g.replicas[name].Persisted(g.now, output.Entries[n-1].Index, output.Entries[n-1].Term)
		}
	}
	disk.writing = nil
	writes := false
	for _, output := range disk.pending {
		writes = writes || output.HardState != nil || len(output.Entries) > 0
	}
	if writes {
		disk.writing, disk.writtenAt = disk.pending, g.now+g.syncTime
	} else {
		for _, output := range disk.pending {
			g.send(name, output.AfterSync)
		}
	}
	disk.pending = nil
}

func (g *slowDiskGroup) leader() *pimconsensus.Replica {
	for _, replica := range g.replicas {
		if replica.IsLeader() {
			return replica
		}
	}
	return nil
}

// step advances the group by a millisecond.
func (g *slowDiskGroup) step() {
	g.now += time.Millisecond
	kept := g.network[:0:0]
	for _, p := range g.network {
		if p.at > g.now {
			kept = append(kept, p)
		} else if replica := g.replicas[p.To]; replica != nil {
			replica.Step(g.now, p.from, p.Message)
		}
	}
	g.network = kept
	if leader := g.leader(); leader != nil && g.now%proposalPeriod == 0 && g.proposed < g.committed+2 {
		if _, _, err := leader.Propose(g.now, []byte("x")); err == nil {
			g.proposed++
		}
	}
	for _, name := range names {
		if replica := g.replicas[name]; replica != nil {
			replica.Tick(g.now)
			g.collect(name)
			g.sync(name)
		}
	}
}

// run advances the group until it has committed an entry or the time is over.
func (g *slowDiskGroup) run(until time.Duration, done func() bool) {
	for g.now < until && !done() {
		g.step()
	}
}

// TestSlowDisks guards against a group that accepts nothing for as long as each sync takes longer than an election, or
// than the leader waits for its followers.
func TestSlowDisks(t *testing.T) {
	for _, syncTime := range []time.Duration{4 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond, time.Second} {
		for _, running := range [][]string{{"a", "b", "c"}, {"a", "b"}} {
			t.Run(fmt.Sprintf("%d of 3 run, a sync takes %v", len(running), syncTime), func(t *testing.T) {
				for seed := range uint64(10) {
					g := newSlowDiskGroup(seed, syncTime, running...)
					g.run(slowDiskLimit, func() bool { return g.committed > 0 })
					assert.Assert(t, g.committed > 0, "seed %d: nothing was committed within %v", seed, slowDiskLimit)
					leader, term := g.leader(), g.leader().Term()
					committed := g.committed
					g.run(g.now+slowDiskLimit, func() bool { return false })
					assert.Equal(t, g.leader(), leader, "seed %d", seed)
					assert.Equal(t, leader.Term(), term, "seed %d: the leader was elected again", seed)
					assert.Assert(t, g.committed-committed >= int(slowDiskLimit/max(4*syncTime, 2*proposalPeriod)),
						"seed %d: %d entries in %v", seed, g.committed-committed, slowDiskLimit)
				}
			})
		}
	}
}
