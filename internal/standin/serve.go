package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/transport/rest"
	"github.com/auburncleat/auburncleat/internal/transport/worker"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const headerTimeout = 10 * time.Second

// Handler serves the worker over HTTP.
func (w *Worker) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST "+worker.PathRenew, handle(w.Renew))
	m.HandleFunc("POST "+worker.PathInspect, handle(w.Inspect))
	m.HandleFunc("POST "+worker.PathPrepare, handleCommand(w.Prepare))
	m.HandleFunc("POST "+worker.PathStart, handleCommand(w.Start))
	m.HandleFunc("POST "+worker.PathStop, handleCommand(w.Stop))
	m.HandleFunc("POST "+worker.PathThrottle, handleCommand(w.Throttle))
	m.HandleFunc("POST "+worker.PathForget, handleCommand(w.Forget))
	m.HandleFunc("GET "+worker.PathAnswer, w.serveAnswer)
	m.HandleFunc("GET /starts", func(x http.ResponseWriter, _ *http.Request) { writeOK(x, w.Starts()) })
	m.HandleFunc("POST /fault", w.faults.serve)
	return w.faults.wrap(m)
}

// handleCommand serves a request that has no result.
func handleCommand[Q any](f func(Q) error) http.HandlerFunc {
	return handle(func(q Q) (struct{}, error) { return struct{}{}, f(q) })
}

func handle[Q, P any](f func(Q) (P, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var q Q
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&q); err != nil {
			writeError(w, http.StatusBadRequest, "BadRequest", err.Error())
			return
		}
		p, err := f(q)
		if err != nil {
			writeRefusal(w, err)
			return
		}
		writeOK(w, p)
	}
}

func writeRefusal(w http.ResponseWriter, err error) {
	var r refusal
	if !errors.As(err, &r) {
		writeError(w, http.StatusInternalServerError, "Internal", err.Error())
		return
	}
	status := http.StatusConflict
	switch r.code {
	case worker.CodeNoRoom:
		status = http.StatusInsufficientStorage
	case worker.CodeNoTask:
		status = http.StatusNotFound
	}
	writeError(w, status, r.code, r.text)
}

func (w *Worker) serveAnswer(x http.ResponseWriter, r *http.Request) {
	attempt, _ := strconv.Atoi(r.FormValue("Attempt"))
	task, _ := strconv.Atoi(r.FormValue("Task"))
	b, err := w.Answer(fleet.TaskRef{Job: r.FormValue("Job"), Attempt: attempt, Task: task})
	if err != nil {
		writeRefusal(x, err)
		return
	}
	x.Header().Set(worker.HeaderAnswerDigest, strconv.FormatUint(xxhash.Sum64(b), 16))
	_, _ = x.Write(b)
}

// Serve answers HTTP requests at addr until ctx is done, on at most limit connections at a time; 0 means no limit.
func Serve(ctx context.Context, addr netip.AddrPort, limit int, h http.Handler) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr.String())
	if err != nil {
		return fmt.Errorf("listen on %s: %w", addr, err)
	}
	c := &connections{limit: limit, open: map[net.Conn]bool{}}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ConnState: c.track}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve on %s: %w", addr, err)
	}
	return nil
}

// connections counts the open connections and closes every new one beyond the limit.
type connections struct {
	limit int
	mu    sync.Mutex
	open  map[net.Conn]bool
}

func (c *connections) track(n net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew:
		if c.limit > 0 && len(c.open) >= c.limit {
			_ = n.Close()
			return
		}
		c.open[n] = true
	case http.StateClosed, http.StateHijacked:
		delete(c.open, n)
	default:
	}
}

// Enroll sends q to the host list of the platform at addr.
func Enroll(ctx context.Context, addr netip.AddrPort, q Registration) error {
	r := rest.Request{Method: http.MethodPost, Addr: addr, Path: "/hosts", Body: q, Hedge: true}
	if err := rest.New().JSON(ctx, r, nil); err != nil {
		return fmt.Errorf("register with the platform: %w", err)
	}
	return nil
}
