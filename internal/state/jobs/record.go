package jobs

import (
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"google.golang.org/protobuf/proto"
)

// Prefixes of the keys of job, end, cancellation and unit records. Any host may write a job record, and several do when
// a client repeats a request; only owners write end and unit records.
const (
	jobPrefix    = "j/"
	endPrefix    = "e/"
	cancelPrefix = "c/"
	unitPrefix   = "u/"
)

// Record is one keyed entry of the store; a record without a value is a tombstone of its key.
type Record struct {
	Key   string
	Value []byte
}

// JobRecord returns the record of an accepted job.
func JobRecord(j *Job) (Record, error) {
	return encodeJob(jobPrefix+j.ID, ToWire(j))
}

// ToWire converts a job to the message that is stored and sent to other hosts.
func ToWire(j *Job) *wire.BatchJob {
	m := &wire.BatchJob{
		Id: j.ID, Organisation: j.Organisation, Queue: j.Queue, Spec: j.Spec, AcceptedUnixNanos: j.Accepted.UnixNano(),
	}
	for i := range j.Steps {
		m.Steps = append(m.Steps, encodeStep(&j.Steps[i]))
	}
	if t := j.Times; t != nil {
		m.Times = &wire.BatchTimes{Count: int32(t.Count), FirstUnixNanos: t.First.UnixNano(), EveryNanos: int64(t.Every)}
	}
	m.Terms = encodeTerms(j.Terms)
	return m
}

func encodeTerms(t *Terms) *wire.BatchTerms {
	if t == nil {
		return nil
	}
	return &wire.BatchTerms{
		Service: t.Service, Urgency: int32(t.Urgency.Rank()), MaxAttempts: int32(t.MaxAttempts), Stretch: t.Stretch,
		ObjectiveNanos: int64(t.Objective),
	}
}

func decodeTerms(m *wire.BatchTerms) *Terms {
	if m == nil {
		return nil
	}
	return &Terms{
		Service: m.GetService(), Urgency: config.UrgencyOf(int(m.GetUrgency())), MaxAttempts: int(m.GetMaxAttempts()),
		Stretch: m.GetStretch(), Objective: time.Duration(m.GetObjectiveNanos()),
	}
}

// EndRecord returns the record of an ended job, with its identity, state, reason and times but without its steps.
func EndRecord(j *Job) (Record, error) {
	return encodeJob(endPrefix+j.ID, &wire.BatchJob{
		Id: j.ID, Organisation: j.Organisation, Queue: j.Queue, Reason: j.Reason, State: wire.BatchState(j.State),
		AcceptedUnixNanos: j.Accepted.UnixNano(), EndedUnixNanos: j.Ended.UnixNano(),
	})
}

func encodeJob(key string, m *wire.BatchJob) (Record, error) {
	b, err := proto.Marshal(m)
	if err != nil {
		return Record{}, fmt.Errorf("encode job %s: %w", m.GetId(), err)
	}
	return Record{Key: key, Value: b}, nil
}

func encodeStep(s *Step) *wire.BatchStep {
	m := &wire.BatchStep{
		Tasks: int32(s.Tasks), Processors: int64(s.Processors), MemoryBytes: int64(s.Memory),
		Accelerators: int32(s.Accelerators), EstimateNanos: int64(s.Estimate), Gang: s.Gang, Adjacent: s.Adjacent,
		Checkpoints: s.Checkpoints, Label: s.Label, Rack: s.Rack, PerWorker: int32(s.PerWorker),
		Lasts: s.Lasts, MayMiss: int32(s.MayMiss),
	}
	for _, a := range s.After {
		m.After = append(m.After, int32(a))
	}
	return m
}

func decodeStep(m *wire.BatchStep) Step {
	s := Step{
		Tasks: int(m.GetTasks()), Processors: int(m.GetProcessors()), Memory: fleet.Bytes(m.GetMemoryBytes()),
		Accelerators: int(m.GetAccelerators()), Estimate: time.Duration(m.GetEstimateNanos()), Gang: m.GetGang(),
		Adjacent: m.GetAdjacent(), Checkpoints: m.GetCheckpoints(), Label: m.GetLabel(), Rack: m.GetRack(),
		PerWorker: int(m.GetPerWorker()), Lasts: m.GetLasts(), MayMiss: int(m.GetMayMiss()),
	}
	for _, a := range m.GetAfter() {
		s.After = append(s.After, int(a))
	}
	return s
}

