// Package pimdomain implements the replicated state machine of a failure domain's group:
// which worker runs which incarnation of a task, the journal of non-idempotent requests, and
// the quarantined workers. It is deterministic: the same entries give the same state.
package pimdomain

import (
	"maps"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimcodec"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimmanifest"
)

type (
	// Outcome is how an incarnation of a task ended. OutcomeLost means that its worker
	// stopped reporting.
	Outcome uint8

	// RequestState is the state of a journaled request.
	RequestState uint8

	// Task is the state of a task that this failure domain owns or owned. Worker is empty
	// while no incarnation runs. A released task is never started again in the same epoch.
	// Needs are the resources that the last incarnation was started with, which the manifest
	// may have changed since. Checkpoint is the highest checkpoint number reported.
	Task struct {
		Epoch       uint64  `msgpack:"e"`
		Incarnation uint64  `msgpack:"i"`
		Worker      string  `msgpack:"w"`
		Checkpoint  uint64  `msgpack:"c"`
		LastOutcome Outcome `msgpack:"o"`
		Failures    int     `msgpack:"f"`
		Released    bool    `msgpack:"r"`

		Needs pimmanifest.Resources `msgpack:"n"`
	}

	// JournalEntry is the journal's record of a non-idempotent request. BegunAt is a reading
	// of State.Clock; Answer is the endpoint's answer, if the request was executed.
	JournalEntry struct {
		Attempt string        `msgpack:"a"`
		Digest  string        `msgpack:"d"`
		State   RequestState  `msgpack:"s"`
		Code    pimcode.Code  `msgpack:"c"`
		Answer  []byte        `msgpack:"b"`
		BegunAt time.Duration `msgpack:"g"`
	}

	// State is the whole state of the group. Its snapshot stores the exported fields under
	// their Go names, so these must not be renamed.
	State struct {
		// Clock is the sum of the times that the group's leaders added with AdvanceClock.
		Clock time.Duration
		// ConfigVersion is the newest configuration version on which a task was forgotten.
		// Assignments decided on an older one are ignored, since the task may still look owned there.
		ConfigVersion uint64
		Tasks         map[pimconfig.TaskID]Task
		// Journal is keyed by request id, Quarantined by worker id.
		Journal     map[string]JournalEntry
		Quarantined map[string]bool

		// byWorker indexes the running tasks by worker. It is derived from Tasks.
		byWorker map[string]map[pimconfig.TaskID]bool
	}

	// Command is an entry of the group's log.
	Command interface{ isCommand() }

	// Assignment starts the next incarnation of a task on a worker, if the task is idle in
	// the given epoch and its last incarnation is ExpectedIncarnation.
	Assignment struct {
		Task                pimconfig.TaskID `msgpack:"t"`
		Epoch               uint64           `msgpack:"e"`
		ExpectedIncarnation uint64           `msgpack:"i"`
		Worker              string           `msgpack:"w"`
		Checkpoint          uint64           `msgpack:"c"`

		Needs pimmanifest.Resources `msgpack:"n"`
	}

	// Ending records the end of an incarnation of a task.
	Ending struct {
		Task        pimconfig.TaskID `msgpack:"t"`
		Epoch       uint64           `msgpack:"e"`
		Incarnation uint64           `msgpack:"i"`
		Outcome     Outcome          `msgpack:"o"`
		Checkpoint  uint64           `msgpack:"c"`
	}

	// AssignTasks assigns tasks to workers, each independently of the others. Version is the
	// configuration version on which the assignments were decided.
	AssignTasks struct {
		Version     uint64       `msgpack:"v"`
		Assignments []Assignment `msgpack:"a"`
	}

	// EndTasks ends incarnations. An incarnation that no longer runs is skipped, unless
	// Task.AcceptsLateEnd holds.
	EndTasks struct {
		Endings []Ending `msgpack:"e"`
	}

	// ReleaseTasks gives up tasks that don't run, so that another failure domain may own
	// them. Tasks maps each to the epoch in which it is released.
	ReleaseTasks struct {
		Tasks map[pimconfig.TaskID]uint64 `msgpack:"t"`
	}

	// ForgetTasks removes tasks that don't run and that this failure domain no longer owns in
	// configuration Version. Tasks maps each to the last epoch to remove.
	ForgetTasks struct {
		Version uint64                      `msgpack:"v"`
		Tasks   map[pimconfig.TaskID]uint64 `msgpack:"t"`
	}

	// BeginRequest records that a non-idempotent request is about to be sent. Attempt
	// identifies this attempt and Digest the content, so that a reused id is detected.
	BeginRequest struct {
		RequestID string `msgpack:"r"`
		Attempt   string `msgpack:"a"`
		Digest    string `msgpack:"d"`
	}

	// EndRequest records how an attempt of a request ended.
	EndRequest struct {
		RequestID string       `msgpack:"r"`
		Attempt   string       `msgpack:"a"`
		State     RequestState `msgpack:"s"`
		Code      pimcode.Code `msgpack:"c"`
		Answer    []byte       `msgpack:"b"`
	}

	// AdvanceClock adds By to the state's clock and removes journal entries older than
	// JournalRetention.
	AdvanceClock struct {
		By               time.Duration `msgpack:"b"`
		JournalRetention time.Duration `msgpack:"k"`
	}

	// QuarantineWorker puts a worker into quarantine or takes it out.
	QuarantineWorker struct {
		Worker     string `msgpack:"w"`
		Quarantine bool   `msgpack:"a"`
	}

	// Result is the result of a command. Proceed is set if the request of a BeginRequest may
	// be sent. It is sent between daemons under its Go field names.
	Result struct {
		Code    pimcode.Code
		Proceed bool
		Entry   JournalEntry
	}
)

