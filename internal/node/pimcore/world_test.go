package pimcore_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
	"github.com/pimentoswitch/pimentoswitch/internal/node/pimcore"
	"github.com/pimentoswitch/pimentoswitch/internal/place/pimplace"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconsensus"
)

type (
	// simulation runs nodes with fakes for the network, the disks, the endpoints, the
	// workers and the callers, in virtual time and in an order that the seed decides.
	simulation struct {
		t              testing.TB
		now            time.Duration
		random         *rand.Rand
		queue          eventQueue
		sequence       uint64
		hostNames      []string
		hosts          map[string]*host
		initialMembers []pimcore.InitialMember
		partition      func(from, to string) bool
		replacing      bool
		lossRate       float64
		duplicateRate  float64
		extraDelay     time.Duration
		onCommand      func(h *host, command pimcore.Command)
		replyHandlers  map[uint64]func(command pimcore.Command)
		lastToken      uint64
		endpoints      map[string]*fakeEndpoint
		workers        map[string]*fakeWorker
		observed       *observations
	}

	// host is one entry host: its process may die, its disk may be lost.
	host struct {
		name           string
		domain         string
		nonce          int
		boot           uint64
		clusterID      string
		node           *pimcore.Node
		storedGroups   map[string]*pimconsensus.PersistentState
		diskFails      bool
		frozen         bool
		extraSyncDelay time.Duration
		lastSyncEnd    time.Duration
		clockRate      float64
	}

	scheduledEvent struct {
		at       time.Duration
		sequence uint64
		run      func()
	}

	eventQueue []scheduledEvent
)

const (
	linkDelay  = 1500 * time.Microsecond
	syncDelay  = time.Millisecond
	linkJitter = 200 * time.Microsecond
)

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newSimulation starts two daemons in each of three failure domains and waits for leaders.
func newSimulation(t testing.TB, seed uint64) *simulation { return newSimulationWith(t, seed, nil) }

// newSimulationWith is newWorld with something done before the daemons start.
func newSimulationWith(t testing.TB, seed uint64, before func(sim *simulation)) *simulation {
	sim := &simulation{
		t:             t,
		random:        rand.New(rand.NewPCG(seed, seed)),
		hosts:         map[string]*host{},
		replyHandlers: map[uint64]func(pimcore.Command){},
		endpoints:     map[string]*fakeEndpoint{},
		workers:       map[string]*fakeWorker{},
		observed:      newObservations(),
	}
	for _, domain := range []string{"north", "south", "west"} {
		for i := range 2 {
			name := fmt.Sprintf("%s-%d", domain, i+1)
			sim.hostNames = append(sim.hostNames, name)
			sim.initialMembers = append(sim.initialMembers, pimcore.InitialMember{Name: name, Domain: domain, PeerAddress: name})
			sim.hosts[name] = &host{name: name, domain: domain, storedGroups: map[string]*pimconsensus.PersistentState{}, clockRate: 1}
		}
	}
	if before != nil {
		before(sim)
	}
	for _, name := range sim.hostNames {
		sim.start(name)
	}
	sim.run(3 * time.Second)
	return sim
}

func (sim *simulation) after(delay time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.queue, scheduledEvent{at: sim.now + delay, sequence: sim.sequence, run: run})
}

// run lets virtual time pass.
func (sim *simulation) run(span time.Duration) {
	end := sim.now + span
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		next := heap.Pop(&sim.queue).(scheduledEvent)
		sim.now = next.at
		next.run()
	}
	sim.now = end
}

// runUntil lets time pass until the condition holds, and fails after the limit.
func (sim *simulation) runUntil(what string, limit time.Duration, condition func() bool) time.Duration {
	sim.t.Helper()
	started := sim.now
	for sim.now-started < limit {
		if condition() {
			return sim.now - started
		}
		sim.run(20 * time.Millisecond)
	}
	if !condition() {
		sim.logState()
	}
	assert.Assert(sim.t, condition(), "not within %s: %s", limit, what)
	return sim.now - started
}

func (sim *simulation) start(name string) {
	h := sim.hosts[name]
	h.boot = sim.random.Uint64() >> 1
	saved := map[string]pimconsensus.PersistentState{}
	for group, s := range h.storedGroups {
		copied := *s
		copied.Entries = slices.Clone(s.Entries)
		saved[group] = copied
	}
	node, err := pimcore.NewNode(pimcore.Config{
		Member:           sim.member(h),
		ClusterID:        h.clusterID,
		InitialMembers:   sim.initialMembers,
		StoredGroups:     saved,
		BootID:           h.boot,
		Seed:             h.boot,
		BatchGracePeriod: time.Minute,
		ReplaceAfter:     10 * time.Second,
		JournalRetention: time.Hour,
		Policy:           pimplace.PolicyInterference,
	}, sim.clock(h))
	assert.NilError(sim.t, err)
	h.node = node
	sim.tick(h, node)
}

