package pimrequest_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/route/pimrequest"
	"github.com/pimentoswitch/pimentoswitch/internal/route/pimslot"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimdomain"
)

// harness drives a router and collects its actions.
type harness struct {
	*testing.T
	router  *pimrequest.Router
	now     time.Duration
	actions []pimrequest.Action
}

func newHarness(t *testing.T) *harness {
	return &harness{T: t, router: pimrequest.NewRouter("north-1-a"), now: time.Second}
}

func (h *harness) start(idempotent bool) {
	h.router.Start(h.now, pimrequest.Request{
		Token: 7, RequestID: "north.1", Home: "north", Service: "callout", Idempotent: idempotent,
		CallerSuppliedID: true, TTL: 2 * time.Second,
	}, []string{"north", "south"})
	h.takeActions()
}

func (h *harness) takeActions() { h.actions = append(h.actions, h.router.Take()...) }

func find[A pimrequest.Action](h *harness) (A, bool) {
	var found A
	ok := false
	for _, action := range h.actions {
		if a, is := action.(A); is {
			found, ok = a, true
		}
	}
	return found, ok
}

func mustFind[A pimrequest.Action](h *harness) A {
	h.Helper()
	found, ok := find[A](h)
	assert.Assert(h, ok, "no %T in %v", found, h.actions)
	return found
}

func (h *harness) answerJournal(result pimdomain.Result) {
	h.Helper()
	h.router.OnJournal(h.now, mustFind[pimrequest.BeginJournal](h).PendingID, result, pimcode.OK)
	h.takeActions()
}

func (h *harness) grantSlot() pimrequest.SendAttempt {
	h.Helper()
	acquire := mustFind[pimrequest.AcquireSlot](h)
	h.router.OnSlot(h.now, acquire.Domain, pimslot.Reply{
		Attempt: acquire.Acquire.Attempt, Endpoint: "e", Address: "e", SendWithin: pimslot.SendWithin, Term: 5,
	})
	h.takeActions()
	return mustFind[pimrequest.SendAttempt](h)
}

func (h *harness) endAttempt(attempt string, kind pimrequest.ResultKind) {
	h.router.OnResult(h.now, pimrequest.Result{Attempt: attempt, Kind: kind, Payload: []byte("answer")})
	h.takeActions()
}

func (h *harness) advance(span time.Duration) {
	for end := h.now + span; h.now < end; {
		h.now += 10 * time.Millisecond
		h.router.Tick(h.now)
	}
	h.takeActions()
}

func (h *harness) assertAnswer(outcome pimrequest.Outcome, code pimcode.Code) {
	h.Helper()
	answer := mustFind[pimrequest.Finish](h).Answer
	assert.Equal(h, answer.Outcome, outcome)
	assert.Equal(h, answer.Code, code)
	assert.Equal(h, h.router.Len(), 0)
}

func TestNonIdempotent(t *testing.T) {
	proceed := pimdomain.Result{Proceed: true}
	t.Run("is sent only after the journal has recorded it", func(t *testing.T) {
		h := newHarness(t)
		h.start(false)
		_, requested := find[pimrequest.AcquireSlot](h)
		assert.Assert(t, !requested)
		h.answerJournal(proceed)
		h.endAttempt(h.grantSlot().Attempt, pimrequest.ResultComplete)
		h.assertAnswer(pimrequest.OutcomeRan, pimcode.OK)
		assert.Equal(t, mustFind[pimrequest.EndJournal](h).End.State, pimdomain.RequestExecuted)
	})
	t.Run("gets the recorded answer when it ran before", func(t *testing.T) {
		h := newHarness(t)
		h.start(false)
		h.answerJournal(pimdomain.Result{
			Entry: pimdomain.JournalEntry{State: pimdomain.RequestExecuted, Answer: []byte("first")},
		})
		h.assertAnswer(pimrequest.OutcomeRan, pimcode.OK)
		assert.Equal(t, string(mustFind[pimrequest.Finish](h).Answer.Payload), "first")
	})
	for name, kind := range map[string]pimrequest.ResultKind{
		"lost": pimrequest.ResultLost, "incomplete": pimrequest.ResultIncomplete, "mismatched": pimrequest.ResultMismatched,
	} {
		t.Run("is never sent again after an answer that is "+name, func(t *testing.T) {
			h := newHarness(t)
			h.start(false)
			h.answerJournal(proceed)
			h.endAttempt(h.grantSlot().Attempt, kind)
			assert.Equal(t, mustFind[pimrequest.Finish](h).Answer.Outcome, pimrequest.OutcomeUnknown)
			assert.Equal(t, mustFind[pimrequest.EndJournal](h).End.State, pimdomain.RequestOutcomeUnknown)
			assert.Equal(t, mustFind[pimrequest.ReleaseSlot](h).Release.Usage, pimslot.UsageLost)
		})
	}
	t.Run("is tried again when nothing was sent", func(t *testing.T) {
		h := newHarness(t)
		h.start(false)
		h.answerJournal(proceed)
		h.endAttempt(h.grantSlot().Attempt, pimrequest.ResultNotSent)
		h.actions = nil
		h.advance(50 * time.Millisecond)
		h.endAttempt(h.grantSlot().Attempt, pimrequest.ResultComplete)
		h.assertAnswer(pimrequest.OutcomeRan, pimcode.OK)
	})
	t.Run("a late complete answer is recorded in the journal", func(t *testing.T) {
		h := newHarness(t)
		h.start(false)
		h.answerJournal(proceed)
		attempt := h.grantSlot().Attempt
		h.advance(3 * time.Second)
		h.assertAnswer(pimrequest.OutcomeUnknown, pimcode.DeadlineExceeded)
		h.endAttempt(attempt, pimrequest.ResultComplete)
		assert.Equal(t, mustFind[pimrequest.EndJournal](h).End.State, pimdomain.RequestExecuted)
	})
	t.Run("its outcome is unknown when the home failure domain can't be reached", func(t *testing.T) {
		h := newHarness(t)
		h.start(false)
		h.advance(3 * time.Second)
		h.assertAnswer(pimrequest.OutcomeUnknown, pimcode.HomeUnreachable)
	})
	t.Run("its outcome is not-run when no slot is granted before the deadline", func(t *testing.T) {
		h := newHarness(t)
		h.start(false)
		h.answerJournal(proceed)
		h.advance(3 * time.Second)
		assert.Equal(t, mustFind[pimrequest.Finish](h).Answer.Outcome, pimrequest.OutcomeNotRun)
		assert.Equal(t, mustFind[pimrequest.EndJournal](h).End.State, pimdomain.RequestNotExecuted)
	})
}

