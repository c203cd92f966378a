// Package pimcontrol is a control daemon: a member of the replicated group of jobs,
// which answers asks, plans and follows the workers while it leads.
//
// One goroutine owns the replica, the state and the fleet. It takes events from one
// channel and sleeps until the next one or the next deadline. Disk, peers and workers
// are reached by others, which report back as events.
package pimcontrol

import (
	"context"
	"math/rand/v2"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/phuslu/log"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimclock"
	"github.com/pimentoswitch/pimentoswitch/internal/base/pimmetric"
	"github.com/pimentoswitch/pimentoswitch/internal/base/pimroutine"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimforward"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimrpc"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconsensus"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimlog"
)

type (
	// Settings are the checked settings of a control daemon.
	Settings struct {
		// Address is the peer address of this daemon.
		Address string
		DataDir string
		// Bootstrap is set at the first start of a whole system, whose first voters are the
		// daemons at Founders.
		Bootstrap      bool
		InitialMembers []string
		// ToleratedFailures is how many voters may be lost at once.
		ToleratedFailures int
		Fleet             pimfleet.Policy
		// OpenFile opens segments of the log; nil is the real disk.
		OpenFile pimlog.OpenFile
	}

	// Workers makes calls to workers. Call blocks until the answer or its own timeout.
	Workers interface {
		Call(ctx context.Context, call pimfleet.Call) pimfleet.Result
	}

	// Control is one control daemon.
	Control struct {
		settings Settings
		logger   *log.Logger
		metrics  *pimmetric.Metrics
		workers  Workers
		id       string
		voters   []string
		// generation counts how often the disk was opened.
		generation int

		transport pimforward.Sender
		forwarder *pimforward.Forwarder
		events    chan event
		commands  pond.Pool
		renewals  pond.Pool
		disk      *disk

		replica     *pimconsensus.Replica
		state       *pimjob.State
		now         time.Duration
		nextHelloAt time.Duration

		logBytes       int
		leadership     *leadership
		isLeader       atomic.Bool
		lastLeader     string
		stopping       bool
		nextHandoverAt time.Duration
	}

	event interface{ isEvent() }

	peerEvent struct {
		from, to string
		message  pimmessage.PeerMessage
	}

	persistedEvent struct {
		generation int
		batch      diskBatch
		err        error
	}

	resultEvent struct{ result pimfleet.Result }

	stopEvent struct{}
)

func (peerEvent) isEvent()      {}
func (persistedEvent) isEvent() {}
func (resultEvent) isEvent()    {}
func (stopEvent) isEvent()      {}

const (
	eventQueueSize = 4096
	// maxEventsPerTick bounds how many events are taken in before output is handed on.
	maxEventsPerTick = 256
	// maxCommands bounds the calls to workers under way, renewals aside.
	maxCommands = 96
	// maxRenewals bounds the renewals under way; each waits for an end at its worker.
	maxRenewals   = 1024
	callQueueSize = 8192
	// joinInterval is the time between questions to be taken in as a member.
	joinInterval     = 300 * time.Millisecond
	handoverInterval = time.Second
	// reopenDelay is the time between tries to read a disk that failed.
	reopenDelay = 300 * time.Millisecond
	logFolder   = "jobs"
)

// New opens the data folder. SetTransport comes before Run.
func New(settings Settings, workers Workers, metrics *pimmetric.Metrics, logger *log.Logger) (*Control, error) {
	identity, err := openIdentity(settings)
	if err != nil {
		return nil, err
	}
	c := &Control{
		settings: settings, logger: logger, metrics: metrics, workers: workers, id: identity.ID, voters: identity.Voters,
		events:   make(chan event, eventQueueSize),
		commands: pond.NewPool(maxCommands, pond.WithQueueSize(callQueueSize), pond.WithNonBlocking(true)),
		renewals: pond.NewPool(maxRenewals, pond.WithQueueSize(callQueueSize), pond.WithNonBlocking(true)),
	}
	return c, c.open()
}

// open reads the log and makes the replica and the state from it.
func (c *Control) open() error {
	openFile := c.settings.OpenFile
	if openFile == nil {
		openFile = pimlog.OpenSegment
	}
	store, saved, err := pimlog.Open(filepath.Join(c.settings.DataDir, logFolder), openFile)
	if err != nil {
		return err
	}
	if saved.Snapshot.Index == 0 && len(c.voters) > 0 {
		saved.Snapshot = pimconsensus.BootstrapSnapshot(c.voters)
		if err := store.SaveSnapshot(saved.Snapshot); err != nil {
			store.Close()
			return err
		}
	}
	if c.state, err = pimjob.Restore(saved.Snapshot.Data); err != nil {
		store.Close()
		return err
	}
	c.generation++
	c.disk = &disk{store: store, batches: make(chan diskBatch, 1), generation: c.generation}
	c.now = pimclock.Now()
	c.logBytes = 0
	c.replica = pimconsensus.NewReplica(pimconsensus.Config{ID: c.id, Boot: rand.Uint64(), Seed: rand.Uint64()}, saved, c.now)
	c.logger.Info().Str("id", c.id).Strs("voters", c.replica.Members().Voters).Uint64("last", c.replica.LastIndex()).
		Int("jobs", len(c.state.OpenJobs())).Msg("state is loaded")
	return nil
}

