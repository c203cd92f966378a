package pimfleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// Fleet tracks all workers during one term of leadership. All its times are on the leader's
	// monotonic clock unless a comment says otherwise.
	Fleet struct {
		policy  Policy
		term    uint64
		now     time.Duration
		state   *pimjob.State
		workers map[string]*workerState
		// sortedWorkers holds the values of workers, sorted by ID.
		sortedWorkers []*workerState
		// unacknowledged holds the workers with ends that are proposed and not committed.
		unacknowledged map[string]*workerState
		// calls, ops and decisions are the output that Take returns.
		calls     []Call
		ops       []pimjob.Op
		decisions []Decision
		// updated holds the IDs of the workers whose run lists arrived since TakeUpdatedWorkers.
		updated map[string]bool
		// commandsInFlight counts the calls without a result, renewals not included. unanswered counts the runs whose
		// first start command has no result yet.
		commandsInFlight, unanswered int
		// seen holds the generation of each worker that responded last, by worker ID.
		seen map[string]seenGeneration
		// begun holds the IDs of the jobs for which it is proposed to record that they have begun.
		begun map[string]bool
		// confirmed holds the claims that were confirmed and are not committed, by worker ID.
		confirmed map[string]claim
	}

	// Decision is an entry for the daemon's own log. Key is empty where it concerns a whole worker.
	Decision struct {
		Text   string
		Worker string
		Key    pimjob.TaskKey
		Number int
		Detail string
	}

	// workerState is the leader's view of one generation of a worker.
	workerState struct {
		worker pimjob.Worker
		runs   map[runID]*trackedRun
		// reserved is the sum over runs. due holds the runs that need a call.
		reserved pimjob.Resources
		due      runQueue
		// strayStops are the stops in flight of runs that the log does not hold.
		strayStops map[runID]bool
		// claim is what the worker is being asked for, or nil.
		claim *claim

		// clock is the worker's clock as last reported; the report arrived at clockAt.
		clock    time.Duration
		clockAt  time.Duration
		hasClock bool
		// clockConfirmed is set once the worker has told its clock in the response to a renewal.
		clockConfirmed bool
		// listedAt is the worker's clock at its last list of runs.
		listedAt time.Duration
		// leaseExpiresAt is when the lease of the worker's runs is certain to have expired.
		leaseExpiresAt time.Duration
		leaseExpired   bool

		// hasResponded is set once this generation has responded to a renewal in this term. settlesAt is when a lease that calls
		// for an earlier one may have granted it is certain to have expired, or 0.
		hasResponded bool
		settlesAt    time.Duration

		ends endCursors
		// renewing is set while a renewal, sent to renewedAddress, has no result; renewAt is the earliest time of the next.
		renewing       bool
		renewedAddress string
		renewAt        time.Duration
		reachable      bool
		// heardAt is when the worker last responded to a call. silentSince is since when it is taken not to respond, or 0
		// while it does.
		heardAt, silentSince time.Duration
		// markedSilent is set while the log holds that the worker is silent, by a proposal of this leader.
		markedSilent bool
		// lossReported is set once the loss of the worker's runs is logged.
		lossReported bool
		// failures counts the renewals that failed in a row.
		failures int
		// leaving is set once the worker, draining, reported that it leaves when it had stayed for as long as it had said.
		// Its lease is not renewed any more. leaveAnswerAt is until when its leave waits for the ends of its runs.
		leaving       bool
		leaveAnswerAt time.Duration
		// leaveReportedAt is when a leave was reported, or 0 once the worker has responded to a later renewal.
		leaveReportedAt time.Duration
		// newGeneration is the later generation that responded in place of this one, or 0.
		newGeneration int64
		// capacityAt is the worker's clock in the newest heartbeat that reported worker.Capacity.
		capacityAt time.Duration
		// heartbeatAt is the worker's clock in the newest heartbeat, heartbeatSequence its sequence number.
		heartbeatAt       time.Duration
		heartbeatSequence int64
		// unhealthyUntil is when the worker may get new runs again.
		unhealthyUntil time.Duration
		// staysUntil is until when a draining worker stays at least, or 0 while it has not said so. saidStaysAt is the
		// worker's clock in the heartbeat from which it is.
		staysUntil, saidStaysAt time.Duration
		// nextTickAt is when Tick next has work for the worker. It is stale while dirty is set.
		nextTickAt time.Duration
		dirty      bool
	}
)

const (
	// clockDrift is the share by which a worker's clock may be slow. Source: the platform's specification.
	clockDrift = 0.02
	// leaseExpiryMargin covers the network delay of the response that reported the worker's clock.
	leaseExpiryMargin = 150 * time.Millisecond
	// retryDelay is the delay before a call without a response is repeated.
	retryDelay = 150 * time.Millisecond
	// unreachableRetryDelay is the delay between renewals of a worker that doesn't respond.
	unreachableRetryDelay = 400 * time.Millisecond
	// expiredRetryDelay is the delay between renewals of a worker whose lease has expired, and the
	// longest delay of all other retries.
	expiredRetryDelay = time.Second
	// maxStartAttempts is how many start commands without a response are sent before the run is stopped.
	maxStartAttempts = 3
	// responseTimeout is the least time for which a call waits for a response, beside RenewLease.Wait.
	responseTimeout = 450 * time.Millisecond
	// unhealthyBackoff is how long a worker that is unhealthy or out of capacity gets no new runs.
	unhealthyBackoff = time.Second
	// maxStartsInFlight limits the start commands without a result. Others are delayed: more than can be sent within the
	// validity of a command would be dropped and made again. Stops may use maxCommandsInFlight.
	maxStartsInFlight   = 2048
	maxCommandsInFlight = 2 * maxStartsInFlight
	// maxStrayStops limits the stops in flight of runs that a worker lists and the log does not hold.
	maxStrayStops = 256
)