// Outcomes of an incarnation.
const (
	OutcomeNone Outcome = iota
	OutcomeFinished
	OutcomeFailed
	OutcomeStopped
	OutcomeLost
)

// States of a journaled request. RequestOutcomeUnknown means that it may have been executed.
const (
	RequestBegun RequestState = iota
	RequestExecuted
	RequestOutcomeUnknown
	RequestNotExecuted
)

// Limits of the journal. A longer answer is not kept and yields AnswerNotKept.
const (
	MaxJournalEntries = 200_000
	MaxAnswerBytes    = 64 << 10
)

var codec = pimcodec.NewCodec([]pimcodec.Kind{
	{Name: "assign-tasks", Zero: AssignTasks{}},
	{Name: "end-tasks", Zero: EndTasks{}},
	{Name: "release-tasks", Zero: ReleaseTasks{}},
	{Name: "forget-tasks", Zero: ForgetTasks{}},
	{Name: "begin-request", Zero: BeginRequest{}},
	{Name: "end-request", Zero: EndRequest{}},
	{Name: "advance-clock", Zero: AdvanceClock{}},
	{Name: "quarantine-worker", Zero: QuarantineWorker{}},
})

func (AssignTasks) isCommand()      {}
func (EndTasks) isCommand()         {}
func (ReleaseTasks) isCommand()     {}
func (ForgetTasks) isCommand()      {}
func (BeginRequest) isCommand()     {}
func (EndRequest) isCommand()       {}
func (AdvanceClock) isCommand()     {}
func (QuarantineWorker) isCommand() {}

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"none", "finished", "failed", "stopped", "lost"}[o]
}

// NewState returns an empty state.
func NewState() *State {
	s := &State{}
	s.initMaps()
	return s
}

func (s *State) initMaps() {
	if s.Tasks == nil {
		s.Tasks = map[pimconfig.TaskID]Task{}
	}
	if s.Journal == nil {
		s.Journal = map[string]JournalEntry{}
	}
	if s.Quarantined == nil {
		s.Quarantined = map[string]bool{}
	}
	s.byWorker = map[string]map[pimconfig.TaskID]bool{}
	for id, row := range s.Tasks {
		s.indexTask(id, row.Worker)
	}
}

func (s *State) indexTask(id pimconfig.TaskID, worker string) {
	if worker == "" {
		return
	}
	if s.byWorker[worker] == nil {
		s.byWorker[worker] = map[pimconfig.TaskID]bool{}
	}
	s.byWorker[worker][id] = true
}

func (s *State) unindexTask(id pimconfig.TaskID, worker string) {
	delete(s.byWorker[worker], id)
	if len(s.byWorker[worker]) == 0 {
		delete(s.byWorker, worker)
	}
}

// TasksOn returns the tasks that run on a worker, sorted by id.
func (s *State) TasksOn(worker string) []pimconfig.TaskID {
	return slices.SortedFunc(maps.Keys(s.byWorker[worker]), pimconfig.CompareTasks)
}

// BusyWorkers returns the workers that run tasks, sorted by id.
func (s *State) BusyWorkers() []string { return slices.Sorted(maps.Keys(s.byWorker)) }

