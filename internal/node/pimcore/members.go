package pimcore

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strings"

	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconsensus"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimlog"
)

// gossip sends the known group leaders and the state of this daemon to all other daemons.
// A draining node also retries to hand over leadership.
func (n *Node) gossip() {
	message := pimmessage.Gossip{
		Member:    n.config.Member,
		ClusterID: n.clusterID,
		Leaders:   map[string]pimmessage.LeaderHint{},
		Version:   n.state.Version,
		Draining:  n.draining,
	}
	for name, g := range n.groups {
		if g.replica.LeaderID() != "" {
			message.Leaders[name] = pimmessage.LeaderHint{ID: g.replica.LeaderID(), Term: g.replica.Term()}
		}
	}
	for _, address := range n.gossipAddresses() {
		n.emit(SendPeer{Address: address, Message: message})
	}
	if n.draining {
		n.transferLeadership()
	}
}

// gossipAddresses returns the peer addresses of all members, or of the initial members and
// seeds while no members are known.
func (n *Node) gossipAddresses() []string {
	addresses := map[string]bool{}
	for _, member := range n.state.Members {
		addresses[member.PeerAddress] = true
	}
	if len(n.state.Members) == 0 {
		for _, initial := range n.config.InitialMembers {
			addresses[initial.PeerAddress] = true
		}
		for _, seed := range n.config.Seeds {
			addresses[seed] = true
		}
	}
	delete(addresses, n.config.Member.PeerAddress)
	return slices.Sorted(maps.Keys(addresses))
}

// onGossip records a gossip message. A daemon without a cluster gets this node's cluster id
// in return: it is no member, so gossip sends it no other message.
func (n *Node) onGossip(m pimmessage.Gossip) {
	if m.ClusterID != "" && n.clusterID != "" && m.ClusterID != n.clusterID {
		n.logEvent("", "foreign-cluster", m.Member.ID)
		return
	}
	n.peers[m.Member.ID] = &peer{gossip: m, lastSeen: n.now}
	n.membersByName[m.Member.Name] = m.Member
	_, known := n.state.Members[m.Member.ID]
	if n.clusterID != "" && !known && m.ClusterID == "" {
		n.emit(SendPeer{Address: m.Member.PeerAddress, Message: pimmessage.Gossip{
			Member: n.config.Member, ClusterID: n.clusterID, Leaders: map[string]pimmessage.LeaderHint{},
		}})
	}
}

// tickWithoutCluster bootstraps a cluster with all initial members, or joins a running one.
//
// The cluster id is a digest of the initial members' ids, and each id contains a nonce of
// its data folder. A daemon bootstraps only when it knows the ids of all initial members and
// no peer has another cluster id. So a host that lost its disk joins the running cluster and
// never bootstraps a second one.
func (n *Node) tickWithoutCluster() {
	cluster, contact := n.knownCluster()
	members := n.initialMembers()
	if len(members) > 0 {
		id := clusterIDOf(members)
		if cluster == "" || cluster == id {
			n.bootstrapCluster(id, members)
			return
		}
	}
	waitsForBootstrap := len(n.config.InitialMembers) > 0 && n.now-n.startedAt < joinDelay
	if contact == "" || waitsForBootstrap || n.now < n.nextJoinAt {
		return
	}
	n.nextJoinAt = n.now + joinInterval
	body, err := pimmessage.Encode(pimmessage.Join{Member: n.config.Member})
	if err != nil {
		return
	}
	n.lastCallID++
	n.calls[n.lastCallID] = &pendingCall{
		id: n.lastCallID, group: ConfigGroup, origin: noOrigin{},
		deadline: n.now + joinInterval, retryAt: n.now + joinInterval,
	}
	n.emit(SendPeer{Address: contact, Message: pimmessage.CallRequest{ID: n.lastCallID, Group: ConfigGroup, Body: body}})
}

// knownCluster returns a cluster id received by gossip at any time since the start, and the
// address of a reachable member. Either is empty if there is none.
func (n *Node) knownCluster() (string, string) {
	cluster, contact := "", ""
	for _, id := range slices.Sorted(maps.Keys(n.peers)) {
		p := n.peers[id]
		if p.gossip.ClusterID == "" {
			continue
		}
		cluster = p.gossip.ClusterID
		if n.isReachable(id) {
			contact = p.gossip.Member.PeerAddress
		}
	}
	return cluster, contact
}

// initialMembers returns all initial members, sorted by id, or none while the id of any of
// them is unknown.
func (n *Node) initialMembers() []pimconfig.Member {
	var members []pimconfig.Member
	for _, initial := range n.config.InitialMembers {
		member, ok := n.membersByName[initial.Name]
		if initial.Name == n.config.Member.Name {
			member, ok = n.config.Member, true
		}
		if !ok || member.Domain != initial.Domain {
			return nil
		}
		members = append(members, member)
	}
	slices.SortFunc(members, func(a, b pimconfig.Member) int { return strings.Compare(a.ID, b.ID) })
	return members
}

// clusterIDOf returns a digest of the sorted members' ids.
func clusterIDOf(members []pimconfig.Member) string {
	hash := sha256.New()
	for _, member := range members {
		hash.Write([]byte(member.ID + "\n"))
	}
	return hex.EncodeToString(hash.Sum(nil))[:16]
}

// bootstrapCluster creates the first snapshots of the groups. All initial members compute the
// same snapshots from the same member list.
func (n *Node) bootstrapCluster(id string, members []pimconfig.Member) {
	n.adoptCluster(id)
	state := pimconfig.NewState(id, members)
	data, err := state.Snapshot()
	if err != nil {
		n.logEvent("", "founding-failed", err.Error())
		return
	}
	all := func(string) bool { return true }
	n.bootstrapGroup(ConfigGroup, chooseConfigVoters(state, nil, all), data)
	for _, domain := range state.Domains() {
		n.bootstrapGroup(DomainGroup(domain), chooseDomainVoters(state, domain, nil, all), nil)
	}
}

// bootstrapGroup opens a group with its first snapshot. Daemons that are not voters open only
// the configuration group.
func (n *Node) bootstrapGroup(name string, voters []string, data []byte) {
	snapshot := pimconsensus.BootstrapSnapshot(voters)
	snapshot.Data = data
	isVoter := slices.Contains(voters, n.config.Member.ID)
	if !isVoter && name != ConfigGroup {
		return
	}
	if err := n.openGroup(name, pimconsensus.PersistentState{Snapshot: snapshot}); err != nil {
		n.logEvent(name, "founding-failed", err.Error())
		return
	}
	n.emit(Persist{Group: name, Batch: pimlog.Batch{}, Snapshot: &snapshot})
}

func (n *Node) adoptCluster(id string) {
	n.clusterID = id
	n.emit(SaveIdentity{ClusterID: id})
	n.logEvent("", "cluster", id)
}

// rememberJoiningMember records the address of a daemon that is not a member yet, so that its
// call can be answered.
func (n *Node) rememberJoiningMember(join pimmessage.Join) {
	if n.peers[join.Member.ID] == nil {
		n.peers[join.Member.ID] = &peer{gossip: pimmessage.Gossip{Member: join.Member}, lastSeen: n.now}
	}
}
