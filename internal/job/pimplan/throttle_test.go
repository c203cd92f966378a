package pimplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

// TestEachServingTaskCounts has one serving task that stays over its target beside another one whose forecast is lower
// still but which is within its target. The best-effort runs beside them are paused all the same.
func TestEachServingTaskCounts(t *testing.T) {
	within, over := pimjob.TaskKey{Job: "within"}, pimjob.TaskKey{Job: "over"}
	p := NewPlanner(pimjob.NewState(), nil)
	for _, image := range []string{"within", "over"} {
		p.interference.observe(image, make([]float64, maxBestEffortImages), 0, 0)
		index, _ := p.interference.indexOf("filler")
		p.interference.regressions[image].coefficients[index] = 0
	}
	h := &host{worker: pimjob.Worker{ID: "w"}}
	runs := []bestEffortRun{{image: "filler", cores: 4, speedPercent: fullSpeed}}
	var plan Plan
	for second := range 5 {
		at := time.Duration(second+1) * time.Second
		serving := map[pimjob.TaskKey]*servingTask{
			within: {image: "within", target: 50 * time.Millisecond, headroom: 2},
			over:   {image: "over", target: 50 * time.Millisecond, headroom: 0.97},
		}
		h.throttling.learn(p.interference, serving, make([]float64, maxBestEffortImages), at, time.Second)
		serving[within].throttleForecast = 0.5
		h.throttling.reportedAt, h.throttling.servingTasks = at, serving
		p.throttleHost(at, h, runs, &plan)
	}
	assert.Assert(t, len(plan.Throttles) > 0)
	assert.Equal(t, plan.Throttles[0].SpeedPercent, 0)
}

// TestSpeedOfEarlierLeader guards against a run that an earlier leader paused and that stays paused, until it is stopped as
// one without progress, since the new leader takes it to run at full speed.
func TestSpeedOfEarlierLeader(t *testing.T) {
	p := NewPlanner(pimjob.NewState(), nil)
	h := &host{worker: pimjob.Worker{ID: "w"}}
	for _, known := range []bool{true, false} {
		var plan Plan
		p.throttleHost(time.Second, h, []bestEffortRun{
			{image: "filler", cores: 4, speedPercent: fullSpeed, speedUnknown: !known},
		}, &plan)
		assert.Equal(t, len(plan.Throttles) == 0, known)
	}
}
