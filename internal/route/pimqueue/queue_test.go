package pimqueue_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/route/pimqueue"
)

func pushItems(q *pimqueue.Queue, team string, weight, priority, count int) {
	for i := range count {
		q.Push(pimqueue.Item{Key: fmt.Sprintf("%s-%d", team, i), Team: team, Weight: weight, Priority: priority})
	}
}

func popTeams(t *testing.T, q *pimqueue.Queue, count int) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for range count {
		item, ok := q.Pop()
		assert.Assert(t, ok)
		counts[item.Team]++
	}
	return counts
}

func TestShares(t *testing.T) {
	t.Run("teams of equal weight get equal shares, however many items they have", func(t *testing.T) {
		q := pimqueue.NewQueue()
		pushItems(q, "large", 1, 5, 900)
		pushItems(q, "small", 1, 5, 100)
		assert.DeepEqual(t, popTeams(t, q, 100), map[string]int{"large": 50, "small": 50})
	})
	t.Run("shares are proportional to weights", func(t *testing.T) {
		q := pimqueue.NewQueue()
		pushItems(q, "heavy", 3, 5, 300)
		pushItems(q, "light", 1, 5, 300)
		assert.DeepEqual(t, popTeams(t, q, 100), map[string]int{"heavy": 75, "light": 25})
	})
	t.Run("a team that leaves the queue and comes back gains nothing", func(t *testing.T) {
		q := pimqueue.NewQueue()
		pushItems(q, "steady", 1, 5, 200)
		counts := map[string]int{}
		for i := range 100 {
			if q.Len() < 200 {
				q.Push(pimqueue.Item{Key: fmt.Sprint(i), Team: "sporadic", Weight: 1, Priority: 5})
			}
			item, _ := q.Pop()
			counts[item.Team]++
		}
		assert.Assert(t, counts["sporadic"] <= 51, "%v", counts)
	})
}

func TestPriority(t *testing.T) {
	t.Run("the higher class goes first and the lower does not starve", func(t *testing.T) {
		q := pimqueue.NewQueue()
		pushItems(q, "urgent", 1, 9, 800)
		pushItems(q, "quotes", 1, 1, 800)
		counts := popTeams(t, q, 80)
		assert.DeepEqual(t, counts, map[string]int{"urgent": 70, "quotes": 10})
	})
	t.Run("removed items are not popped", func(t *testing.T) {
		q := pimqueue.NewQueue()
		pushItems(q, "a", 1, 5, 10)
		dropped := q.Remove(func(item pimqueue.Item) bool { return item.Key != "a-7" })
		assert.Equal(t, len(dropped), 9)
		item, ok := q.Pop()
		assert.Assert(t, ok && item.Key == "a-7")
		_, ok = q.Pop()
		assert.Assert(t, !ok)
	})
}

func BenchmarkPushPop(b *testing.B) {
	for _, teams := range []int{1, 10, 100, 940} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			q := pimqueue.NewQueue()
			for i := range teams {
				pushItems(q, fmt.Sprint("team", i), 1, 5, 4)
			}
			b.ReportAllocs()
			for b.Loop() {
				item, _ := q.Pop()
				q.Push(item)
			}
		})
	}
}
