//go:build review3

package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// timeLimit is how long a case may take.
const timeLimit = 110 * time.Second

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases run with or without the disruption, and return an exit code.
var cases = map[string]func(l *record, trouble bool) int{
	"cancel":  runCancel,
	"pending": runPending,
	"firm":    runFirm,
	"unseen":  runUnseen,
	"reclaim": runReclaim,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	l, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	// The hosts end with the thread that starts them.
	runtime.LockOSThread()
	time.AfterFunc(timeLimit, func() {
		l.write("the case takes too long")
		os.Exit(exitNotRun)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	l.write("case %s, with the disruption: %t", os.Args[1], trouble)
	code := cases[os.Args[1]](l, trouble)
	l.write("exit code %d", code)
	fmt.Printf("%s: exit code %d\n", os.Args[1], code)
	os.Exit(code)
}