// unansweredStartAge is the age up to which the start of a run may have had no answer when another leader takes over: that of
// three attempts and the stop that follows them.
const unansweredStartAge = 5 * time.Second

// unknownSpeed differs from all speeds that can be requested.
const unknownSpeed = -1

// NewFleet returns the fleet of a leader whose term begins now. Leases that earlier leaders granted
// expire one lease duration from now at the latest.
func NewFleet(policy Policy, term uint64, state *pimjob.State, now time.Duration) *Fleet {
	f := &Fleet{
		policy: policy, term: term, now: now, state: state, workers: map[string]*workerState{}, updated: map[string]bool{},
		unacknowledged: map[string]*workerState{}, confirmed: map[string]claim{},
		begun: map[string]bool{}, seen: map[string]seenGeneration{},
	}
	for _, worker := range state.Workers() {
		f.addWorker(*worker)
	}
	return f
}

func (f *Fleet) addWorker(worker pimjob.Worker) {
	w := &workerState{
		dirty: true, worker: worker, runs: map[runID]*trackedRun{}, strayStops: map[runID]bool{},
		leaseExpiresAt: f.now + withClockDrift(f.policy.Lease) + leaseExpiryMargin,
	}
	if worker.LeaseUnsettled {
		// A start of the last leader may yet be the first call with its token.
		w.leaseExpiresAt += f.maxLease()
	}
	f.observeGeneration(worker.ID, worker.Generation)
	for key, live := range f.state.RunsOn(worker.ID) {
		if live.Run.Generation == worker.Generation {
			_, step, _ := f.state.Task(key)
			run := &trackedRun{
				live: live, state: inherited, mayHaveBegun: true, speedPercent: 100, wantedSpeedPercent: 100,
				speedUnknown: step != nil && step.BestEffort, answered: true,
			}
			if f.state.Now()-live.Run.StartedAt < unansweredStartAge.Milliseconds() {
				run.startSentAt = f.now
			}
			w.addRun(run, step)
		}
	}
	f.removeWorker(worker.ID)
	f.workers[worker.ID] = w
	f.applyConfirmed(w)
	at, _ := f.findSorted(worker.ID)
	f.sortedWorkers = slices.Insert(f.sortedWorkers, at, w)
}

func (f *Fleet) removeWorker(id string) {
	if w := f.workers[id]; w != nil {
		for _, run := range w.runs {
			f.onAnswered(run)
		}
	}
	delete(f.workers, id)
	delete(f.unacknowledged, id)
	if at, found := f.findSorted(id); found {
		f.sortedWorkers = slices.Delete(f.sortedWorkers, at, at+1)
	}
}

// findSorted returns the position of a worker in sortedWorkers, or where it belongs. Sorting all workers for each one that
// is added took a new leader of 3,000 workers most of a second, in which it answered no other member of its group.
func (f *Fleet) findSorted(id string) (int, bool) {
	return slices.BinarySearchFunc(f.sortedWorkers, id, func(w *workerState, id string) int {
		return cmp.Compare(w.worker.ID, id)
	})
}

func (f *Fleet) recordDecision(text, worker string, id runID, detail string) {
	f.decisions = append(f.decisions, Decision{Text: text, Worker: worker, Key: id.key, Number: id.number, Detail: detail})
}

// Take returns and clears the calls to make, the operations to propose and the decisions to log.
func (f *Fleet) Take() ([]Call, []pimjob.Op, []Decision) {
	calls, ops, decisions := f.calls, f.ops, f.decisions
	f.calls, f.ops, f.decisions = nil, nil, nil
	return calls, ops, decisions
}

// OnChanges handles the state changes of committed log entries.
func (f *Fleet) OnChanges(changes []pimjob.Change, now time.Duration) {
	f.now = now
	for _, change := range changes {
		switch change := change.(type) {
		case pimjob.RunStarted:
			f.onRunStarted(change.Live)
		case pimjob.RunEnded:
			f.onRunEnded(change.Live)
		case pimjob.JobBegun:
			delete(f.begun, change.Job.Submission.ID)
		case pimjob.JobEnded:
			f.stopRunsOfJob(change.Job)
		case pimjob.WorkerChanged:
			f.onWorkerChanged(change)
		case pimjob.ConfigChanged:
		}
	}
}

func (w *workerState) target() Target {
	return Target{ID: w.worker.ID, Generation: w.worker.Generation, Address: w.worker.Address}
}
