package platform

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxBufferedEvents bounds the number of events that are buffered until it is known whether the sequence was restarted.
	maxBufferedEvents = 1024
	// maxEventDigests bounds the number of applied events that a repetition is compared with.
	maxEventDigests = 1024
)

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
// restarted, unless each of them is the same as the event that was applied under its number. A snapshot with an old number
// at any other time is outdated.
//
// The zero value expects number 1. A Sequence is not safe for concurrent use.
type Sequence struct {
	Last        uint64       // number of the last event that was applied
	requested   uint64       // number of the missing event for which Next last returned Resubscribe; 0: none
	streamFresh bool         // no event has been received on the stream
	buffered    []WatchEvent // a snapshot and the events that follow it without a gap
	applied     eventDigests
}

// eventDigests holds hashes of the contents of the latest events that were applied.
type eventDigests struct {
	byNumber map[uint64]uint64
	order    []uint64 // numbers, oldest first
}

// add adds an event. Beyond maxEventDigests the oldest is dropped.
func (d *eventDigests) add(event WatchEvent) {
	digest, ok := eventDigest(event)
	if !ok {
		return
	}
	if d.byNumber == nil {
		d.byNumber = map[uint64]uint64{}
	}
	if len(d.order) == maxEventDigests {
		delete(d.byNumber, d.order[0])
		d.order = d.order[1:]
	}
	d.byNumber[event.Seq] = digest
	d.order = append(d.order, event.Seq)
}

// containsAll reports whether all events have been added with the same contents.
func (d *eventDigests) containsAll(events []WatchEvent) bool {
	for _, event := range events {
		digest, ok := eventDigest(event)
		if known, found := d.byNumber[event.Seq]; !ok || !found || digest != known {
			return false
		}
	}
	return true
}

// eventDigest returns a hash of an event's content, or ok false if the event cannot be encoded.
func eventDigest(event WatchEvent) (digest uint64, ok bool) {
	data, err := json.Marshal(event)
	return xxhash.Sum64(data), err == nil
}

// Applied records an event that was applied before the first stream.
func (s *Sequence) Applied(event WatchEvent) {
	s.applied.add(event)
	s.Last = max(s.Last, event.Seq)
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
	s.applied.add(event)
	return ApplyEvent
}

// StreamIdle handles a stream that is idle: the watch has no further events at present. It returns the events of a
// restarted sequence, which the caller applies in order; usually there are none. Events that repeat applied ones stay
// buffered: a later event on the stream may still show that the sequence was restarted.
func (s *Sequence) StreamIdle() []WatchEvent {
	if len(s.buffered) == 0 || s.applied.containsAll(s.buffered) {
		return nil
	}
	restarted := s.buffered
	s.buffered = nil
	s.Last, s.requested, s.applied = restarted[len(restarted)-1].Seq, 0, eventDigests{}
	for _, event := range restarted {
		s.applied.add(event)
	}
	return restarted
}
