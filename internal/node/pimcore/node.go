package pimcore

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
	"github.com/pimentoswitch/pimentoswitch/internal/route/pimrequest"
	"github.com/pimentoswitch/pimentoswitch/internal/route/pimslot"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
)

type (
	// Node is the decision core of one entry daemon.
	Node struct {
		config    Config
		clusterID string // empty until the node bootstraps or joins a cluster
		now       time.Duration
		startedAt time.Duration
		draining  bool

		groups        map[string]*group        // by group name
		state         *pimconfig.State         // the applied configuration
		domainLeaders map[string]*domainLeader // by failure domain; only those led by this node
		configLeader  *configLeader            // nil unless this node leads the configuration group

		peers             map[string]*peer                // by member id
		membersByName     map[string]pimconfig.Member     // by daemon name, from gossip
		announcements     map[string]receivedAnnouncement // by endpoint id
		router            *pimrequest.Router
		calls             map[uint64]*pendingCall // by call id
		slotCallIDs       map[string]uint64       // AcquireSlot calls, by attempt
		lastCallID        uint64
		lastRequestNumber uint64

		nextGossipAt    time.Duration
		nextReconcileAt time.Duration
		nextJoinAt      time.Duration
		commands        []Command
	}

	// peer is the last gossip message of another daemon and its arrival time.
	peer struct {
		gossip   pimmessage.Gossip
		lastSeen time.Duration
	}

	// receivedAnnouncement is an endpoint's last announcement that came through this
	// daemon. New leaders of domain groups rebuild their endpoint table from these.
	receivedAnnouncement struct {
		announcement pimslot.Announcement
		receivedAt   time.Duration
	}
)

