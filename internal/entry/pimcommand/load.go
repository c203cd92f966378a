package pimcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/base/pimroutine"
	"github.com/pimentoswitch/pimentoswitch/internal/entry/pimsetting"
	"github.com/pimentoswitch/pimentoswitch/internal/measure/pimload"
	"github.com/pimentoswitch/pimentoswitch/internal/standin/pimplatform"
)

// loadReport is the result of the load command, as printed with --json.
type loadReport struct {
	Seed             uint64          `json:"seed"`
	Load             pimload.Summary `json:"requests"`
	Verdict          pimload.Verdict `json:"verdict"`
	EndpointsQueried int             `json:"endpoints-asked"`
}

func newLoadCommand() command {
	return command{
		name:    "load",
		help:    "Send requests at a fixed rate and check with the stand-in endpoints which of them ran",
		example: "  pimentoswitch load --entry 127.0.0.1:7501 --homes north --service callout --rate 50 --duration 10s",
		settings: append([]pimsetting.Setting{
			{Flag: "service", Default: "callout", Help: "service to call", Rule: ruleName, Check: pimsetting.IsName},
			{Flag: "homes", Help: "home failure domains to use in request ids, separated by commas", Rule: "must be given", Check: pimsetting.IsNotEmpty},
			{Flag: "rate", Default: "50", Help: "requests per second", Rule: "must be a number from 0.1 to 100000", Check: pimsetting.IsFloatIn(0.1, 100_000)},
			{Flag: "poisson", Default: "false", Help: "exponentially distributed gaps between requests instead of equal ones", Rule: "must be true or false", Check: pimsetting.IsBool, Switch: true},
			{Flag: "duration", Default: "10s", Help: "how long to send requests", Rule: "must be a duration from 1s to 24h", Check: pimsetting.IsDurationIn(time.Second, 24*time.Hour)},
			{Flag: "idempotent", Default: "0.5", Help: "fraction of idempotent requests", Rule: "must be a number from 0 to 1", Check: pimsetting.IsFloatIn(0, 1)},
			{Flag: "deadline", Default: "4s", Help: "deadline of each request", Rule: "must be a duration from 10ms to 10m", Check: pimsetting.IsDurationIn(10*time.Millisecond, 10*time.Minute)},
			{Flag: "seed", Default: "1", Help: "seed of the request mix", Rule: "must be a whole number from 1 to 1000000", Check: pimsetting.IsIntIn(1, 1_000_000)},
			{Flag: "callers", Default: "512", Help: "maximum number of requests in progress", Rule: "must be a whole number from 1 to 100000", Check: pimsetting.IsIntIn(1, 100_000)},
			{Flag: "json", Default: "false", Help: "print JSON", Rule: "must be true or false", Check: pimsetting.IsBool, Switch: true},
		}, clientSettings...),
		run: runLoad,
	}
}

func runLoad(ctx context.Context, c *invocation) error {
	s := c.settings
	idempotentWeight := int(1000 * s.Float("idempotent"))
	nonIdempotent := pimload.Kind{Service: s.Text("service"), Team: "load", Priority: 5, Deadline: s.Duration("deadline")}
	idempotent := nonIdempotent
	idempotent.Idempotent = true
	nonIdempotent.Weight, idempotent.Weight = 1000-idempotentWeight, idempotentWeight
	balancer := c.balancer()
	probeCtx, stopProbes := context.WithCancel(ctx)
	probesDone := pimroutine.Start(probeCtx, balancer.Run)
	generator := pimload.NewGenerator(pimload.Settings{
		Kinds:       []pimload.Kind{nonIdempotent, idempotent},
		HomeDomains: s.List("homes"),
		Rate:        s.Float("rate"),
		Poisson:     s.Bool("poisson"),
		Duration:    s.Duration("duration"),
		Seed:        uint64(s.Int("seed")),
		Callers:     s.Int("callers"),
	}, balancer)
	err := generator.Run(ctx)
	stopProbes()
	<-probesDone
	if err != nil {
		return withCode(err)
	}
	return c.reportLoad(ctx, balancer, generator)
}

// reportLoad compares the outcomes that callers got with the executions at the endpoints, and prints the result. It
// returns an error if a request ran twice, was lost, or ran although it was reported as not run.
func (c *invocation) reportLoad(
	ctx context.Context, balancer *pimplatform.Balancer, generator *pimload.Generator,
) error {
	counts, queried, err := pimload.FetchExecutionCounts(ctx, balancer)
	if err != nil {
		return withCode(err)
	}
	report := loadReport{Seed: uint64(c.settings.Int("seed")), Load: generator.Summary(), EndpointsQueried: queried}
	report.Verdict = pimload.CheckOutcomes(generator.Records(), func(id string) int { return counts[id] })
	if c.settings.Bool("json") {
		err = json.NewEncoder(c.out).Encode(report)
	} else {
		_, err = fmt.Fprintf(c.out, "requests %d, outcomes %v, p50 %.1f ms, p99 %.1f ms, connections cut off %d\ndoubled %d, lost %d, not-run that ran %d (queried %d endpoints)\n",
			report.Load.Requests, report.Load.Outcomes, report.Load.P50Millis, report.Load.P99Millis, report.Load.CutOff,
			report.Verdict.Doubled, report.Verdict.Lost, report.Verdict.FalseNotRun, queried)
	}
	if err != nil {
		return withCode(err)
	}
	if report.Verdict.Doubled+report.Verdict.Lost+report.Verdict.FalseNotRun > 0 {
		return pimcode.New(pimcode.PromiseBroken, "%+v", report.Verdict)
	}
	return nil
}
