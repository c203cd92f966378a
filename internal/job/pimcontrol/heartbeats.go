package pimcontrol

import (
	"sync"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimrelay"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimrpc"
)

type (
	// heartbeatFilter acknowledges heartbeats that tell the leader nothing new, where the deployment is so large that relays
	// are used: 3,000 workers send 2,000 heartbeats a second. It is safe for concurrent use.
	heartbeatFilter struct {
		mutex   sync.Mutex
		workers map[string]*filteredWorker
		// services are those of the configuration in force.
		services map[string]pimjob.Service
		// capacityAge is pimfleet.Policy.CapacityAge.
		capacityAge time.Duration
	}

	// filteredWorker is a worker as this replica knows it, and when its last heartbeat was passed on to the leader.
	filteredWorker struct {
		generation  int64
		address     string
		capacity    pimjob.Resources
		draining    bool
		passedOnAt  time.Duration
		wasPassedOn bool
	}
)

const (
	// heartbeatInterval is the time after which a heartbeat is passed on to the leader although it holds nothing new. With its
	// help a leader calls a worker sooner that it could not reach.
	heartbeatInterval = 4 * time.Second
	// heartbeatsPerCapacityAge lets a heartbeat be lost without effect.
	heartbeatsPerCapacityAge = 3
)

// reset replaces the known workers by those of the state.
func (f *heartbeatFilter) reset(state *pimjob.State) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.workers, f.services = map[string]*filteredWorker{}, state.Config().Services
	for _, worker := range state.Workers() {
		f.put(*worker)
	}
}

// onChanges updates what is known with the changes of a committed entry, after which the state has these services.
func (f *heartbeatFilter) onChanges(changes []pimjob.Change, services map[string]pimjob.Service) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, change := range changes {
		switch change := change.(type) {
		case pimjob.ConfigChanged:
			f.services = services
		case pimjob.WorkerChanged:
			if change.Removed {
				delete(f.workers, change.Worker.ID)
			} else {
				f.put(change.Worker)
			}
		}
	}
}

func (f *heartbeatFilter) put(worker pimjob.Worker) {
	f.workers[worker.ID] = &filteredWorker{
		generation: worker.Generation, address: worker.Address, capacity: worker.Capacity, draining: worker.Draining,
	}
}

// isRedundant reports whether the leader knows all that a heartbeat holds and got one of this worker lately. If not, the
// heartbeat counts as passed on.
func (f *heartbeatFilter) isRedundant(heartbeat pimrpc.Heartbeat, budget int, now time.Duration) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known := f.workers[heartbeat.Worker.ID]
	if known == nil || heartbeat.Worker.Draining || known.draining ||
		known.generation != heartbeat.Worker.Generation || known.address != heartbeat.Worker.Address ||
		known.capacity != heartbeat.Worker.Capacity ||
		len(f.workers)*pimrelay.MaxConnectionsPerWorker <= budget {
		return false
	}
	if known.wasPassedOn && now-known.passedOnAt < f.interval(heartbeat.Worker.Service) {
		return true
	}
	known.wasPassedOn, known.passedOnAt = true, now
	return false
}

// interval returns the time after which a heartbeat that holds nothing new is passed on. The leader needs those of workers
// that accept overload before the last one is too old for a start.
func (f *heartbeatFilter) interval(service string) time.Duration {
	if f.services[service].RejectsOverload || f.capacityAge == 0 {
		return heartbeatInterval
	}
	return min(heartbeatInterval, f.capacityAge/heartbeatsPerCapacityAge)
}

// AcknowledgesHeartbeat reports whether this daemon may acknowledge a heartbeat itself, since it holds nothing that the
// leader has to know. It is safe for concurrent use.
func (c *Control) AcknowledgesHeartbeat(heartbeat pimrpc.Heartbeat, now time.Duration) bool {
	if !c.forwarder.ReachesLeader() || !c.heartbeats.isRedundant(heartbeat, c.workerBudget(), now) {
		return false
	}
	c.metrics.Add("heartbeats-acknowledged", 1)
	return true
}

