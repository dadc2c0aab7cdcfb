package trace

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"
)

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// line holds the fields of a log line that tell the history of a job; fields that a line lacks are zero.
type line struct {
	At           time.Time `json:"time"`
	Message      string    `json:"msg"`
	Host         string
	Job          string
	Unit         string
	Run          int
	Queue        string
	Organisation string
	Objective    string
	Stretch      float64
	Workers      int
	First        string
	Reason       string
	Result       string
	State        int
	Method       string
	Path         string
	Status       int
	Cause        string
	To           string
	Outcome      string
	Domain       string
	// Silent is how long the former owner had not renewed its term when this host claimed.
	Silent string
}

// Log is the log of one or more hosts in the order of time.
type Log struct {
	lines []line
	// Skipped counts the lines that are not log lines of a host.
	Skipped int
}

// IsEmpty reports whether no log line was read.
func (l *Log) IsEmpty() bool {
	return len(l.lines) == 0
}

// Read adds the lines of a log; text before the JSON object of a line, such as the prefix of a log collector, is ignored.
func (l *Log) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, maxLineBytes/16), maxLineBytes)
	for s.Scan() {
		x, ok := parseLine(s.Bytes())
		if !ok {
			l.Skipped++
			continue
		}
		l.lines = append(l.lines, x)
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	slices.SortStableFunc(l.lines, func(a, b line) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Host, b.Host))
	})
	return nil
}

// parseLine decodes a line. Fields of a type that the history does not expect belong to other messages and are left zero.
func parseLine(b []byte) (line, bool) {
	i := bytes.IndexByte(b, '{')
	if i < 0 {
		return line{}, false
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(b[i:], &fields); err != nil {
		return line{}, false
	}
	var x line
	for name, to := range map[string]any{
		"time": &x.At, "msg": &x.Message, "Host": &x.Host, "Job": &x.Job, "Unit": &x.Unit, "Run": &x.Run, "Queue": &x.Queue,
		"Organisation": &x.Organisation, "Objective": &x.Objective, "Stretch": &x.Stretch, "Workers": &x.Workers,
		"First": &x.First, "Reason": &x.Reason, "Result": &x.Result, "State": &x.State, "Method": &x.Method, "Path": &x.Path,
		"Status": &x.Status, "Cause": &x.Cause, "To": &x.To, "Outcome": &x.Outcome,
		"Domain": &x.Domain, "Silent": &x.Silent,
	} {
		if v, ok := fields[name]; ok {
			_ = json.Unmarshal(v, to) // A field of another type belongs to a message that is not part of the history.
		}
	}
	return x, !x.At.IsZero() && x.Message != ""
}