func decodeJob(b []byte) (*Job, error) {
	var m wire.BatchJob
	if err := proto.Unmarshal(b, &m); err != nil {
		return nil, fmt.Errorf("decode job: %w", err)
	}
	return FromWire(&m), nil
}

// FromWire converts the message of ToWire to a job.
func FromWire(m *wire.BatchJob) *Job {
	j := &Job{
		ID: m.GetId(), Organisation: m.GetOrganisation(), Queue: m.GetQueue(), Spec: m.GetSpec(),
		Accepted: time.Unix(0, m.GetAcceptedUnixNanos()), State: State(m.GetState()), Reason: m.GetReason(),
	}
	if t := m.GetTimes(); t != nil {
		j.Times = &Times{
			Count: int(t.GetCount()), First: time.Unix(0, t.GetFirstUnixNanos()), Every: time.Duration(t.GetEveryNanos()),
		}
	}
	j.Terms = decodeTerms(m.GetTerms())
	if j.State != Open {
		j.Ended = time.Unix(0, m.GetEndedUnixNanos())
	}
	for _, s := range m.GetSteps() {
		j.Steps = append(j.Steps, decodeStep(s))
	}
	return j
}

// JobTombstone returns the tombstone of a job record.
func JobTombstone(id string) Record {
	return Record{Key: jobPrefix + id}
}

// EndTombstone returns the tombstone of an end record.
func EndTombstone(id string) Record {
	return Record{Key: endPrefix + id}
}

// CancelRecord returns the record of a caller's cancellation of a job.
func CancelRecord(id string) Record {
	return Record{Key: cancelPrefix + id, Value: []byte{1}}
}

// CancelTombstone returns the tombstone of a cancellation record.
func CancelTombstone(id string) Record {
	return Record{Key: cancelPrefix + id}
}

// PurgeRecords returns the records that delete the end of a job, and records that a host stored after the end as it had not
// read that yet.
func PurgeRecords(id string) []Record {
	return []Record{EndTombstone(id), CancelTombstone(id), JobTombstone(id)}
}

// UnitRecord returns the record of the newest run of a unit.
func UnitRecord(u *Unit) (Record, error) {
	m := &wire.BatchUnit{
		Job: u.Key.Job, Step: int32(u.Key.Step), Index: int32(u.Key.Index), Run: int32(u.Run),
		Failures: int32(u.Failures), Result: wire.BatchResult(u.Result), Checkpoint: u.Checkpoint,
		ProgressNanos: int64(u.Progress), Occurrence: int32(u.Key.Occurrence), MaxAttempts: int32(u.MaxAttempts),
		Unbegun: u.IsUnbegun,
	}
	if u.Result == Running {
		for _, x := range u.Members {
			m.Members = append(m.Members, &wire.BatchMember{Worker: x.Worker, Instance: x.Instance, Settled: x.IsSettled})
		}
	}
	b, err := proto.Marshal(m)
	if err != nil {
		return Record{}, fmt.Errorf("encode unit %s: %w", u.Key, err)
	}
	return Record{Key: unitPrefix + u.Key.String(), Value: b}, nil
}

// UnitTombstone returns the tombstone of a unit record.
func UnitTombstone(k UnitKey) Record {
	return Record{Key: unitPrefix + k.String()}
}

func decodeUnit(b []byte) (*Unit, error) {
	var m wire.BatchUnit
	if err := proto.Unmarshal(b, &m); err != nil {
		return nil, fmt.Errorf("decode unit: %w", err)
	}
	u := &Unit{
		Key: UnitKey{
			Job: m.GetJob(), Occurrence: int(m.GetOccurrence()), Step: int(m.GetStep()), Index: int(m.GetIndex()),
		},
		Run: int(m.GetRun()), Failures: int(m.GetFailures()), Result: Result(m.GetResult()),
		Checkpoint: m.GetCheckpoint(), Progress: time.Duration(m.GetProgressNanos()), MaxAttempts: int(m.GetMaxAttempts()),
		IsUnbegun: m.GetUnbegun(),
	}
	for _, x := range m.GetMembers() {
		u.Members = append(u.Members, Member{Worker: x.GetWorker(), Instance: x.GetInstance(), IsSettled: x.GetSettled()})
	}
	return u, nil
}
