package fleet

import (
	"fmt"

	"github.com/pkg/errors"
)

// Bytes is an amount of memory.
type Bytes int64

// Sizes of memory.
const (
	Megabyte Bytes = 1 << 20
	Gigabyte Bytes = 1 << 30
)

// Level says how close together the tasks of a gang have to be.
type Level string

// Levels of adjacency, closest first.
const (
	// LevelWorker keeps all tasks on one worker.
	LevelWorker Level = "Worker"
	// LevelRack keeps all tasks in one rack.
	LevelRack Level = "Rack"
	// LevelDomain uses the fewest racks of one failure domain.
	LevelDomain Level = "Domain"
)

// ErrShapeInvalid says that a shape cannot describe any gang.
var ErrShapeInvalid = errors.New("shape is invalid")

// Shape is a gang of equal tasks; each task takes one slot and the stated resources of one worker.
type Shape struct {
	Tasks        int
	Accelerators int
	Processors   int
	Memory       Bytes
	Adjacent     Level
}

// TotalAccelerators returns the accelerators of the whole gang.
func (s Shape) TotalAccelerators() int {
	return s.Tasks * s.Accelerators
}

// Check returns ErrShapeInvalid with the reason when no gang can have the shape.
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

// String renders the shape as tasks times accelerators with its level.
func (s Shape) String() string {
	return fmt.Sprintf("%dx%d/%s", s.Tasks, s.Accelerators, s.Adjacent)
}
