package platform

import (
	"slices"
	"testing"
)

// Each event is applied once. Missing events are requested again once. If the watch does not send them after that
// request either, it has skipped their numbers, and no event is missing.
func TestSequenceAppliesEachEventOnce(t *testing.T) {
	s := Sequence{Last: 3}
	for i, c := range []struct {
		seq  uint64
		want EventAction
	}{
		{3, SkipEvent}, {4, ApplyEvent}, {4, SkipEvent}, {7, Resubscribe}, // 5, 6 are missing; the next stream has them
		{5, ApplyEvent}, {6, ApplyEvent}, {7, ApplyEvent}, {9, Resubscribe}, // 8 is missing, also in the next stream
		{9, ApplyEvent}, {10, ApplyEvent}, {12, Resubscribe},
	} {
		if got := s.Next(WatchEvent{Seq: c.seq}); got != c.want {
			t.Errorf("step %d: Next(event %d) = %d, want %d (0: SkipEvent, 1: ApplyEvent, 2: Resubscribe)", i, c.seq, got, c.want)
		}
	}
}

// Guards against a list that is set back: a watch breaks off and sends its first events again, as it may write events
// twice, and then only comments. They are the same as those that were applied under their numbers, so the sequence was
// not restarted. A different event under such a number shows that it was, also when it comes after a comment.
func TestSequenceSkipsRepeatedEventsOfIdleStream(t *testing.T) {
	ev := func(seq uint64, snapshot bool, host string) WatchEvent {
		return WatchEvent{Seq: seq, Endpoints: &EndpointList{Snapshot: snapshot, Hosts: []Endpoint{{Name: host}}}}
	}
	newSequence := func() *Sequence {
		s := &Sequence{}
		s.Applied(ev(1, true, "a"))
		s.StreamOpened()
		for seq := uint64(2); seq <= 4; seq++ {
			if got := s.Next(ev(seq, false, "a")); got != ApplyEvent {
				t.Fatalf("Next(event %d) = %d, want %d (ApplyEvent)", seq, got, ApplyEvent)
			}
		}
		s.StreamOpened()
		return s
	}
	for name, again := range map[string][]WatchEvent{
		"the first":        {ev(1, true, "a")},
		"the first two":    {ev(1, true, "a"), ev(2, false, "a")},
		"all but the last": {ev(1, true, "a"), ev(2, false, "a"), ev(3, false, "a")},
	} {
		s := newSequence()
		for _, event := range again {
			s.Next(event)
		}
		if got := s.StreamIdle(); len(got) != 0 || s.Last != 4 {
			t.Errorf("%s again, then a comment: got %d events of a restart and last number %d, want none and 4", name, len(got), s.Last)
		}
		if got := s.Next(ev(5, false, "b")); got != ApplyEvent {
			t.Errorf("%s again, then a new event: Next = %d, want %d (ApplyEvent)", name, got, ApplyEvent)
		}
	}
	s := newSequence()
	s.Next(ev(1, true, "a"))
	s.StreamIdle()
	s.Next(ev(2, false, "b"))
	if got := s.StreamIdle(); len(got) != 2 || s.Last != 2 {
		t.Errorf("a different second event after a comment: got %d events of a restart and last number %d, want 2 and 2", len(got), s.Last)
	}
}

// The digests of applied events are bounded.
func TestSequenceBoundsDigests(t *testing.T) {
	s := Sequence{}
	for seq := uint64(1); seq <= 3*maxEventDigests; seq++ {
		s.Next(WatchEvent{Seq: seq})
	}
	if len(s.applied.byNumber) != maxEventDigests || len(s.applied.order) != maxEventDigests {
		t.Errorf("after %d events: got %d digests and %d numbers, want %d", 3*maxEventDigests, len(s.applied.byNumber), len(s.applied.order), maxEventDigests)
	}
}

// Events that a watch sends again are skipped, the events of a restarted sequence are applied once the stream is idle,
// and a snapshot with an old number in the middle of a stream is skipped.
func TestSequenceRestarts(t *testing.T) {
	ev := func(seq uint64, snapshot bool) WatchEvent {
		return WatchEvent{Seq: seq, Endpoints: &EndpointList{Snapshot: snapshot}}
	}
	for name, c := range map[string]struct {
		events    []WatchEvent
		applied   []uint64 // numbers of the events that are applied at once
		restarted []uint64 // numbers of the events that are applied when the stream is idle
		last      uint64   // Sequence.Last at the end
	}{
		"repeated":                      {[]WatchEvent{ev(1, true), ev(2, false), ev(3, false), ev(4, false), ev(5, false), ev(6, false)}, []uint64{6}, nil, 6},
		"repeated, the newest at once":  {[]WatchEvent{ev(4, true), ev(5, true), ev(6, false)}, []uint64{6}, nil, 6},
		"restarted":                     {[]WatchEvent{ev(1, true), ev(2, false)}, nil, []uint64{1, 2}, 2},
		"an old snapshot in the middle": {[]WatchEvent{ev(6, false), ev(2, true), ev(3, false), ev(7, false)}, []uint64{6, 7}, nil, 7},
		"no snapshot":                   {[]WatchEvent{ev(1, false), ev(2, false)}, nil, nil, 5},
		"a snapshot over a gap":         {[]WatchEvent{ev(9, true), ev(10, false)}, []uint64{9, 10}, nil, 10},
	} {
		s := Sequence{Last: 5}
		s.StreamOpened()
		var applied, restarted []uint64
		for _, event := range c.events {
			switch s.Next(event) {
			case Resubscribe:
				t.Errorf("%s: Next(event %d) = Resubscribe, want ApplyEvent or SkipEvent", name, event.Seq)
			case ApplyEvent:
				applied = append(applied, event.Seq)
			}
		}
		for _, event := range s.StreamIdle() {
			restarted = append(restarted, event.Seq)
		}
		if !slices.Equal(applied, c.applied) || !slices.Equal(restarted, c.restarted) || s.Last != c.last {
			t.Errorf("%s: got applied %v, restarted %v, last %d; want %v, %v, %d", name, applied, restarted, s.Last, c.applied, c.restarted, c.last)
		}
	}
}
