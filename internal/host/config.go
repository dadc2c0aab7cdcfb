package host

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/queue"
)

// reloadConfig applies the newest entry of each key before an offset. The evacuations come first, so that no job starts under the
// configuration before they are known.
func (h *Host) reloadConfig(es []port.Entry, before int64) {
	var cs []queue.EvacuationChange
	for _, e := range es {
		if c := h.decodeEvacuation(e); c != nil {
			cs = append(cs, *c)
		}
	}
	if h.evacuationLog.Reload(cs, before, h.clock.Now()) || h.evacuations.Load() == nil {
		h.publishEvacuations()
	}
	for _, e := range es {
		h.setConfig(e)
	}
}

// applyConfig applies one entry of the operator's topic.
func (h *Host) applyConfig(e port.Entry) {
	if c := h.decodeEvacuation(e); c != nil && h.evacuationLog.Apply(*c, h.clock.Now()) {
		h.publishEvacuations()
	}
	h.setConfig(e)
}

// decodeEvacuation returns the change of an evacuation in an entry, or nil if there is none.
func (h *Host) decodeEvacuation(e port.Entry) *queue.EvacuationChange {
	if h.deps.DecodeEvacuation == nil {
		return nil
	}
	c, err := h.deps.DecodeEvacuation(e)
	if err != nil {
		h.log.Warn("cannot decode evacuation", "Key", e.Key, "Offset", e.Offset, "Cause", err.Error())
	}
	return c
}

// publishEvacuations puts the evacuations in force for the engine, and logs those that have changed.
func (h *Host) publishEvacuations() {
	old, now := h.evacuations.Load(), h.evacuationLog.InForce()
	h.evacuations.Store(now)
	for _, x := range now.Find() {
		if !old.Has(x.Domain) {
			h.log.Info("evacuation requested", "FailureDomain", x.Domain, "Offset", x.Offset)
		}
	}
	for _, x := range old.Find() {
		if !now.Has(x.Domain) {
			h.log.Info("evacuation withdrawn", "FailureDomain", x.Domain, "After", h.clock.Since(x.Since).Round(time.Millisecond).String())
		}
	}
	h.scope.Gauge("domains_evacuated").Update(float64(len(now.Find())))
}

func (h *Host) setConfig(e port.Entry) {
	c, err := h.deps.DecodeConfig(e)
	if err != nil {
		h.log.Error("cannot decode configuration", "Offset", e.Offset, "Cause", err.Error())
		return
	}
	if c != nil {
		h.intake.SetConfig(c)
	}
}
