package pimjob

import (
	"slices"
	"strings"
)

// Apply executes the operations of a batch and returns their effects. At is the leader's wall-clock
// time in milliseconds since 1970.
func (s *State) Apply(at int64, ops []Op) []Change {
	s.tables.Now = max(s.tables.Now, at)
	var changes []Change
	for _, op := range ops {
		changes = append(changes, s.apply(op)...)
	}
	s.dropOldJobs()
	return changes
}

func (s *State) apply(op Op) []Change {
	switch op := op.(type) {
	case Submit:
		return s.submit(op)
	case Cancel:
		return s.cancel(op)
	case Start:
		return s.start(op)
	case ConfirmBegin:
		if _, _, job := s.Task(op.Key); job != nil {
			return s.beginJob(job)
		}
	case End:
		return s.end(op)
	case SaveCheckpoint:
		return s.saveCheckpoint(op)
	case PutWorker:
		return s.putWorker(op.Worker)
	case DropWorker:
		return s.removeWorker(op)
	case ExpireLease:
		if worker := s.tables.Workers[op.ID]; worker == nil || worker.Generation != op.Generation {
			return nil
		}
		expired := slices.DeleteFunc(s.runsOf(op.ID, op.Generation), func(live LiveRun) bool {
			return slices.Contains(op.Except, live.Key)
		})
		s.keepExpiredRuns(op, expired)
		return s.endRuns(expired, EndLeaseExpired)
	case SettleLease:
		return s.settleLease(op)
	case MarkSilent:
		s.markSilent(op)
	case PutConfig:
		if op.Config.Version <= s.tables.Config.Version {
			return nil
		}
		s.tables.Config = op.Config
		s.indexOrganisations()
		s.dropRates()
		return []Change{ConfigChanged{}}
	case MarkDomain:
		return s.markDomain(op)
	case SaveLearned:
		s.tables.Learned = op.Learned
	}
	return nil
}

func (s *State) markDomain(op MarkDomain) []Change {
	if op.Conditional && op.After != s.tables.MarkCounts[op.Domain] {
		return nil
	}
	if s.tables.MarkCounts == nil {
		s.tables.MarkCounts = map[string]int64{}
	}
	s.tables.MarkCounts[op.Domain]++
	if op.OutOfService {
		s.tables.OutOfService[op.Domain] = true
	} else {
		delete(s.tables.OutOfService, op.Domain)
	}
	return []Change{ConfigChanged{}}
}

func (s *State) submit(op Submit) []Change {
	if s.tables.Jobs[op.Submission.ID] != nil || s.isAuthorizationOutdated(op.AuthorizedBy) {
		return nil
	}
	job := &Job{
		Submission: op.Submission, Queue: op.Queue, Organisation: op.Organisation, AcceptedAt: s.tables.Now,
		OverRate: s.exceedsRate(op.Organisation, op.RateWindow),
	}
	for range max(1, op.Submission.Repeat) {
		occurrence := Occurrence{OpenSteps: len(op.Submission.Steps)}
		for _, step := range op.Submission.Steps {
			occurrence.Steps = append(occurrence.Steps,
				StepState{Tasks: make([]Task, step.Count), OpenTasks: step.Count})
		}
		job.Occurrences = append(job.Occurrences, occurrence)
	}
	job.OpenOccurrences = len(job.Occurrences)
	s.tables.Jobs[op.Submission.ID] = job
	s.openJobs[op.Submission.ID] = job
	return []Change{JobAccepted{job}}
}

func (s *State) cancel(op Cancel) []Change {
	job := s.tables.Jobs[op.ID]
	if job == nil || job.State.IsEnded() || s.isAuthorizationOutdated(op.AuthorizedBy) {
		return nil
	}
	return s.endJob(job, Cancelled)
}

// isAuthorizationOutdated reports whether a key that was checked against a version of the configuration must be checked
// again.
func (s *State) isAuthorizationOutdated(version int64) bool {
	return version != 0 && version != s.tables.Config.Version
}

func (s *State) endJob(job *Job, state JobState) []Change {
	job.State = state
	job.EndedAt = s.tables.Now
	delete(s.openJobs, job.Submission.ID)
	return []Change{JobEnded{job}}
}

