package pimshare_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimorganisation"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimshare"
)

var capacity = pimorganisation.Resources{CPUMillis: 100_000, MemoryMB: 100_000, Accelerators: 10}

func cores(count int64) pimorganisation.Resources {
	return pimorganisation.Resources{CPUMillis: count * 1000, MemoryMB: 100}
}

// sharesOf returns shares with an account for each weight, named a, b and so on.
func sharesOf(weights ...int) *pimshare.Shares {
	shares := pimshare.NewShares(capacity)
	for i, weight := range weights {
		shares.Add(pimshare.Account{Name: string(rune('a' + i)), Weight: weight})
	}
	return shares
}

// drain places tasks in the order of a queue until room tasks are placed, and returns the tasks placed by step and the
// number of grants.
func drain(queue *pimshare.Queue, room int) (placed map[int]int, grants int) {
	placed = map[int]int{}
	for {
		step, tasks, ok := queue.Next()
		if !ok {
			return placed, grants
		}
		grants++
		tasks = min(tasks, room)
		room -= tasks
		placed[step] += tasks
		queue.Placed(tasks)
	}
}

// TestQueue guards against a division within one plan that does not follow the weights, and against steps of public
// queues that are ranked behind or before all others.
func TestQueue(t *testing.T) {
	t.Run("one plan divides by weight", func(t *testing.T) {
		queue := pimshare.NewQueue(sharesOf(1, 4), pimshare.NewHistory(), []pimshare.Step{
			{Organisation: "a", Need: cores(1), Tasks: 500}, {Organisation: "b", Need: cores(1), Tasks: 500},
		})
		placed, _ := drain(queue, 100)
		assert.Assert(t, placed[0] >= 18 && placed[0] <= 22, "%v", placed)
		assert.Equal(t, placed[0]+placed[1], 100)
	})
	t.Run("the dominant resource counts", func(t *testing.T) {
		queue := pimshare.NewQueue(sharesOf(2, 2), pimshare.NewHistory(), []pimshare.Step{
			{Organisation: "a", Need: pimorganisation.Resources{CPUMillis: 1000, Accelerators: 1}, Tasks: 10},
			{Organisation: "b", Need: cores(1), Tasks: 100},
		})
		placed, _ := drain(queue, 44)
		assert.Assert(t, placed[0] >= 3 && placed[0] <= 5, "%v", placed)
	})
	t.Run("public steps are merged by deadline", func(t *testing.T) {
		steps := []pimshare.Step{
			{Organisation: "a", Need: cores(1), Tasks: 1, Due: 10},
			{Need: cores(1), Tasks: 1, Due: 20},
			{Organisation: "a", Need: cores(1), Tasks: 1, Due: 30},
			{Need: cores(1), Tasks: 1, Due: 40},
		}
		queue := pimshare.NewQueue(sharesOf(1), pimshare.NewHistory(), steps)
		for want := range steps {
			step, _, ok := queue.Next()
			assert.Assert(t, ok)
			assert.Equal(t, step, want)
			queue.Placed(1)
		}
	})
	t.Run("an organisation of weight 0 comes last but is not left out", func(t *testing.T) {
		queue := pimshare.NewQueue(sharesOf(0, 1), pimshare.NewHistory(), []pimshare.Step{
			{Organisation: "a", Need: cores(1), Tasks: 500}, {Organisation: "b", Need: cores(1), Tasks: 50},
		})
		placed, _ := drain(queue, 100)
		assert.Assert(t, placed[0] >= 50, "%v", placed)
		assert.Equal(t, placed[1], 50)
	})
}

