// Package pimforward passes asks on to the leader of the jobs. A Forwarder finds the
// control daemons from a few seed addresses, keeps a directory of them, and asks again
// while an answer is missing, which is safe since every ask may be asked again.
package pimforward

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimrpc"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
)

type (
	// Sender sends a message to the daemon of that id at an address.
	Sender interface {
		Send(address, to string, message pimmessage.PeerMessage)
	}

	// Forwarder belongs to one daemon. Local answers asks of a daemon that leads itself;
	// it is nil on an entry daemon.
	Forwarder struct {
		sender Sender
		self   string
		logger *log.Logger

		mutex        sync.Mutex
		seeds        []string
		members      []string
		leader       string
		term         uint64
		leaderSeenAt time.Time
		pending      map[uint64]chan pimrpc.Response
		lastID       uint64
		changed      chan struct{}
	}

	// CallTimeouts are the limits of one ask. Patience is how long an ask that was never sent
	// waits for a leader; Deadline ends everything.
	CallTimeouts struct {
		LeaderWait time.Duration
		Total      time.Duration
	}
)

const (
	// GroupName is the replicated group that holds the jobs.
	GroupName = "jobs"

	// leaderQueryInterval is the time between questions to the leader; half of what the
	// platform takes to notice that a daemon is not ready.
	leaderQueryInterval = 500 * time.Millisecond
	// searchInterval is the time between questions to all known daemons without a leader.
	searchInterval = 200 * time.Millisecond
	// leaderTimeout is how long a leader counts as reachable after its last word.
	leaderTimeout = 1300 * time.Millisecond
	// responseTimeout is the wait for one answer before the ask is sent again: a commit
	// takes two syncs and two ways through the network, some 30 ms.
	responseTimeout = 600 * time.Millisecond
	// retryDelay is the pause after an answer that asks to come again.
	retryDelay = 25 * time.Millisecond
)

// NewForwarder returns a forwarder that knows only seeds, which are peer addresses.
func NewForwarder(self string, seeds []string, sender Sender, logger *log.Logger) *Forwarder {
	return &Forwarder{
		sender: sender, self: self, logger: logger, seeds: seeds,
		pending: map[uint64]chan pimrpc.Response{}, changed: make(chan struct{}),
		// A late reply to an earlier life of the daemon must not meet an ask of this one.
		lastID: rand.Uint64(),
	}
}

// AddressOf returns the peer address in a daemon's id, which is ADDRESS#LIFE.
func AddressOf(id string) string {
	address, _, _ := strings.Cut(id, "#")
	return address
}

// SetSeeds replaces the seed addresses.
func (f *Forwarder) SetSeeds(seeds []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.seeds = seeds
}

// Run keeps the directory until the context ends.
func (f *Forwarder) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			timer.Reset(f.queryLeader())
		}
	}
}

// queryLeader says hello to the leader, or to everybody while there is none.
func (f *Forwarder) queryLeader() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.leader != "" && time.Since(f.leaderSeenAt) < leaderTimeout {
		f.sender.Send(AddressOf(f.leader), f.leader, pimmessage.LeaderQuery{})
		return leaderQueryInterval
	}
	if f.leader != "" {
		f.logger.Warn().Str("leader", f.leader).Dur("silent", time.Since(f.leaderSeenAt)).Msg("leader is silent")
		f.leader = ""
	}
	for _, address := range f.addresses() {
		f.sender.Send(address, "", pimmessage.LeaderQuery{})
	}
	return searchInterval
}

// addresses returns the peer addresses of all known control daemons and the seeds.
func (f *Forwarder) addresses() []string {
	seen := map[string]bool{AddressOf(f.self): true}
	var addresses []string
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, id := range f.members {
		add(AddressOf(id))
	}
	for _, seed := range f.seeds {
		add(seed)
	}
	return addresses
}

// Addresses returns the peer addresses of all known control daemons but the own one.
func (f *Forwarder) Addresses() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.addresses()
}

// OnDirectory takes in what a control daemon says.
func (f *Forwarder) OnDirectory(d pimmessage.LeaderReply) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if d.Term < f.term {
		return
	}
	f.term = d.Term
	if len(d.Members) > 0 {
		f.members = d.Members
	}
	switch {
	case d.ConfirmedLeader:
		if f.leader != d.Leader {
			f.logger.Info().Str("leader", d.Leader).Uint64("term", d.Term).Msg("leader found")
		}
		f.leader = d.Leader
		f.leaderSeenAt = time.Now()
		f.signalChange()
	case d.Leader != "" && d.Leader != f.leader && d.Leader != f.self:
		f.sender.Send(AddressOf(d.Leader), d.Leader, pimmessage.LeaderQuery{})
	}
}

