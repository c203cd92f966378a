package pimcommand

import (
	"context"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/phuslu/log"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/entry/pimsetting"
	"github.com/pimentoswitch/pimentoswitch/internal/measure/pimdemo"
)

func newDemoCommand() command {
	return command{
		name:    "demo",
		help:    "Run a whole system in one process and check its promises",
		example: "  pimentoswitch demo --duration 20s --seed 7\n  pimentoswitch demo --json",
		settings: []pimsetting.Setting{
			{Flag: "duration", Default: "15s", Help: "how long callers send requests", Rule: "must be a duration from 10s to 1h", Check: pimsetting.IsDurationIn(10*time.Second, time.Hour)},
			{Flag: "seed", Default: "1", Help: "seed of the callers and stand-ins", Rule: "must be a whole number from 1 to 1000000", Check: pimsetting.IsIntIn(1, 1_000_000)},
			{Flag: "rate", Default: "100", Help: "requests per second", Rule: "must be a number from 1 to 2000", Check: pimsetting.IsFloatIn(1, 2000)},
			{Flag: "json", Default: "false", Help: "print the summary as JSON", Rule: "must be true or false", Check: pimsetting.IsBool, Switch: true},
			{Flag: "log", Default: "false", Help: "print the daemons' log lines", Rule: "must be true or false", Check: pimsetting.IsBool, Switch: true},
		},
		run: runDemo,
	}
}

func runDemo(ctx context.Context, c *invocation) error {
	progress, logs := c.out, io.Discard
	if c.settings.Bool("json") {
		progress = c.errOut
	}
	if c.settings.Bool("log") {
		logs = c.errOut
	}
	summary, err := pimdemo.Run(ctx, pimdemo.Settings{
		Duration: c.settings.Duration("duration"),
		Seed:     uint64(c.settings.Int("seed")),
		Rate:     c.settings.Float("rate"),
		Progress: progress,
		Logger:   &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: logs}},
	})
	if err != nil {
		return withCode(err)
	}
	if c.settings.Bool("json") {
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(summary)
	} else {
		summary.WriteTable(c.out)
	}
	if err != nil {
		return withCode(err)
	}
	if len(summary.Violations) > 0 {
		return pimcode.New(pimcode.PromiseBroken, "%s", strings.Join(summary.Violations, "; "))
	}
	return nil
}

// withCode wraps an error that has no result code as program-failed.
func withCode(err error) error {
	if err == nil || pimcode.Of(err) != pimcode.ProgramFailed {
		return err
	}
	return pimcode.New(pimcode.ProgramFailed, "%v", err)
}