// TestGrants guards against a plan whose cost grows with the number of tasks: 940 organisations with 1,000 waiting steps
// of up to 100 tasks fill an idle deployment of 3,000 hosts with 32 cores each.
func TestGrants(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	shares := pimshare.NewShares(pimorganisation.Resources{CPUMillis: 96_000_000, MemoryMB: 300_000_000})
	for i := range 940 {
		shares.Add(pimshare.Account{Name: fmt.Sprint(i), Weight: 1 + random.IntN(16)})
	}
	steps := make([]pimshare.Step, 1000)
	for i := range steps {
		steps[i] = pimshare.Step{Organisation: fmt.Sprint(i % 940), Need: cores(1 + random.Int64N(4)), Tasks: 1 + random.IntN(100)}
	}
	_, grants := drain(pimshare.NewQueue(shares, pimshare.NewHistory(), steps), 1_000_000)
	assert.Assert(t, grants <= 9*940+1000, "%d grants", grants)
}

// TestJain guards against an index that is not 1 for equal and 1/n for exclusive use.
func TestJain(t *testing.T) {
	assert.Equal(t, pimshare.Jain(nil), 1.0)
	assert.Equal(t, pimshare.Jain([]float64{0, 0}), 1.0)
	assert.Equal(t, pimshare.Jain([]float64{2, 2, 2}), 1.0)
	assert.Assert(t, math.Abs(pimshare.Jain([]float64{5, 0, 0, 0})-0.25) < 1e-9)
}

// TestBucket guards against a rate that differs from the weight: an organisation of weight 4 with a window of 5 s submits
// 20 jobs at once and then 40 a second for 10 s.
func TestBucket(t *testing.T) {
	const window = 5 * time.Second
	bucket, now := pimshare.Bucket{}, int64(1_700_000_000_000)
	burst, within := 0, 0
	for range 30 {
		if bucket.Take(4, window, now) {
			burst++
		}
	}
	for i := range int64(400) {
		if bucket.Take(4, window, now+25*(i+1)) {
			within++
		}
	}
	assert.Equal(t, burst, 20)
	assert.Equal(t, within, 40)
	assert.Assert(t, !new(pimshare.Bucket).Take(0, window, now))
}

// TestAdmit guards against rejected jobs that could have been served, and against jobs that are accepted though their
// organisation has work ahead for several times the limit. The limit of the job is 6 s, the share 10 cores, and a
// prediction must exceed the limit twofold.
func TestAdmit(t *testing.T) {
	job := pimshare.Submission{Limit: 6 * time.Second, CoreMillis: 1000 * 1000, WidestMillicores: 1000, OverRate: true}
	backlog := func(coreSeconds, quota int64) pimshare.Backlog {
		return pimshare.Backlog{CoreMillis: coreSeconds * 1000 * 1000, QuotaMillicores: quota, ShareMillicores: 10_000}
	}
	tests := []struct {
		name       string
		submission func(s *pimshare.Submission)
		backlog    pimshare.Backlog
		accepted   bool
	}{
		{"a short queue", nil, backlog(100, 0), true},
		{"a queue of 24 s", nil, backlog(240, 0), false},
		{"a queue of 24 s within the rate", func(s *pimshare.Submission) { s.OverRate = false }, backlog(240, 0), true},
		{"a queue that a low quota makes long", nil, backlog(40, 1000), false},
		{"work beyond the quota within the rate", func(s *pimshare.Submission) {
			s.OverRate, s.CoreMillis = false, 100*1000*1000
		}, backlog(0, 1000), false},
		{"one task larger than the quota", func(s *pimshare.Submission) {
			s.WidestMillicores, s.CoreMillis = 8000, 80*1000*1000
		}, backlog(0, 1000), true},
		{"a queue of 24 s while no capacity is known", nil, pimshare.Backlog{CoreMillis: 240 * 1000 * 1000}, true},
		{"no limit", func(s *pimshare.Submission) { s.Limit = 0 }, backlog(240, 0), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			submission := job
			if test.submission != nil {
				test.submission(&submission)
			}
			admission := pimshare.Admit(submission, test.backlog)
			assert.Equal(t, admission.Accepted, test.accepted, "%+v", admission)
			assert.Assert(t, admission.Accepted || admission.RetryAfter >= time.Second)
		})
	}
}
