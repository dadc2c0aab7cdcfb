//go:build review3

package main

import (
	"net/http"
	"time"
)

// runFirm lets a large job come, whose tasks last and may miss half of them, and which takes the idle accelerators. Then a tenant
// claims its guarantee.
func runFirm(l *record, trouble bool) int {
	s, err := newSite(l, 3, 6, 8, guaranteedConfig())
	if err != nil {
		l.write("cannot start the site: %v", err)
		return exitNotRun
	}
	defer s.close()
	if trouble {
		const large = "00000000000000c1"
		s.call(s.hosts[0], http.MethodPost, "/lohu930/"+large, "k3", lasting(jobOf(48, 1, work{Lasts: true}), 24), 3*time.Second)
		if !waitFor(10*time.Second, func() bool { return len(l.find("start", large)) >= 48 }) {
			l.write("the large job does not run")
			return exitNotRun
		}
	}
	time.Sleep(5 * time.Second)
	return s.claim(jobOf(24, 1, work{Millis: 2000}), 24)
}
