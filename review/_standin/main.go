// Command standin plays the platform, the workers and the clients of the review's scripts, and starts the daemons that they meet.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of the scripts.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// script plays a case and returns the breaks of its rule; with isTrouble unset it leaves the disruption out.
type script func(rec *record, isTrouble bool) (breaks []string, err error)

// scripts holds the cases by name; each file of a case adds its own.
var scripts = map[string]script{}

func main() {
	if len(os.Args) != 3 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE DIR")
		os.Exit(exitNotRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	time.AfterFunc(115*time.Second, func() {
		rec.sayf("not run: the script took too long")
		os.Exit(exitNotRun)
	})
	isTrouble := os.Getenv("TROUBLE") != "0"
	rec.sayf("case %s, disruption %v", os.Args[1], isTrouble)
	breaks, err := scripts[os.Args[1]](rec, isTrouble)
	if err != nil {
		rec.sayf("not run: %v", err)
		os.Exit(exitNotRun)
	}
	for _, x := range breaks[:min(len(breaks), 10)] {
		rec.sayf("broken: %s", x)
	}
	if len(breaks) > 0 {
		rec.sayf("rule broken %d times", len(breaks))
		os.Exit(exitBroken)
	}
	rec.sayf("rule held")
	os.Exit(exitHeld)
}
