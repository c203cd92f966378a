// Package pimdemo runs a whole cluster in one process on loopback: entry daemons with real sockets and data
// folders, stand-ins for endpoints and workers, and callers. It injects faults and checks the guarantees of the
// system against what the stand-ins executed.
package pimdemo

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/phuslu/log"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/entry/pimdaemon"
	"github.com/pimentoswitch/pimentoswitch/internal/measure/pimload"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
	"github.com/pimentoswitch/pimentoswitch/internal/standin/pimwitness"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimmanifest"
)

type (
	// Settings of a demo. Callers send Rate requests per second for Duration. Progress receives the progress
	// lines, Logger the log of the daemons.
	Settings struct {
		Duration time.Duration
		Seed     uint64
		Rate     float64
		Progress io.Writer
		Logger   *log.Logger
	}

	// Summary is the result of a demo. StartsAfterMark counts the tasks that started in the failure domain later
	// than markEffectLimit after it was marked out. Violations describes each violated guarantee.
	Summary struct {
		Seed                     uint64            `json:"seed"`
		Load                     pimload.Summary   `json:"requests"`
		Verdict                  pimload.Verdict   `json:"verdict"`
		Standins                 pimwitness.Counts `json:"stand-ins"`
		BatchTasks               int               `json:"batch-tasks"`
		BatchFinished            int               `json:"batch-tasks-finished"`
		StartsAfterMark          int               `json:"starts-after-mark"`
		SecondsUntilMarkInEffect float64           `json:"seconds-until-mark-in-force"`
		CutOff                   int               `json:"requests-cut-off"`
		Violations               []string          `json:"broken-promises"`
	}
)

// Timing and size of a demo. The shares are fractions of Settings.Duration, counted from the start of the load.
// markEffectLimit is the time after which no task may start in a failure domain that was marked out.
const (
	markOutShare    = 0.35
	markInShare     = 0.60
	stopDaemonShare = 0.70
	startupTimeout  = 20 * time.Second
	batchTimeout    = 30 * time.Second
	markEffectLimit = 5 * time.Second
	pollInterval    = 50 * time.Millisecond
	maxCallers      = 256
	requestDeadline = 4 * time.Second
)

//go:embed manifest.yaml
var manifest []byte

// DefaultClusterConfig returns the cluster of the demo: three failure domains with two entry daemons each.
func DefaultClusterConfig(seed uint64) ClusterConfig {
	return ClusterConfig{
		Domains:             []string{"north", "south", "west"},
		DaemonsPerDomain:    2,
		EndpointsPerService: 2,
		WorkersPerDomain:    4,
		Services:            []string{"callout", "history"},
		Slots:               8,
		MeanServiceTime:     15 * time.Millisecond,
		WorkerCapacity:      pimmanifest.Resources{CPUMillis: 16_000, MemoryMB: 32_768},
		RacksPerDomain:      2,
		DrainDelay:          time.Second,
		StandinSeed:         seed,
	}
}

// Run runs a demo in a temporary folder and returns its summary. A violated guarantee is no error; it is listed
// in the summary.
func Run(ctx context.Context, settings Settings) (Summary, error) {
	folder, err := os.MkdirTemp("", "pimentoswitch-demo-")
	if err != nil {
		return Summary{}, err
	}
	defer os.RemoveAll(folder)
	cluster, err := NewCluster(DefaultClusterConfig(settings.Seed), folder, settings.Logger)
	if err != nil {
		return Summary{}, err
	}
	defer cluster.Stop()
	printProgress(settings, "starting 6 entry daemons in 3 failure domains, 12 endpoints, 12 workers")
	if err := cluster.Start(); err != nil {
		return Summary{}, err
	}
	if err := cluster.WaitReady(ctx, startupTimeout); err != nil {
		return Summary{}, err
	}
	return cluster.runScenario(ctx, settings)
}

func printProgress(settings Settings, format string, args ...any) {
	fmt.Fprintf(settings.Progress, format+"\n", args...)
}

// WaitReady waits until every daemon is ready and has a configuration lease.
func (c *Cluster) WaitReady(ctx context.Context, limit time.Duration) error {
	end := time.Now().Add(limit)
	for time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(pollInterval)
		if c.allDaemonsReady(ctx) {
			return nil
		}
	}
	return pimcode.New(pimcode.ProgramFailed, "the entry daemons are not all ready after %s", limit)
}

