package pimfleet_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimrelay"
)

type (
	// relayNetwork puts relays between the fleet of a simulation and its workers.
	relayNetwork struct {
		relays   *pimrelay.Relays
		nodes    map[string]*fakeRelay
		messages []relayMessage
		relayed  int
	}

	// fakeRelay is a control daemon as the specification page describes a relay.
	fakeRelay struct {
		newestTerm uint64
		down       bool
		// cutFromLeader and cutFromWorkers are partitions; deaf loses only what the leader sends.
		cutFromLeader, cutFromWorkers, deaf bool
		frozenUntil                         time.Duration
		lateShare                           float64
	}

	// relayMessage is a call at a relay (stage atRelay), a call that is about to leave it, or a result on its way back.
	relayMessage struct {
		at         time.Duration
		stage      relayStage
		relay      string
		term, id   uint64
		call       pimfleet.Call
		result     pimfleet.Result
		validUntil time.Duration
	}

	relayStage int
)

const (
	toRelay relayStage = iota
	atRelay
	toLeader
)

const (
	contactInterval = 100 * time.Millisecond
	testValidity    = 540 * time.Millisecond
)

func newRelaySimulation(t *testing.T, seed uint64, workers, relays int) (*simulation, []string) {
	var ids, nodes []string
	for i := range workers {
		ids = append(ids, fmt.Sprintf("w%d", i))
	}
	s := newSimulation(t, seed, ids...)
	s.policy.Wait = time.Second
	s.relays = &relayNetwork{nodes: map[string]*fakeRelay{}}
	for i := range relays {
		id := fmt.Sprintf("r%d", i)
		nodes = append(nodes, id)
		s.relays.nodes[id] = &fakeRelay{}
	}
	s.elect()
	return s, nodes
}

// elect builds the relays of a new leader, whose budget forces their use. The relays learn the term with its first
// consensus message.
func (n *relayNetwork) elect(s *simulation) {
	n.relays = pimrelay.NewRelays(pimrelay.Daemon{ID: "leader"}, s.now)
	n.relays.SetMembers(append(slices.Sorted(maps.Keys(n.nodes)), "leader"))
	var workers []pimrelay.Worker
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		workers = append(workers, pimrelay.Worker{ID: id})
	}
	n.relays.SetWorkers(workers, 1)
}

// send passes a call to its relay, or returns false if the leader makes it.
func (n *relayNetwork) send(s *simulation, call pimfleet.Call) bool {
	relay, id := n.relays.Send(call, s.now)
	if relay == "" {
		return false
	}
	n.relayed++
	n.messages = append(n.messages, relayMessage{
		at: s.now + networkDelay, stage: toRelay, relay: relay, term: s.term, id: id, call: call,
	})
	return true
}

// advance delivers the messages that are due and ends the calls without an answer.
func (n *relayNetwork) advance(s *simulation) {
	if s.now%contactInterval < tick {
		for _, id := range slices.Sorted(maps.Keys(n.nodes)) {
			node := n.nodes[id]
			if node.down || node.cutFromLeader || s.now < node.frozenUntil {
				continue
			}
			if !node.deaf {
				node.newestTerm = max(node.newestTerm, s.term)
			}
			n.relays.OnContact(id, s.now)
		}
	}
	due := n.messages
	n.messages = nil
	for _, message := range due {
		switch node := n.nodes[message.relay]; {
		case message.at > s.now:
			n.messages = append(n.messages, message)
		case message.stage == toLeader:
			n.deliverResult(s, message)
		case node.down || (message.stage == toRelay && (node.cutFromLeader || node.deaf)):
		case s.now < node.frozenUntil:
			n.messages = append(n.messages, message)
		default:
			n.advanceAtRelay(s, node, message)
		}
	}
	for _, result := range n.relays.Tick(s.now) {
		s.fleet.OnResult(result, s.now)
	}
	n.relays.TakeChanges()
}

func (n *relayNetwork) advanceAtRelay(s *simulation, node *fakeRelay, message relayMessage) {
	if message.stage == toRelay {
		node.newestTerm = max(node.newestTerm, message.term)
		message.stage, message.at, message.validUntil = atRelay, s.now+tick, s.now+testValidity
		n.messages = append(n.messages, message)
		return
	}
	message.stage = toLeader
	switch {
	case s.now >= message.validUntil || message.term < node.newestTerm:
		message.result, message.at = pimfleet.Result{Call: message.call, Outcome: pimfleet.OutcomeNotSent}, s.now+networkDelay
	case node.cutFromWorkers:
		message.result, message.at = pimfleet.Result{Call: message.call}, s.now+500*time.Millisecond
		if renewal, ok := message.call.(pimfleet.RenewLease); ok {
			message.at += renewal.Wait
		}
	default:
		message.result, message.at = s.execute(message.call)
	}
	if s.random.Float64() < node.lateShare {
		message.at += time.Duration(s.random.Int64N(int64(3 * time.Second)))
	}
	n.messages = append(n.messages, message)
}

