package pimplan

import (
	"maps"
	"slices"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// topology indexes the hosts by rack and by label, so that looking for a place near the data or the group of a task
	// doesn't walk all hosts. The hosts of an entry are sorted by id.
	topology struct {
		// racks holds the names of the racks, sorted.
		racks   []string
		byRack  map[string]*rack
		byLabel map[string][]*host
	}

	// rack holds the hosts of a rack. Free is at least what they can take together, whether they may get new runs or not.
	rack struct {
		hosts []*host
		free  pimjob.Resources
	}
)

// hostTopology returns the index, which is rebuilt if a host was added or removed or its rack or labels have changed.
func (p *Planner) hostTopology() *topology {
	if p.topology != nil {
		return p.topology
	}
	t := &topology{byRack: map[string]*rack{}, byLabel: map[string][]*host{}}
	for _, h := range p.index.sorted {
		if h.rack = t.byRack[h.worker.Rack]; h.rack == nil {
			h.rack = &rack{}
			t.byRack[h.worker.Rack] = h.rack
		}
		h.rack.hosts = append(h.rack.hosts, h)
		h.rack.count(h, 1)
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

// count adds the free capacity of a host, or with sign -1 subtracts it.
func (r *rack) count(h *host, sign int64) { r.free = r.free.Plus(positive(h.free, sign)) }

// positive returns the amounts that are above 0, times a sign.
func positive(r pimjob.Resources, sign int64) pimjob.Resources {
	return pimjob.Resources{
		Millicores: sign * max(0, r.Millicores), MemoryMB: sign * max(0, r.MemoryMB), GPUs: sign * max(0, r.GPUs),
	}
}
