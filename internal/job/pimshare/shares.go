// Package pimshare divides scarce capacity between organisations in proportion to their weights. It gives the order in
// which waiting steps are considered, limits the rate of each organisation's jobs, and decides which jobs are rejected
// because the queue of their own organisation is too long. It reads no clock and is deterministic.
package pimshare

import (
	"maps"
	"slices"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimorganisation"
)

type (
	// Account is what an organisation uses of the total capacity.
	Account struct {
		Name   string
		Weight int
		Used   pimorganisation.Resources
	}

	// Shares holds the accounts of organisations for the duration of one plan.
	Shares struct {
		capacity pimorganisation.Resources
		accounts map[string]*Account
		// weights is the sum of the weights of all accounts.
		weights float64
	}
)

const (
	// minWeight is the weight of an organisation with weight 0, which is served after all others but not never.
	minWeight = 1.0 / 1024
	// fairShareTolerance lets an organisation that is at its fair share, and varies around it as tasks end, get
	// reservations.
	fairShareTolerance = 1.1
)

// NewShares returns the shares of a total capacity. The accounts are added with Add.
func NewShares(capacity pimorganisation.Resources) *Shares {
	return &Shares{capacity: capacity, accounts: map[string]*Account{}}
}

// Add adds an account. There must be none with its name.
func (s *Shares) Add(account Account) {
	s.accounts[account.Name] = &account
	s.weights += effectiveWeight(account.Weight)
}

// Has reports whether there is an account with this name.
func (s *Shares) Has(name string) bool { return s.accounts[name] != nil }

// Use adds count tasks to what an organisation uses.
func (s *Shares) Use(name string, need pimorganisation.Resources, count int) {
	account := s.accounts[name]
	account.Used = account.Used.Add(need.Times(int64(count)))
}

// Normalised returns the dominant share of an organisation divided by its weight.
func (s *Shares) Normalised(name string) float64 {
	account := s.accounts[name]
	return s.dominant(account.Used) / effectiveWeight(account.Weight)
}

// IsAboveFairShare reports whether an organisation uses more than its weight gives it among all accounts, by more than
// a tenth.
func (s *Shares) IsAboveFairShare(name string) bool {
	return s.Normalised(name)*s.weights > fairShareTolerance
}

// Index returns Jain's index over the normalised shares of all accounts.
func (s *Shares) Index() float64 {
	values := make([]float64, 0, len(s.accounts))
	for _, name := range slices.Sorted(maps.Keys(s.accounts)) {
		values = append(values, s.Normalised(name))
	}
	return Jain(values)
}

// dominant returns the largest part of the capacity that amounts take of any resource. A resource that no worker offers
// has no share.
func (s *Shares) dominant(amounts pimorganisation.Resources) float64 {
	return max(part(amounts.CPUMillis, s.capacity.CPUMillis), part(amounts.MemoryMB, s.capacity.MemoryMB),
		part(amounts.Accelerators, s.capacity.Accelerators))
}

// tasksUntil returns how many tasks an organisation may start, at most limit, before its normalised share exceeds a value.
func (s *Shares) tasksUntil(account *Account, need pimorganisation.Resources, value float64, limit int) int {
	level := value * effectiveWeight(account.Weight)
	count := float64(limit)
	bound := func(used, need, capacity int64) {
		if need > 0 && capacity > 0 {
			count = min(count, (level*float64(capacity)-float64(used))/float64(need))
		}
	}
	bound(account.Used.CPUMillis, need.CPUMillis, s.capacity.CPUMillis)
	bound(account.Used.MemoryMB, need.MemoryMB, s.capacity.MemoryMB)
	bound(account.Used.Accelerators, need.Accelerators, s.capacity.Accelerators)
	return max(0, int(count))
}

func part(amount, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(amount) / float64(capacity)
}

func effectiveWeight(weight int) float64 { return max(minWeight, float64(weight)) }

// Jain returns Jain's fairness index: 1 if all values are equal, 1/n if all but one of n values are 0. It is 1 for no
// values and for zeros.
func Jain(values []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, value := range values {
		sum += value
		squares += value * value
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(values)) * squares)
}
