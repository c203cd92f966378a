package pimpeer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/phuslu/log"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/base/pimroutine"
	"github.com/pimentoswitch/pimentoswitch/internal/base/pimsocket"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
)

type (
	// ReceiveFunc handles a message from another daemon. It may be called concurrently.
	ReceiveFunc func(from, to string, message pimmessage.PeerMessage)

	// Counters are the transport's counters since its start. Sent counts messages, Received
	// counts frames including pings, and the bytes are those of message bodies. Dropped counts
	// messages dropped at a full queue, by number or by size, SilentConnections counts
	// connections closed after PongTimeout, Panics counts messages whose handling panicked.
	Counters struct {
		Sent, Received, BytesSent, BytesReceived, Dropped, Dials, SilentConnections, Panics atomic.Int64
	}

	// Transport sends messages to other daemons and receives theirs.
	Transport struct {
		self     string
		listener net.Listener
		receive  ReceiveFunc
		logger   *log.Logger
		counters Counters
		// incoming is the number of open connections of other daemons.
		incoming atomic.Int64

		mutex sync.Mutex
		peers map[string]*outgoing
	}

	// outgoing is the connection to one peer. Its pool has one worker, so that frames keep
	// their order, and a queue that is bounded in messages and in bytes, so that an
	// unresponsive peer takes limited memory.
	outgoing struct {
		transport   *Transport
		address     string
		pool        pond.Pool
		queuedBytes atomic.Int64

		mutex    sync.Mutex
		conn     net.Conn
		lastPong time.Time
		pings    uint64
		failures int
		retryAt  time.Time
	}
)

// Timing and limits of connections.
const (
	DialTimeout     = 500 * time.Millisecond
	WriteTimeout    = time.Second
	PingInterval    = 500 * time.Millisecond
	PongTimeout     = 1500 * time.Millisecond
	initialBackoff  = 50 * time.Millisecond
	maxBackoff      = 2 * time.Second
	sendQueueLength = 4096
	// MaxQueuedBytes is the size of the messages that may wait for one peer. A larger message is
	// sent only to a peer for which none waits.
	MaxQueuedBytes         = 8 << 20
	maxIncomingConnections = 1024
	idleTimeout            = 10 * time.Second
)

// NewTransport returns a transport for the daemon with id self and listens on address. It
// fails with AddressInUse.
func NewTransport(self, address string, receive ReceiveFunc, logger *log.Logger) (*Transport, error) {
	listener, err := pimsocket.Listen("tcp", address, logger)
	if err != nil {
		return nil, pimcode.New(pimcode.AddressInUse, "listen-peer %q: %v", address, err)
	}
	return &Transport{self: self, listener: listener, receive: receive, logger: logger, peers: map[string]*outgoing{}}, nil
}

// Address returns the address on which the transport listens.
func (t *Transport) Address() string { return t.listener.Addr().String() }

// Counters returns the transport's counters.
func (t *Transport) Counters() *Counters { return &t.counters }

// Connections returns the number of open connections to and from other daemons.
func (t *Transport) Connections() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	open := int(t.incoming.Load())
	for _, o := range t.peers {
		o.mutex.Lock()
		if o.conn != nil {
			open++
		}
		o.mutex.Unlock()
	}
	return open
}

// Values returns the counters by the names under which daemons show them as metrics.
func (c *Counters) Values() map[string]float64 {
	return map[string]float64{
		"peer-frames-sent":        float64(c.Sent.Load()),
		"peer-bytes-sent":         float64(c.BytesSent.Load()),
		"peer-bytes-received":     float64(c.BytesReceived.Load()),
		"peer-frames-refused":     float64(c.Dropped.Load()),
		"peer-silent-connections": float64(c.SilentConnections.Load()),
		"peer-panics":             float64(c.Panics.Load()),
	}
}

// Run accepts connections and pings peers until ctx is cancelled.
func (t *Transport) Run(ctx context.Context) error {
	closed := pimroutine.Start(ctx, func(ctx context.Context) error {
		<-ctx.Done()
		return t.listener.Close()
	})
	pings := pimroutine.Start(ctx, t.pingLoop)
	err := t.acceptLoop(ctx)
	<-closed
	<-pings
	t.closePeers()
	return err
}

func (t *Transport) acceptLoop(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	slots := make(chan struct{}, maxIncomingConnections)
	for {
		conn, err := t.listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			time.Sleep(initialBackoff)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			conn.Close()
			continue
		}
		t.incoming.Add(1)
		running.Go(func() {
			t.readLoop(ctx, conn)
			t.incoming.Add(-1)
			<-slots
		})
	}
}

