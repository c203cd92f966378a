package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

var errNoStart = errors.New("too few tasks were started before the disruption")

// addExecutors adds executors of the kind "a", eight a rack.
func (w *world) addExecutors(count int) error {
	for i := range count {
		if _, err := w.addExecutor(i, []string{"a", fmt.Sprintf("r1-%d", i/8)}, false); err != nil {
			return err
		}
	}
	return nil
}

// step returns a step of a job.
func step(count int, s spec, more string) string {
	return fmt.Sprintf(`{"count":%d,"cpu":%d,"mem-mb":%d,"estimate-ms":%d%s}`, count, s.cpu, s.mem, (s.work + s.spread/2).Milliseconds(), more)
}

// playManyEnds cuts off one of eight workers while over a thousand of its tasks end, and does so twice.
func playManyEnds(w *world) error {
	if err := w.startSystem(3); err != nil {
		return err
	}
	if err := w.addExecutors(7); err != nil {
		return err
	}
	big, err := w.addExecutor(7, []string{"b", "r1-7"}, true)
	if err != nil {
		return err
	}
	w.until(w.now() + 3*time.Second)
	for round := range 2 {
		if err := w.playCutUnderEnds(big, round); err != nil {
			return err
		}
	}
	w.checkDoneTasks()
	return nil
}

// playCutUnderEnds hands in jobs that only one worker can run, and cuts it off while all of their tasks end.
func (w *world) playCutUnderEnds(big *executor, round int) error {
	began := w.now()
	s := spec{work: 9 * time.Second, spread: 3 * time.Second, cpu: 20, mem: 75}
	var jobs []*job
	for i := range 6 {
		jobs = append(jobs, &job{id: jobID(256*round + i), spec: specText(s), steps: step(250, s, `,"requirements":"b"`)})
		w.submit(jobs[i])
	}
	w.until(began + 7500*time.Millisecond)
	w.mutex.Lock()
	running := len(big.life.runs)
	w.noteLocked("%s runs %d tasks", big.id, running)
	w.mutex.Unlock()
	if running < 1300 {
		return errNoStart
	}
	if w.trouble {
		w.setCut(big, true)
		time.Sleep(5500 * time.Millisecond)
		w.setCut(big, false)
	}
	w.until(began + 17*time.Second)
	w.awaitJobs(jobs, began+40*time.Second)
	time.Sleep(2 * time.Second)
	return nil
}

// setCut cuts an executor off from all machines of the system, both ways, or ends that.
func (w *world) setCut(e *executor, cut bool) {
	w.mutex.Lock()
	e.cut = cut
	w.noteLocked("%s is cut off: %t", e.id, cut)
	w.mutex.Unlock()
	e.proxy.setCut(cut)
}

// traffic submits a job every interval until the end, and returns the jobs.
func (w *world) traffic(steps func(n int) (spec, string), interval, until time.Duration) <-chan []*job {
	result := make(chan []*job, 1)
	go func() {
		var jobs []*job
		for n := 0; w.now() < until; n++ {
			s, text := steps(n)
			j := &job{id: jobID(n), spec: specText(s), steps: text}
			jobs = append(jobs, j)
			w.submit(j)
			time.Sleep(interval)
		}
		result <- jobs
	}()
	return result
}

// playLateLeave lets an executor leave as planned and start again under its id, while the daemon that its leave
// goes to is frozen.
func playLateLeave(w *world) error {
	if err := w.startSystem(3); err != nil {
		return err
	}
	if err := w.addExecutors(8); err != nil {
		return err
	}
	w.until(w.now() + 3*time.Second)
	began := w.now()
	s := spec{work: 2700 * time.Millisecond, spread: 800 * time.Millisecond, cpu: 3500, mem: 6400}
	jobs := w.traffic(func(int) (spec, string) { return s, step(8, s, "") }, 400*time.Millisecond, began+22*time.Second)
	w.until(began + 5*time.Second)
	e := w.executors[0]
	w.mutex.Lock()
	e.draining = true
	w.noteLocked("executor %s reports that it is draining", e.id)
	w.mutex.Unlock()
	if !e.sendHeartbeat() {
		return errors.New("draining was not acknowledged")
	}
	w.until(began + 10*time.Second)
	first := e.reportsTo
	control := w.controls[first%len(w.controls)]
	thawed := make(chan struct{})
	if w.trouble {
		control.signalStop()
		go func() {
			time.Sleep(4500 * time.Millisecond)
			control.signalContinue()
			close(thawed)
		}()
	} else {
		close(thawed)
	}
	time.Sleep(100 * time.Millisecond)
	for i := range 3 {
		to := w.controls[(first+i)%len(w.controls)]
		w.note("executor %s sends DELETE to %s", e.id, to.name)
		status, _ := call(http.MethodDelete, "http://"+to.address("control")+"/pimentoswitch/instances/"+e.id, "", "", time.Second)
		w.note("executor %s gets %d for DELETE", e.id, status)
		if status >= 200 && status < 300 {
			break
		}
	}
	w.mutex.Lock()
	w.noteLocked("executor %s ends", e.id)
	e.endLife("ended with its executor")
	e.reportsTo = first + 1
	w.mutex.Unlock()
	time.Sleep(1500 * time.Millisecond)
	e.startAgain()
	<-thawed
	accepted := <-jobs
	w.awaitJobs(accepted, began+45*time.Second)
	time.Sleep(2 * time.Second)
	w.checkDoneTasks()
	return nil
}

