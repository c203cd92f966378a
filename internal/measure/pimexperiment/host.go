package pimexperiment

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// modelHost executes the calls of a fleet in virtual time.
	modelHost struct {
		worker pimjob.Worker
		// phase is that of the load of its serving tasks.
		phase    float64
		runs     map[pimjob.TaskKey]*modelRun
		ended    []pimfleet.EndedRun
		sequence int64
		// renewal is the call that the host holds until a run ends, or nil.
		renewal        *pimfleet.RenewLease
		silent, absent bool
		slowness       float64
		startedAt      time.Duration
		leaseDeadline  time.Duration
		nextHeartbeat  time.Duration
		// stopped holds the highest number of a run that ended or was stopped, by task.
		stopped map[pimjob.TaskKey]int
	}

	modelRun struct {
		number int
		step   *pimjob.Step
		// work is what the task takes in core-seconds, done how much of it is done.
		work, done float64
		checkpoint float64
		speed      float64
		cores      float64
		tailMillis float64
	}
)

const (
	tick              = 20 * time.Millisecond
	heartbeatInterval = 1500 * time.Millisecond
	leaseDuration     = 8 * time.Second
	renewalWait       = time.Second
	callTimeout       = 500 * time.Millisecond
	// The load of a serving task varies around meanLoad of its request by the share loadSwing with the period loadPeriod.
	meanLoad   = 0.42
	loadSwing  = 0.5
	loadPeriod = 10.0
	// idleHeadroom is the target of a serving task divided by its tail latency without any load.
	idleHeadroom = 4.5
	targetTail   = 18 * time.Millisecond
	// heavyTake and lightTake are the headroom that a core of a best-effort image takes from a serving image.
	heavyTake, lightTake = 0.09, 0.004
)

func newModelHost(worker pimjob.Worker, random *rand.Rand) *modelHost {
	return &modelHost{
		worker: worker, phase: random.Float64() * 2 * math.Pi, runs: map[pimjob.TaskKey]*modelRun{}, slowness: 1,
		stopped:       map[pimjob.TaskKey]int{},
		nextHeartbeat: time.Duration(random.Int64N(int64(heartbeatInterval))),
	}
}

func (h *modelHost) clock(now time.Duration) time.Duration {
	return now - h.startedAt + time.Millisecond
}

// restart makes the host return as a new generation that has nothing.
func (h *modelHost) restart(now time.Duration) {
	h.worker.Generation++
	h.startedAt, h.leaseDeadline, h.sequence = now, 0, 0
	h.runs, h.ended, h.renewal, h.stopped = map[pimjob.TaskKey]*modelRun{}, nil, nil, map[pimjob.TaskKey]int{}
}

// handle executes a call. It returns false if the response comes later.
func (h *modelHost) handle(d *day, call pimfleet.Call) (pimfleet.Result, bool) {
	result := pimfleet.Result{Call: call, Outcome: pimfleet.OutcomeExecuted, Clock: h.clock(d.now), Generation: h.worker.Generation}
	if pimfleet.TargetOf(call).Generation != h.worker.Generation {
		result.Outcome = pimfleet.OutcomeOtherGeneration
		return result, true
	}
	switch call := call.(type) {
	case pimfleet.RenewLease:
		h.leaseDeadline = max(h.leaseDeadline, call.Deadline)
		h.ended = slices.DeleteFunc(h.ended, func(end pimfleet.EndedRun) bool { return end.Sequence <= call.Cursor })
		h.renewal = &call
		return result, false
	case pimfleet.StartRun:
		h.start(d, call, &result)
	case pimfleet.StopRun:
		if run := h.runs[call.Key]; run != nil && run.number <= call.Number {
			d.discard(run)
			h.end(call.Key, pimjob.EndStopped)
		}
		h.stopped[call.Key] = max(h.stopped[call.Key], call.Number)
	case pimfleet.ThrottleRun:
		if run := h.runs[call.Key]; run != nil {
			run.speed = float64(call.SpeedPercent) / 100
		}
	}
	return result, true
}

func (h *modelHost) start(d *day, call pimfleet.StartRun, result *pimfleet.Result) {
	h.leaseDeadline = max(h.leaseDeadline, call.Deadline)
	if run := h.runs[call.Key]; run != nil && run.number == call.Number {
		return
	}
	_, step, _ := d.state.Task(call.Key)
	switch {
	case call.Number <= h.stopped[call.Key]:
		result.Outcome, result.Reason = pimfleet.OutcomeRejected, pimfleet.ReasonStaleRun
	case !h.fits(step):
		result.Outcome, result.Reason = pimfleet.OutcomeRejected, pimfleet.ReasonNoCapacity
	default:
		run := &modelRun{number: call.Number, step: step, work: d.work[call.Key], speed: 1}
		if step.Checkpoints {
			run.done = d.saved[call.Key]
			run.checkpoint = run.done
		}
		h.runs[call.Key] = run
	}
}

