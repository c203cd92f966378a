// Command pimentoswitch schedules latency-critical and batch work that share hosts.
package main

import (
	"os"

	"github.com/pimentoswitch/pimentoswitch/internal/entry/pimcommand"
	"github.com/pimentoswitch/pimentoswitch/platform/pimadapter"
)

func main() {
	os.Exit(pimcommand.Main(os.Args[1:], os.Stdout, os.Stderr, pimadapter.Commands()...))
}
