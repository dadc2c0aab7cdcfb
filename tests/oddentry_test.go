package tests

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

const (
	// oddEntryInterval is the time between two rounds of odd entries, and oddJobs the number of jobs that run beside them before and
	// after a host starts anew.
	oddEntryInterval = 200 * time.Millisecond
	oddJobs          = 6
)

// oddWorkerEntries returns values of another writer that name no worker.
func oddWorkerEntries() []string {
	entry := func(address, capacity, more string) string {
		return `{"service":"svc","address":"` + address + `","zone":"d0","version":"1","slots":8,"state":"ready","cold_remaining_ms":0,"sequence":1,` +
			`"labels":["k0","r1-0"],"capacity":` + capacity + more + `}`
	}
	const room = `{"cpu":64,"mem_mb":131072,"gpus":8}`
	return []string{
		"\xff\xfe\x00", `{`, `[]`, `null`, `{}`, strings.Repeat("[", 200_000), strings.Repeat(`{"a":`, 30_000),
		entry("127.0.0.1:0", room, ""), entry("127.0.0.1:65536", room, ""), entry("127.0.0.1:99999999", room, ""), entry("0.0.0.0:9", room, ""),
		entry("[fe80::1%eth0]:9", room, ""), entry("worker.example:9", room, ""), entry("224.0.0.1:9", room, ""),
		entry("127.0.0.1:9", `{"cpu":1e400}`, ""), entry("127.0.0.1:9", `{"cpu":64,"mem_mb":9223372036854775807,"gpus":8}`, ""),
		entry("127.0.0.1:9", `{"cpu":9223372036854775807,"mem_mb":8796093022208,"gpus":1000000000000}`, ""),
		entry("127.0.0.1:9", `{"cpu":-1,"mem_mb":-1,"gpus":-1}`, ""), entry("127.0.0.1:9", room, `,"born":1e30`),
		entry("127.0.0.1:9", room, `,"more":`+strings.Repeat("[", 100_000)+strings.Repeat("]", 100_000)),
		entry("127.0.0.1:9", room, `,"labels":["a"`+strings.Repeat(`,"a"`, 50_000)+`]`),
	}
}

// appendOddEntries writes odd entries to all topics that another writer can reach, also in the place of a worker and of a host.
func (s *soakSite) appendOddEntries(round int) {
	odd := oddWorkerEntries()
	value := []byte(odd[round%len(odd)])
	s.appendAsPlatform(workersTopic, port.Entry{Key: "w0", Value: value}, port.Entry{Key: "odd", Value: value}, port.Entry{Key: "\x00\n\xff", Value: value})
	end, err := proto.Marshal(&wire.BatchJob{Id: "00000000000000c1", Steps: []*wire.BatchStep{{Tasks: 2}}})
	require.NoError(s.t, err)
	unit, err := proto.Marshal(&wire.BatchUnit{Job: "00000000000000c1", Run: 1})
	require.NoError(s.t, err)
	s.appendAsPlatform(jobsTopic, port.Entry{Key: "j/odd", Value: value}, port.Entry{Key: "e/00000000000000c1", Value: end},
		port.Entry{Key: "u/00000000000000c1/0/0", Value: unit}, port.Entry{Key: "\xff", Value: value})
	s.appendAsPlatform(ownerTopic, port.Entry{Value: value})
	s.appendAsPlatform(port.Topic{Name: "hosts", IsKeyed: true}, port.Entry{Key: "host-1", Value: value}, port.Entry{Key: "odd", Value: value})
	s.appendAsPlatform(operatorTopic, port.Entry{Key: "evacuate/", Value: value}, port.Entry{Key: "wave/1", Value: value})
}

// TestOddEntriesLeaveTheSiteAlone guards against hosts that end by themselves, stop following the store or stop running jobs while another
// writer fills the topics with odd entries.
func TestOddEntriesLeaveTheSiteAlone(t *testing.T) {
	p := newSoakPlan(1, 2, 4, 20*time.Second)
	for _, j := range p.jobs {
		j.steps, j.isPoison, j.work = []soakStep{{Count: 3, CPU: 1, GPUs: 1, Estimated: 500}}, false, 500*time.Millisecond
	}
	s := newSoakSite(t, p)
	for _, h := range s.hosts {
		s.eventually(readyTimeout, "readiness", func() bool { return s.isReady(h) })
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for round := 0; ; round++ {
			select {
			case <-stop:
				return
			default:
				s.appendOddEntries(round)
				s.sleep(oddEntryInterval)
			}
		}
	}()
	run := func(js []*soakJob) {
		for _, j := range js {
			s.eventually(readyTimeout, "acceptance", func() bool { return s.submitJob(j) == http.StatusOK })
		}
		for _, j := range js {
			for _, h := range s.hosts {
				s.eventually(outcomeTimeout, "end of job "+j.id+" at "+h.name, func() bool {
					state, _ := s.state(h, j)
					return state == "completed"
				})
			}
		}
	}
	run(p.jobs[:oddJobs])
	owner := s.owner()
	s.restartKilled(owner, time.Second)
	s.eventually(readyTimeout, "readiness after a start", func() bool { return s.isReady(owner) })
	run(p.jobs[oddJobs : 2*oddJobs])
	close(stop)
	<-stopped
	s.checkLogs(2 * oddJobs)
	require.Empty(t, s.runners.Faults())
	require.Empty(t, p.unrequestedRuns())
	require.Empty(t, s.findViolations())
}
