package platform

// maxBufferedEvents bounds the number of events that are buffered until it is known whether the sequence was restarted.
const maxBufferedEvents = 1024

// EventAction is what to do with an event of the watch.
type EventAction int

// The actions that Sequence.Next returns.
const (
	SkipEvent   EventAction = iota // the event was applied before, or Sequence has buffered it
	ApplyEvent                     // the event is the next one
	Resubscribe                    // events before this one are missing: subscribe again after Last
)

// Sequence orders the events of the watch by their numbers. Each event is applied once; missing events are requested
// again once.
//
// After the numbers of its events have started again, a watch answers the next subscription with a snapshot whose
// number has already been applied. A watch that merely sends all its events again answers in the same way. Therefore
// such a snapshot and the events that follow it are buffered. If they reach the number Last, after which the
// subscription asked for events, they are a repetition. If the stream becomes idle before that, the sequence was
// restarted. A snapshot with an old number at any other time is outdated.
//
// The zero value expects number 1. A Sequence is not safe for concurrent use.
type Sequence struct {
	Last        uint64       // number of the last event that was applied
	requested   uint64       // number of the missing event for which Next last returned Resubscribe; 0: none
	streamFresh bool         // no event has been received on the stream
	buffered    []WatchEvent // a snapshot and the events that follow it without a gap
}

// StreamOpened must be called when a new stream is opened, with a subscription to the events after Last.
func (s *Sequence) StreamOpened() { s.streamFresh, s.buffered = true, nil }

// Next returns what to do with an event. If the events before it are still missing after a new subscription, the watch
// has skipped their numbers: no event is missing, and the event is applied.
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

// StreamIdle handles a stream that is idle: the watch has no further events at present. It returns the events of a
// restarted sequence, which the caller applies in order; usually there are none.
func (s *Sequence) StreamIdle() []WatchEvent {
	restarted := s.buffered
	s.buffered = nil
	if len(restarted) > 0 {
		s.Last, s.requested = restarted[len(restarted)-1].Seq, 0
	}
	return restarted
}
