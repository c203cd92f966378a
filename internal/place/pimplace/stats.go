package pimplace

import (
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimdomain"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimmanifest"
)

type (
	// jobPair is an ordered pair of jobs that run on one worker: slowed runs slower because of other.
	jobPair struct{ slowed, other string }

	// pairStats holds the moving average of the slowdown of a pair, as a fraction of the
	// run time without other tasks.
	pairStats struct {
		slowdown float64
		samples  int
	}

	// jobStats holds the observed resource usage and the failure history of a job.
	// failures counts failed incarnations since the last one that finished.
	jobStats struct {
		peakUsage     pimmanifest.Resources
		samples       int
		failures      int
		failedWorkers map[string]bool
		succeeded     bool
		backoffUntil  time.Duration
	}
)

// Parameters of the usage statistics, the quarantine of workers and the backoff of jobs.
const (
	// minSampleWeight is the weight of a new slowdown sample once there are 10 or more.
	minSampleWeight = 0.1
	// minSamples is the number of samples below which statistics are not used.
	minSamples = 3
	// peakMemoryFactor is applied to the observed peak of a job's memory before it is reserved.
	peakMemoryFactor = 1.1
	// failureThreshold is the number of failures in a row from which a worker can be faulty.
	// A job goes into backoff when it has failed on failureThreshold-1 workers.
	failureThreshold = 3
	quarantineTime   = 30 * time.Second
	// baseBackoff doubles with each failure of a job, up to maxBackoff.
	baseBackoff = 2 * time.Second
	maxBackoff  = 5 * time.Minute
)

// statsOf returns the statistics of a job and creates them if needed.
func (p *Placer) statsOf(name string) *jobStats {
	row := p.jobs[name]
	if row == nil {
		row = &jobStats{failedWorkers: map[string]bool{}}
		p.jobs[name] = row
	}
	return row
}

// recordUsage records the peak usage and the slowdown of each running task. A report
// lists the tasks that ran together when the usage was sampled, so each slowdown is
// attributed to those tasks only.
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

// recordSlowdowns divides a task's slowdown evenly between the jobs of the other running
// tasks in the report.
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

// pairSlowdown returns the sum of the slowdowns of two jobs by each other. A direction
// with fewer than minSamples samples counts as zero.
func (p *Placer) pairSlowdown(a, b string) float64 {
	total := 0.0
	for _, key := range []jobPair{{a, b}, {b, a}} {
		if row := p.pairs[key]; row != nil && row.samples >= minSamples {
			total += row.slowdown
		}
	}
	return total
}

// estimate returns the resources to reserve for a task: the declared ones, or the
// observed peak where that is larger.
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

// countEnd adds the end of an incarnation to the failure counts of its worker and job.
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

// isFaulty reports whether a worker had failureThreshold failures in a row, of several
// jobs or of one that has finished before. A job that has never finished on any worker
// does not make a worker faulty.
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

// updateQuarantine quarantines faulty workers and ends quarantines that have lasted
// quarantineTime, counted anew by a new leader. A worker that leaves quarantine can return
// to it after one more failure. Jobs that fail on several workers and have never finished
// go into backoff.
func (p *Placer) updateQuarantine(now time.Duration, view View) {
	for _, worker := range p.Workers() {
		quarantined := view.State.Quarantined[worker.ID]
		switch {
		case !quarantined && p.isFaulty(worker):
			worker.QuarantinedUntil = now + quarantineTime
			p.setQuarantine(worker, true, "quarantine: repeated task failures")
		case quarantined && now >= max(worker.QuarantinedUntil, p.leaderSince+quarantineTime):
			worker.Failures = failureThreshold - 1
			clear(worker.FailedJobs)
			p.setQuarantine(worker, false, "quarantine ended: the worker gets tasks again")
		}
	}
	for _, job := range p.jobs {
		if len(job.failedWorkers) >= failureThreshold-1 && !job.succeeded && now >= job.backoffUntil {
			wait := baseBackoff << min(job.failures, 10)
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