// NewNode returns a node that continues from the groups stored in its data folder. It fails
// if a stored snapshot can't be decoded.
func NewNode(config Config, now time.Duration) (*Node, error) {
	n := &Node{
		config:        config,
		clusterID:     config.ClusterID,
		now:           now,
		startedAt:     now,
		groups:        map[string]*group{},
		domainLeaders: map[string]*domainLeader{},
		peers:         map[string]*peer{},
		membersByName: map[string]pimconfig.Member{},
		announcements: map[string]receivedAnnouncement{},
		router:        pimrequest.NewRouter(fmt.Sprintf("%s-%x", config.Member.Name, config.BootID)),
		calls:         map[uint64]*pendingCall{},
		slotCallIDs:   map[string]uint64{},
	}
	n.state = pimconfig.NewState(config.ClusterID, nil)
	for _, name := range slices.Sorted(maps.Keys(config.StoredGroups)) {
		if err := n.openGroup(name, config.StoredGroups[name]); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// Take returns the commands emitted since the last call, in the order to execute them.
func (n *Node) Take() []Command {
	commands := n.commands
	n.commands = nil
	return commands
}

func (n *Node) emit(command Command) { n.commands = append(n.commands, command) }

func (n *Node) logEvent(group, event, detail string) {
	n.emit(LogEvent{Group: group, Event: event, Detail: detail})
}

// Handle processes one event. Its commands are returned by Take.
func (n *Node) Handle(now time.Duration, event Event) {
	n.now = max(n.now, now)
	switch e := event.(type) {
	case Tick:
		n.tick()
	case PeerReceived:
		n.onPeer(e)
	case Persisted:
		if g := n.groups[e.Group]; g != nil {
			g.replica.Persisted(n.now, e.Index, e.Term)
		}
	case RequestReceived:
		n.onRequest(e)
	case StatusRequested:
		n.emit(AnswerStatus{Token: e.Token, Status: n.Status()})
	case AttemptEnded:
		n.router.OnResult(n.now, e.Result)
	case CallReceived:
		n.startCall(e.Group, e.Call, e.TTL, externalOrigin{token: e.Token})
	case Drain:
		n.drain()
	}
	n.processOutputs()
}

func (n *Node) tick() {
	for _, name := range n.groupNames() {
		n.groups[name].replica.Tick(n.now)
	}
	n.processOutputs()
	n.tickCalls()
	n.router.Tick(n.now)
	n.tickLeaders()
	if n.now >= n.nextGossipAt {
		n.nextGossipAt = n.now + GossipInterval
		n.gossip()
	}
	if n.clusterID == "" {
		n.tickWithoutCluster()
	} else if n.now >= n.nextReconcileAt {
		n.nextReconcileAt = n.now + reconcileInterval
		n.reconcileMembers()
	}
}

func (n *Node) groupNames() []string { return slices.Sorted(maps.Keys(n.groups)) }

// processOutputs passes outputs of the groups, the router and the slot tables on to each
// other until none are left, in at most 100 rounds.
func (n *Node) processOutputs() {
	for range 100 {
		progressed := n.processGroupOutputs()
		progressed = n.processRouterActions() || progressed
		progressed = n.deliverSlotReplies() || progressed
		if !progressed {
			return
		}
	}
}

// onPeer handles a message of another daemon. It drops a message to another member id, such as
// the one that this host had before it lost its disk.
func (n *Node) onPeer(e PeerReceived) {
	if e.To != "" && e.To != n.config.Member.ID {
		return
	}
	switch m := e.Message.(type) {
	case pimmessage.Gossip:
		n.onGossip(m)
	case pimmessage.Consensus:
		n.onConsensus(e.From, m)
	case pimmessage.CallRequest:
		n.onCallRequest(e.From, m)
	case pimmessage.CallReply:
		n.onCallReply(e.From, m)
	case pimmessage.CreditLedgerQuery:
		n.onCreditLedgerQuery(e.From, m)
	case pimmessage.CreditLedgerReply:
		n.onCreditLedgerReply(e.From, m)
	}
}

// send sends a message to a member. It is dropped if the member's address is unknown.
func (n *Node) send(to string, message pimmessage.PeerMessage) {
	if address := n.addressOf(to); address != "" {
		n.emit(SendPeer{Address: address, To: to, Message: message})
	}
}

func (n *Node) addressOf(id string) string {
	if member, ok := n.state.Members[id]; ok {
		return member.PeerAddress
	}
	if p := n.peers[id]; p != nil {
		return p.gossip.Member.PeerAddress
	}
	return ""
}

// isReachable reports whether the last gossip message of a daemon is at most PeerTimeout old.
func (n *Node) isReachable(id string) bool {
	p := n.peers[id]
	return id == n.config.Member.ID || (p != nil && n.now-p.lastSeen <= PeerTimeout)
}

// configAge returns the time since the applied configuration was last known to be current.
// It exceeds ConfigLease if that was never known.
func (n *Node) configAge() time.Duration {
	age := n.now - n.startedAt
	if g := n.groups[ConfigGroup]; g != nil {
		if asOf, ok := g.replica.CurrentAsOf(n.now); ok {
			return n.now - asOf
		}
	}
	return max(age, ConfigLease+time.Nanosecond)
}

// HasConfigLease reports whether the applied configuration was current within the last ConfigLease.
func (n *Node) HasConfigLease() bool { return n.configAge() <= ConfigLease }

// Version returns the version of the applied configuration: the index of its last log entry.
func (n *Node) Version() uint64 { return n.state.Version }

// hasSeenCurrentConfig reports whether the configuration was current at any time since the
// start. Until then a restarted daemon does not act on its stored configuration, which may
// be outdated. A daemon that is still cut off after startupGracePeriod uses it anyway.
func (n *Node) hasSeenCurrentConfig() bool {
	if n.now-n.startedAt >= startupGracePeriod {
		return true
	}
	g := n.groups[ConfigGroup]
	if g == nil {
		return false
	}
	_, ok := g.replica.CurrentAsOf(n.now)
	return ok
}

// mayContinueBatch reports whether batch tasks may continue: during startupGracePeriod, and
// until BatchGracePeriod after the configuration was last known to be current.
func (n *Node) mayContinueBatch() bool {
	if n.now-n.startedAt < startupGracePeriod {
		return true
	}
	return n.configAge() <= n.config.BatchGracePeriod
}

// domainOfGroup returns the failure domain of a domain group, and false for any other group.
func domainOfGroup(name string) (string, bool) {
	domain, ok := strings.CutPrefix(name, domainGroupPrefix)
	if !ok {
		return "", false
	}
	return domain, true
}
