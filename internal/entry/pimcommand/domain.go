package pimcommand

import (
	"context"
	"fmt"

	"github.com/pimentoswitch/pimentoswitch/internal/entry/pimdaemon"
	"github.com/pimentoswitch/pimentoswitch/internal/entry/pimsetting"
	"github.com/pimentoswitch/pimentoswitch/internal/node/pimcore"
)

func newDomainCommand() command {
	settings := append([]pimsetting.Setting{
		{Flag: "number", Default: "0", Help: "number of this mark; repeating a number with the same state has no effect, 0 takes the next number", Rule: "must be a whole number from 0 up", Check: pimsetting.IsIntIn(0, 1<<53)},
	}, clientSettings...)
	return command{
		name: "domain",
		help: "Mark failure domains in or out of service and list them",
		subcommands: []command{
			{
				name:     "out",
				help:     "Take a failure domain out of service and wait until this is in effect on every daemon",
				example:  "  pimentoswitch domain out north --entry 127.0.0.1:7501",
				settings: settings,
				run:      func(ctx context.Context, c *invocation) error { return runDomainMark(ctx, c, "out") },
			},
			{
				name:     "in",
				help:     "Bring a failure domain back into service",
				example:  "  pimentoswitch domain in north --entry 127.0.0.1:7501",
				settings: settings,
				run:      func(ctx context.Context, c *invocation) error { return runDomainMark(ctx, c, "in") },
			},
			{
				name:     "list",
				help:     "List the failure domains with their marks and leaders",
				example:  "  pimentoswitch domain list --entry 127.0.0.1:7501",
				settings: clientSettings,
				run:      runDomainList,
			},
		},
	}
}

func runDomainMark(ctx context.Context, c *invocation, state string) error {
	domain, err := c.argument("the failure domain")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.Duration("timeout"))
	defer cancel()
	balancer := c.balancer()
	var change pimdaemon.ChangeResponse
	body := fmt.Sprintf(`{"state":%q,"number":%s}`, state, c.settings.Text("number"))
	err = retry(ctx, func() error {
		return balancer.Put(ctx, "/v1/failure-domains/"+domain, []byte(body), &change)
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "accepted: failure domain %s is %s, mark %d, version %d\n", domain, state, change.Number, change.Version)
	return c.waitInEffect(ctx, balancer, change.Version)
}

func runDomainList(ctx context.Context, c *invocation) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Duration("timeout"))
	defer cancel()
	balancer := c.balancer()
	var domains []pimcore.DomainStatus
	err := retry(ctx, func() error { return balancer.Do(ctx, "GET", "/v1/failure-domains", nil, &domains) })
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%-20s %-6s %-8s %s\n", "failure-domain", "state", "mark", "leader")
	for _, domain := range domains {
		fmt.Fprintf(c.out, "%-20s %-6s %-8d %s\n", domain.ID, domain.State, domain.MarkNumber, domain.Leader)
	}
	return nil
}
