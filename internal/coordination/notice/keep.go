package notice

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"sort"
)

// loadLimit bounds a decoded load, in bytes.
const loadLimit = 64 << 20

type seriesJSON struct {
	Key
	Series *series
}

// Encode renders what was learned, for a snapshot.
func (l *Load) Encode() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []seriesJSON
	for k, s := range l.series {
		all = append(all, seriesJSON{Key: k, Series: s})
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Profile != all[j].Profile {
			return all[i].Profile < all[j].Profile
		}
		return all[i].Domain < all[j].Domain
	})
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := json.NewEncoder(z).Encode(all); err != nil {
		return nil, fmt.Errorf("encode load: %w", err)
	}
	if err := z.Close(); err != nil {
		return nil, fmt.Errorf("compress load: %w", err)
	}
	return b.Bytes(), nil
}

// Decode takes in what another host has learned, where that reaches further than what this host knows.
func (l *Load) Decode(b []byte) error {
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("decompress load: %w", err)
	}
	var all []seriesJSON
	if err := json.NewDecoder(&io.LimitedReader{R: z, N: loadLimit}).Decode(&all); err != nil {
		return fmt.Errorf("decode load: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, x := range all {
		if x.Series == nil || x.Series.Hour < 0 || x.Series.Organisations == nil {
			continue
		}
		s, ok := l.series[x.Key]
		if ok && s.samples() >= x.Series.samples() || !ok && len(l.series) >= seriesLimit {
			continue
		}
		l.series[x.Key] = x.Series
	}
	return nil
}

func (s *series) samples() int {
	n := 0
	for _, d := range s.Day {
		n += d.Count
	}
	return n
}
