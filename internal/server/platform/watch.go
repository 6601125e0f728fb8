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
	minPollBackoff    = 50 * time.Millisecond   // between polls without an event, doubled each time
	maxPollBackoff    = 400 * time.Millisecond
	streamBufferSize  = 16 << 10
)

// Reasons why a stream of the watch was closed.
var (
	errAddressChanged = errors.New("the watch address has changed")
	errStreamIdle     = errors.New("nothing came for too long")
	errNoEvents       = errors.New("no event came for too long")
)

// watchConfig is what a watcher runs with.
type watchConfig struct {
	address        string
	last           uint64        // the number of the event to begin after
	connectTimeout time.Duration // bounds the making of a connection
	log            zerolog.Logger
	// deliver takes each event once, in order, on the watcher's goroutine. restarted means that the numbers begin again
	// with this one, a snapshot.
	deliver func(event platform.WatchEvent, restarted bool)
}

// watcher follows the changes of the endpoint list from one goroutine.
type watcher struct {
	log     zerolog.Logger
	deliver func(event platform.WatchEvent, restarted bool)
	dialer  net.Dialer
	done    chan struct{} // closed when the goroutine has ended

	mu           sync.Mutex // guards what follows
	address      string
	cancelStream context.CancelCauseFunc // nil: no stream was opened yet

	// Of the watcher's goroutine.
	sequence  platform.Sequence
	intervals eventIntervals
}

// startWatch watches the endpoint list until ctx ends.
func startWatch(ctx context.Context, config watchConfig) *watcher {
	w := &watcher{
		log: config.log, deliver: config.deliver, dialer: net.Dialer{Timeout: config.connectTimeout}, done: make(chan struct{}),
		address: config.address, sequence: platform.Sequence{Last: config.last},
	}
	go w.run(ctx)
	return w
}

// wait returns when the watch has ended, after its context.
func (w *watcher) wait() { <-w.done }

// setAddress goes on at another address after the same event.
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

// run polls the endpoint list, over and over, until ctx ends.
func (w *watcher) run(ctx context.Context) {
	defer close(w.done)
	backoff := time.Duration(0)
	for ctx.Err() == nil {
		last := w.sequence.Last
		canceled := w.poll(ctx)
		switch {
		case w.sequence.Last > last || canceled:
			backoff = 0 // at once
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

// poll follows one stream of events until it ends, breaks or is canceled, and returns whether it was canceled: by a change
// of the address, by its timeouts or by ctx.
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
	w.log.Debug().Err(err).Str("address", address).Msg("watch stream ended")
	return canceled
}

// read opens a stream and handles its events.
func (w *watcher) read(ctx context.Context, cancel context.CancelCauseFunc, address string) error {
	idle := newIdleTimer(streamIdleTimeout, func() { cancel(errStreamIdle) })
	defer idle.stop()
	noEvents := newIdleTimer(w.intervals.nextTimeout(), func() { cancel(errNoEvents) })
	defer noEvents.stop()
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: w.dialer.DialContext}
	defer transport.CloseIdleConnections()
	body, err := w.open(ctx, transport, address)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	events := platform.EventReader{OnComment: w.takeComment}
	buf := make([]byte, streamBufferSize)
	for {
		n, readErr := body.Read(buf)
		if ctx.Err() != nil {
			return ctx.Err() // what comes after a change of the address is the old address's, and doesn't count any more
		}
		if n > 0 {
			idle.reset(streamIdleTimeout)
		}
		var eventErr error
		feedErr := events.Feed(buf[:n], func(event platform.ServerSentEvent) {
			if err := w.takeEvent(event, eventErr == nil, noEvents); err != nil {
				eventErr = errors.Join(eventErr, err)
			}
		})
		if err := errors.Join(feedErr, eventErr, readErr); err != nil {
			return err
		}
	}
}

// open requests the events after the last one from an address.
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
		return nil, fmt.Errorf("open the watch stream: the answer is %s", response.Status)
	}
	return response.Body, nil
}

// takeComment delivers the events with which the numbers begin again, if that shows now: a comment means that nothing more
// comes for the moment.
func (w *watcher) takeComment() {
	for i, event := range w.sequence.StreamIdle() {
		w.deliver(event, i == 0)
	}
}

// takeEvent delivers an event if it counts. After an error the others of the same read are only decoded.
func (w *watcher) takeEvent(encoded platform.ServerSentEvent, good bool, noEvents *idleTimer) error {
	event, err := platform.DecodeWatchEvent(encoded)
	if err != nil || !good {
		return err
	}
	switch w.sequence.Next(event) {
	case platform.Resubscribe:
		return fmt.Errorf("events before %d are missing", event.Seq)
	case platform.ApplyEvent:
		w.intervals.add(time.Now())
		noEvents.reset(w.intervals.nextTimeout())
		w.deliver(event, false)
	}
	return nil
}
