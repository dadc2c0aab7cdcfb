package policy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// revision is an operator's attempt to change a resource based on a version of it.
type revision struct {
	name string
	base uint64
}

// outcome is the response that the operator received.
type outcome struct {
	isAccepted bool
	version    uint64
}

// versionModel is the sequential specification of a resource: a revision is accepted if and only if it is based on the
// current version.
var versionModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, o := range history {
			n := o.Input.(revision).name
			by[n] = append(by[n], o)
		}
		var out [][]porcupine.Operation
		for _, os := range by {
			out = append(out, os)
		}
		return out
	},
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		at, in, out := state.(uint64), input.(revision), output.(outcome)
		if !out.isAccepted {
			return at != in.base, at
		}
		return at == in.base, out.version
	},
}

// runOperators runs concurrent operators against a log that loses responses, is slow and fails at times, and returns
// the history of their operations.
func runOperators(t *testing.T, seed uint64, publish func(*Policy, context.Context, Request) (config.Change, error)) []porcupine.Operation {
	var mu sync.Mutex
	var out []porcupine.Operation
	synctest.Test(t, func(t *testing.T) {
		r := rand.New(rand.NewPCG(seed, 1))
		var rmu sync.Mutex
		draw := func(n int) int {
			rmu.Lock()
			defer rmu.Unlock()
			return r.IntN(n)
		}
		l := newFakeLog()
		l.losesAnswer = func() bool { return draw(3) == 0 }
		l.delay = func() time.Duration { return time.Duration(draw(50)) * time.Millisecond }
		var hosts []*Policy
		var readers []*reader
		for range 3 {
			p, rd := l.startHost()
			hosts = append(hosts, p)
			readers = append(readers, rd)
		}
		var g sync.WaitGroup
		for op := range 4 {
			g.Go(func() {
				for n := range 8 {
					name := fmt.Sprint("org", draw(2))
					p := hosts[draw(3)]
					base := p.Config().Version(config.KindOrganisation, name)
					q := newRequest(fmt.Sprint(op, "-", n), fmt.Sprint("op", op), organisationItem(t, name, 1+draw(9), base))
					call := time.Now().UnixNano()
					var c config.Change
					var err error
					var e ErrConflict
					for {
						c, err = publish(hosts[draw(3)], t.Context(), q)
						if err == nil || errors.As(err, &e) {
							break
						}
						time.Sleep(time.Second)
					}
					mu.Lock()
					out = append(out, porcupine.Operation{
						ClientId: op, Input: revision{name, base}, Call: call,
						Output: outcome{isAccepted: err == nil, version: c.Offset}, Return: time.Now().UnixNano(),
					})
					mu.Unlock()
				}
			})
		}
		g.Go(func() {
			for range 20 {
				rd := readers[draw(3)]
				l.setCut(rd, true)
				time.Sleep(time.Duration(draw(200)) * time.Millisecond)
				l.setCut(rd, false)
				l.mu.Lock()
				l.isDown = draw(3) == 0
				l.mu.Unlock()
				time.Sleep(30 * time.Millisecond)
				l.mu.Lock()
				l.isDown = false
				l.mu.Unlock()
			}
		})
		g.Wait()
		for _, p := range hosts[1:] {
			require.Equal(t, hosts[0].Config(), p.Config())
		}
	})
	return out
}

// TestPublishLinearizable checks that revisions by concurrent operators are linearizable while responses are lost and
// hosts are cut off from the log.
func TestPublishLinearizable(t *testing.T) {
	conflicts := 0
	for seed := range uint64(20) {
		h := runOperators(t, seed, (*Policy).Publish)
		require.Len(t, h, 32)
		for _, o := range h {
			if !o.Output.(outcome).isAccepted {
				conflicts++
			}
		}
		require.True(t, porcupine.CheckOperations(versionModel, h), "seed %d", seed)
	}
	require.Positive(t, conflicts)
}

// TestPublishLinearizableMutant checks that the linearizability check detects an implementation that reports a change
// as accepted once its record is in the log, regardless of the verdict.
func TestPublishLinearizableMutant(t *testing.T) {
	eager := func(p *Policy, ctx context.Context, q Request) (config.Change, error) {
		c, err := p.Publish(ctx, q)
		if stored, ok := p.State().GetChange(q.ID); ok && err != nil {
			return stored, nil
		}
		return c, err
	}
	caught := 0
	for seed := range uint64(20) {
		if !porcupine.CheckOperations(versionModel, runOperators(t, seed, eager)) {
			caught++
		}
	}
	require.Positive(t, caught)
}
