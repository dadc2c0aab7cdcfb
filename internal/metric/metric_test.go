package metric_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/metric"
	"github.com/stretchr/testify/require"
)

func TestHandlerServesTextExposition(t *testing.T) {
	m, err := metric.New(map[string]string{"Host": "north-quay-1"})
	require.NoError(t, err)
	s := m.Scope.SubScope("owner")
	s.Counter("jobs_started").Inc(3)
	s.Gauge("queue_jobs").Update(7)
	s.Histogram("start_wait", nil).RecordDuration(3 * time.Millisecond)
	require.NoError(t, m.Close())
	w := httptest.NewRecorder()
	m.Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Equal(t, http.StatusOK, w.Code)
	for _, want := range []string{
		`auburncleat_owner_jobs_started{Host="north-quay-1"} 3`,
		`auburncleat_owner_queue_jobs{Host="north-quay-1"} 7`,
		`auburncleat_owner_start_wait_bucket{Host="north-quay-1",le="0.004"} 1`,
		"# TYPE auburncleat_owner_start_wait histogram",
		"process_resident_memory_bytes",
	} {
		require.Contains(t, w.Body.String(), want)
	}
}
