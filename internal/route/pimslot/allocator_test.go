package pimslot_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/route/pimslot"
)

const second = time.Second

// harness drives an allocator with endpoints of one service.
type harness struct {
	*testing.T
	allocator *pimslot.Allocator
	now       time.Duration
	sequence  uint64
	tokens    map[string]pimslot.Token
}

func newHarness(t *testing.T, awaited ...string) *harness {
	return &harness{
		T: t, allocator: pimslot.NewAllocator(3, 10*second, awaited), now: 10 * second,
		tokens: map[string]pimslot.Token{},
	}
}

func (h *harness) announce(id string, slots int, inProgress ...string) {
	h.Helper()
	h.sequence++
	token, err := h.allocator.Announce(h.now, pimslot.Announcement{
		ID: id, Service: "callout", Address: id, Slots: slots, Boot: "1",
		Sequence: h.sequence, InProgress: inProgress, Token: h.tokens[id],
	})
	assert.NilError(h, err)
	h.tokens[id] = token
}

func (h *harness) acquire(attempt string, noWait bool) pimslot.Reply {
	h.Helper()
	h.allocator.Acquire(h.now, "north-1", pimslot.Acquire{
		Attempt: attempt, Service: "callout", TTL: 4 * second, NoWait: noWait, Weight: 1,
	})
	replies := h.allocator.Take()
	if len(replies) == 0 {
		return pimslot.Reply{Attempt: attempt, Code: -1}
	}
	return replies[0]
}

func (h *harness) release(attempt string, usage pimslot.Usage) []pimslot.Reply {
	h.allocator.Release(h.now, pimslot.Release{Attempt: attempt, Usage: usage, Latency: 20 * time.Millisecond})
	return h.allocator.Take()
}

// noReply is the code that harness.acquire returns for a request without a reply yet.
const noReply pimcode.Code = -1

func TestSlots(t *testing.T) {
	t.Run("no endpoint gets more requests than it has slots", func(t *testing.T) {
		h := newHarness(t)
		h.announce("e", 2)
		assert.Equal(t, h.acquire("1", true).Code, pimcode.OK)
		assert.Equal(t, h.acquire("2", true).Code, pimcode.OK)
		assert.Equal(t, h.acquire("3", true).Code, pimcode.QueueFull)
	})
	t.Run("the same attempt gets the same slot again", func(t *testing.T) {
		h := newHarness(t)
		h.announce("e", 1)
		first := h.acquire("1", true)
		again := h.acquire("1", true)
		assert.Equal(t, again.Code, pimcode.OK)
		assert.Equal(t, first.Endpoint, again.Endpoint)
	})
	t.Run("a waiting request gets the slot that is freed", func(t *testing.T) {
		h := newHarness(t)
		h.announce("e", 1)
		h.acquire("1", true)
		assert.Equal(t, h.acquire("2", false).Code, noReply)
		replies := h.release("1", pimslot.UsageAnswered)
		assert.Equal(t, len(replies), 1)
		assert.Equal(t, replies[0].Attempt, "2")
	})
	t.Run("a slot without an answer stays taken until the endpoint no longer lists the attempt", func(t *testing.T) {
		h := newHarness(t)
		h.announce("e", 1)
		h.acquire("1", true)
		h.release("1", pimslot.UsageLost)
		h.now += second
		h.announce("e", 1, "1")
		assert.Equal(t, h.acquire("2", true).Code, pimcode.QueueFull)
		h.announce("e", 1)
		assert.Equal(t, h.acquire("3", true).Code, pimcode.OK)
	})
	t.Run("an announcement made before the answer was lost frees no slot", func(t *testing.T) {
		h := newHarness(t)
		h.announce("e", 1)
		old := h.tokens["e"]
		h.acquire("1", true)
		h.now += second
		h.release("1", pimslot.UsageLost)
		h.tokens["e"] = old
		h.now += second
		h.announce("e", 1)
		assert.Equal(t, h.acquire("2", true).Code, pimcode.QueueFull)
	})
	t.Run("a leaving endpoint gets no more requests", func(t *testing.T) {
		h := newHarness(t)
		h.announce("e", 1)
		_, err := h.allocator.Announce(h.now, pimslot.Announcement{
			ID: "e", Service: "callout", Slots: 1, Boot: "1", Sequence: 99, Leaving: true,
		})
		assert.NilError(t, err)
		assert.Equal(t, h.acquire("1", true).Code, pimcode.NoEndpoint)
	})
	t.Run("a silent endpoint gets no more requests", func(t *testing.T) {
		h := newHarness(t)
		h.announce("e", 1)
		h.now += pimslot.ExpireAfter + second
		assert.Equal(t, h.acquire("1", true).Code, pimcode.NoEndpoint)
	})
	t.Run("a failing endpoint is not used while there are others", func(t *testing.T) {
		h := newHarness(t)
		h.announce("bad", 8)
		for i := range pimslot.EjectFailures {
			h.acquire(fmt.Sprint(i), true)
			h.release(fmt.Sprint(i), pimslot.UsageFailed)
		}
		h.announce("good", 8)
		for i := range 8 {
			assert.Equal(t, h.acquire(fmt.Sprint("x", i), true).Endpoint, "good")
		}
		assert.Equal(t, h.acquire("last", true).Endpoint, "bad", "an ejected endpoint is used if there is no other")
	})
	t.Run("a failure domain out of service grants nothing and refuses waiting requests", func(t *testing.T) {
		h := newHarness(t)
		h.announce("e", 1)
		h.acquire("1", true)
		h.acquire("2", false)
		h.allocator.SetOutOfService(true)
		replies := h.allocator.Take()
		assert.Equal(t, replies[0].Code, pimcode.DomainOutOfService)
		assert.Equal(t, h.acquire("3", false).Code, pimcode.DomainOutOfService)
	})
	t.Run("a request that can't be answered in time is refused at once", func(t *testing.T) {
		h := newHarness(t)
		h.announce("e", 1)
		h.acquire("1", true)
		h.allocator.Release(h.now, pimslot.Release{Attempt: "1", Latency: 3 * second})
		h.allocator.Take()
		h.acquire("2", true)
		reply := h.acquire("3", false)
		assert.Equal(t, reply.Code, pimcode.WaitTooLong)
		assert.Assert(t, reply.RetryAfter > 0)
	})
}

