package fleet

// Limits of what one worker has and one task asks for, so that sums over all workers or tasks cannot overflow.
const (
	MaxAccelerators = 1 << 16
	// MaxProcessors is in the unit in which workers report theirs.
	MaxProcessors       = 1 << 30
	MaxMemory     Bytes = 1 << 30 * Megabyte
)
