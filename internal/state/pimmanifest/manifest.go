// Package pimmanifest parses and validates manifests, which declare services, batch jobs and
// teams. docs/MANIFEST.md describes the format.
package pimmanifest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimorganisation"
)

type (
	// Resources are the resources that a task needs or that a worker has.
	Resources = pimorganisation.Resources

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

	// Team is an organisation in a manifest, where it has no keys.
	Team = pimorganisation.Organisation

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
	if team := pimorganisation.Find(m.Teams, name); team != nil {
		return *team
	}
	return Team{Name: name, Weight: 1}
}
