package pimcommand

import (
	"context"
	"fmt"
	"runtime"
)

// Version is the version of the program.
const Version = "0.1.0"

func newVersionCommand() command {
	return command{
		name:    "version",
		help:    "Print the version",
		example: "  pimentoswitch version",
		run: func(_ context.Context, c *invocation) error {
			fmt.Fprintf(c.out, "pimentoswitch %s %s\n", Version, runtime.Version())
			return nil
		},
	}
}
