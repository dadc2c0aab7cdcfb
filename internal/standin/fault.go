package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
)

// Fault selects the faults that a stand-in injects until the next call changes them.
type Fault struct {
	// Down closes every connection without an answer.
	Down bool
	// Freeze accepts every request and never answers it.
	Freeze bool
	// DelayMillis is added to every request.
	DelayMillis int64
	// LoseAnswers is the number of next POST requests that take effect but get no answer.
	LoseAnswers int
	// FreezeHosts stops updates of the platform's host list.
	FreezeHosts bool
	// FailTasks makes a worker fail every task that it starts.
	FailTasks bool
}

// faultInjector holds the current faults of a stand-in and applies them to its requests.
type faultInjector struct {
	clock   clock.Clock
	mu      sync.Mutex
	current Fault
	// changed is closed and replaced whenever the faults are set.
	changed chan struct{}
}

func newFaultInjector(c clock.Clock) *faultInjector {
	return &faultInjector{clock: c, changed: make(chan struct{})}
}

func (f *faultInjector) get() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

func (f *faultInjector) set(n Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = n
	close(f.changed)
	f.changed = make(chan struct{})
}

// takeLostAnswer reports whether the answer of this request is to be lost, and counts it.
func (f *faultInjector) takeLostAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.LoseAnswers == 0 {
		return false
	}
	f.current.LoseAnswers--
	return true
}

func (f *faultInjector) serve(w http.ResponseWriter, r *http.Request) {
	var n Fault
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBody)).Decode(&n); err != nil {
		writeError(w, http.StatusBadRequest, "BadRequest", err.Error())
		return
	}
	f.set(n)
	writeOK(w, n)
}

// wrap applies the faults to every request except those that set faults or read the recorded starts.
func (f *faultInjector) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/fault" || r.URL.Path == "/starts" {
			next.ServeHTTP(w, r)
			return
		}
		n := f.get()
		if n.Down {
			panic(http.ErrAbortHandler)
		}
		if n.Freeze {
			f.block(r)
			panic(http.ErrAbortHandler)
		}
		if f.clock.Sleep(r.Context(), time.Duration(n.DelayMillis)*time.Millisecond) != nil {
			panic(http.ErrAbortHandler)
		}
		if r.Method == http.MethodPost && f.takeLostAnswer() {
			next.ServeHTTP(discardWriter{http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// block returns when the faults change or the request is cancelled.
func (f *faultInjector) block(r *http.Request) {
	f.mu.Lock()
	c := f.changed
	f.mu.Unlock()
	select {
	case <-c:
	case <-r.Context().Done():
	}
}

// discardWriter drops a response.
type discardWriter struct {
	header http.Header
}

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}
