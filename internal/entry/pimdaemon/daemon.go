// Package pimdaemon runs the decision core as a process. It owns the goroutine of the core and executes the core's
// commands: disk writes, messages to peers, requests to endpoints, and HTTP responses.
package pimdaemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/phuslu/log"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/base/pimmetric"
	"github.com/pimentoswitch/pimentoswitch/internal/base/pimroutine"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimpeer"
	"github.com/pimentoswitch/pimentoswitch/internal/node/pimcore"
	"github.com/pimentoswitch/pimentoswitch/internal/place/pimplace"
	"github.com/pimentoswitch/pimentoswitch/internal/route/pimrequest"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimlog"
)

type (
	// Settings are the settings of a daemon. The caller validates them.
	Settings struct {
		// Name is unique in the deployment.
		Name string
		// Domain is the failure domain of the daemon's host.
		Domain  string
		DataDir string
		// ListenPeer and ListenHTTP are addresses of the form IP:port. Port 0 picks a free one.
		ListenPeer string
		ListenHTTP string
		// Advertise is not used at present.
		Advertise string
		// InitialMembers are all daemons that bootstrap a new cluster. A member of a cluster ignores them.
		InitialMembers []pimcore.InitialMember
		// Seeds are peer addresses of daemons to join through.
		Seeds []string
		// BatchGracePeriod is how long batch tasks keep running without a current configuration.
		BatchGracePeriod time.Duration
		// ReplaceAfter is how long a voter may be unreachable before another daemon replaces it.
		ReplaceAfter time.Duration
		// JournalRetention is how long the outcome of a non-idempotent request is kept.
		JournalRetention time.Duration
		// DrainDelay is the time from reporting not ready to refusing requests.
		DrainDelay time.Duration
		// DrainTimeout bounds the wait for requests in progress.
		DrainTimeout time.Duration
		// RefuseWhenCutOff makes a daemon without a current configuration refuse requests.
		RefuseWhenCutOff bool
		Policy           pimplace.Policy
		// MaxConcurrentSends bounds the requests that are sent to endpoints at the same time.
		MaxConcurrentSends int
		// LogSampleInterval logs one decision out of this many; 0 logs none.
		LogSampleInterval int
	}

	// Daemon is an entry daemon: one member of the cluster, on one host.
	Daemon struct {
		settings      Settings
		logger        *log.Logger
		metrics       *pimmetric.Metrics
		lock          *pimlog.Lock
		identity      *identityFile
		disk          *disk
		node          *pimcore.Node
		transport     *pimpeer.Transport
		endpoints     *endpointClient
		server        *httpServer
		sends         pond.Pool          // sends attempts to endpoints
		decodes       pond.Pool          // decodes the reports of endpoints and workers
		events        chan pimcore.Event // queue of loop
		startedAt     time.Time
		decisionCount uint64
		drained       chan struct{} // closed when the core is drained
		drainOnce     sync.Once
		isServing     atomic.Bool
		failure       chan error // the error that ends Run

		mutex        sync.Mutex
		lastToken    uint64
		pendingCalls map[uint64]chan any // by token
	}
)

const (
	eventQueueSize    = 8192
	maxEventsPerBatch = 512
	sendQueueSize     = 256
	decodeWorkers     = 4
	decodeQueueSize   = 1024
	drainPoll         = 50 * time.Millisecond
	// lockWaitLogged is the time to lock the data folder from which on a line is logged.
	lockWaitLogged = 100 * time.Millisecond
)

// NewDaemon locks and loads the data folder and opens the listeners. Run starts the daemon.
func NewDaemon(settings Settings, logger *log.Logger) (*Daemon, error) {
	d := &Daemon{
		settings:  settings,
		logger:    logger,
		metrics:   pimmetric.NewMetrics(),
		endpoints: newEndpointClient(),
		sends: pond.NewPool(
			settings.MaxConcurrentSends, pond.WithQueueSize(sendQueueSize), pond.WithNonBlocking(true),
		),
		decodes:      pond.NewPool(decodeWorkers, pond.WithQueueSize(decodeQueueSize), pond.WithNonBlocking(true)),
		events:       make(chan pimcore.Event, eventQueueSize),
		startedAt:    time.Now(),
		drained:      make(chan struct{}),
		failure:      make(chan error, 1),
		pendingCalls: map[uint64]chan any{},
	}
	if err := d.open(); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) open() error {
	lock, err := pimlog.LockFolder(d.settings.DataDir)
	if err != nil {
		return err
	}
	if waited := time.Since(d.startedAt); waited > lockWaitLogged {
		d.logger.Warn().Str("folder", d.settings.DataDir).Dur("waited", waited).
			Msg("another process held the lock of the data folder")
	}
	d.lock = lock
	if d.identity, err = openIdentity(d.settings.DataDir, d.settings.Name); err != nil {
		return err
	}
	d.disk = newDisk(d.settings.DataDir, pimlog.OpenSegment)
	d.disk.onPersisted = d.onPersisted
	d.disk.onFailure = d.fail
	storedGroups, err := d.disk.load()
	if err != nil {
		return err
	}
	d.transport, err = pimpeer.NewTransport(d.identity.memberID(), d.settings.ListenPeer, d.onPeer, d.logger)
	if err != nil {
		return err
	}
	if d.server, err = newHTTPServer(d, d.settings.ListenHTTP); err != nil {
		return err
	}
	bootID := newBootID()
	d.node, err = pimcore.NewNode(pimcore.Config{
		Member: pimconfig.Member{
			ID:          d.identity.memberID(),
			Name:        d.settings.Name,
			Domain:      d.settings.Domain,
			PeerAddress: d.transport.Address(),
			HTTPAddress: d.server.address(),
		},
		ClusterID:        d.identity.value.ClusterID,
		InitialMembers:   d.settings.InitialMembers,
		Seeds:            d.settings.Seeds,
		StoredGroups:     storedGroups,
		BootID:           bootID,
		Seed:             bootID,
		BatchGracePeriod: d.settings.BatchGracePeriod,
		ReplaceAfter:     d.settings.ReplaceAfter,
		JournalRetention: d.settings.JournalRetention,
		RefuseWhenCutOff: d.settings.RefuseWhenCutOff,
		Policy:           d.settings.Policy,
	}, d.now())
	return err
}

