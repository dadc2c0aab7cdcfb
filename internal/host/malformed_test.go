package host

import (
	"context"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/intake"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

// malformedRecords returns entries for the jobs topic that no host of this version writes.
func malformedRecords(t *testing.T) map[string][]port.Entry {
	t.Helper()
	encode := func(key string, m proto.Message) port.Entry {
		b, err := proto.Marshal(m)
		require.NoError(t, err)
		return port.Entry{Key: key, Value: b}
	}
	job := func(id string, steps ...*wire.BatchStep) port.Entry {
		return encode("j/"+id, &wire.BatchJob{Id: id, Organisation: "Gear", Queue: "urgent", Steps: steps})
	}
	whole := &wire.BatchStep{Tasks: 2, Accelerators: 1, Processors: 1}
	end := func(id string, m *wire.BatchJob) port.Entry { return encode("e/"+id, m) }
	unit := func(id string) port.Entry {
		return encode("u/"+id+"/0/0", &wire.BatchUnit{Job: id, Run: 1, Members: []*wire.BatchMember{{Worker: "w0"}}})
	}
	return map[string][]port.Entry{
		"no kind":               {{Key: "x/1", Value: []byte("?")}, {Key: "", Value: []byte("?")}},
		"bytes for a job":       {{Key: "j/00000000000000b1", Value: []byte{0xff, 0xff}}},
		"bytes for an end":      {{Key: "e/00000000000000b1", Value: []byte{0xff, 0xff}}},
		"bytes for a unit":      {{Key: "u/00000000000000b1/0/0", Value: []byte{0xff, 0xff}}},
		"key of no unit":        {{Key: "u/00000000000000b1/one", Value: []byte{}}, {Key: "u/", Value: []byte("?")}},
		"job without steps":     {job("00000000000000b2")},
		"negative tasks":        {job("00000000000000b3", &wire.BatchStep{Tasks: -5, Accelerators: 1})},
		"no tasks":              {job("00000000000000b4", &wire.BatchStep{})},
		"step after a later":    {job("00000000000000b5", &wire.BatchStep{Tasks: 1, After: []int32{7}})},
		"step after itself":     {job("00000000000000b6", &wire.BatchStep{Tasks: 1, After: []int32{0}})},
		"step before the first": {job("00000000000000b7", &wire.BatchStep{Tasks: 1, After: []int32{-1}})},
		"negative room":         {job("00000000000000b8", &wire.BatchStep{Tasks: 1, Accelerators: -1, Processors: -1, MemoryBytes: -1})},
		"negative occurrences": {encode("j/00000000000000b9", &wire.BatchJob{
			Id: "00000000000000b9", Queue: "urgent", Steps: []*wire.BatchStep{whole}, Times: &wire.BatchTimes{Count: -3},
		})},
		"id of another job": {encode("j/00000000000000ba", &wire.BatchJob{
			Id: "00000000000000bb", Queue: "urgent", Steps: []*wire.BatchStep{whole},
		})},
		"unit of no step": {
			job("00000000000000bc", whole),
			encode("u/00000000000000bc/9/9", &wire.BatchUnit{Job: "00000000000000bc", Step: 9, Index: 9, Run: 1}),
		},
		"unit of another key": {
			job("00000000000000bd", whole),
			encode("u/00000000000000bd/0/0", &wire.BatchUnit{Job: "00000000000000ff", Step: -1, Index: -4, Run: -1}),
		},
		"end that is none": {
			end("00000000000000c1", &wire.BatchJob{Id: "00000000000000c1", Queue: "urgent", Steps: []*wire.BatchStep{whole}}),
			unit("00000000000000c1"),
		},
		"end that is none, of an open job": {
			job("00000000000000c2", whole),
			end("00000000000000c2", &wire.BatchJob{Id: "00000000000000c2", Queue: "urgent", Steps: []*wire.BatchStep{{Tasks: -5}}}),
			unit("00000000000000c2"),
		},
		"end in an unknown state": {end("00000000000000c3", &wire.BatchJob{Id: "00000000000000c3", State: 99}), unit("00000000000000c3")},
		"end below all states":    {end("00000000000000c4", &wire.BatchJob{Id: "00000000000000c4", State: -1}), unit("00000000000000c4")},
		"end of another job":      {end("00000000000000c5", &wire.BatchJob{Id: testJobID, State: wire.BatchState(jobs.Failed)})},
		"id with dots":            {job("0.0.0.c6", whole)},
		"id with slashes":         {job("0/0/0/c7", whole)},
		"id with a control":       {job("\x00\n00000000000c8", whole)},
		"empty id":                {job("", whole)},
		"unit on too many workers": {
			job("00000000000000be", whole),
			encode("u/00000000000000be/0/1", &wire.BatchUnit{
				Job: "00000000000000be", Index: 1, Run: 1, Members: []*wire.BatchMember{{Worker: "w0"}, {Worker: "none"}, {}},
			}),
		},
	}
}

// TestMalformedRecordsDoNotCrashHosts appends undecodable and inconsistent records to the jobs topic. The owner, another host
// and the owner after a failover must go on serving.
func TestMalformedRecordsDoNotCrashHosts(t *testing.T) {
	for name, es := range malformedRecords(t) {
		t.Run(name, func(t *testing.T) {
			runInSite(t, runsTaking(time.Second), []string{"a", "b"}, func(s *site) {
				s.advance(2 * time.Second)
				_, err := s.store.View("other").Append(s.t.Context(), port.Append{Topic: jobsTopic, Entries: es})
				require.NoError(t, err)
				s.advance(3 * time.Second)
				require.NoError(t, s.submit("b", testJobID, "urgent", gangStep(2, 2)))
				s.requireEnded(intake.Completed, 10*time.Second)
				s.kill(s.owner())
				s.advance(5 * time.Second)
				for h := range s.hosts {
					require.NoError(t, s.submit(h, "00000000000000ab", "urgent", gangStep(2, 2)))
				}
				s.requireEnded(intake.Completed, 15*time.Second)
			})
		})
	}
}

// TestMalformedForwardedRequestIsRefused forwards incomplete requests to a host, which must answer them and go on serving.
func TestMalformedForwardedRequestIsRefused(t *testing.T) {
	runInSite(t, runsTaking(time.Second), []string{"a"}, func(s *site) {
		s.advance(2 * time.Second)
		for _, q := range []*wire.TakeRequest{
			{}, {Verb: -1}, {Host: "h", Path: "/urgent/" + testJobID, Key: "k"}, {Host: "h", Path: "/urgent/" + testJobID, Key: "k", Verb: 99},
		} {
			ctx, cancel := context.WithTimeout(s.t.Context(), time.Second)
			err := s.hosts["a"].relay.Take(ctx, q, &wire.TakeReply{})
			cancel()
			require.NoError(t, err, "%v", q)
		}
		require.NoError(t, s.submit("a", testJobID, "urgent", jobs.Step{Tasks: 1, Accelerators: 1}))
		s.requireEnded(intake.Completed, 10*time.Second)
	})
}
