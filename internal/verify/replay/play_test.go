package replay_test

import (
	"bytes"
	"testing"

	"forkhead/internal/verify/replay"
)

// Play must report no divergence for an unchanged recording, and the first differing step and line for a changed one.
func TestPlayFindsDivergence(t *testing.T) {
	text, err := record(t, 1<<20, nil)
	if err != nil {
		t.Fatal(err)
	}
	p, err := replay.Play(bytes.NewReader(text), nil)
	if err != nil || p.Steps != 6 || p.Divergence != nil || p.Truncated {
		t.Fatalf("Play(recording) = %+v, %v, want 6 steps, no divergence, not truncated", p, err)
	}
	if len(p.Events) == 0 {
		t.Fatal("Play(recording): got no captured events, want some")
	}
	text, err = record(t, 1<<20, func(n int, s *replay.Step) {
		if n == 2 {
			s.Out = []string{"Close {}"}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if p, err = replay.Play(bytes.NewReader(text), nil); err != nil || p.Divergence == nil || p.Divergence.Step != 2 || p.Divergence.Want != "Close {}" {
		t.Fatalf("Play(recording with another output in step 2) = %+v, %v, want a divergence at step 2 from %q", p, err, "Close {}")
	}
}

// A placer that is killed leaves a recording that ends anywhere. Play must replay its complete steps without a
// divergence, or return an error; it must not replay a part of a step.
func TestPlayTruncatedRecording(t *testing.T) {
	text, err := record(t, 1<<20, nil)
	if err != nil {
		t.Fatal(err)
	}
	for n := range len(text) {
		p, err := replay.Play(bytes.NewReader(text[:n]), nil)
		if err == nil && (!p.Truncated || p.Divergence != nil) {
			t.Fatalf("Play(first %d of %d bytes) = %+v, want it truncated and without divergence, or an error", n, len(text), p)
		}
	}
	if _, err := replay.Play(bytes.NewReader([]byte("no tape")), nil); err == nil {
		t.Fatalf("Play(%q): got no error, want one", "no tape")
	}
}
