package pimexperiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimplan"
)

type (
	// day is one play of a load.
	day struct {
		load    *Load
		random  *rand.Rand
		now     time.Duration
		state   *pimjob.State
		fleet   *pimfleet.Fleet
		planner *pimplan.Planner
		hosts   []*modelHost
		byID    map[string]*modelHost
		// pending are the results on their way to the leader.
		pending []pendingResult
		// arrivals are the jobs to come, the next one first.
		arrivals []arrival
		jobs     []*playedJob
		// work is what each task takes in core-seconds, saved what its checkpoint holds.
		work, saved map[pimjob.TaskKey]float64
		// heavy holds the pairs of a serving and a best-effort image of which the second takes much headroom.
		heavy  map[[2]string]bool
		result Result
	}

	pendingResult struct {
		at     time.Duration
		result pimfleet.Result
	}

	arrival struct {
		at   time.Duration
		kind *Kind
	}

	// playedJob is a job that has arrived. Its objective is that of its true work.
	playedJob struct {
		id        string
		kind      *Kind
		at        time.Duration
		work      float64
		objective time.Duration
	}
)

const (
	epochMillis = int64(1_700_000_000_000)
	// leadTime is how long the hosts are known before jobs arrive.
	leadTime = 3 * time.Second
	// planInterval is the time between plans.
	planInterval = 2 * tick
	service      = "svc"
)

// Play plays a load once.
func Play(load Load, seed uint64, without []pimplan.Mechanism) Result {
	d := &day{
		load: &load, random: rand.New(rand.NewPCG(seed, 1)), state: pimjob.NewState(), byID: map[string]*modelHost{},
		work: map[pimjob.TaskKey]float64{}, saved: map[pimjob.TaskKey]float64{}, heavy: map[[2]string]bool{},
	}
	d.result.Seed = seed
	d.addHosts()
	d.drawImages()
	d.drawArrivals()
	d.fleet = pimfleet.NewFleet(pimfleet.Policy{
		Lease: leaseDuration, Wait: renewalWait, CapacityAge: 3 * heartbeatInterval,
	}, 1, d.state, d.now)
	d.planner = pimplan.NewPlanner(d.state, d.fleet)
	d.planner.Configure(pimplan.Settings{Without: without})
	for end := leadTime + 2*load.Duration; d.now < end; d.now += tick {
		d.step()
	}
	return d.summarize()
}

func (d *day) addHosts() {
	var ops []pimjob.Op
	for i := range d.load.Hosts.Count {
		rack := i / d.load.Hosts.PerRack
		worker := pimjob.Worker{
			ID: fmt.Sprintf("host-%04d", i), Generation: 1, Service: service, Rack: fmt.Sprintf("rack-%d", rack),
			Domain:   fmt.Sprintf("domain-%d", rack%d.load.Hosts.Domains),
			Capacity: pimjob.Resources{Millicores: d.load.Hosts.Millicores, MemoryMB: d.load.Hosts.MemoryMB},
		}
		h := newModelHost(worker, d.random)
		d.hosts, d.byID[worker.ID] = append(d.hosts, h), h
		ops = append(ops, pimjob.PutWorker{Worker: worker})
	}
	ops = append(ops, pimjob.PutConfig{Config: pimjob.Config{
		Version: 1, Services: map[string]pimjob.Service{service: {Name: service, RejectsOverload: true}},
	}})
	d.state.Apply(epochMillis, ops)
}

// drawImages draws which best-effort images disturb which serving images.
func (d *day) drawImages() {
	for i := range d.load.Kinds {
		bestEffort := &d.load.Kinds[i]
		for j := range d.load.Kinds {
			serving := &d.load.Kinds[j]
			if !bestEffort.BestEffort || !serving.Serving {
				continue
			}
			for b := range max(1, bestEffort.Images) {
				for s := range max(1, serving.Images) {
					d.heavy[[2]string{serving.image(s), bestEffort.image(b)}] = d.random.Float64() < bestEffort.HeavyShare
				}
			}
		}
	}
}

func (k *Kind) image(index int) string { return fmt.Sprintf("%s-%d", k.Name, index) }

// takes returns the headroom that a serving image loses for each core of a best-effort image.
func (d *day) takes(serving, bestEffort string) float64 {
	if d.heavy[[2]string{serving, bestEffort}] {
		return heavyTake
	}
	return lightTake
}

