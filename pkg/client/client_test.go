package client_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/pkg/client"
	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

var (
	one     = netip.MustParseAddrPort("127.0.0.1:1")
	two     = netip.MustParseAddrPort("127.0.0.2:1")
	testJob = client.Job{Organisation: "o", Profile: "p", Shape: client.Shape{Tasks: 1}}
)

// script is an entry host that serves each request with the next step and repeats the last one.
type script struct {
	mu    sync.Mutex
	steps []http.HandlerFunc
	seen  []string
}

func (s *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.seen = append(s.seen, r.Header.Get("Request-Id"))
	f := s.steps[0]
	if len(s.steps) > 1 {
		s.steps = s.steps[1:]
	}
	s.mu.Unlock()
	f(w, r)
}

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

func dropConnection(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

func respondAnswer(body string, length int, digest uint64) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(length))
		w.Header().Set("Answer-Digest", strconv.FormatUint(digest, 16))
		_, _ = w.Write([]byte(body))
	}
}

func withHandlers(hs map[netip.AddrPort]http.Handler) client.Option {
	pipes := standin.PipeDialer(hs)
	return client.WithDial(func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := pipes(ctx, network, addr)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Err: err}
		}
		return c, nil
	})
}

func doneReply(body string) string {
	d := strconv.FormatUint(xxhash.Sum64String(body), 10)
	return `{"Job":"j","Outcome":{"Kind":"Done","AnswerBytes":` + strconv.Itoa(len(body)) + `,"AnswerDigest":` + d + `}}`
}

func TestAnswerIsCompleteOrRejected(t *testing.T) {
	const want = "the whole answer"
	digest := xxhash.Sum64String(want)
	late := respondAnswer("an older answer", 15, xxhash.Sum64String("an older answer"))
	cut := respondAnswer(want[:7], len(want), digest)
	short := respondAnswer(want[:7], 7, digest)
	right := respondAnswer(want, len(want), digest)
	tests := []struct {
		name  string
		steps []http.HandlerFunc
		fails bool
	}{
		{"complete at once", []http.HandlerFunc{right}, false},
		{"answer of an earlier attempt first", []http.HandlerFunc{late, right}, false},
		{"connection closed early first", []http.HandlerFunc{cut, right}, false},
		{"truncated body with the right digest first", []http.HandlerFunc{short, right}, false},
		{"never complete", []http.HandlerFunc{late}, true},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &script{steps: append([]http.HandlerFunc{respond(200, doneReply(want))}, x.steps...)}
				s.steps = append(s.steps, x.steps[len(x.steps)-1])
				c := client.New([]netip.AddrPort{one}, withHandlers(map[netip.AddrPort]http.Handler{one: s}))
				defer c.Close()
				r, err := c.Run(t.Context(), testJob)
				if x.fails {
					var e *client.ErrAnswerMismatch
					require.ErrorAs(t, err, &e)
					require.Nil(t, r.Answer)
					return
				}
				require.NoError(t, err)
				require.Equal(t, want, string(r.Answer))
			})
		})
	}
}

func TestRefusedOnlyWhenNothingCanHaveRun(t *testing.T) {
	refused := respond(422, `{"Outcome":{"Kind":"Refused","Reason":"no"}}`)
	busy := respond(503, `{"Outcome":{"Kind":"Refused","Reason":"no owner","RetryAfterMillis":1000}}`)
	maybe := respond(504, `{"Outcome":{"Kind":"Unknown","Reason":"no reply"}}`)
	accepted := respond(202, `{"Job":"north.r1","Status":{"State":"Queued"}}`)
	tests := []struct {
		name  string
		steps []http.HandlerFunc
		want  string
	}{
		{"nothing listens", nil, client.Refused},
		{"refused at once", []http.HandlerFunc{refused}, client.Refused},
		{"hosts without an owner until the deadline", []http.HandlerFunc{busy}, client.Refused},
		{"refused after an attempt without answer", []http.HandlerFunc{dropConnection, refused}, client.Unknown},
		{"refused after an attempt of unknown effect", []http.HandlerFunc{maybe, busy, refused}, client.Unknown},
		{"no answer until the deadline", []http.HandlerFunc{dropConnection}, client.Unknown},
		{"accepted after an attempt without answer", []http.HandlerFunc{dropConnection, busy, accepted}, client.Done},
		{"a body that cannot be parsed", []http.HandlerFunc{respond(409, "<html>")}, client.Unknown},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				hs := map[netip.AddrPort]http.Handler{}
				if x.steps != nil {
					s := &script{steps: x.steps}
					hs[one], hs[two] = s, s
				}
				c := client.New([]netip.AddrPort{one, two}, withHandlers(hs), client.WithTimeout(20*time.Second))
				defer c.Close()
				p, err := c.Submit(t.Context(), testJob)
				require.Equal(t, x.want == client.Refused, client.IsRefused(err), "%v", err)
				require.Equal(t, x.want == client.Unknown, client.IsUnknown(err), "%v", err)
				if x.want == client.Done {
					require.NoError(t, err)
					require.Equal(t, "north.r1", p.Job)
				}
			})
		})
	}
}

