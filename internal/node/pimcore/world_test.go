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
		t             testing.TB
		now           time.Duration
		random        *rand.Rand
		queue         eventQueue
		sequence      uint64
		names         []string
		hosts         map[string]*host
		founders      []pimcore.InitialMember
		isLinkCut     func(from, to string) bool
		replacing     bool
		lossRate      float64
		duplicateRate float64
		extraDelay    time.Duration
		onCommand     func(h *host, command pimcore.Command)
		replyHandlers map[uint64]func(command pimcore.Command)
		lastToken     uint64
		endpoints     map[string]*fakeEndpoint
		workers       map[string]*fakeWorker
		observed      *observations
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

	scheduled struct {
		at       time.Duration
		sequence uint64
		run      func()
	}

	eventQueue []scheduled
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

func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduled)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newSimulation starts two daemons in each of three failure domains and waits for leaders.
func newSimulation(t testing.TB, seed uint64) *simulation { return newSimulationWith(t, seed, nil) }

// newSimulationWith is newWorld with something done before the daemons start.
func newSimulationWith(t testing.TB, seed uint64, before func(w *simulation)) *simulation {
	w := &simulation{
		t:             t,
		random:        rand.New(rand.NewPCG(seed, seed)),
		hosts:         map[string]*host{},
		replyHandlers: map[uint64]func(pimcore.Command){},
		endpoints:     map[string]*fakeEndpoint{},
		workers:       map[string]*fakeWorker{},
		observed:      newRecord(),
	}
	for _, domain := range []string{"north", "south", "west"} {
		for i := range 2 {
			name := fmt.Sprintf("%s-%d", domain, i+1)
			w.names = append(w.names, name)
			w.founders = append(w.founders, pimcore.InitialMember{Name: name, Domain: domain, PeerAddress: name})
			w.hosts[name] = &host{name: name, domain: domain, storedGroups: map[string]*pimconsensus.PersistentState{}, clockRate: 1}
		}
	}
	if before != nil {
		before(w)
	}
	for _, name := range w.names {
		w.start(name)
	}
	w.run(3 * time.Second)
	return w
}

func (w *simulation) after(delay time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.queue, scheduled{at: w.now + delay, sequence: w.sequence, run: run})
}

