package replay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/pkg/errors"
)

// ErrInvalidEvent is returned for an event whose job is malformed or invalid.
var ErrInvalidEvent = errors.New("invalid trace event")

// Trace is a recorded timeline whose events contain what a replay needs.
type Trace struct {
	Name   string
	Events []events.Event
}

// ReadTrace reads a trace with one JSON event per line, in time order.
func ReadTrace(name string, r io.Reader) (Trace, error) {
	t := Trace{Name: name}
	s := bufio.NewScanner(r)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		var e events.Event
		if err := json.Unmarshal(s.Bytes(), &e); err != nil {
			return t, fmt.Errorf("decode event %d of trace %s: %w", len(t.Events)+1, name, err)
		}
		t.Events = append(t.Events, e)
	}
	if err := s.Err(); err != nil {
		return t, fmt.Errorf("read trace %s: %w", name, err)
	}
	return t, nil
}

// GroundTruth is the actual behaviour of a job, which its request does not state.
type GroundTruth struct {
	// Ran is the actual run time.
	Ran time.Duration
	// Fails is set for a job whose every attempt fails.
	Fails bool
	// Memory is the actual memory use of each task, or 0 when it is as declared.
	Memory fleet.Bytes
}

// JobText encodes a job as the text of a JobAccepted event, for ParseJob.
func JobText(j fleet.Job, t GroundTruth) string {
	var b strings.Builder
	s := j.Shape
	fmt.Fprintf(&b, "Tasks=%d Accelerators=%d Processors=%d MemoryMB=%d Adjacent=%s RunTime=%s Ran=%s",
		s.Tasks, s.Accelerators, s.Processors, s.Memory/fleet.Megabyte, s.Adjacent, j.RunTime, t.Ran)
	if j.Key != "" {
		fmt.Fprintf(&b, " Key=%s", j.Key)
	}
	if t.Fails {
		b.WriteString(" Fails=1")
	}
	if t.Memory > 0 {
		fmt.Fprintf(&b, " UsedMB=%d", t.Memory/fleet.Megabyte)
	}
	return b.String()
}

type fields map[string]string

func parseFields(text string) fields {
	out := fields{}
	for _, f := range strings.Fields(text) {
		k, v, _ := strings.Cut(f, "=")
		out[k] = v
	}
	return out
}

func (f fields) int(k string) int {
	n, _ := strconv.Atoi(f[k])
	return n
}

func (f fields) float(k string) float64 {
	x, _ := strconv.ParseFloat(f[k], 64)
	return x
}

func (f fields) duration(k string) time.Duration {
	d, _ := time.ParseDuration(f[k])
	return d
}

// ParseJob decodes the job of a JobAccepted event.
func ParseJob(e events.Event) (fleet.Job, GroundTruth, error) {
	f := parseFields(e.Text)
	j := fleet.Job{
		ID: e.Job, Organisation: e.Organisation, Profile: e.Profile, Key: f["Key"], Submitted: e.At.Time(),
		RunTime: f.duration("RunTime"), Stretch: f.float("Stretch"),
		Shape: fleet.Shape{
			Tasks: f.int("Tasks"), Accelerators: f.int("Accelerators"), Processors: f.int("Processors"),
			Memory: fleet.Bytes(f.int("MemoryMB")) * fleet.Megabyte, Adjacent: fleet.Level(f["Adjacent"]),
		},
	}
	t := GroundTruth{Ran: f.duration("Ran"), Fails: f["Fails"] != "", Memory: fleet.Bytes(f.int("UsedMB")) * fleet.Megabyte}
	if t.Ran <= 0 || j.Shape.Check() != nil {
		return j, t, fmt.Errorf("job %s with text %q: %w", e.Job, e.Text, ErrInvalidEvent)
	}
	return j, t, nil
}

// WorkerText encodes a worker as the text of a WorkerUp event, for ParseWorker.
func WorkerText(w fleet.Worker, faulty bool) string {
	t := fmt.Sprintf("Rack=%s Slots=%d Accelerators=%d Processors=%d MemoryMB=%d",
		w.Rack, w.Slots, w.Accelerators, w.Processors, w.Memory/fleet.Megabyte)
	if faulty {
		t += " Faulty=1"
	}
	return t
}

// ParseWorker decodes the worker of a WorkerUp event, and whether every task on it fails.
func ParseWorker(e events.Event) (fleet.Worker, bool) {
	f := parseFields(e.Text)
	return fleet.Worker{
		Name: e.Worker, Rack: f["Rack"], Slots: f.int("Slots"), Accelerators: f.int("Accelerators"),
		Processors: f.int("Processors"), Memory: fleet.Bytes(f.int("MemoryMB")) * fleet.Megabyte,
	}, f["Faulty"] != ""
}

// ParseConfig decodes the configuration of a ConfigInForce event.
func ParseConfig(e events.Event) (config.Config, error) {
	var c config.Config
	if err := json.Unmarshal([]byte(e.Text), &c); err != nil {
		return c, fmt.Errorf("decode configuration: %w", err)
	}
	return c, nil
}
