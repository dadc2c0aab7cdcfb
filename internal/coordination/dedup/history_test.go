package dedup

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

type callKind int

const (
	callClaim callKind = iota
	callRelease
	callDone
)

// historyCall is one call of a client.
type historyCall struct {
	kind callKind
	key  string
	job  string
}

// historyReply is the result of a call.
type historyReply struct {
	ok bool
	// done is the job whose outcome the client was given.
	done string
}

// keyState is the state of a key in the model: the job that holds it, and whether that job has ended.
type keyState struct {
	holder string
	done   bool
}

// dedupModel allows one job at a time to hold a key, and repeats to get the outcome of that job only.
var dedupModel = porcupine.Model{
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, o := range h {
			k := o.Input.(historyCall).key
			by[k] = append(by[k], o)
		}
		var out [][]porcupine.Operation
		for _, os := range by {
			out = append(out, os)
		}
		return out
	},
	Init: func() any { return keyState{} },
	Step: func(state, input, output any) (bool, any) {
		s, c, r := state.(keyState), input.(historyCall), output.(historyReply)
		switch {
		case r.done != "":
			return s.done && s.holder == r.done, s
		case !r.ok:
			return true, s
		case c.kind == callClaim:
			return s.holder == "", keyState{holder: c.job}
		case s.holder != c.job:
			return false, s
		case c.kind == callRelease:
			return true, keyState{}
		default:
			return true, keyState{holder: c.job, done: true}
		}
	},
}

// historyRun records the calls of clients that claim a few keys through all hosts, while owners change and faults come and go.
type historyRun struct {
	c     *fakeCluster
	clock atomic.Int64
	mu    sync.Mutex
	rand  *rand.Rand
	ops   []porcupine.Operation
	term  uint64
}

func (r *historyRun) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rand.IntN(n)
}

func (r *historyRun) host() *fakeHost {
	r.c.mu.Lock()
	var up []*fakeHost
	for _, h := range r.c.hosts {
		if h.isUp() {
			up = append(up, h)
		}
	}
	r.c.mu.Unlock()
	return up[r.intN(len(up))]
}

// owner returns a host that considers itself the owner, as several hosts may at the same time, or any host if 10 draws find
// none.
func (r *historyRun) owner() *fakeHost {
	for range 10 {
		if h := r.host(); !h.term().IsZero() {
			return h
		}
	}
	return r.host()
}

func (r *historyRun) record(client int, c historyCall, f func() historyReply) historyReply {
	call := r.clock.Add(1)
	y := f()
	back := r.clock.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: c, Call: call, Output: y, Return: back})
	return y
}

// client claims keys; a granted claim is completed, released, or left open, as after a crash.
func (r *historyRun) client(n int) {
	for i := range 60 {
		time.Sleep(time.Duration(r.intN(4000)) * time.Millisecond)
		h := r.owner()
		// Keys change over time, so that clients contend for the same few keys at any moment.
		epoch := time.Now().Unix() / 8
		key, id := fmt.Sprintf("k%d-%d", epoch, r.intN(2)), fmt.Sprintf("j%d-%d", n, i)
		y := r.record(n, historyCall{callClaim, key, id}, func() historyReply { return replyOf(h.claim(id, key)) })
		if !y.ok {
			continue
		}
		time.Sleep(time.Duration(r.intN(500)) * time.Millisecond)
		t := h.term()
		switch r.intN(3) {
		case 0:
			r.record(n, historyCall{callRelease, key, id}, func() historyReply {
				// A release counts even if it does not reach the peers, since the job does not run.
				_ = h.ledger.Release(r.c.t.Context(), t, job(id, key))
				return historyReply{ok: true}
			})
		case 1:
			r.record(n, historyCall{callDone, key, id}, func() historyReply {
				_ = h.ledger.PutOutcome(r.c.t.Context(), t, job(id, key), outcome(id, fleet.Done))
				return historyReply{ok: true}
			})
		}
	}
}

func replyOf(err error) historyReply {
	var c ErrClaimed
	if errors.As(err, &c) && c.Outcome.GetKind() == string(fleet.Done) {
		return historyReply{done: c.Job}
	}
	return historyReply{ok: err == nil}
}

// injectFaults changes owners, cuts off the log and hosts, loses answers and restarts hosts.
func (r *historyRun) injectFaults(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(500+r.intN(8000)) * time.Millisecond):
		}
		switch r.intN(8) {
		case 0, 1:
			r.term++
			h := r.host()
			h.own(r.term)
			h.setLog(r.intN(2) == 0)
		case 2:
			r.c.setLog(false)
		case 3:
			r.c.setLog(true)
		case 4:
			h := r.host()
			h.setLog(false)
		case 5:
			h := r.host()
			h.setLose(!h.loses())
		case 6:
			name := r.host().name
			r.c.setCut(func(a, b string) bool { return a == name || b == name })
		case 7:
			r.c.setCut(func(string, string) bool { return false })
		}
		if r.intN(8) == 0 {
			h := r.host()
			h.stop()
			r.c.start(h.name)
		}
	}
}

func history(t *testing.T, seed uint64, off disabledMechanisms) (ok bool, grants int) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, seed, off)
		r := &historyRun{c: c, rand: rand.New(rand.NewPCG(seed, 4)), term: 1}
		for i := range 3 {
			c.start(fmt.Sprintf("h%d", i+1))
		}
		c.hosts[0].own(1)
		time.Sleep(5 * time.Second)
		var wg sync.WaitGroup
		for n := range 4 {
			wg.Go(func() { r.client(n) })
		}
		stop := make(chan struct{})
		c.wg.Go(func() { r.injectFaults(stop) })
		wg.Wait()
		close(stop)
		time.Sleep(10 * time.Second)
		c.stop()
		for _, o := range r.ops {
			if o.Output.(historyReply).ok && o.Input.(historyCall).kind == callClaim {
				grants++
			}
		}
		ok = porcupine.CheckOperations(dedupModel, r.ops)
	})
	return ok, grants
}

func TestHistoriesOfClaimsAreLinearizable(t *testing.T) {
	all := 0
	// With seed 1495 calls and appends are so slow that the first marker reaches the peers but not the log.
	for s := range uint64(seeds + 1) {
		if s == seeds {
			s = 1495
		}
		ok, n := history(t, s, disabledMechanisms{})
		require.True(t, ok, "seed %d", s)
		all += n
	}
	t.Logf("%d claims were granted in %d histories", all, seeds)
	require.Greater(t, all, seeds)
	for name, off := range map[string]disabledMechanisms{
		"quorum": {quorum: true, completeness: true},
		"peers":  {peers: true, quorum: true, completeness: true},
	} {
		n := findWrongHistory(t, off)
		t.Logf("without %s the history of seed %d is not linearizable", name, n)
		require.Less(t, n, maxHistorySeeds, "the test does not detect that %s is disabled", name)
	}
}

// maxHistorySeeds bounds the search for a history that is not linearizable. A seed draws the same calls and faults each time,
// but the order of goroutines differs, so that which histories fail, and how many, differs between runs.
const maxHistorySeeds = 10 * seeds

// findWrongHistory returns the first seed whose history is not linearizable, or maxHistorySeeds.
func findWrongHistory(t *testing.T, off disabledMechanisms) int {
	for s := range maxHistorySeeds {
		if ok, _ := history(t, uint64(s), off); !ok {
			return s
		}
	}
	return maxHistorySeeds
}
