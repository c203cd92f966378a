package pimcommand

import (
	"context"
	"fmt"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimplan"
)

func newMechanismsCommand() command {
	return command{
		name:    "mechanisms",
		help:    "List the mechanisms of the planner that can be switched off to measure what they are worth",
		example: "  pimentoswitch mechanisms\n  pimentoswitch control --without throttling",
		run:     runMechanisms,
	}
}

func runMechanisms(_ context.Context, c *invocation) error {
	for _, mechanism := range pimplan.Mechanisms {
		fmt.Fprintf(c.out, "%-20s %s\n", mechanism.Name, mechanism.Help)
	}
	return nil
}
