// Package pimmanifest parses and validates manifests, which declare services, batch jobs and
// teams. docs/MANIFEST.md describes the format.
package pimmanifest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

type (
	// Resources are the resources that a task needs or that a worker has. 1000 CPUMillis are
	// one CPU.
	Resources struct {
		CPUMillis    int64 `json:"cpu-millis" msgpack:"c"`
		MemoryMB     int64 `json:"memory-mb" msgpack:"m"`
		Accelerators int64 `json:"accelerators" msgpack:"a"`
	}

	// Service is a latency-critical service, of which Replicas tasks run at all times. Requests
	// to a service with a higher Priority go first. Idempotent requests may be sent again if it
	// is unknown whether they ran. Needs is per replica. Empty FailureDomains allow all failure
	// domains.
	Service struct {
		Name           string
		Replicas       int
		Team           string
		Priority       int
		Idempotent     bool
		Needs          Resources
		FailureDomains []string
	}

	// BatchJob is a set of independent tasks, each of which runs until it has finished once.
	// Needs is per task. Empty FailureDomains allow all failure domains. RunTime is the run time
	// of a task, zero if not given. A team's jobs are assigned in the order of their Deadline;
	// zero means none. Checkpoint means that a task can save its progress and continue from it.
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

	// Team owns services and jobs. A zero amount in Quota means no limit.
	Team struct {
		Name   string
		Weight int
		Quota  Resources
	}

	// Manifest is a declared state of the cluster. Manifests are ordered by Number. It is
	// stored under its Go field names, as are Service, BatchJob and Team.
	Manifest struct {
		Number    uint64
		Services  []Service
		BatchJobs []BatchJob
		Teams     []Team
	}

	// Fault is an error in a manifest: the line and path of the text that breaks a rule.
	Fault struct {
		Line int    `json:"line"`
		Path string `json:"path"`
		Text string `json:"text"`
		Rule string `json:"rule"`
	}
)

// String returns the fault as one line of text.
func (f Fault) String() string {
	return fmt.Sprintf("line %d: %s: %q: %s", f.Line, f.Path, f.Text, f.Rule)
}

// Digest returns the SHA-256 digest of a manifest's source text in hexadecimal.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Add returns r plus other.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.CPUMillis + other.CPUMillis, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Sub returns r minus other.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.CPUMillis - other.CPUMillis, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
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

// ServiceNamed returns the service with the given name.
func (m *Manifest) ServiceNamed(name string) (Service, bool) {
	for _, service := range m.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

// BatchJobNamed returns the batch job with the given name.
func (m *Manifest) BatchJobNamed(name string) (BatchJob, bool) {
	for _, job := range m.BatchJobs {
		if job.Name == name {
			return job, true
		}
	}
	return BatchJob{}, false
}

// TeamNamed returns the team with the given name. An undeclared team has weight 1 and no quota.
func (m *Manifest) TeamNamed(name string) Team {
	for _, team := range m.Teams {
		if team.Name == name {
			return team
		}
	}
	return Team{Name: name, Weight: 1}
}
