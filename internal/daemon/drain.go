package daemon

import "sync/atomic"

// drain says whether the host still takes new requests.
type drain struct {
	leaving atomic.Bool
}

func newDrain() *drain {
	return &drain{}
}

func (d *drain) start() {
	d.leaving.Store(true)
}

func (d *drain) isLeaving() bool {
	return d.leaving.Load()
}
