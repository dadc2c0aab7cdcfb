// Command standin plays the platform, the workers and the clients of the review's scripts, and starts the daemons that they meet.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of the scripts.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime is how long a script may take.
const maxTime = 115 * time.Second

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
	giveUp := func(why string) {
		killProcesses()
		rec.sayf("not run: %s", why)
		os.Exit(exitNotRun)
	}
	time.AfterFunc(maxTime, func() { giveUp("the script took too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() { giveUp((<-signals).String()) }()
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
