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
	maxControlBody = 1 << 20
	maxBody        = 16 << 20
	maxReadRecords = 4096
	maxReadWait    = 30 * time.Second
	// maxPendingLists bounds the host lists that are not visible to readers yet.
	maxPendingLists = 256
)

// Platform simulates the platform's log and host list.
type Platform struct {
	clock      clock.Clock
	faults     *faultInjector
	maxRecords int
	maxAge     time.Duration
	listLag    time.Duration
	mu         sync.Mutex
	first      uint64
	records    []store.Record
	appended   chan struct{}
	hosts      map[string]store.Host
	workers    map[string]store.Worker
	listed     store.ListReply
	pending    []pendingList
}

// pendingList is a host list and the time from which readers see it.
type pendingList struct {
	visibleAt time.Time
	list      store.ListReply
}

// PlatformOption configures a platform.
type PlatformOption func(*Platform)

// WithMaxRecords limits the number of records that the log retains.
func WithMaxRecords(n int) PlatformOption { return func(p *Platform) { p.maxRecords = n } }

// WithMaxAge limits the time for which the log retains a record.
func WithMaxAge(d time.Duration) PlatformOption { return func(p *Platform) { p.maxAge = d } }

// WithListLag sets the delay after which readers see a change of the host list.
func WithListLag(d time.Duration) PlatformOption { return func(p *Platform) { p.listLag = d } }

// WithPlatformClock sets the clock.
func WithPlatformClock(c clock.Clock) PlatformOption { return func(p *Platform) { p.clock = c } }

// NewPlatform returns a platform with an empty log and list.
func NewPlatform(opts ...PlatformOption) *Platform {
	p := &Platform{
		clock:    clock.System(),
		first:    1,
		appended: make(chan struct{}),
		hosts:    map[string]store.Host{},
		workers:  map[string]store.Worker{},
	}
	for _, o := range opts {
		o(p)
	}
	p.faults = newFaultInjector(p.clock)
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
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&q); err != nil {
		writeError(w, http.StatusBadRequest, "BadRequest", err.Error())
		return
	}
	writeOK(w, store.AppendReply{Offset: p.Append(q.Records)})
}

// Append adds records and returns the offset of the first.
func (p *Platform) Append(data [][]byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	offset := p.nextOffset()
	for i, d := range data {
		p.records = append(p.records, store.Record{Offset: offset + uint64(i), At: now, Data: d})
	}
	p.expire(now)
	close(p.appended)
	p.appended = make(chan struct{})
	return offset
}

func (p *Platform) nextOffset() uint64 {
	return p.first + uint64(len(p.records))
}

func (p *Platform) expire(now time.Time) {
	n := 0
	for n < len(p.records) {
		isOld := p.maxAge > 0 && now.Sub(p.records[n].At) > p.maxAge
		isExcess := p.maxRecords > 0 && len(p.records)-n > p.maxRecords
		if !isOld && !isExcess {
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
		writeError(w, http.StatusBadRequest, "BadRequest", err.Error())
		return
	}
	limit, _ := strconv.Atoi(r.FormValue("Limit"))
	if limit <= 0 || limit > maxReadRecords {
		limit = maxReadRecords
	}
	wait, _ := time.ParseDuration(r.FormValue("Wait"))
	expired := p.clock.After(min(wait, maxReadWait))
	for {
		q, appended := p.read(from, limit)
		if q.Code != "" {
			writeJSON(w, http.StatusGone, q)
			return
		}
		if len(q.Records) > 0 || wait <= 0 {
			writeOK(w, q)
			return
		}
		select {
		case <-appended:
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
	q := store.ReadReply{First: p.first, Next: p.nextOffset()}
	if from < p.first {
		q.Code = store.CodeExpired
		return q, p.appended
	}
	if from < q.Next {
		rs := p.records[from-p.first:]
		q.Records = append(q.Records, rs[:min(limit, len(rs))]...)
	}
	return q, p.appended
}

// Registration adds hosts and workers to the platform's list and removes names from it.
type Registration struct {
	Hosts   []store.Host
	Workers []store.Worker
	Gone    []string
}

func (p *Platform) serveRegister(w http.ResponseWriter, r *http.Request) {
	var q Registration
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBody)).Decode(&q); err != nil {
		writeError(w, http.StatusBadRequest, "BadRequest", err.Error())
		return
	}
	p.Register(q)
	writeOK(w, struct{}{})
}

// Register changes the host list; readers see the change after the delay set by WithListLag.
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
	if len(p.pending) == maxPendingLists {
		p.pending = p.pending[1:]
	}
	l := store.ListReply{Hosts: sortedValues(p.hosts), Workers: sortedValues(p.workers)}
	p.pending = append(p.pending, pendingList{visibleAt: p.clock.Now().Add(p.listLag), list: l})
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	frozen := p.faults.get().FreezeHosts
	p.mu.Lock()
	now := p.clock.Now()
	for !frozen && len(p.pending) > 0 && !p.pending[0].visibleAt.After(now) {
		p.listed = p.pending[0].list
		p.pending = p.pending[1:]
	}
	l := p.listed
	p.mu.Unlock()
	writeWithETag(w, r, l)
}

// writeWithETag answers 304 if the client has the current value, or sends the value, compressed if the client accepts
// gzip.
func writeWithETag(w http.ResponseWriter, r *http.Request, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		writeError(w, http.StatusInternalServerError, "Encode", err.Error())
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

func writeOK(w http.ResponseWriter, v any) {
	writeJSON(w, http.StatusOK, v)
}

func writeError(w http.ResponseWriter, status int, code, text string) {
	writeJSON(w, status, rest.Failure{Code: code, Text: text})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
