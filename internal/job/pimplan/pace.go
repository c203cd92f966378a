package pimplan

import (
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimduration"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// paceTable holds how fast live runs progress. A pace is the time that a run needs for 100 percent. As a percentage
	// is one of the true duration, the pace at full speed is that duration, whatever the estimate.
	paceTable struct {
		runs  map[pimjob.TaskKey]*runPace
		steps map[stepKey]*stepPace
	}

	// runPace is the pace of a run. Last is its last listed progress, window the begin of the time over which its pace
	// is measured next, both on the worker's clock.
	runPace struct {
		number       int
		startedAt    int64
		listed       bool
		window, last progressSample
		// best is the shortest pace over any window, or 0.
		best time.Duration
		// impaired is set once the run was throttled, remote from its data or on a host in backoff, or if an earlier
		// leader started it. Unimpaired is set if none of this was so in the last report, and fullGain is the progress
		// in percent between such reports, made in fullTime.
		impaired, unimpaired bool
		fullGain             int
		fullTime             time.Duration
		// worked is the time that the run has worked, in terms of full speed.
		worked time.Duration
	}

	// stepPace holds the newest paces of a step's unimpaired runs. Spread is set if the runs of a SameRack step are not
	// on one rack, which makes all of them remote from each other.
	stepPace struct {
		rack   string
		spread bool
		newest [maxStepPaces]runOfStep
		count  int
	}

	runOfStep struct {
		key          pimjob.TaskKey
		worker       string
		pace, worked time.Duration
	}
)

const (
	// usualError is the error up to which estimates count as accurate: the error that callers state for theirs.
	usualError = 1.0 / 3
	// longDuration is the quantile of the duration up to which a run is not taken for a slow one.
	longDuration = 0.9
	// minPaceGain is the least progress in percent from which a pace is measured. Percentages are rounded down.
	minPaceGain = 5
	// minSampleGain is the least progress in percent from which the duration of a run is taken from its pace. It limits
	// the error of rounding to 4%.
	minSampleGain = 25
	// commandDelay is the most that the start command and the report of the end usually add to the run time in the
	// state: two calls that the platform delays, and the wait for the next list.
	commandDelay = 250 * time.Millisecond
	// fullShare is the share of its requested processor time from which a best-effort run counts as running at full
	// speed.
	fullShare    = 0.9
	maxStepPaces = 8
	// minMates is how many other runs of a step, on other hosts, are enough to replace the learned distribution.
	minMates = 3
)

func newPaceTable() paceTable {
	return paceTable{runs: map[pimjob.TaskKey]*runPace{}, steps: map[stepKey]*stepPace{}}
}

// estimatesAreWrong reports whether the estimates of a job's queue are off by more than usualError.
func (p *Planner) estimatesAreWrong(job *pimjob.Job) bool {
	return p.uses(LearnedDurations) && p.durations.Error(job.Queue.Name) > usualError
}

// medianDuration returns the learned duration of a step's tasks at full speed.
func (p *Planner) medianDuration(job *pimjob.Job, step int) time.Duration {
	key := pimjob.TaskKey{Job: job.Submission.ID, Step: step}
	return p.durations.Quantile(pimduration.TaskOf(job, key), 0, 0.5)
}

// assumedDuration returns the estimate of a live run, or a quantile of its duration if estimates are known to be wrong.
func (p *Planner) assumedDuration(job *pimjob.Job, key pimjob.TaskKey, h *host, q float64) time.Duration {
	if !p.estimatesAreWrong(job) {
		return job.Submission.Steps[key.Step].Estimate
	}
	return p.fullDuration(job, key, h, q)
}

// fullDuration returns a quantile of the duration of a live run at full speed. It is the median pace of the step's runs
// on other hosts if there are enough of them, else that of the learned distribution, and no more than the shortest pace
// that the run itself has shown.
func (p *Planner) fullDuration(job *pimjob.Job, key pimjob.TaskKey, h *host, q float64) time.Duration {
	var paces, worked []time.Duration
	if step := p.pace.steps[stepKey{key.Job, key.Occurrence, key.Step}]; step != nil {
		for _, mate := range step.newest[:min(step.count, maxStepPaces)] {
			if mate.worker != h.worker.ID {
				paces, worked = append(paces, mate.pace), append(worked, mate.worked)
			}
		}
	}
	var duration time.Duration
	if len(paces) >= minMates {
		slices.Sort(paces)
		duration = paces[len(paces)/2]
	} else {
		duration = p.durations.QuantileGiven(pimduration.TaskOf(job, key), 0, worked, q)
	}
	if run := p.pace.runs[key]; run != nil && run.best > 0 {
		duration = min(duration, run.best)
	}
	return duration
}

