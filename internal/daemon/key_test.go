package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/transport/entry"
	"github.com/auburncleat/auburncleat/internal/transport/status"
	"github.com/stretchr/testify/require"
)

const operatorKey = "a-key-of-enough-length"

// setLog cuts all hosts from the log, or heals the links.
func (c *cluster) setLog(up bool) {
	for name := range c.hosts {
		c.net.setCut(name, platformName, !up)
	}
}

// restart replaces hosts that are killed at once, after an outage of the log ends for all.
func (c *cluster) restart(domain string, hosts int) {
	for n := range hosts {
		c.kill(fmt.Sprintf("%s-%d", domain, n+1))
	}
	c.setLog(true)
	for n := range hosts {
		c.start(fmt.Sprintf("%s-%d", domain, n+1), domain, n+1)
	}
	c.ready()
}

// clear asks a host to clear the claims of a failure domain and returns the status and the body.
func (c *cluster) clear(name, key, id, domain string) (int, string) {
	body := fmt.Sprintf(`{"ID":%q,"Domain":%q,"Reason":"compared with the register"}`, id, domain)
	url := "http://" + addrOf(c.hosts[name].n, 2).String() + "/v1/keys/clear"
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, strings.NewReader(body))
	require.NoError(c.t, err)
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	return c.do(r)
}

func (c *cluster) do(r *http.Request) (int, string) {
	p, err := c.http.Do(r)
	require.NoError(c.t, err)
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	require.NoError(c.t, err)
	return p.StatusCode, string(b)
}

func (c *cluster) keys(name string) status.KeysView {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet,
		"http://"+addrOf(c.hosts[name].n, 3).String()+"/v1/keys", nil)
	require.NoError(c.t, err)
	_, body := c.do(r)
	var v status.KeysView
	require.NoError(c.t, json.Unmarshal([]byte(body), &v))
	return v
}

// requireUnknown checks that a request is answered Unknown and that nothing was started for it.
func (c *cluster) requireUnknown(name string, q entry.JobRequest) {
	c.t.Helper()
	before := c.allStarts()
	code, v := c.submit(name, q)
	require.Equal(c.t, http.StatusOK, code, "%v", v.Outcome)
	require.Equal(c.t, string(fleet.Unknown), v.Outcome.GetKind())
	require.Contains(c.t, v.Outcome.GetReason(), "claims may be missing")
	time.Sleep(10 * time.Second)
	require.Equal(c.t, before, c.allStarts())
}

func (c *cluster) allStarts() int {
	n := 0
	for _, w := range c.workers {
		n += len(w.Starts())
	}
	return n
}

func TestOperatorClearsMissingClaims(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	require.NoError(t, os.WriteFile(path, []byte("ann "+operatorKey+"\n"), 0o600))
	inCluster(t, func(c *cluster) {
		c.keyFile = path
		c.kill("west-1")
		c.start("west-1", "west", 21)
		c.ready()
		old := registration(keyOf("east", 20))
		_, ran := c.submit("west-2", old)
		first := c.await("west-2", ran.Job, 10*time.Second)
		time.Sleep(10 * time.Second)
		code, body := c.clear("west-1", operatorKey, "early", "east")
		require.Equal(t, http.StatusConflict, code, body)
		require.Contains(t, body, "NothingMissing")

		c.setLog(false)
		time.Sleep(20 * time.Second)
		lost := registration(keyOf("east", 21))
		code, v := c.submit("east-2", lost)
		require.Equal(t, http.StatusAccepted, code, "%v", v.Outcome)
		require.Equal(t, string(fleet.Done), c.await("east-2", v.Job, 20*time.Second).GetKind())
		c.restart("east", 3)

		c.requireUnknown("west-2", lost)
		fresh := registration(keyOf("east", 22))
		c.requireUnknown("east-1", fresh)
		for n := range 3 {
			k := c.keys(fmt.Sprintf("east-%d", n+1))
			require.False(t, k.Complete)
			require.False(t, k.Since.IsZero())
			require.NotEmpty(t, k.Why)
		}
		require.True(t, c.keys("west-2").Complete)
		c.requireRepeat(old, first)

		code, body = c.clear("west-1", "", "c1", "east")
		require.Equal(t, http.StatusUnauthorized, code, body)
		code, body = c.clear("west-1", operatorKey, "c1", "south")
		require.Equal(t, http.StatusNotFound, code, body)
		code, body = c.clear("west-1", operatorKey, "early", "east")
		require.Equal(t, http.StatusConflict, code, "a refused decision stays refused under its id: %s", body)
		c.requireUnknown("west-2", fresh)
		for range 2 {
			code, body = c.clear("west-1", operatorKey, "c1", "east")
			require.Equal(t, http.StatusOK, code, body)
			require.Contains(t, body, `"Operator":"ann"`)
		}

		time.Sleep(time.Second)
		require.True(t, c.keys("east-1").Complete)
		code, v = c.submit("west-2", fresh)
		require.Equal(t, http.StatusAccepted, code, "%v", v.Outcome)
		done := c.await("west-2", v.Job, 10*time.Second)
		require.Equal(t, string(fleet.Done), done.GetKind(), done.GetReason())
		c.requireOnce(v.Job, 2)
		c.requireRepeat(fresh, done)
		c.requireRepeat(old, first)
	})
}

// requireRepeat checks that a key is answered from memory with its first outcome.
func (c *cluster) requireRepeat(q entry.JobRequest, first *wire.Outcome) {
	c.t.Helper()
	before := c.allStarts()
	code, v := c.submit("north-1", q)
	require.Equal(c.t, http.StatusOK, code, "%v", v.Outcome)
	require.Equal(c.t, first.GetJob(), v.Job)
	require.Equal(c.t, first.GetAnswerDigest(), v.Outcome.GetAnswerDigest())
	time.Sleep(time.Second)
	require.Equal(c.t, before, c.allStarts())
}
