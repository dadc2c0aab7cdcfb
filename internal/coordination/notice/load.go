package notice

import (
	"math"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
)

const (
	hoursOfDay  = 24
	hoursOfWeek = 7 * hoursOfDay
	// maxCatchUpHours limits how many hours without work are learned at once after a gap.
	maxCatchUpHours = 4 * hoursOfWeek
	// maxSeries limits the number of pairs of profile and failure domain.
	maxSeries = 4096
	// maxOrganisations limits the number of organisations stored per pair.
	maxOrganisations = 256
	// smoothingFactor is the weight of the newest value in the exponential moving averages.
	smoothingFactor = 0.3
	// Once a sample has outlierSamples values, a new value is capped at outlierSpread deviations above the mean, each
	// of at least outlierFloor of the mean, so that a single burst hardly raises the forecast.
	outlierSamples = 3
	outlierSpread  = 3.0
	outlierFloor   = 0.05
	// minWeekSamples is the number of values from which the sample of an hour of the week is used to forecast.
	minWeekSamples = 2
)

// Key identifies the work of one profile in one failure domain.
type Key struct {
	Profile string
	Domain  string
}

// sample is the moving average of the work in one hour of the day or week and its mean absolute deviation, in
// accelerator hours.
type sample struct {
	Count     int
	Mean      float64
	Deviation float64
}

func (s *sample) add(x float64) {
	if s.Count >= outlierSamples {
		x = min(x, s.Mean+outlierSpread*max(s.Deviation, outlierFloor*s.Mean))
	}
	s.Count++
	r := max(smoothingFactor, 1/float64(s.Count))
	if s.Count > 1 {
		s.Deviation += r * (math.Abs(x-s.Mean) - s.Deviation)
	}
	s.Mean += r * (x - s.Mean)
}

// series is the learned load of one key.
type series struct {
	Day  [hoursOfDay]sample
	Week [hoursOfWeek]sample
	// DayError and WeekError are the mean absolute errors of the daily and the weekly forecast.
	DayError  float64
	WeekError float64
	// Hour is the current hour, in hours since 1970, and Sum the accelerator hours offered in it so far.
	Hour int64
	Sum  float64
	// Organisations maps the organisations that have used the profile to the hour of their last use, in hours since
	// 1970.
	Organisations map[string]int64
}

// Load learns how much work each profile offers per hour of the day and of the week. It is safe for concurrent use.
type Load struct {
	mu     sync.Mutex
	series map[Key]*series
}

// NewLoad returns an empty Load.
func NewLoad() *Load {
	return &Load{series: map[Key]*series{}}
}

func hourOf(t time.Time) int64 {
	return t.Unix() / int64(time.Hour/time.Second)
}

// Add records work that an organisation offered at a time, in accelerator hours. Work of a new key is ignored once
// there are maxSeries.
func (l *Load) Add(k Key, org string, at time.Time, work float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.series[k]
	if !ok {
		if len(l.series) >= maxSeries {
			return
		}
		s = &series{Hour: hourOf(at), Organisations: map[string]int64{}}
		l.series[k] = s
	}
	s.advance(hourOf(at))
	s.Sum = min(s.Sum+max(0, work), maxSampleValue)
	if _, ok := s.Organisations[org]; ok || len(s.Organisations) < maxOrganisations {
		s.Organisations[org] = s.Hour
	}
}

// advance learns from all hours completed before hour, and makes hour the current one.
func (s *series) advance(hour int64) {
	s.Hour = max(s.Hour, hour-maxCatchUpHours)
	for s.Hour < hour {
		s.learn(s.Sum)
		s.Sum = 0
		s.Hour++
	}
}

func (s *series) learn(x float64) {
	d, w := &s.Day[s.Hour%hoursOfDay], &s.Week[s.Hour%hoursOfWeek]
	if w.Count >= minWeekSamples {
		s.DayError += smoothingFactor / hoursOfDay * (math.Abs(x-d.Mean) - s.DayError)
		s.WeekError += smoothingFactor / hoursOfDay * (math.Abs(x-w.Mean) - s.WeekError)
	}
	d.add(x)
	w.add(x)
}

// Expect returns the accelerator hours that a key is expected to offer in the hour of t: the mean plus spread times the
// mean deviation. It uses the weekly pattern where that has had the smaller error, otherwise the daily one.
func (l *Load) Expect(k Key, t time.Time, spread float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.series[k]
	if !ok {
		return 0
	}
	h := hourOf(t)
	forecast := s.Day[h%hoursOfDay]
	if w := s.Week[h%hoursOfWeek]; w.Count >= minWeekSamples && s.WeekError < s.DayError {
		forecast = w
	}
	return max(0, forecast.Mean+spread*forecast.Deviation)
}

// FindOrganisations returns the organisations that have used a profile in a failure domain.
func (l *Load) FindOrganisations(k Key) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.series[k]
	if !ok {
		return nil
	}
	return sortedKeys(s.Organisations)
}

// HasProfile reports whether a profile has been used in any failure domain.
func (l *Load) HasProfile(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k := range l.series {
		if k.Profile == name {
			return true
		}
	}
	return false
}

// FoldJobs learns from accepted jobs; runTime corrects their declared run times.
func (l *Load) FoldJobs(b *wire.JobBatch, runTime func(org, profile string, declared time.Duration) time.Duration) {
	for _, j := range b.GetAccepted() {
		declared := time.Duration(j.GetRunTimeMillis()) * time.Millisecond
		d := runTime(j.GetOrganisation(), j.GetProfile(), declared)
		work := float64(j.GetShape().GetTasks()) * float64(j.GetShape().GetAccelerators()) * d.Hours()
		at := time.UnixMilli(j.GetSubmittedUnixMillis())
		l.Add(Key{Profile: j.GetProfile(), Domain: b.GetDomain()}, j.GetOrganisation(), at, work)
	}
}
