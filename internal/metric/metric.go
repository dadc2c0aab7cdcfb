package metric

import (
	"fmt"
	"io"
	"net/http"
	"time"
	"unicode"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

const (
	prefix         = "auburncleat"
	reportInterval = time.Second
)

// Metrics holds the root scope of a process and the handler that serves its metrics.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// New returns the metrics of a process. The tags, such as Host and Domain, are added to every series.
func New(tags map[string]string) (*Metrics, error) {
	r := prometheus.NewRegistry()
	err := r.Register(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	if err != nil {
		return nil, fmt.Errorf("register process metrics: %w", err)
	}
	if err := r.Register(collectors.NewGoCollector()); err != nil {
		return nil, fmt.Errorf("register runtime metrics: %w", err)
	}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		Tags:                   tags,
		CachedReporter:         tallyprom.NewReporter(tallyprom.Options{Registerer: r}),
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        sanitizeOptions(),
		OmitCardinalityMetrics: true,
		DefaultBuckets:         tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 18),
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: promhttp.HandlerFor(r, promhttp.HandlerOpts{}), closer: closer}, nil
}

// sanitizeOptions returns options that keep tag values unchanged and replace characters that the format does not allow in
// names and keys.
func sanitizeOptions() *tally.SanitizeOptions {
	o := tallyprom.DefaultSanitizerOpts
	o.ValueCharacters = tally.ValidCharacters{Ranges: []tally.SanitizeRange{{0, unicode.MaxRune}}}
	return &o
}

// Close reports pending values and stops reporting.
func (m *Metrics) Close() error {
	if err := m.closer.Close(); err != nil {
		return fmt.Errorf("close metrics: %w", err)
	}
	return nil
}
