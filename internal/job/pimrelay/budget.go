package pimrelay

import "math"

const (
	// reservedForFiles is from the specification page. reservedForPeers is the least number of descriptors that are kept
	// for the connections of other daemons and of operators: two for each of 16 daemons, and as many again.
	reservedForFiles = 200
	reservedForPeers = 64
	// MaxConnectionsPerWorker is how many connections a daemon opens to a worker if its budget allows it.
	MaxConnectionsPerWorker = 6
	// MinConnectionsPerWorker is one for the held renewal and one for commands.
	MinConnectionsPerWorker = 2
	// hysteresisPercent keeps a leader near its budget from switching back and forth between direct and relayed calls.
	hysteresisPercent = 10
)

// ConnectionBudget returns how many connections to workers a daemon may have open that may have maxDescriptors open, and
// that has the given numbers of connections of its callers, such as the heartbeats of workers, and of other daemons. If
// maxDescriptors is 0, there is no limit.
func ConnectionBudget(maxDescriptors, served, peers int) int {
	if maxDescriptors == 0 {
		return math.MaxInt
	}
	return max(0, maxDescriptors-reservedForFiles-max(reservedForPeers, peers)-served)
}

// MaxServed returns how many of its descriptors a daemon may use for the connections of its callers: all that are not
// reserved, or half of the descriptors if it calls workers too. If maxDescriptors is 0, there is no limit.
func MaxServed(maxDescriptors int, callsWorkers bool) int {
	if callsWorkers && maxDescriptors > 0 {
		return maxDescriptors / 2
	}
	return ConnectionBudget(maxDescriptors, 0, 0)
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
