package noded

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

// Times of the change log and of connections.
const (
	connectWithin = 250 * time.Millisecond
	silentLog     = 1500 * time.Millisecond // a comment comes each second
	logRest       = 50 * time.Millisecond   // between calls that fail, doubled each time
	logRestMost   = 400 * time.Millisecond
)

// changes follows the change log until it is stopped.
type changes struct {
	log  zerolog.Logger
	take func(platform.Change)
	done sync.WaitGroup

	mu      sync.Mutex
	address string
	seq     platform.Sequence
	cancel  context.CancelFunc
	ended   bool
}

// follow begins behind the event of that number.
func follow(address string, last uint64, log zerolog.Logger, take func(platform.Change)) *changes {
	c := &changes{log: log, take: take, address: address, seq: platform.Sequence{Last: last}, cancel: func() {}}
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

// read follows one stream until it ends, breaks or falls silent.
func (c *changes) read(ctx context.Context, cancel func(), address string, last uint64) error {
	silence := time.AfterFunc(silentLog, cancel)
	defer silence.Stop()
	tr := &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: connectWithin}).DialContext}
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
	var events platform.Events
	buf := make([]byte, 16<<10)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			silence.Reset(silentLog)
		}
		bad := error(nil)
		feed := events.Feed(buf[:n], func(ev platform.Event) {
			ch, err := platform.ReadChange(ev)
			if err != nil || bad != nil {
				bad = errors.Join(bad, err)
				return
			}
			c.mu.Lock()
			take, again := c.seq.Next(ch.Seq)
			c.mu.Unlock()
			if again {
				bad = fmt.Errorf("events before %d are missing", ch.Seq)
			} else if take {
				c.take(ch)
			}
		})
		if err := errors.Join(feed, bad, err); err != nil {
			return err
		}
	}
}
