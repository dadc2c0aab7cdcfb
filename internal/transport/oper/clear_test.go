package oper

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/dedup"
	"github.com/auburncleat/auburncleat/internal/coordination/stream"
	"github.com/stretchr/testify/require"
)

const clearEast = `{"ID":"c1","Domain":"east","Reason":"compared"}`

func TestClearKeys(t *testing.T) {
	for _, tt := range []struct {
		name, key, body string
		fault           error
		status          int
		want            string
	}{
		{"cleared", testKey, clearEast, nil, http.StatusOK, `"Operator":"ann","Reason":"compared"`},
		{"no operator", "", clearEast, nil, http.StatusUnauthorized, CodeNoKey},
		{"not an operator", "another-key-of-length", clearEast, nil, http.StatusUnauthorized, CodeNoKey},
		{"no id", testKey, `{"Domain":"east","Reason":"r"}`, nil, http.StatusBadRequest, "ID is missing"},
		{"no domain", testKey, `{"ID":"c1","Reason":"r"}`, nil, http.StatusBadRequest, "Domain is missing"},
		{"no reason", testKey, `{"ID":"c1","Domain":"east"}`, nil, http.StatusBadRequest, "Reason is missing"},
		{"unknown domain", testKey, clearEast, dedup.ErrDomainNotExist{Domain: "east"}, http.StatusNotFound, CodeNotExist},
		{"no claims missing", testKey, clearEast, dedup.ErrNothingMissing{Domain: "east"}, http.StatusConflict, CodeNothingMissing},
		{"log down", testKey, clearEast, stream.ErrLogDown, http.StatusServiceUnavailable, CodeLogDown},
		{"lost answer", testKey, clearEast, stream.ErrOutcomeUnknown, http.StatusGatewayTimeout, CodeUnknown},
		{"not read back", testKey, clearEast, dedup.ErrClaimsMissing{}, http.StatusGatewayTimeout, CodeUnknown},
		{"result unknown", testKey, clearEast, dedup.ErrClearResultUnknown, http.StatusGatewayTimeout, CodeUnknown},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, _ := newServer(t)
			calls := 0
			s.ClearKeys = func(_ context.Context, q dedup.ClearRequest) (dedup.Cleared, error) {
				calls++
				return dedup.Cleared{ClearRequest: q, At: time.Unix(1, 0)}, tt.fault
			}
			status, body := send(s, "POST", "/v1/keys/clear", tt.key, tt.body)
			require.Equal(t, tt.status, status, body)
			require.Contains(t, body, tt.want)
			isAsked := tt.key == testKey && tt.body == clearEast
			require.Equal(t, isAsked, calls == 1)
		})
	}
}
