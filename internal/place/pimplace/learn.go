package pimplace

import (
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimdomain"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimmanifest"
)

type (
	// pair names two jobs that share a worker; the first is the one that is slowed down.
	pair struct{ slowed, other string }

	// pairRow is the learned slowdown of a pair, as a share of the time alone.
	pairRow struct {
		slowdown float64
		samples  int
	}

	// jobRow is what was learned of a job.
	jobRow struct {
		peak          pimmanifest.Resources
		samples       int
		failures      int
		failedWorkers map[string]bool
		succeeded     bool
		heldUntil     time.Duration
	}
)

const (
	learnShare    = 0.1
	minSamples    = 3
	peakHeadroom  = 1.1
	badFailures   = 3
	asideTime     = 30 * time.Second
	holdBackFirst = 2 * time.Second
	holdBackMost  = 5 * time.Minute
)

func (p *Placer) job(name string) *jobRow {
	row := p.jobs[name]
	if row == nil {
		row = &jobRow{failedWorkers: map[string]bool{}}
		p.jobs[name] = row
	}
	return row
}

// learn takes in sizes and slowdowns. A report lists what ran together when its
// usage was taken, so its slowdown is attributed to those tasks only.
func (p *Placer) learn(report Report) {
	for _, task := range report.Tasks {
		if task.State != TaskRunning {
			continue
		}
		row := p.job(task.Task.Job)
		row.samples++
		row.peak.CPUMillis = max(row.peak.CPUMillis, task.CPUMillis)
		row.peak.MemoryMB = max(row.peak.MemoryMB, task.MemoryMB)
		p.learnPairs(report, task)
	}
}

func (p *Placer) learnPairs(report Report, task TaskReport) {
	others := map[string]bool{}
	for _, other := range report.Tasks {
		if other.State == TaskRunning && other.Task != task.Task {
			others[other.Task.Job] = true
		}
	}
	for job := range others {
		key := pair{slowed: task.Task.Job, other: job}
		row := p.pairs[key]
		if row == nil {
			row = &pairRow{}
			p.pairs[key] = row
		}
		row.samples++
		sample := float64(task.SlowdownPercent) / 100 / float64(len(others))
		row.slowdown += (sample - row.slowdown) * max(learnShare, 1/float64(row.samples))
	}
}

// pairSlowdown is how much two jobs slow each other down, as far as known.
func (p *Placer) pairSlowdown(a, b string) float64 {
	total := 0.0
	for _, key := range []pair{{a, b}, {b, a}} {
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
		CPUMillis:    max(declared.CPUMillis, row.peak.CPUMillis),
		MemoryMB:     max(declared.MemoryMB, int64(float64(row.peak.MemoryMB)*peakHeadroom)),
		Accelerators: declared.Accelerators,
	}
}

// judge counts the end of an incarnation for its worker and its job.
func (p *Placer) judge(worker *Worker, id pimconfig.TaskID, outcome pimdomain.Outcome) {
	job := p.job(id.Job)
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

// isBad reports whether a worker fails what it is given: several failures in a row,
// of several jobs or of one that ran elsewhere. A job that runs nowhere makes no worker bad.
func (p *Placer) isBad(worker *Worker) bool {
	if worker.Failures < badFailures {
		return false
	}
	if len(worker.FailedJobs) > 1 {
		return true
	}
	for job := range worker.FailedJobs {
		if p.job(job).succeeded {
			return true
		}
	}
	return false
}

// reviewQuarantine sets bad workers aside, tries them again later, and holds back
// jobs that fail on several workers.
func (p *Placer) reviewQuarantine(now time.Duration, view View) {
	for _, worker := range p.Workers() {
		aside := view.State.Quarantined[worker.ID]
		switch {
		case !aside && p.isBad(worker):
			worker.AsideUntil = now + asideTime
			p.setAside(worker, true, "quarantine: fails what it is given")
		case aside && now >= max(worker.AsideUntil, p.since+asideTime):
			worker.Failures = badFailures - 1
			clear(worker.FailedJobs)
			p.setAside(worker, false, "quarantine is over: one more try")
		}
	}
	for _, job := range p.jobs {
		if len(job.failedWorkers) >= badFailures-1 && !job.succeeded && now >= job.heldUntil {
			wait := holdBackFirst << min(job.failures, 10)
			job.heldUntil = now + min(wait, holdBackMost)
			clear(job.failedWorkers)
		}
	}
}

func (p *Placer) setAside(worker *Worker, aside bool, reason string) {
	p.proposals = append(p.proposals, pimdomain.QuarantineWorker{Worker: worker.ID, Quarantine: aside})
	p.decisions = append(p.decisions, Decision{Choice: worker.ID, Reason: reason})
}

func (p *Placer) isHeldBack(now time.Duration, job string) bool {
	row := p.jobs[job]
	return row != nil && now < row.heldUntil
}
