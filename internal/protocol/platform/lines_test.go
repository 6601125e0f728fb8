package platform

import (
	"bytes"
	"errors"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// feed feeds a stream in chunks of the given sizes, with the rest in one chunk, and returns its lines.
func feed(s *LineSplitter, stream []byte, sizes []int) (lines []string, err error) {
	for len(stream) > 0 && err == nil {
		n := len(stream)
		if len(sizes) > 0 {
			n = min(max(sizes[0], 1), n)
			sizes = sizes[1:]
		}
		err = s.Feed(stream[:n], func(line []byte) error {
			lines = append(lines, string(line))
			return nil
		})
		stream = stream[n:]
	}
	return lines, err
}

// However a stream is split into chunks, its lines are the same, and no more than one line is buffered.
func TestLineSplitterReadsSameLinesFromAnyChunks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := rapid.SliceOfN(rapid.SampledFrom([]byte("ab\r\n{}")), 0, 300).Draw(t, "stream")
		if rapid.Bool().Draw(t, "long") {
			stream = append(stream, bytes.Repeat([]byte("x"), MaxLineSize+1)...)
		}
		sizes := rapid.SliceOfN(rapid.IntRange(1, 40), 0, 50).Draw(t, "sizes")
		var whole, chunked LineSplitter
		want, wantErr := feed(&whole, stream, nil)
		got, err := feed(&chunked, stream, sizes)
		if !slices.Equal(want, got) || !errors.Is(err, wantErr) {
			t.Fatalf("lines of %q in chunks: got %q, error %v; want %q, error %v, as in one chunk", stream, got, err, want, wantErr)
		}
		if len(chunked.partial) > MaxLineSize {
			t.Fatalf("buffered bytes after the stream: got %d, want at most %d", len(chunked.partial), MaxLineSize)
		}
	})
}

// A line of MaxLineSize bytes is read. A longer one is an error, with or without its end, and is not buffered.
func TestLineSplitterRejectsLinesOverMaxLineSize(t *testing.T) {
	var s LineSplitter
	if lines, err := feed(&s, append(bytes.Repeat([]byte("x"), MaxLineSize), '\n'), []int{5}); err != nil || len(lines) != 1 {
		t.Errorf("line of MaxLineSize bytes: got %d lines, error %v; want 1 line, no error", len(lines), err)
	}
	if err := s.Feed(bytes.Repeat([]byte("x"), 60<<20), nil); !errors.Is(err, ErrLineTooLong) || s.HasPartialLine() {
		t.Errorf("60 MiB without a line feed: got error %v, partial line %t; want %v, none", err, s.HasPartialLine(), ErrLineTooLong)
	}
	if err := s.Feed(append(bytes.Repeat([]byte("x"), MaxLineSize+1), '\n'), nil); !errors.Is(err, ErrLineTooLong) {
		t.Errorf("complete line of MaxLineSize+1 bytes: got error %v, want %v", err, ErrLineTooLong)
	}
}
