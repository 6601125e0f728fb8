package platform

import (
	"log/slog"
	"time"

	"github.com/rs/zerolog"

	platformcore "forkhead/internal/scheduler/platform"
)

// maxLogLinesPerSecond bounds the log lines of the core, except for errors.
const maxLogLinesPerSecond = 200

// logLimiter bounds the log lines in each second. It is used by the event loop's goroutine only.
type logLimiter struct {
	second  time.Duration // time of the current second's begin
	lines   int           // lines written in the current second
	leftOut int           // lines left out since the last report
}

// allows reports whether a line may be written now, and how many lines were left out in earlier seconds. A number above 0
// is reported once.
func (l *logLimiter) allows(now time.Duration, level slog.Level) (allowed bool, leftOut int) {
	if second := now.Truncate(time.Second); second != l.second {
		l.second, l.lines = second, 0
		leftOut, l.leftOut = l.leftOut, 0
	}
	if level >= slog.LevelError {
		return true, leftOut
	}
	l.lines++
	if l.lines > maxLogLinesPerSecond {
		l.leftOut++
		return false, leftOut
	}
	return true, leftOut
}

// writeLog writes a log line of the core, with one field for each attribute, unless the second has had too many lines.
func (s *Server) writeLog(now time.Duration, line platformcore.Log) {
	allowed, leftOut := s.logLimiter.allows(now, line.Level)
	if leftOut > 0 {
		s.log.Warn().Int("lines", leftOut).Msg("log lines left out")
	}
	if !allowed {
		return
	}
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
