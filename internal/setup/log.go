package setup

import "log/slog"

// Formats of the log.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// Log says what is logged and how.
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
