package pimjob

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/base/pimorganisation"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimcrash"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimshare"
)

type (
	// State is the whole replicated state. liveRuns, by worker, openJobs, usage, by organisation, and
	// organisations, by name, are derived from tables.
	State struct {
		tables   tables
		liveRuns map[string]map[TaskKey]LiveRun
		openJobs map[string]*Job
		usage    map[string]pimorganisation.Resources

		organisations map[string]*pimorganisation.Organisation
	}

	// tables are the stored part of the state. OutOfService holds failure domains, EndedGenerations
	// the newest generation of each worker that is known to have ended, or noGeneration for one that was dropped before it was
	// known to have ended.
	tables struct {
		Now          int64           `msgpack:"n"`
		Config       Config          `msgpack:"c"`
		OutOfService map[string]bool `msgpack:"o"`
		// MarkCounts counts the marks on each failure domain.
		MarkCounts       map[string]int64   `msgpack:"k,omitempty"`
		Workers          map[string]*Worker `msgpack:"w"`
		EndedGenerations map[string]int64   `msgpack:"d"`
		Jobs             map[string]*Job    `msgpack:"j"`
		Learned          Learned            `msgpack:"l"`
		// Rates holds the token bucket of each organisation that has submitted a job.
		Rates map[string]pimshare.Bucket `msgpack:"r,omitempty"`
		// Silences holds the workers that do not respond.
		Silences map[string]*silence `msgpack:"x,omitempty"`
		// Unexplained holds the crashes of workers for which no task was given up.
		Unexplained pimcrash.Unexplained `msgpack:"u,omitempty"`
		// NextCleanupAt is when ended jobs are next checked for removal.
		NextCleanupAt int64 `msgpack:"f"`
	}

	// Waiting counts jobs that have not begun, and those of them whose first task the quota does not admit.
	Waiting struct{ Jobs, ForQuota int }

	// Change is an effect of an operation on the state.
	Change interface{ isChange() }

	// JobAccepted reports a new job.
	JobAccepted struct{ Job *Job }

	// RunStarted reports a run that is to be started on its worker.
	RunStarted struct{ Live LiveRun }

	// JobBegun reports that a run of a job is known to have begun, for the first time.
	JobBegun struct{ Job *Job }

	// RunEnded reports the end of a run.
	RunEnded struct {
		Live LiveRun
		Kind EndKind
	}

	// TaskSuspected reports a task that may have crashed its worker, and whether its job is given up for it.
	TaskSuspected struct {
		Live    LiveRun
		Record  pimcrash.Record
		GivenUp bool
	}

	// WorkerCrashed reports a generation of a worker that ended without notice. Runs counts the runs that it had then.
	WorkerCrashed struct {
		ID         string
		Generation int64
		Runs       int
	}

	// JobEnded reports that a job was completed, failed or cancelled.
	JobEnded struct{ Job *Job }

	// WorkerChanged reports a worker that was added, changed or removed.
	WorkerChanged struct {
		Worker  Worker
		Removed bool
	}

	// ConfigChanged reports that another configuration or other marks on failure domains are in
	// effect.
	ConfigChanged struct{}
)

// EndedJobRetention is how long a job is kept after its end: the time for which callers may query
// its state, and a quarter more. Source: the limit on job states in the platform's specification.
const EndedJobRetention = 150 * time.Second

const cleanupInterval = 5 * time.Second

// noGeneration is below all generations of workers.
const noGeneration = -1

func (JobAccepted) isChange()   {}
func (RunStarted) isChange()    {}
func (JobBegun) isChange()      {}
func (RunEnded) isChange()      {}
func (TaskSuspected) isChange() {}
func (WorkerCrashed) isChange() {}
func (JobEnded) isChange()      {}
func (WorkerChanged) isChange() {}
func (ConfigChanged) isChange() {}

// NewState returns the empty state.
func NewState() *State {
	s := &State{tables: tables{
		OutOfService:     map[string]bool{},
		Workers:          map[string]*Worker{},
		EndedGenerations: map[string]int64{},
		Jobs:             map[string]*Job{},
	}}
	s.rebuildIndexes()
	return s
}

// Snapshot encodes the state. Errors have the code pimcode.ProgramFailed.
func (s *State) Snapshot() ([]byte, error) {
	data, err := msgpack.Marshal(&s.tables)
	if err != nil {
		return nil, pimcode.New(pimcode.ProgramFailed, "encode state: %v", err)
	}
	return data, nil
}

// Restore decodes a snapshot; no data gives the empty state. Errors have the code pimcode.LogCorrupt.
func Restore(data []byte) (*State, error) {
	s := NewState()
	if len(data) == 0 {
		return s, nil
	}
	if err := msgpack.Unmarshal(data, &s.tables); err != nil {
		return nil, pimcode.New(pimcode.LogCorrupt, "decode snapshot of jobs: %v", err)
	}
	if err := s.tables.check(); err != nil {
		return nil, err
	}
	s.rebuildIndexes()
	return s, nil
}

