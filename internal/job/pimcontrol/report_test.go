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
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimstop"
)

// TestReportOfStops guards against stops of which operators can't see the grounds, the refusal or the result.
func TestReportOfStops(t *testing.T) {
	var lines, metrics bytes.Buffer
	c := &Control{logger: &log.Logger{Writer: log.IOWriter{Writer: &lines}}, metrics: pimmetric.NewMetrics()}
	budget := pimstop.NewBudget()
	first := pimstop.Stop{
		Key: pimjob.TaskKey{Job: "a", Index: 3}, Number: 1, Reason: pimstop.BetterHost, Here: 9 * time.Second,
		There: 4 * time.Second, Expected: 3 * time.Second, Discarded: 2.5,
	}
	allowed, _ := budget.Allow(first, 768, 0)
	assert.Assert(t, allowed)
	c.reportStop(pimplan.StopRun{Worker: "w1", Key: first.Key, Number: 1, Reason: string(first.Reason), Decision: first})
	again := first
	again.Number = 2
	for range 2 {
		allowed, _ = budget.Allow(again, 768, 2*time.Second)
		assert.Assert(t, !allowed)
	}
	budget.OnEnd(first.Key, 2, 5*time.Second)
	c.reportStops(budget.TakeReport(5 * time.Second))
	assert.NilError(t, c.metrics.WriteText(&metrics))
	for _, want := range []string{
		`"task":"a.0.0.3","run":1,"worker":"w1","why":"would finish sooner on another host","here-ms":9000,"there-ms":4000,` +
			`"expected-ms":3000,"discarded-core-ms":2500,"estimate-accurate":false,"message":"planner stops a run"`,
		`"refusal":"was stopped within its expected duration","count":2,`,
	} {
		assert.Assert(t, strings.Contains(lines.String(), want), lines.String())
	}
	for _, want := range []string{
		`pimentoswitch_planner_stops_refused_total{refusal="was stopped within its expected duration",why="would finish sooner on another host"} 2`,
		`pimentoswitch_planner_stops_judged_total{outcome="paid-off"} 1`,
		`pimentoswitch_planner_discarded_core_millis_total 2500`,
	} {
		assert.Assert(t, strings.Contains(metrics.String(), want), metrics.String())
	}
	t.Logf("%s%s", lines.String(), metrics.String())
}