// playGangCheckpoint crashes two of sixteen executors under members of gangs that save their work.
func playGangCheckpoint(w *world) error {
	if err := w.startSystem(4); err != nil {
		return err
	}
	for i := range 16 {
		if _, err := w.addExecutor(i, []string{"a", fmt.Sprintf("r1-%d", i/8)}, false); err != nil {
			return err
		}
		time.Sleep(130 * time.Millisecond)
	}
	w.until(w.now() + 2*time.Second)
	began := w.now()
	s := spec{work: 8 * time.Second, cpu: 7000, mem: 6400, saves: true, gang: 4}
	var jobs []*job
	for i := range 12 {
		jobs = append(jobs, &job{id: jobID(i), spec: specText(s), steps: step(4, s, `,"gang":true,"checkpointing":true`)})
		w.submit(jobs[i])
		time.Sleep(90 * time.Millisecond)
	}
	w.until(began + 5*time.Second + rand.N(time.Second))
	crashed := w.now()
	if w.trouble {
		for _, i := range rand.Perm(len(w.executors))[:2] {
			w.executors[i].crash(4 * time.Second)
		}
	}
	w.awaitJobs(jobs, began+45*time.Second)
	w.checkGangs(crashed)
	return nil
}

// playLateWithdrawal takes an evacuation back while the daemon that the order first goes to is frozen, and orders
// it again before that daemon wakes.
func playLateWithdrawal(w *world) error {
	if err := w.startSystem(3); err != nil {
		return err
	}
	if err := w.addExecutors(12); err != nil {
		return err
	}
	w.until(w.now() + 3*time.Second)
	began := w.now()
	s := spec{work: 640 * time.Millisecond, spread: 300 * time.Millisecond, cpu: 2100, mem: 4200}
	jobs := w.traffic(func(int) (spec, string) { return s, step(8, s, "") }, 250*time.Millisecond, began+34*time.Second)
	path := "/pimentoswitch/evacuation/" + zones[0]
	w.until(began + 3*time.Second)
	if !w.order(http.MethodPost, path, "", 0, 4*time.Second) {
		return errors.New("the evacuation was not acknowledged")
	}
	w.until(began + 9900*time.Millisecond)
	thawed := make(chan struct{})
	if w.trouble {
		control := w.controls[1]
		control.signalStop()
		go func() {
			time.Sleep(6500 * time.Millisecond)
			control.signalContinue()
			close(thawed)
		}()
	} else {
		close(thawed)
	}
	w.until(began + 10*time.Second)
	if !w.order(http.MethodDelete, path, "", 1, 4*time.Second) {
		return errors.New("the withdrawal was not acknowledged")
	}
	w.until(began + 15*time.Second)
	if !w.order(http.MethodPost, path, "", 2, 4*time.Second) {
		return errors.New("the second evacuation was not acknowledged")
	}
	acknowledged := w.now()
	<-thawed
	from := max(acknowledged+evacuateBound, w.now()+contact+time.Second)
	w.watchZone(zones[0], from)
	w.until(began + 35*time.Second)
	w.awaitJobs(<-jobs, began+50*time.Second)
	return nil
}

// playLargeJob hands in a large job beside small ones, and asks for all of them at the end. Without the disruption the same
// work comes as many jobs, one after the other.
func playLargeJob(w *world) error {
	if err := w.startSystem(3); err != nil {
		return err
	}
	if err := w.addExecutors(8); err != nil {
		return err
	}
	w.until(w.now() + 3*time.Second)
	began := w.now()
	s := spec{work: 640 * time.Millisecond, spread: 300 * time.Millisecond, cpu: 2100, mem: 4200}
	jobs := w.traffic(func(int) (spec, string) { return s, step(6, s, "") }, 500*time.Millisecond, began+15*time.Second)
	w.until(began + 4*time.Second)
	tiny := spec{work: 3 * time.Second, spread: 2 * time.Second, cpu: 5, mem: 20}
	const tasks, parts = 19900, 80
	handedIn := 1
	if !w.trouble {
		handedIn = parts
	}
	var large []*job
	for i := range handedIn {
		j := &job{id: jobID(0xf000 + i), spec: specText(tiny), steps: step(tasks/handedIn, tiny, "")}
		if !w.submit(j) {
			return errors.New("a job was not accepted")
		}
		large = append(large, j)
		time.Sleep(100 * time.Millisecond)
	}
	accepted := append(<-jobs, large...)
	ended := w.now()
	w.note("the traffic has ended")
	w.until(ended + finish)
	w.askFor(accepted, 20*time.Second)
	return nil
}
