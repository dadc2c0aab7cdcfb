package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["body"] = largeBody }

const (
	// ackTime is ack_ms.
	ackTime = 4 * time.Second
	// retries is how often a client repeats a request.
	retries = 4
)

// persist repeats a call as a client does, at one host after the other, until it is accepted or its time is over.
func (b *bed) persist(first int, method, path string, body []byte, accept ...int) (status int, isAccepted bool) {
	until := time.Now().Add(ackTime)
	for i := range 1 + retries {
		left := time.Until(until)
		if left <= 0 {
			break
		}
		h := b.hosts[(first+i)%len(b.hosts)]
		status, _ = b.call(h, method, path, keyA, body, min(left, deadline))
		b.record.note("%s %s at %s: %d", method, path, h.name, status)
		for _, s := range accept {
			if status == s {
				return status, true
			}
		}
		time.Sleep(min(time.Second, max(time.Until(until), 0)))
	}
	return status, false
}

// largeBody: one client at each host sends a body far over the limit of the config and leaves before its deadline. Then jobs that were
// accepted before are cancelled.
func largeBody(b *bed) int {
	var ids []string
	for i := range 6 {
		x := jobID(1, i)
		if s := b.submit(b.hosts[i%len(b.hosts)], urgentPrefix, x, keyA, ordinary(100_000)); s/100 == 2 {
			ids = append(ids, x)
		}
	}
	if len(ids) < 3 {
		return notRun
	}
	time.Sleep(3 * time.Second)
	size := 900_000
	if !b.trouble {
		size = 3000
	}
	body, _ := json.Marshal(job{Spec: "work=500", Steps: []step{{Count: 1, CPU: 1000, MemMB: 64, Needs: strings.Repeat("n", size)}}})
	for i, h := range b.hosts {
		path := batchPrefix + jobID(9, i)
		status, _ := b.call(h, http.MethodPost, path, keyB, body, 300*time.Millisecond)
		b.record.note("POST %s at %s, %d bytes, its client leaves after 300 ms: %d", path, h.name, len(body), status)
	}
	// The core is stable and the machines are in touch for contact_ms before the cancels.
	time.Sleep(6 * time.Second)
	var g sync.WaitGroup
	var missing, accepted atomic.Int64
	for i, x := range ids {
		g.Go(func() {
			if _, ok := b.persist(i, http.MethodDelete, urgentPrefix+x, nil, http.StatusOK, http.StatusNoContent, http.StatusGone); !ok {
				missing.Add(1)
			}
		})
	}
	g.Wait()
	for i := range 6 {
		g.Go(func() {
			x, _ := json.Marshal(ordinary(500))
			if _, ok := b.persist(i, http.MethodPost, urgentPrefix+jobID(2, i), x, http.StatusOK); ok {
				accepted.Add(1)
			}
		})
	}
	g.Wait()
	b.record.note("%d of %d cancels have no 2xx or 410 after ack_ms; %d of 6 ordinary jobs were accepted afterwards", missing.Load(), len(ids), accepted.Load())
	if missing.Load()*10 > int64(len(ids)) {
		return broken
	}
	return held
}
