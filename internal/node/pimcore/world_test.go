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
	// world runs nodes with fakes for the network, the disks, the endpoints, the
	// workers and the callers, in virtual time and in an order that the seed decides.
	world struct {
		t         testing.TB
		now       time.Duration
		random    *rand.Rand
		queue     eventQueue
		sequence  uint64
		names     []string
		hosts     map[string]*host
		founders  []pimcore.InitialMember
		cut       func(from, to string) bool
		replacing bool
		lose      float64
		repeat    float64
		slow      time.Duration
		onCommand func(h *host, command pimcore.Command)
		tokens    map[uint64]func(command pimcore.Command)
		lastToken uint64
		endpoints map[string]*fakeEndpoint
		workers   map[string]*fakeWorker
		record    *record
	}

	// host is one entry host: its process may die, its disk may be lost.
	host struct {
		name      string
		domain    string
		nonce     int
		boot      uint64
		clusterID string
		node      *pimcore.Node
		disk      map[string]*pimconsensus.PersistentState
		diskFails bool
		frozen    bool
		syncTime  time.Duration
		syncedAt  time.Duration
		clockRate float64
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

// newWorld starts two daemons in each of three failure domains and waits for leaders.
func newWorld(t testing.TB, seed uint64) *world { return newWorldWith(t, seed, nil) }

// newWorldWith is newWorld with something done before the daemons start.
func newWorldWith(t testing.TB, seed uint64, before func(w *world)) *world {
	w := &world{
		t:         t,
		random:    rand.New(rand.NewPCG(seed, seed)),
		hosts:     map[string]*host{},
		tokens:    map[uint64]func(pimcore.Command){},
		endpoints: map[string]*fakeEndpoint{},
		workers:   map[string]*fakeWorker{},
		record:    newRecord(),
	}
	for _, domain := range []string{"north", "south", "west"} {
		for i := range 2 {
			name := fmt.Sprintf("%s-%d", domain, i+1)
			w.names = append(w.names, name)
			w.founders = append(w.founders, pimcore.InitialMember{Name: name, Domain: domain, PeerAddress: name})
			w.hosts[name] = &host{name: name, domain: domain, disk: map[string]*pimconsensus.PersistentState{}, clockRate: 1}
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

func (w *world) after(delay time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.queue, scheduled{at: w.now + delay, sequence: w.sequence, run: run})
}

// run lets virtual time pass.
func (w *world) run(span time.Duration) {
	end := w.now + span
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(scheduled)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// runUntil lets time pass until the condition holds, and fails after the limit.
func (w *world) runUntil(what string, limit time.Duration, condition func() bool) time.Duration {
	w.t.Helper()
	started := w.now
	for w.now-started < limit {
		if condition() {
			return w.now - started
		}
		w.run(20 * time.Millisecond)
	}
	if !condition() {
		w.describe()
	}
	assert.Assert(w.t, condition(), "not within %s: %s", limit, what)
	return w.now - started
}

func (w *world) start(name string) {
	h := w.hosts[name]
	h.boot = w.random.Uint64() >> 1
	saved := map[string]pimconsensus.PersistentState{}
	for group, s := range h.disk {
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

func (w *world) member(h *host) pimconfig.Member {
	return pimconfig.Member{
		ID: fmt.Sprintf("%s#%d", h.name, h.nonce), Name: h.name, Domain: h.domain, PeerAddress: h.name, HTTPAddress: h.name,
	}
}

// clock is a host's own monotonic clock, which may run at another rate.
func (w *world) clock(h *host) time.Duration {
	return time.Duration(float64(w.now)*h.clockRate) + time.Second
}

func (w *world) tick(h *host, node *pimcore.Node) {
	if h.node != node {
		return
	}
	if !h.frozen {
		w.handle(h, pimcore.Tick{})
		w.checkForce(h)
	}
	w.after(pimcore.TickInterval, func() { w.tick(h, node) })
}

// checkForce checks that a daemon which counts its configuration as current has what
// is in force everywhere.
func (w *world) checkForce(h *host) {
	if h.node != nil && h.node.HasConfigLease() && h.node.Version() < w.record.forced {
		w.record.violate("%s acts on version %d, %d is in force", h.name, h.node.Version(), w.record.forced)
	}
}

func (w *world) handle(h *host, event pimcore.Event) {
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
			w.carryOut(h, command)
		}
	}
}

func (w *world) carryOut(h *host, command pimcore.Command) {
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
		w.reply(c.Token, c)
	case pimcore.AnswerCall:
		w.reply(c.Token, c)
	}
}

func (w *world) reply(token uint64, command pimcore.Command) {
	reply := w.tokens[token]
	delete(w.tokens, token)
	if reply != nil {
		reply(command)
	}
}

func (w *world) token(reply func(command pimcore.Command)) uint64 {
	w.lastToken++
	w.tokens[w.lastToken] = reply
	return w.lastToken
}

func (w *world) delay() time.Duration {
	return linkDelay + w.slow + time.Duration(w.random.Int64N(int64(linkJitter)+int64(w.slow)))
}

func (w *world) isCut(from, to string) bool { return w.cut != nil && w.cut(from, to) }

func (w *world) sendPeer(from *host, c pimcore.SendPeer) {
	id := w.member(from).ID
	deliver := func() {
		to := w.hosts[c.Address]
		if to != nil && !w.isCut(from.name, to.name) {
			w.handle(to, pimcore.PeerReceived{From: id, To: c.To, Message: c.Message})
		}
	}
	if w.lose > 0 && w.random.Float64() < w.lose {
		return
	}
	w.after(w.delay(), deliver)
	if w.repeat > 0 && w.random.Float64() < w.repeat {
		w.after(w.delay()+w.delay(), deliver)
	}
}

func (w *world) persist(h *host, c pimcore.Persist) {
	node := h.node
	h.syncedAt = max(w.now+syncDelay+h.syncTime, h.syncedAt)
	w.after(h.syncedAt-w.now, func() {
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
	saved := h.disk[c.Group]
	if saved == nil {
		saved = &pimconsensus.PersistentState{}
		h.disk[c.Group] = saved
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
func (w *world) kill(name string) { w.hosts[name].node = nil }

// wipe ends a process and loses its disk.
func (w *world) wipe(name string) {
	h := w.hosts[name]
	h.node = nil
	h.nonce++
	h.clusterID = ""
	h.disk = map[string]*pimconsensus.PersistentState{}
	w.replacing = true
	w.watchReplacement()
}

// watchReplacement notes when every group has its wanted voters again.
func (w *world) watchReplacement() {
	w.after(200*time.Millisecond, func() {
		if w.isWhole() {
			w.replacing = false
			return
		}
		w.watchReplacement()
	})
}

// isolate cuts the given hosts off from all others, in both directions.
func (w *world) isolate(names ...string) {
	w.cut = func(from, to string) bool {
		return slices.Contains(names, from) != slices.Contains(names, to)
	}
}

func (w *world) heal() { w.cut = nil }

func (w *world) domainHosts(domain string) []string {
	var names []string
	for _, name := range w.names {
		if w.hosts[name].domain == domain {
			names = append(names, name)
		}
	}
	return names
}

// leader returns the host that leads a group with a lease, or "".
func (w *world) leader(group string) string {
	for _, name := range w.names {
		if h := w.hosts[name]; h.node != nil && !h.frozen && slices.Contains(h.node.LedGroups(), group) {
			return name
		}
	}
	return ""
}

// living returns the hosts with a process that the given failure domain can reach.
func (w *world) living(domain string) []string {
	var names []string
	for _, name := range w.names {
		h := w.hosts[name]
		if h.node != nil && !h.frozen && (domain == "" || !w.isCut(w.domainHosts(domain)[0], name)) {
			names = append(names, name)
		}
	}
	return names
}

// call asks the group's leader through a host and returns a place for the answer.
func (w *world) call(name, group string, call pimmessage.Call, ttl time.Duration, reply func(pimcore.AnswerCall)) {
	token := w.token(func(command pimcore.Command) { reply(command.(pimcore.AnswerCall)) })
	if w.hosts[name].node == nil {
		return
	}
	w.handle(w.hosts[name], pimcore.CallReceived{Token: token, Group: group, Call: call, TTL: ttl})
}

// mustCall asks through a living host until a whole answer comes.
func (w *world) mustCall(group string, call pimmessage.Call, limit time.Duration) pimmessage.Reply {
	w.t.Helper()
	var reply pimmessage.Reply
	next := 0
	ask := func() {
		living := w.living("")
		next++
		w.call(living[next%len(living)], group, call, 2*time.Second, func(a pimcore.AnswerCall) {
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