func (s *State) start(op Start) []Change {
	task, step, job := s.Task(op.Key)
	worker := s.tables.Workers[op.Worker]
	if task == nil || job.State.IsEnded() || task.Done || task.Run != nil || op.Number <= task.LastRun {
		return nil
	}
	if worker == nil || worker.Generation != op.Generation || worker.Draining || s.tables.OutOfService[worker.Domain] {
		return nil
	}
	if !s.quotaAdmits(op, step, job) {
		return nil
	}
	task.LastRun = op.Number
	task.Run = &Run{Number: op.Number, Worker: op.Worker, Generation: op.Generation, StartedAt: s.tables.Now}
	live := LiveRun{op.Key, *task.Run}
	s.addLive(live)
	return []Change{RunStarted{live}}
}

// beginJob records that a worker has begun a run of the job.
func (s *State) beginJob(job *Job) []Change {
	if job.Begun {
		return nil
	}
	job.Begun = true
	if job.State == Queued {
		job.State = Running
	}
	return []Change{JobBegun{job}}
}

// quotaAdmits reports whether the quota of a job's organisation admits a start. The members of a gang are admitted with
// the first one, since a gang of which some members are missing does not work. Their starts have the same number and
// are in one entry of the log.
func (s *State) quotaAdmits(op Start, step *Step, job *Job) bool {
	organisation := s.Organisation(job)
	if organisation == nil {
		return true
	}
	count := 1
	if step.Gang {
		tasks := job.Occurrences[op.Key.Occurrence].Steps[op.Key.Step].Tasks
		for i := range tasks {
			if tasks[i].Run != nil && tasks[i].Run.Number == op.Number {
				return true
			}
		}
		count = len(tasks)
	}
	return organisation.Admits(s.usage[job.Organisation], step.Need.Amounts(), count)
}

func (s *State) saveCheckpoint(op SaveCheckpoint) []Change {
	task, _, _ := s.Task(op.Key)
	if task != nil && task.Run != nil && task.Run.Number == op.Number {
		task.Checkpoint = op.Checkpoint
	}
	return nil
}

func (s *State) end(op End) []Change {
	if !s.IsLive(op.Key, op.Number, op.Worker, op.Generation) {
		return nil
	}
	task, step, job := s.Task(op.Key)
	live := LiveRun{op.Key, *task.Run}
	task.Run = nil
	task.EndedAt = s.tables.Now
	s.removeLive(live)
	if op.Checkpoint != "" {
		task.Checkpoint = op.Checkpoint
	}
	changes := []Change{RunEnded{Live: live, Kind: op.Kind}}
	if job.State.IsEnded() {
		return changes
	}
	switch {
	case op.Kind == EndDone && !step.LongRunning:
		changes = append(changes, s.finishTask(job, op.Key)...)
	case op.Kind == EndFailed && !step.LongRunning:
		changes = append(changes, s.countFailure(job, op.Key, op.Number)...)
	}
	return changes
}

// finishTask sets a task to done. If it belongs to a gang, all tasks of the gang are done with it.
func (s *State) finishTask(job *Job, key TaskKey) []Change {
	occurrence := &job.Occurrences[key.Occurrence]
	step := &occurrence.Steps[key.Step]
	if step.Tasks[key.Index].Done {
		return nil
	}
	if job.Submission.Steps[key.Step].Gang {
		for i := range step.Tasks {
			step.Tasks[i].Done = true
		}
		step.OpenTasks = 0
	} else {
		step.Tasks[key.Index].Done = true
		step.OpenTasks--
	}
	if step.OpenTasks > 0 {
		return nil
	}
	if occurrence.OpenSteps--; occurrence.OpenSteps > 0 {
		return nil
	}
	if job.OpenOccurrences--; job.OpenOccurrences > 0 {
		return nil
	}
	return s.endJob(job, Completed)
}

// countFailure counts a failed run, and fails the job after the last attempt. The failures of a gang
// are counted in its first task, once for each run number.
func (s *State) countFailure(job *Job, key TaskKey, number int) []Change {
	tasks := job.Occurrences[key.Occurrence].Steps[key.Step].Tasks
	task := &tasks[key.Index]
	if job.Submission.Steps[key.Step].Gang {
		task = &tasks[0]
	}
	if task.FailedRun == number {
		return nil
	}
	task.FailedRun = number
	task.Failures++
	if task.Failures < job.Queue.Attempts {
		return nil
	}
	return s.endJob(job, Failed)
}

