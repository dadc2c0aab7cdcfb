package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	// finish is finish_s, after which jobs are asked for.
	finish = 14 * time.Second
	// idleTime is how long a job may have nothing running beside room for it.
	idleTime = 3 * time.Second
	// ordinaryCores is what an ordinary task asks for, and more than any other task of these cases does.
	ordinaryCores = 2
	sampleGap     = 100 * time.Millisecond
)

// ordinary is a job of one task, of which the workers hold 64 at a time.
func ordinary(workMs int) job {
	return job{
		Spec:  fmt.Sprintf("work=%d", workMs),
		Steps: []step{{Count: 1, CPU: ordinaryCores * 1000, MemMB: 1024, GPUs: 1, EstimatedMs: workMs}},
	}
}

// submit hands a job in at a host, once, and notes what came back.
func (b *bed) submit(h *host, prefix, id, key string, j job) int {
	body, _ := json.Marshal(j)
	status, _ := b.call(h, http.MethodPost, prefix+id, key, body, deadline)
	b.record.note("POST %s%s at %s, %d bytes: %d", prefix, id, h.name, len(body), status)
	return status
}

// serveOrdinary hands n urgent jobs in, one each gap, and returns those that were accepted.
func (b *bed) serveOrdinary(kind, n int, gap time.Duration) (accepted []string) {
	for i := range n {
		x := jobID(kind, i)
		if s := b.submit(b.hosts[i%len(b.hosts)], urgentPrefix, x, keyA, ordinary(500)); s/100 == 2 {
			accepted = append(accepted, x)
		}
		time.Sleep(gap)
	}
	return accepted
}

// checkLost waits for finish and returns how many of the accepted jobs break LOST: nothing of them runs for idleTime although they are
// not done, under half of the workers' capacity is in use all the while, and the rest holds each of them many times.
func (b *bed) checkLost(ids []string) int {
	time.Sleep(finish)
	idle := map[string]bool{}
	for _, x := range ids {
		idle[x] = true
	}
	limit := len(b.fleet.workers) * workerCPU / 1000 / ordinaryCores / 2
	most := 0
	for until := time.Now().Add(idleTime); time.Now().Before(until); time.Sleep(sampleGap) {
		most = max(most, b.fleet.inUse())
		for _, x := range ids {
			if r := b.fleet.look(x); r.present > 0 || r.done > 0 {
				idle[x] = false
			}
		}
	}
	n := 0
	for _, x := range ids {
		status, state := b.ask(x)
		r := b.fleet.look(x)
		isLost := idle[x] && most < limit && state != "completed"
		b.record.note("GET %s: %d %s; its tasks: %d starts, %d done, %d on a worker; LOST broken: %v", x, status, state, r.starts, r.done, r.present, isLost)
		if isLost {
			n++
		}
	}
	b.record.note("%d of %d accepted jobs break LOST; at most %d tasks were on the workers, half of the capacity is %d", n, len(ids), most, limit)
	return n
}

// ask asks the hosts in turn for the state of an urgent job, until one answers; a host that has not answered is asked last from then on.
func (b *bed) ask(id string) (status int, state string) {
	for _, h := range slices.Clone(b.hosts) {
		var body string
		status, body = b.call(h, http.MethodGet, urgentPrefix+id, keyA, nil, deadline)
		var m struct {
			State string `json:"state"`
		}
		_ = json.Unmarshal([]byte(body), &m)
		if status == http.StatusOK {
			return status, m.State
		}
		if status == 0 {
			b.hosts = append(slices.DeleteFunc(b.hosts, func(x *host) bool { return x == h }), h)
		}
	}
	return status, ""
}

// verdictOfLost plays a case whose rule is LOST: urgent jobs before and after one batch job of another tenant.
func (b *bed) verdictOfLost(batch job, pause time.Duration) int {
	before := b.serveOrdinary(1, 6, 200*time.Millisecond)
	time.Sleep(2 * time.Second)
	if s := b.submit(b.hosts[0], batchPrefix, jobID(9, 0), keyB, batch); s/100 != 2 {
		b.record.note("the batch job was not accepted")
	}
	time.Sleep(pause)
	after := b.serveOrdinary(2, 12, 300*time.Millisecond)
	if len(before) == 0 {
		b.record.note("no urgent job was accepted before the batch job")
		return notRun
	}
	if b.checkLost(append(before, after...)) > 0 {
		return broken
	}
	return held
}
