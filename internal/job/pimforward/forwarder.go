// Package pimforward forwards requests to the leader of the job group. A Forwarder discovers the
// control daemons from a few seed addresses, tracks which of them leads, and repeats a request
// while its response is missing. This is safe: a repeated request has no further effect, except that
// a repeated pimrpc.Heartbeat reports an outdated clock.
package pimforward

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimclock"
	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimrpc"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
)

type (
	// Sender sends a message to the daemon at an address, if its member ID is to. An empty to means
	// whichever daemon is at the address. Messages may be lost.
	Sender interface {
		Send(address, to string, message pimmessage.PeerMessage)
	}

	// Forwarder forwards the requests of one daemon. It is safe for concurrent use.
	Forwarder struct {
		sender Sender
		// self is the ID of the daemon that the forwarder belongs to.
		self   string
		logger *log.Logger

		// mutex guards the fields below.
		mutex sync.Mutex
		// seeds are peer addresses, members are member IDs of control daemons.
		seeds   []string
		members []string
		// leader is the member ID of the leader, or "" while none is known.
		leader       string
		term         uint64
		leaderSeenAt time.Time
		// leaderMembers are the member IDs that the leader last named.
		leaderMembers []string
		// proxy is the member ID of a control daemon that said at proxySeenAt that it reaches the
		// leader. Requests go through it while the leader does not reply to this daemon.
		proxy       string
		proxySeenAt time.Time
		// pending holds, by request ID, the channel that receives the response.
		pending map[uint64]chan pimrpc.Response
		lastID  uint64
		// clockOffsets holds, by member ID, the most by which the clock of a daemon is ahead of that of this one.
		clockOffsets map[string]time.Duration
		// changed is closed and replaced each time the leader is confirmed.
		changed chan struct{}
	}

	// CallTimeouts are the timeouts of one request.
	CallTimeouts struct {
		// LeaderWait is how long a request that has certainly not been executed waits for a leader.
		LeaderWait time.Duration
		// Total is the timeout of the whole call.
		Total time.Duration
	}

	// route is where a request is sent: to the leader, or to a control daemon that passes it on.
	route struct {
		id       string
		indirect bool
	}
)

const (
	// GroupName is the name of the consensus group that replicates the state of the jobs.
	GroupName = "jobs"

	// leaderQueryInterval is the time between queries to the leader: half of the time that the
	// platform takes to notice that a daemon is not ready.
	leaderQueryInterval = 500 * time.Millisecond
	// searchInterval is the time between queries to all known daemons while no leader is known.
	searchInterval = 200 * time.Millisecond
	// leaderTimeout is how long a leader counts as reachable after its last reply.
	leaderTimeout = 1300 * time.Millisecond
	// proxyDelay is longer than another daemon can take to notice that the leader does not reply: leaderTimeout and a
	// query interval.
	proxyDelay = leaderTimeout + leaderQueryInterval + 200*time.Millisecond
	// responseTimeout is the time after which a request without a response is sent again. A commit
	// takes two disk syncs and two trips through the network, some 30 ms.
	responseTimeout = 600 * time.Millisecond
	// retryDelay is the delay before a request is repeated after a response that was not final.
	retryDelay = 25 * time.Millisecond
	// maxClockOffsets is above the number of control daemons that are members at a time.
	maxClockOffsets = 256
)

// NewForwarder returns a forwarder for the daemon with the ID self, which at first knows only the
// seeds: peer addresses of control daemons.
func NewForwarder(self string, seeds []string, sender Sender, logger *log.Logger) *Forwarder {
	return &Forwarder{
		sender: sender, self: self, logger: logger, seeds: seeds,
		pending: map[uint64]chan pimrpc.Response{}, changed: make(chan struct{}), clockOffsets: map[string]time.Duration{self: 0},
		leaderSeenAt: time.Now(),
		// A late response to a request from before a restart of the daemon must not match a new request.
		lastID: rand.Uint64(),
	}
}

// AddressOf returns the peer address in a member ID, which has the form ADDRESS#GENERATION.
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

// Run tracks the leader and the control daemons until the context ends.
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

// queryLeader queries the leader, or all known daemons while there is none. It returns the time
// until the next query.
func (f *Forwarder) queryLeader() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.leader != "" && time.Since(f.leaderSeenAt) < leaderTimeout {
		f.query(AddressOf(f.leader), f.leader)
		return leaderQueryInterval
	}
	if f.leader != "" {
		f.logger.Warn().Str("leader", f.leader).Dur("silent", time.Since(f.leaderSeenAt)).
			Msg("leader of the job group does not respond")
		f.leader = ""
	}
	f.queryAll()
	return searchInterval
}

// addresses returns the peer addresses of all known control daemons and the seeds, this daemon excepted.
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

// Addresses returns the peer addresses of all known control daemons, this daemon excepted.
func (f *Forwarder) Addresses() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.addresses()
}

