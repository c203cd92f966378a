// Package pimload is a load generator. It sends requests at a fixed rate, whatever the response times, records
// the outcome of each, and compares the outcomes with what the endpoints executed.
package pimload

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alitto/pond/v2"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimroutine"
	"github.com/pimentoswitch/pimentoswitch/internal/entry/pimdaemon"
	"github.com/pimentoswitch/pimentoswitch/internal/route/pimrequest"
	"github.com/pimentoswitch/pimentoswitch/internal/standin/pimplatform"
)

type (
	// Kind is one class of requests in the mix. Its share of all requests is Weight divided by the sum of all
	// weights.
	Kind struct {
		Service    string
		Team       string
		Priority   int
		Idempotent bool
		Deadline   time.Duration
		Weight     int
	}

	// Settings describe a run. Rate is in requests per second; with Poisson, the intervals between requests are
	// exponentially distributed instead of equal. Each request id names one of HomeDomains, drawn at random, as
	// its home failure domain. Callers is the maximum number of requests in flight.
	Settings struct {
		Kinds       []Kind
		HomeDomains []string
		Rate        float64
		Poisson     bool
		Duration    time.Duration
		Seed        uint64
		Callers     int
	}

	// Record is the result of one request. Code is the name of the result code, or "connection" if no usable
	// response arrived. Latency counts from when the request was due until it was resolved, retries included.
	Record struct {
		RequestID  string
		Idempotent bool
		Outcome    pimrequest.Outcome
		Code       string
		Latency    time.Duration
		Retries    int
	}

	// Generator sends the requests of one run and records their results.
	Generator struct {
		settings Settings
		balancer *pimplatform.Balancer
		pool     pond.Pool

		mutex     sync.Mutex
		records   []Record
		histogram *hdrhistogram.Histogram
		cutOff    int
		notSent   int
	}

	// Summary is the result of a run. The latencies are those of requests with outcome "ran". CutOff counts the
	// calls that ended without a usable response, retries included. NotSent counts the requests that were dropped
	// because too many others were in flight or queued in the generator.
	Summary struct {
		Requests  int            `json:"requests"`
		Outcomes  map[string]int `json:"outcomes"`
		Codes     map[string]int `json:"codes"`
		P50Millis float64        `json:"p50-millis"`
		P99Millis float64        `json:"p99-millis"`
		MaxMillis float64        `json:"max-millis"`
		CutOff    int            `json:"connections-cut-off"`
		Retries   int            `json:"come-backs"`
		NotSent   int            `json:"not-sent-by-load"`
	}

	// Verdict compares the reported outcomes with what the endpoints executed. Doubled counts the non-idempotent
	// requests that ran more than once, Lost the requests that were reported as run and never ran, FalseNotRun
	// the non-idempotent requests that were reported as not run and ran, and UnknownRan the requests with an
	// unknown outcome that ran. The first three must be 0; if they are not, the load command prints the Go names of
	// the fields in its error message.
	Verdict struct {
		Doubled     int `json:"doubled"`
		Lost        int `json:"lost"`
		FalseNotRun int `json:"false-not-run"`
		UnknownRan  int `json:"unknown-that-ran"`
	}
)

const (
	maxLatencyMicros    = 600_000_000
	significantFigures  = 3
	retryPause          = 100 * time.Millisecond
	maxRetries          = 40
	responseGracePeriod = 3 * time.Second
)

// NewGenerator returns a generator that sends its requests through the balancer.
func NewGenerator(settings Settings, balancer *pimplatform.Balancer) *Generator {
	return &Generator{
		settings:  settings,
		balancer:  balancer,
		pool:      pond.NewPool(settings.Callers, pond.WithQueueSize(4*settings.Callers), pond.WithNonBlocking(true)),
		histogram: hdrhistogram.New(1, maxLatencyMicros, significantFigures),
	}
}

