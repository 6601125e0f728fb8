package platform

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

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
	(&Server{log: zerolog.New(&written)}).writeLog(time.Second, line)
	const want = `{"level":"error","task":7,"host":"s-00000001","error":"fit: no","message":"offer vetoed"}` + "\n"
	if got := written.String(); got != want {
		t.Errorf("writeLog(%+v) wrote %s, want %s", line, got, want)
	}

	var filtered bytes.Buffer
	line.Level = slog.LevelInfo
	(&Server{log: zerolog.New(&filtered).Level(zerolog.WarnLevel)}).writeLog(time.Second, line)
	if filtered.Len() > 0 {
		t.Errorf("writeLog(info) to a logger of level warn wrote %s, want nothing", filtered.String())
	}
}

// A second has at most maxLogLinesPerSecond lines besides errors. The next one begins with the number of lines left out.
func TestServerBoundsLogLinesPerSecond(t *testing.T) {
	var written bytes.Buffer
	s := &Server{log: zerolog.New(&written)}
	info, failure := platformcore.Log{Level: slog.LevelInfo, Message: "line"}, platformcore.Log{Level: slog.LevelError, Message: "failure"}
	for range maxLogLinesPerSecond + 30 {
		s.writeLog(time.Second, info)
	}
	s.writeLog(1900*time.Millisecond, failure)
	if got := strings.Count(written.String(), "\n"); got != maxLogLinesPerSecond+1 || !strings.Contains(written.String(), "failure") {
		t.Errorf("%d lines and an error within a second: wrote %d lines, want %d with the error", maxLogLinesPerSecond+30, got, maxLogLinesPerSecond+1)
	}
	written.Reset()
	s.writeLog(2*time.Second, info)
	const want = `{"level":"warn","lines":30,"message":"log lines left out"}` + "\n" + `{"level":"info","message":"line"}` + "\n"
	if written.String() != want {
		t.Errorf("in the next second: wrote %s, want %s", written.String(), want)
	}
}
