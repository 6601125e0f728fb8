package platform

import (
	"bytes"
	"errors"
	"log/slog"
	"testing"

	"github.com/rs/zerolog"

	platformcore "forkhead/internal/scheduler/platform"
)

// A line of the core keeps its level, its constant message and one field for each attribute.
func TestServerWritesLogLinesWithTypedFields(t *testing.T) {
	line := platformcore.Log{
		Level: slog.LevelError, Message: "offer vetoed",
		Attributes: []slog.Attr{slog.Uint64("task", 7), slog.String("host", "s-00000001"), slog.Any("error", errors.New("fit: no"))},
	}
	var written bytes.Buffer
	(&Server{log: zerolog.New(&written)}).writeLog(line)
	const want = `{"level":"error","task":7,"host":"s-00000001","error":"fit: no","message":"offer vetoed"}` + "\n"
	if got := written.String(); got != want {
		t.Errorf("written %s, want %s", got, want)
	}

	var hidden bytes.Buffer
	line.Level = slog.LevelInfo
	(&Server{log: zerolog.New(&hidden).Level(zerolog.WarnLevel)}).writeLog(line)
	if hidden.Len() > 0 {
		t.Errorf("a line below the level of the log is written: %s", hidden.String())
	}
}