func (sim *simulation) member(h *host) pimconfig.Member {
	return pimconfig.Member{
		ID: fmt.Sprintf("%s#%d", h.name, h.nonce), Name: h.name, Domain: h.domain, PeerAddress: h.name, HTTPAddress: h.name,
	}
}

// clock is a host's own monotonic clock, which may run at another rate.
func (sim *simulation) clock(h *host) time.Duration {
	return time.Duration(float64(sim.now)*h.clockRate) + time.Second
}

func (sim *simulation) tick(h *host, node *pimcore.Node) {
	if h.node != node {
		return
	}
	if !h.frozen {
		sim.handle(h, pimcore.Tick{})
		sim.checkVersionInEffect(h)
	}
	sim.after(pimcore.TickInterval, func() { sim.tick(h, node) })
}

// checkVersionInEffect checks that a daemon which counts its configuration as current has what
// is in force everywhere.
func (sim *simulation) checkVersionInEffect(h *host) {
	if h.node != nil && h.node.HasConfigLease() && h.node.Version() < sim.observed.inEffectVersion {
		sim.observed.addViolation("%s acts on version %d, %d is in force", h.name, h.node.Version(), sim.observed.inEffectVersion)
	}
}

func (sim *simulation) handle(h *host, event pimcore.Event) {
	if h.node == nil {
		return
	}
	if h.frozen {
		node := h.node
		sim.after(pimcore.TickInterval, func() {
			if h.node == node {
				sim.handle(h, event)
			}
		})
		return
	}
	h.node.Handle(sim.clock(h), event)
	for h.node != nil {
		commands := h.node.Take()
		if len(commands) == 0 {
			return
		}
		for _, command := range commands {
			sim.executeCommand(h, command)
		}
	}
}

func (sim *simulation) executeCommand(h *host, command pimcore.Command) {
	if sim.onCommand != nil {
		sim.onCommand(h, command)
	}
	if h.node == nil {
		return
	}
	switch c := command.(type) {
	case pimcore.SendPeer:
		sim.sendPeer(h, c)
	case pimcore.Persist:
		sim.persist(h, c)
	case pimcore.SaveIdentity:
		h.clusterID = c.ClusterID
	case pimcore.SendEndpoint:
		sim.sendEndpoint(h, c.Attempt)
	case pimcore.AnswerRequest:
		sim.deliverReply(c.Token, c)
	case pimcore.AnswerCall:
		sim.deliverReply(c.Token, c)
	}
}

func (sim *simulation) deliverReply(token uint64, command pimcore.Command) {
	reply := sim.replyHandlers[token]
	delete(sim.replyHandlers, token)
	if reply != nil {
		reply(command)
	}
}

func (sim *simulation) newReplyToken(reply func(command pimcore.Command)) uint64 {
	sim.lastToken++
	sim.replyHandlers[sim.lastToken] = reply
	return sim.lastToken
}

func (sim *simulation) delay() time.Duration {
	return linkDelay + sim.extraDelay + time.Duration(sim.random.Int64N(int64(linkJitter)+int64(sim.extraDelay)))
}

func (sim *simulation) isPartitioned(from, to string) bool {
	return sim.partition != nil && sim.partition(from, to)
}

func (sim *simulation) sendPeer(from *host, c pimcore.SendPeer) {
	id := sim.member(from).ID
	deliver := func() {
		to := sim.hosts[c.Address]
		if to != nil && !sim.isPartitioned(from.name, to.name) {
			sim.handle(to, pimcore.PeerReceived{From: id, To: c.To, Message: c.Message})
		}
	}
	if sim.lossRate > 0 && sim.random.Float64() < sim.lossRate {
		return
	}
	sim.after(sim.delay(), deliver)
	if sim.duplicateRate > 0 && sim.random.Float64() < sim.duplicateRate {
		sim.after(sim.delay()+sim.delay(), deliver)
	}
}

