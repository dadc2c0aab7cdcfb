//go:build review3

package main

import (
	"net/http"
	"time"
)

const (
	// leaveMs is how long the client waits; the site file has give_up at 900 ms.
	leaveMs  = 900 * time.Millisecond
	cancelMs = 3000 * time.Millisecond
	// contactMs is how long the store has to be up before a start for its sender to be in touch.
	contactMs = 3000 * time.Millisecond
)

// runCancel submits a job at a host that is cut off from the store, so that the submission has no outcome, and cancels the job at another
// host. The cancel is answered; the rule UNASKED says that nothing of the job starts later than cancel_ms after that.
func runCancel(l *record, trouble bool) int {
	s, err := newSite(l, 3, 4, 8, siteConfig(1))
	if err != nil {
		l.write("cannot start the site: %v", err)
		return exitNotRun
	}
	defer s.close()
	const filler, job = "00000000000000f0", "00000000000000c1"
	path := "/lohu930/" + job
	// All workers are busy for a while, so that the job waits and starts long after the cut.
	a := s.call(s.hosts[0], http.MethodPost, "/lohu930/"+filler, tenantKey, jobOf(4, 8, work{Millis: 20000}), 3*time.Second)
	if a.status != 200 || !waitFor(5*time.Second, func() bool { return len(l.find("start", filler)) == 4 }) {
		l.write("the workers are not busy")
		return exitNotRun
	}
	time.Sleep(time.Second)
	cut, other := s.hosts[0], s.hosts[1]
	if s.isOwner(cut) {
		cut, other = other, cut
	}
	began := time.Now()
	if trouble {
		l.write("host %s is cut off from the store, for %s", cut.name, cutTime)
		cut.store.isCut.Store(true)
	}
	time.Sleep(100 * time.Millisecond)
	submitted := s.call(cut, http.MethodPost, path, tenantKey, jobOf(1, 8, work{Millis: 1000}), leaveMs)
	time.Sleep(time.Until(began.Add(1500 * time.Millisecond)))
	cancelled := s.call(other, http.MethodDelete, path, tenantKey, nil, 3*time.Second)
	if !isAck(cancelled.status) {
		l.write("the cancel is not acknowledged")
		return exitNotRun
	}
	l.write("cancel acknowledged with %d; the submission had %d", cancelled.status, submitted.status)
	time.Sleep(time.Until(began.Add(cutTime)))
	cut.store.isCut.Store(false)
	healed := time.Now()
	l.write("host %s reaches the store again", cut.name)
	waitFor(30*time.Second, func() bool { return len(l.find("end", job)) > 0 })
	s.call(other, http.MethodGet, path, tenantKey, nil, 3*time.Second)
	for _, x := range l.find("start", job) {
		if x.at.Sub(cancelled.at) > cancelMs && (!trouble || x.at.Sub(healed) > contactMs) {
			l.write("BROKEN: UNASKED: %s started %.1f s after its cancel was acknowledged, %.1f s after the cut was over", x.task,
				x.at.Sub(cancelled.at).Seconds(), x.at.Sub(healed).Seconds())
			return exitBroken
		}
	}
	l.write("held: nothing of %s started later than %s after its cancel was acknowledged", job, cancelMs)
	return exitHeld
}

// isAck reports whether a status acknowledges a cancel.
func isAck(status int) bool { return status/100 == 2 || status == http.StatusGone }
