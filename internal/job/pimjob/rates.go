package pimjob

import (
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimshare"
)

// exceedsRate takes a token of an organisation, and reports whether it had none left. Jobs without an organisation have
// no rate, and neither have those of an organisation that the configuration in effect does not hold.
func (s *State) exceedsRate(name string, window time.Duration) bool {
	organisation := s.organisations[name]
	if organisation == nil || window <= 0 {
		return false
	}
	bucket := s.tables.Rates[name]
	within := bucket.Take(organisation.Weight, window, s.tables.Now)
	if s.tables.Rates == nil {
		s.tables.Rates = map[string]pimshare.Bucket{}
	}
	s.tables.Rates[name] = bucket
	return !within
}

// IsOverRate reports whether a job that an organisation submits at a time, in milliseconds since 1970, exceeds its rate.
func (s *State) IsOverRate(name string, window time.Duration, at int64) bool {
	organisation := s.organisations[name]
	if organisation == nil || window <= 0 {
		return false
	}
	return s.tables.Rates[name].Jobs(organisation.Weight, window, max(at, s.tables.Now)) == 0
}

// dropRates removes the buckets of organisations that the configuration in effect does not hold.
func (s *State) dropRates() {
	for name := range s.tables.Rates {
		if s.organisations[name] == nil {
			delete(s.tables.Rates, name)
		}
	}
}
