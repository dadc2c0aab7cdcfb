package main

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/host"
	"github.com/auburncleat/auburncleat/internal/setup"
)

// settingsPollInterval is the time between two checks for a change of the settings file without a signal.
const settingsPollInterval = 5 * time.Second

// reloader reloads the settings on SIGHUP and when the content of their file changes.
type reloader struct {
	path  string
	level *slog.LevelVar
	log   *slog.Logger
	// lastRead is the content of the file at the last read.
	lastRead []byte
}

func (r *reloader) run(ctx context.Context, h *host.Host) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	r.lastRead = r.read()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			r.lastRead = r.read()
			r.reload(h)
		case <-clock.System().After(settingsPollInterval):
			if b := r.read(); b != nil && !bytes.Equal(b, r.lastRead) {
				r.lastRead = b
				r.reload(h)
			}
		}
	}
}

// read returns the content of the file, or nil if it cannot be read.
func (r *reloader) read() []byte {
	b, err := os.ReadFile(r.path)
	if err != nil {
		r.log.Warn("settings file cannot be read", "Cause", err.Error())
		return nil
	}
	return b
}

// reload applies the settings file; an invalid file changes nothing.
func (r *reloader) reload(h *host.Host) {
	s, err := setup.LoadSite(r.path)
	if err != nil {
		r.log.Warn("settings not reloaded", "Cause", err.Error())
		return
	}
	r.level.Set(s.Log.Level)
	debug.SetMemoryLimit(memoryLimit(s))
	sections := h.Reload(s)
	r.log.Info("settings reloaded", "Level", s.Log.Level.String(), "MaxOpenJobs", s.Limits.MaxOpenJobs, "NeedStart", strings.Join(sections, ","))
}
