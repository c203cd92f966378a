// Package pimmetric collects the metrics of a daemon with tally and writes them in the Prometheus text format.
package pimmetric

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

type (
	// Metrics holds the metrics of one daemon.
	Metrics struct {
		scope tally.TestScope
		mutex sync.Mutex
	}

	// sample is one line of the text format.
	sample struct {
		name  string
		tags  map[string]string
		value float64
	}
)

const prefix = "pimentoswitch"

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics {
	return &Metrics{scope: tally.NewTestScope(prefix, nil)}
}

// CountOutcome counts an answered request.
func (m *Metrics) CountOutcome(outcome, code string) {
	m.scope.Tagged(map[string]string{"outcome": outcome, "code": code}).Counter("requests").Inc(1)
}

// CountShed counts a task that a full pool rejected.
func (m *Metrics) CountShed(pool string) {
	m.scope.Tagged(map[string]string{"pool": pool}).Counter("shed").Inc(1)
}

// ObserveAttempt counts one attempt and adds its duration to the total, in microseconds.
func (m *Metrics) ObserveAttempt(took time.Duration) {
	m.scope.Counter("attempts").Inc(1)
	m.scope.Counter("attempt-micros").Inc(took.Microseconds())
}

// Add adds count to a counter.
func (m *Metrics) Add(name string, count int64) { m.scope.Counter(name).Inc(count) }

// AddForQueue adds count to a counter that is kept for each queue.
func (m *Metrics) AddForQueue(name, queue string, count int64) {
	m.scope.Tagged(map[string]string{"queue": queue}).Counter(name).Inc(count)
}

// AddForOrganisation adds count to a counter that is kept for each organisation.
func (m *Metrics) AddForOrganisation(name, organisation string, count int64) {
	m.scope.Tagged(map[string]string{"organisation": organisation}).Counter(name).Inc(count)
}

// SetForOrganisation sets a gauge that is kept for each organisation.
func (m *Metrics) SetForOrganisation(name, organisation string, value float64) {
	m.scope.Tagged(map[string]string{"organisation": organisation}).Gauge(name).Update(value)
}

// CountRunEnd counts the end of a run by its end kind.
func (m *Metrics) CountRunEnd(kind string) {
	m.scope.Tagged(map[string]string{"how": kind}).Counter("run-ends").Inc(1)
}

// CountStop counts a run that the planner stops, by its reason.
func (m *Metrics) CountStop(reason string) {
	m.scope.Tagged(map[string]string{"why": reason}).Counter("planner-stops").Inc(1)
}

// CountRefusedStop counts runs that the planner wanted to stop and may not, by the reason and by that of the refusal.
func (m *Metrics) CountRefusedStop(reason, refusal string, count int64) {
	m.scope.Tagged(map[string]string{"why": reason, "refusal": refusal}).Counter("planner-stops-refused").Inc(count)
}

// CountJudgedStops counts stops whose task has ended since, by whether they have paid off.
func (m *Metrics) CountJudgedStops(outcome string, count int64) {
	if count > 0 {
		m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("planner-stops-judged").Inc(count)
	}
}

// SetGauge sets a gauge.
func (m *Metrics) SetGauge(name string, value float64) { m.scope.Gauge(name).Update(value) }

// SetGauges sets gauges by their names.
func (m *Metrics) SetGauges(values map[string]float64) {
	for name, value := range values {
		m.SetGauge(name, value)
	}
}

// WriteText writes all counters and gauges, sorted by name and labels.
func (m *Metrics) WriteText(writer io.Writer) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, s := range m.samples() {
		if _, err := fmt.Fprintf(writer, "%s%s %g\n", prometheusName(s.name), prometheusLabels(s.tags), s.value); err != nil {
			return err
		}
	}
	return nil
}

func (m *Metrics) samples() []sample {
	var samples []sample
	snapshot := m.scope.Snapshot()
	for _, counter := range snapshot.Counters() {
		samples = append(samples, sample{counter.Name() + "_total", counter.Tags(), float64(counter.Value())})
	}
	for _, gauge := range snapshot.Gauges() {
		samples = append(samples, sample{gauge.Name(), gauge.Tags(), gauge.Value()})
	}
	slices.SortFunc(samples, func(a, b sample) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(prometheusLabels(a.tags), prometheusLabels(b.tags)))
	})
	return samples
}

func prometheusName(name string) string {
	return strings.NewReplacer("-", "_", "+", "_", ".", "_").Replace(name)
}

func prometheusLabels(tags map[string]string) string {
	if len(tags) == 0 {
		return ""
	}
	var parts []string
	for _, key := range slices.Sorted(maps.Keys(tags)) {
		parts = append(parts, fmt.Sprintf("%s=%q", prometheusName(key), tags[key]))
	}
	return "{" + strings.Join(parts, ",") + "}"
}