func (h *modelHost) fits(step *pimjob.Step) bool {
	used := step.Reserved()
	for _, run := range h.runs {
		used = used.Plus(run.step.Reserved())
	}
	return h.worker.Capacity.Fits(used)
}

func (h *modelHost) end(key pimjob.TaskKey, kind pimjob.EndKind) {
	h.sequence++
	h.stopped[key] = max(h.stopped[key], h.runs[key].number)
	h.ended = append(h.ended, pimfleet.EndedRun{Sequence: h.sequence, Key: key, Number: h.runs[key].number, EndKind: kind})
	delete(h.runs, key)
}

func (h *modelHost) sortedKeys() []pimjob.TaskKey {
	return slices.SortedFunc(maps.Keys(h.runs), pimjob.CompareKeys)
}

// advance executes the runs for one tick.
func (h *modelHost) advance(d *day) {
	if h.absent {
		return
	}
	if h.clock(d.now) > h.leaseDeadline {
		for _, key := range h.sortedKeys() {
			d.discard(h.runs[key])
			h.end(key, pimjob.EndLeaseExpired)
		}
	}
	keys := h.sortedKeys()
	load := meanLoad * (1 + loadSwing*math.Sin(h.phase+2*math.Pi*d.now.Seconds()/loadPeriod))
	share := h.bestEffortShare(keys, load)
	taken := map[string]float64{}
	for _, key := range keys {
		run := h.runs[key]
		if run.cores = float64(run.step.Need.Millicores) / 1000 / h.slowness; run.step.BestEffort {
			run.cores *= run.speed * share
			taken[run.step.Image] += run.cores
		}
	}
	for _, key := range keys {
		run := h.runs[key]
		switch {
		case run.step.TargetLatency > 0:
			headroom := idleHeadroom * (1 - load)
			for _, image := range slices.Sorted(maps.Keys(taken)) {
				headroom -= d.takes(run.step.Image, image) * taken[image]
			}
			run.tailMillis = float64(targetTail.Milliseconds()) / max(0.05, headroom)
			d.observeServing(headroom, len(taken) > 0)
		default:
			run.done += run.cores * tick.Seconds()
			if run.step.Checkpoints && run.done-run.checkpoint > 2*float64(run.step.Need.Millicores)/1000 {
				run.checkpoint = run.done
				d.saved[key] = run.done
			}
			if run.done >= run.work {
				h.end(key, pimjob.EndDone)
			}
		}
	}
}

// bestEffortShare returns the share of their requested processor time that best-effort runs at full speed get.
func (h *modelHost) bestEffortShare(keys []pimjob.TaskKey, load float64) float64 {
	idle, wanted := float64(h.worker.Capacity.Millicores), 0.0
	for _, key := range keys {
		switch run := h.runs[key]; {
		case run.step.BestEffort:
			wanted += float64(run.step.Need.Millicores) * run.speed
		case run.step.TargetLatency > 0:
			idle -= float64(run.step.Need.Millicores) * load
		default:
			idle -= float64(run.step.Need.Millicores)
		}
	}
	if wanted == 0 {
		return 1
	}
	return min(1, max(0, idle)/wanted)
}

// answerRenewal returns the response to the held renewal once a run has ended or the renewal has waited long enough.
func (h *modelHost) answerRenewal(now time.Duration) (pimfleet.Result, bool) {
	if h.renewal == nil || h.absent || h.silent {
		return pimfleet.Result{}, false
	}
	call := *h.renewal
	hasEnds := slices.ContainsFunc(h.ended, func(end pimfleet.EndedRun) bool { return end.Sequence > call.Cursor })
	if !hasEnds && now < call.SentAt+call.Wait {
		return pimfleet.Result{}, false
	}
	h.renewal = nil
	result := pimfleet.Result{
		Call: call, Outcome: pimfleet.OutcomeExecuted, Clock: h.clock(now), Generation: h.worker.Generation,
		Ended: slices.Clone(h.ended),
	}
	for _, key := range h.sortedKeys() {
		run := h.runs[key]
		status := pimfleet.RunStatus{
			Key: key, Number: run.number, ProgressPercent: 100, Metric: run.tailMillis,
		}
		if run.step.TargetLatency == 0 {
			status.ProgressPercent, status.Metric = int(100*run.done/max(run.work, 0.001)), run.cores*1000
		}
		result.Running = append(result.Running, status)
	}
	return result, true
}