// OnLeaderReply handles a control daemon's reply to a query for the leader. Replies of earlier terms
// are ignored.
func (f *Forwarder) OnLeaderReply(reply pimmessage.LeaderReply) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.observeClock(reply)
	if reply.Term < f.term {
		return
	}
	f.term = reply.Term
	if len(reply.Members) > 0 {
		f.members = reply.Members
	}
	if reply.ReachesLeader && reply.Sender != f.self {
		f.proxy, f.proxySeenAt = reply.Sender, time.Now()
		if f.leader == "" {
			f.signalChange()
		}
	}
	switch {
	case reply.ConfirmedLeader:
		if f.leader != reply.Leader {
			f.logger.Info().Str("leader", reply.Leader).Uint64("term", reply.Term).Msg("found the leader of the job group")
		}
		f.leader = reply.Leader
		f.leaderSeenAt = time.Now()
		f.leaderMembers = reply.Members
		f.signalChange()
	case reply.Leader != "" && reply.Leader != f.leader && reply.Leader != f.self:
		f.query(AddressOf(reply.Leader), reply.Leader)
	}
}

func (f *Forwarder) query(address, to string) {
	f.sender.Send(address, to, pimmessage.LeaderQuery{SentAt: pimclock.Now()})
}

// observeClock records how far the clock of a daemon may be ahead: it was read after the query was sent.
func (f *Forwarder) observeClock(reply pimmessage.LeaderReply) {
	if reply.QueriedAt == 0 || reply.Sender == "" || reply.Sender == f.self {
		return
	}
	if len(f.clockOffsets) >= maxClockOffsets {
		f.clockOffsets = map[string]time.Duration{f.self: 0}
	}
	f.clockOffsets[reply.Sender] = reply.Clock - reply.QueriedAt
}

// deadlineAt returns, on the clock of a daemon, when timeout has certainly passed, or 0 if that clock is not known.
func (f *Forwarder) deadlineAt(id string, timeout time.Duration) time.Duration {
	offset, ok := f.clockOffsets[id]
	if !ok {
		return 0
	}
	return pimclock.Now() + offset + timeout
}

// signalChange wakes the calls that wait for a leader.
func (f *Forwarder) signalChange() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// HasLeader reports whether requests can reach the leader: it replied within leaderTimeout, or a control daemon did that
// reaches it.
func (f *Forwarder) HasLeader() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.reachesLeader() || f.hasProxy()
}

// ReachesLeader reports whether the leader replied to this daemon within leaderTimeout.
func (f *Forwarder) ReachesLeader() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.reachesLeader()
}

// IsLeftOut reports whether the leader, which replied within leaderTimeout, has said that a control daemon is no member.
func (f *Forwarder) IsLeftOut(id string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.reachesLeader() && !slices.Contains(f.leaderMembers, id)
}

func (f *Forwarder) reachesLeader() bool {
	return f.leader != "" && time.Since(f.leaderSeenAt) < leaderTimeout
}

// hasProxy reports whether requests may be sent through the proxy. The proxy must have reached the leader after
// proxyDelay without a reply of the leader here: after the end of a leader, the others believe for a while that they reach
// it.
func (f *Forwarder) hasProxy() bool {
	return f.proxy != "" && time.Since(f.proxySeenAt) < leaderTimeout && f.proxySeenAt.Sub(f.leaderSeenAt) > proxyDelay
}

// OnReply delivers a response to the call that waits for it. Late and duplicate responses are dropped.
func (f *Forwarder) OnReply(reply pimmessage.CallReply) {
	response, err := pimrpc.DecodeResponse(reply.Body)
	if err != nil {
		f.logger.Error().Err(err).Msg("response of the leader cannot be decoded")
		return
	}
	f.mutex.Lock()
	responses := f.pending[reply.ID]
	f.mutex.Unlock()
	if responses == nil {
		return
	}
	select {
	case responses <- response:
	default:
	}
}

// Call sends a request to the leader and returns its response, repeating the request as needed. It
// fails with the code pimcode.NoLeader if the request was certainly not executed, and with
// pimcode.OutcomeUnknown if it may have been: also if it is rejected after an earlier attempt got no
// response, as that one may have been executed, or may be yet.
func (f *Forwarder) Call(ctx context.Context, request pimrpc.Request, timeouts CallTimeouts) (pimrpc.Response, error) {
	return f.call(ctx, request, timeouts, true)
}

// PassOn sends a request of another daemon to the leader, and only there, so that a request is passed on once at
// most. It fails as Call does.
func (f *Forwarder) PassOn(ctx context.Context, request pimrpc.Request, timeouts CallTimeouts) (pimrpc.Response, error) {
	return f.call(ctx, request, timeouts, false)
}

