package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// gangs holds the gangs of all executors, by job, occurrence, step and run number.
	gangs struct {
		mutex sync.Mutex
		known map[string]*gang
	}

	// gang is one run of a gang. Its tasks work from the moment when all of them are present, produce a checkpoint with each
	// second of work, which is the same for all, and end together.
	gang struct {
		count   int
		began   time.Time
		members map[string]bool
		// checkpoints holds the checkpoint with which each member was started.
		checkpoints map[string]string
		// together is when the last member came, from is the work in the checkpoint.
		together time.Time
		from     time.Duration
		// broken is set when a member ended otherwise than as done.
		broken, done bool
	}
)

const (
	gangTimeout   = 3 * time.Second
	checkpointing = time.Second
)

// join adds a task to its gang, and records whether its checkpoint differs from that of another member.
func (g *gangs) join(r *record, c *call, count int) *gang {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	step := c.Task[:strings.LastIndexByte(c.Task, '.')]
	key := fmt.Sprintf("%s run %d", step, c.RunID)
	member := g.known[key]
	if member == nil {
		member = &gang{count: count, began: time.Now(), members: map[string]bool{}, checkpoints: map[string]string{}}
		g.known[key] = member
	}
	r.line("%s of gang %s is told to start with the checkpoint %q", c.Task, key, c.Checkpoint)
	for other, checkpoint := range member.checkpoints {
		if checkpoint != c.Checkpoint {
			r.broke("UNASKED: in gang %s, %s is told to start with the checkpoint %q and %s with %q", key, c.Task, c.Checkpoint, other, checkpoint)
			break
		}
	}
	member.members[c.Task], member.checkpoints[c.Task] = true, c.Checkpoint
	if _, saved, ok := strings.Cut(c.Checkpoint, "-"); ok {
		if seconds, err := strconv.Atoi(saved); err == nil {
			member.from = time.Duration(seconds) * checkpointing
		}
	}
	if len(member.members) == count {
		member.together = time.Now()
	}
	return member
}

// look returns the work done so far and how the run of a member ends now, or "".
func (g *gangs) look(member *gang, lasts time.Duration) (work time.Duration, how string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !member.together.IsZero() {
		work = member.from + time.Since(member.together)
	}
	switch {
	case member.broken:
		how = "broken"
	case member.done || (lasts > 0 && work >= lasts):
		member.done, how = true, "done"
	case member.together.IsZero() && time.Since(member.began) > gangTimeout:
		how = "alone"
	}
	return work, how
}

// leave records that a member ended otherwise than as done.
func (g *gangs) leave(member *gang) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	member.broken = true
}

// playGang plays a gang of three tasks with checkpoints, of which one loses its executor for 2 s. Rule UNASKED.
func playGang(s *system, trouble bool) error {
	if err := s.addExecutors(8000, "a", "a", "a", "a", "a", "a", "a"); err != nil {
		return err
	}
	if err := s.configure(1); err != nil {
		return err
	}
	time.Sleep(3500 * time.Millisecond)
	job, err := s.submit("cpu=2000 ms=8000 gang=3", map[string]any{
		"count": 3, "cpu": 2000, "mem-mb": 512, "estimate-ms": 8000, "gang": true, "checkpointing": true, "anti-affinity": 1,
	})
	if err != nil {
		return err
	}
	if err := s.await(5*time.Second, "the gang has started", func() bool { return len(s.record.startsOf(job)) == 3 }); err != nil {
		return err
	}
	if trouble {
		// Right after the third checkpoint, so that the leader has mostly not seen that one of the lost member.
		time.Sleep(time.Until(s.record.startsOf(job)[2].at.Add(3*checkpointing + 30*time.Millisecond)))
		e := s.executor(s.record.startsOf(job)[0].executor)
		e.crash()
		time.Sleep(2 * time.Second)
		if err := e.start(); err != nil {
			return err
		}
	}
	return s.await(40*time.Second, "the job is shown as completed, or its gang was told different checkpoints", func() bool {
		_, state := s.state(job)
		return state == "completed" || s.record.isBroken()
	})
}
