// Package pimendpoint simulates an endpoint for the load tool, the demo and trials. It announces itself to
// the entry daemons, simulates the execution of each request by sleeping, and records every execution with a
// witness.
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
	// Settings describe one endpoint. Slots is the number of requests that it runs at once. The time that a
	// request takes is drawn uniformly from 0.5 to 1.5 times MeanServiceTime; Seed makes the draws repeatable.
	Settings struct {
		ID              string
		Service         string
		Domain          string
		Listen          string
		Slots           int
		MeanServiceTime time.Duration
		Seed            uint64
	}

	// Endpoint is an HTTP server that simulates one endpoint. The maps are keyed by attempt (running) and by
	// request id (executions). bootID differs at each start; the announcements of one start are ordered by
	// sequence.
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

// NewEndpoint opens the listening socket; Run announces the endpoint and serves. A nil witness records
// nothing. The only error is a failure to listen.
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

// Address returns the host and port that the endpoint listens on.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// Run serves until the context ends. It then announces that it is leaving, keeps serving requests for
// leaveGracePeriod, because entry daemons may still send some, and shuts the server down.
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

// announce sends an announcement through the balancer, which chooses the entry daemon, and tries up to three
// times. It keeps the token of the response for the next announcement.
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

// startAttempt takes a slot and returns how long the simulated execution lasts. It returns false if all slots
// are in use.
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

// writeExecutions responds with a JSON object that maps each request id to the number of times that it ran
// on this endpoint.
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
