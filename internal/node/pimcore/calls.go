package pimcore

import (
	"maps"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
	"github.com/pimentoswitch/pimentoswitch/internal/route/pimslot"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimdomain"
)

type (
	// origin identifies what started a call and receives its reply.
	origin interface{ isOrigin() }

	// externalOrigin is a CallReceived event.
	externalOrigin struct{ token uint64 }

	// journalOrigin is a router's BeginJournal action with this PendingID.
	journalOrigin struct{ pendingID uint64 }

	// slotOrigin is a router's AcquireSlot action.
	slotOrigin struct {
		domain  string
		attempt string
	}

	// forwardOrigin is a call forwarded for another daemon, which knows it as id.
	forwardOrigin struct {
		from string
		id   uint64
	}

	// noOrigin is used for calls whose reply is ignored.
	noOrigin struct{}

	// pendingCall is a call to a group's leader that has no reply yet. It is resent when
	// the leader changes or does not answer; every call is idempotent.
	pendingCall struct {
		id       uint64
		group    string
		call     pimmessage.Call
		origin   origin
		deadline time.Duration
		retryAt  time.Duration
		sentTo   pimmessage.LeaderHint
	}
)

func (externalOrigin) isOrigin() {}
func (journalOrigin) isOrigin()  {}
func (slotOrigin) isOrigin()     {}
func (forwardOrigin) isOrigin()  {}
func (noOrigin) isOrigin()       {}

// startCall sends a call to the leader of a group. It is retried until it has a reply or ttl
// has passed. An endpoint's announcement is kept for the next leader's recovery.
func (n *Node) startCall(group string, call pimmessage.Call, ttl time.Duration, from origin) {
	if announce, ok := call.(pimmessage.Announce); ok {
		n.announcements[announce.Announcement.ID] = receivedAnnouncement{
			announcement: announce.Announcement, receivedAt: n.now,
		}
	}
	n.lastCallID++
	c := &pendingCall{id: n.lastCallID, group: group, call: call, origin: from, deadline: n.now + ttl}
	n.calls[c.id] = c
	if slot, ok := from.(slotOrigin); ok {
		n.slotCallIDs[slot.attempt] = c.id
	}
	n.sendCall(c)
}

// sendCall sends a call to the leader of its group, or handles it here if this node leads.
func (n *Node) sendCall(c *pendingCall) {
	c.retryAt = n.now + callResendInterval
	hint := n.leaderOf(c.group)
	c.sentTo = hint
	switch {
	case hint.ID == "":
		c.retryAt = n.now + callRetryDelay
	case hint.ID == n.config.Member.ID:
		n.handleCall(n.config.Member.ID, c.id, c.group, c.call)
	default:
		body, err := pimmessage.Encode(c.call)
		if err != nil {
			n.completeCall(c.id, pimcode.Of(err), err.Error(), nil)
			return
		}
		n.send(hint.ID, pimmessage.CallRequest{ID: c.id, Group: c.group, Body: body})
	}
}

// leaderOf returns the known leader of a group with the highest term, from this node's
// replica and from the gossip of reachable daemons. Its ID is empty if none is known.
func (n *Node) leaderOf(group string) pimmessage.LeaderHint {
	best := pimmessage.LeaderHint{}
	if g := n.groups[group]; g != nil && g.replica.LeaderID() != "" {
		best = pimmessage.LeaderHint{ID: g.replica.LeaderID(), Term: g.replica.Term()}
	}
	for _, p := range n.peers {
		hint := p.gossip.Leaders[group]
		if n.now-p.lastSeen <= PeerTimeout && hint.ID != "" && hint.Term > best.Term {
			best = hint
		}
	}
	return best
}

func (n *Node) tickCalls() {
	for _, id := range slices.Sorted(maps.Keys(n.calls)) {
		c := n.calls[id]
		switch {
		case c == nil:
		case n.now >= c.deadline:
			n.completeCall(id, n.timeoutCode(c), "the leader of "+c.group+" did not answer", nil)
		case n.now >= c.retryAt || n.leaderChanged(c):
			n.sendCall(c)
		}
	}
}

func (n *Node) timeoutCode(c *pendingCall) pimcode.Code {
	if n.leaderOf(c.group).ID == "" {
		return pimcode.NoLeader
	}
	return pimcode.CallTimeout
}

