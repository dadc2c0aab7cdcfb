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
	// gapLimit bounds the hours without work that are learned at once.
	gapLimit = 4 * hoursOfWeek
	// seriesLimit bounds the pairs of profile and failure domain.
	seriesLimit = 4096
	// organisationLimit bounds the organisations that are remembered per pair.
	organisationLimit = 256
	// learnRate is the weight of the newest sample.
	learnRate = 0.3
	// A sample that is far above what was seen outlierSamples times counts as outlierSpread deviations, each of them at
	// least outlierFloor of the mean, so that a single burst is not expected again.
	outlierSamples = 3
	outlierSpread  = 3.0
	outlierFloor   = 0.05
	// leastSamples is how often an hour of the week must have come before it predicts.
	leastSamples = 2
)

// Key names the work of one profile in one failure domain.
type Key struct {
	Profile string
	Domain  string
}

// sample is the running mean of one hour and its mean deviation, in accelerator hours.
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
	r := max(learnRate, 1/float64(s.Count))
	if s.Count > 1 {
		s.Deviation += r * (math.Abs(x-s.Mean) - s.Deviation)
	}
	s.Mean += r * (x - s.Mean)
}

// series is what was learned of one key.
type series struct {
	Day  [hoursOfDay]sample
	Week [hoursOfWeek]sample
	// DayError and WeekError are the mean errors of the two ways to predict.
	DayError  float64
	WeekError float64
	// Hour is the current hour since 1970 and Sum the accelerator hours offered in it.
	Hour int64
	Sum  float64
	// Organisations are those that have used the profile, and when they last did, in hours since 1970.
	Organisations map[string]int64
}

// Load learns how much work each profile offers by hour of the day and of the week; it is safe for concurrent use.
type Load struct {
	mu     sync.Mutex
	series map[Key]*series
}

// NewLoad returns a load that has seen no work.
func NewLoad() *Load {
	return &Load{series: map[Key]*series{}}
}

func hourOf(t time.Time) int64 {
	return t.Unix() / int64(time.Hour/time.Second)
}

// Add notes work of an organisation that was offered at a time, in accelerator hours.
func (l *Load) Add(k Key, org string, at time.Time, work float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.series[k]
	if !ok {
		if len(l.series) >= seriesLimit {
			return
		}
		s = &series{Hour: hourOf(at), Organisations: map[string]int64{}}
		l.series[k] = s
	}
	s.advance(hourOf(at))
	s.Sum = min(s.Sum+max(0, work), sampleLimit)
	if _, ok := s.Organisations[org]; ok || len(s.Organisations) < organisationLimit {
		s.Organisations[org] = s.Hour
	}
}

// advance learns from all hours that have passed.
func (s *series) advance(hour int64) {
	s.Hour = max(s.Hour, hour-gapLimit)
	for s.Hour < hour {
		s.learn(s.Sum)
		s.Sum = 0
		s.Hour++
	}
}

func (s *series) learn(x float64) {
	d, w := &s.Day[s.Hour%hoursOfDay], &s.Week[s.Hour%hoursOfWeek]
	if w.Count >= leastSamples {
		s.DayError += learnRate / hoursOfDay * (math.Abs(x-d.Mean) - s.DayError)
		s.WeekError += learnRate / hoursOfDay * (math.Abs(x-w.Mean) - s.WeekError)
	}
	d.add(x)
	w.add(x)
}

// Expect returns the accelerator hours that a key is expected to offer in the hour of t, spread being added to the
// mean as a multiple of its mean deviation.
func (l *Load) Expect(k Key, t time.Time, spread float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.series[k]
	if !ok {
		return 0
	}
	h := hourOf(t)
	best := s.Day[h%hoursOfDay]
	if w := s.Week[h%hoursOfWeek]; w.Count >= leastSamples && s.WeekError < s.DayError {
		best = w
	}
	return max(0, best.Mean+spread*best.Deviation)
}

// FindOrganisations returns the organisations that have used a profile in a failure domain.
func (l *Load) FindOrganisations(k Key) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.series[k]
	if !ok {
		return nil
	}
	return sortedNames(s.Organisations)
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

// FoldJobs learns from accepted jobs, whose run time is corrected before.
func (l *Load) FoldJobs(b *wire.JobBatch, runTime func(org, profile string, declared time.Duration) time.Duration) {
	for _, j := range b.GetAccepted() {
		declared := time.Duration(j.GetRunTimeMillis()) * time.Millisecond
		d := runTime(j.GetOrganisation(), j.GetProfile(), declared)
		work := float64(j.GetShape().GetTasks()) * float64(j.GetShape().GetAccelerators()) * d.Hours()
		at := time.UnixMilli(j.GetSubmittedUnixMillis())
		l.Add(Key{Profile: j.GetProfile(), Domain: b.GetDomain()}, j.GetOrganisation(), at, work)
	}
}