func (s *State) putWorker(worker Worker) []Change {
	if s.HasGenerationEnded(worker.ID, worker.Generation) {
		return nil
	}
	known := s.tables.Workers[worker.ID]
	if known != nil && worker.Generation < known.Generation {
		return nil
	}
	var changes []Change
	if known != nil && known.Generation < worker.Generation {
		changes = s.endGeneration(known, !known.Draining)
	}
	if known != nil && known.Generation == worker.Generation {
		worker.Draining = worker.Draining || known.Draining
		worker.LeaseUnsettled = known.LeaseUnsettled
	} else {
		_, worker.LeaseUnsettled = s.tables.EndedGenerations[worker.ID]
		worker.LeaseUnsettled = worker.LeaseUnsettled || known != nil
	}
	s.tables.Workers[worker.ID] = &worker
	return append(changes, WorkerChanged{Worker: worker})
}

func (s *State) removeWorker(op DropWorker) []Change {
	if s.HasGenerationEnded(op.ID, op.Generation) {
		return nil
	}
	worker := s.tables.Workers[op.ID]
	if !op.MayReturn {
		s.tables.EndedGenerations[op.ID] = op.Generation
	} else if _, ok := s.tables.EndedGenerations[op.ID]; !ok {
		// The next generation is not the first one.
		s.tables.EndedGenerations[op.ID] = noGeneration
	}
	if worker == nil || worker.Generation > op.Generation {
		return nil
	}
	changes := s.endGeneration(worker, op.Crashed)
	delete(s.tables.Workers, op.ID)
	return append(changes, WorkerChanged{Worker: *worker, Removed: true})
}

func (s *State) settleLease(op SettleLease) []Change {
	worker := s.tables.Workers[op.ID]
	if worker == nil || worker.Generation != op.Generation || !worker.LeaseUnsettled {
		return nil
	}
	worker.LeaseUnsettled = false
	return []Change{WorkerChanged{Worker: *worker}}
}

// runsOf returns the live runs on a generation of a worker, sorted by task.
func (s *State) runsOf(worker string, generation int64) []LiveRun {
	var runs []LiveRun
	for _, live := range s.liveRuns[worker] {
		if live.Run.Generation == generation {
			runs = append(runs, live)
		}
	}
	slices.SortFunc(runs, func(a, b LiveRun) int { return CompareKeys(a.Key, b.Key) })
	return runs
}

func (s *State) endRuns(runs []LiveRun, kind EndKind) []Change {
	var changes []Change
	for _, live := range runs {
		changes = append(changes, s.end(End{
			Key: live.Key, Number: live.Run.Number, Worker: live.Run.Worker, Generation: live.Run.Generation, Kind: kind,
		})...)
	}
	return changes
}

// CompareKeys orders tasks by job, occurrence, step and index.
func CompareKeys(a, b TaskKey) int {
	if order := strings.Compare(a.Job, b.Job); order != 0 {
		return order
	}
	if a.Occurrence != b.Occurrence {
		return a.Occurrence - b.Occurrence
	}
	if a.Step != b.Step {
		return a.Step - b.Step
	}
	return a.Index - b.Index
}

// dropOldJobs removes jobs that ended at least EndedJobRetention ago and have no live run.
func (s *State) dropOldJobs() {
	if s.tables.Now < s.tables.NextCleanupAt {
		return
	}
	s.tables.NextCleanupAt = s.tables.Now + cleanupInterval.Milliseconds()
	for id, job := range s.tables.Jobs {
		if !job.State.IsEnded() || s.tables.Now-job.EndedAt < EndedJobRetention.Milliseconds() {
			continue
		}
		if !job.hasLiveRun() {
			delete(s.tables.Jobs, id)
		}
	}
}

func (j *Job) hasLiveRun() bool {
	found := false
	j.forEachTask(func(_ TaskKey, task *Task) { found = found || task.Run != nil })
	return found
}