// check returns an error with the code pimcode.LogCorrupt if the tables lack a part that the state relies on.
func (t *tables) check() error {
	if t.Jobs == nil || t.Workers == nil || t.OutOfService == nil || t.EndedGenerations == nil {
		return pimcode.New(pimcode.LogCorrupt, "snapshot of jobs: a table is missing")
	}
	for id, worker := range t.Workers {
		if worker == nil {
			return pimcode.New(pimcode.LogCorrupt, "snapshot of jobs: worker %q is empty", id)
		}
	}
	for id, job := range t.Jobs {
		if job == nil || !job.isComplete() {
			return pimcode.New(pimcode.LogCorrupt, "snapshot of jobs: job %q is incomplete", id)
		}
	}
	return nil
}

// isComplete reports whether each occurrence of the job has all its steps and tasks.
func (j *Job) isComplete() bool {
	for _, occurrence := range j.Occurrences {
		if len(occurrence.Steps) != len(j.Submission.Steps) {
			return false
		}
		for i := range occurrence.Steps {
			if len(occurrence.Steps[i].Tasks) != j.Submission.Steps[i].Count {
				return false
			}
		}
	}
	return true
}

func (s *State) rebuildIndexes() {
	s.liveRuns = map[string]map[TaskKey]LiveRun{}
	s.openJobs = map[string]*Job{}
	s.usage = map[string]pimorganisation.Resources{}
	s.indexOrganisations()
	for id, job := range s.tables.Jobs {
		if !job.State.IsEnded() {
			s.openJobs[id] = job
		}
		job.forEachTask(func(key TaskKey, task *Task) {
			if task.Run != nil {
				s.addLive(LiveRun{key, *task.Run})
			}
		})
	}
}

func (s *State) indexOrganisations() {
	s.organisations = map[string]*pimorganisation.Organisation{}
	for i := range s.tables.Config.Organisations {
		organisation := &s.tables.Config.Organisations[i]
		s.organisations[organisation.Name] = organisation
	}
}

func (j *Job) forEachTask(visit func(key TaskKey, task *Task)) {
	for occurrence := range j.Occurrences {
		for step := range j.Occurrences[occurrence].Steps {
			for index := range j.Occurrences[occurrence].Steps[step].Tasks {
				visit(TaskKey{j.Submission.ID, occurrence, step, index},
					&j.Occurrences[occurrence].Steps[step].Tasks[index])
			}
		}
	}
}

func (s *State) addLive(live LiveRun) {
	runs := s.liveRuns[live.Run.Worker]
	if runs == nil {
		runs = map[TaskKey]LiveRun{}
		s.liveRuns[live.Run.Worker] = runs
	}
	runs[live.Key] = live
	if _, step, job := s.Task(live.Key); job != nil && job.Organisation != "" {
		s.usage[job.Organisation] = s.usage[job.Organisation].Add(step.Need.Amounts())
	}
}

// removeLive removes a run that addLive added.
func (s *State) removeLive(live LiveRun) {
	delete(s.liveRuns[live.Run.Worker], live.Key)
	_, step, job := s.Task(live.Key)
	if job == nil || job.Organisation == "" {
		return
	}
	left := s.usage[job.Organisation].Sub(step.Need.Amounts())
	if left == (pimorganisation.Resources{}) {
		delete(s.usage, job.Organisation)
		return
	}
	s.usage[job.Organisation] = left
}

// Usage returns what the live runs of an organisation request, best-effort tasks included.
func (s *State) Usage(organisation string) pimorganisation.Resources { return s.usage[organisation] }

// Usages returns, by organisation, what its live runs request. The map must not be modified.
func (s *State) Usages() map[string]pimorganisation.Resources { return s.usage }

// WaitingJobs counts, by organisation, the jobs that have not begun.
func (s *State) WaitingJobs() map[string]Waiting {
	waiting := map[string]Waiting{}
	for _, job := range s.openJobs {
		if job.Begun || job.Organisation == "" || len(job.Submission.Steps) == 0 {
			continue
		}
		count := waiting[job.Organisation]
		count.Jobs++
		step := &job.Submission.Steps[0]
		together := 1
		if step.Gang {
			together = step.Count
		}
		owner := s.Organisation(job)
		// A start that is on its way uses the quota itself.
		if owner != nil && !owner.Admits(s.usage[job.Organisation], step.Need.Amounts(), together) && !job.hasLiveRun() {
			count.ForQuota++
		}
		waiting[job.Organisation] = count
	}
	return waiting
}

