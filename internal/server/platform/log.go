package platform

import (
	"log/slog"

	"github.com/rs/zerolog"

	platformcore "forkhead/internal/scheduler/platform"
)

// writeLog writes a log line of the core, with one field for each attribute.
func (s *Server) writeLog(line platformcore.Log) {
	event := s.log.WithLevel(logLevel(line.Level))
	for _, attribute := range line.Attributes {
		switch value := attribute.Value.Any().(type) {
		case error:
			event = event.AnErr(attribute.Key, value)
		default:
			event = event.Any(attribute.Key, value)
		}
	}
	event.Msg(line.Message)
}

// logLevel returns the zerolog level that corresponds to a slog level.
func logLevel(level slog.Level) zerolog.Level {
	switch {
	case level >= slog.LevelError:
		return zerolog.ErrorLevel
	case level >= slog.LevelWarn:
		return zerolog.WarnLevel
	case level >= slog.LevelInfo:
		return zerolog.InfoLevel
	}
	return zerolog.DebugLevel
}
