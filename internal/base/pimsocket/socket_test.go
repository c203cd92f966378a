package pimsocket_test

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimsocket"
)

// connect returns the two ends of a TCP connection.
func connect(t *testing.T) (client, server net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	client, err = net.Dial("tcp4", listener.Addr().String())
	assert.NilError(t, err)
	server, err = listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client, server
}

func TestDataAge(t *testing.T) {
	client, server := connect(t)
	_, err := client.Write([]byte("x"))
	assert.NilError(t, err)
	time.Sleep(300 * time.Millisecond)
	age := pimsocket.DataAge(server)
	assert.Assert(t, age >= 250*time.Millisecond && age < 10*time.Second, "age %v", age)
	one, other := net.Pipe()
	defer one.Close()
	defer other.Close()
	assert.Equal(t, pimsocket.DataAge(one), time.Duration(0))
	assert.Assert(t, !pimsocket.IsClosedByPeer(one))
}

func TestIsClosedByPeer(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(client net.Conn)
		want bool
	}{
		"open":   {func(net.Conn) {}, false},
		"data":   {func(client net.Conn) { _, _ = client.Write([]byte("x")) }, false},
		"closed": {func(client net.Conn) { _ = client.Close() }, true},
		"reset": {func(client net.Conn) {
			_ = client.(*net.TCPConn).SetLinger(0)
			_ = client.Close()
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			client, server := connect(t)
			c.end(client)
			for end := time.Now().Add(5 * time.Second); c.want && !pimsocket.IsClosedByPeer(server); time.Sleep(time.Millisecond) {
				assert.Assert(t, time.Now().Before(end))
			}
			assert.Equal(t, pimsocket.IsClosedByPeer(server), c.want)
		})
	}
}
