//go:build review3

package main

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	appendTime    = 2 * time.Millisecond
	recordBytes   = 262144
	requestBytes  = 2097152
	maxPageKeys   = 500
	keyedPrefix   = "keyed."
	repeatWindow  = 5
	lengthBytes   = 4
	heartbeatTime = 1500 * time.Millisecond
)

// store is a stand-in for the platform's store as PROTOCOL.md describes it: topics with offsets, conditional appends,
// producers with epochs and sequence numbers, and the newest record of each key.
type store struct {
	mu       sync.Mutex
	topics   map[string]*topicLog
	appended chan struct{}
}

// link is the way of one host to the store.
type link struct {
	store *store
	// isCut is set while nothing passes, in either direction.
	isCut atomic.Bool
}

type topicLog struct {
	records   [][]byte
	newest    map[string]keyedRecord
	producers map[string]*producer
}

type keyedRecord struct {
	value  []byte
	offset int64
}

type producer struct {
	epoch, sequence int64
	replies         map[int64]appendReply
}

type appendReply struct {
	Offset    int64  `json:"offset"`
	EndOffset int64  `json:"end_offset"`
	Reason    string `json:"reason,omitempty"`
	Expected  int64  `json:"sequence,omitempty"`
}

func newStore() *store {
	return &store{topics: map[string]*topicLog{}, appended: make(chan struct{})}
}

func (s *store) topic(name string) *topicLog {
	t := s.topics[name]
	if t == nil {
		t = &topicLog{newest: map[string]keyedRecord{}, producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

// pass does not answer a call that came, or whose answer is due, while the link is cut, also not later.
func (l *link) pass(r *http.Request) {
	if l.isCut.Load() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// put stores a record of the operator or of a worker; an empty value drops the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := append([]byte{byte(len(key))}, key...)
	s.appendRecord(topic, append(b, value...))
	s.wake()
}

func (s *store) wake() {
	close(s.appended)
	s.appended = make(chan struct{})
}

func (s *store) appendRecord(topic string, b []byte) {
	t := s.topic(topic)
	offset := int64(len(t.records))
	t.records = append(t.records, b)
	if !strings.HasPrefix(topic, keyedPrefix) {
		return
	}
	n := 1 + int(b[0])
	key, value := string(b[1:n]), b[n:]
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = keyedRecord{value, offset}
	}
}

// ServeHTTP serves the calls of one host.
func (l *link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	l.pass(r)
	s := l.store
	switch r.Method + " " + r.URL.Path {
	case "POST /log-append":
		status, m := s.serveAppend(r, body)
		l.pass(r)
		reply(w, status, m)
	case "GET /log-read":
		b := s.serveRead(r)
		l.pass(r)
		_, _ = w.Write(b)
	case "GET /log-newest":
		m := s.serveNewest(r)
		l.pass(r)
		reply(w, http.StatusOK, m)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, m any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(m)
}

func number(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

// serveAppend appends the records of a call, all or none.
func (s *store) serveAppend(r *http.Request, body []byte) (int, appendReply) {
	q := r.URL.Query()
	name := q.Get("topic")
	var records [][]byte
	if len(body) > requestBytes {
		return http.StatusBadRequest, appendReply{Reason: "request"}
	}
	for b := body; len(b) > 0; {
		if len(b) < lengthBytes {
			return http.StatusBadRequest, appendReply{Reason: "length"}
		}
		n := int(binary.BigEndian.Uint32(b))
		if b = b[lengthBytes:]; n > len(b) || n > recordBytes {
			return http.StatusBadRequest, appendReply{Reason: "record"}
		}
		if strings.HasPrefix(name, keyedPrefix) && (n == 0 || n < 1+int(b[0])) {
			return http.StatusBadRequest, appendReply{Reason: "key"}
		}
		records = append(records, append([]byte(nil), b[:n]...))
		b = b[n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// A partition processes its appends one at a time.
	time.Sleep(appendTime)
	t := s.topic(name)
	end := int64(len(t.records))
	if q.Has("at") && number(r, "at") != end {
		return http.StatusPreconditionFailed, appendReply{EndOffset: end}
	}
	var p *producer
	epoch, sequence := number(r, "epoch"), number(r, "sequence")
	if id := q.Get("producer"); id != "" {
		p = t.producers[id]
		switch {
		case p != nil && epoch < p.epoch:
			return http.StatusConflict, appendReply{Reason: "fenced"}
		case p == nil || epoch > p.epoch:
			p = &producer{epoch: epoch, sequence: sequence - 1, replies: map[int64]appendReply{}}
			t.producers[id] = p
		}
		if m, ok := p.replies[sequence]; ok && len(records) > 0 {
			return http.StatusOK, m
		}
		if len(records) > 0 && sequence != p.sequence+1 {
			return http.StatusConflict, appendReply{Reason: "seq", Expected: p.sequence + 1}
		}
		if len(records) == 0 {
			p.sequence = max(p.sequence, sequence)
		}
	}
	for _, b := range records {
		s.appendRecord(name, b)
	}
	m := appendReply{Offset: end, EndOffset: int64(len(t.records))}
	if p != nil && len(records) > 0 {
		p.sequence = sequence
		p.replies[sequence] = m
		delete(p.replies, sequence-repeatWindow)
	}
	s.wake()
	return http.StatusOK, m
}

func (s *store) serveRead(r *http.Request) []byte {
	name, from := r.URL.Query().Get("topic"), number(r, "from")
	limit := int(number(r, "max_kb")) << 10
	if limit == 0 {
		limit = 1 << 20
	}
	until := time.Now().Add(time.Duration(number(r, "wait_ms")) * time.Millisecond)
	for {
		s.mu.Lock()
		t, appended := s.topic(name), s.appended
		b := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
		b = binary.BigEndian.AppendUint64(b, 0)
		n := 0
		for at := from; at < int64(len(t.records)) && len(b) < limit; at++ {
			b = binary.BigEndian.AppendUint32(b, uint32(len(t.records[at])))
			b = append(b, t.records[at]...)
			n++
		}
		s.mu.Unlock()
		left := time.Until(until)
		if n > 0 || left <= 0 {
			return b
		}
		wait(r.Context(), appended, left)
		if r.Context().Err() != nil {
			return b
		}
	}
}

func wait(ctx context.Context, c <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-c:
	case <-t.C:
	case <-ctx.Done():
	}
}

type newestItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

type newestReply struct {
	Items     []newestItem `json:"items"`
	HasMore   bool         `json:"has_more"`
	EndOffset int64        `json:"end_offset"`
}

func (s *store) serveNewest(r *http.Request) newestReply {
	after := r.URL.Query().Get("start_after")
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	var keys []string
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	m := newestReply{Items: []newestItem{}, HasMore: len(keys) > maxPageKeys, EndOffset: int64(len(t.records))}
	for _, k := range keys[:min(len(keys), maxPageKeys)] {
		m.Items = append(m.Items, newestItem{k, base64.StdEncoding.EncodeToString(t.newest[k].value), t.newest[k].offset})
	}
	return m
}
