// Command standin2 plays the scripts of the second review: it starts the project's own daemons as separate processes on
// loopback addresses and plays the clients, the operator, the executors and the links to them, as the users' pages allow.
//
// Its exit status is 1 if the rule of the case was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	statusHeld     = 0
	statusBroken   = 1
	statusNotRun   = 2
	longestCase    = 112 * time.Second
	argumentsCount = 3
)

// caseFunc plays a case, with its disruption or without, and reports whether its rule was broken.
type caseFunc func(w *world, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{
	"leave":   playLeave,
	"entry":   playEntry,
	"pending": playPending,
	"rack":    playRack,
	"same-id": playSameID,
}

func main() {
	if len(os.Args) != argumentsCount || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER, in the root of the repository")
		os.Exit(statusNotRun)
	}
	os.Exit(run(cases[os.Args[1]], filepath.Join(os.Args[2], "record.txt"), os.Getenv("TROUBLE") != "0"))
}

// run plays a case and returns the exit status.
func run(play caseFunc, recordPath string, trouble bool) int {
	w, err := newWorld(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer w.close()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		broken bool
		err    error
	}
	results := make(chan result, 1)
	go func() {
		defer func() {
			if cause := recover(); cause != nil {
				results <- result{err: fmt.Errorf("the stand-in failed: %v", cause)}
			}
		}()
		broken, err := play(w, trouble)
		results <- result{broken, err}
	}()
	var r result
	select {
	case r = <-results:
	case <-interrupts:
		r.err = errors.New("interrupted")
	case <-time.After(longestCase):
		r.err = errors.New("the case took too long")
	}
	switch {
	case r.err != nil:
		w.note("the case could not run: %v", r.err)
		fmt.Println("could not run:", r.err)
		return statusNotRun
	case r.broken:
		w.note("verdict: the rule was broken")
		fmt.Println("the rule was broken")
		return statusBroken
	}
	w.note("verdict: the rule held")
	fmt.Println("the rule held")
	return statusHeld
}
