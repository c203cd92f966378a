package pimdaemon

import (
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"github.com/pimentoswitch/pimentoswitch/internal/route/pimrequest"
)

type (
	// endpointClient sends attempts to endpoints. A non-idempotent request always opens a connection of its own, since
	// one that died silently while idle would leave the outcome of the request unknown.
	endpointClient struct {
		mutex   sync.Mutex
		clients map[clientKey]*fasthttp.HostClient
	}

	// clientKey identifies the client for one kind of request to an address. The client for non-idempotent requests
	// closes each connection after its response, so that it never has an idle one.
	clientKey struct {
		address    string
		idempotent bool
	}
)

// HTTP headers between an entry daemon and an endpoint.
const (
	HeaderRequestID  = "Pimentoswitch-Request-Id"
	HeaderAttempt    = "Pimentoswitch-Attempt"
	HeaderDeadlineMS = "Pimentoswitch-Deadline-Millis"
	HeaderIdempotent = "Pimentoswitch-Idempotent"
	HeaderOutcome    = "Pimentoswitch-Outcome"
)

const (
	endpointDialTimeout = 300 * time.Millisecond
	maxConnsPerEndpoint = 16
	idleConnTimeout     = 500 * time.Millisecond
	maxResponseBytes    = 8 << 20
	maxClients          = 4096
	outcomeNotRun       = "not-run"
)

// errDial is the class of connect errors: no byte of the request was sent.
var errDial = errs.Class("dial")

func newEndpointClient() *endpointClient {
	return &endpointClient{clients: map[clientKey]*fasthttp.HostClient{}}
}

// hostClient returns the client for a kind of request. At maxClients it forgets all clients, so that addresses of endpoints
// that are gone don't accumulate.
func (c *endpointClient) hostClient(key clientKey) *fasthttp.HostClient {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	client := c.clients[key]
	if client != nil {
		return client
	}
	if len(c.clients) >= maxClients {
		clear(c.clients)
	}
	client = &fasthttp.HostClient{
		Addr:                          key.address,
		Dial:                          dialEndpoint,
		MaxConns:                      maxConnsPerEndpoint,
		MaxIdleConnDuration:           idleConnTimeout,
		MaxIdemponentCallAttempts:     1,
		StreamResponseBody:            true,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		DisableHeaderNamesNormalizing: false,
	}
	c.clients[key] = client
	return client
}

func dialEndpoint(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, endpointDialTimeout)
	return conn, errDial.Wrap(err)
}

// send executes one attempt and returns its result.
func (c *endpointClient) send(a pimrequest.SendAttempt) pimrequest.Result {
	result := pimrequest.Result{Attempt: a.Attempt}
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	fillRequest(request, a)
	err := c.hostClient(clientKey{a.Address, a.Idempotent}).DoTimeout(request, response, a.TTL)
	switch {
	case errDial.Has(err) || errors.Is(err, fasthttp.ErrNoFreeConns):
		result.Kind = pimrequest.ResultNotSent
	case err != nil:
		result.Kind = pimrequest.ResultLost
	default:
		result.Kind, result.Payload = readResponse(response, a)
	}
	return result
}

// readResponse reads the body from the stream. For a body that ends with its connection, fasthttp sets the length to
// the bytes received, so a truncated body would look complete. Only the connection of a complete response is reused.
func readResponse(response *fasthttp.Response, a pimrequest.SendAttempt) (pimrequest.ResultKind, []byte) {
	length := response.Header.ContentLength()
	var body []byte
	var err error
	if length > 0 && length <= maxResponseBytes {
		body = make([]byte, length)
		_, err = io.ReadFull(response.BodyStream(), body)
	}
	kind := classifyResponse(response, a)
	if kind == pimrequest.ResultComplete && (err != nil || length < 0 || length > maxResponseBytes) {
		kind = pimrequest.ResultIncomplete
	}
	if kind != pimrequest.ResultComplete {
		response.SetConnectionClose()
		body = nil
	}
	if err := response.CloseBodyStream(); err != nil {
		return pimrequest.ResultIncomplete, nil
	}
	return kind, body
}

func fillRequest(request *fasthttp.Request, a pimrequest.SendAttempt) {
	request.SetRequestURI("http://" + a.Address + "/v1/services/" + a.Service + "/requests")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.Header.Set(HeaderRequestID, a.RequestID)
	request.Header.Set(HeaderAttempt, a.Attempt)
	request.Header.Set(HeaderDeadlineMS, strconv.FormatInt(a.TTL.Milliseconds(), 10))
	request.Header.Set(HeaderIdempotent, strconv.FormatBool(a.Idempotent))
	request.SetBodyRaw(a.Payload)
	if !a.Idempotent {
		request.SetConnectionClose()
	}
}

// classifyResponse checks by status and headers whether a response belongs to the attempt and reports an execution.
func classifyResponse(response *fasthttp.Response, a pimrequest.SendAttempt) pimrequest.ResultKind {
	if string(response.Header.Peek(HeaderAttempt)) != a.Attempt {
		return pimrequest.ResultMismatched
	}
	if string(response.Header.Peek(HeaderOutcome)) == outcomeNotRun {
		return pimrequest.ResultRefused
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return pimrequest.ResultLost
	}
	return pimrequest.ResultComplete
}
