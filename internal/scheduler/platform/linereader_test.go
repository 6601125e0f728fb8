package platform

import (
	"slices"
	"testing"
	"time"
)

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
	feed(2*time.Second, "o") // the line has begun at 1 s all the same
	if !reader.isPartial() || reader.isStuck(2*time.Second, time.Second) || !reader.isStuck(2*time.Second+1, time.Second) {
		t.Errorf("a line is partial since %v, want 1s", reader.partialSince)
	}
	feed(3*time.Second, "\n")
	if reader.isPartial() || reader.isStuck(time.Hour, time.Second) {
		t.Error("a line that has ended counts as partial")
	}
	if want := []string{"one", "two"}; !slices.Equal(lines, want) {
		t.Errorf("lines %q, want %q", lines, want)
	}
}