// Encode returns a command as the data of a log entry.
func Encode(command Command) ([]byte, error) { return codec.Encode(command) }

// Snapshot returns the encoded state.
func (s *State) Snapshot() ([]byte, error) { return msgpack.Marshal(s) }

// Restore decodes a state that Snapshot returned; empty data gives an empty state.
func Restore(data []byte) (*State, error) {
	s := &State{}
	if len(data) > 0 {
		if err := msgpack.Unmarshal(data, s); err != nil {
			return nil, pimcode.New(pimcode.LogCorrupt, "failure domain snapshot: %v", err)
		}
	}
	s.initMaps()
	return s, nil
}

// Apply applies the data of one log entry. Commands whose conditions don't hold have no effect.
func (s *State) Apply(data []byte) Result {
	command, err := codec.Decode(data)
	if err != nil {
		return Result{Code: pimcode.Of(err)}
	}
	switch c := command.(type) {
	case AssignTasks:
		if c.Version >= s.ConfigVersion {
			s.assignTasks(c.Assignments)
		}
	case EndTasks:
		s.endTasks(c.Endings)
	case ReleaseTasks:
		s.releaseTasks(c.Tasks)
	case ForgetTasks:
		s.ConfigVersion = max(s.ConfigVersion, c.Version)
		s.forgetTasks(c.Tasks)
	case BeginRequest:
		return s.beginRequest(c)
	case EndRequest:
		return s.endRequest(c)
	case AdvanceClock:
		s.advanceClock(c)
	case QuarantineWorker:
		s.setQuarantine(c)
	}
	return Result{}
}

func (s *State) assignTasks(assignments []Assignment) {
	for _, a := range assignments {
		row := s.Tasks[a.Task]
		if a.Epoch > row.Epoch && row.Worker == "" {
			row = Task{Epoch: a.Epoch, Checkpoint: a.Checkpoint}
		}
		startable := row.Worker == "" && !row.Released && row.LastOutcome != OutcomeFinished
		if row.Epoch != a.Epoch || row.Incarnation != a.ExpectedIncarnation || !startable {
			continue
		}
		row.Incarnation++
		row.Worker = a.Worker
		row.Needs = a.Needs
		s.indexTask(a.Task, a.Worker)
		s.Tasks[a.Task] = row
	}
}

func (s *State) endTasks(endings []Ending) {
	for _, e := range endings {
		row, ok := s.Tasks[e.Task]
		if !ok || row.Epoch != e.Epoch || row.Incarnation != e.Incarnation {
			continue
		}
		if row.Worker == "" && !row.AcceptsLateEnd(e.Outcome) {
			continue
		}
		s.unindexTask(e.Task, row.Worker)
		row.Worker = ""
		row.LastOutcome = e.Outcome
		row.Checkpoint = max(row.Checkpoint, e.Checkpoint)
		if e.Outcome == OutcomeFailed {
			row.Failures++
		}
		s.Tasks[e.Task] = row
	}
}

// AcceptsLateEnd reports whether a worker's late report of how its incarnation ended may
// replace OutcomeLost. It may as long as no other incarnation was started.
func (t Task) AcceptsLateEnd(outcome Outcome) bool {
	return t.Worker == "" && t.LastOutcome == OutcomeLost && !t.Released &&
		(outcome == OutcomeFinished || outcome == OutcomeStopped)
}

func (s *State) releaseTasks(tasks map[pimconfig.TaskID]uint64) {
	for id, epoch := range tasks {
		row := s.Tasks[id]
		if row.Worker != "" || row.Epoch > epoch || row.LastOutcome == OutcomeFinished {
			continue
		}
		row.Epoch = epoch
		row.Released = true
		s.Tasks[id] = row
	}
}

func (s *State) forgetTasks(tasks map[pimconfig.TaskID]uint64) {
	for id, epoch := range tasks {
		if row, ok := s.Tasks[id]; ok && row.Epoch <= epoch && row.Worker == "" {
			delete(s.Tasks, id)
		}
	}
}

func (s *State) advanceClock(c AdvanceClock) {
	s.Clock += c.By
	for id, entry := range s.Journal {
		if s.Clock-entry.BegunAt > c.JournalRetention {
			delete(s.Journal, id)
		}
	}
}

func (s *State) setQuarantine(c QuarantineWorker) {
	if c.Quarantine {
		s.Quarantined[c.Worker] = true
		return
	}
	delete(s.Quarantined, c.Worker)
}
