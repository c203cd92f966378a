package pimcontrol

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimmetric"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimplan"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimwait"
)

// TestWaitLines guards against a log that a hot rack fills, and against lines that are left out without a count.
func TestWaitLines(t *testing.T) {
	var lines waitLines
	for now := time.Duration(0); now < 3*time.Second; now += time.Second {
		written := 0
		omitted := lines.takeOmitted(now)
		for range 50 {
			if lines.admit() {
				written++
			}
		}
		assert.Equal(t, written, maxWaitLines)
		assert.Equal(t, omitted, min(int(now/time.Second), 1)*(50-maxWaitLines))
	}
}

// TestReportWaits guards against waits that operators cannot see.
func TestReportWaits(t *testing.T) {
	var lines, counters bytes.Buffer
	c := &Control{
		logger: &log.Logger{Writer: &log.IOWriter{Writer: &lines}}, metrics: pimmetric.NewMetrics(), leadership: &leadership{},
	}
	c.reportWaits([]pimplan.EndedWait{
		{Key: pimjob.TaskKey{Job: "a"}, Queue: "q", Waited: 210 * time.Millisecond, Gain: 990 * time.Millisecond},
		{
			Key: pimjob.TaskKey{Job: "b"}, Queue: "q", Outcome: pimplan.EndedGone, Reason: pimwait.PreferredGone,
			Waited: 90 * time.Millisecond, Gain: -90 * time.Millisecond,
		},
	})
	assert.NilError(t, c.metrics.WriteText(&counters))
	for _, want := range []string{
		`tasks_waited_total{queue="q"} 2`, `wait_millis_total{queue="q"} 300`, `waits_near_total{queue="q"} 1`,
		`waits_gone_total{queue="q"} 1`,
	} {
		assert.Assert(t, strings.Contains(counters.String(), want), counters.String())
	}
	for _, want := range []string{`"task":"b.0.0.0"`, `"outcome":"gone"`, `"waited-ms":90`, `"gain-ms":-90`} {
		assert.Assert(t, strings.Contains(lines.String(), want), lines.String())
	}
}
