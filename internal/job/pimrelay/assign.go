package pimrelay

import (
	"cmp"
	"hash/fnv"
	"slices"
)

type (
	// Daemon is a control daemon and its failure domain, which is empty while it is unknown.
	Daemon struct {
		ID     string
		Domain string
	}

	// Worker is a worker and its failure domain.
	Worker struct {
		ID     string
		Domain string
	}
)

// maxLoadPercent is the largest share of workers of one daemon, in percent of the mean. It keeps the daemons of a
// failure domain that has few of them within their descriptors.
const maxLoadPercent = 110

// Assign distributes the workers over the daemons and returns the ID of the daemon for each worker. It uses rendezvous
// hashing with a limit on the load of each daemon; daemons in the worker's failure domain come first.
func Assign(workers []Worker, daemons []Daemon) map[string]string {
	assigned := make(map[string]string, len(workers))
	if len(daemons) == 0 {
		return assigned
	}
	limit := (len(workers)*maxLoadPercent+100*len(daemons)-1)/(100*len(daemons)) + 1
	loads := make(map[string]int, len(daemons))
	for _, worker := range slices.SortedFunc(slices.Values(workers), func(a, b Worker) int { return cmp.Compare(a.ID, b.ID) }) {
		for _, daemon := range ranked(worker, daemons) {
			if loads[daemon.ID] < limit {
				loads[daemon.ID]++
				assigned[worker.ID] = daemon.ID
				break
			}
		}
	}
	return assigned
}

// ranked returns the daemons in the worker's order of preference.
func ranked(worker Worker, daemons []Daemon) []Daemon {
	type rank struct {
		daemon  Daemon
		foreign int
		score   uint64
	}
	ranks := make([]rank, 0, len(daemons))
	for _, daemon := range daemons {
		foreign := 1
		if daemon.Domain != "" && daemon.Domain == worker.Domain {
			foreign = 0
		}
		ranks = append(ranks, rank{daemon, foreign, scoreOf(worker.ID, daemon.ID)})
	}
	slices.SortFunc(ranks, func(a, b rank) int {
		return cmp.Or(cmp.Compare(a.foreign, b.foreign), cmp.Compare(b.score, a.score), cmp.Compare(a.daemon.ID, b.daemon.ID))
	})
	result := make([]Daemon, 0, len(ranks))
	for _, rank := range ranks {
		result = append(result, rank.daemon)
	}
	return result
}

// scoreOf returns a hash of the pair. The last multiplications mix the high bits, in which hashes of similar names
// differ little in FNV.
func scoreOf(worker, daemon string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(worker))
	hash.Write([]byte{0})
	hash.Write([]byte(daemon))
	sum := hash.Sum64()
	sum = (sum ^ sum>>33) * 0xff51afd7ed558ccd
	sum = (sum ^ sum>>33) * 0xc4ceb9fe1a85ec53
	return sum ^ sum>>33
}
