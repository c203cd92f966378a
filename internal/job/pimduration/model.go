// Package pimduration learns how long tasks run at full speed near their data, from tasks that ended. What it learns is
// a distribution of the duration divided by the caller's estimate, for each queue and for each step with tasks that
// still run. The package reads no clock and is deterministic.
package pimduration

import (
	"math"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// Task is a task whose duration is asked for or observed. The index of its key is not used.
	Task struct {
		Queue    string
		Key      pimjob.TaskKey
		Estimate time.Duration
	}

	// Sample is the run time of a task that ended. It must not be taken from a run that was throttled, remote from its
	// data or on a host in backoff.
	Sample struct {
		Task     Task
		Duration time.Duration
		// Overhead is how much of Duration may be delays of the start and of the report of the end. Within it, the
		// duration nearest to the estimate is assumed.
		Overhead time.Duration
		// At is when the task ended, on any clock that does not go back.
		At time.Duration
	}

	// Model holds what was learned. Each operation takes constant time.
	Model struct {
		queues *recentlyChanged[string, *queueSamples]
		steps  *recentlyChanged[stepKey, *histogram]
	}

	queueSamples struct {
		ratios histogram
		// observedAt is the time of the newest sample, and hasTime is false while all samples are from an earlier
		// leader, whose clock is another one.
		observedAt time.Duration
		hasTime    bool
		// errorKnown is set while err is up to date.
		err        float64
		errorKnown bool
	}

	stepKey struct {
		job        string
		occurrence int
		step       int
	}
)

// Limits of what a model holds, about 1 MB.
const (
	MaxQueues = 256
	MaxSteps  = 2000
)

const (
	// halfLife is the time in which the weight of a queue's samples halves, so that samples from before a change of the
	// callers' estimates are outweighed within a minute.
	halfLife = 20 * time.Second
	// priorSpread is the factor by which a queue's durations are assumed to differ from the estimates while there are
	// no samples, and priorWeight is the weight of this assumption in samples.
	priorSpread = 4.0 / 3
	priorWeight = 2.0
	// queueWeight is the weight of the queue's distribution against the samples of a step.
	queueWeight = 2.0
	// minErrorWeight is the least weight of samples from which the error of a queue is known, and errorQuantile the
	// quantile of the single errors that is reported. It is high because one wrong estimate is enough to misjudge a run,
	// and leaves out a fifth for runs on slow hosts. Estimates between 2/3 and 4/3 of the duration give an error of 0.3.
	minErrorWeight = 5.0
	errorQuantile  = 0.8
	// tailExponent describes the durations beyond all samples: the chance to run on falls with this power of the time.
	tailExponent = 2.0
	// minTail is the share of the distribution below which it says nothing about longer durations.
	minTail = 0.001
	// maxInheritedWeight limits the weight of what an earlier leader learned, so that new samples soon outweigh it.
	maxInheritedWeight = 50.0
	// maxBounds limits the running tasks that a query considers.
	maxBounds = 16
)

// New returns a model without samples.
func New() *Model {
	return &Model{
		queues: newRecentlyChanged[string, *queueSamples](MaxQueues),
		steps:  newRecentlyChanged[stepKey, *histogram](MaxSteps),
	}
}

// TaskOf returns the task of a key in a job.
func TaskOf(job *pimjob.Job, key pimjob.TaskKey) Task {
	return Task{Queue: job.Queue.Name, Key: key, Estimate: job.Submission.Steps[key.Step].Estimate}
}

func (t Task) stepKey() stepKey { return stepKey{t.Key.Job, t.Key.Occurrence, t.Key.Step} }

// Observe adds a sample. Tasks without an estimate are ignored.
func (m *Model) Observe(sample Sample) {
	estimate := sample.Task.Estimate
	if estimate <= 0 || sample.Duration <= 0 {
		return
	}
	duration := max(sample.Duration-max(0, sample.Overhead), min(sample.Duration, estimate))
	ratio := float64(duration) / float64(estimate)
	queue := m.queues.getOrAdd(sample.Task.Queue, func() *queueSamples { return &queueSamples{} })
	if queue.hasTime && sample.At > queue.observedAt {
		queue.ratios.scale(math.Exp2(-float64(sample.At-queue.observedAt) / float64(halfLife)))
	}
	if !queue.hasTime || sample.At > queue.observedAt {
		queue.observedAt, queue.hasTime = sample.At, true
	}
	step := m.steps.getOrAdd(sample.Task.stepKey(), func() *histogram { return &histogram{} })
	// The tasks of a step share the error of its estimate, so that a wide step tells little more than a narrow one.
	queue.ratios.add(ratio, 1/(1+step.total()))
	queue.errorKnown = false
	step.add(ratio, 1)
}