func (c *Cluster) allDaemonsReady(ctx context.Context) bool {
	if !c.balancer.AllReady() {
		return false
	}
	for range c.addresses {
		var status pimdaemon.StatusBody
		if c.balancer.Do(ctx, http.MethodGet, "/v1/status", nil, &status) != nil || !status.Ready || !status.ConfigLease {
			return false
		}
	}
	return true
}

// runScenario commits the manifest, runs the load with faults injected, waits for the batch tasks and
// summarizes.
func (c *Cluster) runScenario(ctx context.Context, settings Settings) (Summary, error) {
	var change pimdaemon.ChangeResponse
	if err := c.balancer.Put(ctx, "/v1/manifest", manifest, &change); err != nil {
		return Summary{}, err
	}
	elapsed, err := c.waitInEffect(ctx, change.Version)
	if err != nil {
		return Summary{}, err
	}
	printProgress(settings, "manifest %d committed, in force everywhere after %.2f s", change.Number, elapsed.Seconds())
	time.Sleep(2 * time.Second)
	generator := pimload.NewGenerator(pimload.Settings{
		Kinds: []pimload.Kind{
			{Service: "callout", Team: "dispatch", Priority: 9, Deadline: requestDeadline, Weight: 1},
			{Service: "history", Team: "dispatch", Priority: 5, Idempotent: true, Deadline: requestDeadline, Weight: 1},
		},
		HomeDomains: c.config.Domains,
		Rate:        settings.Rate,
		Duration:    settings.Duration,
		Seed:        settings.Seed,
		Callers:     maxCallers,
	}, c.balancer)
	summary := Summary{Seed: settings.Seed}
	generatorDone := generator.Start(ctx)
	if err := c.injectFaults(ctx, settings, &summary); err != nil {
		return summary, err
	}
	<-generatorDone
	printProgress(settings, "callers are done")
	c.waitBatch(ctx, &summary)
	return c.summarize(generator, summary), nil
}

// injectFaults marks a failure domain out and in again, then stops a daemon gracefully. It runs while the load
// does.
func (c *Cluster) injectFaults(ctx context.Context, settings Settings, summary *Summary) error {
	started := time.Now()
	at := func(share float64) time.Time {
		return started.Add(time.Duration(share * float64(settings.Duration)))
	}
	time.Sleep(time.Until(at(markOutShare)))
	domain := c.config.Domains[2]
	elapsed, err := c.markDomain(ctx, domain, "out")
	if err != nil {
		return err
	}
	inEffectAt := time.Now()
	summary.SecondsUntilMarkInEffect = elapsed.Seconds()
	printProgress(settings, "failure domain %s is out, in force after %.2f s", domain, elapsed.Seconds())
	time.Sleep(time.Until(at(markInShare)))
	summary.StartsAfterMark = c.witness.StartsIn(domain, inEffectAt.Add(markEffectLimit-elapsed), time.Now())
	if _, err := c.markDomain(ctx, domain, "in"); err != nil {
		return err
	}
	printProgress(settings, "failure domain %s is in again", domain)
	time.Sleep(time.Until(at(stopDaemonShare)))
	name := c.initialMembers[0].Name
	printProgress(settings, "stopping daemon %s gracefully", name)
	if err := c.StopDaemon(name); err != nil {
		return err
	}
	printProgress(settings, "daemon %s has stopped", name)
	return nil
}

// markDomain marks a failure domain "out" or "in" and returns how long it took until the mark was in effect on
// every daemon.
func (c *Cluster) markDomain(ctx context.Context, domain, state string) (time.Duration, error) {
	var change pimdaemon.ChangeResponse
	body := []byte(`{"state":"` + state + `"}`)
	if err := c.balancer.Put(ctx, "/v1/failure-domains/"+domain, body, &change); err != nil {
		return 0, err
	}
	return c.waitInEffect(ctx, change.Version)
}

