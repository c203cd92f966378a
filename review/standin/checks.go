package main

import (
	"strings"
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

// checkFailedJobs finds jobs that are shown as failed though no run of them ended as failed.
func (w *world) checkFailedJobs(jobs []*job) {
	for _, j := range jobs {
		if !j.accepted {
			continue
		}
		if state := w.state(j); state == "failed" {
			failed, starts := 0, 0
			w.mutex.Lock()
			for task, h := range w.tasks {
				if strings.HasPrefix(task, j.id+".") {
					failed += h.failed
					starts += h.starts
				}
			}
			w.mutex.Unlock()
			if failed == 0 {
				w.broken("job %s is shown as failed; of its %d runs none ended as failed", j.id, starts)
			}
		}
	}
}
