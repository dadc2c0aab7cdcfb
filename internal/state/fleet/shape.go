package fleet

import (
	"fmt"

	"github.com/pkg/errors"
)

// Bytes is an amount of memory.
type Bytes int64

// Units of memory.
const (
	Megabyte Bytes = 1 << 20
	Gigabyte Bytes = 1 << 30
)

// Level is the adjacency required between the tasks of a gang.
type Level string

// Levels of adjacency, closest first.
const (
	// LevelWorker keeps all tasks on one worker.
	LevelWorker Level = "Worker"
	// LevelRack keeps all tasks in one rack.
	LevelRack Level = "Rack"
	// LevelDomain keeps all tasks in one failure domain, on as few racks as possible.
	LevelDomain Level = "Domain"
)

// ErrShapeInvalid is returned for a shape that no gang can have.
var ErrShapeInvalid = errors.New("shape is invalid")

// Shape describes a gang of equal tasks, each of which needs one slot and the given resources on one worker.
type Shape struct {
	Tasks        int
	Accelerators int
	Processors   int
	Memory       Bytes
	Adjacent     Level
}

// TotalAccelerators returns the number of accelerators of the whole gang.
func (s Shape) TotalAccelerators() int {
	return s.Tasks * s.Accelerators
}

// Check returns ErrShapeInvalid, wrapped with the reason, if the shape is invalid.
func (s Shape) Check() error {
	switch {
	case s.Tasks < 1:
		return fmt.Errorf("shape with Tasks %d below 1: %w", s.Tasks, ErrShapeInvalid)
	case s.Accelerators < 0 || s.Processors < 0 || s.Memory < 0:
		return fmt.Errorf("shape with negative resources: %w", ErrShapeInvalid)
	case s.Adjacent != LevelWorker && s.Adjacent != LevelRack && s.Adjacent != LevelDomain:
		return fmt.Errorf("shape with Adjacent %q, not Worker, Rack or Domain: %w", s.Adjacent, ErrShapeInvalid)
	}
	return nil
}

// String formats the shape as tasks x accelerators per task / level, such as 4x8/Rack.
func (s Shape) String() string {
	return fmt.Sprintf("%dx%d/%s", s.Tasks, s.Accelerators, s.Adjacent)
}
