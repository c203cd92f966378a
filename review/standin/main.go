// Command standin plays one case of the review: it starts the project's own programs as processes, and
// plays their clients, their operator and their executors.
//
// Usage: standin CASE FOLDER PROGRAM. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxPlay ends a case that takes too long.
const maxPlay = 110 * time.Second

const (
	exitHeld     = 0
	exitBroken   = 1
	exitUnplayed = 2
)

// cases are the cases by their names on the command line.
var cases = map[string]func(w *world) error{
	"many-ends":       playManyEnds,
	"late-leave":      playLateLeave,
	"gang-checkpoint": playGangCheckpoint,
	"late-withdrawal": playLateWithdrawal,
	"large-job":       playLargeJob,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER PROGRAM")
		return exitUnplayed
	}
	program, err := filepath.Abs(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnplayed
	}
	record, err := os.Create(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnplayed
	}
	defer record.Close()
	w, err := newWorld(program, record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnplayed
	}
	defer w.close()
	ended := make(chan error, 1)
	go func() { ended <- cases[args[0]](w) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case err = <-ended:
	case <-time.After(maxPlay):
		err = fmt.Errorf("the case did not end within %v", maxPlay)
	case s := <-signals:
		err = fmt.Errorf("ended by signal %v", s)
	}
	return w.conclude(err)
}
