package standin

import (
	"encoding/base64"
	"encoding/binary"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/pkg/errors"
)

const (
	keyedPrefix       = "keyed."
	recordLengthBytes = 4
)

var errTruncatedRecord = errors.New("record is truncated")

// storeReply is the body of the store's answers to appends and of its error responses.
type storeReply struct {
	Offset      int64  `json:"offset"`
	EndOffset   int64  `json:"end_offset"`
	FirstOffset int64  `json:"first_offset"`
	Reason      string `json:"reason,omitempty"`
}

type newestReply struct {
	Items     []newestItem `json:"items"`
	HasMore   bool         `json:"has_more"`
	EndOffset int64        `json:"end_offset"`
}

type newestItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

// Handler serves the store to one host with the platform's protocol; a call that the store does not answer hangs.
func (s *Store) Handler(host string) http.Handler {
	v := s.View(host)
	m := http.NewServeMux()
	m.HandleFunc("POST /log-append", func(w http.ResponseWriter, r *http.Request) {
		a, err := parseAppend(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		x, err := v.Append(r.Context(), a)
		if err != nil {
			writeStoreError(w, r, storeReply{EndOffset: x.End}, err)
			return
		}
		writeJSON(w, http.StatusOK, storeReply{Offset: x.First, EndOffset: x.End})
	})
	m.HandleFunc("GET /log-read", func(w http.ResponseWriter, r *http.Request) {
		t := parseTopic(r)
		wait := time.Duration(formInt(r, "wait_ms")) * time.Millisecond
		x, err := v.Read(r.Context(), t, formInt(r, "from"), wait)
		if err != nil {
			writeStoreError(w, r, storeReply{FirstOffset: x.First}, err)
			return
		}
		b := binary.BigEndian.AppendUint64(nil, uint64(x.End))
		b = binary.BigEndian.AppendUint64(b, uint64(x.First))
		for _, e := range x.Entries {
			b = appendRecord(b, t, e)
		}
		_, _ = w.Write(b)
	})
	m.HandleFunc("GET /log-newest", func(w http.ResponseWriter, r *http.Request) {
		x, err := v.Newest(r.Context(), parseTopic(r), r.FormValue("start_after"))
		if err != nil {
			writeStoreError(w, r, storeReply{}, err)
			return
		}
		out := newestReply{EndOffset: x.End, HasMore: x.Next != ""}
		for _, e := range x.Entries {
			out.Items = append(out.Items, newestItem{e.Key, base64.StdEncoding.EncodeToString(e.Value), e.Offset})
		}
		writeJSON(w, http.StatusOK, out)
	})
	return m
}

func parseTopic(r *http.Request) port.Topic {
	name, isKeyed := strings.CutPrefix(r.URL.Query().Get("topic"), keyedPrefix)
	return port.Topic{Name: name, IsKeyed: isKeyed}
}

func formInt(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

func parseAppend(r *http.Request) (port.Append, error) {
	q := r.URL.Query()
	a := port.Append{
		Topic: parseTopic(r), IsConditional: q.Has("at"), At: formInt(r, "at"),
		Producer: q.Get("producer"), Epoch: formInt(r, "epoch"), Sequence: formInt(r, "sequence"),
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return a, err
	}
	for len(b) > 0 {
		if len(b) < recordLengthBytes || len(b) < recordLengthBytes+int(binary.BigEndian.Uint32(b)) {
			return a, errTruncatedRecord
		}
		n := recordLengthBytes + int(binary.BigEndian.Uint32(b))
		e, err := parseRecord(a.Topic, b[recordLengthBytes:n])
		if err != nil {
			return a, err
		}
		a.Entries = append(a.Entries, e)
		b = b[n:]
	}
	return a, nil
}

func parseRecord(t port.Topic, b []byte) (port.Entry, error) {
	if !t.IsKeyed {
		return port.Entry{Value: b}, nil
	}
	if len(b) == 0 || len(b) < 1+int(b[0]) {
		return port.Entry{}, errTruncatedRecord
	}
	n := 1 + int(b[0])
	return port.Entry{Key: string(b[1:n]), Value: b[n:]}, nil
}

func appendRecord(b []byte, t port.Topic, e port.Entry) []byte {
	v := e.Value
	if t.IsKeyed {
		v = append(append([]byte{byte(len(e.Key))}, e.Key...), e.Value...)
	}
	b = binary.BigEndian.AppendUint32(b, uint32(len(v)))
	return append(b, v...)
}

func writeStoreError(w http.ResponseWriter, r *http.Request, p storeReply, err error) {
	switch {
	case errors.Is(err, ErrNoAnswer):
		hang(r)
	case errors.Is(err, port.ErrConflict):
		writeJSON(w, http.StatusPreconditionFailed, p)
	case errors.Is(err, port.ErrStaleEpoch):
		p.Reason = "fenced"
		writeJSON(w, http.StatusConflict, p)
	case errors.Is(err, port.ErrOutOfSequence):
		p.Reason = "seq"
		writeJSON(w, http.StatusConflict, p)
	case errors.Is(err, port.ErrExpired):
		writeJSON(w, http.StatusGone, p)
	default:
		writeJSON(w, http.StatusServiceUnavailable, p)
	}
}

// hang blocks until the client cancels the request, and then closes its connection without an answer.
func hang(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}
