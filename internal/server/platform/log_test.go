package platform

import (
	"bytes"
	"errors"
	"log/slog"
	"testing"

	"github.com/rs/zerolog"

	platformcore "forkhead/internal/scheduler/platform"
)

// A log line of the core is written with its level, its message and one field for each attribute, unless its level is
// below that of the logger.
func TestServerWritesLogLinesWithTypedFields(t *testing.T) {
	line := platformcore.Log{
		Level: slog.LevelError, Message: "offer vetoed",
		Attributes: []slog.Attr{slog.Uint64("task", 7), slog.String("host", "s-00000001"), slog.Any("error", errors.New("fit: no"))},
	}
	var written bytes.Buffer
	(&Server{log: zerolog.New(&written)}).writeLog(line)
	const want = `{"level":"error","task":7,"host":"s-00000001","error":"fit: no","message":"offer vetoed"}` + "\n"
	if got := written.String(); got != want {
		t.Errorf("writeLog(%+v) wrote %s, want %s", line, got, want)
	}

	var filtered bytes.Buffer
	line.Level = slog.LevelInfo
	(&Server{log: zerolog.New(&filtered).Level(zerolog.WarnLevel)}).writeLog(line)
	if filtered.Len() > 0 {
		t.Errorf("writeLog(info) to a logger of level warn wrote %s, want nothing", filtered.String())
	}
}