// readLoop reads the frames of an incoming connection and answers pings. It closes the
// connection after idleTimeout without a frame.
func (t *Transport) readLoop(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	reader := bufio.NewReaderSize(conn, 64<<10)
	for {
		if err := conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return
		}
		frame, err := ReadFrame(reader)
		if err != nil {
			return
		}
		t.counters.Received.Add(1)
		t.counters.BytesReceived.Add(int64(len(frame.Body)))
		if len(frame.Body) == 0 {
			if writeFrame(conn, Frame{Ping: frame.Ping}) != nil {
				return
			}
			continue
		}
		message, err := pimmessage.DecodePeerMessage(frame.Body)
		if err != nil {
			return
		}
		cause, stack := pimroutine.Recover(func() { t.receive(frame.From, frame.To, message) })
		if cause != nil {
			t.counters.Panics.Add(1)
			t.logger.Error().Any("cause", cause).Str("from", frame.From).Str("kind", fmt.Sprintf("%T", message)).
				Int("bytes", len(frame.Body)).Bytes("stack", stack).Msg("handling a message of a peer panicked")
		}
	}
}

func writeFrame(conn net.Conn, frame Frame) error {
	data, err := EncodeFrame(frame)
	if err != nil {
		return err
	}
	if err := conn.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return err
	}
	_, err = conn.Write(data)
	return err
}

// Send queues a message for the daemon with id to at address. It never blocks: a message that
// can't be sent is dropped, since all protocols above retry.
func (t *Transport) Send(address, to string, message pimmessage.PeerMessage) {
	o := t.peerAt(address)
	size := int64(pimmessage.SizeOf(message))
	if queued := o.queuedBytes.Add(size); queued > size && queued > MaxQueuedBytes {
		o.queuedBytes.Add(-size)
		t.counters.Dropped.Add(1)
		return
	}
	_, accepted := o.pool.TrySubmit(func() {
		o.write(to, message)
		o.queuedBytes.Add(-size)
	})
	if !accepted {
		o.queuedBytes.Add(-size)
		t.counters.Dropped.Add(1)
	}
}

func (t *Transport) peerAt(address string) *outgoing {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	o := t.peers[address]
	if o == nil {
		pool := pond.NewPool(1, pond.WithQueueSize(sendQueueLength), pond.WithNonBlocking(true))
		o = &outgoing{transport: t, address: address, pool: pool}
		t.peers[address] = o
	}
	return o
}

func (t *Transport) closePeers() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, o := range t.peers {
		o.pool.StopAndWait()
		o.closeConnection(nil)
	}
}

func (t *Transport) pingLoop(ctx context.Context) error {
	ticker := time.NewTicker(PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			t.pingAll()
		}
	}
}

func (t *Transport) pingAll() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, o := range t.peers {
		o.pool.TrySubmit(o.ping)
	}
}

// connection returns the open connection, or dials a new one unless the backoff after a
// failed dial still runs. It returns nil if there is none.
func (o *outgoing) connection() net.Conn {
	o.mutex.Lock()
	conn, retryAt := o.conn, o.retryAt
	o.mutex.Unlock()
	if conn != nil {
		return conn
	}
	if time.Now().Before(retryAt) {
		return nil
	}
	o.transport.counters.Dials.Add(1)
	conn, err := net.DialTimeout("tcp", o.address, DialTimeout)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if err != nil {
		o.failures++
		wait := min(maxBackoff, initialBackoff<<min(o.failures, 6))
		o.retryAt = time.Now().Add(wait/2 + rand.N(wait/2))
		return nil
	}
	o.failures = 0
	o.conn = conn
	o.lastPong = time.Now()
	go o.pongLoop(conn)
	return conn
}

// pongLoop reads the pongs on an outgoing connection until the connection is closed, by
// closeConnection or the peer.
func (o *outgoing) pongLoop(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		if _, err := ReadFrame(reader); err != nil {
			o.closeConnection(conn)
			return
		}
		o.mutex.Lock()
		o.lastPong = time.Now()
		o.mutex.Unlock()
	}
}

// closeConnection closes the current connection if it is conn or if conn is nil.
func (o *outgoing) closeConnection(conn net.Conn) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.conn != nil && (conn == nil || o.conn == conn) {
		o.conn.Close()
		o.conn = nil
	}
}

func (o *outgoing) write(to string, message pimmessage.PeerMessage) {
	conn := o.connection()
	if conn == nil {
		return
	}
	body, err := pimmessage.Encode(message)
	if err != nil {
		return
	}
	err = writeFrame(conn, Frame{From: o.transport.self, To: to, Body: body})
	if err != nil && !errors.Is(err, net.ErrClosed) {
		o.closeConnection(conn)
		return
	}
	o.transport.counters.Sent.Add(1)
	o.transport.counters.BytesSent.Add(int64(len(body)))
}

// ping sends a ping on the open connection, or closes it if the last pong is older than PongTimeout.
func (o *outgoing) ping() {
	o.mutex.Lock()
	conn, silence := o.conn, time.Since(o.lastPong)
	o.pings++
	number := o.pings
	o.mutex.Unlock()
	if conn == nil {
		return
	}
	if silence > PongTimeout {
		o.transport.counters.SilentConnections.Add(1)
		o.closeConnection(conn)
		return
	}
	if writeFrame(conn, Frame{Ping: number}) != nil {
		o.closeConnection(conn)
	}
}
