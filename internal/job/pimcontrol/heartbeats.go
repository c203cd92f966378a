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

// heartbeatInterval is the time after which a heartbeat is passed on to the leader although it holds nothing new. With its
// help a leader calls a worker sooner that it could not reach.
const heartbeatInterval = 4 * time.Second

// reset replaces the known workers by those of the state.
func (f *heartbeatFilter) reset(state *pimjob.State) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.workers = map[string]*filteredWorker{}
	for _, worker := range state.Workers() {
		f.put(*worker)
	}
}

// onChanges updates the known workers with the changes of a committed entry.
func (f *heartbeatFilter) onChanges(changes []pimjob.Change) {
	for _, change := range changes {
		changed, ok := change.(pimjob.WorkerChanged)
		if !ok {
			continue
		}
		f.mutex.Lock()
		if changed.Removed {
			delete(f.workers, changed.Worker.ID)
		} else {
			f.put(changed.Worker)
		}
		f.mutex.Unlock()
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
	if known.wasPassedOn && now-known.passedOnAt < heartbeatInterval {
		return true
	}
	known.wasPassedOn, known.passedOnAt = true, now
	return false
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