// deliverResult hands a result to the leader of its term, as a real leader does.
func (n *relayNetwork) deliverResult(s *simulation, message relayMessage) {
	node := n.nodes[message.relay]
	if node.down || node.cutFromLeader || message.term != s.term {
		return
	}
	if s.now < node.frozenUntil {
		n.messages = append(n.messages, message)
		return
	}
	call, ok := n.relays.OnResult(message.relay, "", message.id, s.now)
	if !ok {
		return
	}
	assert.DeepEqual(s.t, call, message.call)
	n.relays.Observe(message.result, s.now)
	s.fleet.OnResult(message.result, s.now)
}

// checkExpiry fails the test if a lease expires on a worker that the leader itself could reach all the time.
func (n *relayNetwork) checkExpiry(s *simulation, worker *fakeWorker) {
	if worker.leaseDeadline > 0 && s.now-worker.disturbedAt > testLease+time.Second {
		s.t.Errorf("at %v: lease of %s expired, last disturbed at %v", s.now, worker.id, worker.disturbedAt)
	}
}

// disturb puts a fault on a relay.
func (s *simulation) disturb(node *fakeRelay) {
	switch s.random.IntN(6) {
	case 0:
		node.down = true
	case 1:
		node.frozenUntil = s.now + time.Duration(s.random.Int64N(int64(5*time.Second)))
	case 2:
		node.cutFromLeader = true
	case 3:
		node.cutFromWorkers = true
	case 4:
		node.lateShare = 0.5
	case 5:
		node.deaf = true
	}
}

// TestFleetWithRelaysUnderFaults guards against doubled runs, lost ends and expired leases while relays die, freeze, are
// partitioned from the leader or from the workers and answer late, workers restart and leaders change, all at once.
func TestFleetWithRelaysUnderFaults(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s, nodes := newRelaySimulation(t, seed, 6, 4)
			for round := range 12 {
				s.submit(fmt.Sprintf("job-%d", round), 6)
				node := s.relays.nodes[nodes[s.random.IntN(len(nodes))]]
				s.disturb(node)
				victim := s.workers[fmt.Sprintf("w%d", s.random.IntN(6))]
				switch s.random.IntN(5) {
				case 0:
					victim.partitioned = true
				case 1:
					s.restart(victim)
				case 2:
					s.elect()
				default:
				}
				s.run(time.Duration(s.random.Int64N(int64(4 * time.Second))))
				victim.partitioned = false
				if s.random.IntN(2) == 0 {
					*node = fakeRelay{newestTerm: node.newestTerm}
				}
			}
			for _, node := range s.relays.nodes {
				*node = fakeRelay{newestTerm: node.newestTerm}
			}
			s.run(40 * time.Second)
			for round := range 12 {
				s.assertCompleted(fmt.Sprintf("job-%d", round))
			}
			assert.Assert(t, s.relays.relayed > 100, "%d calls were relayed", s.relays.relayed)
		})
	}
}

// TestRelayFailure guards against leases that expire because one relay fails in one particular way and stays so.
func TestRelayFailure(t *testing.T) {
	for name, fail := range map[string]func(node *fakeRelay){
		"dead":                                func(node *fakeRelay) { node.down = true },
		"frozen":                              func(node *fakeRelay) { node.frozenUntil = time.Hour },
		"partitioned from the leader":         func(node *fakeRelay) { node.cutFromLeader = true },
		"partitioned from the workers":        func(node *fakeRelay) { node.cutFromWorkers = true },
		"not receiving what the leader sends": func(node *fakeRelay) { node.deaf = true },
	} {
		for _, all := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, all relays: %v", name, all), func(t *testing.T) {
				s, nodes := newRelaySimulation(t, 1, 8, 3)
				s.run(2 * time.Second)
				s.submit("a", 40)
				for _, worker := range s.workers {
					worker.neverFinishes = true
				}
				s.run(time.Second)
				starts := s.starts
				for i, id := range nodes {
					if all || i == 0 {
						fail(s.relays.nodes[id])
					}
				}
				s.run(60 * time.Second)
				assert.Equal(t, s.starts, starts, "runs were started again")
				for _, worker := range s.workers {
					assert.Assert(t, worker.leaseDeadline > worker.clock(s.now), "lease of %s has expired", worker.id)
				}
			})
		}
	}
}
