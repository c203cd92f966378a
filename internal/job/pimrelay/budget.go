package pimrelay

import "math"

const (
	// reservedDescriptors are kept free for files (200, from the specification page) and for the connections of other
	// daemons and of operators (64: two for each of up to 16 daemons, and as many again).
	reservedDescriptors = 200 + 64
	// MaxConnectionsPerWorker is how many connections a daemon opens to a worker if its budget allows it.
	MaxConnectionsPerWorker = 6
	// MinConnectionsPerWorker is one for the held renewal and one for commands.
	MinConnectionsPerWorker = 2
	// hysteresisPercent keeps a leader near its budget from switching back and forth between direct and relayed calls.
	hysteresisPercent = 10
)

// ConnectionBudget returns how many connections to workers a daemon may have open that serves the given number of
// connections and may have maxDescriptors open. If maxDescriptors is 0, there is no limit.
func ConnectionBudget(maxDescriptors, served int) int {
	if maxDescriptors == 0 {
		return math.MaxInt
	}
	return max(0, maxDescriptors-reservedDescriptors-served)
}

// ConnectionsPerWorker returns how many connections to each of its workers a daemon may open within its budget.
func ConnectionsPerWorker(budget, workers int) int {
	return min(MaxConnectionsPerWorker, max(MinConnectionsPerWorker, budget/max(1, workers)))
}

// needsRelays decides whether a leader uses relays, given whether it uses them now.
func needsRelays(enabled bool, workers, budget int) bool {
	demand := workers * MaxConnectionsPerWorker
	if enabled {
		budget -= budget / 100 * hysteresisPercent
	}
	return demand > budget
}
