package platform

import (
	"slices"
	"testing"
	"time"
)

// A line that arrives in pieces is timed from its first byte. If later pieces reset the time, a sender could keep a
// line open for ever.
func TestLineReaderMeasuresPartialLines(t *testing.T) {
	var reader lineReader
	var lines []string
	feed := func(now time.Duration, data string) {
		t.Helper()
		if err := reader.feed(now, []byte(data), func(line []byte) error { lines = append(lines, string(line)); return nil }); err != nil {
			t.Fatal(err)
		}
	}
	feed(1*time.Second, "one\ntw")
	feed(2*time.Second, "o") // the line still counts as begun at 1 s
	if !reader.isPartial() || reader.isStuck(2*time.Second, time.Second) || !reader.isStuck(2*time.Second+1, time.Second) {
		t.Errorf("at 2 s, after a partial line that began at 1 s: partialSince = %v, want 1s; isPartial() = %v, want true; "+
			"isStuck with a timeout of 1 s = %v at 2 s and %v 1 ns later, want false and true", reader.partialSince, reader.isPartial(),
			reader.isStuck(2*time.Second, time.Second), reader.isStuck(2*time.Second+1, time.Second))
	}
	feed(3*time.Second, "\n")
	if reader.isPartial() || reader.isStuck(time.Hour, time.Second) {
		t.Errorf("after the end of the line: isPartial() = %v, isStuck an hour later = %v, want false for both",
			reader.isPartial(), reader.isStuck(time.Hour, time.Second))
	}
	if want := []string{"one", "two"}; !slices.Equal(lines, want) {
		t.Errorf("feed(%q, %q, %q): got lines %q, want %q", "one\ntw", "o", "\n", lines, want)
	}
}