// Run sends requests at the given rate until the duration or the context ends, and waits for all responses. The
// latency of a request counts from when it was due, so that a slow response does not hide the waiting time of
// later requests (coordinated omission).
func (g *Generator) Run(ctx context.Context) error {
	random := rand.New(rand.NewPCG(g.settings.Seed, 1))
	started := time.Now()
	due := started
	for number := 0; due.Sub(started) < g.settings.Duration; number++ {
		if !sleepUntil(ctx, due) {
			break
		}
		kind := g.pickKind(random)
		id := g.requestID(random, number)
		requestDue := due
		if _, accepted := g.pool.TrySubmit(func() { g.send(kind, id, requestDue) }); !accepted {
			g.mutex.Lock()
			g.notSent++
			g.mutex.Unlock()
		}
		due = due.Add(g.nextInterval(random))
	}
	g.pool.StopAndWait()
	return nil
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (g *Generator) nextInterval(random *rand.Rand) time.Duration {
	mean := float64(time.Second) / g.settings.Rate
	if g.settings.Poisson {
		mean *= random.ExpFloat64()
	}
	return time.Duration(mean)
}

func (g *Generator) pickKind(random *rand.Rand) Kind {
	total := 0
	for _, kind := range g.settings.Kinds {
		total += kind.Weight
	}
	remaining := random.IntN(total)
	for _, kind := range g.settings.Kinds {
		if remaining < kind.Weight {
			return kind
		}
		remaining -= kind.Weight
	}
	return g.settings.Kinds[0]
}

func (g *Generator) requestID(random *rand.Rand, number int) string {
	homeDomain := g.settings.HomeDomains[random.IntN(len(g.settings.HomeDomains))]
	return fmt.Sprintf("%s.load-%d-%d-%d", homeDomain, g.settings.Seed, time.Now().UnixNano(), number)
}

// send sends one request, and repeats it with the same id while the outcome is unresolved: no usable response
// arrived, an earlier attempt is in progress, or the home failure domain can't be reached. A retry after the
// deadline of the request still gets 100 ms.
func (g *Generator) send(kind Kind, id string, due time.Time) {
	record := Record{RequestID: id, Idempotent: kind.Idempotent}
	deadline := due.Add(kind.Deadline)
	for {
		response, err := g.call(kind, id, max(time.Until(deadline), 100*time.Millisecond))
		if err == nil {
			record.Outcome, record.Code = pimrequest.Outcome(response.Outcome), response.Name
		} else {
			record.Outcome, record.Code = pimrequest.OutcomeUnknown, "connection"
			g.mutex.Lock()
			g.cutOff++
			g.mutex.Unlock()
		}
		unresolved := err != nil || response.Name == "in-progress" || response.Name == "home-unreachable"
		if !unresolved || record.Retries >= maxRetries {
			break
		}
		record.Retries++
		time.Sleep(retryPause)
	}
	record.Latency = time.Since(due)
	g.addRecord(record)
}

func (g *Generator) addRecord(record Record) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.records = append(g.records, record)
	if record.Outcome == pimrequest.OutcomeRan {
		g.histogram.RecordValue(min(record.Latency.Microseconds(), maxLatencyMicros))
	}
}

func (g *Generator) call(kind Kind, id string, ttl time.Duration) (pimdaemon.ResponseBody, error) {
	ctx, cancel := context.WithTimeout(context.Background(), ttl+responseGracePeriod)
	defer cancel()
	body := pimdaemon.RequestBody{
		RequestID:      id,
		Idempotent:     &kind.Idempotent,
		DeadlineMillis: ttl.Milliseconds(),
		Priority:       kind.Priority,
		Team:           kind.Team,
		Payload:        json.RawMessage(`{"call":"` + id + `"}`),
	}
	var response pimdaemon.ResponseBody
	err := g.balancer.Do(ctx, http.MethodPost, "/v1/services/"+kind.Service+"/requests", body, &response)
	var status *pimplatform.StatusError
	if errors.As(err, &status) && json.Unmarshal(status.Body, &response) == nil && response.Outcome != "" {
		return response, nil
	}
	return response, err
}

// Records returns a copy of the results so far.
func (g *Generator) Records() []Record {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return append([]Record(nil), g.records...)
}

// Summary returns a summary of the results so far.
func (g *Generator) Summary() Summary {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	s := Summary{
		Requests:  len(g.records),
		Outcomes:  map[string]int{},
		Codes:     map[string]int{},
		P50Millis: float64(g.histogram.ValueAtQuantile(50)) / 1000,
		P99Millis: float64(g.histogram.ValueAtQuantile(99)) / 1000,
		MaxMillis: float64(g.histogram.Max()) / 1000,
		CutOff:    g.cutOff,
		NotSent:   g.notSent,
	}
	for _, record := range g.records {
		s.Outcomes[string(record.Outcome)]++
		s.Codes[record.Code]++
		s.Retries += record.Retries
	}
	return s
}

// CheckOutcomes compares the outcome of each request with the number of times that it ran.
func CheckOutcomes(records []Record, executionCount func(requestID string) int) Verdict {
	var v Verdict
	for _, record := range records {
		count := executionCount(record.RequestID)
		switch {
		case !record.Idempotent && count > 1:
			v.Doubled++
		case record.Outcome == pimrequest.OutcomeRan && count == 0:
			v.Lost++
		case record.Outcome == pimrequest.OutcomeNotRun && count > 0 && !record.Idempotent:
			v.FalseNotRun++
		case record.Outcome == pimrequest.OutcomeUnknown && count > 0:
			v.UnknownRan++
		}
	}
	return v
}

// Start calls Run in a goroutine and returns a channel that delivers its error, or nil, once.
func (g *Generator) Start(ctx context.Context) <-chan error { return pimroutine.Start(ctx, g.Run) }
