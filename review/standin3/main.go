// Command standin3 plays the scripts of the review in REPORT-3.md: it starts the project's programs as processes on loopback
// addresses, stands in for executors, clients and the operator, and makes one disruption. It exits with 1 if the rule was
// broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

type caseFunc func(s *system, trouble bool) error

// cases are the scripts, by name, with the number of control daemons that each starts.
var cases = map[string]struct {
	controls int
	play     caseFunc
}{
	"leave-before-commit":   {3, playLeaveBeforeCommit},
	"flapping-not-at-fault": {3, playFlapping},
	"shrunken-group":        {4, playShrunkenGroup},
	"gang-checkpoints":      {3, playGang},
	"dropped-route":         {3, playDroppedRoute},
}

// errNotPlayed means that a precondition of a case did not come about.
var errNotPlayed = errors.New("the case could not be played")

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(playCase(os.Args[1], os.Args[2]))
}

func playCase(name, folder string) int {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	temporary, err := os.MkdirTemp("", "standin3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(temporary)
	} else {
		fmt.Println("logs in", temporary)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, with the disruption: %v", name, trouble)
	s, err := newSystem(r, temporary, cases[name].controls, 1)
	if s != nil {
		defer s.stop()
		go s.stopOnSignal()
	}
	if err == nil {
		err = cases[name].play(s, trouble)
	}
	if err != nil {
		r.line("not played: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if r.isBroken() {
		fmt.Println("broken:", r.broken[0])
		return 1
	}
	r.line("the rule held")
	return 0
}
