package pimcommand

import (
	"context"
	"fmt"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimroutine"
	"github.com/pimentoswitch/pimentoswitch/internal/entry/pimsetting"
	"github.com/pimentoswitch/pimentoswitch/internal/standin/pimendpoint"
	"github.com/pimentoswitch/pimentoswitch/internal/standin/pimworker"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimmanifest"
)

func newStandinCommand() command {
	common := append([]pimsetting.Setting{
		{Flag: "failure-domain", Help: "failure domain of the stand-ins", Rule: ruleName, Check: pimsetting.IsName},
		{Flag: "count", Default: "1", Help: "number of stand-ins in this process", Rule: "must be a whole number from 1 to 1000", Check: pimsetting.IsIntIn(1, 1000)},
		{Flag: "prefix", Help: "prefix of the ids of the stand-ins", Rule: ruleName, Check: pimsetting.IsName},
	}, clientSettings...)
	return command{
		name: "standin",
		help: "Run stand-ins for endpoints and workers, for trials",
		subcommands: []command{
			{
				name:    "endpoint",
				help:    "Run endpoints that respond after a random time",
				example: "  pimentoswitch standin endpoint --failure-domain north --prefix callout --service callout --count 4 --entry 127.0.0.1:7501",
				settings: append([]pimsetting.Setting{
					{Flag: "service", Help: "service of the endpoints", Rule: ruleName, Check: pimsetting.IsName},
					{Flag: "slots", Default: "8", Help: "slots of each endpoint", Rule: "must be a whole number from 1 to 4096", Check: pimsetting.IsIntIn(1, 4096)},
					{Flag: "work", Default: "20ms", Help: "mean service time of a request", Rule: "must be a duration from 1ms to 10m", Check: pimsetting.IsDurationIn(time.Millisecond, 10*time.Minute)},
				}, common...),
				run: runStandinEndpoint,
			},
			{
				name:    "worker",
				help:    "Run workers that simulate tasks",
				example: "  pimentoswitch standin worker --failure-domain north --prefix worker --count 8 --entry 127.0.0.1:7501",
				settings: append([]pimsetting.Setting{
					{Flag: "cpu-millis", Default: "30000", Help: "CPU of each worker, in thousandths of a core", Rule: "must be a whole number from 1 to 1000000", Check: pimsetting.IsIntIn(1, 1_000_000)},
					{Flag: "memory-mb", Default: "125000", Help: "memory of each worker, in MB", Rule: "must be a whole number from 1 to 10000000", Check: pimsetting.IsIntIn(1, 10_000_000)},
					{Flag: "fail-all", Default: "false", Help: "fail every task that is started", Rule: "must be true or false", Check: pimsetting.IsBool, Switch: true},
				}, common...),
				run: runStandinWorker,
			},
		},
	}
}

// workersPerRack is the number of stand-in workers in a rack.
const workersPerRack = 8

func runStandinEndpoint(ctx context.Context, c *invocation) error {
	balancer := c.balancer()
	results := []<-chan error{pimroutine.Start(ctx, balancer.Run)}
	for i := range c.settings.Int("count") {
		endpoint, err := pimendpoint.NewEndpoint(pimendpoint.Settings{
			ID:              fmt.Sprintf("%s-%s-%d", c.settings.Text("prefix"), c.settings.Text("failure-domain"), i+1),
			Service:         c.settings.Text("service"),
			Domain:          c.settings.Text("failure-domain"),
			Listen:          "127.0.0.1:0",
			Slots:           c.settings.Int("slots"),
			MeanServiceTime: c.settings.Duration("work"),
			Seed:            uint64(i + 1),
		}, balancer, nil)
		if err != nil {
			return withCode(err)
		}
		results = append(results, pimroutine.Start(ctx, endpoint.Run))
	}
	return waitAll(results)
}

func runStandinWorker(ctx context.Context, c *invocation) error {
	balancer := c.balancer()
	results := []<-chan error{pimroutine.Start(ctx, balancer.Run)}
	for i := range c.settings.Int("count") {
		worker := pimworker.NewWorker(pimworker.Settings{
			ID:       fmt.Sprintf("%s-%s-%d", c.settings.Text("prefix"), c.settings.Text("failure-domain"), i+1),
			Domain:   c.settings.Text("failure-domain"),
			Rack:     fmt.Sprintf("rack-%s-%d", c.settings.Text("failure-domain"), i/workersPerRack+1),
			Capacity: pimmanifest.Resources{CPUMillis: int64(c.settings.Int("cpu-millis")), MemoryMB: int64(c.settings.Int("memory-mb"))},
			FailAll:  c.settings.Bool("fail-all"),
		}, balancer, nil)
		results = append(results, pimroutine.Start(ctx, worker.Run))
	}
	return waitAll(results)
}

// waitAll waits for a result from every channel and returns the first error in the order of the channels.
func waitAll(results []<-chan error) error {
	var first error
	for _, result := range results {
		if err := <-result; err != nil && first == nil {
			first = err
		}
	}
	return withCode(first)
}
