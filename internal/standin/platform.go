package standin

import (
	"compress/gzip"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/transport/rest"
	"github.com/auburncleat/auburncleat/internal/transport/store"
	"github.com/cespare/xxhash/v2"
)

const (
	maxSmall  = 1 << 20
	maxAppend = 16 << 20
	maxRead   = 4096
	maxWait   = 30 * time.Second
	// maxPending bounds the changes of the host list that still lag.
	maxPending = 256
)

// Platform is a stand-in for the platform's log and host list.
type Platform struct {
	clock   clock.Clock
	faults  *faults
	keep    int
	age     time.Duration
	lag     time.Duration
	mu      sync.Mutex
	first   uint64
	records []store.Record
	grown   chan struct{}
	hosts   map[string]store.Host
	workers map[string]store.Worker
	listed  store.ListReply
	pending []lagging
}

type lagging struct {
	at   time.Time
	list store.ListReply
}

// PlatformOption changes a platform while it is built.
type PlatformOption func(*Platform)

// WithKeep limits how many records the log keeps.
func WithKeep(n int) PlatformOption { return func(p *Platform) { p.keep = n } }

// WithAge limits how long the log keeps a record.
func WithAge(d time.Duration) PlatformOption { return func(p *Platform) { p.age = d } }

// WithLag sets how far the host list lags.
func WithLag(d time.Duration) PlatformOption { return func(p *Platform) { p.lag = d } }

// WithPlatformClock sets the clock.
func WithPlatformClock(c clock.Clock) PlatformOption { return func(p *Platform) { p.clock = c } }

// NewPlatform returns a platform with an empty log and list.
func NewPlatform(opts ...PlatformOption) *Platform {
	p := &Platform{
		clock:   clock.System(),
		first:   1,
		grown:   make(chan struct{}),
		hosts:   map[string]store.Host{},
		workers: map[string]store.Worker{},
	}
	for _, o := range opts {
		o(p)
	}
	p.faults = newFaults(p.clock)
	return p
}

// Handler serves the platform over HTTP.
func (p *Platform) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /log/append", p.serveAppend)
	m.HandleFunc("GET /log/read", p.serveRead)
	m.HandleFunc("GET /hosts", p.serveList)
	m.HandleFunc("POST /hosts", p.serveRegister)
	m.HandleFunc("POST /fault", p.faults.serve)
	return p.faults.wrap(m)
}

func (p *Platform) serveAppend(w http.ResponseWriter, r *http.Request) {
	var q store.AppendRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAppend)).Decode(&q); err != nil {
		fail(w, http.StatusBadRequest, "BadRequest", err.Error())
		return
	}
	reply(w, store.AppendReply{Offset: p.Append(q.Records)})
}

// Append adds records and returns the offset of the first.
func (p *Platform) Append(data [][]byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	offset := p.next()
	for i, d := range data {
		p.records = append(p.records, store.Record{Offset: offset + uint64(i), At: now, Data: d})
	}
	p.expire(now)
	close(p.grown)
	p.grown = make(chan struct{})
	return offset
}

func (p *Platform) next() uint64 {
	return p.first + uint64(len(p.records))
}

func (p *Platform) expire(now time.Time) {
	n := 0
	for n < len(p.records) {
		old := p.age > 0 && now.Sub(p.records[n].At) > p.age
		many := p.keep > 0 && len(p.records)-n > p.keep
		if !old && !many {
			break
		}
		n++
	}
	p.records = p.records[n:]
	p.first += uint64(n)
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.FormValue("From"), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "BadRequest", err.Error())
		return
	}
	limit, _ := strconv.Atoi(r.FormValue("Limit"))
	if limit <= 0 || limit > maxRead {
		limit = maxRead
	}
	wait, _ := time.ParseDuration(r.FormValue("Wait"))
	expired := p.clock.After(min(wait, maxWait))
	for {
		q, grown := p.read(from, limit)
		if q.Code != "" {
			write(w, http.StatusGone, q)
			return
		}
		if len(q.Records) > 0 || wait <= 0 {
			reply(w, q)
			return
		}
		select {
		case <-grown:
		case <-expired:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) read(from uint64, limit int) (store.ReadReply, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(p.clock.Now())
	q := store.ReadReply{First: p.first, Next: p.next()}
	if from < p.first {
		q.Code = store.CodeExpired
		return q, p.grown
	}
	if from < q.Next {
		rs := p.records[from-p.first:]
		q.Records = append(q.Records, rs[:min(limit, len(rs))]...)
	}
	return q, p.grown
}

// Registration adds hosts and workers to the platform's list and removes names from it.
type Registration struct {
	Hosts   []store.Host
	Workers []store.Worker
	Gone    []string
}

func (p *Platform) serveRegister(w http.ResponseWriter, r *http.Request) {
	var q Registration
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSmall)).Decode(&q); err != nil {
		fail(w, http.StatusBadRequest, "BadRequest", err.Error())
		return
	}
	p.Register(q)
	reply(w, struct{}{})
}

// Register changes the list; readers see the change after the lag.
func (p *Platform) Register(q Registration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range q.Hosts {
		p.hosts[h.Name] = h
	}
	for _, w := range q.Workers {
		p.workers[w.Name] = w
	}
	for _, n := range q.Gone {
		delete(p.hosts, n)
		delete(p.workers, n)
	}
	if len(p.pending) == maxPending {
		p.pending = p.pending[1:]
	}
	l := store.ListReply{Hosts: sorted(p.hosts), Workers: sorted(p.workers)}
	p.pending = append(p.pending, lagging{at: p.clock.Now().Add(p.lag), list: l})
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	frozen := p.faults.get().FreezeHosts
	p.mu.Lock()
	now := p.clock.Now()
	for !frozen && len(p.pending) > 0 && !p.pending[0].at.After(now) {
		p.listed = p.pending[0].list
		p.pending = p.pending[1:]
	}
	l := p.listed
	p.mu.Unlock()
	writeTagged(w, r, l)
}

// writeTagged answers that nothing has changed, or the whole value, compressed for readers that take it.
func writeTagged(w http.ResponseWriter, r *http.Request, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		fail(w, http.StatusInternalServerError, "Encode", err.Error())
		return
	}
	tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(b), 16))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(b)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	_, _ = z.Write(b)
	_ = z.Close()
}

func reply(w http.ResponseWriter, v any) {
	write(w, http.StatusOK, v)
}

func fail(w http.ResponseWriter, status int, code, text string) {
	write(w, status, rest.Failure{Code: code, Text: text})
}

func write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
