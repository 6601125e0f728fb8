package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

// object is a JSON object.
type object map[string]any

// nodeSettings is the settings object of a placer of a small deployment of the platform: one zone, one kind of hosts, one class
// whose tasks may be repeated.
func nodeSettings() object {
	return object{
		"az": 0, "dcs": []string{"east"}, "balancers": 1, "me": 0, "discovery": "automatic",
		"caps": object{
			"cancel": true, "maxAttempts": 4, "peers": false, "probing": true, "connIdle": 30000, "connectTimeout": 250,
		},
		"classes": []object{{"name": "batch", "effect": "retryable", "aim": 800, "points": 2}},
		"tenants": []object{{"name": "acme", "share": 1}},
		"familyInfo": object{
			"acceptsCores": 1, "memBooking": 1, "coldSends": 40, "listsFree": true, "meanMemory": 1,
			"kindCores": []int{40}, "memoryByKind": []int{80}, "saysYes": "accepted", "unitCores": 1, "reportCounts": "asked",
			"classFade": []float64{0.2}, "classMost": []int{2}, "classPriority": []int{0}, "classSpread": []string{"none"},
			"easyUntil": []float64{0.9}, "kindByClass": []int{-1}, "promptStartS": []int{10},
		},
		"kinds":    []string{"std"},
		"loadInfo": object{"fields": []string{"x0", "x1"}, "how": "answers"},
		"rules":    object{"cold": 5000, "fall": 1000, "mustAskIn": 10000, "stopSendingWithin": 250},
	}
}

// changeLog is a change log of the platform. It answers each request late by a delay.
type changeLog struct {
	lab      *lab
	name     string
	delay    time.Duration
	listener net.Listener

	mu     sync.Mutex // guards the fields below
	events []object   // the event at index i has number i+1
	closed bool       // tells nothing more
}

func (l *lab) newChangeLog(name string, delay time.Duration, events []object) (*changeLog, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &changeLog{lab: l, name: name, delay: delay, listener: listener, events: events}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /changes", c.serve)
	go func() { _ = http.Serve(listener, mux) }()
	return c, nil
}

// since returns the events after a number, and whether the change log still tells them.
func (c *changeLog) since(last int) (events []object, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]object(nil), c.events[min(last, len(c.events)):]...), c.closed
}

func (c *changeLog) serve(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	c.lab.record("%s: asked for the events after %d", c.name, last)
	select {
	case <-time.After(c.delay):
	case <-r.Context().Done():
		c.lab.record("%s: the placer has given the request up before it was answered", c.name)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	c.lab.record("%s: answers", c.name)
	for comment := time.Now(); r.Context().Err() == nil; time.Sleep(10 * time.Millisecond) {
		events, closed := c.since(last)
		if closed {
			return
		}
		for _, event := range events {
			last++
			text, _ := json.Marshal(event)
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", last, text)
			c.lab.record("%s: event %d is sent", c.name, last)
		}
		if time.Since(comment) >= time.Second {
			comment = time.Now()
			_, _ = fmt.Fprint(w, ": \n\n")
		}
		w.(http.Flusher).Flush()
	}
}

// end makes the change log take no new connection, tell nothing more, and close the open ones after a delay.
func (c *changeLog) end(after time.Duration) {
	_ = c.listener.Close()
	time.AfterFunc(after, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.closed = true
	})
}

// add adds an event to the change log.
func (c *changeLog) add(event object) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, event)
}

// message is a message of the platform.
type message struct {
	Type        string          `json:"t"`
	Ref         string          `json:"ref"`
	Fields      json.RawMessage `json:"f,omitempty"`
	Cause       *int            `json:"c,omitempty"`
	Description string          `json:"d,omitempty"`
}

func cause(c int) *int { return &c }

// lineConn writes messages to a connection. It is safe for concurrent use.
type lineConn struct {
	mu   sync.Mutex
	conn net.Conn
}

func (c *lineConn) send(m message) {
	text, _ := json.Marshal(m)
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.conn.Write(append(text, '\n'))
}

// platformHost is a sound host of the platform, in this process: it accepts each set-up, runs the task for some time, and releases it.
type platformHost struct {
	lab      *lab
	name     string
	listener net.Listener
	runFor   time.Duration

	mu     sync.Mutex // guards the fields below
	offers []time.Time
	ended  map[string]bool // tasks that the placer has ended
}

func (l *lab) newPlatformHost(name string, runFor time.Duration) (*platformHost, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &platformHost{lab: l, name: name, listener: listener, runFor: runFor, ended: map[string]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go h.serve(&lineConn{conn: conn})
		}
	}()
	return h, nil
}

