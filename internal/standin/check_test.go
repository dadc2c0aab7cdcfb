package standin_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/pkg/client"
	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

func TestCheckFindsContradictions(t *testing.T) {
	l := standin.Load{Streams: []standin.Stream{{
		Organisation: "o", Profile: "p", Shape: client.Shape{Tasks: 2}, Work: standin.Work{AnswerBytes: 5},
	}}}
	ended := func(kind string) standin.Ended {
		a := append(standin.Answer("j", 0, 5), standin.Answer("j", 1, 5)...)
		return standin.Ended{
			Organisation: "o", Profile: "p", Key: "k", Job: "j", Tasks: 2, Kind: kind, AnswerDigest: xxhash.Sum64(a),
		}
	}
	start := func(attempt, task int, worker string) standin.Start {
		return standin.Start{Job: "j", Attempt: attempt, Task: task, Worker: worker, Key: "o/k"}
	}
	gang := []standin.Start{start(1, 0, "a"), start(1, 1, "b")}
	other := ended(client.Done)
	other.AnswerDigest++
	tests := []struct {
		name   string
		ended  standin.Ended
		starts []standin.Start
		want   string
	}{
		{"done once", ended(client.Done), gang, ""},
		{"refused and not started", ended(client.Refused), nil, ""},
		{"unknown and started", ended(client.Unknown), gang, "lost"},
		{"done and never started", ended(client.Done), nil, "lost"},
		{"refused and started", ended(client.Refused), gang, "refused as not run"},
		{"task started on two workers", ended(client.Done), append(gang[:2:2], start(1, 1, "c")), "duplicate start: task"},
		{"key started in two attempts", ended(client.Done), append(gang[:2:2], start(2, 0, "a"), start(2, 1, "b")), "duplicate start: key"},
		{"gang started in part", ended(client.Done), gang[:1], "partial"},
		{"answer of another job", other, gang, "wrong answer"},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			faults := standin.Check(standin.Report{Ended: []standin.Ended{x.ended}}, x.starts, l)
			if x.want == "" {
				require.Empty(t, faults)
				return
			}
			require.NotEmpty(t, faults)
			require.Contains(t, faults[0], x.want)
		})
	}
}

func TestTableCountsByProfile(t *testing.T) {
	r := standin.Report{Ended: []standin.Ended{
		{Profile: "audit", Kind: client.Done, TookMillis: 1500},
		{Profile: "audit", Kind: client.Done, TookMillis: 3000},
		{Profile: "audit", Kind: client.Unknown, TookMillis: 99_000},
		{Profile: "registration", Kind: client.Refused},
	}}
	var b bytes.Buffer
	require.NoError(t, r.WriteTable(&b))
	ls := strings.Split(b.String(), "\n")
	require.Equal(t, []string{"audit", "3", "2", "0", "1", "1.50", "s", "3.00", "s"}, strings.Fields(ls[1]))
	require.Equal(t, []string{"registration", "1", "0", "1", "0", "0.00", "s", "0.00", "s"}, strings.Fields(ls[2]))
}