func TestRetryKeepsRequestID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{steps: []http.HandlerFunc{dropConnection, dropConnection, respond(202, `{"Job":"j"}`)}}
		c := client.New([]netip.AddrPort{one, two}, withHandlers(map[netip.AddrPort]http.Handler{two: s}))
		defer c.Close()
		_, err := c.Submit(t.Context(), testJob)
		require.NoError(t, err)
		require.Len(t, s.seen, 3)
		require.NotEmpty(t, s.seen[0])
		require.Equal(t, s.seen[0], s.seen[1])
		require.Equal(t, s.seen[0], s.seen[2])
	})
}

func TestRetriesStayInBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{steps: []http.HandlerFunc{respond(503, `{"Outcome":{"Kind":"Refused"}}`)}}
		c := client.New([]netip.AddrPort{one}, withHandlers(map[netip.AddrPort]http.Handler{one: s}), client.WithTimeout(20*time.Second))
		defer c.Close()
		const (
			calls    = 200
			burst    = 20
			interval = 100 * time.Millisecond
		)
		var g sync.WaitGroup
		for range calls {
			g.Go(func() { _, _ = c.Submit(t.Context(), testJob) })
		}
		g.Wait()
		allowed := calls + burst + int(20*time.Second/interval)
		require.LessOrEqual(t, len(s.seen), allowed, "retries exceed the budget")
		require.Greater(t, len(s.seen), calls+burst)
	})
}

func TestWaitEndsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{steps: []http.HandlerFunc{respond(202, `{"Job":"j"}`), respond(200, `{"Job":"j","Status":{"State":"Queued"}}`)}}
		c := client.New([]netip.AddrPort{one}, withHandlers(map[netip.AddrPort]http.Handler{one: s}))
		defer c.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		start := time.Now()
		_, err := c.Run(ctx, testJob)
		require.True(t, client.IsUnknown(err))
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, 3*time.Second, time.Since(start))
	})
}

// TestWaitNoticesUnresponsiveHost guards against a Wait that hangs on a host which accepts the first poll and never
// replies.
func TestWaitNoticesUnresponsiveHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
		right := respondAnswer("x", 1, xxhash.Sum64String("x"))
		s := &script{steps: []http.HandlerFunc{respond(202, `{"Job":"j"}`), hang, respond(200, doneReply("x")), right}}
		c := client.New([]netip.AddrPort{one}, withHandlers(map[netip.AddrPort]http.Handler{one: s}))
		defer c.Close()
		start := time.Now()
		r, err := c.Run(t.Context(), testJob)
		require.NoError(t, err)
		require.Equal(t, "x", string(r.Answer))
		require.Equal(t, 2*time.Second, time.Since(start))
	})
}

func TestJobDeadlineIsBeforeCallerDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var q struct{ DeadlineMillis int64 }
		read := func(w http.ResponseWriter, r *http.Request) {
			_ = json.NewDecoder(r.Body).Decode(&q)
			respond(202, `{"Job":"j"}`)(w, r)
		}
		// The host refuses the job 50 ms after the deadline in the request.
		late := func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Duration(q.DeadlineMillis)*time.Millisecond + 50*time.Millisecond)
			respond(200, `{"Job":"j","Outcome":{"Kind":"Refused","Reason":"deadline passed before a start"}}`)(w, r)
		}
		s := &script{steps: []http.HandlerFunc{read, late}}
		c := client.New([]netip.AddrPort{one}, withHandlers(map[netip.AddrPort]http.Handler{one: s}), client.WithTimeout(900*time.Millisecond))
		defer c.Close()
		_, err := c.Run(t.Context(), testJob)
		require.True(t, client.IsRefused(err), "%v", err)
	})
}

func TestAnswerOfKeyedJobIsKept(t *testing.T) {
	for _, key := range []string{"", "k"} {
		synctest.Test(t, func(t *testing.T) {
			right := respondAnswer("x", 1, xxhash.Sum64String("x"))
			s := &script{steps: []http.HandlerFunc{respond(200, doneReply("x")), right, respond(200, `{}`)}}
			c := client.New([]netip.AddrPort{one}, withHandlers(map[netip.AddrPort]http.Handler{one: s}))
			defer c.Close()
			j := testJob
			j.Key = key
			_, err := c.Run(t.Context(), j)
			require.NoError(t, err)
			require.Equal(t, key == "", len(s.seen) == 3)
		})
	}
}
