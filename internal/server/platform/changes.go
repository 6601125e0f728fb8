package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"forkhead/internal/protocol/platform"
)

// Times of the change log.
const (
	silentLog   = 1500 * time.Millisecond // a comment comes each second
	ownStall    = 100 * time.Millisecond  // a timer that fires so late tells of this process, not of the log
	logRest     = 50 * time.Millisecond   // between calls that fail, doubled each time
	logRestMost = 400 * time.Millisecond
)

// changes follows the change log until it is stopped.
type changes struct {
	log  zerolog.Logger
	take func(ch platform.WatchEvent, anew bool)
	dial net.Dialer
	done sync.WaitGroup

	mu      sync.Mutex
	address string
	seq     platform.Sequence
	pace    pace
	cancel  context.CancelFunc
	ended   bool
}

// follow begins behind the event of that number. connect bounds the making of a connection.
func follow(address string, last uint64, connect time.Duration, log zerolog.Logger, take func(ch platform.WatchEvent, anew bool)) *changes {
	c := &changes{
		log: log, take: take, dial: net.Dialer{Timeout: connect}, address: address, seq: platform.Sequence{Last: last},
		cancel: func() {},
	}
	c.done.Add(1)
	go c.run()
	return c
}

// move goes on at another address with the same number.
func (c *changes) move(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address != c.address {
		c.address = address
		c.cancel()
	}
}

func (c *changes) stop() {
	c.mu.Lock()
	c.ended = true
	c.cancel()
	c.mu.Unlock()
	c.done.Wait()
}

func (c *changes) run() {
	defer c.done.Done()
	rest := time.Duration(0)
	for {
		c.mu.Lock()
		if c.ended {
			c.mu.Unlock()
			return
		}
		ctx, cancel := context.WithCancel(context.Background())
		c.cancel = cancel
		address, last := c.address, c.seq.Last
		c.seq.StreamOpened()
		c.mu.Unlock()
		err := c.read(ctx, cancel, address, last)
		moved := ctx.Err() != nil
		cancel()
		c.mu.Lock()
		came := c.seq.Last > last
		c.mu.Unlock()
		c.log.Debug().Err(err).Str("at", address).Msg("the change log broke off")
		switch {
		case came || moved:
			rest = 0 // at once
		case rest == 0:
			rest = logRest
		default:
			rest = min(2*rest, logRestMost)
		}
		time.Sleep(rest)
	}
}

// read follows one stream until it ends, breaks, falls silent or stays without an event for too long.
func (c *changes) read(ctx context.Context, cancel func(), address string, last uint64) error {
	heard := newWatch(silentLog, cancel)
	defer heard.stop()
	told := newWatch(c.pace.patience(), cancel)
	defer told.stop()
	tr := &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: c.dial.DialContext}
	defer tr.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/changes", nil)
	if err != nil {
		return err
	}
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set("Last-Event-ID", strconv.FormatUint(last, 10))
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the change log answers %s", resp.Status)
	}
	events := platform.EventReader{OnComment: func() {
		c.mu.Lock()
		anew := c.seq.StreamIdle()
		c.mu.Unlock()
		for i, ch := range anew {
			c.take(ch, i == 0)
		}
	}}
	buf := make([]byte, 16<<10)
	for {
		n, err := resp.Body.Read(buf)
		if ctx.Err() != nil {
			return ctx.Err() // what comes after a move is the old address's, which tells nothing more that counts
		}
		if n > 0 {
			heard.reset(silentLog)
		}
		bad := error(nil)
		feed := events.Feed(buf[:n], func(ev platform.ServerSentEvent) {
			ch, err := platform.DecodeWatchEvent(ev)
			if err != nil || bad != nil {
				bad = errors.Join(bad, err)
				return
			}
			c.mu.Lock()
			verdict := c.seq.Next(ch)
			c.mu.Unlock()
			switch verdict {
			case platform.Resubscribe:
				bad = fmt.Errorf("events before %d are missing", ch.Seq)
			case platform.ApplyEvent:
				c.pace.event(time.Now())
				told.reset(c.pace.patience())
				c.take(ch, false)
			}
		})
		if err := errors.Join(feed, bad, err); err != nil {
			return err
		}
	}
}

// watch calls a function when it was not reset for so long. A firing that is late by ownStall or more is the process's own
// doing: bytes that wait to be read get as long again. It guards against taking our own stall for the log's silence.
type watch struct {
	mu     sync.Mutex
	timer  *time.Timer
	within time.Duration
	due    time.Time
	done   bool
}

// newWatch starts a watch; with a duration of 0 it does not fire until it is reset.
func newWatch(d time.Duration, fire func()) *watch {
	w := &watch{}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(time.Hour, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		now := time.Now()
		switch {
		case w.done || w.within == 0 || now.Before(w.due): // reset as it fired
		case now.Sub(w.due) >= ownStall:
			w.set(w.within)
		default:
			fire()
		}
	})
	w.set(d)
	return w
}

func (w *watch) set(d time.Duration) {
	w.within, w.due = d, time.Now().Add(d)
	if d == 0 {
		w.timer.Stop()
	} else {
		w.timer.Reset(d)
	}
}

// reset begins anew; a duration of 0 rests the watch.
func (w *watch) reset(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.done {
		w.set(d)
	}
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = true
	w.timer.Stop()
}

// pace learns how long the change log goes without an event as a rule. A log that tells something all the time and then
// only sends comments has stopped telling: it is asked again, in ever longer intervals while nothing comes of that. Where
// events are rare or too few have come, it waits for ever. Not for concurrent use.
type pace struct {
	last  time.Time
	gaps  [16]time.Duration
	n     int // gaps so far
	tries int // times it was asked again since the last event
}

// The bounds of a pace's patience.
const (
	leastPatience = 2 * time.Second // the platform counts a silent log's events as told after 4 s
	mostPatience  = time.Minute
	rareEvents    = 10 * time.Second // a log whose gaps are longer is not asked again
)

func (p *pace) event(now time.Time) {
	if p.tries = 0; !p.last.IsZero() {
		p.gaps[p.n%len(p.gaps)] = now.Sub(p.last)
		p.n++
	}
	p.last = now
}

// patience is how long from now to wait for the next event, 0 for ever. Each call without an event between them is one
// more asking, and doubles it.
func (p *pace) patience() time.Duration {
	if p.n < len(p.gaps) {
		return 0
	}
	longest := time.Duration(0)
	for _, gap := range p.gaps {
		longest = max(longest, gap)
	}
	if longest > rareEvents {
		return 0
	}
	wait := min(max(2*longest, leastPatience)<<min(p.tries, 5), mostPatience)
	p.tries++
	return wait
}
