package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"
)

func playCancel(w *world, trouble bool) (bool, error) {
	n, _ := strconv.Atoi(os.Getenv("TASKS"))
	x, _ := strconv.Atoi(os.Getenv("EXECS"))
	if err := w.prepare(map[string]int{"a": x}); err != nil {
		return false, err
	}
	id := newJobID()
	plan := taskPlan{CPU: 5, MemMB: 20, WorkMS: 80000}
	body := job{Spec: plan.specification(), Steps: []step{{Count: n, CPU: plan.CPU, MemMB: plan.MemMB, EstimateMS: plan.WorkMS}}}
	if err := w.submit(id, body); err != nil {
		return false, err
	}
	t0 := time.Now()
	count := func() int {
		w.witness.mutex.Lock()
		defer w.witness.mutex.Unlock()
		c := 0
		for _, r := range w.witness.runs {
			if r.how == "" {
				c++
			}
		}
		return c
	}
	await(40*time.Second, func() bool { return count() >= n })
	fmt.Println("running", count(), "after", time.Since(t0))
	time.Sleep(3 * time.Second)
	fmt.Println("running", count(), "state", w.state(id))
	t0 = time.Now()
	status, _ := send(w.client, http.MethodDelete, w.entryURL(0)+w.queue+id, w.host, nil)
	fmt.Println("DELETE", status, time.Since(t0))
	t0 = time.Now()
	for time.Since(t0) < 20*time.Second {
		c := count()
		fmt.Printf("%.1f:%d ", time.Since(t0).Seconds(), c)
		if c == 0 {
			break
		}
		time.Sleep(400 * time.Millisecond)
	}
	fmt.Println()
	return false, nil
}
