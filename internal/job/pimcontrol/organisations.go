package pimcontrol

import (
	"cmp"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimmetric"
	"github.com/pimentoswitch/pimentoswitch/internal/base/pimorganisation"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// organisationReport shows in metrics and logs what each organisation uses and how many of its jobs wait. The first
	// maxReported organisations that a daemon reports have metrics of their own; all others are otherOrganisations.
	organisationReport struct {
		metrics *pimmetric.Metrics
		logger  *log.Logger
		nextAt  time.Duration
		// names are the organisations with metrics of their own, also once the configuration no longer holds them:
		// their runs and metrics remain.
		names map[string]bool
		// shown holds, by name, the figures last logged.
		shown map[string]shownFigures
	}

	// organisationFigures are the reported figures of an organisation. Share is the largest part of a resource of all
	// usable workers that its runs request.
	organisationFigures struct {
		share       float64
		used, quota pimorganisation.Resources
		waiting     pimjob.Waiting
	}

	shownFigures struct {
		figures organisationFigures
		at      time.Duration
	}
)

const (
	// maxReported bounds the metric series and log lines. Source: docs/HARD-LOAD.md.
	maxReported        = 64
	otherOrganisations = "other"
	// reportInterval is the minimum time between updates of the metrics.
	reportInterval = 2 * time.Second
	// figuresLogInterval is the minimum time between two log lines on one organisation. All organisations together
	// write at most 65 lines in this time.
	figuresLogInterval = 10 * time.Second
)

func newOrganisationReport(metrics *pimmetric.Metrics, logger *log.Logger) *organisationReport {
	return &organisationReport{metrics: metrics, logger: logger, names: map[string]bool{}, shown: map[string]shownFigures{}}
}

// label returns the name under which an organisation is reported.
func (r *organisationReport) label(name string) string {
	if r.names[name] {
		return name
	}
	return otherOrganisations
}

// update reports the figures if they are due. isUsable tells which workers count as capacity.
func (r *organisationReport) update(state *pimjob.State, isUsable func(worker string) bool, now time.Duration) {
	organisations := state.Config().Organisations
	if now < r.nextAt || (len(organisations) == 0 && len(r.names) == 0) {
		return
	}
	r.nextAt = now + reportInterval
	r.addNames(organisations)
	capacity := pimorganisation.Resources{}
	for _, worker := range state.Workers() {
		if isUsable(worker.ID) {
			capacity = capacity.Add(worker.Capacity.Amounts())
		}
	}
	for name, figures := range r.collect(state, organisations) {
		figures.share = dominantShare(figures.used, capacity)
		r.setMetrics(name, figures)
		r.logFigures(name, figures, state.Config().Version, now)
	}
}

// addNames gives metrics of their own to organisations while there are fewer than maxReported, those of the highest
// weight first.
func (r *organisationReport) addNames(organisations []pimorganisation.Organisation) {
	if len(r.names) >= maxReported {
		return
	}
	sorted := slices.SortedFunc(slices.Values(organisations), func(a, b pimorganisation.Organisation) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Name, b.Name))
	})
	for _, organisation := range sorted {
		if len(r.names) < maxReported && organisation.Name != otherOrganisations {
			r.names[organisation.Name] = true
		}
	}
}

// collect returns the figures by label. The quota of otherOrganisations is not reported.
func (r *organisationReport) collect(
	state *pimjob.State, organisations []pimorganisation.Organisation,
) map[string]organisationFigures {
	collected := map[string]organisationFigures{otherOrganisations: {}}
	for name := range r.names {
		collected[name] = organisationFigures{}
	}
	for i := range organisations {
		if name := organisations[i].Name; r.names[name] {
			collected[name] = organisationFigures{quota: organisations[i].Quota}
		}
	}
	for name, used := range state.Usages() {
		figures := collected[r.label(name)]
		figures.used = figures.used.Add(used)
		collected[r.label(name)] = figures
	}
	for name, waiting := range state.WaitingJobs() {
		figures := collected[r.label(name)]
		figures.waiting.Jobs += waiting.Jobs
		figures.waiting.ForQuota += waiting.ForQuota
		collected[r.label(name)] = figures
	}
	return collected
}

// dominantShare returns the largest part of the capacity that is used of any resource.
func dominantShare(used, capacity pimorganisation.Resources) float64 {
	share := func(used, total int64) float64 { return float64(used) / float64(max(1, total)) }
	return max(share(used.CPUMillis, capacity.CPUMillis), share(used.MemoryMB, capacity.MemoryMB),
		share(used.Accelerators, capacity.Accelerators))
}

func (r *organisationReport) setMetrics(name string, figures organisationFigures) {
	for _, gauge := range []struct {
		name  string
		value float64
	}{
		{"organisation-share", figures.share},
		{"organisation-cpu-millis", float64(figures.used.CPUMillis)},
		{"organisation-memory-mb", float64(figures.used.MemoryMB)},
		{"organisation-accelerators", float64(figures.used.Accelerators)},
		{"organisation-quota-cpu-millis", float64(figures.quota.CPUMillis)},
		{"organisation-quota-memory-mb", float64(figures.quota.MemoryMB)},
		{"organisation-quota-accelerators", float64(figures.quota.Accelerators)},
		{"organisation-jobs-waiting", float64(figures.waiting.Jobs)},
		{"organisation-jobs-waiting-for-quota", float64(figures.waiting.ForQuota)},
	} {
		r.metrics.SetForOrganisation(gauge.name, name, gauge.value)
	}
}

// logFigures logs the figures of an organisation that have changed since they were last logged.
func (r *organisationReport) logFigures(name string, figures organisationFigures, version int64, now time.Duration) {
	last, logged := r.shown[name]
	if figures == last.figures || (logged && now-last.at < figuresLogInterval) {
		return
	}
	r.shown[name] = shownFigures{figures, now}
	r.logger.Info().Str("organisation", name).Float64("share", figures.share).
		Int64("cpu-millis", figures.used.CPUMillis).Int64("quota-cpu-millis", figures.quota.CPUMillis).
		Int64("memory-mb", figures.used.MemoryMB).Int64("quota-memory-mb", figures.quota.MemoryMB).
		Int64("accelerators", figures.used.Accelerators).Int64("quota-accelerators", figures.quota.Accelerators).
		Int("waiting", figures.waiting.Jobs).Int("waiting-for-quota", figures.waiting.ForQuota).
		Int64("version", version).Msg("usage of an organisation")
}

// countRejected counts a job of an organisation that was rejected.
func (r *organisationReport) countRejected(organisation string) {
	if organisation != "" {
		r.metrics.AddForOrganisation("organisation-jobs-rejected", r.label(organisation), 1)
	}
}

// stop sets the gauges to 0 when another daemon leads, which then reports the figures.
func (r *organisationReport) stop() {
	if len(r.names) == 0 {
		return
	}
	r.setMetrics(otherOrganisations, organisationFigures{})
	for name := range r.names {
		r.setMetrics(name, organisationFigures{})
	}
	clear(r.shown)
	r.nextAt = 0
}
