package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the settings of a process show them.
const (
	recordBytes   = 262144
	requestBytes  = 2097152
	storeDelay    = 4 * time.Millisecond
	newestItems   = 500
	newestBytes   = 1 << 20
	maxReadWait   = 30 * time.Second
	repeatsKept   = 5
	lengthBytes   = 4
	defaultReadKB = 1024
	// anySequence stands for a new epoch, which may start at any sequence.
	anySequence = -1
)

// store is a stand-in for the platform's log, for partition 0 of each topic.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	record  *record
	// refused counts the appends that were refused because a record is too large.
	refused int
	// down makes the store leave all calls unanswered.
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
	epoch, sequence int64
	replies         map[int64][2]int64
}

func newStore(r *record) *store {
	return &store{topics: map[string]*topic{}, changed: make(chan struct{}), record: r}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]keyed{}, producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, requestBytes+1))
	if err != nil {
		return
	}
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(storeDelay)
	switch r.URL.Path {
	case "/log-append":
		s.append(w, r, body)
	case "/log-read":
		s.read(w, r)
	case "/log-newest":
		s.readNewest(w, r)
	default:
		http.NotFound(w, r)
	}
}

func number(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

func reply(w http.ResponseWriter, status int, m any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(m)
}

// split returns the records of an append, or false if one of them is malformed or too large.
func split(b []byte) (out [][]byte, ok bool) {
	if len(b) > requestBytes {
		return nil, false
	}
	for len(b) > 0 {
		if len(b) < lengthBytes {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(b))
		b = b[lengthBytes:]
		if n > recordBytes || n > len(b) {
			return nil, false
		}
		out = append(out, b[:n])
		b = b[n:]
	}
	return out, true
}

func (s *store) append(w http.ResponseWriter, r *http.Request, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := r.URL.Query().Get("topic")
	t := s.topic(name)
	end := int64(len(t.records))
	rs, ok := split(body)
	if !ok {
		s.refused++
		if s.refused <= 3 || s.refused%100 == 0 {
			s.record.note("store refused append %d with a record above %d bytes: topic %s, producer %s, body %d bytes",
				s.refused, recordBytes, name, r.URL.Query().Get("producer"), len(body))
		}
		reply(w, http.StatusBadRequest, map[string]any{"reason": "size"})
		return
	}
	if r.URL.Query().Has("at") && number(r, "at") != end {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end_offset": end})
		return
	}
	var p *producer
	sequence := number(r, "sequence")
	if id := r.URL.Query().Get("producer"); id != "" {
		p = t.producers[id]
		epoch := number(r, "epoch")
		if p == nil || epoch > p.epoch {
			p = &producer{epoch: epoch, sequence: anySequence, replies: map[int64][2]int64{}}
			t.producers[id] = p
		}
		if epoch < p.epoch {
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if x, seen := p.replies[sequence]; seen && len(rs) > 0 {
			reply(w, http.StatusOK, map[string]any{"offset": x[0], "end_offset": x[1]})
			return
		}
		if len(rs) > 0 && p.sequence != anySequence && sequence != p.sequence+1 {
			reply(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.sequence + 1})
			return
		}
	}
	for _, b := range rs {
		t.add(strings.HasPrefix(name, "keyed."), append([]byte{}, b...))
	}
	x := [2]int64{end, int64(len(t.records))}
	if p != nil && len(rs) > 0 {
		p.sequence = sequence
		p.replies[sequence] = x
		delete(p.replies, sequence-repeatsKept)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	reply(w, http.StatusOK, map[string]any{"offset": x[0], "end_offset": x[1]})
}

func (t *topic) add(isKeyed bool, b []byte) {
	offset := int64(len(t.records))
	t.records = append(t.records, b)
	if !isKeyed || len(b) == 0 || len(b) < 1+int(b[0]) {
		return
	}
	n := 1 + int(b[0])
	if len(b) == n {
		delete(t.newest, string(b[1:n]))
		return
	}
	t.newest[string(b[1:n])] = keyed{value: b[n:], offset: offset}
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from, wait := number(r, "from"), time.Duration(number(r, "wait_ms"))*time.Millisecond
	limit := int(number(r, "max_kb")) << 10
	if limit == 0 {
		limit = defaultReadKB << 10
	}
	until := time.After(min(wait, maxReadWait))
	for {
		s.mu.Lock()
		t, changed := s.topic(r.URL.Query().Get("topic")), s.changed
		end := int64(len(t.records))
		out := binary.BigEndian.AppendUint64(nil, uint64(end))
		out = binary.BigEndian.AppendUint64(out, 0)
		head := len(out)
		for i := from; i < end && (len(out) == head || len(out)+len(t.records[i]) < limit); i++ {
			out = binary.BigEndian.AppendUint32(out, uint32(len(t.records[i])))
			out = append(out, t.records[i]...)
		}
		s.mu.Unlock()
		if len(out) > head || wait <= 0 {
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-until:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) readNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, after := s.topic(r.URL.Query().Get("topic")), r.URL.Query().Get("start_after")
	var keys []string
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, hasMore := []map[string]any{}, 0, false
	for _, k := range keys {
		x := t.newest[k]
		size += len(k) + len(x.value)
		if len(items) > 0 && (len(items) >= newestItems || size > newestBytes) {
			hasMore = true
			break
		}
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(x.value), "offset": x.offset})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": hasMore, "end_offset": len(t.records)})
}

// put writes a keyed record as the operator or a worker does.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := append([]byte{byte(len(key))}, key...)
	s.topic(name).add(true, append(b, value...))
	close(s.changed)
	s.changed = make(chan struct{})
}
