package intake

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/feed"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/auburncleat/auburncleat/internal/state/queue"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

const (
	testID       = "00000000000000aa"
	testTimeout  = 3 * time.Second
	readInterval = 50 * time.Millisecond
)

var (
	testJobs   = port.Topic{Name: "jobs", IsKeyed: true}
	testCaller = Caller{Queue: &queue.Queue{Name: "quiet"}, Organisation: "Gear", Version: 1}
)

// entry is the intake of one host.
type entry struct {
	intake *Intake
	table  *jobs.Table
}

// inHosts runs f in a synctest bubble with the intakes of the hosts a and b.
func inHosts(t *testing.T, f func(t *testing.T, s *standin.Store, a, b entry)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore(clock.System(), 2*time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		a, b := start(ctx, &wg, s, "a"), start(ctx, &wg, s, "b")
		time.Sleep(time.Second)
		f(t, s, a, b)
	})
}

func start(ctx context.Context, wg *sync.WaitGroup, s *standin.Store, name string) entry {
	c, l, table := clock.System(), slog.New(slog.DiscardHandler), jobs.NewTable()
	apply := func(e port.Entry) { _ = table.Apply(e.Offset, jobs.Record{Key: e.Key, Value: e.Value}) }
	reload := func(es []port.Entry, before int64) {
		var rs []jobs.StoredRecord
		for _, e := range es {
			rs = append(rs, jobs.StoredRecord{Record: jobs.Record{Key: e.Key, Value: e.Value}, Offset: e.Offset})
		}
		_ = table.Reload(rs, before)
	}
	f := feed.NewFollower(s.View(name), testJobs, feed.Handler{Reload: reload, Apply: apply}, c, l, feed.WithReadInterval(readInterval))
	w := feed.NewWriter(s.View(name), testJobs, name, 1, c, l)
	wg.Go(func() { _ = f.Run(ctx) })
	wg.Go(func() { _ = w.Run(ctx) })
	i := New(table, f, w, f.Fresh, Limits{MaxConfigAge: time.Minute}, c, l, tally.NoopScope)
	return entry{i, table}
}

func (e entry) submit(ctx context.Context) error {
	return e.intake.Submit(ctx, testCaller, &jobs.Job{ID: testID, Steps: []jobs.Step{{Tasks: 1}}}, testTimeout)
}

func (e entry) has() bool {
	isKnown := false
	e.table.View(testID, func(j *jobs.Job) { isKnown = j != nil && j.IsOpen() })
	return isKnown
}

// TestAcceptedJobIsKnownToAllHosts guards against jobs that were accepted, or answered as known, and that the owner does not
// have: in each way in which the store serves the append, an accepted job is in the table of its host with the answer and in
// those of the others with their next read, also if the log has expired by then.
func TestAcceptedJobIsKnownToAllHosts(t *testing.T) {
	cases := map[string]func(s *standin.Store){
		"served":                       func(*standin.Store) {},
		"slow":                         func(s *standin.Store) { s.SetDelay(700 * time.Millisecond) },
		"answer is lost":               func(s *standin.Store) { s.SetLossy("a", true, 0) },
		"executed late without answer": func(s *standin.Store) { s.SetLossy("a", true, 300*time.Millisecond) },
		"hangs at first":               func(s *standin.Store) { s.SetUnresponsive("a", true) },
		"refused at first":             func(s *standin.Store) { s.SetRejected("a", true) },
	}
	for name, fault := range cases {
		for _, isExpired := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, log expires %v", name, isExpired), func(t *testing.T) {
				inHosts(t, func(t *testing.T, s *standin.Store, a, b entry) {
					fault(s)
					time.AfterFunc(650*time.Millisecond, func() {
						s.SetLossy("a", false, 0)
						s.SetUnresponsive("a", false)
						s.SetRejected("a", false)
					})
					require.NoError(t, a.submit(t.Context()))
					require.True(t, a.has())
					require.NoError(t, a.submit(t.Context()), "a repeat is known")
					s.SetDelay(2 * time.Millisecond)
					if isExpired {
						s.Expire(testJobs)
					}
					time.Sleep(time.Second)
					require.True(t, b.has())
					require.NoError(t, b.submit(t.Context()))
					require.Equal(t, []string{"j/" + testID}, s.Keys(testJobs))
				})
			})
		}
	}
}

// TestUnansweredJobIsKnownOnceStored guards against a job that is stored after its caller was told that the outcome is unknown, and
// that no host then knows.
func TestUnansweredJobIsKnownOnceStored(t *testing.T) {
	inHosts(t, func(t *testing.T, s *standin.Store, a, b entry) {
		s.SetLossy("a", true, 5*time.Second)
		require.ErrorIs(t, a.submit(t.Context()), ErrOutcomeUnknown)
		require.False(t, a.has())
		time.Sleep(5 * time.Second)
		require.True(t, a.has())
		require.True(t, b.has())
		require.NoError(t, b.submit(t.Context()))
		s.SetLossy("a", false, 0)
		time.Sleep(6 * time.Second)
		require.True(t, a.has())
	})
}

// TestRefusedJobIsNeverStored guards against a job that was refused and runs all the same.
func TestRefusedJobIsNeverStored(t *testing.T) {
	inHosts(t, func(t *testing.T, s *standin.Store, a, b entry) {
		s.SetRejected("a", true)
		var busy ErrBusy
		require.ErrorAs(t, a.submit(t.Context()), &busy)
		s.SetRejected("a", false)
		time.Sleep(5 * time.Second)
		require.False(t, a.has() || b.has())
		require.Empty(t, s.Keys(testJobs))
	})
}
