package main

import (
	"context"
	"net"
	"sync"
	"time"
)

// link is the network between one executor and all other machines. Bytes that are held up by a cut arrive after it.
type link struct {
	mutex sync.Mutex
	// inCut and outCut are set while nothing passes to the executor, and from it.
	inCut, outCut bool
}

// linkConn is a connection of the executor over its link.
type linkConn struct {
	net.Conn
	link   *link
	closed chan struct{}
	once   sync.Once
}

// linkListener accepts connections over a link.
type linkListener struct {
	net.Listener
	link *link
}

const linkPoll = 2 * time.Millisecond

func (l *link) set(inCut, outCut bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.inCut, l.outCut = inCut, outCut
}

func (l *link) isCut() (in, out bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.inCut, l.outCut
}

func (l *link) wrap(conn net.Conn) net.Conn {
	return &linkConn{Conn: conn, link: l, closed: make(chan struct{})}
}

// await waits until a direction is open, or the connection is closed.
func (c *linkConn) await(isOpen func(in, out bool) bool) error {
	for !isOpen(c.link.isCut()) {
		select {
		case <-c.closed:
			return net.ErrClosed
		case <-time.After(linkPoll):
		}
	}
	return nil
}

// Read returns bytes that have passed to the executor.
func (c *linkConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if cut := c.await(func(in, _ bool) bool { return !in }); cut != nil {
		return 0, cut
	}
	return n, err
}

// Write sends bytes once the way from the executor is open.
func (c *linkConn) Write(data []byte) (int, error) {
	if err := c.await(func(_, out bool) bool { return !out }); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// Close closes the connection.
func (c *linkConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Accept waits for a connection whose opening has passed both ways.
func (l linkListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.link.wrap(conn), nil
}

// dial opens a connection, which needs both directions.
func (l *link) dial(ctx context.Context, network, address string) (net.Conn, error) {
	for {
		if in, out := l.isCut(); !in && !out {
			break
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(linkPoll):
		}
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return l.wrap(conn), nil
}
