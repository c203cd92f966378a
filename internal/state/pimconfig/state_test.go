package pimconfig_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
)

func manifestOf(number int, replicas int) []byte {
	return fmt.Appendf(nil, `number: %d
teams: [{name: dispatch}]
services:
  - {name: callout, replicas: %d, team: dispatch, idempotent: false, needs: {cpu-millis: 1, memory-mb: 1}}
`, number, replicas)
}

func apply(t *testing.T, s *pimconfig.State, index uint64, command pimconfig.Command) pimconfig.Result {
	t.Helper()
	data, err := pimconfig.Encode(command)
	assert.NilError(t, err)
	return s.Apply(index, data)
}

func newState() *pimconfig.State {
	return pimconfig.NewState("cluster", []pimconfig.Member{{ID: "north-1#a", Name: "north-1", Domain: "north"}})
}

func TestCommitManifest(t *testing.T) {
	first := pimconfig.CommitManifest{Number: 1, Content: manifestOf(1, 1)}
	t.Run("a resent commit gets the same result", func(t *testing.T) {
		s := newState()
		a := apply(t, s, 2, first)
		b := apply(t, s, 3, first)
		assert.Equal(t, a.Code, pimcode.OK)
		assert.DeepEqual(t, a, b)
	})
	t.Run("a second manifest with the same number is rejected", func(t *testing.T) {
		s := newState()
		apply(t, s, 2, first)
		result := apply(t, s, 3, pimconfig.CommitManifest{Number: 1, Content: manifestOf(1, 9)})
		assert.Equal(t, result.Code, pimcode.ManifestConflict)
		assert.Equal(t, s.Manifest.Services[0].Replicas, 1)
	})
	t.Run("a lower number is rejected", func(t *testing.T) {
		s := newState()
		apply(t, s, 2, pimconfig.CommitManifest{Number: 5, Content: manifestOf(5, 5)})
		result := apply(t, s, 3, pimconfig.CommitManifest{Number: 4, Content: manifestOf(4, 4)})
		assert.Equal(t, result.Code, pimcode.ManifestStale)
		assert.Equal(t, s.Current.Number, uint64(5))
	})
	t.Run("a commit on another base is rejected", func(t *testing.T) {
		s := newState()
		apply(t, s, 2, first)
		result := apply(t, s, 3, pimconfig.CommitManifest{Number: 3, Base: 2, Content: manifestOf(3, 3)})
		assert.Equal(t, result.Code, pimcode.ManifestStale)
	})
	t.Run("a resent commit is recognised after hundreds of others and a snapshot", func(t *testing.T) {
		s := newState()
		a := apply(t, s, 2, first)
		for i := 2; i < 600; i++ {
			apply(t, s, uint64(i+1), pimconfig.CommitManifest{Number: uint64(i), Content: manifestOf(i, 1)})
		}
		data, err := s.Snapshot()
		assert.NilError(t, err)
		restored, err := pimconfig.Restore(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, apply(t, restored, 900, first), a)
	})
}

func TestMarkDomain(t *testing.T) {
	out := pimconfig.MarkDomain{Domain: "north", OutOfService: true, Number: 1}
	t.Run("a resent mark gets the same result", func(t *testing.T) {
		s := newState()
		assert.DeepEqual(t, apply(t, s, 2, out), apply(t, s, 3, out))
	})
	t.Run("a different mark with the same number is rejected", func(t *testing.T) {
		s := newState()
		apply(t, s, 2, out)
		result := apply(t, s, 3, pimconfig.MarkDomain{Domain: "north", OutOfService: false, Number: 1})
		assert.Equal(t, result.Code, pimcode.ChangeConflict)
		assert.Assert(t, s.IsOutOfService("north"))
	})
	t.Run("an unknown failure domain is rejected", func(t *testing.T) {
		result := apply(t, newState(), 2, pimconfig.MarkDomain{Domain: "nowhere", OutOfService: true})
		assert.Equal(t, result.Code, pimcode.UnknownDomain)
	})
}

func TestOwners(t *testing.T) {
	task := pimconfig.TaskID{Job: "quotes", Index: 3}
	grant := func(expected uint64, domain string) pimconfig.ChangeOwners {
		return pimconfig.ChangeOwners{Changes: []pimconfig.OwnerChange{{
			Task: task, ExpectedEpoch: expected, Owner: pimconfig.Owner{Domain: domain},
		}}}
	}
	t.Run("each new owner gets a higher epoch", func(t *testing.T) {
		s := newState()
		apply(t, s, 2, grant(0, "north"))
		apply(t, s, 3, grant(2, "south"))
		assert.DeepEqual(t, s.Owners[task], pimconfig.Owner{Domain: "south", Epoch: 3})
	})
	t.Run("a change that expects an old epoch has no effect", func(t *testing.T) {
		s := newState()
		apply(t, s, 2, grant(0, "north"))
		apply(t, s, 3, grant(0, "south"))
		assert.Equal(t, s.Owners[task].Domain, "north")
	})
}
