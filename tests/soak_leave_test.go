package tests

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// soakLeaveGap is the mean time between two clients that leave, soakLeaveTime how long each waits for the answer to its submission, and
	// soakRegretTime bounds the time after which it cancels the job.
	soakLeaveGap   = 1500 * time.Millisecond
	soakLeaveTime  = 900 * time.Millisecond
	soakRegretTime = 2 * time.Second
	// soakLeaveSeed separates what is drawn for these clients from the rest of the plan.
	soakLeaveSeed = 5
	// soakFirstLeaver is the number of the first job of these clients.
	soakFirstLeaver = 1 << 16
)

// addLeavingClients adds clients that submit a job, leave before they have waited long for an answer, and cancel the job at another host.
func (p *soakPlan) addLeavingClients() {
	r := rand.New(rand.NewPCG(p.seed, soakLeaveSeed))
	for at := time.Duration(0); at < p.length; at += time.Duration(r.Int64N(int64(2 * soakLeaveGap))) {
		j := &soakJob{
			submitAt: at, id: fmt.Sprintf("%016x", soakFirstLeaver+len(p.jobs)), org: p.orgs[r.IntN(len(p.orgs))], queue: "urgent",
			steps: []soakStep{{Count: 1, CPU: 1, GPUs: 1, Estimated: 1000}}, isAbandoned: true, work: time.Second,
			cancelAfter: time.Millisecond + time.Duration(r.Int64N(int64(soakRegretTime))), hosts: r.Perm(p.hosts),
		}
		p.jobs = append(p.jobs, j)
		p.byID[j.id] = j
	}
}

// runLeavingClient submits a job once, leaves, and cancels the job at the other hosts.
func (s *soakSite) runLeavingClient(x *soakResult, body []byte) {
	j := x.job
	a := s.call(s.hosts[j.hosts[0]], soakRequest{method: http.MethodPost, queue: j.queue, id: j.id, key: s.key(j.org), body: body, timeout: soakLeaveTime})
	switch a.status {
	case http.StatusOK:
		x.acceptedAt = time.Now()
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusUnauthorized, http.StatusNotFound:
		x.refused++
	default:
		x.isUnknown = true
	}
	s.sleep(j.cancelAfter)
	s.cancel(x)
}

// checkGone checks that nothing runs of a job whose cancel was answered as gone: nothing was sent for a job that was not stored then, and nothing
// may be afterwards.
func (s *soakSite) checkGone(x *soakResult) {
	if x.isGone && s.runners.HasStarted(x.job.id) {
		s.violate("job %s ran, though its cancel was answered as gone", x.job.id)
	}
	if x.isGone && !x.acceptedAt.IsZero() {
		s.violate("the cancel of job %s was answered as gone, though it had been accepted", x.job.id)
	}
}
