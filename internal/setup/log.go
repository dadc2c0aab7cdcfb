package setup

import "log/slog"

// Log formats.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// Log sets the level and the format of the log.
type Log struct {
	Level  slog.Level
	Format string
}

func loadLog(s *section) Log {
	var l Log
	v := s.oneOf("Level", "info", "debug", "info", "warn", "error")
	_ = l.Level.UnmarshalText([]byte(v))
	l.Format = s.oneOf("Format", FormatText, FormatText, FormatJSON)
	return l
}
