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

// harness drives one router and keeps its newest actions.
type harness struct {
	*testing.T
	router  *pimrequest.Router
	now     time.Duration
	actions []pimrequest.Action
}

func newHarness(t *testing.T) *harness {
	return &harness{T: t, router: pimrequest.NewRouter("north-1-a"), now: time.Second}
}

func (b *harness) start(idempotent bool) {
	b.router.Start(b.now, pimrequest.Request{
		Token: 7, RequestID: "north.1", Home: "north", Service: "callout", Idempotent: idempotent, CallerSuppliedID: true, TTL: 2 * time.Second,
	}, []string{"north", "south"})
	b.takeActions()
}

func (b *harness) takeActions() { b.actions = append(b.actions, b.router.Take()...) }

func find[A pimrequest.Action](b *harness) (A, bool) {
	var found A
	ok := false
	for _, action := range b.actions {
		if a, is := action.(A); is {
			found, ok = a, true
		}
	}
	return found, ok
}

func mustFind[A pimrequest.Action](b *harness) A {
	b.Helper()
	found, ok := find[A](b)
	assert.Assert(b, ok, "no %T in %v", found, b.actions)
	return found
}

func (b *harness) answerJournal(result pimdomain.Result) {
	b.Helper()
	b.router.OnJournal(b.now, mustFind[pimrequest.BeginJournal](b).Row, result, pimcode.OK)
	b.takeActions()
}

func (b *harness) grantSlot() pimrequest.SendAttempt {
	b.Helper()
	ask := mustFind[pimrequest.AcquireSlot](b)
	b.router.OnSlot(b.now, ask.Domain, pimslot.Reply{
		Attempt: ask.Acquire.Attempt, Endpoint: "e", Address: "e", SendWithin: pimslot.SendWithin, Term: 5,
	})
	b.takeActions()
	return mustFind[pimrequest.SendAttempt](b)
}

func (b *harness) endAttempt(attempt string, kind pimrequest.ResultKind) {
	b.router.OnResult(b.now, pimrequest.Result{Attempt: attempt, Kind: kind, Payload: []byte("answer")})
	b.takeActions()
}

func (b *harness) advance(span time.Duration) {
	for end := b.now + span; b.now < end; {
		b.now += 10 * time.Millisecond
		b.router.Tick(b.now)
	}
	b.takeActions()
}

func (b *harness) assertAnswer(outcome pimrequest.Outcome, code pimcode.Code) {
	b.Helper()
	answer := mustFind[pimrequest.Finish](b).Answer
	assert.Equal(b, answer.Outcome, outcome)
	assert.Equal(b, answer.Code, code)
	assert.Equal(b, b.router.Len(), 0)
}

func TestNonIdempotent(t *testing.T) {
	proceed := pimdomain.Result{Proceed: true}
	t.Run("is sent only after the journal has it", func(t *testing.T) {
		b := newHarness(t)
		b.start(false)
		_, asked := find[pimrequest.AcquireSlot](b)
		assert.Assert(t, !asked)
		b.answerJournal(proceed)
		b.endAttempt(b.grantSlot().Attempt, pimrequest.ResultComplete)
		b.assertAnswer(pimrequest.OutcomeRan, pimcode.OK)
		assert.Equal(t, mustFind[pimrequest.EndJournal](b).End.State, pimdomain.RequestExecuted)
	})
	t.Run("gets the first answer when it ran before", func(t *testing.T) {
		b := newHarness(t)
		b.start(false)
		b.answerJournal(pimdomain.Result{Entry: pimdomain.JournalEntry{State: pimdomain.RequestExecuted, Answer: []byte("first")}})
		b.assertAnswer(pimrequest.OutcomeRan, pimcode.OK)
		assert.Equal(t, string(mustFind[pimrequest.Finish](b).Answer.Payload), "first")
	})
	for name, kind := range map[string]pimrequest.ResultKind{
		"lost": pimrequest.ResultLost, "incomplete": pimrequest.ResultIncomplete, "crossed": pimrequest.ResultMismatched,
	} {
		t.Run("is never sent again after an answer that is "+name, func(t *testing.T) {
			b := newHarness(t)
			b.start(false)
			b.answerJournal(proceed)
			b.endAttempt(b.grantSlot().Attempt, kind)
			assert.Equal(t, mustFind[pimrequest.Finish](b).Answer.Outcome, pimrequest.OutcomeUnknown)
			assert.Equal(t, mustFind[pimrequest.EndJournal](b).End.State, pimdomain.RequestOutcomeUnknown)
			assert.Equal(t, mustFind[pimrequest.ReleaseSlot](b).Release.Usage, pimslot.UsageLost)
		})
	}
	t.Run("is tried again when nothing was sent", func(t *testing.T) {
		b := newHarness(t)
		b.start(false)
		b.answerJournal(proceed)
		b.endAttempt(b.grantSlot().Attempt, pimrequest.ResultNotSent)
		b.actions = nil
		b.advance(50 * time.Millisecond)
		b.endAttempt(b.grantSlot().Attempt, pimrequest.ResultComplete)
		b.assertAnswer(pimrequest.OutcomeRan, pimcode.OK)
	})
	t.Run("a late whole answer reaches the journal", func(t *testing.T) {
		b := newHarness(t)
		b.start(false)
		b.answerJournal(proceed)
		attempt := b.grantSlot().Attempt
		b.advance(3 * time.Second)
		b.assertAnswer(pimrequest.OutcomeUnknown, pimcode.DeadlineExceeded)
		b.endAttempt(attempt, pimrequest.ResultComplete)
		assert.Equal(t, mustFind[pimrequest.EndJournal](b).End.State, pimdomain.RequestExecuted)
	})
	t.Run("its outcome is unknown when the home can't be reached", func(t *testing.T) {
		b := newHarness(t)
		b.start(false)
		b.advance(3 * time.Second)
		b.assertAnswer(pimrequest.OutcomeUnknown, pimcode.HomeUnreachable)
	})
	t.Run("is not-run when no slot comes before the deadline", func(t *testing.T) {
		b := newHarness(t)
		b.start(false)
		b.answerJournal(proceed)
		b.advance(3 * time.Second)
		assert.Equal(t, mustFind[pimrequest.Finish](b).Answer.Outcome, pimrequest.OutcomeNotRun)
		assert.Equal(t, mustFind[pimrequest.EndJournal](b).End.State, pimdomain.RequestNotExecuted)
	})
}

