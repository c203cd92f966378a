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
	// simulation runs the nodes of a cluster in virtual time, with fakes for the network, the
	// disks, the endpoints, the workers and the callers. The seed determines the order of
	// all events. Messages are lost with probability lossRate, repeated with probability
	// duplicateRate, and delayed by one to two times extraDelay more than usual. partition
	// reports which links are down. replacing is true from the loss of a disk until all hosts
	// run without a fault and all groups have their target membership. onCommand, if set, is
	// called with each command before it is executed. The keys of replyHandlers are tokens.
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

	// host is the machine of one daemon. node is nil while the process does not run. A frozen
	// process handles no events. storedGroups is the synced content of the disk, nonce changes
	// with each new disk, and with diskFails no sync ends. clockRate is the rate of the host's
	// clock, 1 for virtual time.
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

	// scheduledEvent is a function to run at a virtual time. Events of the same time run in
	// the order of their sequence.
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

// newSimulation starts two daemons in each of three failure domains and lets them run for
// three seconds, so that the groups have leaders.
func newSimulation(t testing.TB, seed uint64) *simulation { return newSimulationWith(t, seed, nil) }

// newSimulationWith is newSimulation with a function that runs before the daemons start.
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
			sim.hosts[name] = &host{
				name: name, domain: domain, storedGroups: map[string]*pimconsensus.PersistentState{}, clockRate: 1,
			}
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

// after schedules a function to run after a delay.
func (sim *simulation) after(delay time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.queue, scheduledEvent{at: sim.now + delay, sequence: sim.sequence, run: run})
}

// run advances virtual time by span and runs all events that are due.
func (sim *simulation) run(span time.Duration) {
	end := sim.now + span
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		next := heap.Pop(&sim.queue).(scheduledEvent)
		sim.now = next.at
		next.run()
	}
	sim.now = end
}

// runUntil advances virtual time until the condition holds, and returns how long that took.
// The test fails if it does not hold within the limit.
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

// start starts the process of a host with what its disk holds.
func (sim *simulation) start(name string) {
	h := sim.hosts[name]
	h.boot = sim.random.Uint64() >> 1
	stored := map[string]pimconsensus.PersistentState{}
	for group, s := range h.storedGroups {
		copied := *s
		copied.Entries = slices.Clone(s.Entries)
		stored[group] = copied
	}
	node, err := pimcore.NewNode(pimcore.Config{
		Member:           sim.member(h),
		ClusterID:        h.clusterID,
		InitialMembers:   sim.initialMembers,
		StoredGroups:     stored,
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

// clock returns the time of a host's monotonic clock, which runs at clockRate.
func (sim *simulation) clock(h *host) time.Duration {
	return time.Duration(float64(sim.now)*h.clockRate) + time.Second
}

// tick passes Tick events to a process until it ends.
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

// checkVersionInEffect records a violation if a daemon holds a configuration lease and has not
// applied a version that was reported to be in effect everywhere.
func (sim *simulation) checkVersionInEffect(h *host) {
	if h.node != nil && h.node.HasConfigLease() && h.node.Version() < sim.observed.inEffectVersion {
		sim.observed.addViolation("%s acts on version %d, but version %d is in effect",
			h.name, h.node.Version(), sim.observed.inEffectVersion)
	}
}

// handle passes an event to a host's node and executes its commands. A frozen host gets the
// event when it is no longer frozen.
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

// deliverReply passes an answer to the handler of its token, once.
func (sim *simulation) deliverReply(token uint64, command pimcore.Command) {
	reply := sim.replyHandlers[token]
	delete(sim.replyHandlers, token)
	if reply != nil {
		reply(command)
	}
}

// newReplyToken returns a token whose answer is passed to reply.
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

// persist stores a batch when its sync ends. Syncs of a host end in the order of their start.
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
	stored := h.storedGroups[c.Group]
	if stored == nil {
		stored = &pimconsensus.PersistentState{}
		h.storedGroups[c.Group] = stored
	}
	if c.Snapshot != nil && c.Snapshot.Index > stored.Snapshot.Index {
		covered := c.Snapshot.Index - stored.Snapshot.Index
		if covered <= uint64(len(stored.Entries)) && stored.Entries[covered-1].Term == c.Snapshot.Term {
			stored.Entries = slices.Clone(stored.Entries[covered:])
		} else {
			stored.Entries = nil
		}
		stored.Snapshot = *c.Snapshot
	}
	if c.Batch.HardState != nil {
		stored.HardState = *c.Batch.HardState
	}
	for _, entry := range c.Batch.Entries {
		if entry.Index > stored.Snapshot.Index {
			stored.Entries = append(stored.Entries[:entry.Index-stored.Snapshot.Index-1], entry)
		}
	}
}

// kill ends the process of a host. What was not synced is lost.
func (sim *simulation) kill(name string) { sim.hosts[name].node = nil }

// loseDisk ends the process of a host and replaces its disk by an empty one.
func (sim *simulation) loseDisk(name string) {
	h := sim.hosts[name]
	h.node = nil
	h.nonce++
	h.clusterID = ""
	h.storedGroups = map[string]*pimconsensus.PersistentState{}
	sim.replacing = true
	sim.awaitReplacement()
}

// awaitReplacement resets replacing when the cluster is healthy again.
func (sim *simulation) awaitReplacement() {
	sim.after(200*time.Millisecond, func() {
		if sim.isHealthy() {
			sim.replacing = false
			return
		}
		sim.awaitReplacement()
	})
}

// isolate cuts all links between the given hosts and the others, in both directions.
func (sim *simulation) isolate(names ...string) {
	sim.partition = func(from, to string) bool {
		return slices.Contains(names, from) != slices.Contains(names, to)
	}
}

// heal ends a partition.
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

// leader returns the first running host that leads a group, or "".
func (sim *simulation) leader(group string) string {
	for _, name := range sim.hostNames {
		if h := sim.hosts[name]; h.node != nil && !h.frozen && slices.Contains(h.node.LedGroups(), group) {
			return name
		}
	}
	return ""
}

// runningHosts returns the hosts with a running process that can be reached from the given
// failure domain, or from anywhere if it is empty.
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

// call sends a call to a group's leader through a host. reply gets the answer.
func (sim *simulation) call(
	name, group string, call pimmessage.Call, ttl time.Duration, reply func(pimcore.AnswerCall),
) {
	token := sim.newReplyToken(func(command pimcore.Command) { reply(command.(pimcore.AnswerCall)) })
	if sim.hosts[name].node == nil {
		return
	}
	sim.handle(sim.hosts[name], pimcore.CallReceived{Token: token, Group: group, Call: call, TTL: ttl})
}

// mustCall repeats a call through different running hosts until it is answered with a reply.
func (sim *simulation) mustCall(group string, call pimmessage.Call, limit time.Duration) pimmessage.Reply {
	sim.t.Helper()
	var reply pimmessage.Reply
	next := 0
	send := func() {
		hosts := sim.runningHosts("")
		next++
		sim.call(hosts[next%len(hosts)], group, call, 2*time.Second, func(a pimcore.AnswerCall) {
			if a.Reply != nil {
				reply = a.Reply
			}
		})
	}
	send()
	sentAt := sim.now
	sim.runUntil(fmt.Sprintf("an answer to %T", call), limit, func() bool {
		if reply == nil && sim.now-sentAt > 2100*time.Millisecond {
			sentAt = sim.now
			send()
		}
		return reply != nil
	})
	return reply
}
