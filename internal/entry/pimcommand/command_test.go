package pimcommand_test

import (
	"bytes"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/entry/pimcommand"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"pimentoswitch": func() { os.Exit(pimcommand.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestCases runs the scripts in test/cases. Each lists commands with their expected output.
func TestCases(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "../../../test/cases", RequireUniqueNames: true})
}

// TestErrorsPage checks that docs/ERRORS.md is up to date with the table of result codes.
func TestErrorsPage(t *testing.T) {
	var page bytes.Buffer
	pimcommand.WriteErrorsPage(&page)
	stored, err := os.ReadFile("../../../docs/ERRORS.md")
	assert.NilError(t, err)
	assert.Equal(t, string(stored), page.String(), "run make docs")
}
