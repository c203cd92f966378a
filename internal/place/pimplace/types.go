// Package pimplace decides which worker runs which task inside one failure domain.
// The leader of the domain group runs it over its worker table, its usage statistics
// and the replicated task table. A decision takes effect when the group has committed it.
//
// Times are durations on the clock of the daemon that leads the group.
package pimplace

import (
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimdomain"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimmanifest"
)

type (
	// TaskState is the state of an incarnation, as its worker reports it.
	TaskState string

	// CommandKind is what a worker must do with an incarnation.
	CommandKind string

	// TaskReport is the entry of one incarnation in a worker's report. CPUMillis and
	// MemoryMB are its current usage.
	TaskReport struct {
		Task        pimconfig.TaskID `json:"task" msgpack:"t"`
		Epoch       uint64           `json:"epoch" msgpack:"e"`
		Incarnation uint64           `json:"incarnation" msgpack:"i"`
		State       TaskState        `json:"state" msgpack:"s"`
		Checkpoint  uint64           `json:"checkpoint" msgpack:"c"`
		CPUMillis   int64            `json:"cpu-millis" msgpack:"u"`
		MemoryMB    int64            `json:"memory-mb" msgpack:"m"`
		// SlowdownPercent is the worker's estimate of how much slower the task runs than
		// it would without other tasks on the worker.
		SlowdownPercent int64 `json:"slowdown-percent" msgpack:"d"`
		// Throttled is set while the worker executes CommandThrottle for the incarnation.
		Throttled bool `json:"throttled,omitempty" msgpack:"h,omitempty"`
	}

	// Report is what a worker sends at least every ReportInterval. The usage in Tasks
	// was sampled AgeMillis before the report was sent. Boot differs at each start of
	// the worker; Sequence never decreases within a boot.
	Report struct {
		Worker    string                `json:"worker" msgpack:"w"`
		Domain    string                `json:"failure-domain" msgpack:"d"`
		Rack      string                `json:"rack" msgpack:"r"`
		Boot      string                `json:"boot" msgpack:"b"`
		Sequence  uint64                `json:"sequence" msgpack:"q"`
		AgeMillis int64                 `json:"age-millis" msgpack:"a"`
		Capacity  pimmanifest.Resources `json:"capacity" msgpack:"c"`
		Tasks     []TaskReport          `json:"tasks" msgpack:"t"`
	}

	// Command tells a worker what to do with one incarnation. A worker must ignore a
	// start once StartWithinMillis have passed since it sent the report.
	Command struct {
		Kind              CommandKind           `json:"kind" msgpack:"k"`
		Task              pimconfig.TaskID      `json:"task" msgpack:"t"`
		Epoch             uint64                `json:"epoch" msgpack:"e"`
		Incarnation       uint64                `json:"incarnation" msgpack:"i"`
		Checkpoint        uint64                `json:"checkpoint" msgpack:"c"`
		Needs             pimmanifest.Resources `json:"needs" msgpack:"n"`
		RunTimeMillis     int64                 `json:"run-time-millis" msgpack:"r"`
		Service           bool                  `json:"service" msgpack:"s"`
		StartWithinMillis int64                 `json:"start-within-millis" msgpack:"w"`
	}

	// ReportResponse answers a report. The lease of LeaseMillis starts when the worker
	// sent the report; a worker whose lease has expired stops all its tasks.
	ReportResponse struct {
		LeaseMillis int64     `json:"lease-millis" msgpack:"l"`
		Commands    []Command `json:"commands" msgpack:"c"`
	}

	// TaskSpec is what the manifest declares for the tasks of a service or batch job.
	TaskSpec struct {
		Service    bool
		Priority   int
		Team       string
		Needs      pimmanifest.Resources
		RunTime    time.Duration
		Checkpoint bool
	}

	// OwnedTask is a task that the configuration assigns to this failure domain.
	OwnedTask struct {
		Owner pimconfig.Owner
		Spec  TaskSpec
	}

	// View is a snapshot of the replicated state. Owned comes from the configuration at
	// ConfigVersion; State is the group's state after the log entry at AppliedIndex.
	//
	// ConfigCurrent is true when the configuration is known to be the newest. When it is
	// false, a task missing from Owned may have been assigned here since.
	//
	// StartsAllowed is false when the failure domain is out of service or the
	// configuration may be stale. BatchAllowed is false when the configuration has been
	// stale for so long that other failure domains may own the batch tasks by now.
	View struct {
		ConfigVersion uint64
		ConfigCurrent bool
		Owned         map[pimconfig.TaskID]OwnedTask
		State         *pimdomain.State
		AppliedIndex  uint64
		StartsAllowed bool
		BatchAllowed  bool
	}

	// Worker is a row of the worker table. Failures counts failed incarnations in a
	// row, FailedJobs lists their jobs. Usage is the sum over Tasks, sampled at UsageAt.
	Worker struct {
		ID               string
		Rack             string
		Boot             string
		Sequence         uint64
		Capacity         pimmanifest.Resources
		LastSeenAt       time.Duration
		Usage            pimmanifest.Resources
		UsageAt          time.Duration
		Tasks            map[pimconfig.TaskID]TaskReport
		Failures         int
		FailedJobs       map[string]bool
		Succeeded        bool
		QuarantinedUntil time.Duration
		ThrottledAt      time.Duration
		EvictedAt        time.Duration
	}

	// Decision is a placement decision to log. Choice is a worker; Candidates is the
	// number of workers with enough free capacity.
	Decision struct {
		Task       pimconfig.TaskID
		Choice     string
		Reason     string
		Candidates int
	}

	// reservation is the capacity of a worker that an assignment takes until the log entry
	// at logIndex is applied. logIndex is the maximum until the entry has an index.
	reservation struct {
		worker   string
		needs    pimmanifest.Resources
		logIndex uint64
	}

	// Placer holds the placement tables of one failure domain's leader. It proposes
	// commands for the group's log and never changes the replicated state itself.
	Placer struct {
		leaderSince time.Duration
		workers     map[string]*Worker
		jobs        map[string]*jobStats
		pairs       map[jobPair]*pairStats
		reserved    map[pimconfig.TaskID]reservation
		// stopping maps a task to the incarnation that its worker must stop.
		stopping map[pimconfig.TaskID]uint64
		// pendingLosses maps a task to the index of the unapplied log entry that ends it as
		// lost. Its worker gets no lease until that entry is applied.
		pendingLosses map[pimconfig.TaskID]uint64
		// throttled maps a task to the incarnation that its worker is to throttle.
		throttled map[pimconfig.TaskID]uint64
		// countedEnds maps a task to the incarnation whose end is in the statistics, so
		// that a repeated report is not counted twice.
		countedEnds      map[pimconfig.TaskID]uint64
		lastView         viewKey
		waitingTasks     int
		evictionTokens   float64
		tokensRefilledAt time.Duration
		proposals        []pimdomain.Command
		decisions        []Decision
		policy           Policy
	}
)