func (h *platformHost) serve(conn *lineConn) {
	lines := bufio.NewScanner(conn.conn)
	for lines.Scan() {
		var m message
		if json.Unmarshal(lines.Bytes(), &m) != nil {
			break
		}
		switch m.Type {
		case "new":
			h.mu.Lock()
			h.offers = append(h.offers, time.Now())
			h.mu.Unlock()
			h.lab.record("host %s: set-up %s", h.name, m.Ref)
			conn.send(message{Type: "up", Ref: m.Ref, Description: "d"})
			conn.send(message{Type: "tell", Ref: m.Ref, Fields: json.RawMessage(`{"note":"running","value":"0"}`)})
			time.AfterFunc(h.runFor, func() { h.release(conn, m.Ref, 16) })
		case "hb":
			conn.send(message{Type: "hb_ok", Ref: m.Ref, Cause: cause(1)})
		case "down":
			conn.send(message{Type: "ack", Ref: m.Ref})
			h.release(conn, m.Ref, 31)
		}
	}
	_ = conn.conn.Close()
}

// release releases a task once.
func (h *platformHost) release(conn *lineConn, ref string, why int) {
	h.mu.Lock()
	over := h.ended[ref]
	h.ended[ref] = true
	h.mu.Unlock()
	if !over {
		conn.send(message{Type: "down", Ref: ref, Cause: cause(why)})
	}
}

// offersAfter returns how many set-ups have come to the host after a time.
func (h *platformHost) offersAfter(limit time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, at := range h.offers {
		if at.After(limit) {
			n++
		}
	}
	return n
}

// entry returns the host's entry in the list.
func (h *platformHost) entry(state string) object {
	return object{
		"host": h.name, "dial": h.listener.Addr().String(), "site": "east", "class": "std", "block": 0, "health": state, "share": 1,
		"born_ms": 0, "free": []int{40, 80},
	}
}

// fleetEvent returns an event of the change log.
func fleetEvent(number int, whole bool, hosts ...object) object {
	return object{"seq": number, "fleet": object{"seq": number, "whole": whole, "hosts": hosts}}
}

// placerNode is a placer of the platform, a process.
type placerNode struct {
	*lab
	address, config string
	process         *process
}

// writeConfig writes the configuration of a placer whose change log is at an address.
func (p *placerNode) writeConfig(changelog string, known []object) error {
	text, err := json.Marshal(object{
		"name": "n0", "listen": p.address, "seed": "8c1f30d27a5be964",
		"limits":    object{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"changelog": changelog, "known": object{"seq": len(known), "results": known}, "settings": nodeSettings(),
	})
	if err != nil {
		return err
	}
	temporary := p.config + ".new"
	if err := os.WriteFile(temporary, text, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, p.config)
}

// startNode starts a placer of the platform with the command of the deploy file.
func (l *lab) startNode(changelog string, known []object) (*placerNode, error) {
	address, err := freePort()
	if err != nil {
		return nil, err
	}
	p := &placerNode{lab: l, address: address, config: filepath.Join(l.dir, "config.json")}
	if err := p.writeConfig(changelog, known); err != nil {
		return nil, err
	}
	env := []string{"BALANCER_NAME=n0", "BALANCER_LISTEN=" + address, "BALANCER_CONFIG=" + p.config}
	if p.process, err = l.start("node", env, "/bin/sh", "-c", "exec "+program("forkhead")+" node --log info"); err != nil {
		return nil, err
	}
	return p, l.awaitListener(p.process, address)
}

// ask sends set-ups on one connection, at a rate, until stop is closed. Each task is released by its host.
func (p *placerNode) ask(every time.Duration, stop <-chan struct{}) error {
	conn, err := net.Dial("tcp", p.address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	c := &lineConn{conn: conn}
	read := make(chan map[string]int, 1)
	go func() { read <- countMessages(conn) }()
	c.send(message{Type: "hb", Ref: "00000000000000aa", Cause: cause(0)})
	for number := 1; ; number++ {
		fields, err := json.Marshal(object{
			"class": "batch", "left": "2000", "tenant": "acme", "key": fmt.Sprintf("%016x", number),
			"extras": fmt.Sprintf("cores:1;memory:1;service:%016x", number%8+1),
		})
		if err != nil {
			return err
		}
		c.send(message{Type: "new", Ref: fmt.Sprintf("%016x", 0x1000000+number), Fields: fields, Description: "d"})
		select {
		case <-stop:
			time.Sleep(time.Second)
			_ = conn.Close()
			p.record("owner: sent %d set-ups; read by type and cause: %v", number, <-read)
			return nil
		case <-time.After(every):
		}
	}
}

// countMessages counts the messages on a connection until it ends, by type and cause.
func countMessages(conn net.Conn) map[string]int {
	counts := map[string]int{}
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		var m message
		if json.Unmarshal(lines.Bytes(), &m) != nil {
			break
		}
		name := m.Type
		if m.Cause != nil {
			name = fmt.Sprint(m.Type, " ", *m.Cause)
		}
		counts[name]++
	}
	return counts
}
