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

// setLogReachable restores or cuts the links of all hosts to the log.
func (c *cluster) setLogReachable(up bool) {
	for name := range c.hosts {
		c.net.setCut(name, platformName, !up)
	}
}

// restartDomain kills the hosts of a failure domain, ends the outage of the log, and starts the hosts again.
func (c *cluster) restartDomain(domain string, hosts int) {
	for n := range hosts {
		c.kill(fmt.Sprintf("%s-%d", domain, n+1))
	}
	c.setLogReachable(true)
	for n := range hosts {
		c.start(fmt.Sprintf("%s-%d", domain, n+1), domain, n+1)
	}
	c.awaitReady()
}

// clearClaims asks a host to declare the claims of a failure domain complete, and returns the status and the body of
// the response.
func (c *cluster) clearClaims(name, key, id, domain string) (int, string) {
	body := fmt.Sprintf(`{"ID":%q,"Domain":%q,"Reason":"compared with the register"}`, id, domain)
	url := "http://" + listenAddr(c.hosts[name].index, 2).String() + "/v1/keys/clear"
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, strings.NewReader(body))
	require.NoError(c.t, err)
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	return c.sendRequest(r)
}

func (c *cluster) sendRequest(r *http.Request) (int, string) {
	p, err := c.http.Do(r)
	require.NoError(c.t, err)
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	require.NoError(c.t, err)
	return p.StatusCode, string(b)
}

func (c *cluster) getKeys(name string) status.KeysView {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet,
		"http://"+listenAddr(c.hosts[name].index, 3).String()+"/v1/keys", nil)
	require.NoError(c.t, err)
	_, body := c.sendRequest(r)
	var v status.KeysView
	require.NoError(c.t, json.Unmarshal([]byte(body), &v))
	return v
}

// requireUnknownOutcome checks that a request is answered with Unknown and starts nothing.
func (c *cluster) requireUnknownOutcome(name string, q entry.JobRequest) {
	c.t.Helper()
	before := c.totalStarts()
	code, v := c.submit(name, q)
	require.Equal(c.t, http.StatusOK, code, "%v", v.Outcome)
	require.Equal(c.t, string(fleet.Unknown), v.Outcome.GetKind())
	require.Contains(c.t, v.Outcome.GetReason(), "claims may be missing")
	time.Sleep(10 * time.Second)
	require.Equal(c.t, before, c.totalStarts())
}

func (c *cluster) totalStarts() int {
	n := 0
	for _, w := range c.workers {
		n += len(w.Starts())
	}
	return n
}

func TestOperatorClearsMissingClaims(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	require.NoError(t, os.WriteFile(path, []byte("ann "+operatorKey+"\n"), 0o600))
	runInCluster(t, func(c *cluster) {
		c.keyFile = path
		c.kill("west-1")
		c.start("west-1", "west", 21)
		c.awaitReady()
		old := registration(keyWithHome("east", 20))
		_, ran := c.submit("west-2", old)
		first := c.awaitOutcome("west-2", ran.Job, 10*time.Second)
		time.Sleep(10 * time.Second)
		code, body := c.clearClaims("west-1", operatorKey, "early", "east")
		require.Equal(t, http.StatusConflict, code, body)
		require.Contains(t, body, "NothingMissing")

		c.setLogReachable(false)
		time.Sleep(20 * time.Second)
		lost := registration(keyWithHome("east", 21))
		code, v := c.submit("east-2", lost)
		require.Equal(t, http.StatusAccepted, code, "%v", v.Outcome)
		require.Equal(t, string(fleet.Done), c.awaitOutcome("east-2", v.Job, 20*time.Second).GetKind())
		c.restartDomain("east", 3)

		c.requireUnknownOutcome("west-2", lost)
		fresh := registration(keyWithHome("east", 22))
		c.requireUnknownOutcome("east-1", fresh)
		for n := range 3 {
			k := c.getKeys(fmt.Sprintf("east-%d", n+1))
			require.False(t, k.Complete)
			require.False(t, k.Since.IsZero())
			require.NotEmpty(t, k.Why)
		}
		require.True(t, c.getKeys("west-2").Complete)
		c.requireRepeatedAnswer(old, first)

		code, body = c.clearClaims("west-1", "", "c1", "east")
		require.Equal(t, http.StatusUnauthorized, code, body)
		code, body = c.clearClaims("west-1", operatorKey, "c1", "south")
		require.Equal(t, http.StatusNotFound, code, body)
		code, body = c.clearClaims("west-1", operatorKey, "early", "east")
		require.Equal(t, http.StatusConflict, code, "a refused decision stays refused under its id: %s", body)
		c.requireUnknownOutcome("west-2", fresh)
		for range 2 {
			code, body = c.clearClaims("west-1", operatorKey, "c1", "east")
			require.Equal(t, http.StatusOK, code, body)
			require.Contains(t, body, `"Operator":"ann"`)
		}

		time.Sleep(time.Second)
		require.True(t, c.getKeys("east-1").Complete)
		code, v = c.submit("west-2", fresh)
		require.Equal(t, http.StatusAccepted, code, "%v", v.Outcome)
		done := c.awaitOutcome("west-2", v.Job, 10*time.Second)
		require.Equal(t, string(fleet.Done), done.GetKind(), done.GetReason())
		c.requireStartedOnce(v.Job, 2)
		c.requireRepeatedAnswer(fresh, done)
		c.requireRepeatedAnswer(old, first)
	})
}

// requireRepeatedAnswer checks that a repeated key returns its first outcome and starts nothing.
func (c *cluster) requireRepeatedAnswer(q entry.JobRequest, first *wire.Outcome) {
	c.t.Helper()
	before := c.totalStarts()
	code, v := c.submit("north-1", q)
	require.Equal(c.t, http.StatusOK, code, "%v", v.Outcome)
	require.Equal(c.t, first.GetJob(), v.Job)
	require.Equal(c.t, first.GetAnswerDigest(), v.Outcome.GetAnswerDigest())
	time.Sleep(time.Second)
	require.Equal(c.t, before, c.totalStarts())
}
