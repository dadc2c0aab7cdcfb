package standin

import (
	"net/netip"
	"time"
)

// SetCommandDelay makes starts and stops at a worker go unanswered and take effect after the given delay; zero ends the fault.
func (r *Runners) SetCommandDelay(addr netip.AddrPort, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.byAddr[addr]; w != nil {
		w.commandDelay = delay
	}
}

// SetStalled stops the progress of all tasks of a worker, present and future.
func (r *Runners) SetStalled(addr netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.byAddr[addr]
	w.isStalled = true
	for _, x := range w.tasks {
		x.doneAt = time.Time{}
		if x.gang != nil {
			x.gang.stall()
		}
	}
}

// SetAdjust sets a function that changes the outcome of each run by the worker that it runs on.
func (r *Runners) SetAdjust(f func(worker string, o RunOutcome) RunOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.adjust = f
}

// SetAttempts changes how many runs of a task may fail; zero means no limit.
func (r *Runners) SetAttempts(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits.Attempts = n
}

// SetEndsPerReport changes how many ends a report lists at most; zero means no limit.
func (r *Runners) SetEndsPerReport(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits.EndsPerReport = n
}

// SetFull sets whether a worker refuses all starts with port.ErrNoRoom.
func (r *Runners) SetFull(addr netip.AddrPort, isFull bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.byAddr[addr]; w != nil {
		w.isFull = isFull
	}
}

// SetReportDelay delays the answers of a worker to Hold.
func (r *Runners) SetReportDelay(addr netip.AddrPort, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.byAddr[addr]; w != nil {
		w.reportDelay = d
	}
}