// drawArrivals draws when jobs arrive: with exponential intervals, at the rates of their kinds and of bursts.
func (d *day) drawArrivals() {
	for i := range d.load.Kinds {
		kind := &d.load.Kinds[i]
		for range kind.AtStart {
			d.arrivals = append(d.arrivals, arrival{leadTime, kind})
		}
		for at := leadTime; kind.PerSecond > 0; {
			at += time.Duration(d.random.ExpFloat64() / (kind.PerSecond * d.burstAt(at)) * float64(time.Second))
			if at > leadTime+d.load.Duration {
				break
			}
			d.arrivals = append(d.arrivals, arrival{at, kind})
		}
	}
	slices.SortStableFunc(d.arrivals, func(a, b arrival) int { return int(a.at - b.at) })
}

func (d *day) burstAt(at time.Duration) float64 {
	factor := 1.0
	for _, fault := range d.load.Faults {
		if fault.Kind == Burst && at >= leadTime+fault.At && at < leadTime+fault.At+fault.For {
			factor *= fault.Factor
		}
	}
	return factor
}

// step advances the day by one tick.
func (d *day) step() {
	d.applyFaults()
	for len(d.arrivals) > 0 && d.arrivals[0].at <= d.now {
		d.submit(d.arrivals[0].kind)
		d.arrivals = d.arrivals[1:]
	}
	for _, h := range d.hosts {
		h.advance(d)
		if result, ok := h.answerRenewal(d.now); ok {
			d.pending = append(d.pending, pendingResult{d.now + tick, result})
		}
		d.heartbeat(h)
	}
	d.deliverResults()
	d.fleet.Tick(d.now)
	d.applyFleetOutput()
	if d.now%planInterval == 0 {
		d.plan()
	}
}

func (d *day) deliverResults() {
	due := d.pending
	d.pending = nil
	for _, p := range due {
		if p.at > d.now {
			d.pending = append(d.pending, p)
			continue
		}
		d.fleet.OnResult(p.result, d.now)
	}
}

// heartbeat reports a host to the leader.
func (d *day) heartbeat(h *modelHost) {
	if h.absent || h.silent || d.now < h.nextHeartbeat {
		return
	}
	h.nextHeartbeat = d.now + heartbeatInterval
	known := d.state.Worker(h.worker.ID)
	if known == nil || known.Generation != h.worker.Generation {
		if known != nil {
			d.fleet.OnClaim(h.worker, h.clock(d.now), d.now)
			return
		}
		d.apply(pimjob.PutWorker{Worker: h.worker})
	}
	d.fleet.OnHeartbeat(h.worker.ID, h.worker.Generation, h.clock(d.now), 0, d.now)
	d.fleet.OnCapacity(h.worker.ID, h.worker.Generation, h.clock(d.now), d.now)
}

func (d *day) apply(ops ...pimjob.Op) {
	cursors := d.fleet.PendingCursors()
	changes := d.state.Apply(epochMillis+d.now.Milliseconds(), ops)
	d.fleet.OnChanges(changes, d.now)
	d.planner.OnChanges(changes, d.now)
	d.fleet.OnCommitted(cursors, d.now)
}

// applyFleetOutput makes the calls of the fleet and commits its operations, until it has none left.
func (d *day) applyFleetOutput() {
	for {
		calls, ops, _ := d.fleet.Take()
		for _, call := range calls {
			d.call(call)
		}
		if len(ops) == 0 {
			return
		}
		d.apply(ops...)
	}
}

func (d *day) call(call pimfleet.Call) {
	h := d.byID[pimfleet.TargetOf(call).ID]
	if h.absent || h.silent {
		d.pending = append(d.pending, pendingResult{d.now + callTimeout, pimfleet.Result{Call: call}})
		return
	}
	if result, ok := h.handle(d, call); ok {
		d.pending = append(d.pending, pendingResult{d.now + tick, result})
	}
}

func (d *day) plan() {
	plan := d.planner.Plan(d.now, epochMillis+d.now.Milliseconds())
	if len(plan.Starts) > 0 {
		var ops []pimjob.Op
		for _, start := range plan.Starts {
			ops = append(ops, start)
		}
		d.apply(ops...)
	}
	for _, stop := range plan.Stops {
		d.fleet.Stop(stop.Worker, stop.Key, stop.Number, d.now)
	}
	for _, throttle := range plan.Throttles {
		d.fleet.Throttle(throttle.Worker, throttle.Key, throttle.Number, throttle.SpeedPercent, d.now)
	}
	d.applyFleetOutput()
}

