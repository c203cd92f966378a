package pimplan

import (
	"maps"
	"slices"
)

// topology indexes the hosts by rack and by label, so that looking for a place near the data or the group of a task doesn't
// walk all hosts. The hosts of an entry are sorted by id.
type topology struct {
	// racks holds the names of the racks, sorted.
	racks   []string
	byRack  map[string][]*host
	byLabel map[string][]*host
}

// hostTopology returns the index, which is rebuilt if a host was added, changed or removed.
func (p *Planner) hostTopology() *topology {
	if p.topology != nil {
		return p.topology
	}
	t := &topology{byRack: map[string][]*host{}, byLabel: map[string][]*host{}}
	for _, h := range p.sortedHosts {
		t.byRack[h.worker.Rack] = append(t.byRack[h.worker.Rack], h)
		for i, label := range h.worker.Labels {
			if !slices.Contains(h.worker.Labels[:i], label) {
				t.byLabel[label] = append(t.byLabel[label], h)
			}
		}
	}
	t.racks = slices.Sorted(maps.Keys(t.byRack))
	p.topology = t
	return t
}
