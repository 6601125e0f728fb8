package platform

// maxBufferedEvents bounds the events that are buffered until it shows whether the sequence was restarted.
const maxBufferedEvents = 1024

// EventAction is what to do with an event of the watch.
type EventAction int

// The actions that Sequence.Next returns.
const (
	SkipEvent   EventAction = iota // it was applied before, or is buffered
	ApplyEvent                     // it is the next
	Resubscribe                    // events between are missing: subscribe again after Last
)

// Sequence keeps the events of the watch in order by their numbers: each is applied once, and a gap is requested
// once more.
//
// A watch whose sequence was restarted answers the next subscription with a snapshot under a number that was applied
// before; so does a watch that repeats everything. Such events are buffered. If they reach the number that was
// subscribed after, they are a repetition; if the stream goes idle before, the sequence was restarted. A snapshot
// under an old number at any other moment is outdated.
//
// The zero value expects number 1. It is not safe for use by several goroutines at once.
type Sequence struct {
	Last        uint64       // number of the last event that was applied
	requested   uint64       // the missing number that the stream was last opened again for; 0: none
	streamFresh bool         // nothing has come on the stream
	buffered    []WatchEvent // a snapshot and the events that follow it without a gap
}

// StreamOpened begins a stream that was subscribed to after Last.
func (s *Sequence) StreamOpened() { s.streamFresh, s.buffered = true, nil }

// Next returns what to do with an event. If a gap persists after resubscribing, numbers were skipped and no event is
// missing.
func (s *Sequence) Next(event WatchEvent) EventAction {
	streamFresh := s.streamFresh
	s.streamFresh = false
	if n := len(s.buffered); n > 0 {
		if event.Seq == s.buffered[n-1].Seq+1 && event.Seq < s.Last && n < maxBufferedEvents {
			s.buffered = append(s.buffered, event)
			return SkipEvent
		}
		s.buffered = nil
	}
	next := s.Last + 1
	switch {
	case streamFresh && event.IsSnapshot() && event.Seq < s.Last:
		s.buffered = []WatchEvent{event}
		return SkipEvent
	case event.Seq <= s.Last:
		return SkipEvent
	case event.Seq > next && !event.IsSnapshot() && s.requested != next:
		s.requested = next
		return Resubscribe
	}
	s.Last = event.Seq
	return ApplyEvent
}

// StreamIdle means that the watch has nothing more for now. It returns the events of a restarted sequence, which are to
// be applied in their order; usually there are none.
func (s *Sequence) StreamIdle() []WatchEvent {
	restarted := s.buffered
	s.buffered = nil
	if len(restarted) > 0 {
		s.Last, s.requested = restarted[len(restarted)-1].Seq, 0
	}
	return restarted
}
