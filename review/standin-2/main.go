// Command standin-2 plays the cases of the second review on loopback: it starts the nodes as
// separate processes, and is the platform's store, the operator, the clients and, as separate
// processes too, the upstreams.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// caseRun is one run of a case. trouble is unset if the disruption is left out.
type caseRun struct {
	f       *fleet
	rec     *recorder
	trouble bool
}

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*caseRun) (bool, error){
	"foreign": foreignCase,
	"revoke":  revokeCase,
	"uploads": uploadsCase,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "upstream" {
		if err := upstreamCommand(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, "upstream:", err)
			os.Exit(couldNot)
		}
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(couldNot)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, record string) int {
	out, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer out.Close()
	rec := newRecorder(out)
	defer rec.flush()
	f, err := newFleet(rec)
	if err != nil {
		rec.say("could not run: %v", err)
		return couldNot
	}
	defer f.close(os.Getenv("KEEP") != "")
	if os.Getenv("KEEP") != "" {
		fmt.Println("folder:", f.dir)
	}
	// The limit of a script is 120 seconds.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(110 * time.Second):
		}
		rec.say("could not run: it was stopped or took too long")
		rec.flush()
		f.close(false)
		os.Exit(couldNot)
	}()
	c := &caseRun{f: f, rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	isBroken, err := cases[name](c)
	for _, node := range f.endedThemselves() {
		rec.say("a node ended by itself: %s", node)
	}
	switch {
	case err != nil:
		rec.say("could not run: %v", err)
		return couldNot
	case isBroken:
		rec.say("the rule was broken")
		return broken
	default:
		rec.say("the rule held")
		return held
	}
}
