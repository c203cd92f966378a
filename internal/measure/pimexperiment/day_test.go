package pimexperiment_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimplan"
	"github.com/pimentoswitch/pimentoswitch/internal/measure/pimexperiment"
)

func readLoad(t *testing.T, path string) pimexperiment.Load {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	load, err := pimexperiment.ParseLoad(data)
	assert.NilError(t, err)
	return load
}

// TestLoads plays each load for some seconds. It guards against loads that can't be read, jobs that are lost or counted twice,
// and a bound that an order exceeds.
func TestLoads(t *testing.T) {
	paths, err := filepath.Glob("loads/*.yaml")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) > 0)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			load := readLoad(t, path)
			assert.Equal(t, load.Name+".yaml", filepath.Base(path))
			load.Duration = 8 * time.Second
			result := pimexperiment.Play(load, 1, nil)
			for _, kind := range result.Kinds {
				assert.Assert(t, kind.Jobs > 0)
				assert.Equal(t, kind.InTime+kind.Late+kind.TooLate, kind.Jobs)
				assert.Assert(t, kind.InTime <= kind.Bound, "%+v", kind)
			}
			assert.Assert(t, result.ServingTime > 0)
		})
	}
}

// TestPlay guards against plays that can't be repeated, and against faults and gates without effect.
func TestPlay(t *testing.T) {
	load := readLoad(t, "loads/third-of-the-room-gone.yaml")
	load.Duration = 16 * time.Second
	base := pimexperiment.Play(load, 7, nil)
	t.Run("the same seed gives the same result", func(t *testing.T) {
		assert.DeepEqual(t, pimexperiment.Play(load, 7, nil), base)
	})
	t.Run("another seed gives another result", func(t *testing.T) {
		assert.Assert(t, pimexperiment.Play(load, 8, nil).Kinds[0] != base.Kinds[0])
	})
	t.Run("a fault has an effect", func(t *testing.T) {
		calm := load
		calm.Faults = nil
		assert.Assert(t, pimexperiment.Play(calm, 7, nil).ServingTime > base.ServingTime)
	})
	t.Run("without throttling, serving tasks are over their targets for longer", func(t *testing.T) {
		without := pimexperiment.Play(load, 7, []pimplan.Mechanism{pimplan.Throttling, pimplan.HeadroomPlacement})
		assert.Assert(t, without.OverTarget > 2*base.OverTarget)
		differences := pimexperiment.Compare([]pimexperiment.Result{base}, []pimexperiment.Result{without})
		assert.Equal(t, len(differences), len(base.Kinds))
	})
}

// TestParseLoad guards against loads whose mistakes are played.
func TestParseLoad(t *testing.T) {
	valid, err := os.ReadFile("loads/wide-behind-wide.yaml")
	assert.NilError(t, err)
	for name, change := range map[string][2]string{
		"unknown field":           {"duration: 30s", "durations: 30s"},
		"duration":                {"duration: 30s", "duration: 0s"},
		"hosts.count":             {"count: 48", "count: 0"},
		"hosts.domains":           {"domains: 4", "domains: 0"},
		"kinds[0].tasks":          {"tasks: 6", "tasks: 0"},
		"kinds[1].estimate-error": {"estimate-error: 0.5", "estimate-error: 1.5"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := pimexperiment.ParseLoad([]byte(strings.Replace(string(valid), change[0], change[1], 1)))
			assert.ErrorContains(t, err, strings.TrimPrefix(name, "unknown "))
		})
	}
}
