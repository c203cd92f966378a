package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

type (
	// record is what was sent, answered and run. It is written to record.txt.
	record struct {
		mutex  sync.Mutex
		began  time.Time
		file   *os.File
		writer *bufio.Writer
		starts []start
		// noted is when the end "done" of a task was taken note of.
		noted  map[string]time.Time
		ends   []end
		broken []string
	}

	start struct {
		at       time.Time
		executor string
		task     string
		number   int
		draining bool
	}

	end struct {
		at       time.Time
		executor string
		task     string
		number   int
		how      string
	}
)

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		began: time.Now(), file: file, writer: bufio.NewWriter(file), noted: map[string]time.Time{},
	}, nil
}

func (r *record) line(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.write(format, values...)
}

// write adds a line. The caller holds the mutex.
func (r *record) write(format string, values ...any) {
	fmt.Fprintf(r.writer, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
	_ = r.writer.Flush()
}

// started records a start and checks the rule TWICE: no start after a run of the task has ended "done", if that end was
// taken note of.
func (r *record) started(executor, task string, number int, draining bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.starts = append(r.starts, start{time.Now(), executor, task, number, draining})
	r.write("%s starts %s run %d (draining %v)", executor, task, number, draining)
	if at, ok := r.noted[task]; ok {
		r.breaks("TWICE: %s starts on %s as run %d, %.3f s after its end as done was taken note of", task, executor, number, time.Since(at).Seconds())
	}
}

func (r *record) ended(executor, task string, number int, how string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ends = append(r.ends, end{time.Now(), executor, task, number, how})
	r.write("%s ends %s run %d: %s", executor, task, number, how)
}

func (r *record) acked(executor, task string, number int, how string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if how == "done" {
		r.noted[task] = time.Now()
	}
	r.write("%s is told that the end of %s run %d (%s) is taken note of", executor, task, number, how)
}

// breaks records a broken rule. The caller holds the mutex.
func (r *record) breaks(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	r.broken = append(r.broken, text)
	r.write("BROKEN %s", text)
}

func (r *record) broke(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.breaks(format, values...)
}

func (r *record) isBroken() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.broken) > 0
}

// startsOf returns the starts of tasks of a job, in order.
func (r *record) startsOf(job string) []start {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var of []start
	for _, s := range r.starts {
		if len(s.task) > len(job) && s.task[:len(job)] == job {
			of = append(of, s)
		}
	}
	return of
}

// countEnds returns how many runs of a job ended in a way.
func (r *record) countEnds(job, how string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, e := range r.ends {
		if len(e.task) > len(job) && e.task[:len(job)] == job && e.how == how {
			count++
		}
	}
	return count
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
