package main

import (
	"strings"
	"sync"
	"syscall"
	"time"
)

func (d *daemon) signalStop() { d.signal(syscall.SIGSTOP) }

func (d *daemon) signalContinue() { d.signal(syscall.SIGCONT) }

// checkGangs finds runs of a gang whose members were told to start with different checkpoints.
func (w *world) checkGangs(crashed time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	type gangRun struct {
		step   string
		number int
	}
	checkpoints := map[gangRun]map[string]bool{}
	for key := range w.gangs {
		run := gangRun{key.step, key.number}
		if checkpoints[run] == nil {
			checkpoints[run] = map[string]bool{}
		}
		checkpoints[run][key.checkpoint] = true
	}
	for run, values := range checkpoints {
		if len(values) > 1 {
			var list []string
			for value := range values {
				list = append(list, `"`+value+`"`)
			}
			w.brokenLocked("the members of run %d of gang %s were told to start with the checkpoints %s", run.number, run.step,
				strings.Join(list, ", "))
		}
	}
	w.noteLocked("the crash was at %.3f s; %d runs ended alone", crashed.Seconds(), w.counts["alone"])
}

// watchZone reports the starts in a zone from a time on.
func (w *world) watchZone(zone string, from time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.noteLocked("from %.3f s on, nothing may start in %s", from.Seconds(), zone)
	w.emptied, w.emptiedFrom = zone, from
}

// askFor asks for the accepted jobs for a time, until each of them has got an answer.
func (w *world) askFor(jobs []*job, within time.Duration) {
	var open []*job
	for _, j := range jobs {
		if j.accepted {
			open = append(open, j)
		}
	}
	for end := w.now() + within; len(open) > 0 && w.now() < end; {
		var unanswered []*job
		var mutex sync.Mutex
		var asked sync.WaitGroup
		for _, j := range open {
			asked.Go(func() {
				state := w.state(j)
				w.note("client gets %s for GET of job %s", state, j.id)
				if state == "queued" || state == "running" || state == "completed" || state == "failed" {
					return
				}
				mutex.Lock()
				defer mutex.Unlock()
				unanswered = append(unanswered, j)
			})
		}
		asked.Wait()
		open = unanswered
	}
	for _, j := range open {
		w.mutex.Lock()
		starts := 0
		for task, h := range w.tasks {
			if strings.HasPrefix(task, j.id+".") {
				starts += h.starts
			}
		}
		w.brokenLocked("accepted job %s got no answer for %v, from %v after the end of the traffic on; %d of its tasks were started", j.id,
			within, finish, starts)
		w.mutex.Unlock()
	}
}
