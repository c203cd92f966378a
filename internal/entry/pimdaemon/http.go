package pimdaemon

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/node/pimcore"
)

type (
	// httpServer serves the HTTP interface for callers, endpoints, workers and operators.
	httpServer struct {
		daemon     *Daemon
		listener   net.Listener
		server     *fasthttp.Server
		isStopping atomic.Bool
	}

	// route maps a method and a path to a handler. The segment "*" matches any segment, which the handler gets as its
	// parameter.
	route struct {
		method  string
		path    string
		handler func(s *httpServer, ctx *fasthttp.RequestCtx, parameter string)
	}

	// ErrorBody is the JSON body of an error response. A caller's request that passed validation gets a ResponseBody
	// instead. Faults lists the faults of a rejected manifest.
	ErrorBody struct {
		Code             int    `json:"code"`
		Name             string `json:"name"`
		Detail           string `json:"detail,omitempty"`
		RetryAfterMillis int64  `json:"retry-after-millis,omitempty"`
		Faults           any    `json:"faults,omitempty"`
	}
)

// Limits of the HTTP interface.
const (
	maxBodyBytes    = 4 << 20
	readTimeout     = 30 * time.Second
	idleHTTPTimeout = 60 * time.Second
	maxHTTPConns    = 4096
	operatorTimeout = 10 * time.Second
	reportTimeout   = 900 * time.Millisecond
	stopTimeout     = 5 * time.Second
	retryAfter      = 250 * time.Millisecond
)

var routes = []route{
	{"POST", "/v1/services/*/requests", (*httpServer).postRequest},
	{"POST", "/v1/endpoints", (*httpServer).postEndpoint},
	{"POST", "/v1/workers", (*httpServer).postWorker},
	{"POST", "/v1/workers/*/reports", (*httpServer).postReport},
	{"PUT", "/v1/manifest", (*httpServer).putManifest},
	{"GET", "/v1/manifest", (*httpServer).getManifest},
	{"PUT", "/v1/failure-domains/*", (*httpServer).putDomain},
	{"GET", "/v1/failure-domains", (*httpServer).getDomains},
	{"GET", "/v1/failure-domains/*", (*httpServer).getDomain},
	{"GET", "/v1/force", (*httpServer).getVersionStatus},
	{"GET", "/v1/status", (*httpServer).getStatus},
	{"GET", "/metrics", (*httpServer).getMetrics},
	{"GET", "/healthz", (*httpServer).getHealth},
	{"GET", "/readyz", (*httpServer).getReady},
}

func newHTTPServer(d *Daemon, address string) (*httpServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, pimcode.New(pimcode.AddressInUse, "listen-http %q: %v", address, err)
	}
	s := &httpServer{daemon: d, listener: listener}
	s.server = &fasthttp.Server{
		Handler:               s.handle,
		MaxRequestBodySize:    maxBodyBytes,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleHTTPTimeout,
		Concurrency:           maxHTTPConns,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
	return s, nil
}

// discardLogger drops the log lines of fasthttp, since each failure is already reported in a response.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}

func (s *httpServer) address() string { return s.listener.Addr().String() }

func (s *httpServer) run(context.Context) error { return s.server.Serve(s.listener) }

func (s *httpServer) setStopping() { s.isStopping.Store(true) }

// stop closes the listener and waits up to stopTimeout for responses in progress.
func (s *httpServer) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := s.server.ShutdownWithContext(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
		s.daemon.logger.Warn().Err(err).Msg("HTTP shutdown did not complete")
	}
}

func (s *httpServer) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	for _, r := range routes {
		parameter, ok := match(r.path, path)
		if ok && r.method == string(ctx.Method()) {
			r.handler(s, ctx, parameter)
			return
		}
	}
	writeCode(ctx, pimcode.UnknownPath, string(ctx.Method())+" "+path)
}

