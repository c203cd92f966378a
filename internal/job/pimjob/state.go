package pimjob

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
)

type (
	// State is the whole replicated state.
	State struct {
		tables   tables
		liveRuns map[string]map[TaskKey]LiveRun
		openJobs map[string]*Job
	}

	tables struct {
		Now              int64              `msgpack:"n"`
		Config           Config             `msgpack:"c"`
		OutOfService     map[string]bool    `msgpack:"o"`
		Workers          map[string]*Worker `msgpack:"w"`
		EndedGenerations map[string]int64   `msgpack:"d"`
		Jobs             map[string]*Job    `msgpack:"j"`
		// NextCleanupAt is when ended jobs are looked through again.
		NextCleanupAt int64 `msgpack:"f"`
	}

	// Change tells what an operation did.
	Change interface{ isChange() }

	// JobAccepted is a job that was taken in.
	JobAccepted struct{ Job *Job }

	// RunStarted is a run that is to be ordered at its worker.
	RunStarted struct{ Live LiveRun }

	// RunEnded is a run that is over.
	RunEnded struct {
		Live LiveRun
		Kind EndKind
	}

	// JobEnded is a job that has come to its end.
	JobEnded struct{ Job *Job }

	// WorkerChanged is a worker that came, changed, or left when Gone.
	WorkerChanged struct {
		Worker  Worker
		Removed bool
	}

	// ConfigChanged tells that another configuration or other marks are in force.
	ConfigChanged struct{}
)

// EndedJobRetention is how long a job stays known after its end: the time that callers may ask for
// its state, and a quarter more. Source: the bound on states that the users' pages name.
const EndedJobRetention = 150 * time.Second

const cleanupInterval = 5 * time.Second

func (JobAccepted) isChange()   {}
func (RunStarted) isChange()    {}
func (RunEnded) isChange()      {}
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

// Snapshot returns the bytes of the state.
func (s *State) Snapshot() ([]byte, error) {
	data, err := msgpack.Marshal(&s.tables)
	if err != nil {
		return nil, pimcode.New(pimcode.ProgramFailed, "encode state: %v", err)
	}
	return data, nil
}

// Restore returns the state of a snapshot; no bytes give the empty state.
func Restore(data []byte) (*State, error) {
	s := NewState()
	if len(data) == 0 {
		return s, nil
	}
	if err := msgpack.Unmarshal(data, &s.tables); err != nil {
		return nil, pimcode.New(pimcode.LogCorrupt, "snapshot of jobs: %v", err)
	}
	s.rebuildIndexes()
	return s, nil
}

func (s *State) rebuildIndexes() {
	s.liveRuns = map[string]map[TaskKey]LiveRun{}
	s.openJobs = map[string]*Job{}
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

func (j *Job) forEachTask(visit func(key TaskKey, task *Task)) {
	for o := range j.Occurrences {
		for p := range j.Occurrences[o].Steps {
			for i := range j.Occurrences[o].Steps[p].Tasks {
				visit(TaskKey{j.Submission.ID, o, p, i}, &j.Occurrences[o].Steps[p].Tasks[i])
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
}

// Config returns the configuration in force; version 0 is none.
func (s *State) Config() *Config { return &s.tables.Config }

// Now returns the highest time of day that operations carried, in milliseconds since 1970.
func (s *State) Now() int64 { return s.tables.Now }

// IsOutOfService reports whether a failure domain is out of service.
func (s *State) IsOutOfService(domain string) bool { return s.tables.OutOfService[domain] }

// Worker returns a worker or nil.
func (s *State) Worker(id string) *Worker { return s.tables.Workers[id] }

// HasGenerationEnded reports whether a life of a worker, or a later one, is known to be over.
func (s *State) HasGenerationEnded(id string, born int64) bool {
	last, ok := s.tables.EndedGenerations[id]
	return ok && born <= last
}

// Workers returns all workers, sorted by id.
func (s *State) Workers() []*Worker {
	workers := make([]*Worker, 0, len(s.tables.Workers))
	for _, id := range slices.Sorted(maps.Keys(s.tables.Workers)) {
		workers = append(workers, s.tables.Workers[id])
	}
	return workers
}

// Job returns a job or nil.
func (s *State) Job(id string) *Job { return s.tables.Jobs[id] }

// OpenJobs returns the jobs that have not ended, in the order of acceptance.
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

// RunsOn returns the runs that may be alive on a worker, by task. It must not be changed.
func (s *State) RunsOn(worker string) map[TaskKey]LiveRun { return s.liveRuns[worker] }

// Task returns a task and its step, or nil.
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
func (s *State) IsLive(key TaskKey, number int, worker string, born int64) bool {
	task, _, _ := s.Task(key)
	return task != nil && task.Run != nil && task.Run.Number == number &&
		task.Run.Worker == worker && task.Run.Generation == born
}

// FindQueue returns the queue with the longest prefix of path, and the rest of the path.
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

// CountPending returns how many jobs of a queue were accepted and have not started.
func (s *State) CountPending(queue string) int {
	count := 0
	for _, job := range s.openJobs {
		if job.Queue.Name == queue && !job.Started {
			count++
		}
	}
	return count
}

// IsStepReady reports whether all steps that a step depends on are done.
func (j *Job) IsStepReady(occurrence, step int) bool {
	for _, before := range j.Submission.Steps[step].DependsOn {
		if j.Occurrences[occurrence].Steps[before].OpenTasks > 0 {
			return false
		}
	}
	return true
}
