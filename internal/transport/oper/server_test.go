package oper

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/notice"
	"github.com/auburncleat/auburncleat/internal/coordination/policy"
	"github.com/auburncleat/auburncleat/internal/coordination/stream"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

const testKey = "a-key-of-enough-length"

func writeKeys(t *testing.T, path, text string, mode os.FileMode, mod time.Time) {
	require.NoError(t, os.WriteFile(path, []byte(text), mode))
	require.NoError(t, os.Chmod(path, mode))
	require.NoError(t, os.Chtimes(path, mod, mod))
}

func newServer(t *testing.T) (*Server, *error) {
	var fault error
	var p *policy.Policy
	offset := uint64(0)
	appendRecord := func(_ context.Context, r *wire.Record) (uint64, error) {
		if fault != nil {
			return 0, fault
		}
		offset++
		p.Fold(offset, time.Now(), r)
		return offset, nil
	}
	isUnsent := func(err error) bool { return errors.Is(err, stream.ErrLogDown) }
	p = policy.New(policy.WithAppend(appendRecord, isUnsent), policy.WithFoldWait(time.Millisecond))
	p.State().MarkReadFromStart()
	path := filepath.Join(t.TempDir(), "keys")
	writeKeys(t, path, "# operators\nann "+testKey+"\n", 0o600, time.Unix(1, 0))
	return &Server{Policy: p, Keys: NewKeys(path)}, &fault
}

func send(s *Server, method, path, key, body string) (int, string) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

const setOrg = `{"ID":"1","Reason":"new","Items":[{"Kind":"Organisation","Name":"registry","Version":0,` +
	`"Resource":{"Name":"registry","Weight":2}}]}`

func TestChangeAndRead(t *testing.T) {
	s, _ := newServer(t)
	status, body := send(s, "POST", "/v1/config/changes", testKey, setOrg)
	require.Equal(t, http.StatusOK, status, body)
	require.Contains(t, body, `"Operator":"ann"`)
	require.Contains(t, body, `"Offset":1`)
	status, again := send(s, "POST", "/v1/config/changes", testKey, setOrg)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, body, again)
	for path, want := range map[string]string{
		"/v1/organisations":                 `"Weight":2`,
		"/v1/profiles":                      `"Profiles":[]`,
		"/v1/stops":                         `"Stops":[]`,
		"/v1/notices":                       `"Notices":[]`,
		"/v1/config/status":                 `"Alarm":""`,
		"/v1/config/changes?Limit=1":        `"Reason":"new"`,
		"/v1/profiles/x/history":            `"Changes":[]`,
		"/v1/config/changes?Kind=Profile":   `"Changes":[]`,
		"/v1/config/changes?Limit=nonsense": `"ID":"1"`,
	} {
		status, body := send(s, "GET", path, "", "")
		require.Equal(t, http.StatusOK, status, path)
		require.Contains(t, body, want, path)
	}
}

func TestRejectedChanges(t *testing.T) {
	for _, tt := range []struct {
		name, key, body string
		fault           error
		status          int
		want            string
	}{
		{"no bearer key", "", setOrg, nil, 401, CodeNoKey},
		{"unknown bearer key", "another-key-of-length", setOrg, nil, 401, CodeNoKey},
		{"not JSON", testKey, "{", nil, 400, CodeInvalid},
		{"unknown field", testKey, `{"Id":"1","Colour":1}`, nil, 400, CodeInvalid},
		{"two values", testKey, setOrg + setOrg, nil, 400, CodeInvalid},
		{"too large", testKey, `{"ID":"` + strings.Repeat("x", maxBodyBytes) + `"}`, nil, 413, CodeTooLarge},
		{"no items", testKey, `{"ID":"1","Reason":"r"}`, nil, 422, CodeInvalid},
		{"log down", testKey, setOrg, stream.ErrLogDown, 503, CodeLogDown},
		{"unknown", testKey, setOrg, stream.ErrOutcomeUnknown, 504, CodeUnknown},
		{"other", testKey, setOrg, errors.New("odd"), 504, CodeUnknown},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, fault := newServer(t)
			*fault = tt.fault
			status, body := send(s, "POST", "/v1/config/changes", tt.key, tt.body)
			require.Equal(t, tt.status, status, body)
			require.Contains(t, body, `"Code":"`+tt.want+`"`)
			require.NotContains(t, body, `"Holds":""`)
			require.NotContains(t, body, `"Next":""`)
			require.Empty(t, s.Policy.Config().Organisations)
		})
	}
	s, _ := newServer(t)
	send(s, "POST", "/v1/config/changes", testKey, setOrg)
	status, body := send(s, "POST", "/v1/config/changes", testKey, strings.Replace(setOrg, `"ID":"1"`, `"ID":"2"`, 1))
	require.Equal(t, 409, status)
	require.Contains(t, body, `"Holds":"Organisation registry stands at version 1, by ann"`)
	status, _ = send(s, "GET", "/v1/profiles/none", "", "")
	require.Equal(t, 404, status)
	status, _ = send(s, "POST", "/v1/notices/none/ack", testKey, `{"ID":"1"}`)
	require.Equal(t, 404, status)
	status, f := classify(errors.Wrap(notice.ErrTooSoon{Earliest: time.Unix(0, 0)}, "publish"))
	require.Equal(t, 409, status)
	require.Contains(t, f.Next, "1970-01-01T00:00:00Z")
	status, _ = classify(config.ErrIncomplete{})
	require.Equal(t, 503, status)
}

func TestKeyFileIsReloadedWithoutRestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	k := NewKeys(path)
	_, err := k.GetOperator(testKey)
	require.ErrorIs(t, err, ErrKeyFile)
	writeKeys(t, path, "ann "+testKey+"\n", 0o600, time.Unix(1, 0))
	op, err := k.GetOperator(testKey)
	require.NoError(t, err)
	require.Equal(t, "ann", op)
	writeKeys(t, path, "bob another-key-of-length\n", 0o600, time.Unix(2, 0))
	_, err = k.GetOperator(testKey)
	require.ErrorIs(t, err, ErrKeyUnknown)
	op, err = k.GetOperator("another-key-of-length")
	require.NoError(t, err)
	require.Equal(t, "bob", op)
	require.NoError(t, os.Chmod(path, 0o640))
	_, err = k.GetOperator("another-key-of-length")
	require.ErrorIs(t, err, ErrKeyFile)
	require.ErrorContains(t, err, "0640")
	_, err = NewKeys("").GetOperator(testKey)
	require.ErrorIs(t, err, ErrKeyFile)
}

func FuzzParseKeys(f *testing.F) {
	f.Add([]byte("ann " + testKey + "\n; comment\n"))
	f.Add([]byte("ann short"))
	f.Fuzz(func(t *testing.T, b []byte) {
		ks, err := parseKeys(b)
		for _, k := range ks {
			require.NoError(t, err)
			require.NotEmpty(t, k.operator)
		}
	})
}

func FuzzChangeRequest(f *testing.F) {
	f.Add(setOrg)
	f.Add(`{"ID":"1","From":"2026-01-01T00:00:00Z","Items":[{"Kind":"Stop","Remove":true}]}`)
	f.Fuzz(func(t *testing.T, body string) {
		s, _ := newServer(t)
		status, _ := send(s, "POST", "/v1/config/changes", testKey, body)
		require.NotEqual(t, http.StatusInternalServerError, status)
		c := s.Policy.Config()
		require.NoError(t, c.Check())
	})
}
