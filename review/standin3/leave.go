package main

import (
	"fmt"
	"slices"
	"time"
)

// playLeaveBeforeCommit plays an executor that drains and leaves when it has said, right after its last task is done, while
// the others of the core stand still. Rule TWICE.
func playLeaveBeforeCommit(s *system, trouble bool) error {
	const work, stay, down = 5 * time.Second, 3 * time.Second, 3500 * time.Millisecond
	// One of sixteen leaves.
	others := append([]string{"b"}, slices.Repeat([]string{"a"}, 14)...)
	if err := s.addExecutors(8000, others...); err != nil {
		return err
	}
	// Two executors are of the kind that the tasks need, and the second one is busy for 13 s.
	if err := s.configure(1); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	step := func(cpu, estimate int) map[string]any {
		return map[string]any{"count": 1, "cpu": cpu, "mem-mb": 512, "estimate-ms": estimate, "requirements": "b"}
	}
	if _, err := s.runOn(s.executors[0], "cpu=8000 ms=13000", step(8000, 13000)); err != nil {
		return err
	}
	if err := s.addExecutors(8000, "b"); err != nil {
		return err
	}
	e := s.executors[len(others)]
	time.Sleep(time.Second)
	job, err := s.runOn(e, "cpu=2000 ms=5000", step(2000, 3500))
	if err != nil {
		return err
	}
	began := s.record.startsOf(job)[0].at
	leader := s.leader()
	if leader == nil {
		return fmt.Errorf("%w: no leader", errNotPlayed)
	}
	s.record.line("the leader is %s", leader.name)
	// The executor calls the leader's daemon first, as it may call any.
	e.controls = append([]string{s.controlAddress(leader)}, e.controls...)
	// Short tasks end one after the other until shortly before the long one.
	for _, before := range []time.Duration{900, 700, 550, 420, 330, 250, 180, 120} {
		lasts := time.Until(began.Add(work - before*time.Millisecond)).Milliseconds()
		if _, err := s.runOn(e, fmt.Sprintf("cpu=300 ms=%d", lasts), step(300, int(lasts))); err != nil {
			return err
		}
	}
	done, noted := make(chan struct{}), make(chan struct{}, 1)
	e.watch(job, done, noted)
	// It says that it stays until shortly after the task is done, and keeps to that.
	leaves := began.Add(work + 230*time.Millisecond)
	time.Sleep(time.Until(leaves.Add(-stay)))
	if !e.drain(stay) {
		return fmt.Errorf("%w: the draining was not acknowledged", errNotPlayed)
	}
	time.Sleep(time.Until(began.Add(work - 40*time.Millisecond)))
	if trouble {
		for _, p := range s.others(leader) {
			s.kill(p)
		}
	}
	select {
	case <-done:
	case <-time.After(time.Second):
		return fmt.Errorf("%w: the task did not end as done here", errNotPlayed)
	}
	time.Sleep(time.Until(leaves))
	go e.leave(4 * time.Second)
	if trouble {
		select {
		case <-noted:
			s.record.line("the end was taken note of while the others of the core were down")
		case <-time.After(300 * time.Millisecond):
			s.record.line("the end was not taken note of within 0.3 s")
		}
		s.kill(leader)
		time.Sleep(500 * time.Millisecond)
		for _, p := range s.others(leader) {
			if err := s.start(p, false); err != nil {
				return err
			}
		}
		time.Sleep(down - 500*time.Millisecond)
		if err := s.start(leader, false); err != nil {
			return err
		}
	}
	return s.await(30*time.Second, "the job is shown as completed, or its task has started again", func() bool {
		_, state := s.state(job)
		return state == "completed" || s.record.isBroken()
	})
}

// runOn submits a job with one task and waits until it has started, which must be on an executor.
func (s *system) runOn(e *executor, spec string, step map[string]any) (string, error) {
	job, err := s.submit(spec, step)
	if err != nil {
		return job, err
	}
	if err := s.await(5*time.Second, "its task has started", func() bool { return len(s.record.startsOf(job)) > 0 }); err != nil {
		return job, err
	}
	if at := s.record.startsOf(job)[0].executor; at != e.id {
		return job, fmt.Errorf("%w: the task started on %s", errNotPlayed, at)
	}
	return job, nil
}

// watch closes done when a task of a job has ended as done here, and sends to noted when that is taken note of.
func (e *executor) watch(job string, done, noted chan struct{}) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.onEnd = func(task string, _ int, how string) {
		if task[:len(job)] == job && how == "done" {
			close(done)
		}
	}
	e.onAcked = func(task string, _ int, how string) {
		if task[:len(job)] == job && how == "done" {
			noted <- struct{}{}
		}
	}
}
