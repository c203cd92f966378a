// Package pimjob is the replicated state of jobs: the configuration of queues and
// services, the workers, and each job with its steps, tasks and runs.
//
// State is deterministic: the same operations in the same order give the same
// state on every replica. It reads no clock; times come with the operations. Derived
// tables (runs by worker, jobs that are open) are rebuilt on Restore.
package pimjob

import (
	"fmt"
	"time"
)

type (
	// JobState is what callers see of a job.
	JobState uint8

	// EndKind tells how a run ended.
	EndKind uint8

	// Resources are what a task asks for or a worker offers: processor time in
	// thousandths of a core, memory in MB, accelerators in pieces.
	Resources struct {
		Millicores int64 `msgpack:"c,omitempty"`
		MemoryMB   int64 `msgpack:"m,omitempty"`
		GPUs       int64 `msgpack:"g,omitempty"`
	}

	// Step is a group of equal tasks of a job.
	Step struct {
		Count          int           `msgpack:"n"`
		Need           Resources     `msgpack:"r"`
		Estimate       time.Duration `msgpack:"e,omitempty"`
		DependsOn      []int         `msgpack:"d,omitempty"`
		RequiredLabel  string        `msgpack:"q,omitempty"`
		PreferredLabel string        `msgpack:"a,omitempty"`
		MaxPerWorker   int           `msgpack:"x,omitempty"`
		Image          string        `msgpack:"i,omitempty"`
		// TargetLatency is the tail latency that a serving task must stay below, or 0.
		TargetLatency time.Duration `msgpack:"t,omitempty"`
		MayMiss       int           `msgpack:"mm,omitempty"`
		Checkpoints   bool          `msgpack:"cp,omitempty"`
		Gang          bool          `msgpack:"gg,omitempty"`
		SameRack      bool          `msgpack:"sr,omitempty"`
		Speculative   bool          `msgpack:"sp,omitempty"`
		// LongRunning tasks run until their job is cancelled.
		LongRunning bool `msgpack:"l,omitempty"`
		// BestEffort means that the processor time is taken from what others leave unused.
		BestEffort bool `msgpack:"f,omitempty"`
	}

	// Submission is a job as a caller hands it in. Times are in milliseconds since
	// 1970; Repeat 0 is a job without occurrences.
	Submission struct {
		ID       string        `msgpack:"id"`
		Spec     string        `msgpack:"s"`
		Steps    []Step        `msgpack:"st"`
		StartAt  int64         `msgpack:"sa,omitempty"`
		Interval time.Duration `msgpack:"iv,omitempty"`
		Repeat   int           `msgpack:"rp,omitempty"`
	}

	// Queue is a route of the configuration: callers' addresses that begin with
	// Host and Prefix lead to it, and its jobs run on the workers of Service.
	Queue struct {
		Name      string        `msgpack:"n"`
		Host      string        `msgpack:"h"`
		Prefix    string        `msgpack:"p"`
		Service   string        `msgpack:"s"`
		Priority  int           `msgpack:"pr,omitempty"`
		Attempts  int           `msgpack:"a,omitempty"`
		Stretch   float64       `msgpack:"st,omitempty"`
		Objective time.Duration `msgpack:"o,omitempty"`
	}

	// Service is a pool of workers.
	Service struct {
		Name string `msgpack:"n"`
		// RejectsOverload means that its workers refuse what does not fit.
		RejectsOverload bool `msgpack:"g,omitempty"`
		Standby         bool `msgpack:"sb,omitempty"`
	}

	// Config is one version of the operators' configuration. Text is its exact
	// wording, for reading back.
	Config struct {
		Version  int64              `msgpack:"v"`
		Text     []byte             `msgpack:"t"`
		Queues   []Queue            `msgpack:"q"`
		Services map[string]Service `msgpack:"s"`
	}

	// Worker is one life of a machine that runs tasks. Born tells its lives apart.
	Worker struct {
		ID         string    `msgpack:"id"`
		Generation int64     `msgpack:"b"`
		Address    string    `msgpack:"a"`
		Service    string    `msgpack:"s"`
		Domain     string    `msgpack:"d"`
		Capacity   Resources `msgpack:"c"`
		Labels     []string  `msgpack:"l,omitempty"`
		Rack       string    `msgpack:"r,omitempty"`
		Draining   bool      `msgpack:"dr,omitempty"`
	}

	// TaskKey names a task.
	TaskKey struct {
		Job        string `msgpack:"j"`
		Occurrence int    `msgpack:"o,omitempty"`
		Step       int    `msgpack:"s,omitempty"`
		Index      int    `msgpack:"i,omitempty"`
	}

	// Run is a start of a task that may be alive.
	Run struct {
		Number     int    `msgpack:"n"`
		Worker     string `msgpack:"w"`
		Generation int64  `msgpack:"b"`
		StartedAt  int64  `msgpack:"a"`
	}

	// Task is the state of a task. Last is the number of its newest run.
	Task struct {
		Done     bool `msgpack:"d,omitempty"`
		LastRun  int  `msgpack:"l,omitempty"`
		Failures int  `msgpack:"f,omitempty"`
		// FailedRun is the run that was counted last in Failures.
		FailedRun  int    `msgpack:"fr,omitempty"`
		Checkpoint string `msgpack:"s,omitempty"`
		Run        *Run   `msgpack:"r,omitempty"`
		// EndedAt is when its last run ended, in milliseconds since 1970.
		EndedAt int64 `msgpack:"e,omitempty"`
	}

	// StepState holds a step's tasks; Open counts those not done.
	StepState struct {
		Tasks     []Task `msgpack:"t"`
		OpenTasks int    `msgpack:"o"`
	}

	// Occurrence is one time that a job's steps run; Open counts steps not done.
	Occurrence struct {
		Steps     []StepState `msgpack:"s"`
		OpenSteps int         `msgpack:"o"`
	}

	// Job is an accepted submission, with the terms of its queue at that time.
	Job struct {
		Submission      Submission   `msgpack:"s"`
		Queue           Queue        `msgpack:"q"`
		AcceptedAt      int64        `msgpack:"a"`
		EndedAt         int64        `msgpack:"e,omitempty"`
		State           JobState     `msgpack:"st"`
		Started         bool         `msgpack:"sd,omitempty"`
		Occurrences     []Occurrence `msgpack:"o"`
		OpenOccurrences int          `msgpack:"op"`
	}

	// LiveRun is a run that may be alive on a worker.
	LiveRun struct {
		Key TaskKey
		Run Run
	}
)

