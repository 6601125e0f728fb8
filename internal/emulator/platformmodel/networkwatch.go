package platformmodel

import (
	"bytes"
	"fmt"
	"time"

	"forkhead/internal/protocol/platform"
	platformcore "forkhead/internal/scheduler/platform"
)

const (
	watchRedialDelay = 50 * time.Millisecond   // time from the end of a stream to the next attempt
	watchIdleTimeout = 1500 * time.Millisecond // time after which a stream without data is closed
)

// networkWatch is the watch client of an incarnation of a placer.
type networkWatch struct {
	placer   *networkPlacer
	sequence platform.Sequence
	conn     *networkConn // current stream; nil: the watch is stopped
	head     []byte       // received part of the response head; nil: the head is complete
	events   platform.EventReader
	lastData time.Duration // when data was received last, or the stream was opened
}

// newNetworkWatch opens a watch that continues after the events that a placer was started with.
func newNetworkWatch(p *networkPlacer, initial []platform.WatchEvent) *networkWatch {
	w := &networkWatch{placer: p}
	for _, e := range initial {
		w.sequence.Last = max(w.sequence.Last, e.Seq)
	}
	w.open()
	return w
}

// open opens the next stream.
func (w *networkWatch) open() {
	n := w.placer.network
	c := &networkConn{placer: w.placer}
	c.endpoint = watchEndpoint{w, c}
	w.conn, w.head, w.lastData = c, []byte{}, n.now
	w.events = platform.EventReader{OnComment: w.handleComment}
	w.sequence.StreamOpened()
	n.dial(c, n.Emulator.WatchAddress(), func(err error) {
		if err != nil {
			w.reopen(c)
			return
		}
		n.send(c, fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: watch\r\nLast-Event-ID: %d\r\n\r\n", watchPath, w.sequence.Last))
		w.checkIdle(c)
	})
}

// reopen closes a stream and schedules the next one after watchRedialDelay. It does nothing if the stream is not the
// current one.
func (w *networkWatch) reopen(c *networkConn) {
	if w.conn != c {
		return
	}
	w.placer.close(c)
	w.conn = &networkConn{closed: true} // takes the place of the closed stream until the next one is opened
	placeholder := w.conn
	w.placer.network.after(watchRedialDelay, func() {
		if w.conn == placeholder {
			w.open()
		}
	})
}

func (w *networkWatch) stop() { w.conn = nil }

// checkIdle reopens the watch when a stream has received no data for watchIdleTimeout.
func (w *networkWatch) checkIdle(c *networkConn) {
	n := w.placer.network
	n.after(w.lastData+watchIdleTimeout-n.now, func() {
		switch {
		case w.conn != c:
		case n.now >= w.lastData+watchIdleTimeout:
			w.reopen(c)
		default:
			w.checkIdle(c)
		}
	})
}

// handleComment handles a comment, which means that the stream is idle. If the sequence was restarted, handleComment
// delivers the events of the new sequence.
func (w *networkWatch) handleComment() {
	for i, event := range w.sequence.StreamIdle() {
		w.placer.step(platformcore.WatchEventReceived{Event: event, SequenceRestarted: i == 0})
	}
}

// handleEvent delivers an event to the core if it is the next one of the sequence. If events before this one are
// missing, handleEvent reopens the watch.
func (w *networkWatch) handleEvent(c *networkConn, encoded platform.ServerSentEvent) {
	if w.conn != c {
		return
	}
	event, err := platform.DecodeWatchEvent(encoded)
	if err != nil {
		w.reopen(c)
		return
	}
	switch w.sequence.Next(event) {
	case platform.Resubscribe:
		w.reopen(c)
	case platform.ApplyEvent:
		w.placer.step(platformcore.WatchEventReceived{Event: event})
	}
}

// watchEndpoint is the placer's end of a stream of the watch.
type watchEndpoint struct {
	watch *networkWatch
	conn  *networkConn
}

func (e watchEndpoint) received(data []byte) {
	w := e.watch
	if w.conn != e.conn {
		return
	}
	w.lastData = w.placer.network.now
	if w.head != nil {
		head, body, complete := bytes.Cut(append(w.head, data...), []byte("\r\n\r\n"))
		if !complete {
			w.head = head
			return
		}
		w.head, data = nil, body
	}
	if err := w.events.Feed(data, func(event platform.ServerSentEvent) { w.handleEvent(e.conn, event) }); err != nil {
		w.reopen(e.conn)
	}
}

func (e watchEndpoint) disconnected() { e.watch.reopen(e.conn) }
