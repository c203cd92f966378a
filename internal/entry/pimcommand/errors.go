package pimcommand

import (
	"context"
	"fmt"
	"io"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/entry/pimsetting"
)

func newErrorsCommand() command {
	return command{
		name:    "errors",
		help:    "List the result codes",
		example: "  pimentoswitch errors\n  pimentoswitch errors --markdown",
		settings: []pimsetting.Setting{
			{Flag: "markdown", Default: "false", Help: "print the result codes as Markdown, as in docs/ERRORS.md", Rule: "must be true or false", Check: pimsetting.IsBool, Switch: true},
		},
		run: runErrors,
	}
}

func runErrors(_ context.Context, c *invocation) error {
	if c.settings.Bool("markdown") {
		WriteErrorsPage(c.out)
		return nil
	}
	for _, row := range pimcode.Table() {
		fmt.Fprintf(c.out, "%d %-24s %s %s\n", row.Code, row.Name, row.Meaning, row.Action)
	}
	return nil
}

// WriteErrorsPage writes the content of docs/ERRORS.md, the page of result codes.
func WriteErrorsPage(out io.Writer) {
	fmt.Fprintln(out, "# Result codes")
	fmt.Fprintln(out)
	fmt.Fprintln(out, "Written by `make docs` from the table in `internal/base/pimcode`. Code 0 is success.")
	fmt.Fprintln(out)
	fmt.Fprintln(out, "| code | name | HTTP status | meaning | what to do |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- |")
	for _, row := range pimcode.Table() {
		fmt.Fprintf(out, "| %d | %s | %d | %s | %s |\n", row.Code, row.Name, row.HTTPStatus, row.Meaning, row.Action)
	}
}
