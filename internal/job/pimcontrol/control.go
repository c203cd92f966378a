// Package pimcontrol implements the control daemon: a member of the job group, the consensus
// group that replicates the state of all jobs. While it leads the group it also answers
// requests, plans runs and tracks the workers.
//
// One goroutine owns the replica, the state and the fleet. It receives events from one
// channel and sleeps until the next event or deadline. Other goroutines write to disk and
// exchange messages with peers and workers; they report back through events.
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
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimplan"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimrpc"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconsensus"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimlog"
)

type (
	// Settings are the validated settings of a control daemon.
	Settings struct {
		// Address is the peer address of this daemon.
		Address string
		DataDir string
		// Bootstrap is set for the first start of a new system. The group then begins with the
		// daemons at the peer addresses InitialMembers as voters.
		Bootstrap      bool
		InitialMembers []string
		// ToleratedFailures is how many voters may fail at the same time.
		ToleratedFailures int
		Fleet             pimfleet.Policy
		Plan              pimplan.Settings
		// RateWindow is the window of the rates of organisations, or 0 if rates are off.
		RateWindow time.Duration
		// Domain is the failure domain of this daemon.
		Domain string
		// MaxDescriptors is how many file descriptors the process may have open; 0 means no limit.
		MaxDescriptors int
		// OpenConnections returns how many connections of callers and of other daemons are open; nil means none.
		OpenConnections func() (served, peers int)
		// OpenFile opens segments of the log; nil means pimlog.OpenSegment.
		OpenFile pimlog.OpenFile
	}

	// Workers is the client for workers. Call blocks until the response or until its own timeout.
	Workers interface {
		Call(ctx context.Context, call pimfleet.Call) pimfleet.Result
	}

	// Control is a control daemon.
	Control struct {
		settings Settings
		logger   *log.Logger
		metrics  *pimmetric.Metrics
		workers  Workers
		id       string
		// voters are the member IDs of the first voters if this daemon is one of them.
		voters []string
		// diskEpoch counts how often the data folder was opened since the daemon started.
		diskEpoch int

		transport pimforward.Sender
		forwarder *pimforward.Forwarder
		events    chan event
		// peerBytes is the size of the messages in events.
		peerBytes atomic.Int64
		commands  pond.Pool
		renewals  pond.Pool
		// passedOn runs requests that are passed on to the leader.
		passedOn   pond.Pool
		disk       *disk
		relaying   relaying
		heartbeats heartbeatFilter

		replica *pimconsensus.Replica
		state   *pimjob.State
		// now is the monotonic time at which the current events are handled.
		now time.Duration
		// nextJoinAt is when the daemon next asks to join the group while it is no member.
		nextJoinAt time.Duration
		// isLeftOut is set while the leader says that this daemon is no member.
		isLeftOut bool

		// logBytes is the size of the entries since the last snapshot.
		logBytes int
		// leadership is nil while the daemon doesn't lead.
		leadership *leadership
		isLeader   atomic.Bool
		// lastLeader is the leader that was last logged and passed to the forwarder.
		lastLeader    string
		organisations *organisationReport
		// rejections limits the log lines on requests that are rejected because of their key.
		rejections rejectionLog
		// steppingDown is set once StepDown was called.
		steppingDown   bool
		nextHandoverAt time.Duration
		turn           turn
		turns          turnStatistics
	}
)

const (
	// eventQueueSize has space for the results of the renewals of 3,000 workers that arrive at once, and for as many
	// results of commands.
	eventQueueSize = 8192
	// maxPeerBytes is the size of the messages of other daemons that may wait to be handled.
	maxPeerBytes = 16 << 20
	// maxEventsPerTick limits how many queued events are handled before their output is sent.
	maxEventsPerTick = 256
	// maxCommands limits the concurrent calls to workers, renewals not included.
	maxCommands = 96
	// maxRenewals limits the concurrent renewals. They are long polls: each occupies its goroutine
	// until a run ends on its worker. Goroutines are started as needed, so a deployment with few workers has few. The
	// limit is above the number of workers that a daemon can call within 4,096 descriptors, and above 3,000, the largest
	// deployment that is planned for, where the descriptors suffice for direct calls.
	maxRenewals = 4096
	// maxPassedOn limits the requests that are passed on to the leader at the same time, and those that wait for it.
	maxPassedOn = 128
	// callQueueSize limits the calls that wait for a goroutine, for commands and renewals each.
	callQueueSize = 8192
	// joinInterval is the time between requests to join the group.
	joinInterval = 300 * time.Millisecond
	// handoverInterval is the time between attempts to transfer the leadership.
	handoverInterval = time.Second
	// reopenDelay is the time between attempts to reopen the data folder after a failed write.
	reopenDelay = 300 * time.Millisecond
	logFolder   = "jobs"
)

