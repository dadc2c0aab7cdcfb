package mirror

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// JobFromWire converts a job from the peer protocol.
func JobFromWire(w *wire.Job) fleet.Job {
	return fleet.Job{
		ID:           w.GetId(),
		Organisation: w.GetOrganisation(),
		Profile:      w.GetProfile(),
		Key:          w.GetKey(),
		Shape:        shapeFromWire(w.GetShape()),
		RunTime:      time.Duration(w.GetRunTimeMillis()) * time.Millisecond,
		Submitted:    timeFromWire(w.GetSubmittedUnixMillis()),
		Deadline:     timeFromWire(w.GetDeadlineUnixMillis()),
		Work:         w.GetWork(),
		Domain:       w.GetDomain(),
		Progress:     time.Duration(w.GetProgressMillis()) * time.Millisecond,
		Attempt:      int(w.GetAttempt()),
	}
}

// JobToWire converts a job to the peer protocol.
func JobToWire(j fleet.Job) *wire.Job {
	return &wire.Job{
		Id:                  j.ID,
		Organisation:        j.Organisation,
		Profile:             j.Profile,
		Key:                 j.Key,
		Shape:               shapeToWire(j.Shape),
		RunTimeMillis:       j.RunTime.Milliseconds(),
		SubmittedUnixMillis: timeToWire(j.Submitted),
		DeadlineUnixMillis:  timeToWire(j.Deadline),
		Work:                j.Work,
		Domain:              j.Domain,
		ProgressMillis:      j.Progress.Milliseconds(),
		Attempt:             int32(j.Attempt),
	}
}

func shapeFromWire(w *wire.Shape) fleet.Shape {
	return fleet.Shape{
		Tasks:        int(w.GetTasks()),
		Accelerators: int(w.GetAccelerators()),
		Processors:   int(w.GetProcessors()),
		Memory:       fleet.Bytes(w.GetMemoryBytes()),
		Adjacent:     fleet.Level(w.GetAdjacent()),
	}
}

func shapeToWire(s fleet.Shape) *wire.Shape {
	return &wire.Shape{
		Tasks:        int32(s.Tasks),
		Accelerators: int32(s.Accelerators),
		Processors:   int32(s.Processors),
		MemoryBytes:  int64(s.Memory),
		Adjacent:     string(s.Adjacent),
	}
}

func timeFromWire(millis int64) time.Time {
	if millis == 0 {
		return time.Time{}
	}
	return time.UnixMilli(millis)
}

func timeToWire(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}
