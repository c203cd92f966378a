package pimjob

import (
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimcrash"
)

type (
	// silence is since when, in milliseconds since 1970, a generation of a worker has not responded. Confirmed are the tasks of
	// the runs that it is known to have begun. Expired holds the runs that its lease has ended since.
	silence struct {
		Generation int64     `msgpack:"b"`
		Since      int64     `msgpack:"s"`
		Confirmed  []TaskKey `msgpack:"c,omitempty"`
		Expired    []LiveRun `msgpack:"e,omitempty"`

		// confirmed is the set of Confirmed, or nil until it is needed.
		confirmed map[TaskKey]bool
	}
)

// isConfirmed reports whether the worker is known to have begun the run of a task.
func (s *silence) isConfirmed(key TaskKey) bool {
	if s.confirmed == nil {
		s.confirmed = make(map[TaskKey]bool, len(s.Confirmed))
		for _, known := range s.Confirmed {
			s.confirmed[known] = true
		}
	}
	return s.confirmed[key]
}

func (s *silence) confirm(key TaskKey) {
	if !s.isConfirmed(key) {
		s.confirmed[key] = true
		s.Confirmed = append(s.Confirmed, key)
	}
}

func (s *State) markSilent(op MarkSilent) {
	worker := s.tables.Workers[op.ID]
	if worker == nil || worker.Generation != op.Generation {
		return
	}
	if op.RespondsAgain {
		delete(s.tables.Silences, op.ID)
		return
	}
	if known := s.tables.Silences[op.ID]; known != nil && known.Generation == op.Generation {
		for _, key := range op.Confirmed {
			known.confirm(key)
		}
		return
	}
	if s.tables.Silences == nil {
		s.tables.Silences = map[string]*silence{}
	}
	s.tables.Silences[op.ID] = &silence{
		Generation: op.Generation, Since: s.tables.Now - op.SilentFor.Milliseconds(), Confirmed: op.Confirmed,
	}
}

// IsSilent reports whether a worker is recorded as not responding.
func (s *State) IsSilent(id string) bool { return s.tables.Silences[id] != nil }

// keepExpiredRuns keeps the runs that the lease of a worker ends. If the worker turns out to have crashed, one of them may
// be the cause.
func (s *State) keepExpiredRuns(op ExpireLease, runs []LiveRun) {
	if known := s.tables.Silences[op.ID]; known != nil && known.Generation == op.Generation {
		known.Expired = append(known.Expired, runs...)
	}
}

// endGeneration ends the runs of a generation of a worker that has ended. If it has crashed, tasks that seem to crash their
// workers are given up.
func (s *State) endGeneration(worker *Worker, crashed bool) []Change {
	runs := s.runsOf(worker.ID, worker.Generation)
	known := s.tables.Silences[worker.ID]
	if known == nil || known.Generation != worker.Generation {
		// Nothing tells when it crashed, so that no run is known to have begun before.
		known = &silence{Since: s.tables.Now}
	}
	runs = append(known.Expired, runs...)
	delete(s.tables.Silences, worker.ID)
	changes := s.endRuns(s.runsOf(worker.ID, worker.Generation), EndLost)
	if !crashed {
		return changes
	}
	changes = append(changes, WorkerCrashed{worker.ID, worker.Generation, len(runs)})
	return append(changes, s.judgeCrash(runs, known)...)
}

// judgeCrash records a crash in the tasks of those runs that had been started before, and fails the jobs of the tasks that are
// given up.
func (s *State) judgeCrash(runs []LiveRun, crash *silence) []Change {
	var started []LiveRun
	var suspects []pimcrash.Suspect
	for _, live := range runs {
		task, _, _ := s.Task(live.Key)
		if task == nil || live.Run.StartedAt > crash.Since {
			continue
		}
		suspect := pimcrash.Suspect{
			Group: live.Key.Job, Age: time.Duration(crash.Since-live.Run.StartedAt) * time.Millisecond,
			Confirmed: crash.isConfirmed(live.Key),
		}
		if task.Crash != nil {
			suspect.Record = *task.Crash
		}
		started, suspects = append(started, live), append(suspects, suspect)
	}
	var changes []Change
	explained := false
	for i, verdict := range pimcrash.Judge(suspects, s.tables.Unexplained.AreMany(s.tables.Now, len(s.tables.Workers))) {
		task, _, job := s.Task(started[i].Key)
		if task.Done || job.State.IsEnded() {
			continue
		}
		if verdict.GivenUp {
			explained = true
			s.tables.Unexplained.Remove(suspects[i].Record.JudgedAt)
		}
		verdict.Record.JudgedAt = s.tables.Now
		task.Crash = &verdict.Record
		if task.Crash.IsSuspect() {
			changes = append(changes, TaskSuspected{started[i], verdict.Record, verdict.GivenUp})
		}
		if verdict.GivenUp {
			changes = append(changes, s.endJob(job, Failed)...)
		}
	}
	if !explained {
		s.tables.Unexplained.Add(s.tables.Now)
	}
	return changes
}
