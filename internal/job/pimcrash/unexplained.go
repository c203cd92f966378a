package pimcrash

import (
	"slices"
	"time"
)

// Unexplained holds when workers crashed, in milliseconds since 1970, without a task that was given up for it so far.
type Unexplained []int64

const (
	// explainedWithin is how soon a task that crashes its workers has crashed another one.
	explainedWithin = 10 * time.Second
	// unexplainedRetention is for how long a crash counts.
	unexplainedRetention = time.Minute
	// From minUnexplained crashes and one for every workersPerUnexplained workers on, workers crash for other reasons.
	minUnexplained, workersPerUnexplained = 3, 20
)

// Add records a crash.
func (u *Unexplained) Add(now int64) {
	*u = slices.DeleteFunc(*u, func(at int64) bool { return now-at > unexplainedRetention.Milliseconds() })
	*u = append(*u, now)
}

// Remove forgets a crash whose cause is now known.
func (u *Unexplained) Remove(at int64) {
	if i := slices.Index(*u, at); i >= 0 {
		*u = slices.Delete(*u, i, i+1)
	}
}

// AreMany reports whether so many workers have crashed that tasks are unlikely to be the cause.
func (u *Unexplained) AreMany(now int64, workers int) bool {
	count := 0
	for _, at := range *u {
		if age := now - at; age > explainedWithin.Milliseconds() && age <= unexplainedRetention.Milliseconds() {
			count++
		}
	}
	return count >= max(minUnexplained, workers/workersPerUnexplained)
}