// States of an incarnation on a worker. A stopped incarnation was ended by a command
// or by the expiry of the lease.
const (
	TaskRunning  TaskState = "running"
	TaskFinished TaskState = "finished"
	TaskFailed   TaskState = "failed"
	TaskStopped  TaskState = "stopped"
)

// Commands to a worker. CommandCheckpoint saves the task's progress and stops it.
// CommandForget lets the worker drop its record of an ended incarnation.
const (
	CommandStart      CommandKind = "start"
	CommandStop       CommandKind = "stop"
	CommandCheckpoint CommandKind = "checkpoint"
	CommandThrottle   CommandKind = "throttle"
	CommandUnthrottle CommandKind = "unthrottle"
	CommandForget     CommandKind = "forget"
)

// Timing of reports and worker leases.
const (
	ReportInterval = 500 * time.Millisecond
	// WorkerLease is how long a worker may run its tasks after it sent a report.
	WorkerLease = 6 * time.Second
	// LeaseMargin is added to WorkerLease before the leader counts a worker's tasks as lost.
	LeaseMargin = 900 * time.Millisecond
	// StartWithin is how long after its report a worker may still execute a start.
	StartWithin  = time.Second
	TickInterval = 100 * time.Millisecond
)

// maxWorkers bounds the worker table of a failure domain.
const maxWorkers = 20_000
