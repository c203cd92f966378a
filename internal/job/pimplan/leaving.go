package pimplan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimstop"
)

type (
	// leavingState holds what was decided about the runs on draining hosts. Moves are the runs that are being stopped,
	// refusedUntil is when a move that was refused is considered again.
	leavingState struct {
		draining map[string]bool
		// nextAt is when the runs on draining hosts are considered again.
		nextAt       time.Duration
		moves        map[pimjob.TaskKey]leavingMove
		refusedUntil map[pimjob.TaskKey]time.Duration
	}

	// leavingMove is a run that is being stopped. Target is a host with room for the task, which the planner need not
	// choose in the end.
	leavingMove struct {
		number       int
		from, target string
	}

	// leavingRun is a run of a task that may have to be moved. WorkLost is set if a stop discards its work.
	leavingRun struct {
		live     pimjob.LiveRun
		host     *host
		step     *pimjob.Step
		job      *pimjob.Job
		observed pimfleet.ObservedRun
		workLost bool
	}

	// leavingHost is a host that leaves, and until when it stays at least.
	leavingHost struct {
		host  *host
		until time.Duration
	}
)

const (
	// maxMovesFromHost is how many runs of a leaving host are stopped at a time. With 100 to 200 ms for a stop, 50 runs
	// leave within the 2.5 s for which a worker stays at least, and other tasks start in between.
	maxMovesFromHost = 4
	// leavingInterval is how often the runs on draining hosts are considered. Plans are made every 8 ms under load, and 70
	// hosts of 1,000 may drain at once. The stop of a run takes longer than this.
	leavingInterval = 50 * time.Millisecond
	// refusedMoveDelay is how long a move that was refused for lack of room is not considered again.
	refusedMoveDelay = 500 * time.Millisecond
	// savedMoveQuantile and lostMoveQuantile are the quantiles of the remaining time that must exceed the time for which
	// the host stays, for runs whose work a stop saves and discards. A needless stop costs the former only a restart.
	savedMoveQuantile = 0.5
	lostMoveQuantile  = 0.1
	// finalStopMargin covers the way of the last stops to a leaving host, and that of the ends into the log.
	finalStopMargin = 250 * time.Millisecond
	// maxLastStops limits the last stops in a plan. A host that leaves with more runs stops the others when it leaves.
	maxLastStops = 512
)

func newLeavingState() leavingState {
	return leavingState{
		draining: map[string]bool{}, moves: map[pimjob.TaskKey]leavingMove{},
		refusedUntil: map[pimjob.TaskKey]time.Duration{},
	}
}

// setDraining records whether a host is draining.
func (s *leavingState) setDraining(id string, draining bool) {
	if draining {
		s.draining[id] = true
	} else {
		delete(s.draining, id)
	}
}

// movesFrom returns how many runs of a host are being stopped.
func (s *leavingState) movesFrom(id string) int {
	count := 0
	for _, move := range s.moves {
		if move.from == id {
			count++
		}
	}
	return count
}

// moveFromLeavingHosts stops runs that can't end before their host leaves, so that they start elsewhere. Runs whose work
// a stop saves come first, then those that have run for the shortest time. What is left shortly before the host leaves is
// stopped in any case: nothing but its lease proves the end of a run on a host that has gone.
func (p *Planner) moveFromLeavingHosts(now time.Duration, plan *Plan) {
	if now < p.leaving.nextAt || !p.uses(LeavingHostMoves) {
		return
	}
	p.leaving.nextAt = now + leavingInterval
	p.forgetEndedMoves()
	leaving := p.leavingHosts()
	if len(leaving) == 0 {
		clear(p.leaving.refusedUntil)
		return
	}
	release := p.holdRoomOfMoves()
	defer release()
	stopsBefore := len(plan.Stops)
	for _, from := range leaving {
		leavesSoon := p.leavesSoon(now, from)
		for _, run := range p.runsToMove(from.host) {
			group := p.moveGroup(run)
			if group == nil && leavesSoon && !run.step.Gang {
				group = []leavingRun{run}
			}
			if group == nil || !p.mustMove(now, from, run, group, leaving) {
				continue
			}
			if leavesSoon {
				if len(plan.Stops)-stopsBefore >= maxLastStops {
					break
				}
				p.moveAll(now, from, group, plan)
				continue
			}
			if inProgress := p.leaving.movesFrom(from.host.worker.ID); inProgress > 0 && inProgress+len(group) > maxMovesFromHost {
				break
			}
			p.moveAll(now, from, group, plan)
		}
	}
}

