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
	// httpServer is the interface to callers, endpoints, workers and operators.
	httpServer struct {
		daemon     *Daemon
		listener   net.Listener
		server     *fasthttp.Server
		isStopping atomic.Bool
	}

	// route is one row of the table of paths. A segment "*" matches anything and is
	// handed to the handler.
	route struct {
		method  string
		path    string
		handler func(s *httpServer, ctx *fasthttp.RequestCtx, parameter string)
	}

	// ErrorBody is the body of every answer that is not a success.
	ErrorBody struct {
		Code             int    `json:"code"`
		Name             string `json:"name"`
		Detail           string `json:"detail,omitempty"`
		RetryAfterMillis int64  `json:"retry-after-millis,omitempty"`
		Faults           any    `json:"faults,omitempty"`
	}
)

// Limits on requests from outside.
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

// discardLogger drops the library's own lines; each failure has its answer.
type discardLogger struct{}

// Printf drops a line.
func (discardLogger) Printf(string, ...any) {}

func (s *httpServer) address() string { return s.listener.Addr().String() }

func (s *httpServer) run(context.Context) error { return s.server.Serve(s.listener) }

func (s *httpServer) setStopping() { s.isStopping.Store(true) }

// stop closes the listener and waits for the answers under way.
func (s *httpServer) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := s.server.ShutdownWithContext(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
		s.daemon.logger.Warn().Err(err).Msg("connections were still open")
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

// match compares a path with a pattern and returns what stands for "*".
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

func writeCode(ctx *fasthttp.RequestCtx, code pimcode.Code, detail string) {
	row := pimcode.Lookup(code)
	body := ErrorBody{Code: int(code), Name: row.Name, Detail: detail}
	if row.HTTPStatus == fasthttp.StatusServiceUnavailable {
		body.RetryAfterMillis = retryAfter.Milliseconds()
	}
	writeJSON(ctx, row.HTTPStatus, body)
}

// readJSONPooled is readJSON in the bounded pool for reports, of which thousands may come at
// once after an outage. A full pool sheds the report; its sender comes again.
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

// readJSON reads a body strictly and answers a bad one itself.
func readJSON(ctx *fasthttp.RequestCtx, target any) bool {
	decoder := json.NewDecoder(strings.NewReader(string(ctx.PostBody())))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		writeCode(ctx, pimcode.BadRequest, err.Error())
		return false
	}
	return true
}

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

// getReady answers from a flag that each tick sets, since balancers ask often.
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
	counters := d.transport.Counters()
	d.metrics.SetGauge("peer-frames-sent", float64(counters.Sent.Load()))
	d.metrics.SetGauge("peer-bytes-sent", float64(counters.BytesSent.Load()))
	d.metrics.SetGauge("peer-bytes-received", float64(counters.BytesReceived.Load()))
	d.metrics.SetGauge("peer-frames-refused", float64(counters.Refused.Load()))
	d.metrics.SetGauge("peer-silent-connections", float64(counters.SilentConnections.Load()))
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