// heartbeat records a worker. It responds at once unless a change of the worker must be committed first.
func (c *Control) heartbeat(request pimrpc.Heartbeat, respond responder) {
	l := c.leadership
	worker := request.Worker
	if c.state.HasGenerationEnded(worker.ID, worker.Generation) {
		respond(pimrpc.Done{})
		return
	}
	known := c.state.Worker(worker.ID)
	if reason := c.reasonToIgnore(known, worker); reason != "" {
		c.metrics.Add("ignored-heartbeats", 1)
		c.logger.Warn().Str("worker", worker.ID).Int64("born", worker.Generation).Str("service", worker.Service).Str("address", worker.Address).
			Int64("version", c.state.Config().Version).Str("why", reason).Msg("heartbeat of another writer has no effect")
		respond(pimrpc.Rejected{Code: pimcode.BadRequest, Detail: reason})
		return
	}
	if known != nil && known.Service != worker.Service && known.Generation == worker.Generation && known.Address == worker.Address {
		// What is known came before the configuration, from another writer.
		l.enqueueWrite(respond, pimjob.DropWorker{ID: known.ID, Generation: known.Generation, MayReturn: true}, pimjob.PutWorker{Worker: worker})
		return
	}
	if known != nil && (known.Generation != worker.Generation || known.Address != worker.Address) {
		// The worker itself decides. Until it has, it reports again.
		l.fleet.OnClaim(worker, request.Clock, c.now)
		respond(pimrpc.Done{})
		return
	}
	if !l.fleet.IsPlausible(worker.ID, worker.Generation, request.Clock, c.now) {
		c.metrics.Add("implausible-heartbeats", 1)
		c.logger.Warn().Str("worker", worker.ID).Int64("clock-ms", request.Clock.Milliseconds()).
			Msg("heartbeat is ahead of the clock of its worker and has no effect")
		respond(pimrpc.Rejected{Code: pimcode.BadRequest, Detail: "the clock of " + worker.ID + " does not show this time yet"})
		return
	}
	late := l.fleet.ObserveOrder(worker.ID, worker.Generation, request.Sequence, request.Clock, c.now)
	if known != nil {
		// All else stays for the life of a worker.
		update := *known
		update.Draining = known.Draining || worker.Draining
		if !late {
			update.Capacity = worker.Capacity
		}
		worker = update
	}
	if known != nil && known.Draining == worker.Draining && known.Capacity == worker.Capacity {
		l.fleet.OnHeartbeat(worker.ID, worker.Generation, request.Clock, request.StaysFor, c.now)
		if !late {
			l.fleet.OnCapacity(worker.ID, worker.Generation, request.Clock, c.now)
		}
		respond(pimrpc.Done{})
		return
	}
	id, generation, clock, staysFor := worker.ID, worker.Generation, request.Clock, request.StaysFor
	l.enqueueWrite(func(response pimrpc.Response) {
		if c.leadership != nil && c.leadership.fleet != nil {
			c.leadership.fleet.OnHeartbeat(id, generation, clock, staysFor, c.now)
			if !late {
				c.leadership.fleet.OnCapacity(id, generation, clock, c.now)
			}
		}
		respond(response)
	}, pimjob.PutWorker{Worker: worker})
}

// reasonToIgnore returns why a heartbeat can't be that of the worker whose ID it has, or "". The worker keeps its service for
// its life, and only services of the configuration have workers. Before the first configuration, all services are possible.
func (c *Control) reasonToIgnore(known *pimjob.Worker, worker pimjob.Worker) string {
	services := c.state.Config().Services
	_, isNamed := services[worker.Service]
	switch {
	case known == nil && c.state.Config().Version == 0:
		return ""
	case known == nil && !isNamed:
		return "its service is not in the configuration"
	case known == nil || worker.Service == known.Service:
		return ""
	case !isNamed:
		return "its service is not in the configuration, that of the worker is " + known.Service
	case known.Generation != worker.Generation:
		return ""
	}
	if _, ok := services[known.Service]; ok || len(c.state.RunsOn(known.ID)) > 0 {
		return "the service of the worker is " + known.Service
	}
	return ""
}