// leavesSoon reports whether the runs on a leaving host have to be stopped now to have ended when it leaves.
func (p *Planner) leavesSoon(now time.Duration, from leavingHost) bool {
	return from.until-now <= p.waits.settings.StopTimeout+finalStopMargin
}

// leavingHosts returns the draining hosts of which it is known how long they stay, sorted by id.
func (p *Planner) leavingHosts() []leavingHost {
	var leaving []leavingHost
	for _, id := range slices.Sorted(maps.Keys(p.leaving.draining)) {
		until, ok := p.workers.StaysUntil(id)
		if h := p.hosts[id]; ok && h != nil {
			leaving = append(leaving, leavingHost{h, until})
		}
	}
	return leaving
}

// forgetEndedMoves removes the moves and refusals of runs that have ended.
func (p *Planner) forgetEndedMoves() {
	maps.DeleteFunc(p.leaving.moves, func(key pimjob.TaskKey, move leavingMove) bool {
		task, _, _ := p.state.Task(key)
		return task == nil || task.Run == nil || task.Run.Number != move.number
	})
	maps.DeleteFunc(p.leaving.refusedUntil, func(key pimjob.TaskKey, _ time.Duration) bool {
		task, _, _ := p.state.Task(key)
		return task == nil || task.Run == nil
	})
}

// holdRoomOfMoves takes the room of the runs that are being stopped on their targets, and returns a function that frees
// that room and what moves have taken since.
func (p *Planner) holdRoomOfMoves() func() {
	for _, key := range slices.SortedFunc(maps.Keys(p.leaving.moves), pimjob.CompareKeys) {
		move := p.leaving.moves[key]
		_, step, _ := p.state.Task(key)
		if target := p.hosts[move.target]; target != nil {
			target.add(key, step)
		} else {
			move.target = ""
			p.leaving.moves[key] = move
		}
	}
	return func() {
		for _, key := range slices.SortedFunc(maps.Keys(p.leaving.moves), pimjob.CompareKeys) {
			_, step, _ := p.state.Task(key)
			if target := p.hosts[p.leaving.moves[key].target]; target != nil {
				target.remove(key, step)
			}
		}
	}
}