func TestNewLeader(t *testing.T) {
	t.Run("grants nothing before every daemon has reported its credits", func(t *testing.T) {
		h := newHarness(t, "north-2", "south-1")
		h.announce("e", 2)
		assert.Equal(t, h.acquire("new", false).Code, noReply)
		h.allocator.Recover(h.now, "north-2", []pimslot.Credit{{Attempt: "old", Endpoint: "e", Deadline: second}}, nil)
		assert.Equal(t, len(h.allocator.Take()), 0)
		h.allocator.Recover(h.now, "south-1", nil, nil)
		assert.Equal(t, len(h.allocator.Take()), 1)
		assert.Equal(t, h.acquire("more", true).Code, pimcode.QueueFull, "one slot is held by the old attempt")
	})
	t.Run("waits for a silent daemon until its credits have expired", func(t *testing.T) {
		h := newHarness(t, "north-2")
		h.announce("e", 2)
		h.now += pimslot.SendWithin
		h.allocator.Tick(h.now)
		assert.Assert(t, !h.allocator.Ready())
		h.now += pimslot.ClockMargin
		h.announce("e", 2, "of a dead daemon")
		h.allocator.Tick(h.now)
		assert.Assert(t, h.allocator.Ready())
		assert.Equal(t, h.acquire("1", true).Code, pimcode.OK)
		assert.Equal(t, h.acquire("2", true).Code, pimcode.QueueFull, "the dead daemon's attempt still runs")
	})
}

func BenchmarkAcquireRelease(b *testing.B) {
	for _, endpoints := range []int{60, 300, 1000, 3000} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			allocator := pimslot.NewAllocator(1, second, nil)
			for i := range endpoints {
				if _, err := allocator.Announce(second, pimslot.Announcement{
					ID: fmt.Sprint(i), Service: "callout", Slots: 8, Sequence: 1,
				}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				attempt := fmt.Sprint(n)
				allocator.Acquire(second, "north-1", pimslot.Acquire{Attempt: attempt, Service: "callout", TTL: second, Weight: 1})
				allocator.Release(second, pimslot.Release{Attempt: attempt, Latency: time.Millisecond})
				allocator.Take()
			}
		})
	}
}
