// Package pimcommand is the command line. Each command has a file with its settings, help, example and constructor, and
// an entry in commands.
package pimcommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/phuslu/log"
	"github.com/spf13/cobra"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/entry/pimsetting"
)

type (
	// command describes a command: its name, one line of help, a working example, its settings and its run function. A
	// group of commands has subcommands instead of a run function.
	command struct {
		name        string
		help        string
		example     string
		settings    []pimsetting.Setting
		run         func(ctx context.Context, c *invocation) error
		subcommands []command
	}

	// invocation is one run of a command, with its settings, arguments and output streams.
	invocation struct {
		settings *pimsetting.Set
		args     []string
		out      io.Writer
		errOut   io.Writer
	}
)

// Exit statuses of the process.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func commands() []command {
	return []command{
		newServeCommand(),
		newDemoCommand(),
		newLoadCommand(),
		newManifestCommand(),
		newDomainCommand(),
		newStatusCommand(),
		newMetricsCommand(),
		newErrorsCommand(),
		newExperimentCommand(),
		newMechanismsCommand(),
		newStandinCommand(),
		newVersionCommand(),
	}
}

// Main runs the program and returns its exit status: 0 for success, 2 for an invalid setting or command line, 1 for any
// other failure. Platform adapters add their commands through extra. An error with a method ExitStatus gives the status
// itself and is not printed.
func Main(args []string, out, errOut io.Writer, extra ...*cobra.Command) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use:           "pimentoswitch",
		Short:         "Schedules latency-critical and batch work that share hosts",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	for _, definition := range commands() {
		root.AddCommand(newCobraCommand(definition, "", out, errOut))
	}
	root.AddCommand(extra...)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	return reportError(errOut, err)
}

// reportError prints an error and returns its exit status. Errors without a result code come from cobra's parsing of
// the command line.
func reportError(errOut io.Writer, err error) int {
	var status interface{ ExitStatus() int }
	if errors.As(err, &status) {
		return status.ExitStatus()
	}
	var coded *pimcode.Error
	if !errors.As(err, &coded) {
		fmt.Fprintf(errOut, "pimentoswitch: %d %s: %v\n", pimcode.SettingInvalid, pimcode.SettingInvalid, err)
		return exitUsage
	}
	fmt.Fprintf(errOut, "pimentoswitch: %v\n", coded)
	if coded.Code == pimcode.SettingInvalid {
		return exitUsage
	}
	return exitFailed
}

// newCobraCommand converts a command and its subcommands. parent is the path of command names above it.
func newCobraCommand(definition command, parent string, out, errOut io.Writer) *cobra.Command {
	path := definition.name
	if parent != "" {
		path = parent + " " + definition.name
	}
	c := &cobra.Command{Use: definition.name, Short: definition.help, Example: definition.example}
	for _, sub := range definition.subcommands {
		c.AddCommand(newCobraCommand(sub, path, out, errOut))
	}
	if definition.run == nil {
		return c
	}
	set := pimsetting.NewSet(path, c.Flags(), definition.settings)
	c.RunE = func(cmd *cobra.Command, args []string) error {
		if err := set.Check(); err != nil {
			return err
		}
		return definition.run(cmd.Context(), &invocation{settings: set, args: args, out: out, errOut: errOut})
	}
	return c
}

// argument returns the only argument of a command, or an error that says what it should be.
func (c *invocation) argument(name string) (string, error) {
	if len(c.args) != 1 {
		return "", pimcode.New(pimcode.SettingInvalid, "%d arguments given: exactly one is needed, %s", len(c.args), name)
	}
	return c.args[0], nil
}

var logSettings = []pimsetting.Setting{
	{Flag: "log-level", Default: "info", Help: "lowest level that is logged", Rule: "must be debug, info, warn or error", Check: pimsetting.IsOneOf("debug", "info", "warn", "error")},
	{Flag: "log-sample", Default: "1", Help: "log one decision out of this many; 0 logs none", Rule: "must be a whole number from 0 to 1000000", Check: pimsetting.IsIntIn(0, 1_000_000)},
}

func (c *invocation) newLogger() *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(c.settings.Text("log-level")),
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Writer:     &log.IOWriter{Writer: c.errOut},
	}
}
