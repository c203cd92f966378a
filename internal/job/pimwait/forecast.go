package pimwait

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// Release is capacity that a run is expected to return after a time.
	Release struct {
		After    time.Duration
		Returned pimjob.Resources
	}

	// Host forecasts when a preferred host has room: its free capacity, the releases of its runs and the claims of the
	// tasks that wait for it.
	Host struct {
		free    pimjob.Resources
		changes []Release
		// earliest caches when a request fits. It is cleared by each claim.
		earliest map[pimjob.Resources]time.Duration
	}

	// Forecast is the forecast for the preferred hosts of a task.
	Forecast []*Host

	// claim is the room that a task is expected to take on a host after a time.
	claim struct {
		host  *Host
		after time.Duration
	}
)

// never is the wait for a host that is not expected to have room.
const never = time.Duration(math.MaxInt64)

// NewHost returns the forecast for a host.
func NewHost(free pimjob.Resources, releases []Release) *Host {
	slices.SortFunc(releases, func(a, b Release) int { return cmp.Compare(a.After, b.After) })
	return &Host{free: free, changes: releases, earliest: map[pimjob.Resources]time.Duration{}}
}

// earliestFit returns the time from which a request always fits. Room that an earlier claim takes later doesn't count, so
// that the claims are served in their order.
func (h *Host) earliestFit(need pimjob.Resources) time.Duration {
	if known, ok := h.earliest[need]; ok {
		return known
	}
	free, fits, after := h.free, h.free.Fits(need), time.Duration(0)
	for i, change := range h.changes {
		free = free.Plus(change.Returned)
		if i+1 < len(h.changes) && h.changes[i+1].After == change.After {
			continue
		}
		if !fits {
			after = change.After
		}
		fits = free.Fits(need)
	}
	if !fits {
		after = never
	}
	h.earliest[need] = after
	return after
}

// add reserves the room for a task that starts after a time and then runs for a duration.
func (h *Host) add(need pimjob.Resources, after, duration time.Duration) {
	for _, change := range []Release{{after, pimjob.Resources{}.Minus(need)}, {after + duration, need}} {
		index, _ := slices.BinarySearchFunc(h.changes, change.After, func(r Release, at time.Duration) int {
			if r.After <= at {
				return -1
			}
			return 1
		})
		h.changes = slices.Insert(h.changes, index, change)
	}
	clear(h.earliest)
}

// Claim reserves the earliest room for count tasks, so that the tasks after them see it as taken, and returns after which
// time the last of them is expected to start. It returns false and reserves nothing if no room is expected for one of
// them.
func (f Forecast) Claim(need pimjob.Resources, duration time.Duration, count int) (time.Duration, bool) {
	claims, last := f.claims(need, duration, count, never)
	if last == never {
		f.undo(claims, need, duration)
		return 0, false
	}
	return last, true
}

// wait returns after which time the last of count tasks is expected to start, or never if that is not before the limit.
func (f Forecast) wait(need pimjob.Resources, duration time.Duration, count int, limit time.Duration) time.Duration {
	if count == 1 {
		after := never
		for _, h := range f {
			after = min(after, h.earliestFit(need))
		}
		return after
	}
	claims, last := f.claims(need, duration, count, limit)
	f.undo(claims, need, duration)
	return last
}

// claims reserves room for count tasks. If one of them can't start before the limit, it returns never and the claims until
// then.
func (f Forecast) claims(
	need pimjob.Resources, duration time.Duration, count int, limit time.Duration,
) ([]claim, time.Duration) {
	var claims []claim
	last := time.Duration(0)
	for range count {
		best := claim{after: limit}
		for _, h := range f {
			if after := h.earliestFit(need); after < best.after {
				best = claim{h, after}
			}
		}
		if best.host == nil {
			return claims, never
		}
		best.host.add(need, best.after, duration)
		claims = append(claims, best)
		last = max(last, best.after)
	}
	return claims, last
}

// undo removes the changes that claims added.
func (f Forecast) undo(claims []claim, need pimjob.Resources, duration time.Duration) {
	for _, c := range claims {
		for _, change := range []Release{{c.after, pimjob.Resources{}.Minus(need)}, {c.after + duration, need}} {
			if index := slices.Index(c.host.changes, change); index >= 0 {
				c.host.changes = slices.Delete(c.host.changes, index, index+1)
			}
		}
		clear(c.host.earliest)
	}
}
