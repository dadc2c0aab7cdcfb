package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/pkg/errors"
)

// targetHeader names the worker that a call is addressed to.
const targetHeader = "X-Target-Instance"

// runnerRequest is the body of all requests to a worker.
type runnerRequest struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadline_ms"`
	FencingToken int64  `json:"fencing_token"`
	Checkpoint   string `json:"checkpoint"`
	LastSeen     int64  `json:"last_seen"`
	WaitMs       int64  `json:"wait_ms"`
}

type runnerReply struct {
	ClockMs  int64   `json:"clock_ms"`
	Born     int64   `json:"born"`
	Reason   string  `json:"reason,omitempty"`
	Running  [][]any `json:"running,omitempty"`
	Finished [][]any `json:"finished,omitempty"`
}

// Handler serves the worker at an address with the platform's protocol; a call that the worker does not answer hangs.
func (r *Runners) Handler(at netip.AddrPort) http.Handler {
	v := r.View("")
	m := http.NewServeMux()
	m.HandleFunc("POST /run-start", handleRunner(func(q *http.Request, c runnerRequest, t port.RunRef) (runnerReply, error) {
		clock, err := v.Start(q.Context(), at, port.RunStart{
			Ref: t, Spec: c.Spec, Until: time.Duration(c.DeadlineMs) * time.Millisecond, Token: c.FencingToken,
			Checkpoint: c.Checkpoint, Worker: q.Header.Get(targetHeader),
		})
		return runnerReply{ClockMs: clock.Milliseconds()}, err
	}))
	m.HandleFunc("POST /run-stop", handleRunner(func(q *http.Request, c runnerRequest, t port.RunRef) (runnerReply, error) {
		return runnerReply{}, v.Stop(q.Context(), at, t, c.FencingToken, q.Header.Get(targetHeader))
	}))
	m.HandleFunc("POST /hold", handleRunner(func(q *http.Request, c runnerRequest, _ port.RunRef) (runnerReply, error) {
		x, err := v.Renew(q.Context(), at, port.LeaseRenewal{
			Token: c.FencingToken, Until: time.Duration(c.DeadlineMs) * time.Millisecond, AckedEnd: c.LastSeen,
			Wait: time.Duration(c.WaitMs) * time.Millisecond, Worker: q.Header.Get(targetHeader),
		})
		return newRunnerReply(x, r.BornOf(x.Instance)), err
	}))
	return m
}

func handleRunner(f func(q *http.Request, c runnerRequest, t port.RunRef) (runnerReply, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		var c runnerRequest
		if err := json.NewDecoder(q.Body).Decode(&c); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		t, err := parseTask(c.Task, c.Run)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p, err := f(q, c, t)
		if err != nil {
			writeRunnerError(w, q, err)
			return
		}
		writeJSON(w, http.StatusOK, p)
	}
}

// parseTask parses the name of a task; it is empty in a request that concerns the whole worker.
func parseTask(name string, run int) (port.RunRef, error) {
	if name == "" {
		return port.RunRef{}, nil
	}
	out := port.RunRef{Run: run}
	p := strings.Split(name, ".")
	if len(p) != 4 {
		return out, fmt.Errorf("task %q has %d parts, want 4", name, len(p))
	}
	out.Job = p[0]
	for i, to := range []*int{&out.Occurrence, &out.Step, &out.Task} {
		n, err := strconv.Atoi(p[i+1])
		if err != nil {
			return out, fmt.Errorf("task %q: %w", name, err)
		}
		*to = n
	}
	return out, nil
}

func formatTask(r port.RunRef) string {
	return fmt.Sprintf("%s.%d.%d.%d", r.Job, r.Occurrence, r.Step, r.Task)
}

func newRunnerReply(x port.RunReport, born int64) runnerReply {
	p := runnerReply{ClockMs: x.Clock.Milliseconds(), Born: born}
	for _, t := range x.Running {
		p.Running = append(p.Running, []any{formatTask(t.Ref), t.Ref.Run, t.Checkpoint, t.Percent})
	}
	for _, t := range x.Ended {
		p.Finished = append(p.Finished, []any{t.Number, formatTask(t.Ref), t.Ref.Run, endReason(t), t.Checkpoint})
	}
	return p
}

// BornOf returns the Unix time in milliseconds at which an instance started, by which the platform identifies it; zero if there was none.
func (r *Runners) BornOf(instance string) int64 {
	at := r.getBirth(instance)
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}

// endReason returns the platform's name for the way in which a run ended.
func endReason(x port.RunEnd) string {
	switch x.Result {
	case jobs.Done:
		return "done"
	case jobs.FailedRun:
		return "failed"
	default:
		return x.How
	}
}

func writeRunnerError(w http.ResponseWriter, q *http.Request, err error) {
	reason := ""
	switch {
	case errors.Is(err, ErrNoAnswer):
		hang(q)
	case errors.Is(err, port.ErrWrongWorker):
		writeJSON(w, http.StatusMisdirectedRequest, runnerReply{})
		return
	case errors.Is(err, port.ErrFenced):
		reason = "fence"
	case errors.Is(err, port.ErrRunEnded):
		reason = "old"
	case errors.Is(err, port.ErrLeaseExpired):
		reason = "late"
	case errors.Is(err, port.ErrNoRoom):
		reason = "room"
	default:
		writeJSON(w, http.StatusServiceUnavailable, runnerReply{Reason: err.Error()})
		return
	}
	writeJSON(w, http.StatusConflict, runnerReply{Reason: reason})
}