func (sim *simulation) persist(h *host, c pimcore.Persist) {
	node := h.node
	h.lastSyncEnd = max(sim.now+syncDelay+h.extraSyncDelay, h.lastSyncEnd)
	sim.after(h.lastSyncEnd-sim.now, func() {
		if h.node != node || h.diskFails {
			return
		}
		h.store(c)
		for _, send := range c.SendAfterSync {
			sim.sendPeer(h, send)
		}
		if c.Index > 0 {
			sim.handle(h, pimcore.Persisted{Group: c.Group, Index: c.Index, Term: c.Term})
		}
	})
}

func (h *host) store(c pimcore.Persist) {
	saved := h.storedGroups[c.Group]
	if saved == nil {
		saved = &pimconsensus.PersistentState{}
		h.storedGroups[c.Group] = saved
	}
	if c.Snapshot != nil && c.Snapshot.Index > saved.Snapshot.Index {
		kept := c.Snapshot.Index - saved.Snapshot.Index
		if kept <= uint64(len(saved.Entries)) && saved.Entries[kept-1].Term == c.Snapshot.Term {
			saved.Entries = slices.Clone(saved.Entries[kept:])
		} else {
			saved.Entries = nil
		}
		saved.Snapshot = *c.Snapshot
	}
	if c.Batch.HardState != nil {
		saved.HardState = *c.Batch.HardState
	}
	for _, entry := range c.Batch.Entries {
		if entry.Index > saved.Snapshot.Index {
			saved.Entries = append(saved.Entries[:entry.Index-saved.Snapshot.Index-1], entry)
		}
	}
}

// kill ends a process; what was not synced is lost.
func (sim *simulation) kill(name string) { sim.hosts[name].node = nil }

// loseDisk ends a process and loses its disk.
func (sim *simulation) loseDisk(name string) {
	h := sim.hosts[name]
	h.node = nil
	h.nonce++
	h.clusterID = ""
	h.storedGroups = map[string]*pimconsensus.PersistentState{}
	sim.replacing = true
	sim.awaitReplacement()
}

// awaitReplacement notes when every group has its wanted voters again.
func (sim *simulation) awaitReplacement() {
	sim.after(200*time.Millisecond, func() {
		if sim.isHealthy() {
			sim.replacing = false
			return
		}
		sim.awaitReplacement()
	})
}

// isolate cuts the given hosts off from all others, in both directions.
func (sim *simulation) isolate(names ...string) {
	sim.partition = func(from, to string) bool {
		return slices.Contains(names, from) != slices.Contains(names, to)
	}
}

func (sim *simulation) heal() { sim.partition = nil }

func (sim *simulation) domainHosts(domain string) []string {
	var names []string
	for _, name := range sim.hostNames {
		if sim.hosts[name].domain == domain {
			names = append(names, name)
		}
	}
	return names
}

// leader returns the host that leads a group with a lease, or "".
func (sim *simulation) leader(group string) string {
	for _, name := range sim.hostNames {
		if h := sim.hosts[name]; h.node != nil && !h.frozen && slices.Contains(h.node.LedGroups(), group) {
			return name
		}
	}
	return ""
}

// runningHosts returns the hosts with a process that the given failure domain can reach.
func (sim *simulation) runningHosts(domain string) []string {
	var names []string
	for _, name := range sim.hostNames {
		h := sim.hosts[name]
		if h.node != nil && !h.frozen && (domain == "" || !sim.isPartitioned(sim.domainHosts(domain)[0], name)) {
			names = append(names, name)
		}
	}
	return names
}

// call asks the group's leader through a host and returns a place for the answer.
func (sim *simulation) call(name, group string, call pimmessage.Call, ttl time.Duration, reply func(pimcore.AnswerCall)) {
	token := sim.newReplyToken(func(command pimcore.Command) { reply(command.(pimcore.AnswerCall)) })
	if sim.hosts[name].node == nil {
		return
	}
	sim.handle(sim.hosts[name], pimcore.CallReceived{Token: token, Group: group, Call: call, TTL: ttl})
}

// mustCall asks through a living host until a whole answer comes.
func (sim *simulation) mustCall(group string, call pimmessage.Call, limit time.Duration) pimmessage.Reply {
	sim.t.Helper()
	var reply pimmessage.Reply
	next := 0
	ask := func() {
		living := sim.runningHosts("")
		next++
		sim.call(living[next%len(living)], group, call, 2*time.Second, func(a pimcore.AnswerCall) {
			if a.Reply != nil {
				reply = a.Reply
			}
		})
	}
	ask()
	asked := sim.now
	sim.runUntil(fmt.Sprintf("an answer to %T", call), limit, func() bool {
		if reply == nil && sim.now-asked > 2100*time.Millisecond {
			asked = sim.now
			ask()
		}
		return reply != nil
	})
	return reply
}