// beginPace records the start of a run.
func (p *Planner) beginPace(live pimjob.LiveRun) {
	task, step, _ := p.state.Task(live.Key)
	if step == nil || step.LongRunning || step.Estimate <= 0 {
		return
	}
	p.pace.runs[live.Key] = &runPace{number: live.Run.Number, startedAt: live.Run.StartedAt, impaired: task.Checkpoint != ""}
	if h := p.hosts[live.Run.Worker]; h != nil && step.SameRack {
		group := p.stepPaceOf(live.Key)
		group.spread = group.spread || (group.rack != "" && group.rack != h.worker.Rack)
		group.rack = h.worker.Rack
	}
}

// stepPaceOf returns the paces of the step of a task, with a new entry for an unknown step.
func (p *Planner) stepPaceOf(key pimjob.TaskKey) *stepPace {
	id := stepKey{key.Job, key.Occurrence, key.Step}
	if p.pace.steps[id] == nil {
		p.pace.steps[id] = &stepPace{}
	}
	return p.pace.steps[id]
}

// observePace updates the paces of a host's runs from a report.
func (p *Planner) observePace(h *host, runs []pimfleet.ObservedRun) {
	for _, observed := range runs {
		key := observed.Status.Key
		task, step, job := p.state.Task(key)
		if step == nil || step.LongRunning || step.Estimate <= 0 || job.State.IsEnded() ||
			task.Run == nil || task.Run.Number != observed.Status.Number {
			continue
		}
		run := p.pace.runs[key]
		if run == nil {
			// An earlier leader started it and may have throttled it.
			run = &runPace{number: observed.Status.Number, impaired: true}
			p.pace.runs[key] = run
		}
		share := float64(observed.SpeedPercent) / fullSpeed
		if step.BestEffort && step.Need.Millicores > 0 {
			share = min(share, observed.Status.Metric/float64(step.Need.Millicores))
		}
		unimpaired := share >= fullShare && hasLocalData(step, h) && !p.health.IsSuspect(h.worker.ID)
		if run.observe(progressSample{observed.Status.ProgressPercent, observed.ListedAt}, share, unimpaired) {
			p.stepPaceOf(key).add(runOfStep{key, h.worker.ID, run.fullPace(), run.worked})
		}
	}
}

// observe adds a report of the run, which has the share of its processor time, and reports whether the pace at full speed
// was measured anew.
func (r *runPace) observe(sample progressSample, share float64, unimpaired bool) bool {
	wasUnimpaired, last := r.unimpaired, r.last
	r.unimpaired, r.impaired, r.last = unimpaired, r.impaired || !unimpaired, sample
	if !r.listed {
		r.listed, r.window = true, sample
		return false
	}
	r.worked += time.Duration(share * float64(sample.at-last.at))
	if unimpaired && wasUnimpaired {
		r.fullGain += sample.percent - last.percent
		r.fullTime += sample.at - last.at
	}
	if gain, elapsed := sample.percent-r.window.percent, sample.at-r.window.at; gain >= minPaceGain && elapsed >= minReportGap {
		// The first percentage may be rounded down by almost one more percent than the second.
		if shortest := elapsed * 100 / time.Duration(gain+1); r.best == 0 || shortest < r.best {
			r.best = shortest
		}
		r.window = sample
	}
	return unimpaired && wasUnimpaired && r.fullGain >= minPaceGain
}

// fullPace returns the pace between the reports that show the run unimpaired.
func (r *runPace) fullPace() time.Duration { return r.fullTime * 100 / time.Duration(r.fullGain) }

// add adds the pace of a run in place of an earlier one of the same run, or of the oldest.
func (s *stepPace) add(run runOfStep) {
	for i := range s.newest[:min(s.count, maxStepPaces)] {
		if s.newest[i].key == run.key {
			s.newest[i] = run
			return
		}
	}
	s.newest[s.count%maxStepPaces] = run
	s.count++
}

// endPace learns the duration of a run that completed its task.
func (p *Planner) endPace(live pimjob.LiveRun, kind pimjob.EndKind, now time.Duration) {
	run := p.pace.runs[live.Key]
	delete(p.pace.runs, live.Key)
	_, step, job := p.state.Task(live.Key)
	if kind != pimjob.EndDone || step == nil {
		return
	}
	p.stops.OnEnd(live.Key, live.Run.Number, now)
	h := p.hosts[live.Run.Worker]
	if run == nil || run.number != live.Run.Number || h == nil || p.health.IsSuspect(h.worker.ID) {
		return
	}
	if group := p.pace.steps[stepKey{live.Key.Job, live.Key.Occurrence, live.Key.Step}]; group != nil && group.spread {
		return
	}
	sample := pimduration.Sample{Task: pimduration.TaskOf(job, live.Key), At: now}
	switch {
	case run.fullGain >= minSampleGain:
		sample.Duration = run.fullPace()
	case run.impaired || !hasLocalData(step, h) || (step.BestEffort && !run.listed):
		return
	default:
		sample.Duration = time.Duration(p.state.Now()-run.startedAt) * time.Millisecond
		sample.Overhead = commandDelay
	}
	p.durations.Observe(sample)
}
