package stream

import "github.com/auburncleat/auburncleat/internal/coordination/port"

// dedupWindowSize is the number of record ids that are remembered for deduplication.
const dedupWindowSize = 16384

// history keeps the newest raw records in offset order, limited by number and bytes.
type history struct {
	records  []port.Record
	bytes    int
	maxCount int
	maxBytes int
}

func newHistory(records, bytes int) *history {
	return &history{maxCount: records, maxBytes: bytes}
}

func (h *history) add(r port.Record) {
	h.records = append(h.records, r)
	h.bytes += len(r.Data)
	drop := 0
	for len(h.records)-drop > 1 && (len(h.records)-drop > h.maxCount || h.bytes > h.maxBytes) {
		h.bytes -= len(h.records[drop].Data)
		h.records[drop].Data = nil
		drop++
	}
	h.records = h.records[drop:]
}

// reset drops all records. It is called when the offset moves past records that were not read.
func (h *history) reset() {
	h.records = nil
	h.bytes = 0
}

// first returns the oldest offset kept, or next when the history is empty.
func (h *history) first(next uint64) uint64 {
	if len(h.records) == 0 {
		return next
	}
	return h.records[0].Offset
}

// last returns the newest record.
func (h *history) last() (port.Record, bool) {
	if len(h.records) == 0 {
		return port.Record{}, false
	}
	return h.records[len(h.records)-1], true
}

// from returns up to limit records starting at offset; it stops after the record that exceeds maxBytes.
func (h *history) from(offset uint64, limit, maxBytes int) []port.Record {
	var rs []port.Record
	size := 0
	for _, r := range h.records {
		if r.Offset < offset {
			continue
		}
		if len(rs) >= limit || size > maxBytes {
			break
		}
		rs = append(rs, r)
		size += len(r.Data)
	}
	return rs
}

// dedupWindow maps the newest dedupWindowSize record ids to their offsets.
type dedupWindow struct {
	offsets map[string]uint64
	order   []string
	next    int
}

func newDedupWindow() *dedupWindow {
	return &dedupWindow{offsets: make(map[string]uint64)}
}

func (w *dedupWindow) find(id string) (uint64, bool) {
	o, ok := w.offsets[id]
	return o, ok
}

func (w *dedupWindow) add(id string, offset uint64) {
	if _, ok := w.offsets[id]; ok {
		return
	}
	w.offsets[id] = offset
	if len(w.order) < dedupWindowSize {
		w.order = append(w.order, id)
		return
	}
	delete(w.offsets, w.order[w.next])
	w.order[w.next] = id
	w.next = (w.next + 1) % dedupWindowSize
}

// newest returns up to n ids, oldest first.
func (w *dedupWindow) newest(n int) []string {
	n = min(n, len(w.order))
	ids := make([]string, 0, n)
	for i := len(w.order) - n; i < len(w.order); i++ {
		ids = append(ids, w.order[(w.next+i)%len(w.order)])
	}
	return ids
}