func TestIdempotent(t *testing.T) {
	t.Run("is tried again after a lost answer", func(t *testing.T) {
		h := newHarness(t)
		h.start(true)
		h.endAttempt(h.grantSlot().Attempt, pimrequest.ResultLost)
		h.actions = nil
		h.advance(50 * time.Millisecond)
		h.endAttempt(h.grantSlot().Attempt, pimrequest.ResultComplete)
		h.assertAnswer(pimrequest.OutcomeRan, pimcode.OK)
	})
	t.Run("its outcome is unknown when the answer of the last attempt was lost", func(t *testing.T) {
		h := newHarness(t)
		h.start(true)
		h.endAttempt(h.grantSlot().Attempt, pimrequest.ResultLost)
		h.advance(3 * time.Second)
		assert.Equal(t, mustFind[pimrequest.Finish](h).Answer.Outcome, pimrequest.OutcomeUnknown)
	})
	t.Run("retries stay within the budget", func(t *testing.T) {
		h := newHarness(t)
		sends := 0
		for range 200 {
			h.actions = nil
			h.start(true)
			for {
				send := h.grantSlot()
				sends++
				h.actions = nil
				h.endAttempt(send.Attempt, pimrequest.ResultNotSent)
				if _, done := find[pimrequest.Finish](h); done {
					break
				}
				h.advance(30 * time.Millisecond)
			}
		}
		assert.Assert(t, sends <= 200+21, "%d sends for 200 requests that all fail", sends)
	})
}

func TestSlotReplies(t *testing.T) {
	t.Run("a grant that comes too late is released", func(t *testing.T) {
		h := newHarness(t)
		h.start(true)
		acquire := mustFind[pimrequest.AcquireSlot](h)
		h.now += pimslot.SendWithin
		h.router.OnSlot(h.now, acquire.Domain, pimslot.Reply{
			Attempt: acquire.Acquire.Attempt, Endpoint: "e", SendWithin: pimslot.SendWithin,
		})
		h.takeActions()
		_, sent := find[pimrequest.SendAttempt](h)
		assert.Assert(t, !sent)
		assert.Equal(t, mustFind[pimrequest.ReleaseSlot](h).Release.Usage, pimslot.UsageNotSent)
	})
	t.Run("a grant of a replaced leader is ignored", func(t *testing.T) {
		h := newHarness(t)
		h.start(true)
		h.router.HeldCredits(h.now, "north", 6)
		acquire := mustFind[pimrequest.AcquireSlot](h)
		accepted := h.router.OnSlot(h.now, "north", pimslot.Reply{Attempt: acquire.Acquire.Attempt, Term: 5})
		assert.Assert(t, !accepted)
	})
	t.Run("a request goes to the next failure domain when one is full", func(t *testing.T) {
		h := newHarness(t)
		h.start(true)
		acquire := mustFind[pimrequest.AcquireSlot](h)
		assert.Equal(t, acquire.Domain, "north")
		h.router.OnSlot(h.now, "north", pimslot.Reply{Attempt: acquire.Acquire.Attempt, Code: pimcode.QueueFull})
		h.takeActions()
		assert.Equal(t, mustFind[pimrequest.AcquireSlot](h).Domain, "south")
	})
}

func BenchmarkRequest(b *testing.B) {
	router := pimrequest.NewRouter("north-1-a")
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		router.Start(time.Second, pimrequest.Request{
			RequestID: "north.1", Service: "callout", Idempotent: true, TTL: time.Second,
		}, []string{"north"})
		attempt := fmt.Sprintf("north-1-a-%d-1", n)
		router.OnSlot(time.Second, "north", pimslot.Reply{Attempt: attempt, Endpoint: "e", SendWithin: time.Second})
		router.OnResult(time.Second, pimrequest.Result{Attempt: attempt})
		router.Take()
	}
}
