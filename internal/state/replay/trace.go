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

// ErrTrace says that an event of a trace cannot be read.
var ErrTrace = errors.New("trace event cannot be read")

// Trace is a recorded time line with what a replay needs to know of each event.
type Trace struct {
	Name   string
	Events []events.Event
}

// Read reads a trace of one JSON event a line, in time order.
func Read(name string, r io.Reader) (Trace, error) {
	t := Trace{Name: name}
	s := bufio.NewScanner(r)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		var e events.Event
		if err := json.Unmarshal(s.Bytes(), &e); err != nil {
			return t, fmt.Errorf("read event %d of trace %s: %w", len(t.Events)+1, name, err)
		}
		t.Events = append(t.Events, e)
	}
	if err := s.Err(); err != nil {
		return t, fmt.Errorf("read trace %s: %w", name, err)
	}
	return t, nil
}

// Truth is what a trace knows of a job besides its request.
type Truth struct {
	// Ran is the real run time.
	Ran time.Duration
	// Fails is set for a job that can never run.
	Fails bool
	// Memory is the real use of each task, or 0 when it is as declared.
	Memory fleet.Bytes
}

// JobText renders what a JobAccepted event has to say of a job, for ParseJob.
func JobText(j fleet.Job, t Truth) string {
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

func parse(text string) fields {
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

func (f fields) duration(k string) time.Duration {
	d, _ := time.ParseDuration(f[k])
	return d
}

// ParseJob reads the job of a JobAccepted event.
func ParseJob(e events.Event) (fleet.Job, Truth, error) {
	f := parse(e.Text)
	j := fleet.Job{
		ID: e.Job, Organisation: e.Organisation, Profile: e.Profile, Key: f["Key"], Submitted: e.At.Time(),
		RunTime: f.duration("RunTime"),
		Shape: fleet.Shape{
			Tasks: f.int("Tasks"), Accelerators: f.int("Accelerators"), Processors: f.int("Processors"),
			Memory: fleet.Bytes(f.int("MemoryMB")) * fleet.Megabyte, Adjacent: fleet.Level(f["Adjacent"]),
		},
	}
	t := Truth{Ran: f.duration("Ran"), Fails: f["Fails"] != "", Memory: fleet.Bytes(f.int("UsedMB")) * fleet.Megabyte}
	if t.Ran <= 0 || j.Shape.Check() != nil {
		return j, t, fmt.Errorf("job %s with text %q: %w", e.Job, e.Text, ErrTrace)
	}
	return j, t, nil
}

// WorkerText renders what a WorkerUp event has to say of a worker, for ParseWorker.
func WorkerText(w fleet.Worker, faulty bool) string {
	t := fmt.Sprintf("Rack=%s Slots=%d Accelerators=%d Processors=%d MemoryMB=%d",
		w.Rack, w.Slots, w.Accelerators, w.Processors, w.Memory/fleet.Megabyte)
	if faulty {
		t += " Faulty=1"
	}
	return t
}

// ParseWorker reads the worker of a WorkerUp event, and whether it fails all that it runs.
func ParseWorker(e events.Event) (fleet.Worker, bool) {
	f := parse(e.Text)
	return fleet.Worker{
		Name: e.Worker, Rack: f["Rack"], Slots: f.int("Slots"), Accelerators: f.int("Accelerators"),
		Processors: f.int("Processors"), Memory: fleet.Bytes(f.int("MemoryMB")) * fleet.Megabyte,
	}, f["Faulty"] != ""
}

// ParseConfig reads the configuration of a ConfigInForce event.
func ParseConfig(e events.Event) (config.Config, error) {
	var c config.Config
	if err := json.Unmarshal([]byte(e.Text), &c); err != nil {
		return c, fmt.Errorf("read configuration: %w", err)
	}
	return c, nil
}
