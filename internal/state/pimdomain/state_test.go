package pimdomain_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimdomain"
)

var task = pimconfig.TaskID{Job: "quotes", Index: 1}

func apply(t *testing.T, s *pimdomain.State, command pimdomain.Command) pimdomain.Result {
	t.Helper()
	data, err := pimdomain.Encode(command)
	assert.NilError(t, err)
	return s.Apply(data)
}

func assign(epoch, expected uint64, worker string) pimdomain.AssignTasks {
	return pimdomain.AssignTasks{Assignments: []pimdomain.Assignment{{Task: task, Epoch: epoch, ExpectedIncarnation: expected, Worker: worker}}}
}

func end(epoch, incarnation uint64, outcome pimdomain.Outcome) pimdomain.EndTasks {
	return pimdomain.EndTasks{Endings: []pimdomain.Ending{{Task: task, Epoch: epoch, Incarnation: incarnation, Outcome: outcome, Checkpoint: 7}}}
}

func TestAssign(t *testing.T) {
	t.Run("the second of two assignments of one incarnation has no effect", func(t *testing.T) {
		s := pimdomain.NewState()
		apply(t, s, assign(3, 0, "w1"))
		apply(t, s, assign(3, 0, "w2"))
		assert.Equal(t, s.Tasks[task].Worker, "w1")
		assert.Equal(t, s.Tasks[task].Incarnation, uint64(1))
	})
	t.Run("an assignment decided before the incarnation ended has no effect", func(t *testing.T) {
		s := pimdomain.NewState()
		apply(t, s, assign(3, 0, "w1"))
		apply(t, s, end(3, 1, pimdomain.OutcomeStopped))
		apply(t, s, assign(3, 0, "w2"))
		assert.Equal(t, s.Tasks[task].Worker, "")
		apply(t, s, assign(3, 1, "w2"))
		assert.Equal(t, s.Tasks[task].Worker, "w2")
		assert.Equal(t, s.Tasks[task].Checkpoint, uint64(7))
	})
	t.Run("a finished or released task is not assigned again", func(t *testing.T) {
		s := pimdomain.NewState()
		apply(t, s, assign(3, 0, "w1"))
		apply(t, s, end(3, 1, pimdomain.OutcomeFinished))
		apply(t, s, assign(3, 1, "w2"))
		assert.Equal(t, s.Tasks[task].Worker, "")
		s = pimdomain.NewState()
		apply(t, s, pimdomain.ReleaseTasks{Tasks: map[pimconfig.TaskID]uint64{task: 3}})
		apply(t, s, assign(3, 0, "w2"))
		assert.Equal(t, s.Tasks[task].Worker, "")
	})
	t.Run("a running task is not released", func(t *testing.T) {
		s := pimdomain.NewState()
		apply(t, s, assign(3, 0, "w1"))
		apply(t, s, pimdomain.ReleaseTasks{Tasks: map[pimconfig.TaskID]uint64{task: 3}})
		assert.Assert(t, !s.Tasks[task].Released)
	})
	t.Run("an assignment decided on a configuration before a task was forgotten has no effect", func(t *testing.T) {
		s := pimdomain.NewState()
		apply(t, s, pimdomain.ForgetTasks{Version: 9, Tasks: map[pimconfig.TaskID]uint64{task: 3}})
		old := assign(3, 0, "w1")
		old.Version = 8
		apply(t, s, old)
		assert.Equal(t, s.Tasks[task].Worker, "")
	})
}

func TestEnd(t *testing.T) {
	t.Run("the end of an old incarnation has no effect", func(t *testing.T) {
		s := pimdomain.NewState()
		apply(t, s, assign(3, 0, "w1"))
		apply(t, s, end(3, 1, pimdomain.OutcomeLost))
		apply(t, s, assign(3, 1, "w2"))
		apply(t, s, end(3, 1, pimdomain.OutcomeFinished))
		assert.Equal(t, s.Tasks[task].Worker, "w2")
	})
	t.Run("a finish reported late replaces lost while no other incarnation was started", func(t *testing.T) {
		s := pimdomain.NewState()
		apply(t, s, assign(3, 0, "w1"))
		apply(t, s, end(3, 1, pimdomain.OutcomeLost))
		apply(t, s, end(3, 1, pimdomain.OutcomeFinished))
		assert.Equal(t, s.Tasks[task].LastOutcome, pimdomain.OutcomeFinished)
	})
	t.Run("a restored snapshot has the same tasks and index by worker", func(t *testing.T) {
		s := pimdomain.NewState()
		apply(t, s, assign(3, 0, "w1"))
		data, err := s.Snapshot()
		assert.NilError(t, err)
		restored, err := pimdomain.Restore(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, restored.TasksOn("w1"), []pimconfig.TaskID{task})
		assert.DeepEqual(t, restored.Tasks, s.Tasks)
	})
}

func TestJournal(t *testing.T) {
	begin := func(attempt string) pimdomain.BeginRequest {
		return pimdomain.BeginRequest{RequestID: "north.1", Attempt: attempt, Digest: "d"}
	}
	endRequest := func(attempt string, state pimdomain.RequestState) pimdomain.EndRequest {
		return pimdomain.EndRequest{RequestID: "north.1", Attempt: attempt, State: state, Answer: []byte("first")}
	}
	t.Run("only one attempt proceeds, also if it is proposed twice", func(t *testing.T) {
		s := pimdomain.NewState()
		assert.Assert(t, apply(t, s, begin("a")).Proceed)
		assert.Assert(t, apply(t, s, begin("a")).Proceed)
		assert.Equal(t, apply(t, s, begin("b")).Code, pimcode.InProgress)
	})
	t.Run("another attempt may proceed after not executed but not after outcome unknown", func(t *testing.T) {
		s := pimdomain.NewState()
		apply(t, s, begin("a"))
		apply(t, s, endRequest("a", pimdomain.RequestNotExecuted))
		assert.Assert(t, apply(t, s, begin("b")).Proceed)
		apply(t, s, endRequest("b", pimdomain.RequestOutcomeUnknown))
		result := apply(t, s, begin("c"))
		assert.Assert(t, !result.Proceed)
		assert.Equal(t, result.Code, pimcode.OutcomeUnknown)
	})
	t.Run("a late answer replaces outcome unknown, and nothing replaces executed", func(t *testing.T) {
		s := pimdomain.NewState()
		apply(t, s, begin("a"))
		apply(t, s, endRequest("a", pimdomain.RequestOutcomeUnknown))
		apply(t, s, endRequest("a", pimdomain.RequestExecuted))
		apply(t, s, endRequest("a", pimdomain.RequestNotExecuted))
		result := apply(t, s, begin("b"))
		assert.Equal(t, result.Entry.State, pimdomain.RequestExecuted)
		assert.Equal(t, string(result.Entry.Answer), "first")
	})
	t.Run("a journal entry is removed only after the retention time", func(t *testing.T) {
		s := pimdomain.NewState()
		apply(t, s, begin("a"))
		apply(t, s, pimdomain.AdvanceClock{By: time.Hour, JournalRetention: time.Hour})
		assert.Equal(t, len(s.Journal), 1)
		apply(t, s, pimdomain.AdvanceClock{By: time.Second, JournalRetention: time.Hour})
		assert.Equal(t, len(s.Journal), 0)
	})
}