func TestIdempotent(t *testing.T) {
	t.Run("is tried again after a lost answer", func(t *testing.T) {
		b := newHarness(t)
		b.start(true)
		b.endAttempt(b.grantSlot().Attempt, pimrequest.ResultLost)
		b.actions = nil
		b.advance(50 * time.Millisecond)
		b.endAttempt(b.grantSlot().Attempt, pimrequest.ResultComplete)
		b.assertAnswer(pimrequest.OutcomeRan, pimcode.OK)
	})
	t.Run("is unknown, not not-run, when a lost attempt was the last", func(t *testing.T) {
		b := newHarness(t)
		b.start(true)
		b.endAttempt(b.grantSlot().Attempt, pimrequest.ResultLost)
		b.advance(3 * time.Second)
		assert.Equal(t, mustFind[pimrequest.Finish](b).Answer.Outcome, pimrequest.OutcomeUnknown)
	})
	t.Run("retries stay inside the budget", func(t *testing.T) {
		b := newHarness(t)
		sends := 0
		for range 200 {
			b.actions = nil
			b.start(true)
			for {
				send := b.grantSlot()
				sends++
				b.actions = nil
				b.endAttempt(send.Attempt, pimrequest.ResultNotSent)
				if _, done := find[pimrequest.Finish](b); done {
					break
				}
				b.advance(30 * time.Millisecond)
			}
		}
		assert.Assert(t, sends <= 200+21, "%d sends for 200 requests that all fail", sends)
	})
}

func TestSlotAnswers(t *testing.T) {
	t.Run("a grant that comes too late is given back", func(t *testing.T) {
		b := newHarness(t)
		b.start(true)
		ask := mustFind[pimrequest.AcquireSlot](b)
		b.now += pimslot.SendWithin
		b.router.OnSlot(b.now, ask.Domain, pimslot.Reply{Attempt: ask.Acquire.Attempt, Endpoint: "e", SendWithin: pimslot.SendWithin})
		b.takeActions()
		_, sent := find[pimrequest.SendAttempt](b)
		assert.Assert(t, !sent)
		assert.Equal(t, mustFind[pimrequest.ReleaseSlot](b).Release.Usage, pimslot.UsageNotSent)
	})
	t.Run("a grant of a replaced leader is ignored", func(t *testing.T) {
		b := newHarness(t)
		b.start(true)
		b.router.HeldCredits(b.now, "north", 6)
		ask := mustFind[pimrequest.AcquireSlot](b)
		taken := b.router.OnSlot(b.now, "north", pimslot.Reply{Attempt: ask.Acquire.Attempt, Term: 5})
		assert.Assert(t, !taken)
	})
	t.Run("a full failure domain sends the request to the next", func(t *testing.T) {
		b := newHarness(t)
		b.start(true)
		ask := mustFind[pimrequest.AcquireSlot](b)
		assert.Equal(t, ask.Domain, "north")
		b.router.OnSlot(b.now, "north", pimslot.Reply{Attempt: ask.Acquire.Attempt, Code: pimcode.QueueFull})
		b.takeActions()
		assert.Equal(t, mustFind[pimrequest.AcquireSlot](b).Domain, "south")
	})
}

func BenchmarkRequest(b *testing.B) {
	router := pimrequest.NewRouter("north-1-a")
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		router.Start(time.Second, pimrequest.Request{RequestID: "north.1", Service: "callout", Idempotent: true, TTL: time.Second}, []string{"north"})
		attempt := fmt.Sprintf("north-1-a-%d-1", n)
		router.OnSlot(time.Second, "north", pimslot.Reply{Attempt: attempt, Endpoint: "e", SendWithin: time.Second})
		router.OnResult(time.Second, pimrequest.Result{Attempt: attempt})
		router.Take()
	}
}