func (f *Forwarder) signalChange() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// HasLeader reports whether a leader was heard a moment ago.
func (f *Forwarder) HasLeader() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.leader != "" && time.Since(f.leaderSeenAt) < leaderTimeout
}

// OnReply hands a reply to the ask that waits for it.
func (f *Forwarder) OnReply(reply pimmessage.CallReply) {
	answer, err := pimrpc.DecodeResponse(reply.Body)
	if err != nil {
		f.logger.Error().Err(err).Msg("answer can't be read")
		return
	}
	f.mutex.Lock()
	waiting := f.pending[reply.ID]
	f.mutex.Unlock()
	if waiting == nil {
		return
	}
	select {
	case waiting <- answer:
	default:
	}
}

// Call passes an ask on. It returns an answer of the leader; or no-leader where the ask
// was never sent, so that it is certainly not carried out; or outcome-unknown.
func (f *Forwarder) Call(ctx context.Context, ask pimrpc.Request, terms CallTimeouts) (pimrpc.Response, error) {
	body, err := pimrpc.Encode(ask)
	if err != nil {
		return nil, err
	}
	begun := time.Now()
	sent := false
	for {
		patience := terms.Total - time.Since(begun)
		if !sent {
			patience = min(patience, terms.LeaderWait-time.Since(begun))
		}
		leader, ok := f.awaitLeader(ctx, patience)
		if !ok {
			return nil, callError(sent, time.Since(begun))
		}
		answer, answered := f.callOnce(ctx, leader, body, min(responseTimeout, terms.Total-time.Since(begun)))
		switch answer := answer.(type) {
		case pimrpc.NotLeader:
			f.dropLeader(leader, answer.Leader)
		case pimrpc.OutcomeUnknown:
			sent = true
			f.dropLeader(leader, "")
		default:
			if answered {
				return answer, nil
			}
			sent = true
			f.suspectLeader(leader)
		}
		if answered && !sleep(ctx, retryDelay) {
			return nil, callError(sent, time.Since(begun))
		}
	}
}

func callError(sent bool, after time.Duration) error {
	if sent {
		return pimcode.New(pimcode.OutcomeUnknown, "no answer of the leader within %v", after)
	}
	return pimcode.New(pimcode.NoLeader, "no leader within %v", after)
}

func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (f *Forwarder) awaitLeader(ctx context.Context, patience time.Duration) (string, bool) {
	timer := time.NewTimer(max(0, patience))
	defer timer.Stop()
	for {
		f.mutex.Lock()
		leader, changed := f.leader, f.changed
		f.mutex.Unlock()
		if leader != "" {
			return leader, patience > 0
		}
		select {
		case <-ctx.Done():
			return "", false
		case <-timer.C:
			return "", false
		case <-changed:
		}
	}
}

func (f *Forwarder) callOnce(ctx context.Context, leader string, body []byte, wait time.Duration) (pimrpc.Response, bool) {
	answers := make(chan pimrpc.Response, 1)
	f.mutex.Lock()
	f.lastID++
	id := f.lastID
	f.pending[id] = answers
	f.mutex.Unlock()
	defer func() {
		f.mutex.Lock()
		delete(f.pending, id)
		f.mutex.Unlock()
	}()
	f.sender.Send(AddressOf(leader), leader, pimmessage.CallRequest{ID: id, Group: GroupName, Body: body})
	timer := time.NewTimer(max(0, wait))
	defer timer.Stop()
	select {
	case answer := <-answers:
		return answer, true
	case <-ctx.Done():
	case <-timer.C:
	}
	return nil, false
}

// dropLeader drops a leader that said it leads no more, and asks the one that it named.
func (f *Forwarder) dropLeader(leader, next string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.leader == leader {
		f.leader = ""
	}
	if next != "" && next != leader {
		f.sender.Send(AddressOf(next), next, pimmessage.LeaderQuery{})
		return
	}
	for _, address := range f.addresses() {
		f.sender.Send(address, "", pimmessage.LeaderQuery{})
	}
}

// suspectLeader asks everybody who leads, since the leader left an ask unanswered.
func (f *Forwarder) suspectLeader(leader string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.leader == leader && time.Since(f.leaderSeenAt) > responseTimeout {
		f.leader = ""
	}
	for _, address := range f.addresses() {
		f.sender.Send(address, "", pimmessage.LeaderQuery{})
	}
}
