package tests

import (
	"net/http"
	"slices"
	"time"
)

const (
	// soakCountInterval is the time between two questions for the number of pending jobs.
	soakCountInterval = 500 * time.Millisecond
	// soakCountAge is how long ago a job must have been accepted to be counted by every host.
	soakCountAge = soakVisibleTimeout + 2*time.Second
)

// watchPending asks the hosts in turn for the numbers of pending jobs, and checks that at least half of the jobs are counted that
// were accepted soakCountAge before and of which no task has started.
func (s *soakSite) watchPending() {
	for i := 0; s.t.Context().Err() == nil; i++ {
		h := s.hosts[i%len(s.hosts)]
		for _, q := range s.stalls.findQueues() {
			s.checkPending(h, q)
		}
		s.sleep(soakCountInterval)
	}
}

// checkPending checks the number of pending jobs of a queue at a host, unless a fault is near.
func (s *soakSite) checkPending(h *soakHost, queue string) {
	askedAt := time.Now()
	a := s.call(h, soakRequest{method: http.MethodGet, queue: queue, key: s.key(s.plan.orgs[0])})
	calm := askedAt.Add(-soakContactTime)
	if a.status != http.StatusOK || !h.isFaultFree(calm) || !s.isStoreFaultFree(calm) {
		return
	}
	waiting := slices.DeleteFunc(s.stalls.findOpen(queue, askedAt.Add(-soakCountAge)), s.runners.HasStarted)
	if 2*a.pending < len(waiting) {
		s.violate("%s gives %d jobs of %s as pending, but of %v no task has started", h.name, a.pending, queue, waiting)
	}
}

// findQueues returns the queues of the jobs that were accepted.
func (m *stallMonitor) findQueues() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, x := range m.jobs {
		if !slices.Contains(out, x.job.queue) {
			out = append(out, x.job.queue)
		}
	}
	return out
}

// findOpen returns the ids of the jobs of a queue that were accepted before a time and are not over.
func (m *stallMonitor) findOpen(queue string, before time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, x := range m.jobs {
		if x.job.queue == queue && !x.isOver && x.acceptedAt.Before(before) {
			out = append(out, x.job.id)
		}
	}
	return out
}
