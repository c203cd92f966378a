// Package pimexperiment plays loads in virtual time: the planner, the fleet and the job state of a leader run against modelled
// hosts. It opens no connection and reads no clock, so that a minute of hundreds of hosts takes seconds and the same seed
// gives the same result.
package pimexperiment

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
)

type (
	// Load describes the hosts, the jobs that arrive and the faults of an experiment.
	Load struct {
		Name  string `yaml:"name"`
		Hosts Hosts  `yaml:"hosts"`
		// Duration is how long jobs arrive. They have as long again to end.
		Duration time.Duration `yaml:"duration"`
		Kinds    []Kind        `yaml:"kinds"`
		Faults   []Fault       `yaml:"faults"`
	}

	// Hosts are the hosts of a load.
	Hosts struct {
		Count      int   `yaml:"count"`
		Millicores int64 `yaml:"millicores"`
		MemoryMB   int64 `yaml:"memory-mb"`
		PerRack    int   `yaml:"per-rack"`
		Domains    int   `yaml:"domains"`
	}

	// Kind is a kind of job. Amounts are means; Spread is the standard deviation of their logarithms.
	Kind struct {
		Name string `yaml:"name"`
		// AtStart is how many jobs arrive at once at the beginning, PerSecond the rate of the others.
		AtStart   int           `yaml:"at-start"`
		PerSecond float64       `yaml:"per-second"`
		Steps     int           `yaml:"steps"`
		Tasks     float64       `yaml:"tasks"`
		Cores     float64       `yaml:"cores"`
		MemoryMB  int64         `yaml:"memory-mb"`
		Duration  time.Duration `yaml:"duration"`
		Spread    float64       `yaml:"spread"`
		// EstimateError is the largest error of the estimates, as a share of the true duration.
		EstimateError float64       `yaml:"estimate-error"`
		Priority      int           `yaml:"priority"`
		Stretch       float64       `yaml:"stretch"`
		Objective     time.Duration `yaml:"objective"`
		Checkpoints   bool          `yaml:"checkpoints"`
		// BestEffort tasks use idle processor time; Serving tasks last and have a target for their tail latency.
		BestEffort bool `yaml:"best-effort"`
		Serving    bool `yaml:"serving"`
		// Images is how many images the jobs use. HeavyShare is the share of pairs of a best-effort and a serving image of
		// which the first takes much of the headroom of the second.
		Images     int     `yaml:"images"`
		HeavyShare float64 `yaml:"heavy-share"`
	}

	// Fault is a change for some time. Of bursts, Factor is that of the rate of all kinds.
	Fault struct {
		At     time.Duration `yaml:"at"`
		For    time.Duration `yaml:"for"`
		Kind   FaultKind     `yaml:"kind"`
		Share  float64       `yaml:"share"`
		Factor float64       `yaml:"factor"`
	}

	// FaultKind is the kind of a fault.
	FaultKind string
)

// The kinds of faults.
const (
	// Burst multiplies the rate at which jobs arrive.
	Burst FaultKind = "burst"
	// HostsGone crashes hosts, which return empty.
	HostsGone FaultKind = "hosts-gone"
	// HostsSilent makes hosts unreachable while their runs go on.
	HostsSilent FaultKind = "hosts-silent"
	// HostsSlow makes hosts work slower by the factor.
	HostsSlow FaultKind = "hosts-slow"
)

// ParseLoad reads a load from YAML and checks it. The error has a line for each invalid field.
func ParseLoad(data []byte) (Load, error) {
	var load Load
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	if err := decoder.Decode(&load); err != nil {
		return load, pimcode.New(pimcode.SettingInvalid, "load: %v", err)
	}
	if faults := load.check(); len(faults) > 0 {
		return load, pimcode.New(pimcode.SettingInvalid, "load %q: %d bad fields\n%s", load.Name, len(faults), strings.Join(faults, "\n"))
	}
	return load, nil
}

// check returns a line for each invalid field.
func (l *Load) check() []string {
	var faults []string
	require := func(ok bool, field string, value any, rule string) {
		if !ok {
			faults = append(faults, fmt.Sprintf("%s %v: %s", field, value, rule))
		}
	}
	require(l.Name != "", "name", `""`, "must be given")
	require(l.Hosts.Count > 0 && l.Hosts.Count <= 5000, "hosts.count", l.Hosts.Count, "must be from 1 to 5000")
	require(l.Hosts.Millicores > 0, "hosts.millicores", l.Hosts.Millicores, "must be above 0")
	require(l.Hosts.PerRack > 0, "hosts.per-rack", l.Hosts.PerRack, "must be above 0")
	require(l.Hosts.Domains > 0, "hosts.domains", l.Hosts.Domains, "must be above 0")
	require(l.Duration > 0 && l.Duration <= time.Hour, "duration", l.Duration, "must be above 0 and at most an hour")
	require(len(l.Kinds) > 0, "kinds", "[]", "must have an element")
	for i := range l.Kinds {
		k, field := &l.Kinds[i], fmt.Sprintf("kinds[%d].", i)
		require(k.Name != "", field+"name", `""`, "must be given")
		require(k.Tasks >= 1, field+"tasks", k.Tasks, "must be at least 1")
		require(k.Cores > 0, field+"cores", k.Cores, "must be above 0")
		require(k.Steps >= 1, field+"steps", k.Steps, "must be at least 1")
		require(k.Serving || k.Duration > 0, field+"duration", k.Duration, "must be above 0 unless serving")
		require(!k.Serving || !k.BestEffort, field+"best-effort", k.BestEffort, "a serving kind can't be best-effort")
		require(k.EstimateError >= 0 && k.EstimateError < 1, field+"estimate-error", k.EstimateError, "must be at least 0 and below 1")
	}
	for i, f := range l.Faults {
		field := fmt.Sprintf("faults[%d].", i)
		switch f.Kind {
		case Burst, HostsSlow:
			require(f.Factor > 0, field+"factor", f.Factor, "must be above 0")
		case HostsGone, HostsSilent:
		default:
			require(false, field+"kind", f.Kind, "must be burst, hosts-gone, hosts-silent or hosts-slow")
		}
		require(f.Kind == Burst || (f.Share > 0 && f.Share <= 1), field+"share", f.Share, "must be above 0 and at most 1")
	}
	return faults
}
