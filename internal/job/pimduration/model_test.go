package pimduration_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimduration"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

func task(queue, job string) pimduration.Task {
	return pimduration.Task{Queue: queue, Key: pimjob.TaskKey{Job: job}, Estimate: 2 * time.Second}
}

// observe adds samples of as many jobs, whose durations are the estimate times a factor between 1/(1+spread) and 1+spread,
// at a rate of 100 in a second.
func observe(model *pimduration.Model, queue string, samples int, spread float64) {
	random := rand.New(rand.NewPCG(7, 8))
	for i := range samples {
		t := task(queue, fmt.Sprintf("%s-%d", queue, i))
		factor := math.Pow(1+spread, 2*random.Float64()-1)
		model.Observe(pimduration.Sample{
			Task: t, Duration: time.Duration(float64(t.Estimate) * factor), At: time.Duration(i) * 10 * time.Millisecond,
		})
	}
}

func assertNear(t *testing.T, got, want time.Duration) {
	t.Helper()
	assert.Assert(t, math.Abs(float64(got-want)) <= 0.1*float64(want), "got %v, want %v", got, want)
}

// TestError guards against wrong estimates that are taken for accurate ones, and the reverse. The queues are those of a
// deployment whose estimates are off by 0.9 for one kind of job and by 0.5 for another.
func TestError(t *testing.T) {
	for spread, limits := range map[float64][2]float64{0.9: {0.5, 0.9}, 0.5: {1.0 / 3, 0.5}, 1.0 / 3: {0.2, 1.0 / 3}, 0: {0, 0.1}} {
		model := pimduration.New()
		observe(model, "q", 400, spread)
		got := model.Error("q")
		assert.Assert(t, got >= limits[0] && got < limits[1], "spread %v: error %.2f", spread, got)
		assert.Equal(t, model.Error("other"), 0.0)
	}
	t.Run("delays of short tasks are not errors of their estimates", func(t *testing.T) {
		model := pimduration.New()
		for i := range 50 {
			short := pimduration.Task{Queue: "q", Key: pimjob.TaskKey{Job: fmt.Sprint(i)}, Estimate: 200 * time.Millisecond}
			model.Observe(pimduration.Sample{
				Task: short, Duration: 350 * time.Millisecond, Overhead: 200 * time.Millisecond, At: time.Duration(i),
			})
		}
		assert.Assert(t, model.Error("q") < 0.1, "error %.2f", model.Error("q"))
	})
}

// TestQuantile guards against remaining times that follow the estimate although the samples contradict it.
func TestQuantile(t *testing.T) {
	t.Run("without samples it is the estimate", func(t *testing.T) {
		assertNear(t, pimduration.New().Quantile(task("q", "a"), 0, 0.5), 2*time.Second)
		assert.Equal(t, pimduration.New().Quantile(pimduration.Task{Queue: "q"}, 0, 0.5), time.Duration(0))
	})
	t.Run("samples of the step outweigh those of the queue", func(t *testing.T) {
		model := pimduration.New()
		observe(model, "q", 300, 0.2)
		for range 8 {
			model.Observe(pimduration.Sample{Task: task("q", "long"), Duration: 5 * time.Second, At: 3 * time.Second})
		}
		assertNear(t, model.Quantile(task("q", "long"), 0, 0.5), 5*time.Second)
		assertNear(t, model.Quantile(task("q", "other"), 0, 0.5), 2*time.Second)
		assertNear(t, model.Quantile(task("q", "long"), 4*time.Second, 0.5), time.Second)
		model.Forget(pimjob.TaskKey{Job: "long"})
		assertNear(t, model.Quantile(task("q", "long"), 0, 0.5), 2*time.Second)
	})
	t.Run("tasks that still run are lower bounds", func(t *testing.T) {
		model := pimduration.New()
		observe(model, "q", 300, 0.9)
		running := []time.Duration{3 * time.Second, 3 * time.Second, 3 * time.Second, 3 * time.Second}
		before, after := model.Quantile(task("q", "a"), 0, 0.5), model.QuantileGiven(task("q", "a"), 0, running, 0.5)
		assert.Assert(t, after > before, "%v, with running tasks %v", before, after)
	})
	t.Run("a run that outlasts all samples is expected to run on", func(t *testing.T) {
		model := pimduration.New()
		observe(model, "q", 300, 0.2)
		assert.Assert(t, model.Quantile(task("q", "a"), 20*time.Second, 0.5) > 5*time.Second)
	})
	t.Run("estimates that change are learned anew", func(t *testing.T) {
		model := pimduration.New()
		observe(model, "q", 300, 0)
		for i := range 300 {
			at := time.Duration(3+i/10) * time.Second
			model.Observe(pimduration.Sample{Task: task("q", fmt.Sprint(i)), Duration: 4 * time.Second, At: at})
		}
		assertNear(t, model.Quantile(task("q", "a"), 0, 0.5), 4*time.Second)
	})
}

// TestLimits guards against memory that grows with the number of queues and steps.
func TestLimits(t *testing.T) {
	model := pimduration.New()
	for i := range 3 * pimduration.MaxSteps {
		model.Observe(pimduration.Sample{
			Task: task(fmt.Sprintf("queue-%04d", i), fmt.Sprint(i)), Duration: 4 * time.Second, At: time.Duration(i),
		})
	}
	summary := model.Summary()
	assert.Equal(t, len(summary), pimduration.MaxQueues)
	assert.Equal(t, summary[len(summary)-1].Queue, fmt.Sprintf("queue-%04d", 3*pimduration.MaxSteps-1))
}

// TestLeaderChange guards against a new leader that takes wrong estimates for accurate ones, and against one that fails
// because of a summary that is not valid.
func TestLeaderChange(t *testing.T) {
	old, next := pimduration.New(), pimduration.New()
	observe(old, "wrong", 400, 0.9)
	observe(old, "right", 400, 0.1)
	next.Restore(old.Summary())
	for _, queue := range []string{"wrong", "right"} {
		assert.Assert(t, math.Abs(next.Error(queue)-old.Error(queue)) < 0.05)
		assertNear(t, next.Quantile(task(queue, "a"), time.Second, 0.8), old.Quantile(task(queue, "a"), time.Second, 0.8))
	}
	broken := pimduration.New()
	broken.Restore([]pimjob.LearnedDurations{
		{Queue: "a", First: -1, Weights: []float32{1}},
		{Queue: "b", First: 60, Weights: make([]float32, 5)},
		{Queue: "c", Weights: []float32{float32(math.NaN())}},
		{Queue: "d", Weights: []float32{float32(math.Inf(1))}},
		{Queue: "e", Weights: []float32{-1}},
		{Queue: "f", First: 1 << 62},
	})
	assert.Equal(t, len(broken.Summary()), 0)
}

// BenchmarkModel shows that a sample and a query cost the same whatever was observed before.
func BenchmarkModel(b *testing.B) {
	model := pimduration.New()
	observe(model, "q", 4000, 0.9)
	b.Run("observe", func(b *testing.B) {
		for i := range b.N {
			model.Observe(pimduration.Sample{Task: task("q", "a"), Duration: time.Second, At: time.Duration(i)})
		}
	})
	b.Run("quantile", func(b *testing.B) {
		for range b.N {
			model.Quantile(task("q", "a"), time.Second, 0.5)
		}
	})
	b.Run("error", func(b *testing.B) {
		for range b.N {
			model.Error("q")
		}
	})
}
