package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
)

// Fault is what a stand-in does wrong until it is told otherwise.
type Fault struct {
	// Down closes every connection without an answer.
	Down bool
	// Freeze holds every request without an answer.
	Freeze bool
	// DelayMillis is added to every request.
	DelayMillis int64
	// LoseAnswers counts the next changes that take effect and whose answer is lost.
	LoseAnswers int
	// FreezeHosts keeps the platform's list as it is.
	FreezeHosts bool
	// FailTasks makes a worker fail every task that it starts.
	FailTasks bool
}

type faults struct {
	clock clock.Clock
	mu    sync.Mutex
	now   Fault
	thaw  chan struct{}
}

func newFaults(c clock.Clock) *faults {
	return &faults{clock: c, thaw: make(chan struct{})}
}

func (f *faults) get() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *faults) set(n Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = n
	close(f.thaw)
	f.thaw = make(chan struct{})
}

func (f *faults) isLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.now.LoseAnswers == 0 {
		return false
	}
	f.now.LoseAnswers--
	return true
}

func (f *faults) serve(w http.ResponseWriter, r *http.Request) {
	var n Fault
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSmall)).Decode(&n); err != nil {
		fail(w, http.StatusBadRequest, "BadRequest", err.Error())
		return
	}
	f.set(n)
	reply(w, n)
}

// wrap applies the faults to every request but those that set or observe them.
func (f *faults) wrap(next http.Handler) http.Handler {
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
			f.hold(r)
			panic(http.ErrAbortHandler)
		}
		if f.clock.Sleep(r.Context(), time.Duration(n.DelayMillis)*time.Millisecond) != nil {
			panic(http.ErrAbortHandler)
		}
		if r.Method == http.MethodPost && f.isLost() {
			next.ServeHTTP(discard{http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (f *faults) hold(r *http.Request) {
	f.mu.Lock()
	c := f.thaw
	f.mu.Unlock()
	select {
	case <-c:
	case <-r.Context().Done():
	}
}

type discard struct {
	header http.Header
}

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}
