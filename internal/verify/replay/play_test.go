package replay_test

import (
	"bytes"
	"testing"

	"forkhead/internal/verify/replay"
)

func TestPlayFindsDivergence(t *testing.T) {
	text, err := record(t, 1<<20, nil)
	if err != nil {
		t.Fatal(err)
	}
	p, err := replay.Play(bytes.NewReader(text), nil)
	if err != nil || p.Steps != 6 || p.Divergence != nil || p.Truncated {
		t.Fatalf("%+v, %v", p, err)
	}
	if len(p.Events) == 0 {
		t.Fatal("nothing crossed the placer's sockets")
	}
	// Another output at one step is found there.
	text, err = record(t, 1<<20, func(n int, s *replay.Step) {
		if n == 2 {
			s.Out = []string{"Close {}"}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if p, err = replay.Play(bytes.NewReader(text), nil); err != nil || p.Divergence == nil || p.Divergence.Step != 2 || p.Divergence.Want != "Close {}" {
		t.Fatalf("%+v, %v", p, err)
	}
}

// A recording that is cut short anywhere is played as far as it goes, or rejected; never in part of a step.
func TestPlayTruncatedRecording(t *testing.T) {
	text, err := record(t, 1<<20, nil)
	if err != nil {
		t.Fatal(err)
	}
	for n := range len(text) {
		p, err := replay.Play(bytes.NewReader(text[:n]), nil)
		if err == nil && (!p.Truncated || p.Divergence != nil) {
			t.Fatalf("of %d bytes %d: %+v", len(text), n, p)
		}
	}
	if _, err := replay.Play(bytes.NewReader([]byte("no tape")), nil); err == nil {
		t.Fatal("what is no recording was played")
	}
}
