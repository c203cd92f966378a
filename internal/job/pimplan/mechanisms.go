package pimplan

import (
	"slices"
	"strings"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
)

type (
	// Mechanism is a part of the planner that can be switched off to measure what it is worth.
	Mechanism string

	// MechanismHelp describes a mechanism.
	MechanismHelp struct {
		Name Mechanism
		Help string
	}
)

// The mechanisms that can be switched off.
const (
	UrgencyOrder      Mechanism = "urgency-order"
	ImageGrouping     Mechanism = "image-grouping"
	CompatibleHosts   Mechanism = "compatible-hosts"
	HeadroomPlacement Mechanism = "headroom-placement"
	Throttling        Mechanism = "throttling"
	SlowRunMoves      Mechanism = "slow-run-moves"
	ProgressChecks    Mechanism = "progress-checks"
	HostHealth        Mechanism = "host-health"
	LearnedDurations  Mechanism = "learned-durations"
	DelayScheduling   Mechanism = "delay-scheduling"
	LeavingHostMoves  Mechanism = "leaving-host-moves"
)

// Mechanisms lists all mechanisms.
var Mechanisms = []MechanismHelp{
	{UrgencyOrder, "jobs that can still end in time come before those that can't"},
	{ImageGrouping, "serving tasks of one image share hosts"},
	{CompatibleHosts, "best-effort tasks leave hosts that few images can use to those images"},
	{HeadroomPlacement, "best-effort tasks start only beside serving tasks that can spare the headroom"},
	{Throttling, "best-effort tasks are slowed beside serving tasks near their target"},
	{SlowRunMoves, "best-effort runs that are slow move to other hosts"},
	{ProgressChecks, "runs that stall, or are on slow hosts, start elsewhere"},
	{HostHealth, "hosts that fail many runs are avoided and probed"},
	{LearnedDurations, "learned durations replace estimates that are wrong"},
	{DelayScheduling, "tasks wait for hosts near their data"},
	{LeavingHostMoves, "runs move off hosts that leave before they would end"},
}

// ParseMechanisms returns the mechanisms with the given names. It fails with SettingInvalid at the first unknown one.
func ParseMechanisms(names []string) ([]Mechanism, error) {
	var parsed []Mechanism
	for _, name := range names {
		known := slices.ContainsFunc(Mechanisms, func(m MechanismHelp) bool { return string(m.Name) == name })
		if !known {
			var all []string
			for _, m := range Mechanisms {
				all = append(all, string(m.Name))
			}
			return nil, pimcode.New(pimcode.SettingInvalid, "--without %q: no mechanism has this name, known are %s",
				name, strings.Join(all, ", "))
		}
		parsed = append(parsed, Mechanism(name))
	}
	return parsed, nil
}

// uses reports whether a mechanism is switched on.
func (p *Planner) uses(mechanism Mechanism) bool { return !p.without[mechanism] }
