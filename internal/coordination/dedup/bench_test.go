package dedup

import (
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"

	"github.com/stretchr/testify/require"
)

// claimCost claims keys in a cluster and returns the latency, messages, bytes on the wire and appends per claim.
func claimCost(b *testing.B, logUp bool, claims int) (latency time.Duration, messages, bytes, appends float64) {
	t := &testing.T{}
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, disabledMechanisms{})
		defer c.stop()
		a := c.start("h1")
		c.start("h2")
		c.start("h3")
		a.own(1)
		time.Sleep(5 * time.Second)
		c.setLog(logUp)
		time.Sleep(20 * time.Second)
		require.NoError(b, a.claim("j", "warm"))
		a.mu.Lock()
		m, w := a.messages, a.wireBytes
		a.mu.Unlock()
		n := c.log.count()
		began := time.Now()
		for i := range claims {
			require.NoError(b, a.claim(fmt.Sprintf("j%d", i), fmt.Sprintf("k%d", i)))
		}
		latency = time.Since(began) / time.Duration(claims)
		a.mu.Lock()
		messages, bytes = float64(a.messages-m)/float64(claims), float64(a.wireBytes-w)/float64(claims)
		a.mu.Unlock()
		appends = float64(c.log.count()-n) / float64(claims)
	})
	return latency, messages, bytes, appends
}

// BenchmarkClaim measures a claim with and without the log; a call takes up to 5 ms and an append 5 ms.
func BenchmarkClaim(b *testing.B) {
	for _, logUp := range []bool{true, false} {
		for _, n := range []int{10, 100} {
			b.Run(fmt.Sprintf("log=%t/claims=%d", logUp, n), func(b *testing.B) {
				for range b.N {
					d, m, w, x := claimCost(b, logUp, n)
					b.ReportMetric(float64(d.Microseconds())/1000, "ms/claim")
					b.ReportMetric(m, "messages/claim")
					b.ReportMetric(w, "wireB/claim")
					b.ReportMetric(x, "appends/claim")
				}
			})
		}
	}
}

// BenchmarkMemory measures the memory per key and the time of a digest, by the number of keys.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1_000, 10_000} {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				x := New(WithDomain("north-quay", []string{"north-quay"}), WithHost("h1"))
				for i := range n {
					_, err := x.reserve(fleetTerm(nil), job(fmt.Sprintf("j%d", i), fmt.Sprintf("k%d", i)), []string{"w1", "w2"})
					require.NoError(b, err)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/key")
				b.ReportMetric(float64(x.bytes)/float64(n), "countedB/key")
				began := time.Now()
				_ = x.digest(time.Now().Add(time.Hour).UnixMilli())
				b.ReportMetric(float64(time.Since(began).Nanoseconds())/float64(n), "digest-ns/key")
				runtime.KeepAlive(x)
			}
		})
	}
}

// BenchmarkFoldMarker measures folding a marker of another failure domain, by the number of failure domains.
func BenchmarkFoldMarker(b *testing.B) {
	for _, n := range []int{3, 11, 55} {
		b.Run(fmt.Sprintf("domains=%d", n), func(b *testing.B) {
			k := New(WithDomain("home", nil))
			var rs []*wire.Record
			for i := range n {
				m := &wire.OnceMarker{Domain: fmt.Sprintf("domain-%d", i)}
				rs = append(rs, &wire.Record{Id: "m", Body: &wire.Record_Marker{Marker: m}})
			}
			b.ReportAllocs()
			for i := range b.N {
				r := rs[i%n]
				r.GetMarker().UntilUnixMillis = int64(i + 1)
				k.Fold(uint64(i+1), time.Time{}, r)
			}
		})
	}
}
