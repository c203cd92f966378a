package pimmanifest_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/state/pimmanifest"
)

const validManifest = `number: 4
teams:
  - name: dispatch
    weight: 2
    quota: {cpu-millis: 64000, memory-mb: 65536}
services:
  - name: callout
    replicas: 6
    team: dispatch
    priority: 9
    idempotent: false
    needs: {cpu-millis: 2000, memory-mb: 2048, accelerators: 1}
    failure-domains: [north, south]
batch-jobs:
  - name: quotes
    tasks: 60
    team: dispatch
    needs: {cpu-millis: 1000, memory-mb: 512}
    run-time: 90s
    deadline: 8h
    checkpoint: true
`

func ExampleParse() {
	_, faults := pimmanifest.Parse([]byte("number: 0\nservices:\n  - name: Callout\n"))
	for _, fault := range faults {
		fmt.Println(fault)
	}
	// Output:
	// line 1: $.number: "0": must be a whole number from 1 to 9007199254740992
	// line 3: $.services[0].name: "Callout": must be 1 to 63 of a-z, 0-9 and -, not beginning or ending with -
	// line 3: $.services[0].replicas: ":": must be given
	// line 3: $.services[0].team: ":": must be given
	// line 3: $.services[0].idempotent: ":": must be given
	// line 3: $.services[0].needs: ":": must be given
}

func TestParse(t *testing.T) {
	t.Run("a valid manifest", func(t *testing.T) {
		m, faults := pimmanifest.Parse([]byte(validManifest))
		assert.Equal(t, len(faults), 0, "%v", faults)
		assert.Equal(t, m.Number, uint64(4))
		assert.DeepEqual(t, m.Services[0].FailureDomains, []string{"north", "south"})
		assert.Equal(t, m.Services[0].Needs.Accelerators, int64(1))
		assert.Equal(t, m.BatchJobs[0].RunTime, 90*time.Second)
		assert.Equal(t, m.TeamNamed("dispatch").Weight, 2)
	})
	t.Run("a manifest in JSON", func(t *testing.T) {
		m, faults := pimmanifest.Parse([]byte(`{"number": 1, "teams": [{"name": "a"}]}`))
		assert.Equal(t, len(faults), 0, "%v", faults)
		assert.Equal(t, m.Teams[0].Name, "a")
	})
	cases := map[string]struct{ from, to, line, path, rule string }{
		"unknown key":       {"replicas: 6", "replica: 6", "line 8", "$.services[0].replica", "is not a known key"},
		"text for a number": {"replicas: 6", "replicas: six", "line 8", "$.services[0].replicas", "whole number"},
		"too large":         {"priority: 9", "priority: 10", "line 10", "$.services[0].priority", "from 0 to 9"},
		"no such team":      {"    team: dispatch\n    priority", "    team: dispach\n    priority", "line 9", "$.services[0].team", "declared under teams"},
		"name given twice":  {"name: quotes", "name: callout", "line 15", "$.batch-jobs[0].name", "unique"},
		"key given twice":   {"    weight: 2", "    weight: 2\n    weight: 3", "line 5", "$.teams[0].weight", "twice"},
		"bad duration":      {"run-time: 90s", "run-time: 90", "line 19", "$.batch-jobs[0].run-time", "duration"},
		"not a list":        {"[north, south]", "north", "line 13", "$.services[0].failure-domains", "must be a list"},
		"not a boolean":     {"idempotent: false", "idempotent: no-idea", "line 11", "$.services[0].idempotent", "true or false"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(validManifest, c.from))
			_, faults := pimmanifest.Parse([]byte(strings.Replace(validManifest, c.from, c.to, 1)))
			text := fmt.Sprint(faults)
			for _, part := range []string{c.line, c.path, c.rule} {
				assert.Assert(t, strings.Contains(text, part), "%q is not in %s", part, text)
			}
		})
	}
	t.Run("all faults are returned together", func(t *testing.T) {
		bad := strings.NewReplacer("replicas: 6", "replicas: -1", "tasks: 60", "tasks: 0", "weight: 2", "weight: none").Replace(validManifest)
		_, faults := pimmanifest.Parse([]byte(bad))
		assert.Equal(t, len(faults), 3, "%v", faults)
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validManifest))
	f.Add([]byte("number: 1\nservices: [{]"))
	f.Add([]byte("? a\n: - b\n  - &x [*x]"))
	f.Add([]byte(""))
	f.Fuzz(func(_ *testing.T, data []byte) { pimmanifest.Parse(data) })
}