// Forget removes the samples of a step, for a job that has ended. Those of its queue remain.
func (m *Model) Forget(key pimjob.TaskKey) {
	m.steps.remove(stepKey{key.Job, key.Occurrence, key.Step})
}

// Quantile returns the time that a run still needs at full speed near its data after it has worked for elapsed, or the
// whole duration with elapsed 0. The run needs at most this time with probability q. For a task without an estimate it
// returns 0.
func (m *Model) Quantile(task Task, elapsed time.Duration, q float64) time.Duration {
	return m.QuantileGiven(task, elapsed, nil, q)
}

// QuantileGiven is like Quantile and takes into account how long other tasks of the same step have worked that still
// run. Their durations are longer than that. At most 16 of them are considered.
func (m *Model) QuantileGiven(task Task, elapsed time.Duration, running []time.Duration, q float64) time.Duration {
	if task.Estimate <= 0 {
		return 0
	}
	q = min(max(q, 0), 0.999)
	ratios := m.distribution(task)
	if len(running) > 0 {
		bounds := make([]float64, 0, maxBounds)
		for _, worked := range running[:min(len(running), maxBounds)] {
			bounds = append(bounds, float64(worked)/float64(task.Estimate))
		}
		slices.Sort(bounds)
		for _, bound := range bounds {
			ratios.addAbove(bound, 1)
		}
	}
	reached := float64(max(0, elapsed)) / float64(task.Estimate)
	left := ratios.above(reached)
	if left < minTail*ratios.total() {
		return time.Duration(float64(elapsed) * (math.Pow(1-q, -1/tailExponent) - 1))
	}
	end := ratios.valueAbove(left * (1 - q))
	return max(0, time.Duration((end-reached)*float64(task.Estimate)))
}

// distribution returns the distribution of duration divided by estimate for a task: that of the samples of its step,
// of its queue and of the assumption about estimates, the latter two with a limited weight.
func (m *Model) distribution(task Task) histogram {
	ratios := prior
	if queue, ok := m.queues.get(task.Queue); ok {
		ratios.addAll(&queue.ratios)
	}
	if step, ok := m.steps.get(task.stepKey()); ok {
		ratios.scale(queueWeight / ratios.total())
		ratios.addAll(step)
	}
	return ratios
}

// Error returns the factor by which the estimates of a queue are off, less 1: with 0.5, four fifths of the durations
// are within 1.5 times the estimate and the estimate divided by 1.5. It returns 0 while there are too few samples.
func (m *Model) Error(queue string) float64 {
	samples, ok := m.queues.get(queue)
	if !ok {
		return 0
	}
	if !samples.errorKnown {
		samples.err, samples.errorKnown = samples.ratios.offBy(errorQuantile), true
		if samples.ratios.total() < minErrorWeight {
			samples.err = 0
		}
	}
	return samples.err
}

// Summary returns what was learned about the queues, sorted by queue.
func (m *Model) Summary() []pimjob.LearnedDurations {
	var summary []pimjob.LearnedDurations
	m.queues.forEach(func(queue string, samples *queueSamples) {
		first, weights := samples.ratios.nonZero()
		summary = append(summary, pimjob.LearnedDurations{Queue: queue, First: first, Weights: weights})
	})
	slices.SortFunc(summary, func(a, b pimjob.LearnedDurations) int {
		if a.Queue < b.Queue {
			return -1
		}
		return 1
	})
	return summary
}

// Restore adds the queues of a summary to an empty model. Entries that are not valid are skipped.
func (m *Model) Restore(summary []pimjob.LearnedDurations) {
	for _, entry := range summary {
		var samples queueSamples
		if !samples.ratios.restore(entry.First, entry.Weights) {
			continue
		}
		if total := samples.ratios.total(); total > maxInheritedWeight {
			samples.ratios.scale(maxInheritedWeight / total)
		}
		m.queues.getOrAdd(entry.Queue, func() *queueSamples { return &samples })
	}
}
