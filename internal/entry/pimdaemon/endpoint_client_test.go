package pimdaemon

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/route/pimrequest"
)

// serveRaw returns the address of a listener that responds to the first request of each connection with raw bytes and
// then closes the connection.
func serveRaw(t *testing.T, raw string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				fmt.Fprint(conn, raw)
			}
			conn.Close()
		}
	}()
	t.Cleanup(func() {
		listener.Close()
		<-done
	})
	return listener.Addr().String()
}

func TestSend(t *testing.T) {
	const attemptHeader = HeaderAttempt + ": a-1\r\n"
	cases := map[string]struct {
		raw  string
		kind pimrequest.ResultKind
	}{
		"a complete response":                    {"HTTP/1.1 200 OK\r\n" + attemptHeader + "Content-Length: 4\r\n\r\ngood", pimrequest.ResultComplete},
		"the response to another attempt":        {"HTTP/1.1 200 OK\r\n" + HeaderAttempt + ": a-2\r\nContent-Length: 4\r\n\r\ngood", pimrequest.ResultMismatched},
		"a response without an attempt":          {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood", pimrequest.ResultMismatched},
		"a truncated response":                   {"HTTP/1.1 200 OK\r\n" + attemptHeader + "Content-Length: 40\r\n\r\ngood", pimrequest.ResultIncomplete},
		"a response without a length":            {"HTTP/1.1 200 OK\r\n" + attemptHeader + "\r\ngood", pimrequest.ResultIncomplete},
		"the endpoint reports not-run":           {"HTTP/1.1 503 No\r\n" + attemptHeader + HeaderOutcome + ": not-run\r\nContent-Length: 0\r\n\r\n", pimrequest.ResultRefused},
		"an error status without not-run":        {"HTTP/1.1 503 No\r\n" + attemptHeader + "Content-Length: 0\r\n\r\n", pimrequest.ResultLost},
		"a connection closed without a response": {"", pimrequest.ResultLost},
		"not-run for another attempt":            {"HTTP/1.1 503 No\r\n" + HeaderAttempt + ": a-2\r\n" + HeaderOutcome + ": not-run\r\nContent-Length: 0\r\n\r\n", pimrequest.ResultMismatched},
		"a response that is not HTTP":            {"good\r\n\r\n", pimrequest.ResultLost},
	}
	for name, c := range cases {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, idempotent %t", name, idempotent), func(t *testing.T) {
				result := newEndpointClient().send(pimrequest.SendAttempt{
					Attempt: "a-1", Address: serveRaw(t, c.raw), Service: "callout", RequestID: "north.1", Idempotent: idempotent, TTL: 20 * time.Second,
				})
				assert.Equal(t, result.Kind, c.kind)
				assert.Equal(t, result.Attempt, "a-1")
			})
		}
	}
	t.Run("connection refused: not sent", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		address := listener.Addr().String()
		assert.NilError(t, listener.Close())
		result := newEndpointClient().send(pimrequest.SendAttempt{Attempt: "a-1", Address: address, TTL: 20 * time.Second})
		assert.Equal(t, result.Kind, pimrequest.ResultNotSent)
	})
}

// TestNonIdempotentRequestOpensAConnection checks that a non-idempotent request isn't sent on a connection that was idle,
// which may have died silently.
func TestNonIdempotentRequestOpensAConnection(t *testing.T) {
	var connections atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderAttempt, "a-1")
		fmt.Fprint(w, "good")
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := newEndpointClient()
	for i, idempotent := range []bool{true, true, false, false} {
		result := client.send(pimrequest.SendAttempt{
			Attempt: "a-1", Address: server.Listener.Addr().String(), Service: "callout", Idempotent: idempotent, TTL: 20 * time.Second,
		})
		assert.Equal(t, result.Kind, pimrequest.ResultComplete)
		assert.Equal(t, connections.Load(), []int64{1, 1, 2, 3}[i])
	}
}
