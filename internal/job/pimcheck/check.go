package pimcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/base/pimorganisation"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

const (
	millicores = 1000
	// maxMemoryPerCore and minMemoryPerCore, in MB, bound the memory for each core that a quota can plausibly mean.
	// Hosts have a few GB for each core. Quotas outside these bounds are off by the factor of a confused unit, such as
	// cores given as thousandths or GB given as MB.
	maxMemoryPerCore = 64 << 10
	minMemoryPerCore = 32
	// minQuotaMillis is a tenth of a core: a smaller quota is less than a usual task needs.
	minQuotaMillis = 100
)

// Check returns warnings for entries without effect and for limits that contradict each other.
//
// An objective above the time-out of a call is no contradiction: the time-out bounds a call, the objective bounds a job,
// and a job goes on after the call that submitted it.
func Check(config *pimjob.Config) []Finding {
	findings := checkQueues(config)
	findings = append(findings, checkServices(config)...)
	return append(findings, checkOrganisations(config)...)
}

func checkQueues(config *pimjob.Config) []Finding {
	var findings []Finding
	hasKey := slices.ContainsFunc(config.Organisations, func(o pimorganisation.Organisation) bool {
		return len(o.Keys) > 0
	})
	names := map[string]bool{}
	for i := range config.Queues {
		queue := &config.Queues[i]
		add := func(code pimcode.Code, format string, args ...any) {
			findings = append(findings, warn(Entry{Queue, queue.Name, i}, code, fmt.Sprintf(format, args...)))
		}
		switch {
		case queue.Name == "":
			add(pimcode.EntryAmbiguous, "the queue has no name: logs and metrics can't tell it from others")
		case names[queue.Name]:
			add(pimcode.EntryAmbiguous, "another queue has the same name: logs and metrics can't tell them apart")
		}
		names[queue.Name] = true
		for _, text := range checkAddress(queue) {
			add(pimcode.QueueUnreachable, "%s%s", text, takenCalls(config, queue))
		}
		if queue.RequiresKey && !hasKey {
			add(pimcode.QueueUnreachable, "the queue requires a key, but no organisation has one: every call gets 401")
		}
		if queue.Attempts < 1 {
			add(pimcode.LimitContradictory, "attempts %d is below 1: it counts as 1", queue.Attempts)
		}
		// A stretch of 0 stands for one that is left out.
		if queue.Stretch != 0 && queue.Stretch < 1 {
			add(pimcode.LimitContradictory, "stretch %v is below 1: it counts as 1, since no job ends before its estimates", queue.Stretch)
		}
		switch {
		case queue.Objective < 0:
			add(pimcode.LimitContradictory, "objective %s is below 0: jobs count as late before they can end", millis(queue.Objective))
		case queue.Objective == 0 && queue.Stretch <= 1:
			add(pimcode.LimitContradictory, "the objective is 0 and the stretch leaves no margin: a job is late if it waits at all")
		}
	}
	return findings
}

// checkAddress returns why no job can be submitted at the address of a queue. The id of a job is the part of the path
// after the last slash and must be all that follows the prefix.
func checkAddress(queue *pimjob.Queue) []string {
	var faults []string
	if queue.Host == "" {
		faults = append(faults, "the host is empty: no call has this host")
	}
	switch {
	case !strings.HasPrefix(queue.Prefix, "/"):
		faults = append(faults, fmt.Sprintf("the prefix %q does not begin with a slash, as every path does: no job is accepted", queue.Prefix))
	case !strings.HasSuffix(queue.Prefix, "/"):
		faults = append(faults, fmt.Sprintf("the prefix %q does not end with a slash, so it ends in the middle of an id: no job is accepted",
			queue.Prefix))
	}
	return faults
}

// takenCalls tells which queues lose calls to a queue that accepts no job, since the longest prefix wins.
func takenCalls(config *pimjob.Config, queue *pimjob.Queue) string {
	text := ""
	if queue.Host == "" || !strings.HasPrefix(queue.Prefix, "/") {
		return text
	}
	for i := range config.Queues {
		other := &config.Queues[i]
		if other.Host == queue.Host && len(other.Prefix) < len(queue.Prefix) && strings.HasPrefix(queue.Prefix, other.Prefix) {
			text += fmt.Sprintf(", and %s loses the calls whose path begins so", other.Name)
		}
	}
	return text
}

func checkServices(config *pimjob.Config) []Finding {
	var findings []Finding
	for _, name := range slices.Sorted(maps.Keys(config.Services)) {
		if !slices.ContainsFunc(config.Queues, func(queue pimjob.Queue) bool { return queue.Service == name }) {
			findings = append(findings, warn(Entry{Service, name, -1}, pimcode.ServiceUnused,
				"no queue names the service: its workers get no jobs"))
		}
	}
	return findings
}

func checkOrganisations(config *pimjob.Config) []Finding {
	var findings []Finding
	totalWeight := 0
	for _, o := range config.Organisations {
		totalWeight += o.Weight
	}
	requiresKey := slices.ContainsFunc(config.Queues, func(queue pimjob.Queue) bool { return queue.RequiresKey })
	if len(config.Organisations) > 0 {
		if totalWeight == 0 {
			findings = append(findings, warn(Entry{Whole, "", -1}, pimcode.WeightZero,
				"the weights of all organisations are 0: every job exceeds the rate of its organisation, so none has a service guarantee"))
		}
		if !requiresKey {
			findings = append(findings, warn(Entry{Whole, "", -1}, pimcode.OrganisationUnused,
				"no queue requires a key: no job belongs to an organisation, so keys, weights and quotas have no effect"))
		}
	}
	for i := range config.Organisations {
		o := &config.Organisations[i]
		entry := Entry{Organisation, o.Name, i}
		if len(o.Keys) == 0 {
			findings = append(findings, warn(entry, pimcode.OrganisationUnused,
				"the organisation has no key: it can't submit jobs to a queue that requires one"))
		}
		if o.Weight == 0 && totalWeight > 0 {
			findings = append(findings, warn(entry, pimcode.WeightZero,
				"weight 0 beside organisations with a weight: its jobs exceed its rate and come last while capacity is short"))
		}
		if text := quotaFault(o.Quota); text != "" {
			findings = append(findings, warn(entry, pimcode.QuotaUnusable, text))
		}
	}
	return findings
}

// quotaFault returns why a quota can't be used, or "".
func quotaFault(quota pimorganisation.Resources) string {
	if quota.CPUMillis > 0 && quota.CPUMillis < minQuotaMillis {
		return fmt.Sprintf("the quota of %d thousandths of a core is less than a usual task needs: tasks run one at a time",
			quota.CPUMillis)
	}
	if quota.CPUMillis == 0 || quota.MemoryMB == 0 {
		return ""
	}
	// A division would round small quotas to 0, a product could overflow.
	perCore := float64(quota.MemoryMB) * millicores / float64(quota.CPUMillis)
	switch {
	case perCore > maxMemoryPerCore:
		return fmt.Sprintf("the quota has %d MB of memory but only %d thousandths of a core: the memory can't be used",
			quota.MemoryMB, quota.CPUMillis)
	case perCore < minMemoryPerCore:
		return fmt.Sprintf("the quota has %d thousandths of a core but only %d MB of memory: the processor time can't be used",
			quota.CPUMillis, quota.MemoryMB)
	}
	return ""
}