// waitInEffect waits until a configuration version is in effect on every daemon and returns how long that took.
func (c *Cluster) waitInEffect(ctx context.Context, version uint64) (time.Duration, error) {
	started := time.Now()
	path := fmt.Sprintf("/v1/force?version=%d", version)
	for time.Since(started) < startupTimeout {
		var status pimmessage.VersionStatus
		if err := c.balancer.Do(ctx, http.MethodGet, path, nil, &status); err == nil && status.InForce {
			return time.Since(started), nil
		}
		time.Sleep(pollInterval)
	}
	return 0, pimcode.New(pimcode.CallTimeout,
		"version %d is not in effect on every daemon after %s", version, startupTimeout)
}

// waitBatch waits until all batch tasks have finished, for at most batchTimeout, and records their numbers.
func (c *Cluster) waitBatch(ctx context.Context, summary *Summary) {
	end := time.Now().Add(batchTimeout)
	for time.Now().Before(end) {
		var status pimdaemon.StatusBody
		if c.balancer.Do(ctx, http.MethodGet, "/v1/status", nil, &status) == nil {
			summary.BatchTasks, summary.BatchFinished = 0, 0
			for _, job := range status.BatchJobs {
				summary.BatchTasks += job.Tasks
				summary.BatchFinished += job.Finished
			}
			if summary.BatchTasks > 0 && summary.BatchFinished == summary.BatchTasks {
				return
			}
		}
		time.Sleep(pollInterval)
	}
}

// summarize completes the summary and lists the violated guarantees in it.
func (c *Cluster) summarize(generator *pimload.Generator, summary Summary) Summary {
	summary.Load = generator.Summary()
	summary.Verdict = pimload.CheckOutcomes(generator.Records(), c.witness.ExecutionCount)
	summary.Standins = c.witness.Counts()
	summary.CutOff = summary.Load.CutOff
	checks := []struct {
		violation string
		found     bool
	}{
		{"a non-idempotent request ran more than once", summary.Verdict.Doubled+summary.Standins.DuplicateExecutions > 0},
		{"a request was answered as ran and did not run", summary.Verdict.Lost > 0},
		{"a request was answered as not-run and ran", summary.Verdict.FalseNotRun > 0},
		{"a task ran in two places", summary.Standins.OverlappingStarts > 0},
		{"a task finished twice", summary.Standins.FinishedTwice > 0},
		{"an endpoint was sent more than its slots", summary.Standins.SlotsExceeded > 0},
		{"a task started after the mark", summary.StartsAfterMark > 0},
		{"a planned stop cut off a request", summary.CutOff > 0},
		{"batch tasks did not finish", summary.BatchFinished < summary.BatchTasks || summary.BatchTasks == 0},
	}
	for _, check := range checks {
		if check.found {
			summary.Violations = append(summary.Violations, check.violation)
		}
	}
	return summary
}

// WriteTable writes the summary as a table of text.
func (s Summary) WriteTable(writer io.Writer) {
	row := func(name string, value any) { fmt.Fprintf(writer, "%-34s %v\n", name, value) }
	row("requests", s.Load.Requests)
	for _, outcome := range []string{"ran", "not-run", "unknown"} {
		row("  "+outcome, s.Load.Outcomes[outcome])
	}
	var codes []string
	for code, count := range s.Load.Codes {
		codes = append(codes, fmt.Sprintf("%s %d", code, count))
	}
	slices.Sort(codes)
	row("  by code", strings.Join(codes, ", "))
	row("p50 of requests that ran", fmt.Sprintf("%.1f ms", s.Load.P50Millis))
	row("p99 of requests that ran", fmt.Sprintf("%.1f ms", s.Load.P99Millis))
	row("batch tasks finished", fmt.Sprintf("%d of %d", s.BatchFinished, s.BatchTasks))
	row("evictions", s.Standins.Evictions)
	row("task starts", s.Standins.Starts)
	row("mark in force after", fmt.Sprintf("%.2f s", s.SecondsUntilMarkInEffect))
	row("starts after the mark", s.StartsAfterMark)
	row("doubled executions", s.Verdict.Doubled)
	row("lost requests", s.Verdict.Lost)
	row("requests cut off", s.CutOff)
	if len(s.Violations) == 0 {
		row("promises broken", "none")
	}
	for _, violation := range s.Violations {
		row("promise broken", violation)
	}
}
