//go:build review3

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// outage is how long the store is down; the site file has platform_down for 4.5 s.
	outage = 1300 * time.Millisecond
	// leaveMs is how long the client waits; the site file has give_up at 900 ms.
	leaveMs  = 900 * time.Millisecond
	cancelMs = 3000 * time.Millisecond
	// contactMs is how long the store has to be up before a start for its sender to be in touch.
	contactMs = 3000 * time.Millisecond
)

// runCancel submits a job while the store is down, so that the submission has no outcome, and cancels the job once the store is
// back. The cancel is answered; the rule UNASKED says that nothing of the job starts later than cancel_ms after that.
func runCancel(l *record, trouble bool) int {
	s, err := newSite(l, 3, 4, 8, siteConfig(1))
	if err != nil {
		l.write("cannot start the site: %v", err)
		return exitNotRun
	}
	defer s.close()
	const job = "00000000000000c1"
	path := "/lohu930/" + job
	// All workers are busy for a while, so that the job waits and does not start beside the outage.
	filler := "00000000000000f0"
	if a := s.call(s.hosts[0], http.MethodPost, "/lohu930/"+filler, tenantKey, jobOf(4, 8, work{Millis: 20000}), 3*time.Second); a.status != 200 {
		return exitNotRun
	}
	if !waitFor(5*time.Second, func() bool { return len(l.find("start", filler)) == 4 }) {
		l.write("the workers are not busy")
		return exitNotRun
	}
	time.Sleep(time.Second)
	down := time.Now()
	if trouble {
		l.write("the store is down, silently, for %s", outage)
		s.store.setSilent(true)
	}
	time.Sleep(100 * time.Millisecond)
	submitted := s.call(s.hosts[0], http.MethodPost, path, tenantKey, jobOf(1, 8, work{Millis: 1000}), leaveMs)
	time.Sleep(time.Until(down.Add(outage)))
	s.store.setSilent(false)
	up := time.Now()
	l.write("the store is up")
	time.Sleep(100 * time.Millisecond)
	// The client repeats its cancel until it is acknowledged, and waits as long as it is told to.
	var cancelled answer
	for range 5 {
		cancelled = s.call(s.hosts[0], http.MethodDelete, path, tenantKey, nil, 3*time.Second)
		if isAck(cancelled.status) {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	if !isAck(cancelled.status) {
		l.write("the cancel is not acknowledged")
		return exitNotRun
	}
	l.write("cancel acknowledged with %d; the submission had %d", cancelled.status, submitted.status)
	waitFor(30*time.Second, func() bool { return len(l.find("end", job)) > 0 })
	s.call(s.hosts[1], http.MethodGet, path, tenantKey, nil, 3*time.Second)
	for _, x := range l.find("start", job) {
		if x.at.Sub(cancelled.at) > cancelMs && (!trouble || x.at.Sub(up) > contactMs) {
			l.write("BROKEN: UNASKED: %s started %.1f s after its cancel was acknowledged, %.1f s after the store was up", x.task,
				x.at.Sub(cancelled.at).Seconds(), x.at.Sub(up).Seconds())
			return exitBroken
		}
	}
	l.write("held: nothing of %s started later than %s after its cancel was acknowledged", job, fmt.Sprint(cancelMs))
	return exitHeld
}

// isAck reports whether a status acknowledges a cancel.
func isAck(status int) bool { return status/100 == 2 || status == http.StatusGone }
