package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// playDroppedRoute plays a leader that is killed while a few jobs are handed in, and a configuration without their route right
// after that, up to twenty times. Rule REFUSED.
func playDroppedRoute(s *system, trouble bool) error {
	const rounds = 20
	if err := s.addExecutors(32000, "a", "a", "a", "a", "a", "a"); err != nil {
		return err
	}
	if err := s.configure(1); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	for round := range rounds {
		if err := s.playDrop(2+2*round, trouble); err != nil {
			return err
		}
		if s.record.isBroken() {
			return nil
		}
	}
	return nil
}

// playDrop plays one round, with two versions of the configuration: one that drops the route and one that has it again.
func (s *system) playDrop(version int, trouble bool) error {
	const jobs, retries = 36, 4
	leader := s.leader()
	if leader == nil {
		return fmt.Errorf("%w: no leader", errNotPlayed)
	}
	s.record.line("the leader is %s", leader.name)
	var clients sync.WaitGroup
	var mutex sync.Mutex
	rejected := map[string][]int{}
	var answered sync.Once
	first := make(chan struct{})
	for range jobs {
		id := fmt.Sprintf("%016x", rand.Uint64())
		clients.Go(func() {
			tries, refused := s.handIn(id, retries)
			answered.Do(func() { close(first) })
			mutex.Lock()
			defer mutex.Unlock()
			if refused {
				rejected[id] = tries
			}
		})
	}
	daemons := s.controls
	if trouble {
		// Most of the requests are on their way when the first one is answered.
		select {
		case <-first:
		case <-time.After(20 * time.Millisecond):
		}
		s.kill(leader)
		daemons = s.others(leader)
	}
	if err := s.dropRoute(version, daemons); err != nil {
		return err
	}
	clients.Wait()
	if trouble {
		if err := s.start(leader, false); err != nil {
			return err
		}
	}
	time.Sleep(2500 * time.Millisecond)
	for id, tries := range rejected {
		if starts := s.record.startsOf(id); len(starts) > 0 {
			s.record.broke("REFUSED: job %s was answered %v, all its attempts were rejected, and %s starts on %s", id, tries, starts[0].task, starts[0].executor)
		}
	}
	s.record.line("%d jobs were rejected in all their attempts", len(rejected))
	return s.configure(version + 1)
}

func oneTask() map[string]any {
	return map[string]any{"count": 1, "cpu": 100, "mem-mb": 64, "estimate-ms": 100}
}

// handIn hands in a job as a client does: it tries again after no answer, 502 or 504. It returns the statuses, and whether all
// attempts were rejected.
func (s *system) handIn(id string, retries int) (tries []int, refused bool) {
	body, _ := json.Marshal(map[string]any{"spec": "cpu=100 ms=100", "steps": []map[string]any{oneTask()}})
	refused = true
	for range retries + 1 {
		status, _ := request(http.MethodPost, s.url(s.entry, 1)+prefix+id, host, body, 3*time.Second)
		tries = append(tries, status)
		s.record.line("POST of job %s gets %d", id, status)
		switch status {
		case http.StatusNotFound, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			return tries, refused
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			refused = false
		default:
			return tries, false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return tries, refused
}

// dropRoute sends a configuration that has another route only, to one daemon after the other, until it is acknowledged.
func (s *system) dropRoute(version int, daemons []*process) error {
	config := s.configuration(version)
	route := config["routes"].([]map[string]any)[0]
	route["name"], route["path-prefix"] = "r-other", "/other/"
	body, err := json.Marshal(config)
	if err != nil {
		return err
	}
	asked := 0
	return s.await(15*time.Second, fmt.Sprintf("configuration %d, without the route, is acknowledged", version), func() bool {
		p := daemons[asked%len(daemons)]
		asked++
		status, _ := request(http.MethodPut, s.url(p, 0)+"/pimentoswitch/config", "", body, time.Second)
		s.record.line("PUT of configuration %d at %s gets %d", version, p.name, status)
		return status == http.StatusOK
	})
}
