// Package pimmanifest reads and checks manifests: the declared services, batch
// jobs and teams. docs/MANIFEST.md describes the format.
package pimmanifest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

type (
	// Resources are amounts on a worker or needed by a task.
	Resources struct {
		CPUMillis    int64 `json:"cpu-millis" msgpack:"c"`
		MemoryMB     int64 `json:"memory-mb" msgpack:"m"`
		Accelerators int64 `json:"accelerators" msgpack:"a"`
	}

	// Service is a latency-critical service with a number of replicas.
	Service struct {
		Name           string
		Replicas       int
		Team           string
		Priority       int
		Idempotent     bool
		Needs          Resources
		FailureDomains []string
	}

	// BatchJob is a number of independent tasks that each run to their end once.
	BatchJob struct {
		Name           string
		Tasks          int
		Team           string
		Needs          Resources
		FailureDomains []string
		RunTime        time.Duration
		Deadline       time.Duration
		Checkpoint     bool
	}

	// Team owns services and jobs. A zero quota is no limit.
	Team struct {
		Name   string
		Weight int
		Quota  Resources
	}

	// Manifest is one declared state, with its number.
	Manifest struct {
		Number    uint64
		Services  []Service
		BatchJobs []BatchJob
		Teams     []Team
	}

	// Fault is one thing wrong in a manifest.
	Fault struct {
		Line int    `json:"line"`
		Path string `json:"path"`
		Text string `json:"text"`
		Rule string `json:"rule"`
	}
)

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("line %d: %s: %q: %s", f.Line, f.Path, f.Text, f.Rule)
}

// Digest returns the content digest of a manifest file.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Add returns the sum.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.CPUMillis + other.CPUMillis, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Sub returns the difference.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.CPUMillis - other.CPUMillis, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
}

// Fits reports whether r is at most free in every resource.
func (r Resources) Fits(free Resources) bool {
	return r.CPUMillis <= free.CPUMillis && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// WithinQuota is Fits where a zero limit is no limit.
func (r Resources) WithinQuota(quota Resources) bool {
	within := func(amount, limit int64) bool { return limit == 0 || amount <= limit }
	return within(r.CPUMillis, quota.CPUMillis) && within(r.MemoryMB, quota.MemoryMB) &&
		within(r.Accelerators, quota.Accelerators)
}

// ServiceNamed returns a service by name.
func (m *Manifest) ServiceNamed(name string) (Service, bool) {
	for _, service := range m.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

// BatchJobNamed returns a batch job by name.
func (m *Manifest) BatchJobNamed(name string) (BatchJob, bool) {
	for _, job := range m.BatchJobs {
		if job.Name == name {
			return job, true
		}
	}
	return BatchJob{}, false
}

// TeamNamed returns a team by name; a team that is not declared has weight 1 and no quota.
func (m *Manifest) TeamNamed(name string) Team {
	for _, team := range m.Teams {
		if team.Name == name {
			return team
		}
	}
	return Team{Name: name, Weight: 1}
}