func (f *Forwarder) call(
	ctx context.Context, request pimrpc.Request, timeouts CallTimeouts, mayUseProxy bool,
) (pimrpc.Response, error) {
	body, err := pimrpc.Encode(request)
	if err != nil {
		return nil, err
	}
	startedAt := pimclock.Now()
	elapsed := func() time.Duration { return pimclock.Now() - startedAt }
	mayHaveExecuted := false
	for {
		timeout := timeouts.Total - elapsed()
		if !mayHaveExecuted {
			timeout = min(timeout, timeouts.LeaderWait-elapsed())
		}
		target, ok := f.awaitLeader(ctx, timeout, mayUseProxy)
		if !ok || ctx.Err() != nil {
			return nil, callError(mayHaveExecuted, elapsed())
		}
		response, responded := f.callOnce(ctx, target, body, timeouts.Total-elapsed())
		switch response := response.(type) {
		case pimrpc.NotLeader:
			f.dropLeader(target, response.Leader)
		case pimrpc.OutcomeUnknown:
			mayHaveExecuted = true
			f.dropLeader(target, "")
		case pimrpc.Repeat:
		case pimrpc.Rejected:
			if !mayHaveExecuted || pimrpc.IsRead(request) {
				return response, nil
			}
			f.logger.Info().Stringer("code", response.Code).Str("detail", response.Detail).Dur("took", elapsed()).
				Msg("rejection is not passed on, as an earlier attempt of the request may have been executed")
			return nil, callError(mayHaveExecuted, elapsed())
		default:
			if responded {
				return response, nil
			}
			mayHaveExecuted = true
			f.suspectLeader(target)
		}
		if responded && !sleep(ctx, retryDelay) {
			return nil, callError(mayHaveExecuted, elapsed())
		}
	}
}

func callError(mayHaveExecuted bool, elapsed time.Duration) error {
	if mayHaveExecuted {
		return pimcode.New(pimcode.OutcomeUnknown, "no answer of the leader within %v", elapsed)
	}
	return pimcode.New(pimcode.NoLeader, "no leader within %v", elapsed)
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

// awaitLeader returns where to send a request once that is known: to the leader, or else to a control daemon that reaches
// it. It returns false on a timeout or if the context ended.
func (f *Forwarder) awaitLeader(ctx context.Context, timeout time.Duration, mayUseProxy bool) (route, bool) {
	timer := time.NewTimer(max(0, timeout))
	defer timer.Stop()
	for {
		f.mutex.Lock()
		target, changed := route{id: f.leader}, f.changed
		if target.id == "" && mayUseProxy && f.hasProxy() {
			target = route{f.proxy, true}
		}
		f.mutex.Unlock()
		if target.id != "" {
			return target, timeout > 0
		}
		select {
		case <-ctx.Done():
			return route{}, false
		case <-timer.C:
			return route{}, false
		case <-changed:
		}
	}
}

// callOnce sends a request and waits for its response, for responseTimeout at most. It returns false without a response.
// The request is given up when remaining has passed: until then it may be executed.
func (f *Forwarder) callOnce(
	ctx context.Context, target route, body []byte, remaining time.Duration,
) (pimrpc.Response, bool) {
	responses := make(chan pimrpc.Response, 1)
	f.mutex.Lock()
	f.lastID++
	id, deadline := f.lastID, f.deadlineAt(target.id, remaining)
	f.pending[id] = responses
	f.mutex.Unlock()
	defer func() {
		f.mutex.Lock()
		delete(f.pending, id)
		f.mutex.Unlock()
	}()
	f.sender.Send(AddressOf(target.id), target.id,
		pimmessage.CallRequest{ID: id, Group: GroupName, Body: body, Indirect: target.indirect, Deadline: deadline})
	timer := time.NewTimer(max(0, min(responseTimeout, remaining)))
	defer timer.Stop()
	select {
	case response := <-responses:
		return response, true
	case <-ctx.Done():
	case <-timer.C:
	}
	return nil, false
}

// dropLeader forgets a leader that responded that it doesn't lead, or a control daemon that no longer reaches the leader.
// It queries the leader that was named, or all known daemons if none was.
func (f *Forwarder) dropLeader(target route, next string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.forget(target)
	if next != "" && next != target.id {
		f.query(AddressOf(next), next)
		return
	}
	f.queryAll()
}

// suspectLeader queries all known daemons for the leader after a request got no response. The leader is forgotten if it
// has not replied to a query recently either.
func (f *Forwarder) suspectLeader(target route) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if target.indirect || time.Since(f.leaderSeenAt) > responseTimeout {
		f.forget(target)
	}
	f.queryAll()
}

// forget drops the leader or the proxy that a request was sent to.
func (f *Forwarder) forget(target route) {
	switch {
	case target.indirect && f.proxy == target.id:
		f.proxy = ""
	case !target.indirect && f.leader == target.id:
		f.leader = ""
	}
}

func (f *Forwarder) queryAll() {
	for _, address := range f.addresses() {
		f.query(address, "")
	}
}
