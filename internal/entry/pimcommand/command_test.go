package pimcommand_test

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/entry/pimcommand"
	"github.com/pimentoswitch/pimentoswitch/platform/pimadapter"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"pimentoswitch": func() {
			os.Exit(pimcommand.Main(os.Args[1:], os.Stdout, os.Stderr, pimadapter.Commands()...))
		},
	})
}

// TestCases runs the scripts in test/cases. Each lists commands with their expected output. The command "exits" compares
// the exit status of a program, and CONTROL is the address of a stand-in for a control daemon.
func TestCases(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "../../../test/cases", RequireUniqueNames: true, Setup: startControl,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){"exits": compareExitStatus},
	})
}

// compareExitStatus runs a program and compares its exit status with the first argument.
func compareExitStatus(ts *testscript.TestScript, _ bool, args []string) {
	status := 0
	var failed *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &failed) {
		status = failed.ExitCode()
	} else {
		ts.Check(err)
	}
	if strconv.Itoa(status) != args[0] {
		ts.Fatalf("exit status %d, want %s\n%s%s", status, args[0], ts.ReadFile("stdout"), ts.ReadFile("stderr"))
	}
}

// startControl starts a control daemon that has the configuration in the file in-force.json of the script, or none, or
// that does not answer if there is a file named stalled.
func startControl(env *testscript.Env) error {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet || r.URL.Path != "/pimentoswitch/config" {
			http.NotFound(w, r)
			return
		}
		if _, err := os.Stat(filepath.Join(env.WorkDir, "stalled")); err == nil {
			<-r.Context().Done()
			return
		}
		text, err := os.ReadFile(filepath.Join(env.WorkDir, "in-force.json"))
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			text = []byte(`{"code":1304,"error":"1304 manifest-missing: no configuration yet"}`)
		}
		// A client that has gone away is the script's concern.
		_, _ = w.Write(text)
	}))
	env.Defer(server.Close)
	env.Setenv("CONTROL", server.Listener.Addr().String())
	return nil
}

// TestErrorsPage checks that docs/ERRORS.md is up to date with the table of result codes.
func TestErrorsPage(t *testing.T) {
	var page bytes.Buffer
	pimcommand.WriteErrorsPage(&page)
	stored, err := os.ReadFile("../../../docs/ERRORS.md")
	assert.NilError(t, err)
	assert.Equal(t, string(stored), page.String(), "run make docs")
}
