package main

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// answerTime is how long the store takes for an answer.
	answerTime = 4 * time.Millisecond
	// maxNewest and maxRequestBytes are limits of the platform's store.
	maxNewest       = 500
	maxNewestBytes  = 1 << 20
	maxRequestBytes = 2097152
	maxRecordBytes  = 262144
	// keptReplies is how many of its last appends a producer may repeat.
	keptReplies = 5
)

// store is a stand-in for the platform's store.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	// slow is added to the time of each answer.
	slow time.Duration
	// down makes the store refuse all calls with 503.
	down bool
}

type topic struct {
	records   [][]byte
	newest    map[string]keyed
	producers map[string]*producer
}

type keyed struct {
	value  []byte
	offset int64
}

type producer struct {
	epoch    int64
	sequence int64
	// isFresh is set until the first append of an epoch, which may have any sequence number.
	isFresh bool
	replies map[int64]appendReply
}

type appendReply struct {
	Offset    int64 `json:"offset"`
	EndOffset int64 `json:"end_offset"`
}

func newStore() *store {
	return &store{topics: map[string]*topic{}, changed: make(chan struct{})}
}

// serve serves the store on a free loopback port and returns the address.
func (s *store) serve() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	m := http.NewServeMux()
	m.HandleFunc("POST /log-append", s.handleAppend)
	m.HandleFunc("GET /log-read", s.handleRead)
	m.HandleFunc("GET /log-newest", s.handleNewest)
	go func() { _ = http.Serve(l, m) }()
	return l.Addr().String(), nil
}

func (s *store) setDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = isDown
}

func (s *store) setSlow(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = d
}

// begin waits for the time of an answer and reports whether the store serves the call.
func (s *store) begin(w http.ResponseWriter) bool {
	s.mu.Lock()
	d := answerTime + s.slow
	s.mu.Unlock()
	time.Sleep(d)
	s.mu.Lock()
	isDown := s.down
	s.mu.Unlock()
	if isDown {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return !isDown
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]keyed{}, producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

// put appends one keyed record, as the operator and the workers do; an empty value drops the key. It reports whether the store
// has taken it.
func (s *store) put(name, key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	b := append([]byte{byte(len(key))}, key...)
	s.append(s.topic(name), strings.HasPrefix(name, "keyed."), append(b, value...))
	s.wake()
	return true
}

func (s *store) append(t *topic, isKeyed bool, b []byte) {
	offset := int64(len(t.records))
	t.records = append(t.records, b)
	if !isKeyed {
		return
	}
	n := 1 + int(b[0])
	key, value := string(b[1:n]), b[n:]
	if len(value) == 0 {
		delete(t.newest, key)
		return
	}
	t.newest[key] = keyed{value, offset}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, status int, m any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(m)
}

func number(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

// split returns the records of a body, or false if it is malformed or too large.
func split(b []byte) ([][]byte, bool) {
	if len(b) > maxRequestBytes {
		return nil, false
	}
	var out [][]byte
	for len(b) > 0 {
		if len(b) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(b))
		if n > maxRecordBytes || len(b) < 4+n {
			return nil, false
		}
		out = append(out, bytes.Clone(b[4:4+n]))
		b = b[4+n:]
	}
	return out, true
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || !s.begin(w) {
		return
	}
	records, ok := split(body)
	if !ok {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	name := r.URL.Query().Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	end := int64(len(t.records))
	if r.URL.Query().Has("at") && number(r, "at") != end {
		writeJSON(w, http.StatusPreconditionFailed, appendReply{EndOffset: end})
		return
	}
	var p *producer
	epoch, sequence := number(r, "epoch"), number(r, "sequence")
	if id := r.URL.Query().Get("producer"); id != "" {
		p = t.producers[id]
		if p == nil || epoch > p.epoch {
			p = &producer{epoch: epoch, isFresh: true, replies: map[int64]appendReply{}}
			t.producers[id] = p
		}
		if epoch < p.epoch {
			writeJSON(w, http.StatusConflict, map[string]string{"reason": "fenced"})
			return
		}
		if x, ok := p.replies[sequence]; ok && len(records) > 0 {
			writeJSON(w, http.StatusOK, x)
			return
		}
		if len(records) > 0 && !p.isFresh && sequence != p.sequence+1 {
			writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.sequence + 1})
			return
		}
	}
	for _, b := range records {
		s.append(t, strings.HasPrefix(name, "keyed."), b)
	}
	x := appendReply{Offset: end, EndOffset: int64(len(t.records))}
	if p != nil && len(records) > 0 {
		p.sequence, p.isFresh = sequence, false
		p.replies[sequence] = x
		delete(p.replies, sequence-keptReplies)
	}
	if len(records) > 0 {
		s.wake()
	}
	writeJSON(w, http.StatusOK, x)
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	if !s.begin(w) {
		return
	}
	from, wait := number(r, "from"), time.Duration(number(r, "wait_ms"))*time.Millisecond
	until := time.Now().Add(wait)
	maxBytes := int(number(r, "max_kb")) << 10
	if maxBytes == 0 {
		maxBytes = 1 << 20
	}
	for {
		s.mu.Lock()
		t, changed, isDown := s.topic(r.URL.Query().Get("topic")), s.changed, s.down
		end := int64(len(t.records))
		var records [][]byte
		size := 0
		for at := from; at < end && size < maxBytes; at++ {
			records = append(records, t.records[at])
			size += 4 + len(t.records[at])
		}
		s.mu.Unlock()
		if isDown {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		left := time.Until(until)
		if len(records) > 0 || left <= 0 {
			b := binary.BigEndian.AppendUint64(nil, uint64(end))
			b = binary.BigEndian.AppendUint64(b, 0)
			for _, x := range records {
				b = binary.BigEndian.AppendUint32(b, uint32(len(x)))
				b = append(b, x...)
			}
			_, _ = w.Write(b)
			return
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	if !s.begin(w) {
		return
	}
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	var out struct {
		Items     []item `json:"items"`
		HasMore   bool   `json:"has_more"`
		EndOffset int64  `json:"end_offset"`
	}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	after := r.URL.Query().Get("start_after")
	var keys []string
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	size := 0
	for _, k := range keys {
		if len(out.Items) == maxNewest || size > maxNewestBytes {
			out.HasMore = true
			break
		}
		x := t.newest[k]
		size += len(k) + len(x.value)
		out.Items = append(out.Items, item{k, base64.StdEncoding.EncodeToString(x.value), x.offset})
	}
	out.EndOffset = int64(len(t.records))
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}
