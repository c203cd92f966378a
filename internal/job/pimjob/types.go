// Package pimjob is the replicated state of jobs: the configuration of queues and services, the
// workers, and each job with its steps, tasks and runs.
//
// State is deterministic: the same operations in the same order give the same state on every
// replica. It reads no clock; times come with the operations. Derived tables (runs by worker, open
// jobs) are rebuilt by Restore.
package pimjob

import (
	"fmt"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimorganisation"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimcrash"
)

type (
	// JobState is the state of a job as callers see it.
	JobState uint8

	// EndKind tells how a run ended.
	EndKind uint8

	// Resources are what a task requests or a worker offers: processor time in thousandths of a
	// core, memory in MB, and a number of accelerators.
	Resources struct {
		Millicores int64 `msgpack:"c,omitempty"`
		MemoryMB   int64 `msgpack:"m,omitempty"`
		GPUs       int64 `msgpack:"g,omitempty"`
	}

	// Step is a group of identical tasks of a job. Estimate is the expected run time of a task at
	// full speed. DependsOn holds the indexes of the steps that must be done before.
	Step struct {
		Count     int           `msgpack:"n"`
		Need      Resources     `msgpack:"r"`
		Estimate  time.Duration `msgpack:"e,omitempty"`
		DependsOn []int         `msgpack:"d,omitempty"`
		// RequiredLabel is a label that a worker must have, PreferredLabel one that it should have
		// because it is near the data of the tasks.
		RequiredLabel  string `msgpack:"q,omitempty"`
		PreferredLabel string `msgpack:"a,omitempty"`
		// MaxPerWorker is the maximum number of tasks of the step on one worker, or 0 for no limit.
		MaxPerWorker int    `msgpack:"x,omitempty"`
		Image        string `msgpack:"i,omitempty"`
		// TargetLatency is the tail latency that a serving task must stay below, or 0 for other
		// tasks.
		TargetLatency time.Duration `msgpack:"t,omitempty"`
		// MayMiss is how many tasks of a long-running step may be without a run at a time.
		MayMiss int `msgpack:"mm,omitempty"`
		// Checkpoints means that a run continues from the last checkpoint of the one before.
		Checkpoints bool `msgpack:"cp,omitempty"`
		// The tasks of a gang start and end together, on one rack if SameRack is set and that is
		// possible.
		Gang     bool `msgpack:"gg,omitempty"`
		SameRack bool `msgpack:"sr,omitempty"`
		// Speculative is stored but not used for planning.
		Speculative bool `msgpack:"sp,omitempty"`
		// LongRunning tasks run until their job is cancelled.
		LongRunning bool `msgpack:"l,omitempty"`
		// BestEffort tasks use only processor time that other tasks leave idle.
		BestEffort bool `msgpack:"f,omitempty"`
	}

	// Submission is a job as submitted by a caller. Spec is passed to the workers unchanged. StartAt
	// is in milliseconds since 1970. Repeat is the number of occurrences, one every Interval, or 0
	// for a job that runs once without a start time.
	Submission struct {
		ID       string        `msgpack:"id"`
		Spec     string        `msgpack:"s"`
		Steps    []Step        `msgpack:"st"`
		StartAt  int64         `msgpack:"sa,omitempty"`
		Interval time.Duration `msgpack:"iv,omitempty"`
		Repeat   int           `msgpack:"rp,omitempty"`
	}

	// Queue is a route in the configuration. Callers reach it at addresses that begin with Host and
	// Prefix, and its jobs run on the workers of Service. A lower Priority comes first. Attempts is
	// the number of failed runs of a task at which its job fails. A job should end within the sum of its
	// steps' estimates times Stretch, plus Objective.
	Queue struct {
		Name      string        `msgpack:"n"`
		Host      string        `msgpack:"h"`
		Prefix    string        `msgpack:"p"`
		Service   string        `msgpack:"s"`
		Priority  int           `msgpack:"pr,omitempty"`
		Attempts  int           `msgpack:"a,omitempty"`
		Stretch   float64       `msgpack:"st,omitempty"`
		Objective time.Duration `msgpack:"o,omitempty"`
		// RequiresKey means that callers must give a key of an organisation, which then owns the job.
		RequiresKey bool `msgpack:"k,omitempty"`
	}

	// Service is a pool of workers.
	Service struct {
		Name string `msgpack:"n"`
		// RejectsOverload means that its workers refuse runs that exceed their capacity.
		RejectsOverload bool `msgpack:"g,omitempty"`
		// Standby is stored but not used for planning.
		Standby bool `msgpack:"sb,omitempty"`
	}

	// Config is one version of the operators' configuration. Text is the original document, which
	// can be read back.
	Config struct {
		Version  int64              `msgpack:"v"`
		Text     []byte             `msgpack:"t"`
		Queues   []Queue            `msgpack:"q"`
		Services map[string]Service `msgpack:"s"`
		// Organisations have distinct names and keys, see pimorganisation.Check.
		Organisations []pimorganisation.Organisation `msgpack:"g,omitempty"`
	}

	// Worker is one generation of a machine that runs tasks. Each restart of the worker begins a
	// generation with a higher number.
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
		// LeaseUnsettled is set while calls for an earlier generation of the worker may have given this one a longer lease than
		// any leader has granted it.
		LeaseUnsettled bool `msgpack:"lu,omitempty"`
	}

	// TaskKey identifies a task.
	TaskKey struct {
		Job        string `msgpack:"j"`
		Occurrence int    `msgpack:"o,omitempty"`
		Step       int    `msgpack:"s,omitempty"`
		Index      int    `msgpack:"i,omitempty"`
	}

	// Run is one execution of a task on a worker. Number is higher than that of all earlier runs of
	// the task. StartedAt is in milliseconds since 1970.
	Run struct {
		Number     int    `msgpack:"n"`
		Worker     string `msgpack:"w"`
		Generation int64  `msgpack:"b"`
		StartedAt  int64  `msgpack:"a"`
	}

	// Task is the state of a task. LastRun is the number of its newest run, Run its live run or nil.
	Task struct {
		Done     bool `msgpack:"d,omitempty"`
		LastRun  int  `msgpack:"l,omitempty"`
		Failures int  `msgpack:"f,omitempty"`
		// FailedRun is the number of the run last counted in Failures.
		FailedRun  int    `msgpack:"fr,omitempty"`
		Checkpoint string `msgpack:"s,omitempty"`
		Run        *Run   `msgpack:"r,omitempty"`
		// EndedAt is when its last run ended, in milliseconds since 1970.
		EndedAt int64 `msgpack:"e,omitempty"`
		// Crash is what is known about the workers that crashed under the task, or nil if none did.
		Crash *pimcrash.Record `msgpack:"c,omitempty"`
	}

	// StepState holds a step's tasks. OpenTasks counts those not done.
	StepState struct {
		Tasks     []Task `msgpack:"t"`
		OpenTasks int    `msgpack:"o"`
	}

	// Occurrence is one execution of a job's steps. OpenSteps counts those not done.
	Occurrence struct {
		Steps     []StepState `msgpack:"s"`
		OpenSteps int         `msgpack:"o"`
	}

	// Job is an accepted submission, with the settings of its queue at that time. AcceptedAt and
	// EndedAt are in milliseconds since 1970. OpenOccurrences counts those not done.
	Job struct {
		Submission Submission `msgpack:"s"`
		Queue      Queue      `msgpack:"q"`
		// Organisation is the name of the organisation whose key the caller gave, or "" for a queue that requires
		// no key.
		Organisation string `msgpack:"g,omitempty"`
		// OverRate means that the organisation had exceeded its rate when the job was accepted.
		OverRate   bool     `msgpack:"r,omitempty"`
		AcceptedAt int64    `msgpack:"a"`
		EndedAt    int64    `msgpack:"e,omitempty"`
		State      JobState `msgpack:"st"`
		// Begun is set once a worker is known to have begun a run of the job. A committed start is no proof of that: the worker
		// may refuse it or never get it.
		Begun           bool         `msgpack:"sd,omitempty"`
		Occurrences     []Occurrence `msgpack:"o"`
		OpenOccurrences int          `msgpack:"op"`
	}

	// LiveRun is a run that may still be running on a worker.
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
	// EndLeaseExpired is the end of a run whose worker's lease expired.
	EndLeaseExpired
	// EndGangBroken and EndGangIncomplete are ends of a run because of the other members of its
	// gang: with EndGangIncomplete, they did not start.
	EndGangBroken
	EndGangIncomplete
	// EndRefused is a start that the worker reported as not executed.
	EndRefused
	// EndLost is the end of a run on a generation of a worker that has ended.
	EndLost
)

