package main

import (
	"net/http"
	"time"
)

// playFlapping plays two executors of twenty that go down and up by turns under a task that lasts and is sound. Rule LOST.
func playFlapping(s *system, trouble bool) error {
	const gap, lasts = 1400 * time.Millisecond, 6500 * time.Millisecond
	kinds := make([]string, 20)
	for i := range kinds {
		kinds[i] = "a"
	}
	// Only two are of the kind that the task needs, as an image or a licence may be on few machines.
	kinds[18], kinds[19] = "b", "b"
	if err := s.addExecutors(8000, kinds...); err != nil {
		return err
	}
	if err := s.configure(1); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	job, err := s.submit("cpu=2000 ms=0", map[string]any{
		"count": 1, "cpu": 2000, "mem-mb": 512, "estimate-ms": 1000, "long-running": true, "requirements": "b",
	})
	if err != nil {
		return err
	}
	if err := s.await(5*time.Second, "the task has started", func() bool { return len(s.record.startsOf(job)) > 0 }); err != nil {
		return err
	}
	// About the time for which the later runs will have lasted.
	time.Sleep(time.Until(s.record.startsOf(job)[0].at.Add(1250 * time.Millisecond)))
	if trouble {
		// The first one down is the one with the task.
		first := s.executor(s.record.startsOf(job)[0].executor)
		second := s.executors[18]
		if first == second {
			second = s.executors[19]
		}
		until := time.Now().Add(lasts)
		for down, up := first, second; time.Now().Before(until); down, up = up, down {
			down.crash()
			time.Sleep(gap)
			if err := down.start(); err != nil {
				return err
			}
			s.record.line("%s is up again", down.id)
		}
	}
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(250 * time.Millisecond) {
		status, state := s.state(job)
		s.record.line("GET of job %s gives %d %s", job, status, state)
		failed := s.record.countEnds(job, "failed")
		if status == http.StatusOK && state == "failed" && failed == 0 {
			s.record.broke("LOST: job %s is shown as failed, and none of its runs has ended as failed", job)
			return nil
		}
	}
	return nil
}
