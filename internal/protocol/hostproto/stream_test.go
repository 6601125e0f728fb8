package hostproto

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func drawMilliseconds(t *rapid.T, name string) time.Duration {
	return time.Duration(rapid.Uint32().Draw(t, name)) * time.Millisecond
}

func drawRef(t *rapid.T) Ref {
	return Ref{rapid.Uint64().Draw(t, "epoch"), rapid.Uint32().Draw(t, "task"), rapid.Uint8().Draw(t, "attempt")}
}

func drawSpec(t *rapid.T) Spec {
	return Spec{
		Key: rapid.Uint64().Draw(t, "key"), Service: rapid.Uint64().Draw(t, "service"),
		Name: rapid.StringN(0, 100, MaxTextSize).Draw(t, "name"), Class: rapid.StringN(0, 20, 80).Draw(t, "class"),
		Effect: rapid.Uint8Range(0, 2).Draw(t, "effect"), Cores: rapid.Uint32().Draw(t, "cores"), Life: drawMilliseconds(t, "life"),
	}
}

func drawReport(t *rapid.T) *Report {
	if rapid.Bool().Draw(t, "reported") {
		return &Report{Cores: rapid.Float32().Draw(t, "cores"), Queue: 3}
	}
	return nil
}

// frameDrawers has a function for each type of frame, which draws a frame of that type.
var frameDrawers = []func(t *rapid.T) Frame{
	func(t *rapid.T) Frame {
		return Hello{1, rapid.Uint16().Draw(t, "placer"), rapid.Uint64().Draw(t, "epoch"), rapid.Uint32().Draw(t, "conn")}
	},
	func(t *rapid.T) Frame {
		payload := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "payload")
		if len(payload) == 0 {
			payload = nil
		}
		return Offer{drawRef(t), drawMilliseconds(t, "wait"), drawSpec(t), payload}
	},
	func(t *rapid.T) Frame { return Withdraw{drawRef(t)} },
	func(t *rapid.T) Frame { return Stop{drawRef(t), drawMilliseconds(t, "grace")} },
	func(t *rapid.T) Frame { return Probe{rapid.Uint32().Draw(t, "id")} },
	func(t *rapid.T) Frame {
		refs := make([]Ref, rapid.IntRange(0, 20).Draw(t, "refs"))
		for i := range refs {
			refs[i] = drawRef(t)
		}
		return Query{refs}
	},
	func(t *rapid.T) Frame {
		return Welcome{
			1, "host", rapid.Uint64().Draw(t, "epoch"), time.Duration(rapid.Int64Range(0, 1<<60).Draw(t, "started")),
			rapid.Bool().Draw(t, "draining"), 3,
		}
	},
	func(t *rapid.T) Frame {
		held := make([]Held, rapid.IntRange(0, 5).Draw(t, "held"))
		for i := range held {
			held[i] = Held{drawRef(t), Phase(rapid.IntRange(0, 2).Draw(t, "phase")), drawMilliseconds(t, "left"), drawSpec(t)}
		}
		return Holds{held}
	},
	func(t *rapid.T) Frame {
		return Refused{drawRef(t), Reason(rapid.IntRange(0, 4).Draw(t, "reason")), drawReport(t)}
	},
	func(t *rapid.T) Frame { return Accepted{drawRef(t)} },
	func(t *rapid.T) Frame { return Running{drawRef(t)} },
	func(t *rapid.T) Frame {
		return Note{drawRef(t), rapid.Uint8().Draw(t, "kind"), rapid.Float32().Draw(t, "amount")}
	},
	func(t *rapid.T) Frame {
		return Ended{drawRef(t), Result(rapid.IntRange(0, 7).Draw(t, "result")), drawReport(t)}
	},
	func(t *rapid.T) Frame { return Probed{rapid.Uint32().Draw(t, "id"), drawReport(t)} },
	func(t *rapid.T) Frame { return Drain{rapid.Bool().Draw(t, "on")} },
	func(t *rapid.T) Frame { return Bye{rapid.StringN(0, 50, 200).Draw(t, "text")} },
}

func drawFrame(t *rapid.T) Frame {
	return frameDrawers[rapid.IntRange(0, len(frameDrawers)-1).Draw(t, "frame")](t)
}