// States of a job.
const (
	Queued JobState = iota
	Running
	Completed
	Failed
	Cancelled
)

// Ends of a run.
const (
	EndDone EndKind = iota
	// EndFailed is the only end that counts as an attempt.
	EndFailed
	EndStopped
	// EndLeaseExpired is a run whose worker's lease ran out.
	EndLeaseExpired
	// EndGangBroken and EndAlone are ends of gang members.
	EndGangBroken
	EndGangIncomplete
	// EndRefused is a start that the worker said it did not carry out.
	EndRefused
	// EndLost is a run on a life of a worker that is over.
	EndLost
)

var (
	jobStateNames = [...]string{"queued", "running", "completed", "failed", "cancelled"}
	endKindNames  = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone", "refused", "lost"}
)

// String returns the state's name.
func (s JobState) String() string { return jobStateNames[s] }

// IsEnded reports whether the job has come to its end.
func (s JobState) IsEnded() bool { return s >= Completed }

// String returns the end's name.
func (k EndKind) String() string { return endKindNames[k] }

// String returns job, occurrence, step and index with dots between them.
func (k TaskKey) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", k.Job, k.Occurrence, k.Step, k.Index)
}

// Fits reports whether need is within r.
func (r Resources) Fits(need Resources) bool {
	return need.Millicores <= r.Millicores && need.MemoryMB <= r.MemoryMB && need.GPUs <= r.GPUs
}

// Minus returns what is left of r.
func (r Resources) Minus(used Resources) Resources {
	return Resources{r.Millicores - used.Millicores, r.MemoryMB - used.MemoryMB, r.GPUs - used.GPUs}
}

// Plus returns the sum.
func (r Resources) Plus(more Resources) Resources {
	return Resources{r.Millicores + more.Millicores, r.MemoryMB + more.MemoryMB, r.GPUs + more.GPUs}
}

// Reserved returns what a task of the step takes from a worker's capacity: a step
// that fills takes no processor time.
func (s *Step) Reserved() Resources {
	reserved := s.Need
	if s.BestEffort {
		reserved.Millicores = 0
	}
	return reserved
}

// DueAt returns when an occurrence may start, in milliseconds since 1970, or 0.
func (s *Submission) DueAt(occurrence int) int64 {
	if s.Repeat == 0 {
		return 0
	}
	return s.StartAt + int64(occurrence)*s.Interval.Milliseconds()
}

// HasLabel reports whether the worker carries a label; every worker carries "".
func (w *Worker) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, own := range w.Labels {
		if own == label {
			return true
		}
	}
	return false
}