// run lets virtual time pass.
func (w *simulation) run(span time.Duration) {
	end := w.now + span
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(scheduled)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// runUntil lets time pass until the condition holds, and fails after the limit.
func (w *simulation) runUntil(what string, limit time.Duration, condition func() bool) time.Duration {
	w.t.Helper()
	started := w.now
	for w.now-started < limit {
		if condition() {
			return w.now - started
		}
		w.run(20 * time.Millisecond)
	}
	if !condition() {
		w.logState()
	}
	assert.Assert(w.t, condition(), "not within %s: %s", limit, what)
	return w.now - started
}

func (w *simulation) start(name string) {
	h := w.hosts[name]
	h.boot = w.random.Uint64() >> 1
	saved := map[string]pimconsensus.PersistentState{}
	for group, s := range h.storedGroups {
		copied := *s
		copied.Entries = slices.Clone(s.Entries)
		saved[group] = copied
	}
	node, err := pimcore.NewNode(pimcore.Config{
		Member:           w.member(h),
		ClusterID:        h.clusterID,
		InitialMembers:   w.founders,
		StoredGroups:     saved,
		BootID:           h.boot,
		Seed:             h.boot,
		BatchGracePeriod: time.Minute,
		ReplaceAfter:     10 * time.Second,
		JournalRetention: time.Hour,
		Policy:           pimplace.PolicyInterference,
	}, w.clock(h))
	assert.NilError(w.t, err)
	h.node = node
	w.tick(h, node)
}

func (w *simulation) member(h *host) pimconfig.Member {
	return pimconfig.Member{
		ID: fmt.Sprintf("%s#%d", h.name, h.nonce), Name: h.name, Domain: h.domain, PeerAddress: h.name, HTTPAddress: h.name,
	}
}

// clock is a host's own monotonic clock, which may run at another rate.
func (w *simulation) clock(h *host) time.Duration {
	return time.Duration(float64(w.now)*h.clockRate) + time.Second
}

func (w *simulation) tick(h *host, node *pimcore.Node) {
	if h.node != node {
		return
	}
	if !h.frozen {
		w.handle(h, pimcore.Tick{})
		w.checkVersionInEffect(h)
	}
	w.after(pimcore.TickInterval, func() { w.tick(h, node) })
}

// checkVersionInEffect checks that a daemon which counts its configuration as current has what
// is in force everywhere.
func (w *simulation) checkVersionInEffect(h *host) {
	if h.node != nil && h.node.HasConfigLease() && h.node.Version() < w.observed.inEffectVersion {
		w.observed.addViolation("%s acts on version %d, %d is in force", h.name, h.node.Version(), w.observed.inEffectVersion)
	}
}

func (w *simulation) handle(h *host, event pimcore.Event) {
	if h.node == nil {
		return
	}
	if h.frozen {
		node := h.node
		w.after(pimcore.TickInterval, func() {
			if h.node == node {
				w.handle(h, event)
			}
		})
		return
	}
	h.node.Handle(w.clock(h), event)
	for h.node != nil {
		commands := h.node.Take()
		if len(commands) == 0 {
			return
		}
		for _, command := range commands {
			w.execute(h, command)
		}
	}
}

func (w *simulation) execute(h *host, command pimcore.Command) {
	if w.onCommand != nil {
		w.onCommand(h, command)
	}
	if h.node == nil {
		return
	}
	switch c := command.(type) {
	case pimcore.SendPeer:
		w.sendPeer(h, c)
	case pimcore.Persist:
		w.persist(h, c)
	case pimcore.SaveIdentity:
		h.clusterID = c.ClusterID
	case pimcore.SendEndpoint:
		w.sendEndpoint(h, c.Attempt)
	case pimcore.AnswerRequest:
		w.deliverReply(c.Token, c)
	case pimcore.AnswerCall:
		w.deliverReply(c.Token, c)
	}
}

func (w *simulation) deliverReply(token uint64, command pimcore.Command) {
	reply := w.replyHandlers[token]
	delete(w.replyHandlers, token)
	if reply != nil {
		reply(command)
	}
}

func (w *simulation) newReplyToken(reply func(command pimcore.Command)) uint64 {
	w.lastToken++
	w.replyHandlers[w.lastToken] = reply
	return w.lastToken
}

func (w *simulation) delay() time.Duration {
	return linkDelay + w.extraDelay + time.Duration(w.random.Int64N(int64(linkJitter)+int64(w.extraDelay)))
}

func (w *simulation) isCut(from, to string) bool { return w.isLinkCut != nil && w.isLinkCut(from, to) }

func (w *simulation) sendPeer(from *host, c pimcore.SendPeer) {
	id := w.member(from).ID
	deliver := func() {
		to := w.hosts[c.Address]
		if to != nil && !w.isCut(from.name, to.name) {
			w.handle(to, pimcore.PeerReceived{From: id, To: c.To, Message: c.Message})
		}
	}
	if w.lossRate > 0 && w.random.Float64() < w.lossRate {
		return
	}
	w.after(w.delay(), deliver)
	if w.duplicateRate > 0 && w.random.Float64() < w.duplicateRate {
		w.after(w.delay()+w.delay(), deliver)
	}
}

func (w *simulation) persist(h *host, c pimcore.Persist) {
	node := h.node
	h.lastSyncEnd = max(w.now+syncDelay+h.extraSyncDelay, h.lastSyncEnd)
	w.after(h.lastSyncEnd-w.now, func() {
		if h.node != node || h.diskFails {
			return
		}
		h.store(c)
		for _, send := range c.SendAfterSync {
			w.sendPeer(h, send)
		}
		if c.Index > 0 {
			w.handle(h, pimcore.Persisted{Group: c.Group, Index: c.Index, Term: c.Term})
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
func (w *simulation) kill(name string) { w.hosts[name].node = nil }

// loseDisk ends a process and loses its disk.
func (w *simulation) loseDisk(name string) {
	h := w.hosts[name]
	h.node = nil
	h.nonce++
	h.clusterID = ""
	h.storedGroups = map[string]*pimconsensus.PersistentState{}
	w.replacing = true
	w.awaitReplacement()
}

// awaitReplacement notes when every group has its wanted voters again.
func (w *simulation) awaitReplacement() {
	w.after(200*time.Millisecond, func() {
		if w.isHealthy() {
			w.replacing = false
			return
		}
		w.awaitReplacement()
	})
}

// isolate cuts the given hosts off from all others, in both directions.
func (w *simulation) isolate(names ...string) {
	w.isLinkCut = func(from, to string) bool {
		return slices.Contains(names, from) != slices.Contains(names, to)
	}
}

func (w *simulation) heal() { w.isLinkCut = nil }

func (w *simulation) domainHosts(domain string) []string {
	var names []string
	for _, name := range w.names {
		if w.hosts[name].domain == domain {
			names = append(names, name)
		}
	}
	return names
}

// leader returns the host that leads a group with a lease, or "".
func (w *simulation) leader(group string) string {
	for _, name := range w.names {
		if h := w.hosts[name]; h.node != nil && !h.frozen && slices.Contains(h.node.LedGroups(), group) {
			return name
		}
	}
	return ""
}

// runningHosts returns the hosts with a process that the given failure domain can reach.
func (w *simulation) runningHosts(domain string) []string {
	var names []string
	for _, name := range w.names {
		h := w.hosts[name]
		if h.node != nil && !h.frozen && (domain == "" || !w.isCut(w.domainHosts(domain)[0], name)) {
			names = append(names, name)
		}
	}
	return names
}

// callThrough asks the group's leader through a host and returns a place for the answer.
func (w *simulation) callThrough(name, group string, call pimmessage.Call, ttl time.Duration, reply func(pimcore.AnswerCall)) {
	token := w.newReplyToken(func(command pimcore.Command) { reply(command.(pimcore.AnswerCall)) })
	if w.hosts[name].node == nil {
		return
	}
	w.handle(w.hosts[name], pimcore.CallReceived{Token: token, Group: group, Call: call, TTL: ttl})
}

// mustCall asks through a living host until a whole answer comes.
func (w *simulation) mustCall(group string, call pimmessage.Call, limit time.Duration) pimmessage.Reply {
	w.t.Helper()
	var reply pimmessage.Reply
	next := 0
	ask := func() {
		living := w.runningHosts("")
		next++
		w.callThrough(living[next%len(living)], group, call, 2*time.Second, func(a pimcore.AnswerCall) {
			if a.Reply != nil {
				reply = a.Reply
			}
		})
	}
	ask()
	asked := w.now
	w.runUntil(fmt.Sprintf("an answer to %T", call), limit, func() bool {
		if reply == nil && w.now-asked > 2100*time.Millisecond {
			asked = w.now
			ask()
		}
		return reply != nil
	})
	return reply
}