// Encoded frames are decoded to the same frames, wherever the stream is split into chunks.
func TestDecoderReadsEncodedFramesFromAnyChunks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var want, got []Frame
		var stream []byte
		for range rapid.IntRange(1, 8).Draw(t, "frames") {
			f := drawFrame(t)
			want = append(want, f)
			stream = Append(stream, f)
		}
		var d Decoder
		for len(stream) > 0 {
			n := min(rapid.IntRange(1, 60).Draw(t, "size"), len(stream))
			if err := d.Feed(stream[:n], func(f Frame) error { got = append(got, f); return nil }); err != nil {
				t.Fatalf("Feed(%x): got error %v, want nil", stream[:n], err)
			}
			stream = stream[n:]
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("frames decoded from chunks (-want +got):\n%s", diff)
		}
	})
}

// A malformed frame is an error, and no frame after it is decoded.
func TestDecoderRejectsMalformedStreams(t *testing.T) {
	good := Append(nil, Offer{Ref: Ref{1, 2, 3}, Spec: Spec{Name: "a/b/1"}, Payload: []byte("{}")})
	for name, c := range map[string]struct {
		stream []byte
		want   error
	}{
		"too long":         {[]byte{0xff, 0xff, 0xff, 0x7f, 1}, ErrFrameTooLong},
		"empty":            {[]byte{0, 0, 0, 0, 1}, ErrTruncated},
		"unknown code":     {[]byte{1, 0, 0, 0, 99}, ErrUnknownCode},
		"truncated":        {[]byte{3, 0, 0, 0, 2, 1, 1}, ErrTruncated},
		"trailing":         {[]byte{6, 0, 0, 0, 5, 1, 1, 1, 1, 9}, ErrTrailingBytes},
		"truth value of 7": {[]byte{2, 0, 0, 0, 40, 7}, ErrInvalidValue},
		"many refs":        {append([]byte{3, 0, 0, 0, 6}, 0xff, 0xff), ErrInvalidValue},
		"many held":        {append([]byte{3, 0, 0, 0, 33}, 0xff, 0xff), ErrInvalidValue},
		"after a good one": {append(append([]byte{}, good...), 1, 0, 0, 0, 99), ErrUnknownCode},
	} {
		var d Decoder
		err := d.Feed(c.stream, func(Frame) error { return nil })
		if !errors.Is(err, c.want) {
			t.Errorf("%s: Feed(%x): got error %v, want %v", name, c.stream, err, c.want)
		}
		if again := d.Feed(good, func(f Frame) error {
			t.Errorf("%s: Feed after the error: got frame %+v, want none", name, f)
			return nil
		}); !errors.Is(again, c.want) {
			t.Errorf("%s: Feed after the error: got error %v, want %v again", name, again, c.want)
		}
	}
}

// A frame that is decoded can be encoded and decoded again, and no more than one frame is buffered.
func FuzzDecode(f *testing.F) {
	f.Add(Append(nil, Hello{1, 2, 3, 4}))
	f.Add(Append(nil, Offer{Ref: Ref{1, 2, 3}, Spec: Spec{Name: "a/b/1"}, Payload: []byte("{}")}))
	f.Add(Append(nil, Holds{[]Held{{Phase: PhaseRunning, Spec: Spec{Name: "x"}}}}))
	f.Add([]byte{0xff, 0xff, 0, 0, 33})
	f.Fuzz(func(t *testing.T, data []byte) {
		var d Decoder
		_ = d.Feed(data, func(f Frame) error {
			again, err := Decode(Append(nil, f)[4:])
			if err != nil {
				t.Fatalf("Decode after Append of %+v: got error %v, want nil", f, err)
			}
			_ = again
			return nil
		})
		if len(d.partial) > MaxFrameSize+4 {
			t.Fatalf("bytes that are buffered after Feed(%x): got %d, want at most %d", data, len(d.partial), MaxFrameSize+4)
		}
	})
}

func BenchmarkDecodeOffer(b *testing.B) {
	p := Append(nil, Offer{Ref: Ref{1, 2, 3}, Spec: Spec{Name: "shop/web/1", Class: "web"}, Payload: []byte(`{"image":"web:1"}`)})
	var d Decoder
	b.ReportAllocs()
	for b.Loop() {
		_ = d.Feed(p, func(Frame) error { return nil })
	}
}