// newBootID returns a random 63-bit ID that is never zero.
func newBootID() uint64 {
	var bytes [8]byte
	rand.Read(bytes[:])
	return binary.LittleEndian.Uint64(bytes[:])>>1 | 1
}

// now returns the monotonic time since NewDaemon. It is never zero.
func (d *Daemon) now() time.Duration { return time.Since(d.startedAt) + time.Millisecond }

// PeerAddress returns the listen address for other daemons.
func (d *Daemon) PeerAddress() string { return d.transport.Address() }

// HTTPAddress returns the listen address for callers, endpoints, workers and operators.
func (d *Daemon) HTTPAddress() string { return d.server.address() }

// Run serves until the context ends and then stops gracefully: it reports not ready, gives the balancer time to notice,
// hands over leadership and answers the requests in progress. A disk failure ends it immediately with an error.
func (d *Daemon) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	loop := pimroutine.Start(inner, d.loop)
	peers := pimroutine.Start(inner, d.transport.Run)
	server := pimroutine.Start(inner, d.server.run)
	d.logger.Info().Str("http", d.HTTPAddress()).Str("peer", d.PeerAddress()).Str("id", d.identity.memberID()).
		Msg("daemon started")
	var err error
	select {
	case <-ctx.Done():
		err = d.drainAndWait()
	case err = <-d.failure:
		d.logger.Error().Err(err).Msg("daemon is stopping after a failure")
	}
	d.server.stop()
	cancel()
	<-server
	<-peers
	<-loop
	d.sends.StopAndWait()
	d.decodes.StopAndWait()
	d.close()
	return err
}

// Kill ends the daemon immediately, as a crash would: only synced data survives.
func (d *Daemon) Kill() {
	d.fail(pimcode.New(pimcode.ProgramFailed, "killed"))
}

func (d *Daemon) close() {
	if d.disk != nil {
		d.disk.close()
	}
	if d.lock != nil {
		d.lock.Release()
	}
}

// fail makes Run return err. Only the first failure counts.
func (d *Daemon) fail(err error) {
	select {
	case d.failure <- err:
	default:
	}
}

// drainAndWait is the graceful stop. Readiness turns false immediately. Requests are still accepted during DrainDelay,
// since the balancer routes to this daemon until it notices.
func (d *Daemon) drainAndWait() error {
	d.server.setStopping()
	d.logger.Info().Msg("daemon is draining: reports not ready, still accepts requests")
	select {
	case <-time.After(d.settings.DrainDelay):
	case err := <-d.failure:
		return err
	}
	d.post(pimcore.Drain{})
	select {
	case <-d.drained:
		d.logger.Info().Msg("daemon is drained: all requests are answered, leadership is handed over where possible")
		return nil
	case <-time.After(d.settings.DrainTimeout):
		return pimcode.New(pimcode.DeadlineExceeded,
			"not drained after %s: requests are in progress or leadership is not handed over", d.settings.DrainTimeout)
	case err := <-d.failure:
		return err
	}
}

// loop is the only goroutine that uses the core.
func (d *Daemon) loop(ctx context.Context) error {
	ticker := time.NewTicker(pimcore.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.node.Handle(d.now(), pimcore.Tick{})
			d.isServing.Store(d.node.IsServing())
		case event := <-d.events:
			d.node.Handle(d.now(), event)
			d.handleQueued()
		}
		d.execute(d.node.Take())
		if d.node.IsDrained() {
			d.drainOnce.Do(func() { close(d.drained) })
		}
	}
}