// ID returns the daemon's member id: its peer address and the life of its disk.
func (c *Control) ID() string { return c.id }

// IsLeader reports whether the daemon leads, as of its last event.
func (c *Control) IsLeader() bool { return c.isLeader.Load() }

// SetTransport sets where messages go and who asks on behalf of this daemon's own callers.
func (c *Control) SetTransport(transport pimforward.Sender, forwarder *pimforward.Forwarder) {
	c.transport, c.forwarder = transport, forwarder
}

// Send sends a message to a daemon, this one included.
func (c *Control) Send(address, to string, message pimmessage.PeerMessage) {
	if to == c.id || (to == "" && address == c.settings.Address) {
		c.Receive(c.id, c.id, message)
		return
	}
	c.transport.Send(address, to, message)
}

// Receive takes in a message of a daemon.
func (c *Control) Receive(from, to string, message pimmessage.PeerMessage) {
	if to != "" && to != c.id {
		return
	}
	switch message := message.(type) {
	case pimmessage.CallReply:
		c.forwarder.OnReply(message)
		return
	case pimmessage.LeaderReply:
		c.forwarder.OnDirectory(message)
		return
	}
	select {
	case c.events <- peerEvent{from, to, message}:
	default:
		c.metrics.CountShed("peer-events")
	}
}

// Stop hands over the leadership, so that Run may be ended soon after.
func (c *Control) Stop() {
	c.events <- stopEvent{}
}

// Run runs the daemon until the context ends. After a failed write what the disk holds
// is not known, so the daemon forgets what it knew and reads the disk anew, as if it
// had been started again; meanwhile it takes no part in the group.
func (c *Control) Run(ctx context.Context) error {
	defer c.commands.Stop()
	defer c.renewals.Stop()
	for {
		err := c.runWithDisk(ctx)
		if ctx.Err() != nil {
			return nil
		}
		c.logger.Error().Err(err).Msg("disk failed")
		if c.leadership != nil {
			c.leadership.abandon()
			c.leadership = nil
		}
		for c.rejectRequests(ctx, reopenDelay) {
			if err := c.open(); err == nil {
				break
			}
			c.logger.Warn().Err(err).Msg("disk can't be read yet")
		}
	}
}

func (c *Control) runWithDisk(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	written := pimroutine.Start(ctx, func(ctx context.Context) error { return c.disk.run(ctx, c.events) })
	err := c.loop(ctx)
	cancel()
	<-written
	return err
}

// rejectRequests drops what comes in for a while, and tells those that ask that this daemon doesn't lead.
func (c *Control) rejectRequests(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case e := <-c.events:
			if peer, ok := e.(peerEvent); ok {
				if request, ok := peer.message.(pimmessage.CallRequest); ok {
					c.respondTo(peer.from, request.ID)(pimrpc.NotLeader{})
				}
			}
		}
	}
}

func (c *Control) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var first event
		select {
		case <-ctx.Done():
			return nil
		case first = <-c.events:
		case <-timer.C:
		}
		c.now = pimclock.Now()
		if err := c.handleEvents(first); err != nil {
			return err
		}
		c.tick(ctx)
		c.now = pimclock.Now()
		timer.Reset(max(minSleep, c.nextTick()-c.now))
	}
}

// minSleep keeps deadlines that lie close together from waking the daemon one by one.
const minSleep = time.Millisecond

func (c *Control) handleEvents(first event) error {
	if first == nil {
		return nil
	}
	if err := c.handleEvent(first); err != nil {
		return err
	}
	for range maxEventsPerTick {
		select {
		case next := <-c.events:
			if err := c.handleEvent(next); err != nil {
				return err
			}
		default:
			return nil
		}
	}
	return nil
}

func (c *Control) handleEvent(e event) error {
	switch e := e.(type) {
	case peerEvent:
		c.onPeer(e)
	case persistedEvent:
		return c.onPersisted(e)
	case resultEvent:
		if c.leadership != nil {
			c.leadership.fleet.OnResult(e.result, c.now)
		}
	case stopEvent:
		c.stopping = true
	}
	return nil
}

func (c *Control) onPeer(e peerEvent) {
	switch message := e.message.(type) {
	case pimmessage.Consensus:
		if e.to != c.id {
			return
		}
		decoded, err := pimmessage.DecodeConsensus(message.Body)
		if err != nil {
			c.logger.Error().Err(err).Str("from", e.from).Msg("consensus message can't be read")
			return
		}
		c.replica.Step(c.now, e.from, decoded)
	case pimmessage.LeaderQuery:
		c.onHello(e.from, message)
	case pimmessage.CallRequest:
		c.onRequest(e.from, message)
	}
}

// tick lets time pass and hands on what came of it.
func (c *Control) tick(ctx context.Context) {
	if c.now >= c.replica.NextTick() {
		c.replica.Tick(c.now)
	}
	c.requestToJoin()
	c.flush()
	c.updateLeadership()
	if c.leadership != nil {
		c.tickLeadership(ctx)
		c.flush()
	}
	c.isLeader.Store(c.leadership != nil && c.leadership.ready)
	c.handOver()
}

func (c *Control) nextTick() time.Duration {
	next := c.replica.NextTick()
	if !c.replica.Members().Contains(c.id) {
		next = min(next, c.nextHelloAt)
	}
	if c.leadership != nil {
		next = min(next, c.leadership.nextTick(c))
	}
	return next
}
