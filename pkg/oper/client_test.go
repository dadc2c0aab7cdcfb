package oper

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/stretchr/testify/require"
)

// serveReplies serves one reply after another, repeats the last one, and counts the requests.
func serveReplies(t *testing.T, rs ...string) (netip.AddrPort, *int) {
	n := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, "Bearer the-key-of-ann-1234", r.Header.Get("Authorization"))
		x := rs[min(n, len(rs)-1)]
		n++
		code, body, _ := strings.Cut(x, " ")
		w.WriteHeader(map[string]int{"200": 200, "409": 409, "422": 422, "503": 503, "504": 504}[code])
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")), &n
}

func newClient(t *testing.T, hosts ...netip.AddrPort) *Client {
	path := filepath.Join(t.TempDir(), "key")
	require.NoError(t, os.WriteFile(path, []byte("# mine\nann the-key-of-ann-1234\n"), 0o600))
	k := clock.System()
	k.After = func(time.Duration) <-chan time.Time { return time.After(time.Millisecond) }
	c := New(hosts, WithKeyFile(path))
	c.clock = k
	t.Cleanup(c.Close)
	return c
}

const (
	accepted = `200 {"ID":"1","Offset":7}`
	unknown  = `504 {"Code":"Unknown"}`
	logDown  = `503 {"Code":"LogDown"}`
	tooSoon  = `409 {"Code":"TooSoon"}`
	conflict = `409 {"Code":"VersionConflict"}`
)

func TestCreateChange(t *testing.T) {
	for _, tt := range []struct {
		name  string
		rs    []string
		calls int
		want  string
	}{
		{"accepted", []string{accepted}, 1, ""},
		{"a lost reply is resolved by a retry", []string{unknown, unknown, accepted}, 3, ""},
		{"log down at the first attempt has no effect", []string{logDown}, 1, "LogDown"},
		{"log down after a lost reply does not settle the outcome", []string{unknown, logDown, accepted}, 3, ""},
		{"a refusal after a lost reply does not settle the outcome", []string{unknown, tooSoon, accepted}, 3, ""},
		{"too soon", []string{tooSoon}, 1, "TooSoon"},
		{"a verdict of the log settles the outcome", []string{unknown, conflict}, 2, "VersionConflict"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h, n := serveReplies(t, tt.rs...)
			v, err := newClient(t, h).CreateChange(t.Context(), Change{ID: "1"})
			require.Equal(t, tt.calls, *n)
			if tt.want != "" {
				require.ErrorContains(t, err, tt.want)
				require.False(t, IsUnknown(err))
				return
			}
			require.NoError(t, err)
			require.Equal(t, uint64(7), v.Offset)
		})
	}
}

func TestCreateChangeUnknown(t *testing.T) {
	h, _ := serveReplies(t, unknown)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := newClient(t, h).CreateChange(ctx, Change{ID: "x1"})
	require.True(t, IsUnknown(err))
	require.ErrorContains(t, err, "--id x1")
}

func TestCreateChangeNextHost(t *testing.T) {
	h, _ := serveReplies(t, accepted)
	s := httptest.NewServer(http.NotFoundHandler())
	dead := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	s.Close()
	_, err := newClient(t, dead, h).CreateChange(t.Context(), Change{ID: "1"})
	require.NoError(t, err)
	_, err = newClient(t, dead).CreateChange(t.Context(), Change{ID: "1"})
	require.Error(t, err)
	require.False(t, IsUnknown(err), "nothing was sent")
	_, err = New([]netip.AddrPort{h}).CreateChange(t.Context(), Change{ID: "1"})
	require.ErrorIs(t, err, ErrNoKeyFile)
}
