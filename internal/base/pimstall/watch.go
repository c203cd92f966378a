// Package pimstall notices that the process, or its machine, has stood still.
package pimstall

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimclock"
)

type (
	// Watch notices when its process stands still. It is safe for concurrent use.
	Watch struct {
		// now reads a clock that includes the time for which the process stood still.
		now func() time.Duration
		// tickedAt is the time of the last tick, resumedAt that of the end of the last stall, both in nanoseconds, or 0.
		tickedAt, resumedAt atomic.Int64
	}
)

const (
	interval = 250 * time.Millisecond
	// minStall is above the delays of a busy machine and below the time after which callers give up.
	minStall = 700 * time.Millisecond
)

// NewWatch returns a watch that notices stalls while Run runs.
func NewWatch() *Watch { return newWatch(pimclock.Now) }

func newWatch(now func() time.Duration) *Watch {
	w := &Watch{now: now}
	w.tick()
	return w
}

// Run notices stalls until the context ends.
func (w *Watch) Run(ctx context.Context) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			w.tick()
		}
	}
}

func (w *Watch) tick() {
	now := int64(w.now())
	if last := w.tickedAt.Swap(now); last != 0 && time.Duration(now-last) >= minStall {
		w.resumedAt.Store(now)
	}
}

// HasStalled reports whether the process stood still until less than within ago.
func (w *Watch) HasStalled(within time.Duration) bool {
	now := int64(w.now())
	if time.Duration(now-w.tickedAt.Load()) >= minStall {
		return true
	}
	resumed := w.resumedAt.Load()
	return resumed != 0 && time.Duration(now-resumed) < within
}