// Organisation returns the owner of a job, or nil if it has none or the configuration in effect does not hold it.
func (s *State) Organisation(job *Job) *pimorganisation.Organisation {
	if job.Organisation == "" {
		return nil
	}
	return s.organisations[job.Organisation]
}

// OrganisationNamed returns an organisation of the configuration in effect, or nil.
func (s *State) OrganisationNamed(name string) *pimorganisation.Organisation {
	return s.organisations[name]
}

// Config returns the configuration in effect; version 0 means that there is none.
func (s *State) Config() *Config { return &s.tables.Config }

// Now returns the latest wall-clock time of the operations applied, in milliseconds since 1970.
func (s *State) Now() int64 { return s.tables.Now }

// IsOutOfService reports whether a failure domain is marked as out of service.
func (s *State) IsOutOfService(domain string) bool { return s.tables.OutOfService[domain] }

// MarkCount returns how many marks on a failure domain have had an effect.
func (s *State) MarkCount(domain string) int64 { return s.tables.MarkCounts[domain] }

// Worker returns a worker, or nil.
func (s *State) Worker(id string) *Worker { return s.tables.Workers[id] }

// HasGenerationEnded reports whether a generation of a worker, or a later one, is known to have
// ended.
func (s *State) HasGenerationEnded(id string, generation int64) bool {
	last, ok := s.tables.EndedGenerations[id]
	return ok && generation <= last
}

// Workers returns all workers, sorted by id.
func (s *State) Workers() []*Worker {
	workers := make([]*Worker, 0, len(s.tables.Workers))
	for _, id := range slices.Sorted(maps.Keys(s.tables.Workers)) {
		workers = append(workers, s.tables.Workers[id])
	}
	return workers
}

// Job returns a job, or nil.
func (s *State) Job(id string) *Job { return s.tables.Jobs[id] }

// OpenJobs returns the jobs that have not ended, in the order in which they were accepted.
func (s *State) OpenJobs() []*Job {
	jobs := slices.Collect(maps.Values(s.openJobs))
	slices.SortFunc(jobs, func(a, b *Job) int {
		if a.AcceptedAt != b.AcceptedAt {
			return int(a.AcceptedAt - b.AcceptedAt)
		}
		return strings.Compare(a.Submission.ID, b.Submission.ID)
	})
	return jobs
}

// RunsOn returns the live runs on a worker, by task. The map must not be modified.
func (s *State) RunsOn(worker string) map[TaskKey]LiveRun { return s.liveRuns[worker] }

// Task returns a task with its step and job, or nils.
func (s *State) Task(key TaskKey) (*Task, *Step, *Job) {
	job := s.tables.Jobs[key.Job]
	if job == nil || key.Occurrence < 0 || key.Occurrence >= len(job.Occurrences) {
		return nil, nil, nil
	}
	steps := job.Occurrences[key.Occurrence].Steps
	if key.Step < 0 || key.Step >= len(steps) || key.Index < 0 || key.Index >= len(steps[key.Step].Tasks) {
		return nil, nil, nil
	}
	return &steps[key.Step].Tasks[key.Index], &job.Submission.Steps[key.Step], job
}

// IsLive reports whether a run is the live run of its task.
func (s *State) IsLive(key TaskKey, number int, worker string, generation int64) bool {
	task, _, _ := s.Task(key)
	return task != nil && task.Run != nil && task.Run.Number == number &&
		task.Run.Worker == worker && task.Run.Generation == generation
}

// FindQueue returns the queue of host with the longest prefix of path, and the rest of the path, or
// nil.
func (c *Config) FindQueue(host, path string) (*Queue, string) {
	var best *Queue
	for i := range c.Queues {
		queue := &c.Queues[i]
		if queue.Host == host && strings.HasPrefix(path, queue.Prefix) &&
			(best == nil || len(queue.Prefix) > len(best.Prefix)) {
			best = queue
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}

// Authorize returns the name of the organisation that has a key, or "" if the queue requires none. It returns false if
// the queue requires a key and no organisation has this one.
func (c *Config) Authorize(queue *Queue, key string) (string, bool) {
	if !queue.RequiresKey {
		return "", true
	}
	organisation := pimorganisation.FindByKey(c.Organisations, key)
	if organisation == nil {
		return "", false
	}
	return organisation.Name, true
}

// CountPending returns how many jobs of a queue have not begun yet.
func (s *State) CountPending(queue string) int {
	count := 0
	for _, job := range s.openJobs {
		if job.Queue.Name == queue && !job.Begun {
			count++
		}
	}
	return count
}

// IsStepReady reports whether all steps that the step depends on are done.
func (j *Job) IsStepReady(occurrence, step int) bool {
	for _, before := range j.Submission.Steps[step].DependsOn {
		if j.Occurrences[occurrence].Steps[before].OpenTasks > 0 {
			return false
		}
	}
	return true
}