// handleQueued handles the events that are already queued, so that their writes share one sync.
func (d *Daemon) handleQueued() {
	for range maxEventsPerBatch {
		select {
		case event := <-d.events:
			d.node.Handle(d.now(), event)
		default:
			return
		}
	}
}

func (d *Daemon) execute(commands []pimcore.Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case pimcore.SendPeer:
			d.transport.Send(c.Address, c.To, c.Message)
		case pimcore.Persist:
			d.disk.submit(c)
		case pimcore.SaveIdentity:
			if err := d.identity.setClusterID(c.ClusterID); err != nil {
				d.fail(err)
			}
		case pimcore.SendEndpoint:
			d.sendEndpoint(c.Attempt)
		case pimcore.AnswerRequest:
			d.metrics.CountOutcome(string(c.Answer.Outcome), c.Answer.Code.String())
			d.completeCall(c.Token, c.Answer)
		case pimcore.AnswerCall:
			d.completeCall(c.Token, c)
		case pimcore.AnswerStatus:
			d.completeCall(c.Token, c.Status)
		default:
			d.logDecision(command)
		}
	}
}

// sendEndpoint sends an attempt from the pool. If the pool is full, the attempt ends as not sent.
func (d *Daemon) sendEndpoint(attempt pimrequest.SendAttempt) {
	_, accepted := d.sends.TrySubmit(func() {
		started := time.Now()
		result := d.endpoints.send(attempt)
		d.metrics.ObserveAttempt(time.Since(started))
		d.post(pimcore.AttemptEnded{Result: result})
	})
	if !accepted {
		d.metrics.CountShed("endpoint-sends")
		result := pimrequest.Result{Attempt: attempt.Attempt, Kind: pimrequest.ResultNotSent}
		d.node.Handle(d.now(), pimcore.AttemptEnded{Result: result})
	}
}

// onPersisted runs after the sync of a batch: it sends the messages that depend on it and reports it to the core.
func (d *Daemon) onPersisted(command pimcore.Persist) {
	for _, send := range command.SendAfterSync {
		d.transport.Send(send.Address, send.To, send.Message)
	}
	if command.Index > 0 {
		d.post(pimcore.Persisted{Group: command.Group, Index: command.Index, Term: command.Term})
	}
}

func (d *Daemon) onPeer(from, to string, message pimmessage.PeerMessage) {
	d.post(pimcore.PeerReceived{From: from, To: to, Message: message})
}

// post queues an event for the core. It blocks while the queue is full and may drop events once the core has drained.
func (d *Daemon) post(event pimcore.Event) {
	select {
	case d.events <- event:
	case <-d.drained:
	}
}

// callCore posts an event that carries a new token and waits for the reply to that token. It returns nil on a timeout.
func (d *Daemon) callCore(timeout time.Duration, event func(token uint64) pimcore.Event) any {
	reply := make(chan any, 1)
	d.mutex.Lock()
	d.lastToken++
	token := d.lastToken
	d.pendingCalls[token] = reply
	d.mutex.Unlock()
	d.post(event(token))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case answer := <-reply:
		return answer
	case <-timer.C:
		d.mutex.Lock()
		delete(d.pendingCalls, token)
		d.mutex.Unlock()
		return nil
	}
}

// completeCall passes a reply to the callCore that waits for it. A late reply is dropped.
func (d *Daemon) completeCall(token uint64, answer any) {
	d.mutex.Lock()
	reply := d.pendingCalls[token]
	delete(d.pendingCalls, token)
	d.mutex.Unlock()
	if reply != nil {
		reply <- answer
	}
}

// logDecision logs membership events, and routing and placement decisions at the rate of LogSampleInterval.
func (d *Daemon) logDecision(command pimcore.Command) {
	switch c := command.(type) {
	case pimcore.LogEvent:
		d.logger.Info().Str("group", c.Group).Str("event", c.Event).Str("detail", c.Detail).Msg("membership")
		return
	case pimcore.LogRouting:
		if d.isSampled() {
			d.logger.Info().Str("request", c.Decision.RequestID).Str("service", c.Decision.Service).
				Str("choice", c.Decision.Choice).Str("reason", c.Decision.Reason).
				Int("candidates", c.Decision.Candidates).Str("failure-domain", c.Decision.Domain).
				Uint64("version", c.Version).Msg("routing")
		}
	case pimcore.LogPlacement:
		if d.isSampled() {
			d.logger.Info().Str("job", c.Decision.Task.Job).Int("index", c.Decision.Task.Index).
				Str("choice", c.Decision.Choice).Str("reason", c.Decision.Reason).
				Int("candidates", c.Decision.Candidates).Uint64("version", c.Version).Msg("placement")
		}
	}
}

// isSampled counts a decision and reports whether it is logged.
func (d *Daemon) isSampled() bool {
	d.decisionCount++
	return d.settings.LogSampleInterval > 0 && d.decisionCount%uint64(d.settings.LogSampleInterval) == 0
}
