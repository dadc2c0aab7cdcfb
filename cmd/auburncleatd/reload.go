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

// settingsInterval is the time between two looks whether the settings have changed without a signal.
const settingsInterval = 5 * time.Second

// reloader reads the settings again on SIGHUP, and when the file has changed.
type reloader struct {
	path  string
	level *slog.LevelVar
	log   *slog.Logger
	// last is the content that was read last.
	last []byte
}

func (r *reloader) run(ctx context.Context, h *host.Host) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	r.last = r.read()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			r.last = r.read()
			r.reload(h)
		case <-clock.System().After(settingsInterval):
			if b := r.read(); b != nil && !bytes.Equal(b, r.last) {
				r.last = b
				r.reload(h)
			}
		}
	}
}

// read returns the content of the file, or nil while it cannot be read.
func (r *reloader) read() []byte {
	b, err := os.ReadFile(r.path)
	if err != nil {
		r.log.Warn("settings cannot be read", "Cause", err.Error())
		return nil
	}
	return b
}

// reload puts the settings in force; faulty ones change nothing.
func (r *reloader) reload(h *host.Host) {
	s, err := setup.LoadSite(r.path)
	if err != nil {
		r.log.Warn("settings not reloaded", "Cause", err.Error())
		return
	}
	r.level.Set(s.Log.Level)
	debug.SetMemoryLimit(memoryLimit(s))
	need := h.Reload(s)
	r.log.Info("settings reloaded", "Level", s.Log.Level.String(), "MaxOpenJobs", s.Limits.MaxOpenJobs, "NeedStart", strings.Join(need, ","))
}
