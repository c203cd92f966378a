package pimcheck_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimcheck"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

// TestCompareSharedNames guards against comparing a queue with another one of the same name, which would report
// differences that there are not and miss real ones.
func TestCompareSharedNames(t *testing.T) {
	configuration := func(version int64, queues ...pimjob.Queue) *pimjob.Config {
		return &pimjob.Config{Version: version, Queues: queues}
	}
	first := pimjob.Queue{Name: "q", Host: "h", Prefix: "/a/", Objective: time.Second}
	second := pimjob.Queue{Name: "q", Host: "h", Prefix: "/b/", Objective: 2 * time.Second}
	slower := second
	slower.Objective = 3 * time.Second
	t.Run("in another order", func(t *testing.T) {
		assert.Equal(t, len(pimcheck.Compare(configuration(1, first, second), configuration(2, second, first))), 0)
	})
	t.Run("one of them changed", func(t *testing.T) {
		findings := pimcheck.Compare(configuration(1, first, second), configuration(2, first, slower))
		assert.Equal(t, len(findings), 1)
		assert.DeepEqual(t, findings[0].Entry, pimcheck.Entry{Kind: pimcheck.Queue, Name: "q", Index: 1})
		assert.Equal(t, findings[0].Text, "objective 2000 ms to 3000 ms")
	})
	t.Run("one of them removed", func(t *testing.T) {
		findings := pimcheck.Compare(configuration(1, first, second), configuration(2, second))
		assert.Equal(t, len(findings), 1)
		assert.Equal(t, findings[0].Text, "removed")
	})
}
