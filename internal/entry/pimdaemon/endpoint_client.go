package pimdaemon

import (
	"errors"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"github.com/pimentoswitch/pimentoswitch/internal/route/pimrequest"
)

type (
	// endpointClient sends attempts to endpoints. A non-idempotent request gets a
	// connection of its own, so it never risks one that went silent while idle.
	endpointClient struct {
		mutex   sync.Mutex
		clients map[string]*fasthttp.HostClient
	}
)

// Headers between an entry daemon and an endpoint.
const (
	HeaderRequestID  = "Pimentoswitch-Request-Id"
	HeaderAttempt    = "Pimentoswitch-Attempt"
	HeaderDeadlineMS = "Pimentoswitch-Deadline-Millis"
	HeaderIdempotent = "Pimentoswitch-Idempotent"
	HeaderOutcome    = "Pimentoswitch-Outcome"
)

const (
	endpointDialTimeout = 300 * time.Millisecond
	connectionsEach     = 16
	idleConnection      = 500 * time.Millisecond
	maxAnswerBytes      = 8 << 20
	maxClients          = 4096
	outcomeNotRun       = "not-run"
)

// errDial marks errors from before any byte was sent.
var errDial = errs.Class("dial")

func newEndpointClient() *endpointClient {
	return &endpointClient{clients: map[string]*fasthttp.HostClient{}}
}

func (c *endpointClient) clientFor(address string) *fasthttp.HostClient {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	client := c.clients[address]
	if client != nil {
		return client
	}
	if len(c.clients) >= maxClients {
		clear(c.clients)
	}
	client = &fasthttp.HostClient{
		Addr:                          address,
		Dial:                          dialEndpoint,
		MaxConns:                      connectionsEach,
		MaxIdleConnDuration:           idleConnection,
		MaxIdemponentCallAttempts:     1,
		MaxResponseBodySize:           maxAnswerBytes,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		DisableHeaderNamesNormalizing: false,
	}
	c.clients[address] = client
	return client
}

func dialEndpoint(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, endpointDialTimeout)
	return conn, errDial.Wrap(err)
}

// send carries out one attempt and says how it ended.
func (c *endpointClient) send(a pimrequest.SendAttempt) pimrequest.Result {
	result := pimrequest.Result{Attempt: a.Attempt}
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	fillRequest(request, a)
	err := c.clientFor(a.Address).DoTimeout(request, response, a.TTL)
	switch {
	case errDial.Has(err) || errors.Is(err, fasthttp.ErrNoFreeConns):
		result.Kind = pimrequest.ResultNotSent
	case err != nil:
		result.Kind = pimrequest.ResultLost
	default:
		result.Kind = judgeAnswer(response, a)
	}
	if result.Kind == pimrequest.ResultWhole {
		result.Payload = append([]byte(nil), response.Body()...)
	}
	return result
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

// judgeAnswer checks that an answer is whole and belongs to the attempt.
func judgeAnswer(response *fasthttp.Response, a pimrequest.SendAttempt) pimrequest.ResultKind {
	if string(response.Header.Peek(HeaderAttempt)) != a.Attempt {
		return pimrequest.ResultCrossed
	}
	if string(response.Header.Peek(HeaderOutcome)) == outcomeNotRun {
		return pimrequest.ResultRefused
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return pimrequest.ResultLost
	}
	if response.Header.ContentLength() != len(response.Body()) {
		return pimrequest.ResultIncomplete
	}
	return pimrequest.ResultWhole
}
