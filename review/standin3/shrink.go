package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// playShrunkenGroup plays a core of four, of which one machine freezes and, while it is being replaced in the group, another one
// loses its disk. All four run again within seconds. Rules CONFIG and RECOVER.
func playShrunkenGroup(s *system, trouble bool) error {
	const frozenFor, wipedFor, recovery = 4500 * time.Millisecond, 1500 * time.Millisecond, 12 * time.Second
	if err := s.addExecutors(8000, "a", "a", "a", "a"); err != nil {
		return err
	}
	if err := s.configure(1); err != nil {
		return err
	}
	step := map[string]any{"count": 1, "cpu": 2000, "mem-mb": 512, "estimate-ms": 500}
	time.Sleep(5 * time.Second)
	if _, err := s.submit("cpu=2000 ms=500", step); err != nil {
		return err
	}
	leader := s.leader()
	if leader == nil {
		return fmt.Errorf("%w: no leader", errNotPlayed)
	}
	s.record.line("the leader is %s", leader.name)
	if trouble {
		var frozen *process
		for _, p := range s.controls[:3] {
			if p != leader {
				frozen = p
			}
		}
		began := time.Now()
		s.signal(frozen, syscall.SIGSTOP)
		removed := func() bool { return s.logHas(leader, "voter removed for a learner to replace it") }
		if err := s.await(frozenFor, "the frozen machine is no longer a voter", removed); err != nil {
			s.signal(frozen, syscall.SIGCONT)
			return err
		}
		time.Sleep(60 * time.Millisecond)
		s.kill(leader)
		if err := s.wipe(leader); err != nil {
			return err
		}
		s.record.line("learner promoted before that: %v", s.logHas(leader, "learner promoted to voter"))
		time.Sleep(wipedFor)
		if err := s.start(leader, false); err != nil {
			return err
		}
		time.Sleep(time.Until(began.Add(frozenFor)))
		s.signal(frozen, syscall.SIGCONT)
	}
	s.record.line("all machines of the core are back")
	back := time.Now()
	time.Sleep(recovery)
	accepted, read := 0, 0
	const attempts = 20
	for i := range attempts {
		status, body := request(http.MethodGet, s.url(s.controls[i%len(s.controls)], 0)+"/pimentoswitch/config", "", nil, time.Second)
		s.record.line("GET of the configuration at %s, %.1f s after that: %d %.60s", s.controls[i%len(s.controls)].name, time.Since(back).Seconds(), status, body)
		if status == http.StatusOK {
			read++
		}
		id := fmt.Sprintf("%016x", i+1)
		status, _ = request(http.MethodPost, s.url(s.entry, 1)+prefix+id, host, []byte(`{"spec":"cpu=2000 ms=500","steps":[{"count":1,"cpu":2000,"mem-mb":512,"estimate-ms":500}]}`), 3*time.Second)
		s.record.line("POST of a job gives %d", status)
		if status/100 == 2 {
			accepted++
		}
		time.Sleep(500 * time.Millisecond)
	}
	if read == 0 {
		s.record.broke("CONFIG: read back for %.0f s, the acknowledged configuration doesn't come", time.Since(back).Seconds()-recovery.Seconds())
	}
	if accepted < attempts/4 {
		s.record.broke("RECOVER: %d of %d requests are served later than recovery-s after all machines are back", accepted, attempts)
	}
	return nil
}
