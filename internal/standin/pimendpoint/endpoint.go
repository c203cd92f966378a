// Package pimendpoint is a stand-in for an endpoint: it announces itself, runs each
// request by waiting for a while, and tells a witness what it ran.
package pimendpoint

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimroutine"
	"github.com/pimentoswitch/pimentoswitch/internal/entry/pimdaemon"
	"github.com/pimentoswitch/pimentoswitch/internal/route/pimslot"
	"github.com/pimentoswitch/pimentoswitch/internal/standin/pimplatform"
	"github.com/pimentoswitch/pimentoswitch/internal/standin/pimwitness"
)

type (
	// Settings describe one endpoint. Work is the mean time of a request; each takes
	// between half and one and a half of it.
	Settings struct {
		ID              string
		Service         string
		Domain          string
		Listen          string
		Slots           int
		MeanServiceTime time.Duration
		Seed            uint64
	}

	// Endpoint is one running stand-in.
	Endpoint struct {
		settings Settings
		balancer *pimplatform.Balancer
		witness  *pimwitness.Witness
		listener net.Listener
		server   *fasthttp.Server
		bootID   string

		mutex      sync.Mutex
		random     *rand.Rand
		running    map[string]bool
		executions map[string]int
		sequence   uint64
		token      pimslot.Token
		leaving    bool
	}
)

const (
	announceTimeout  = 2 * time.Second
	leaveGracePeriod = 1500 * time.Millisecond
	shutdownTimeout  = 5 * time.Second
)

// NewEndpoint listens; Run announces and serves.
func NewEndpoint(settings Settings, balancer *pimplatform.Balancer, witness *pimwitness.Witness) (*Endpoint, error) {
	listener, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return nil, err
	}
	e := &Endpoint{
		settings:   settings,
		balancer:   balancer,
		witness:    witness,
		listener:   listener,
		bootID:     strconv.FormatInt(time.Now().UnixNano(), 36),
		random:     rand.New(rand.NewPCG(settings.Seed, uint64(len(settings.ID)))),
		running:    map[string]bool{},
		executions: map[string]int{},
	}
	e.server = &fasthttp.Server{Handler: e.handle, NoDefaultServerHeader: true, CloseOnShutdown: true}
	return e, nil
}

// Address returns the address that the endpoint listens on.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// Run serves until the context ends, then leaves: it says so, goes on for a while
// with what it holds and still gets, and closes.
func (e *Endpoint) Run(ctx context.Context) error {
	serveCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := pimroutine.Start(serveCtx, func(context.Context) error { return e.server.Serve(e.listener) })
	announcer := pimroutine.Start(serveCtx, e.announceLoop)
	<-ctx.Done()
	e.leave(serveCtx)
	cancel()
	<-announcer
	shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancelShutdown()
	err := e.server.ShutdownWithContext(shutdownCtx)
	<-server
	return err
}

func (e *Endpoint) leave(ctx context.Context) {
	e.mutex.Lock()
	e.leaving = true
	e.mutex.Unlock()
	e.announce(ctx)
	select {
	case <-ctx.Done():
	case <-time.After(leaveGracePeriod):
	}
}

func (e *Endpoint) announceLoop(ctx context.Context) error {
	ticker := time.NewTicker(pimslot.AnnounceInterval)
	defer ticker.Stop()
	for {
		e.announce(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// announce tells an entry daemon about the endpoint; the next one if that fails.
func (e *Endpoint) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	for range 3 {
		var response pimdaemon.AnnounceResponse
		if err := e.balancer.Do(ctx, http.MethodPost, "/v1/endpoints", e.announcement(), &response); err == nil {
			e.mutex.Lock()
			e.token = response.Token
			e.mutex.Unlock()
			return
		}
	}
}

func (e *Endpoint) announcement() pimslot.Announcement {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.sequence++
	return pimslot.Announcement{
		ID:         e.settings.ID,
		Service:    e.settings.Service,
		Domain:     e.settings.Domain,
		Address:    e.Address(),
		Slots:      e.settings.Slots,
		Leaving:    e.leaving,
		Boot:       e.bootID,
		Sequence:   e.sequence,
		InProgress: slices.Sorted(maps.Keys(e.running)),
		Token:      e.token,
	}
}

func (e *Endpoint) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/executions" {
		e.writeExecutions(ctx)
		return
	}
	attempt := string(ctx.Request.Header.Peek(pimdaemon.HeaderAttempt))
	id := string(ctx.Request.Header.Peek(pimdaemon.HeaderRequestID))
	idempotent := string(ctx.Request.Header.Peek(pimdaemon.HeaderIdempotent)) == "true"
	ctx.Response.Header.Set(pimdaemon.HeaderAttempt, attempt)
	serviceTime, ok := e.startAttempt(attempt, id, idempotent)
	if !ok {
		ctx.Response.Header.Set(pimdaemon.HeaderOutcome, "not-run")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	time.Sleep(serviceTime)
	e.endAttempt(attempt)
	ctx.SetContentType("application/json")
	fmt.Fprintf(ctx, `{"endpoint":%q,"request-id":%q}`, e.settings.ID, id)
}

// startAttempt takes a slot, or refuses.
func (e *Endpoint) startAttempt(attempt, id string, idempotent bool) (time.Duration, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(e.running) >= e.settings.Slots {
		if e.witness != nil {
			e.witness.RecordSlotsExceeded()
		}
		return 0, false
	}
	e.running[attempt] = true
	e.executions[id]++
	if e.witness != nil {
		e.witness.RecordExecution(id, idempotent)
	}
	half := max(e.settings.MeanServiceTime/2, 1)
	return half + time.Duration(e.random.Int64N(int64(2*half))), true
}

func (e *Endpoint) endAttempt(attempt string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.running, attempt)
}

// writeExecutions tells how often each request ran here.
func (e *Endpoint) writeExecutions(ctx *fasthttp.RequestCtx) {
	e.mutex.Lock()
	data, err := json.Marshal(e.executions)
	e.mutex.Unlock()
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(data)
}
