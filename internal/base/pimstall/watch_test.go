package pimstall

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimroutine"
)

func TestHasStalled(t *testing.T) {
	now := time.Minute
	watch := newWatch(func() time.Duration { return now })
	advance := func(duration time.Duration, ticks bool) {
		now += duration
		if ticks {
			watch.tick()
		}
	}
	advance(interval, true)
	advance(minStall-1, true)
	assert.Assert(t, !watch.HasStalled(time.Second), "late ticks are no stall")
	advance(minStall, false)
	assert.Assert(t, watch.HasStalled(time.Second), "before the first tick after a stall")
	advance(0, true)
	assert.Assert(t, watch.HasStalled(time.Second), "after it")
	for range 3 {
		advance(interval, true)
	}
	assert.Assert(t, watch.HasStalled(time.Second))
	advance(interval, true)
	assert.Assert(t, !watch.HasStalled(time.Second))
}

func TestRun(t *testing.T) {
	watch := NewWatch()
	ctx, cancel := context.WithCancel(context.Background())
	done := pimroutine.Start(ctx, watch.Run)
	first := watch.tickedAt.Load()
	for end := time.Now().Add(time.Minute); watch.tickedAt.Load() == first; time.Sleep(interval / 10) {
		assert.Assert(t, time.Now().Before(end))
	}
	cancel()
	assert.NilError(t, <-done)
}