// applyFaults begins and ends the faults that are due. Each affects the hosts from a position that the seed chooses.
func (d *day) applyFaults() {
	for i, fault := range d.load.Faults {
		if fault.Kind == Burst {
			continue
		}
		begins, ends := d.now == leadTime+fault.At.Truncate(tick), d.now == leadTime+(fault.At+fault.For).Truncate(tick)
		if !begins && !ends {
			continue
		}
		first := rand.New(rand.NewPCG(uint64(i), d.result.Seed)).IntN(len(d.hosts))
		for n := range int(math.Round(fault.Share * float64(len(d.hosts)))) {
			d.hosts[(first+n)%len(d.hosts)].applyFault(d, fault, begins)
		}
	}
}

func (h *modelHost) applyFault(d *day, fault Fault, begins bool) {
	switch fault.Kind {
	case HostsGone:
		if h.absent = begins; begins {
			d.failRenewal(h)
		} else {
			h.restart(d.now)
		}
	case HostsSilent:
		if h.silent = begins; begins {
			d.failRenewal(h)
		}
	case HostsSlow:
		if h.slowness = 1; begins {
			h.slowness = fault.Factor
		}
	case Burst:
	}
}

// failRenewal makes the renewal that a host holds time out.
func (d *day) failRenewal(h *modelHost) {
	if h.renewal != nil {
		d.pending = append(d.pending, pendingResult{d.now + callTimeout, pimfleet.Result{Call: *h.renewal}})
		h.renewal = nil
	}
}

// submit adds a job of a kind.
func (d *day) submit(kind *Kind) {
	draw := func(mean float64) float64 {
		return mean * math.Exp(kind.Spread*d.random.NormFloat64()-kind.Spread*kind.Spread/2)
	}
	job := &playedJob{id: fmt.Sprintf("%016x", len(d.jobs)+1), kind: kind, at: d.now}
	submission := pimjob.Submission{ID: job.id, Spec: "x"}
	image := kind.image(d.random.IntN(max(1, kind.Images)))
	chain := time.Duration(0)
	for s := range kind.Steps {
		duration := time.Duration(draw(float64(kind.Duration)))
		step := pimjob.Step{
			Count:      max(1, int(math.Round(draw(kind.Tasks)))),
			Need:       pimjob.Resources{Millicores: int64(draw(kind.Cores) * 1000), MemoryMB: kind.MemoryMB},
			Image:      image,
			Estimate:   time.Duration(float64(duration) * (1 + kind.EstimateError*(2*d.random.Float64()-1))),
			BestEffort: kind.BestEffort, Checkpoints: kind.Checkpoints, LongRunning: kind.Serving,
		}
		step.Need.Millicores = min(step.Need.Millicores, d.load.Hosts.Millicores/2)
		if kind.Serving {
			step.TargetLatency, step.Estimate = targetTail, 0
		}
		if s > 0 {
			step.DependsOn = []int{s - 1}
		}
		submission.Steps = append(submission.Steps, step)
		chain += duration
		for i := range step.Count {
			work := duration.Seconds() * float64(step.Need.Millicores) / 1000
			d.work[pimjob.TaskKey{Job: job.id, Step: s, Index: i}] = work
			if kind.Serving {
				d.result.ServingOwed += leadTime + 2*d.load.Duration - d.now
			}
			job.work += work
		}
	}
	job.objective = time.Duration(float64(chain)*max(1, kind.Stretch)) + kind.Objective
	d.jobs = append(d.jobs, job)
	d.apply(pimjob.Submit{Submission: submission, Queue: pimjob.Queue{
		Name: kind.Name, Service: service, Priority: kind.Priority, Attempts: 3, Stretch: kind.Stretch, Objective: kind.Objective,
	}})
}

// discard counts the work of a run that is lost when it ends now.
func (d *day) discard(run *modelRun) {
	lost := run.done
	if run.step.Checkpoints {
		lost = run.done - run.checkpoint
	}
	if run.step.TargetLatency == 0 {
		d.result.WorkDiscarded += lost
	}
}

// observeServing counts the time of serving tasks at work and over their target.
func (d *day) observeServing(headroom float64, besideBestEffort bool) {
	d.result.ServingTime += tick
	if headroom < 1 {
		d.result.OverTarget += tick
		if besideBestEffort {
			d.result.OverTargetBesideBestEffort += tick
		}
	}
}