// New opens the data folder and loads the state from it. SetTransport must be called before Run.
// It fails if the data folder can't be read or written.
func New(settings Settings, workers Workers, metrics *pimmetric.Metrics, logger *log.Logger) (*Control, error) {
	identity, err := openIdentity(settings)
	if err != nil {
		return nil, err
	}
	c := &Control{
		settings: settings, logger: logger, metrics: metrics, workers: workers, id: identity.ID, voters: identity.Voters,
		organisations: newOrganisationReport(metrics, logger),
		events:        make(chan event, eventQueueSize),
		commands:      pond.NewPool(maxCommands, pond.WithQueueSize(callQueueSize), pond.WithNonBlocking(true)),
		renewals:      pond.NewPool(maxRenewals, pond.WithQueueSize(callQueueSize), pond.WithNonBlocking(true)),
		passedOn:      pond.NewPool(maxPassedOn, pond.WithQueueSize(maxPassedOn), pond.WithNonBlocking(true)),
	}
	c.relaying.context, c.relaying.end = context.WithCancel(context.Background())
	return c, c.open()
}

// open reads the log and rebuilds the replica and the state from it.
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
	c.heartbeats.capacityAge = c.settings.Fleet.CapacityAge
	c.heartbeats.reset(c.state)
	c.diskEpoch++
	c.disk = &disk{store: store, batches: make(chan diskBatch, 1), epoch: c.diskEpoch}
	c.now = pimclock.Now()
	c.logBytes = 0
	c.replica = pimconsensus.NewReplica(
		pimconsensus.Config{ID: c.id, Boot: rand.Uint64(), Seed: rand.Uint64()}, saved, c.now,
	)
	c.logger.Info().Str("id", c.id).Strs("voters", c.replica.Members().Voters).Uint64("last", c.replica.LastIndex()).
		Int("jobs", len(c.state.OpenJobs())).Msg("loaded the job state from the data folder")
	return nil
}

// ID returns the daemon's member ID: its peer address and the generation of its data folder.
func (c *Control) ID() string { return c.id }

// IsLeader reports whether the daemon was the leader after its last event.
func (c *Control) IsLeader() bool { return c.isLeader.Load() }

// SetTransport sets the sender for messages to other daemons, and the forwarder that sends the
// requests of this daemon's own callers and receives the responses to them.
func (c *Control) SetTransport(transport pimforward.Sender, forwarder *pimforward.Forwarder) {
	c.transport, c.forwarder = transport, forwarder
}

// Send sends a message to a daemon, which may be this one. An empty member ID means whichever daemon
// is at the address.
func (c *Control) Send(address, to string, message pimmessage.PeerMessage) {
	if to == c.id || (to == "" && address == c.settings.Address) {
		c.Receive(c.id, c.id, message)
		return
	}
	c.transport.Send(address, to, message)
}

// Receive handles a message from a daemon. Messages to another member ID are dropped, and so are
// requests, queries and consensus messages that the event queue has no space for. It is safe for
// concurrent use.
func (c *Control) Receive(from, to string, message pimmessage.PeerMessage) {
	if to != "" && to != c.id {
		return
	}
	switch message := message.(type) {
	case pimmessage.CallReply:
		c.forwarder.OnReply(message)
		return
	case pimmessage.LeaderReply:
		c.forwarder.OnLeaderReply(message)
		return
	case pimmessage.WorkerCall:
		c.onWorkerCall(from, message)
		return
	case pimmessage.WorkerResult:
		c.onWorkerResult(from, message)
		return
	}
	size := int64(pimmessage.SizeOf(message))
	if queued := c.peerBytes.Add(size); queued > size && queued > maxPeerBytes {
		c.peerBytes.Add(-size)
		c.metrics.CountShed("peer-bytes")
		return
	}
	select {
	case c.events <- peerEvent{from, to, message}:
	default:
		c.peerBytes.Add(-size)
		c.metrics.CountShed("peer-events")
	}
}

// StepDown makes the daemon transfer its leadership to another voter, now and whenever it becomes the
// leader again, so that the group has a leader when Run is ended. It doesn't end Run.
func (c *Control) StepDown() {
	c.events <- stepDownEvent{}
}

// Run runs the daemon until the context ends. After a failed write it is unknown what the disk
// holds. The daemon then discards its state and reloads it from the disk, as after a restart;
// meanwhile it takes no part in the group.
func (c *Control) Run(ctx context.Context) error {
	defer c.commands.Stop()
	defer c.renewals.Stop()
	defer c.passedOn.Stop()
	defer c.relaying.end()
	for {
		err := c.runWithDisk(ctx)
		if ctx.Err() != nil {
			return nil
		}
		c.logger.Error().Err(err).Msg("write to the data folder failed, reloading the state from it")
		if c.leadership != nil {
			c.leadership.abandon()
			c.leadership = nil
			c.organisations.stop()
		}
		for c.rejectRequests(ctx, reopenDelay) {
			if err = c.open(); err == nil {
				break
			}
			c.logger.Warn().Err(err).Msg("data folder cannot be reopened yet")
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

// rejectRequests drops events for the duration of pause, and responds to requests that this daemon
// doesn't lead. It returns false if the context ended.
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
			switch e := e.(type) {
			case peerEvent:
				c.peerBytes.Add(-int64(pimmessage.SizeOf(e.message)))
				if request, ok := e.message.(pimmessage.CallRequest); ok {
					c.respondTo(e.from, request.ID)(pimrpc.NotLeader{})
				}
			case relayedEvent:
				c.onRelayed(e)
			}
		}
	}
}
