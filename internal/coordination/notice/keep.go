package notice

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"sort"

	"github.com/pkg/errors"
)

const (
	// loadLimit bounds a decoded load, in bytes.
	loadLimit = 64 << 20
	// sampleLimit bounds the numbers of a decoded sample.
	sampleLimit = 1e12
)

var errSample = errors.New("number is out of range")

type seriesJSON struct {
	Key
	Series *series
}

// MarshalJSON renders count, mean and deviation as a list, with three digits, since every hour has one.
func (s sample) MarshalJSON() ([]byte, error) {
	return fmt.Appendf(nil, "[%d,%.3g,%.3g]", s.Count, s.Mean, s.Deviation), nil
}

// UnmarshalJSON parses what MarshalJSON renders.
func (s *sample) UnmarshalJSON(b []byte) error {
	var v [3]float64
	if err := json.Unmarshal(b, &v); err != nil {
		return fmt.Errorf("read sample: %w", err)
	}
	if min(v[0], v[1], v[2]) < 0 || max(v[0], v[1], v[2]) > sampleLimit {
		return fmt.Errorf("sample %v: %w", v, errSample)
	}
	*s = sample{Count: int(v[0]), Mean: v[1], Deviation: v[2]}
	return nil
}

// Encode renders what was learned in at most limit bytes, leaving out the profiles that offer least; 0 is no limit.
func (l *Load) Encode(limit int) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []seriesJSON
	for k, s := range l.series {
		all = append(all, seriesJSON{Key: k, Series: s})
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i].Series.offered(), all[j].Series.offered()
		if a != b {
			return a > b
		}
		if all[i].Profile != all[j].Profile {
			return all[i].Profile < all[j].Profile
		}
		return all[i].Domain < all[j].Domain
	})
	for {
		b, err := encode(all)
		if err != nil || limit == 0 || len(b) <= limit || len(all) == 0 {
			return b, err
		}
		all = all[:len(all)*limit/(len(b)+1)]
	}
}

// offered returns the accelerator hours of a usual day.
func (s *series) offered() float64 {
	sum := 0.0
	for _, d := range s.Day {
		sum += d.Mean
	}
	return sum
}

func encode(all []seriesJSON) ([]byte, error) {
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
