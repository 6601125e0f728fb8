package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is a host in an event of the change log.
type entry struct {
	Host   string    `json:"host"`
	Dial   string    `json:"dial"`
	Site   string    `json:"site"`
	Class  string    `json:"class"`
	Block  int       `json:"block"`
	Health string    `json:"health"`
	Share  int       `json:"share"`
	BornMS int64     `json:"born_ms"`
	Free   []float64 `json:"free"`
}

// fleet is the list, or what has changed in it.
type fleet struct {
	Seq   int     `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []entry `json:"hosts"`
}

// event is a numbered event of the change log.
type event struct {
	Seq   int   `json:"seq"`
	Fleet fleet `json:"fleet"`
}

// changeLog is a stand-in of the change log.
type changeLog struct {
	rec    *record
	addr   string
	server *http.Server

	mu      sync.Mutex // guards the fields below
	events  []event
	changed chan struct{} // closed at the next event
	delay   time.Duration // time from a request to its answer
	again   int           // events that are written a second time at the beginning of each stream
	breaks  chan struct{} // closed to end all streams
}

func startChangeLog(rec *record, first fleet) (*changeLog, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &changeLog{rec: rec, addr: ln.Addr().String(), changed: make(chan struct{}), breaks: make(chan struct{})}
	first.Seq, first.Whole = 1, true
	c.events = []event{{Seq: 1, Fleet: first}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /changes", c.serve)
	c.server = &http.Server{Handler: mux}
	go func() { _ = c.server.Serve(ln) }()
	return c, nil
}

// tell adds an event with what has changed, and returns the time at which it was added.
func (c *changeLog) tell(hosts ...entry) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	seq := len(c.events) + 1
	c.events = append(c.events, event{Seq: seq, Fleet: fleet{Seq: seq, Hosts: hosts}})
	close(c.changed)
	c.changed = make(chan struct{})
	for _, h := range hosts {
		c.rec.add("changelog", "event %d: %s is %s", seq, h.Host, h.Health)
	}
	return time.Now()
}

// setDelay makes each further request wait for its answer.
func (c *changeLog) setDelay(delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay = delay
	c.rec.add("changelog", "answers requests after %v from now on", delay)
}

// breakOff ends all open streams. After it, each new stream begins with the first again events once more.
func (c *changeLog) breakOff(again int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rec.add("changelog", "breaks off")
	c.again = again
	close(c.breaks)
	c.breaks = make(chan struct{})
}

// after returns the events after a number, and channels that are closed at the next event and at the next break.
func (c *changeLog) after(last int) (events []event, changed, breaks chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if last < len(c.events) {
		events = append(events, c.events[last:]...)
	}
	return events, c.changed, c.breaks
}

func (c *changeLog) serve(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	c.mu.Lock()
	delay, repeated, breaks := c.delay, append([]event(nil), c.events[:c.again]...), c.breaks
	c.mu.Unlock()
	c.rec.add("changelog", "request for what follows event %d", last)
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		c.rec.add("changelog", "the client left before the answer")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for _, e := range repeated {
		c.write(w, e)
	}
	comments := time.NewTicker(time.Second)
	defer comments.Stop()
	for {
		events, changed, _ := c.after(last)
		for _, e := range events {
			c.write(w, e)
			last = e.Seq
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-changed:
		case <-comments.C:
			_, _ = fmt.Fprint(w, ": nothing\n\n")
		case <-breaks:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			c.rec.add("changelog", "a stream has ended")
			return
		}
	}
}

func (c *changeLog) write(w http.ResponseWriter, e event) {
	data, err := json.Marshal(e)
	if err != nil {
		panic(err) // unreachable: an event can be encoded
	}
	c.rec.add("changelog", "wrote event %d", e.Seq)
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", e.Seq, data)
}

// known returns the events so far.
func (c *changeLog) known() map[string]any {
	c.mu.Lock()
	defer c.mu.Unlock()
	return map[string]any{"seq": len(c.events), "results": append([]event(nil), c.events...)}
}

func (c *changeLog) stop() { _ = c.server.Close() }