// runsToMove returns the runs on a leaving host that are not being stopped, in the order in which they are considered.
func (p *Planner) runsToMove(h *host) []leavingRun {
	observed := map[pimjob.TaskKey]pimfleet.ObservedRun{}
	for _, run := range p.workers.ObservedRuns(h.worker.ID) {
		observed[run.Status.Key] = run
	}
	var runs []leavingRun
	for key, live := range p.state.RunsOn(h.worker.ID) {
		if _, moving := p.leaving.moves[key]; moving || live.Run.Generation != h.worker.Generation {
			continue
		}
		if run, ok := p.leavingRunOf(live, h, observed); ok && !run.observed.Stopping {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(a, b leavingRun) int {
		if a.workLost != b.workLost {
			if b.workLost {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.live.Run.StartedAt, a.live.Run.StartedAt), pimjob.CompareKeys(a.live.Key, b.live.Key))
	})
	return runs
}

// leavingRunOf returns a live run with its last report, or false if its task is unknown or its job has ended. A run that
// is not listed yet has made no progress.
func (p *Planner) leavingRunOf(
	live pimjob.LiveRun, h *host, reported map[pimjob.TaskKey]pimfleet.ObservedRun,
) (leavingRun, bool) {
	_, step, job := p.state.Task(live.Key)
	if step == nil || job.State.IsEnded() {
		return leavingRun{}, false
	}
	run := leavingRun{live: live, host: h, step: step, job: job, workLost: !step.Checkpoints && !step.LongRunning}
	run.observed.Status = pimfleet.RunStatus{Key: live.Key, Number: live.Run.Number}
	if report, ok := reported[live.Key]; ok && report.Status.Number == live.Run.Number {
		run.observed = report
	}
	return run, true
}

// speed returns the speed that the leader has requested for the run.
func (r *leavingRun) speed() float64 {
	if r.observed.ListedAt == 0 {
		return 1
	}
	return max(minSpeed, float64(r.observed.SpeedPercent)/fullSpeed)
}

// moveGroup returns the runs that have to be moved together with a run, or nil if none may be moved. A gang loses all its
// runs with one of them. The runs of another same-rack step are independent: those on hosts that stay would be stopped
// for nothing, so that such a step is moved only if all its runs are on leaving hosts.
func (p *Planner) moveGroup(run leavingRun) []leavingRun {
	if !run.step.Gang && !run.step.SameRack {
		return []leavingRun{run}
	}
	var group []leavingRun
	key := run.live.Key
	for index, task := range run.job.Occurrences[key.Occurrence].Steps[key.Step].Tasks {
		if task.Run == nil {
			continue
		}
		key.Index = index
		h := p.hosts[task.Run.Worker]
		if _, moving := p.leaving.moves[key]; moving || h == nil || h.worker.Generation != task.Run.Generation {
			return nil
		}
		if !run.step.Gang && !h.worker.Draining {
			return nil
		}
		reported := map[pimjob.TaskKey]pimfleet.ObservedRun{}
		for _, report := range p.workers.ObservedRuns(h.worker.ID) {
			reported[report.Status.Key] = report
		}
		member, _ := p.leavingRunOf(pimjob.LiveRun{Key: key, Run: *task.Run}, h, reported)
		group = append(group, member)
	}
	return group
}

// mustMove reports whether the runs of a group can't end before the host leaves, or, for a long-running step, whether too
// many of its tasks would be without a run at a time.
func (p *Planner) mustMove(now time.Duration, from leavingHost, run leavingRun, group []leavingRun, leaving []leavingHost) bool {
	leavesSoon := p.leavesSoon(now, from)
	if !leavesSoon && now < p.leaving.refusedUntil[run.live.Key] {
		return false
	}
	if run.step.LongRunning {
		// A group moves as a whole, which is the same gap as when its host leaves.
		return leavesSoon || (len(group) == 1 && p.mustMoveLongRunning(from, run, leaving))
	}
	if run.step.Estimate <= 0 {
		return leavesSoon
	}
	stays := from.until - now
	q := savedMoveQuantile
	if run.workLost && !leavesSoon {
		q = lostMoveQuantile
	}
	for _, member := range group {
		left := (1 - float64(member.observed.Status.ProgressPercent)/100) / member.speed()
		remaining := time.Duration(left * float64(p.fullDuration(member.job, member.live.Key, member.host, q)))
		// The first member of a gang that is done completes the gang.
		if remaining <= stays {
			return false
		}
	}
	return true
}

// mustMoveLongRunning reports whether a long-running task moves before its host leaves. The gap is the same when the task
// moves and when its host leaves, and a task that goes on serves for longer. So tasks move only if more of their step
// than may be missing would lose their runs at about the same time, and no more than that at a time. One is away in any
// case.
func (p *Planner) mustMoveLongRunning(from leavingHost, run leavingRun, leaving []leavingHost) bool {
	mayMiss, away, together := max(1, run.step.MayMiss), 0, 0
	leavesAt := make(map[string]time.Duration, len(leaving))
	for _, other := range leaving {
		leavesAt[other.host.worker.ID] = other.until
	}
	key := run.live.Key
	for index, task := range run.job.Occurrences[key.Occurrence].Steps[key.Step].Tasks {
		key.Index = index
		if _, moving := p.leaving.moves[key]; moving || task.Run == nil {
			away++
			continue
		}
		if until, ok := leavesAt[task.Run.Worker]; ok && (until-from.until).Abs() <= migrationCost {
			together++
		}
	}
	return together > mayMiss && away < mayMiss
}

// moveAll stops the runs of a group if other hosts have room for all of them, or if their host leaves soon.
func (p *Planner) moveAll(now time.Duration, from leavingHost, group []leavingRun, plan *Plan) {
	targets := make([]*host, 0, len(group))
	for _, run := range group {
		target := p.roomElsewhere(run.live.Key, run.step, run.host)
		if target == nil {
			break
		}
		target.add(run.live.Key, run.step)
		targets = append(targets, target)
	}
	request := stopRequest{reason: pimstop.HostLeaving, here: max(0, from.until-now), lostHere: true}
	if len(targets) < len(group) {
		for i, target := range targets {
			target.remove(group[i].live.Key, group[i].step)
		}
		if !p.leavesSoon(now, from) {
			for _, run := range group {
				p.leaving.refusedUntil[run.live.Key] = now + refusedMoveDelay
				p.stops.Refuse(p.decisionOf(run.host, run.observed, request), pimstop.NoRoom)
			}
			return
		}
		targets = nil
	}
	for i, run := range group {
		move := leavingMove{number: run.live.Run.Number, from: from.host.worker.ID}
		if targets != nil {
			move.target = targets[i].worker.ID
		}
		p.leaving.moves[run.live.Key] = move
		p.stop(now, run.host, run.observed, request, plan)
	}
}
