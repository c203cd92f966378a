package pimjob_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimorganisation"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

// submitOwned submits jobs of an organisation, and returns how many of them are within its rate.
func submitOwned(s *pimjob.State, organisation string, first, count int, at int64, window time.Duration) int {
	within := 0
	for i := range count {
		id := fmt.Sprintf("%s-%03d", organisation, first+i)
		s.Apply(at, []pimjob.Op{pimjob.Submit{
			Submission: submission(id, 1), Organisation: organisation, RateWindow: window,
			Queue: pimjob.Queue{Name: "q", Service: "svc", Attempts: 2},
		}})
		if !s.Job(id).OverRate {
			within++
		}
	}
	return within
}

// TestRates guards against rates that start anew with each leader, which restores the state from a snapshot, and against
// rates where none are configured. An organisation of weight 2 submits bursts of more than its 10 tokens.
func TestRates(t *testing.T) {
	const window = 5 * time.Second
	config := pimjob.PutConfig{Config: pimjob.Config{
		Version: 1, Organisations: []pimorganisation.Organisation{{Name: "a", Weight: 2}},
	}}
	t.Run("a restored state has the same tokens", func(t *testing.T) {
		s := newState(config)
		assert.Equal(t, submitOwned(s, "a", 0, 8, baseTime, window), 8)
		data, err := s.Snapshot()
		assert.NilError(t, err)
		restored, err := pimjob.Restore(data)
		assert.NilError(t, err)
		assert.Equal(t, submitOwned(restored, "a", 8, 10, baseTime, window), 2)
		assert.Assert(t, restored.IsOverRate("a", window, baseTime))
		assert.Assert(t, !restored.IsOverRate("a", window, baseTime+500))
		assert.Equal(t, submitOwned(restored, "a", 18, 10, baseTime+1000, window), 2)
	})
	t.Run("no window, no organisation", func(t *testing.T) {
		s := newState(config)
		assert.Equal(t, submitOwned(s, "a", 0, 30, baseTime, 0), 30)
		assert.Equal(t, submitOwned(s, "", 0, 30, baseTime, window), 30)
		assert.Equal(t, submitOwned(s, "removed", 0, 30, baseTime, window), 30)
	})
}
