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
	// maxLoadBytes limits the decompressed size of an encoded load.
	maxLoadBytes = 64 << 20
	// maxSampleValue limits the numbers of a decoded sample and the work added up in one hour.
	maxSampleValue = 1e12
)

var errSampleRange = errors.New("value is out of range")

// seriesJSON is the encoded form of one series with its key.
type seriesJSON struct {
	Key
	Series *series
}

// MarshalJSON encodes a sample as the array [count, mean, deviation] with three significant digits, to keep the
// encoding small: a series has a sample for every hour.
func (s sample) MarshalJSON() ([]byte, error) {
	return fmt.Appendf(nil, "[%d,%.3g,%.3g]", s.Count, s.Mean, s.Deviation), nil
}

// UnmarshalJSON decodes the array that MarshalJSON produces, and rejects values out of range.
func (s *sample) UnmarshalJSON(b []byte) error {
	var v [3]float64
	if err := json.Unmarshal(b, &v); err != nil {
		return fmt.Errorf("decode sample: %w", err)
	}
	if min(v[0], v[1], v[2]) < 0 || max(v[0], v[1], v[2]) > maxSampleValue {
		return fmt.Errorf("sample %v: %w", v, errSampleRange)
	}
	*s = sample{Count: int(v[0]), Mean: v[1], Deviation: v[2]}
	return nil
}

// Encode returns the learned load as compressed JSON of at most limit bytes, omitting the series with the lowest load
// if necessary; a limit of 0 means no limit.
func (l *Load) Encode(limit int) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []seriesJSON
	for k, s := range l.series {
		all = append(all, seriesJSON{Key: k, Series: s})
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i].Series.dailyLoad(), all[j].Series.dailyLoad()
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

// dailyLoad returns the accelerator hours that the series offers on a typical day.
func (s *series) dailyLoad() float64 {
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

// Decode merges the load that another host has learned: a series replaces the local one if it has more samples.
func (l *Load) Decode(b []byte) error {
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("decompress load: %w", err)
	}
	var all []seriesJSON
	if err := json.NewDecoder(&io.LimitedReader{R: z, N: maxLoadBytes}).Decode(&all); err != nil {
		return fmt.Errorf("decode load: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, x := range all {
		if x.Series == nil || x.Series.Hour < 0 || x.Series.Organisations == nil {
			continue
		}
		s, ok := l.series[x.Key]
		if ok && s.sampleCount() >= x.Series.sampleCount() || !ok && len(l.series) >= maxSeries {
			continue
		}
		l.series[x.Key] = x.Series
	}
	return nil
}

// sampleCount returns the number of hours that the series has learned from.
func (s *series) sampleCount() int {
	n := 0
	for _, d := range s.Day {
		n += d.Count
	}
	return n
}
