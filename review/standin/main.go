// Command standin runs the cases of the review: a small deployment of the project's own
// nodes on loopback addresses, with stand-ins for the platform's store, the upstreams and
// the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps a case's name to the function that runs it; the files of the cases fill it. trouble is false for a run without
// the disruption; the result tells whether the rule was broken.
var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){}

func main() { os.Exit(runCase()) }

// limit bounds a run; a case is over well before.
const limit = 110 * time.Second

// endOnSignal ends the processes of the run if it is interrupted or takes too long.
func endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(limit):
	}
	current.stopAll()
	os.Exit(exitNotRun)
}

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	go endOnSignal()
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		rec.add("result: the rule was broken")
		return exitBroken
	default:
		rec.add("result: the rule held")
		return exitHeld
	}
}
