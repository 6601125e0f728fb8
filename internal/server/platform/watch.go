package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"forkhead/internal/protocol/platform"
	"forkhead/internal/server/clock"
)

const (
	streamIdleTimeout = 1500 * time.Millisecond // the platform sends a comment each second
	minPollBackoff    = 50 * time.Millisecond   // wait between polls without an event; doubled for each further one
	maxPollBackoff    = 400 * time.Millisecond
	streamBufferSize  = 16 << 10 // bytes
)

// Reasons for which the watcher cancels a stream.
var (
	errAddressChanged = errors.New("the watch address has changed")
	errStreamIdle     = errors.New("the watch stream is idle: neither event nor comment in time")
	errNoEvents       = errors.New("the watch stream has delivered no event within the event timeout")
)

// watchConfig is the configuration of a watcher.
type watchConfig struct {
	address        string
	last           uint64                // sequence number of the last known event; the watch starts after it
	initial        []platform.WatchEvent // the events up to there, oldest first; some or all may be missing
	connectTimeout time.Duration         // limit of the time to connect
	log            zerolog.Logger
	// deliver is called once for each event, in order, on the watcher's goroutine. restarted means that the sequence
	// numbers start again with this event, which is a snapshot.
	deliver func(event platform.WatchEvent, restarted bool)
}

// watcher follows the changes of the endpoint list on one goroutine.
type watcher struct {
	log     zerolog.Logger
	deliver func(event platform.WatchEvent, restarted bool)
	dialer  net.Dialer
	done    chan struct{} // closed when the goroutine has ended

	mu           sync.Mutex // guards address and cancelStream
	address      string
	cancelStream context.CancelCauseFunc // cancels the current stream; nil until the first poll

	// The fields below are used by the watcher's goroutine only.
	sequence  platform.Sequence
	intervals eventIntervals
	wait      responseWait
}

// startWatch watches the endpoint list until ctx ends.
func startWatch(ctx context.Context, config watchConfig) *watcher {
	w := &watcher{
		log: config.log, deliver: config.deliver, dialer: net.Dialer{Timeout: config.connectTimeout}, done: make(chan struct{}),
		address: config.address, sequence: platform.Sequence{Last: config.last},
	}
	for _, event := range config.initial {
		w.sequence.Applied(event)
	}
	go w.run(ctx)
	return w
}

// awaitEnd waits for the watcher's goroutine, which ends after its context.
func (w *watcher) awaitEnd() { <-w.done }

// setAddress continues the watch at another address, after the last event that was delivered.
func (w *watcher) setAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.address {
		return
	}
	w.address = address
	if w.cancelStream != nil {
		w.cancelStream(errAddressChanged)
	}
}

// run polls the endpoint list until ctx ends, with a backoff between polls that bring no event.
func (w *watcher) run(ctx context.Context) {
	defer close(w.done)
	backoff := time.Duration(0)
	for ctx.Err() == nil {
		last := w.sequence.Last
		canceled := w.poll(ctx)
		switch {
		case w.sequence.Last > last || canceled:
			backoff = 0
		case backoff == 0:
			backoff = minPollBackoff
		default:
			backoff = min(2*backoff, maxPollBackoff)
		}
		if err := clock.Sleep(ctx, backoff); err != nil {
			return
		}
	}
}

// poll follows one stream of events until it ends, fails or is canceled. It returns whether the stream was canceled: by
// a change of the address, by one of its timeouts or by ctx.
func (w *watcher) poll(ctx context.Context) (canceled bool) {
	stream, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w.mu.Lock()
	w.cancelStream = cancel
	address := w.address
	w.mu.Unlock()
	w.sequence.StreamOpened()
	err := w.read(stream, cancel, address)
	canceled = stream.Err() != nil
	if canceled {
		err = context.Cause(stream)
	}
	if errors.Is(err, errAddressChanged) {
		w.wait = responseWait{}
	}
	w.log.Debug().Err(err).Str("address", address).Msg("watch stream ended")
	return canceled
}

// read opens a stream and handles its events until the stream ends. It calls cancel when a timeout expires.
func (w *watcher) read(ctx context.Context, cancel context.CancelCauseFunc, address string) error {
	idle := newIdleTimer(w.wait.timeout(), func() { cancel(errStreamIdle) })
	defer idle.stop()
	noEvents := newIdleTimer(0, func() { cancel(errNoEvents) })
	defer noEvents.stop()
	began, answered := time.Now(), false
	defer func() {
		if !answered && errors.Is(context.Cause(ctx), errStreamIdle) {
			w.wait.expired()
		}
	}()
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: w.dialer.DialContext}
	defer transport.CloseIdleConnections()
	body, err := w.open(ctx, transport, address)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	events := platform.EventReader{OnComment: w.handleComment}
	buf := make([]byte, streamBufferSize)
	for {
		n, readErr := body.Read(buf)
		if ctx.Err() != nil {
			return ctx.Err() // drops the events that were read, as the address may have changed
		}
		if n > 0 {
			idle.reset(streamIdleTimeout)
		}
		if n > 0 && !answered {
			answered = true
			w.wait.answered(time.Since(began))
			noEvents.reset(w.intervals.nextTimeout())
		}
		var eventErr error
		feedErr := events.Feed(buf[:n], func(event platform.ServerSentEvent) {
			if err := w.handleEvent(event, eventErr == nil, noEvents); err != nil {
				eventErr = errors.Join(eventErr, err)
			}
		})
		if err := errors.Join(feedErr, eventErr, readErr); err != nil {
			return err
		}
	}
}

// open requests the events after the last delivered one from an address and returns the body of the response.
func (w *watcher) open(ctx context.Context, transport *http.Transport, address string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/changes", nil)
	if err != nil {
		return nil, fmt.Errorf("request the watch stream: %w", err)
	}
	request.Header.Set("Accept", "text/event-stream")
	request.Header.Set("Last-Event-ID", strconv.FormatUint(w.sequence.Last, 10))
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("open the watch stream: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, fmt.Errorf("open the watch stream: got status %s, want 200 OK", response.Status)
	}
	return response.Body, nil
}

// handleComment handles a comment, which means that no more events are waiting. If the comment shows that the sequence
// numbers have started again, handleComment delivers the events from the new start on.
func (w *watcher) handleComment() {
	for i, event := range w.sequence.StreamIdle() {
		w.deliver(event, i == 0)
	}
}

// handleEvent decodes an event and, if apply is set and the event is the next one of the sequence, delivers it. apply
// is false for the events that follow an error in the same read.
func (w *watcher) handleEvent(encoded platform.ServerSentEvent, apply bool, noEvents *idleTimer) error {
	event, err := platform.DecodeWatchEvent(encoded)
	if err != nil || !apply {
		return err
	}
	switch w.sequence.Next(event) {
	case platform.Resubscribe:
		return fmt.Errorf("watch event %d is not the next one: events before it are missing", event.Seq)
	case platform.ApplyEvent:
		w.intervals.add(time.Now())
		noEvents.reset(w.intervals.nextTimeout())
		w.deliver(event, false)
	}
	return nil
}
