package standin

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/auburncleat/auburncleat/pkg/client"
)

const (
	histogramMax    = int64(time.Hour / time.Millisecond)
	histogramDigits = 3
	medianPercent   = 50
)

type profileStats struct {
	submitted int
	kinds     map[string]int
	took      *hdrhistogram.Histogram
}

// WriteTable writes one line per profile: how its jobs ended, and the median and worst completion time of those done.
func (r Report) WriteTable(w io.Writer) error {
	rows := map[string]*profileStats{}
	for _, e := range r.Ended {
		x, ok := rows[e.Profile]
		if !ok {
			x = &profileStats{kinds: map[string]int{}, took: hdrhistogram.New(1, histogramMax, histogramDigits)}
			rows[e.Profile] = x
		}
		x.submitted++
		x.kinds[e.Kind]++
		if e.Kind == client.Done {
			// RecordValue fails only above the histogram's limit of one hour, which no demo reaches.
			_ = x.took.RecordValue(max(1, e.TookMillis))
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "PROFILE\tSUBMITTED\tDONE\tREFUSED\tUNKNOWN\tMEDIAN\tWORST\t")
	for _, p := range slices.Sorted(maps.Keys(rows)) {
		x := rows[p]
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t\n", p, x.submitted, x.kinds[client.Done],
			x.kinds[client.Refused], x.kinds[client.Unknown],
			seconds(x.took.ValueAtPercentile(medianPercent)), seconds(x.took.Max()))
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

func seconds(millis int64) string {
	return fmt.Sprintf("%.2f s", (time.Duration(millis) * time.Millisecond).Seconds())
}
