// Package pimorganisation describes the organisations that share a deployment: their keys, weights and quotas.
package pimorganisation

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
)

type (
	// Resources are the resources that a task needs, that a worker has or that an organisation may use. 1000
	// CPUMillis are one CPU.
	Resources struct {
		CPUMillis    int64 `json:"cpu-millis" msgpack:"c"`
		MemoryMB     int64 `json:"memory-mb" msgpack:"m"`
		Accelerators int64 `json:"accelerators" msgpack:"a"`
	}

	// Organisation owns services and jobs. While there is too little capacity for all, its share is proportional to
	// Weight. A zero amount in Quota means no limit. Keys identify its callers; they are secret and must not be
	// logged, see Digest. It is stored under its Go field names.
	Organisation struct {
		Name   string
		Weight int
		Quota  Resources
		Keys   []string `msgpack:",omitempty"`
	}
)

// digestLength is the length of a key's digest in hexadecimal digits.
const digestLength = 8

// Add returns r plus other.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.CPUMillis + other.CPUMillis, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Sub returns r minus other.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.CPUMillis - other.CPUMillis, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
}

// Times returns r n times.
func (r Resources) Times(n int64) Resources {
	return Resources{r.CPUMillis * n, r.MemoryMB * n, r.Accelerators * n}
}

// Fits reports whether no amount of r exceeds that of free.
func (r Resources) Fits(free Resources) bool {
	return r.CPUMillis <= free.CPUMillis && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// WithinQuota reports whether r fits into quota, of which a zero amount means no limit.
func (r Resources) WithinQuota(quota Resources) bool {
	within := func(amount, limit int64) bool { return limit == 0 || amount <= limit }
	return within(r.CPUMillis, quota.CPUMillis) && within(r.MemoryMB, quota.MemoryMB) &&
		within(r.Accelerators, quota.Accelerators)
}

// Admits reports whether an organisation that uses used may start count tasks together that need need each. Its usage
// must stay within its quota. An organisation that uses at most half of its quota may exceed it by one task, so that a
// task larger than the other half can start at all. While its usage exceeds its quota, nothing starts.
func (o *Organisation) Admits(used, need Resources, count int) bool {
	total := used.Add(need.Times(int64(count)))
	if total.WithinQuota(o.Quota) {
		return true
	}
	return used.Times(2).WithinQuota(o.Quota) && total.Sub(need).WithinQuota(o.Quota)
}

// HasKey reports whether key is one of the organisation's keys. Its duration tells nothing about the keys' content.
func (o *Organisation) HasKey(key string) bool {
	found := 0
	for _, own := range o.Keys {
		found |= subtle.ConstantTimeCompare([]byte(own), []byte(key))
	}
	return found == 1 && key != ""
}

// FindByKey returns the organisation with a key, or nil. It compares all keys, so that its duration doesn't tell which
// organisation has the key.
func FindByKey(organisations []Organisation, key string) *Organisation {
	var found *Organisation
	for i := range organisations {
		if organisations[i].HasKey(key) {
			found = &organisations[i]
		}
	}
	return found
}

// Find returns the organisation with a name, or nil.
func Find(organisations []Organisation, name string) *Organisation {
	for i := range organisations {
		if organisations[i].Name == name {
			return &organisations[i]
		}
	}
	return nil
}

// Digest returns a short digest by which a key can be recognised in logs.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])[:digestLength]
}

// Check returns an error with the code pimcode.ManifestInvalid if the organisations cannot be told apart by their names
// and keys, or if a weight or a limit is out of range.
func Check(organisations []Organisation) error {
	names, keys := map[string]bool{}, map[string]string{}
	for _, o := range organisations {
		if o.Name == "" {
			return pimcode.New(pimcode.ManifestInvalid, "an organisation has no name")
		}
		if names[o.Name] {
			return pimcode.New(pimcode.ManifestInvalid, "organisation %q occurs twice", o.Name)
		}
		names[o.Name] = true
		if o.Weight < 0 {
			return pimcode.New(pimcode.ManifestInvalid, "organisation %q has weight %d", o.Name, o.Weight)
		}
		if o.Quota.CPUMillis < 0 || o.Quota.MemoryMB < 0 || o.Quota.Accelerators < 0 {
			return pimcode.New(pimcode.ManifestInvalid, "organisation %q has a negative quota", o.Name)
		}
		for _, key := range o.Keys {
			if key == "" {
				return pimcode.New(pimcode.ManifestInvalid, "organisation %q has an empty key", o.Name)
			}
			if other, ok := keys[key]; ok && other != o.Name {
				return pimcode.New(pimcode.ManifestInvalid, "organisations %q and %q share the key %s", other, o.Name, Digest(key))
			}
			keys[key] = o.Name
		}
	}
	return nil
}
