package pimplace

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimdomain"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimmanifest"
)

// NewPlacer returns the tables of a leader that starts now. Workers with a lease of an
// earlier leader count as alive until a whole lease has passed.
func NewPlacer(now time.Duration, policy Policy) *Placer {
	return &Placer{
		leaderSince:    now,
		workers:        map[string]*Worker{},
		jobs:           map[string]*jobStats{},
		pairs:          map[jobPair]*pairStats{},
		reserved:       map[pimconfig.TaskID]reservation{},
		stopping:       map[pimconfig.TaskID]uint64{},
		pendingLosses:  map[pimconfig.TaskID]uint64{},
		throttled:      map[pimconfig.TaskID]uint64{},
		countedEnds:    map[pimconfig.TaskID]uint64{},
		evictionTokens: evictionBurst,
		policy:         policy,
	}
}

// Workers returns the rows of the worker table sorted by ID.
func (p *Placer) Workers() []*Worker {
	rows := slices.Collect(maps.Values(p.workers))
	slices.SortFunc(rows, func(a, b *Worker) int { return cmp.Compare(a.ID, b.ID) })
	return rows
}

// Take removes and returns the commands to propose and the decisions to log.
func (p *Placer) Take() ([]pimdomain.Command, []Decision) {
	proposals, decisions := p.proposals, p.decisions
	p.proposals, p.decisions = nil, nil
	return proposals, decisions
}

// OnProposed records the log index of a command from Take; zero means that it could not
// be proposed.
func (p *Placer) OnProposed(command pimdomain.Command, index uint64) {
	switch c := command.(type) {
	case pimdomain.AssignTasks:
		for _, a := range c.Assignments {
			r := p.reserved[a.Task]
			r.logIndex = index
			p.reserved[a.Task] = r
			if index == 0 {
				delete(p.reserved, a.Task)
			}
		}
	case pimdomain.EndTasks:
		for _, e := range c.Endings {
			if e.Outcome == pimdomain.OutcomeLost {
				p.pendingLosses[e.Task] = index
			}
		}
	}
}

// hasPendingLoss reports whether an unapplied log entry ends tasks of a worker as lost.
func (p *Placer) hasPendingLoss(worker string, view View) bool {
	return slices.ContainsFunc(view.State.TasksOn(worker), func(id pimconfig.TaskID) bool {
		_, pending := p.pendingLosses[id]
		return pending
	})
}

// HandleReport records a worker's report and returns its lease and commands. It refuses the
// report with LeaseExpired while the loss of the worker's tasks is being committed, with
// BadRequest if the sequence decreases, and with Overloaded if the worker table is full.
func (p *Placer) HandleReport(now time.Duration, report Report, view View) (ReportResponse, error) {
	worker := p.workers[report.Worker]
	if worker == nil {
		if len(p.workers) >= maxWorkers {
			return ReportResponse{}, pimcode.New(pimcode.Overloaded, "the worker table is full: %d workers", maxWorkers)
		}
		worker = &Worker{ID: report.Worker, FailedJobs: map[string]bool{}}
		p.workers[report.Worker] = worker
	}
	if report.Boot == worker.Boot && report.Sequence < worker.Sequence {
		return ReportResponse{}, pimcode.New(pimcode.BadRequest,
			"sequence: %d: must not be lower than %d", report.Sequence, worker.Sequence)
	}
	if p.hasPendingLoss(worker.ID, view) {
		return ReportResponse{}, pimcode.New(pimcode.LeaseExpired, "the tasks of worker %s are being reassigned", worker.ID)
	}
	p.storeReport(now, worker, report)
	p.endReported(worker, view)
	return ReportResponse{LeaseMillis: WorkerLease.Milliseconds(), Commands: p.commandsFor(worker, view)}, nil
}

// storeReport replaces the worker's row and adds the report to the usage statistics.
func (p *Placer) storeReport(now time.Duration, worker *Worker, report Report) {
	worker.Rack = report.Rack
	worker.Boot = report.Boot
	worker.Sequence = report.Sequence
	worker.Capacity = report.Capacity
	worker.LastSeenAt = now
	worker.UsageAt = now - time.Duration(report.AgeMillis)*time.Millisecond
	worker.Usage = pimmanifest.Resources{}
	worker.Tasks = make(map[pimconfig.TaskID]TaskReport, len(report.Tasks))
	for _, task := range report.Tasks {
		worker.Tasks[task.Task] = task
		worker.Usage.CPUMillis += task.CPUMillis
		worker.Usage.MemoryMB += task.MemoryMB
	}
	p.recordUsage(report)
}