var (
	jobStateNames = [...]string{"queued", "running", "completed", "failed", "cancelled"}
	endKindNames  = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone", "refused", "lost"}
)

// String returns the state's name.
func (s JobState) String() string { return jobStateNames[s] }

// IsEnded reports whether the job is completed, failed or cancelled.
func (s JobState) IsEnded() bool { return s >= Completed }

// String returns the name of the end kind.
func (k EndKind) String() string { return endKindNames[k] }

// String returns job, occurrence, step and index, separated by dots.
func (k TaskKey) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", k.Job, k.Occurrence, k.Step, k.Index)
}

// Fits reports whether need is at most r in every resource.
func (r Resources) Fits(need Resources) bool {
	return need.Millicores <= r.Millicores && need.MemoryMB <= r.MemoryMB && need.GPUs <= r.GPUs
}

// Minus returns r less used.
func (r Resources) Minus(used Resources) Resources {
	return Resources{r.Millicores - used.Millicores, r.MemoryMB - used.MemoryMB, r.GPUs - used.GPUs}
}

// Plus returns the sum of r and more.
func (r Resources) Plus(more Resources) Resources {
	return Resources{r.Millicores + more.Millicores, r.MemoryMB + more.MemoryMB, r.GPUs + more.GPUs}
}

// Amounts returns r in the form in which quotas are given.
func (r Resources) Amounts() pimorganisation.Resources {
	return pimorganisation.Resources{CPUMillis: r.Millicores, MemoryMB: r.MemoryMB, Accelerators: r.GPUs}
}

// Reserved returns what a task of the step takes from a worker's free capacity. Best-effort tasks
// reserve no processor time.
func (s *Step) Reserved() Resources {
	reserved := s.Need
	if s.BestEffort {
		reserved.Millicores = 0
	}
	return reserved
}

// DueAt returns when an occurrence may start, in milliseconds since 1970, or 0 if it may start at
// once.
func (s *Submission) DueAt(occurrence int) int64 {
	if s.Repeat == 0 {
		return 0
	}
	return s.StartAt + int64(occurrence)*s.Interval.Milliseconds()
}

// HasLabel reports whether the worker has a label. Every worker has "".
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
