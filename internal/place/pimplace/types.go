// Package pimplace decides which worker runs which task inside one failure domain.
// It holds tables of workers and estimates, and systems that run over them and over
// the replicated task table each tick. The leader of the domain group runs it; what
// it decides becomes effective when the group has committed it.
package pimplace

import (
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimdomain"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimmanifest"
)

type (
	// TaskState is what a worker says of an incarnation.
	TaskState string

	// CommandKind is what a worker is told to do.
	CommandKind string

	// TaskReport is one line of a worker's report.
	TaskReport struct {
		Task        pimconfig.TaskID `json:"task" msgpack:"t"`
		Epoch       uint64           `json:"epoch" msgpack:"e"`
		Incarnation uint64           `json:"incarnation" msgpack:"i"`
		State       TaskState        `json:"state" msgpack:"s"`
		Checkpoint  uint64           `json:"checkpoint" msgpack:"c"`
		CPUMillis   int64            `json:"cpu-millis" msgpack:"u"`
		MemoryMB    int64            `json:"memory-mb" msgpack:"m"`
		// SlowdownPercent is how much slower the task ran than alone, as far as the worker can tell.
		SlowdownPercent int64 `json:"slowdown-percent" msgpack:"d"`
	}

	// Report is what a worker sends at least every ReportInterval. Its usage was
	// taken AgeMillis before it was sent, and belongs to the tasks of this report.
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

	// Command is one thing that a worker is told. A start is void once
	// StartWithinMillis have passed since the worker sent the report.
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

	// ReportResponse is the reply to a report. LeaseMillis counts from when the report was
	// sent; a worker whose lease is over stops all its tasks.
	ReportResponse struct {
		LeaseMillis int64     `json:"lease-millis" msgpack:"l"`
		Commands    []Command `json:"commands" msgpack:"c"`
	}

	// TaskSpec is what the manifest says of a task.
	TaskSpec struct {
		Service    bool
		Priority   int
		Team       string
		Needs      pimmanifest.Resources
		RunTime    time.Duration
		Checkpoint bool
	}

	// OwnedTask is a task that the configuration gives to this failure domain.
	OwnedTask struct {
		Owner pimconfig.Owner
		Spec  TaskSpec
	}

	// View is what a tick sees of the replicated state. Current tells that the
	// configuration, from which Owned comes, is known to be the newest; else a task
	// that it lacks may be one that it does not know yet. StartsAllowed is false when
	// the failure domain is out, or the configuration may be old. HoldBatch is false when
	// it has been old for so long that batch tasks may have been given to others.
	View struct {
		ConfigVersion uint64
		ConfigCurrent bool
		Owned         map[pimconfig.TaskID]OwnedTask
		State         *pimdomain.State
		AppliedIndex  uint64
		StartsAllowed bool
		BatchAllowed  bool
	}

	// Worker is a row of the worker table.
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

	// Decision is one placement decision for the log.
	Decision struct {
		Task       pimconfig.TaskID
		Choice     string
		Reason     string
		Candidates int
	}

	// reservation holds a worker's room for an assignment that is not applied yet.
	reservation struct {
		worker   string
		needs    pimmanifest.Resources
		logIndex uint64
	}

	// Placer is the tables of one failure domain's leader.
	Placer struct {
		leaderSince time.Duration
		workers     map[string]*Worker
		jobs        map[string]*jobStats
		pairs       map[jobPair]*pairStats
		reserved    map[pimconfig.TaskID]reservation
		stopping    map[pimconfig.TaskID]uint64
		// pendingLosses holds the log index of the entry that ends a task as lost, until it is
		// applied. Its worker gets no lease meanwhile.
		pendingLosses    map[pimconfig.TaskID]uint64
		throttled        map[pimconfig.TaskID]bool
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

// States of an incarnation on a worker.
const (
	TaskRunning  TaskState = "running"
	TaskFinished TaskState = "finished"
	TaskFailed   TaskState = "failed"
	TaskStopped  TaskState = "stopped"
)

// Commands to a worker. Checkpoint saves the task's progress and stops it. Forget
// lets the worker drop the record of an incarnation that has ended.
const (
	CommandStart      CommandKind = "start"
	CommandStop       CommandKind = "stop"
	CommandCheckpoint CommandKind = "checkpoint"
	CommandThrottle   CommandKind = "throttle"
	CommandUnthrottle CommandKind = "unthrottle"
	CommandForget     CommandKind = "forget"
)

// Timing of worker leases.
const (
	ReportInterval = 500 * time.Millisecond
	WorkerLease    = 6 * time.Second
	LeaseMargin    = 900 * time.Millisecond
	StartWithin    = time.Second
	TickInterval   = 100 * time.Millisecond
)

const maxWorkers = 20_000
