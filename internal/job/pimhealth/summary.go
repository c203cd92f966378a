package pimhealth

import (
	"cmp"
	"maps"
	"slices"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

const (
	// maxSummaryHosts limits the hosts of a summary to the worst ones, about 15 kB.
	maxSummaryHosts = 256
	// maxInheritedEnds limits the weight of the share of failures that an earlier leader has seen.
	maxInheritedEnds = 200.0
	// maxInheritedEvidence is twice the threshold at 3,000 ends a second.
	maxInheritedEvidence = 30.0
)

// Summary returns what the next leader has to know: the suspect hosts, those that are about to be, and the share of tasks
// that fail on the others. GenerationOf returns the generation of a host that is known.
func (m *Model) Summary(generationOf func(host string) (int64, bool)) pimjob.LearnedHealth {
	summary := pimjob.LearnedHealth{Ends: m.fleetEnds.value, Failures: m.fleetFailures.value}
	for _, id := range slices.Sorted(maps.Keys(m.hosts)) {
		h := m.hosts[id]
		generation, ok := generationOf(id)
		if !ok || (h.status == Used && h.evidence.value < minThreshold/2) {
			continue
		}
		summary.Hosts = append(summary.Hosts, pimjob.LearnedHost{
			Worker: id, Generation: generation, Evidence: h.evidence.value, Suspect: h.status != Used, Doublings: h.doublings,
		})
	}
	slices.SortStableFunc(summary.Hosts, func(a, b pimjob.LearnedHost) int { return cmp.Compare(b.Evidence, a.Evidence) })
	summary.Hosts = summary.Hosts[:min(len(summary.Hosts), maxSummaryHosts)]
	return summary
}

// Restore adds a summary to an empty model, with those hosts whose generation is still the same. Hosts that were avoided
// are probed at once: the change of leader has taken part of their backoff.
func (m *Model) Restore(summary pimjob.LearnedHealth, generationOf func(host string) (int64, bool)) {
	// An invalid share has no effect beyond the limits of fleetShare.
	if summary.Ends > 0 && summary.Failures >= 0 {
		scale := min(1, maxInheritedEnds/summary.Ends)
		m.fleetEnds = decaying{value: scale * summary.Ends, undated: true}
		m.fleetFailures = decaying{value: scale * summary.Failures, undated: true}
	}
	for _, host := range summary.Hosts {
		if generation, ok := generationOf(host.Worker); !ok || generation != host.Generation || !(host.Evidence >= 0) {
			continue
		}
		h := m.host(host.Worker)
		h.evidence = decaying{value: min(host.Evidence, maxInheritedEvidence), undated: true}
		h.doublings = min(max(0, host.Doublings), maxBackoffDoublings)
		if host.Suspect {
			h.status = Avoided
			m.suspects[host.Worker] = h
		}
	}
}
