package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

var caller = &http.Client{
	Transport:     &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 10 * time.Second},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// call makes one call and returns the status, or 0 without a response, and the body.
func call(method, url, host, body string, timeout time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	if host != "" {
		request.Host = host
		request.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	}
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := caller.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

// order sends an order of the operator to a control daemon and, without a clear answer within a second, to the
// next one, until it is acknowledged. It returns false if it is not within the time.
func (w *world) order(method, path, body string, first int, within time.Duration) bool {
	end := time.Now().Add(within)
	for i := first; time.Now().Before(end); i++ {
		control := w.controls[i%len(w.controls)]
		w.note("operator sends %s %s to %s", method, path, control.name)
		status, _ := call(method, "http://"+control.address("control")+path, "", body, time.Second)
		w.note("operator gets %d for %s %s from %s", status, method, path, control.name)
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// job is a client's job.
type job struct {
	id, steps, spec string
	accepted        bool
}

// jobID returns the id of a job.
func jobID(n int) string { return fmt.Sprintf("5c0e7a21d94b%04x", n) }

// submit sends a job until it is accepted or its time is over, and reports whether it was.
func (w *world) submit(j *job) bool {
	body := fmt.Sprintf(`{"spec":%q,"steps":[%s]}`, j.spec, j.steps)
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		status, _ := call(http.MethodPost, "http://"+w.entries[0].address("front")+"/batch/"+j.id, "jobs.example", body, 3*time.Second)
		w.note("client gets %d for POST of job %s", status, j.id)
		if status >= 200 && status < 300 {
			j.accepted = true
			w.mutex.Lock()
			w.counts["jobs accepted"]++
			w.mutex.Unlock()
			return true
		}
	}
	return false
}

// state returns the state of a job as a client sees it, or the status of the answer.
func (w *world) state(j *job) string {
	status, body := call(http.MethodGet, "http://"+w.entries[0].address("front")+"/batch/"+j.id, "jobs.example", "", 3*time.Second)
	if status != http.StatusOK {
		return fmt.Sprint(status)
	}
	for _, state := range []string{"queued", "running", "completed", "failed", "cancelled"} {
		if strings.Contains(body, `"`+state+`"`) {
			return state
		}
	}
	return body
}

// awaitJobs asks for the jobs until all have ended, or the time is over.
func (w *world) awaitJobs(jobs []*job, until time.Duration) {
	last := map[string]string{}
	for {
		open := 0
		for _, j := range jobs {
			if !j.accepted || last[j.id] == "completed" || last[j.id] == "failed" {
				continue
			}
			if state := w.state(j); state != last[j.id] {
				last[j.id] = state
				w.note("client gets %s for GET of job %s", state, j.id)
			}
			if last[j.id] != "completed" && last[j.id] != "failed" {
				open++
			}
		}
		if open == 0 || w.now() > until {
			w.note("%d jobs have not ended", open)
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}
