package platform

import (
	"bytes"
	"errors"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// feed gives a stream in chunks and returns its lines.
func feed(s *LineSplitter, stream []byte, cuts []int) (lines []string, err error) {
	for len(stream) > 0 && err == nil {
		n := len(stream)
		if len(cuts) > 0 {
			n = min(max(cuts[0], 1), n)
			cuts = cuts[1:]
		}
		err = s.Feed(stream[:n], func(line []byte) error {
			lines = append(lines, string(line))
			return nil
		})
		stream = stream[n:]
	}
	return lines, err
}

// However a stream is cut, its lines are the same, and no more than a line is buffered.
func TestLineSplitterIgnoresChunks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := rapid.SliceOfN(rapid.SampledFrom([]byte("ab\r\n{}")), 0, 300).Draw(t, "stream")
		if rapid.Bool().Draw(t, "long") {
			stream = append(stream, bytes.Repeat([]byte("x"), MaxLineSize+1)...)
		}
		cuts := rapid.SliceOfN(rapid.IntRange(1, 40), 0, 50).Draw(t, "cuts")
		var whole, parts LineSplitter
		a, errA := feed(&whole, stream, nil)
		b, errB := feed(&parts, stream, cuts)
		if !slices.Equal(a, b) || !errors.Is(errB, errA) {
			t.Fatalf("%q and %v in one piece, %q and %v in parts", a, errA, b, errB)
		}
		if len(parts.partial) > MaxLineSize {
			t.Fatalf("%d bytes are buffered", len(parts.partial))
		}
	})
}

func TestLineSplitterBoundsLines(t *testing.T) {
	var s LineSplitter
	if lines, err := feed(&s, append(bytes.Repeat([]byte("x"), MaxLineSize), '\n'), []int{5}); err != nil || len(lines) != 1 {
		t.Errorf("a line of just the bound: %v", err)
	}
	if err := s.Feed(bytes.Repeat([]byte("x"), 60<<20), nil); !errors.Is(err, ErrLineTooLong) || s.HasPartialLine() {
		t.Errorf("60 MiB without an end: %v", err)
	}
	if err := s.Feed(append(bytes.Repeat([]byte("x"), MaxLineSize+1), '\n'), nil); !errors.Is(err, ErrLineTooLong) {
		t.Errorf("a line past the bound that ends: %v", err)
	}
}
