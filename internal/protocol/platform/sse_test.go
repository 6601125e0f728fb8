package platform

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// However the stream is split into chunks, the events are the same. An incomplete event at its end is dropped, and an
// event that exceeds the maximum size is an error.
func TestEventReaderReadsSameEventsFromAnyChunks(t *testing.T) {
	stream := ": hello\n\nid: 7\ndata: {\"seq\":7,\ndata: \"x\":1}\n\n:\r\n\r\nid: 8\r\ndata: {\"seq\":8}\r\n\r\nid: 9\ndata: {\"se"
	rapid.Check(t, func(t *rapid.T) {
		var e EventReader
		var got []string
		for rest := []byte(stream); len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "n")
			if err := e.Feed(rest[:n], func(ev ServerSentEvent) { got = append(got, fmt.Sprint(ev.ID, " ", string(ev.Data))) }); err != nil {
				t.Fatalf("Feed(%q): got error %v, want nil", rest[:n], err)
			}
			rest = rest[n:]
		}
		if want := []string{"7 {\"seq\":7,\n\"x\":1}", `8 {"seq":8}`}; !slices.Equal(got, want) {
			t.Fatalf("Feed(%q) in chunks: got events %q, want %q", stream, got, want)
		}
	})
	var e EventReader
	if err := e.Feed([]byte("data: "+strings.Repeat("x", MaxEventSize)), nil); !errors.Is(err, ErrEventTooLarge) {
		t.Errorf("Feed of an event over %d bytes: got error %v, want %v", MaxEventSize, err, ErrEventTooLarge)
	}
}

// A comment, which means that the watch is idle, is reported in its place between the events.
func TestEventReaderReportsCommentsInOrder(t *testing.T) {
	var seen []string
	e := EventReader{OnComment: func() { seen = append(seen, "rest") }}
	err := e.Feed([]byte("id: 1\ndata: x\n\n:\n\ndata: y\n: beat\r\n\n"), func(ev ServerSentEvent) { seen = append(seen, string(ev.Data)) })
	if want := []string{"x", "rest", "rest", "y"}; err != nil || !slices.Equal(seen, want) {
		t.Errorf("Feed of events and comments: got %v, error %v; want %v, no error", seen, err, want)
	}
}