// endReported proposes the end of incarnations that the worker reports as ended, and
// counts each of them once.
func (p *Placer) endReported(worker *Worker, view View) {
	var endings []pimdomain.Ending
	for _, id := range slices.SortedFunc(maps.Keys(worker.Tasks), pimconfig.CompareTasks) {
		report := worker.Tasks[id]
		row := view.State.Tasks[id]
		if report.State == TaskRunning || !(isCurrentIncarnation(row, worker.ID, report) || isLateEnd(row, report)) {
			continue
		}
		outcome := outcomeOf(report.State)
		endings = append(endings, pimdomain.Ending{
			Task: id, Epoch: row.Epoch, Incarnation: row.Incarnation, Outcome: outcome, Checkpoint: report.Checkpoint,
		})
		if p.countedEnds[id] != row.Incarnation {
			p.countedEnds[id] = row.Incarnation
			p.countEnd(worker, id, outcome)
		}
	}
	if len(endings) > 0 {
		p.proposals = append(p.proposals, pimdomain.EndTasks{Endings: endings})
	}
}

// isCurrentIncarnation reports whether a report is about the incarnation that the row
// assigns to the worker.
func isCurrentIncarnation(row pimdomain.Task, worker string, report TaskReport) bool {
	return row.Worker == worker && row.Epoch == report.Epoch && row.Incarnation == report.Incarnation
}

// isLateEnd reports whether a worker reports the end of an incarnation that was already
// ended as lost, and no other incarnation has been started since.
func isLateEnd(row pimdomain.Task, report TaskReport) bool {
	same := row.Epoch == report.Epoch && row.Incarnation == report.Incarnation
	return same && report.State != TaskRunning && row.AcceptsLateEnd(outcomeOf(report.State))
}

func outcomeOf(state TaskState) pimdomain.Outcome {
	switch state {
	case TaskFinished:
		return pimdomain.OutcomeFinished
	case TaskFailed:
		return pimdomain.OutcomeFailed
	default:
		return pimdomain.OutcomeStopped
	}
}

// commandsFor returns the commands that bring a worker in line with the task table.
func (p *Placer) commandsFor(worker *Worker, view View) []Command {
	var commands []Command
	for _, id := range slices.SortedFunc(maps.Keys(worker.Tasks), pimconfig.CompareTasks) {
		report := worker.Tasks[id]
		if command, ok := p.commandForReported(worker, id, report, view); ok {
			commands = append(commands, command)
		}
	}
	for _, id := range view.State.TasksOn(worker.ID) {
		row := view.State.Tasks[id]
		report, reported := worker.Tasks[id]
		if reported && report.Epoch == row.Epoch && report.Incarnation == row.Incarnation {
			continue
		}
		commands = append(commands, p.commandsForUnreported(id, row, view)...)
	}
	return commands
}

// commandForReported returns the command for an incarnation that the worker reports, or
// false if it needs none.
func (p *Placer) commandForReported(worker *Worker, id pimconfig.TaskID, report TaskReport, view View) (Command, bool) {
	command := Command{Task: id, Epoch: report.Epoch, Incarnation: report.Incarnation}
	row := view.State.Tasks[id]
	switch {
	case isLateEnd(row, report):
		return command, false
	case !isCurrentIncarnation(row, worker.ID, report) && report.State == TaskRunning:
		command.Kind = CommandStop
	case !isCurrentIncarnation(row, worker.ID, report):
		command.Kind = CommandForget
	case report.State != TaskRunning:
		return command, false
	case p.stopping[id] == row.Incarnation && row.Incarnation > 0:
		command.Kind = CommandCheckpoint
	case p.throttled[id] == row.Incarnation && row.Incarnation > 0:
		command.Kind = CommandThrottle
	case report.Throttled:
		command.Kind = CommandUnthrottle
	default:
		return command, false
	}
	return command, true
}

// commandsForUnreported starts an assigned incarnation that the worker does not report.
// If the incarnation has to stop, it returns a stop instead, so that a delayed start
// can't take effect later. It returns nothing while starts are not allowed or if a stale
// configuration lacks the task.
func (p *Placer) commandsForUnreported(id pimconfig.TaskID, row pimdomain.Task, view View) []Command {
	command := Command{Kind: CommandStop, Task: id, Epoch: row.Epoch, Incarnation: row.Incarnation}
	owned, ok := view.Owned[id]
	if !ok && !view.ConfigCurrent {
		return nil
	}
	withdrawn := !ok || owned.Owner.Releasing || p.stopping[id] == row.Incarnation
	if withdrawn {
		return []Command{command}
	}
	if !view.StartsAllowed {
		return nil
	}
	command.Kind = CommandStart
	command.Checkpoint = row.Checkpoint
	command.Needs = owned.Spec.Needs
	command.RunTimeMillis = owned.Spec.RunTime.Milliseconds()
	command.Service = owned.Spec.Service
	command.StartWithinMillis = StartWithin.Milliseconds()
	return []Command{command}
}
