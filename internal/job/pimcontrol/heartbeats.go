package pimcontrol

import (
	"sync"
	"time"

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
