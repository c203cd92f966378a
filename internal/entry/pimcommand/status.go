package pimcommand

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/pimentoswitch/pimentoswitch/internal/entry/pimdaemon"
	"github.com/pimentoswitch/pimentoswitch/internal/entry/pimsetting"
)

func newStatusCommand() command {
	return command{
		name:    "status",
		help:    "Show the state of the whole system as one daemon sees it",
		example: "  pimentoswitch status --entry 127.0.0.1:7501\n  pimentoswitch status --json",
		settings: append([]pimsetting.Setting{
			{Flag: "json", Default: "false", Help: "print JSON", Rule: "must be true or false", Check: pimsetting.IsBool, Switch: true},
		}, clientSettings...),
		run: runStatus,
	}
}

func newMetricsCommand() command {
	return command{
		name:     "metrics",
		help:     "Print a daemon's metrics in text form",
		example:  "  pimentoswitch metrics --entry 127.0.0.1:7501",
		settings: clientSettings,
		run: func(ctx context.Context, c *invocation) error {
			ctx, cancel := context.WithTimeout(ctx, c.settings.Duration("timeout"))
			defer cancel()
			return c.printFrom(ctx, "/metrics")
		},
	}
}

// printFrom prints the body of an entry daemon's response to GET path.
func (c *invocation) printFrom(ctx context.Context, path string) error {
	balancer := c.balancer()
	return retry(ctx, func() error {
		content, err := balancer.Get(ctx, path)
		if err == nil {
			_, err = c.out.Write(content)
		}
		return err
	})
}

func runStatus(ctx context.Context, c *invocation) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Duration("timeout"))
	defer cancel()
	if c.settings.Bool("json") {
		return c.printFrom(ctx, "/v1/status?tables=1")
	}
	balancer := c.balancer()
	var status pimdaemon.StatusBody
	err := retry(ctx, func() error { return balancer.Do(ctx, "GET", "/v1/status?tables=1", nil, &status) })
	if err != nil {
		return err
	}
	c.writeStatus(status)
	return nil
}

func (c *invocation) writeStatus(status pimdaemon.StatusBody) {
	fmt.Fprintf(c.out, "cluster %s, seen by %s in %s\n", status.ClusterID, status.Daemon, status.Domain)
	fmt.Fprintf(c.out, "version %d, manifest %d, configuration lease %t\n\n", status.Version, status.Manifest.Number, status.ConfigLease)
	fmt.Fprintf(c.out, "%-20s %-6s %-14s %9s %9s %7s %s\n", "failure-domain", "state", "leader", "endpoints", "slots", "workers", "running")
	for _, domain := range status.Domains {
		tables := status.Tables[domain.ID]
		used, slots, running := 0, 0, 0
		for _, endpoint := range tables.Endpoints {
			used += endpoint.Used
			slots += endpoint.Slots
		}
		for _, count := range tables.Running {
			running += count
		}
		fmt.Fprintf(c.out, "%-20s %-6s %-14s %9d %4d/%-4d %7d %d\n",
			domain.ID, domain.State, domain.Leader, len(tables.Endpoints), used, slots, len(tables.Workers), running)
	}
	fmt.Fprintf(c.out, "\n%-20s %-14s %-7s %s\n", "daemon", "failure-domain", "heard", "version")
	for _, member := range status.Members {
		fmt.Fprintf(c.out, "%-20s %-14s %-7t %d\n", member.ID, member.Domain, member.Reachable, member.Version)
	}
	if len(status.BatchJobs) > 0 {
		fmt.Fprintf(c.out, "\n%-20s %8s %8s\n", "batch-job", "finished", "tasks")
	}
	for _, job := range status.BatchJobs {
		fmt.Fprintf(c.out, "%-20s %8d %8d\n", job.Name, job.Finished, job.Tasks)
	}
	for _, domain := range slices.Sorted(maps.Keys(status.Tables)) {
		for _, worker := range status.Tables[domain].Workers {
			if worker.Quarantined {
				fmt.Fprintf(c.out, "worker %s in %s is in quarantine\n", worker.ID, domain)
			}
		}
	}
}