// match reports whether a path matches a pattern and returns the segment that "*" matched.
func match(pattern, path string) (string, bool) {
	before, after, hasWildcard := strings.Cut(pattern, "*")
	if !hasWildcard {
		return "", pattern == path
	}
	rest, ok := strings.CutPrefix(path, before)
	if !ok {
		return "", false
	}
	parameter, ok := strings.CutSuffix(rest, after)
	ok = ok && parameter != "" && !strings.Contains(parameter, "/")
	return parameter, ok
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = fasthttp.StatusInternalServerError, []byte(`{}`)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(data, '\n'))
}

// writeCode responds with a result code. With HTTP status 503 it asks the client to retry after retryAfter.
func writeCode(ctx *fasthttp.RequestCtx, code pimcode.Code, detail string) {
	row := pimcode.Lookup(code)
	body := ErrorBody{Code: int(code), Name: row.Name, Detail: detail}
	if row.HTTPStatus == fasthttp.StatusServiceUnavailable {
		body.RetryAfterMillis = retryAfter.Milliseconds()
	}
	writeJSON(ctx, row.HTTPStatus, body)
}

// readJSONPooled runs readJSON in a bounded pool, since thousands of reports may arrive at once after an outage. If the
// pool is full, the report is rejected and its sender tries again.
func (s *httpServer) readJSONPooled(ctx *fasthttp.RequestCtx, target any) bool {
	decoded := false
	task, accepted := s.daemon.decodes.TrySubmit(func() { decoded = readJSON(ctx, target) })
	if !accepted {
		s.daemon.metrics.CountShed("decodes")
		writeCode(ctx, pimcode.Overloaded, "too many reports at once")
		return false
	}
	if err := task.Wait(); err != nil {
		writeCode(ctx, pimcode.Overloaded, err.Error())
		return false
	}
	return decoded
}

// readJSON decodes the body and rejects unknown fields. On an error it writes the response and returns false.
func readJSON(ctx *fasthttp.RequestCtx, target any) bool {
	decoder := json.NewDecoder(strings.NewReader(string(ctx.PostBody())))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		writeCode(ctx, pimcode.BadRequest, err.Error())
		return false
	}
	return true
}

// status queries the core for its status. On a timeout it writes the response and returns false.
func (s *httpServer) status(ctx *fasthttp.RequestCtx) (pimcore.Status, bool) {
	status, ok := s.daemon.callCore(operatorTimeout, func(token uint64) pimcore.Event {
		return pimcore.StatusRequested{Token: token}
	}).(pimcore.Status)
	if !ok {
		writeCode(ctx, pimcode.CallTimeout, "the daemon is busy or stopping")
	}
	return status, ok
}

func (s *httpServer) getHealth(ctx *fasthttp.RequestCtx, _ string) {
	if status, ok := s.status(ctx); ok {
		writeJSON(ctx, fasthttp.StatusOK, map[string]string{"daemon": status.Daemon})
	}
}

// getReady reads a flag that each tick updates instead of querying the core, since balancers probe often.
func (s *httpServer) getReady(ctx *fasthttp.RequestCtx, _ string) {
	switch {
	case s.isStopping.Load():
		writeCode(ctx, pimcode.Draining, "")
	case !s.daemon.isServing.Load():
		writeCode(ctx, pimcode.NoLeader, "no group with a leader is known yet")
	default:
		writeJSON(ctx, fasthttp.StatusOK, map[string]string{"daemon": s.daemon.settings.Name})
	}
}

func (s *httpServer) getMetrics(ctx *fasthttp.RequestCtx, _ string) {
	d := s.daemon
	d.metrics.SetGauges(d.transport.Counters().Values())
	d.metrics.SetGauge("endpoint-sends-running", float64(d.sends.RunningWorkers()))
	if status, ok := s.status(ctx); ok {
		d.metrics.SetGauge("config-version", float64(status.Version))
		d.metrics.SetGauge("requests-under-way", float64(status.Requests))
	}
	ctx.SetContentType("text/plain; version=0.0.4")
	if err := d.metrics.WriteText(ctx); err != nil {
		writeCode(ctx, pimcode.ProgramFailed, err.Error())
	}
}