func (n *Node) leaderChanged(c *pendingCall) bool {
	hint := n.leaderOf(c.group)
	return hint.ID != "" && hint != c.sentTo && hint.Term > c.sentTo.Term
}

// onCallRequest handles a call of another daemon. A Join is forwarded to the leader, since a
// joining daemon knows only one member.
func (n *Node) onCallRequest(from string, m pimmessage.CallRequest) {
	call, err := pimmessage.DecodeCall(m.Body)
	if err != nil {
		n.respondError(from, m.ID, pimcode.Of(err), err.Error())
		return
	}
	if join, ok := call.(pimmessage.Join); ok {
		n.rememberJoiningMember(join)
		if n.leaderOf(ConfigGroup).ID != n.config.Member.ID {
			n.startCall(m.Group, call, joinInterval, forwardOrigin{from: from, id: m.ID})
			return
		}
	}
	n.handleCall(from, m.ID, m.Group, call)
}

// respond answers a call with a reply. from is the member id of the daemon that sent the
// call, this node's own for its own calls, or empty if no reply is wanted.
func (n *Node) respond(from string, id uint64, reply pimmessage.Reply) {
	n.sendReply(from, id, pimcode.OK, "", reply)
}

func (n *Node) respondError(from string, id uint64, code pimcode.Code, detail string) {
	n.sendReply(from, id, code, detail, nil)
}

func (n *Node) sendReply(from string, id uint64, code pimcode.Code, detail string, reply pimmessage.Reply) {
	if from == "" {
		return
	}
	if from == n.config.Member.ID {
		n.completeCall(id, code, detail, reply)
		return
	}
	message := pimmessage.CallReply{ID: id, Code: code, Detail: detail}
	if reply != nil {
		body, err := pimmessage.Encode(reply)
		if err != nil {
			message.Code, message.Detail = pimcode.Of(err), err.Error()
		}
		message.Body = body
	}
	n.send(from, message)
}

func (n *Node) onCallReply(_ string, m pimmessage.CallReply) {
	if m.Code != pimcode.OK || len(m.Body) == 0 {
		n.completeCall(m.ID, m.Code, m.Detail, nil)
		return
	}
	reply, err := pimmessage.DecodeReply(m.Body)
	if err != nil {
		n.completeCall(m.ID, pimcode.Of(err), err.Error(), nil)
		return
	}
	n.completeCall(m.ID, pimcode.OK, "", reply)
}

// completeCall passes the reply of a call to its origin, or schedules a retry if the callee
// was not the leader or lost its leadership.
func (n *Node) completeCall(id uint64, code pimcode.Code, detail string, reply pimmessage.Reply) {
	c := n.calls[id]
	if c == nil {
		return
	}
	retry := code == pimcode.NotLeader || code == pimcode.LeadershipLost || code == pimcode.NoLeader
	if retry && n.now < c.deadline {
		c.retryAt = n.now + callRetryDelay
		return
	}
	if slot, ok := reply.(pimmessage.SlotReply); ok && !n.deliverSlotReply(c, slot.Reply) {
		return
	}
	delete(n.calls, id)
	if joined, ok := reply.(pimmessage.Joined); ok && n.clusterID == "" {
		n.adoptCluster(joined.ClusterID)
	}
	switch o := c.origin.(type) {
	case externalOrigin:
		n.emit(AnswerCall{Token: o.token, Code: code, Detail: detail, Reply: reply})
	case journalOrigin:
		journaled, _ := reply.(pimmessage.Journaled)
		n.onJournaled(o.pendingID, journaled.Result, code)
	case slotOrigin:
		delete(n.slotCallIDs, o.attempt)
		if code != pimcode.OK {
			n.router.OnSlot(n.now, o.domain, pimslot.Reply{Attempt: o.attempt, Code: code, Term: pimslot.NoTerm})
		}
	case forwardOrigin:
		n.sendReply(o.from, o.id, code, detail, reply)
	}
}

// deliverSlotReply passes the reply of a call with a slotOrigin to the router. It returns
// false if the router ignored it because a replaced leader sent it. For a call with another
// origin it does nothing and returns true.
func (n *Node) deliverSlotReply(c *pendingCall, reply pimslot.Reply) bool {
	o, ok := c.origin.(slotOrigin)
	return !ok || n.router.OnSlot(n.now, o.domain, reply)
}

func (n *Node) onJournaled(pendingID uint64, result pimdomain.Result, code pimcode.Code) {
	n.router.OnJournal(n.now, pendingID, result, code)
}
