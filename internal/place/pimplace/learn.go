package pimplace

import (
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimdomain"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimmanifest"
)

type (
	// jobPair names two jobs that share a worker; the first is the one that is slowed down.
	jobPair struct{ slowed, other string }

	// pairStats is the learned slowdown of a pair, as a share of the time alone.
	pairStats struct {
		slowdown float64
		samples  int
	}

	// jobStats is what was learned of a job.
	jobStats struct {
		peakUsage     pimmanifest.Resources
		samples       int
		failures      int
		failedWorkers map[string]bool
		succeeded     bool
		backoffUntil  time.Duration
	}
)

const (
	minSampleWeight  = 0.1
	minSamples       = 3
	peakMemoryFactor = 1.1
	failureThreshold = 3
	quarantineTime   = 30 * time.Second
	minBackoff       = 2 * time.Second
	maxBackoff       = 5 * time.Minute
)

func (p *Placer) statsOf(name string) *jobStats {
	row := p.jobs[name]
	if row == nil {
		row = &jobStats{failedWorkers: map[string]bool{}}
		p.jobs[name] = row
	}
	return row
}

// recordUsage takes in sizes and slowdowns. A report lists what ran together when its
// usage was taken, so its slowdown is attributed to those tasks only.
func (p *Placer) recordUsage(report Report) {
	for _, task := range report.Tasks {
		if task.State != TaskRunning {
			continue
		}
		row := p.statsOf(task.Task.Job)
		row.samples++
		row.peakUsage.CPUMillis = max(row.peakUsage.CPUMillis, task.CPUMillis)
		row.peakUsage.MemoryMB = max(row.peakUsage.MemoryMB, task.MemoryMB)
		p.recordSlowdowns(report, task)
	}
}

func (p *Placer) recordSlowdowns(report Report, task TaskReport) {
	others := map[string]bool{}
	for _, other := range report.Tasks {
		if other.State == TaskRunning && other.Task != task.Task {
			others[other.Task.Job] = true
		}
	}
	for job := range others {
		key := jobPair{slowed: task.Task.Job, other: job}
		row := p.pairs[key]
		if row == nil {
			row = &pairStats{}
			p.pairs[key] = row
		}
		row.samples++
		sample := float64(task.SlowdownPercent) / 100 / float64(len(others))
		row.slowdown += (sample - row.slowdown) * max(minSampleWeight, 1/float64(row.samples))
	}
}

// pairSlowdown is how much two jobs slow each other down, as far as known.
func (p *Placer) pairSlowdown(a, b string) float64 {
	total := 0.0
	for _, key := range []jobPair{{a, b}, {b, a}} {
		if row := p.pairs[key]; row != nil && row.samples >= minSamples {
			total += row.slowdown
		}
	}
	return total
}

// estimate is the size to reserve: the declared one, or the observed peak if larger.
func (p *Placer) estimate(job string, declared pimmanifest.Resources) pimmanifest.Resources {
	row := p.jobs[job]
	if row == nil || row.samples < minSamples || p.policy == PolicyFirstFit {
		return declared
	}
	return pimmanifest.Resources{
		CPUMillis:    max(declared.CPUMillis, row.peakUsage.CPUMillis),
		MemoryMB:     max(declared.MemoryMB, int64(float64(row.peakUsage.MemoryMB)*peakMemoryFactor)),
		Accelerators: declared.Accelerators,
	}
}

// countEnd counts the end of an incarnation for its worker and its job.
func (p *Placer) countEnd(worker *Worker, id pimconfig.TaskID, outcome pimdomain.Outcome) {
	job := p.statsOf(id.Job)
	switch outcome {
	case pimdomain.OutcomeFinished:
		worker.Failures = 0
		worker.Succeeded = true
		clear(worker.FailedJobs)
		job.succeeded = true
		job.failures = 0
		clear(job.failedWorkers)
	case pimdomain.OutcomeFailed:
		worker.Failures++
		worker.FailedJobs[id.Job] = true
		job.failures++
		job.failedWorkers[worker.ID] = true
	}
}

// isFaulty reports whether a worker fails what it is given: several failures in a row,
// of several jobs or of one that ran elsewhere. A job that runs nowhere makes no worker bad.
func (p *Placer) isFaulty(worker *Worker) bool {
	if worker.Failures < failureThreshold {
		return false
	}
	if len(worker.FailedJobs) > 1 {
		return true
	}
	for job := range worker.FailedJobs {
		if p.statsOf(job).succeeded {
			return true
		}
	}
	return false
}

// updateQuarantine sets bad workers aside, tries them again later, and holds back
// jobs that fail on several workers.
func (p *Placer) updateQuarantine(now time.Duration, view View) {
	for _, worker := range p.Workers() {
		quarantined := view.State.Quarantined[worker.ID]
		switch {
		case !quarantined && p.isFaulty(worker):
			worker.QuarantinedUntil = now + quarantineTime
			p.setQuarantine(worker, true, "quarantine: fails what it is given")
		case quarantined && now >= max(worker.QuarantinedUntil, p.leaderSince+quarantineTime):
			worker.Failures = failureThreshold - 1
			clear(worker.FailedJobs)
			p.setQuarantine(worker, false, "quarantine is over: one more try")
		}
	}
	for _, job := range p.jobs {
		if len(job.failedWorkers) >= failureThreshold-1 && !job.succeeded && now >= job.backoffUntil {
			wait := minBackoff << min(job.failures, 10)
			job.backoffUntil = now + min(wait, maxBackoff)
			clear(job.failedWorkers)
		}
	}
}

func (p *Placer) setQuarantine(worker *Worker, quarantined bool, reason string) {
	p.proposals = append(p.proposals, pimdomain.QuarantineWorker{Worker: worker.ID, Quarantine: quarantined})
	p.decisions = append(p.decisions, Decision{Choice: worker.ID, Reason: reason})
}

func (p *Placer) inBackoff(now time.Duration, job string) bool {
	row := p.jobs[job]
	return row != nil && now < row.backoffUntil
}
