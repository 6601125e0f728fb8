package main

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// admitTime is how long a host looks at one set-up; it looks at one at a time.
const admitTime = 30 * time.Millisecond

// startTime is the time from the answer to the note that the task runs.
const startTime = 50 * time.Millisecond

// host is a stand-in of a host. It accepts each set-up unless refuse says otherwise, and keeps its task until the placer
// or end releases it.
type host struct {
	name string
	addr string
	rec  *record
	ln   net.Listener

	mu     sync.Mutex // guards the fields below
	conns  []*lineConn
	tasks  map[string]*lineConn // running tasks, with the connections of their set-ups
	offers []offer
	starts map[string]int        // how often each task was accepted
	denied map[string]int        // how often each task was refused
	refuse func(m *message) bool // nil: nothing is refused
	life   time.Duration         // how long tasks run; 0: until they are released
	unsent []*message            // releases that wait for a connection
	hung   bool
	admit  sync.Mutex // held while the host looks at a set-up
}

// offer is a set-up that has come whole to a host.
type offer struct {
	at  time.Time
	ref string
	key string
}

func startHost(rec *record, name string) (*host, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &host{name: name, addr: ln.Addr().String(), rec: rec, ln: ln, tasks: map[string]*lineConn{}, starts: map[string]int{}, denied: map[string]int{}}
	go h.accept(ln)
	return h, nil
}

func (h *host) accept(ln net.Listener) {
	for {
		socket, err := ln.Accept()
		if err != nil {
			return
		}
		conn := &lineConn{Conn: socket}
		h.mu.Lock()
		h.conns = append(h.conns, conn)
		unsent := h.unsent
		h.unsent = nil
		h.mu.Unlock()
		h.rec.add(h.name, "connection opened")
		for _, m := range unsent {
			h.send(conn, m)
		}
		go h.serve(conn)
	}
}

func (h *host) serve(conn *lineConn) {
	conn.read(func(m *message) { h.handle(conn, m) })
	_ = conn.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, other := range h.conns {
		if other == conn {
			h.conns = append(h.conns[:i:i], h.conns[i+1:]...)
			break
		}
	}
	h.rec.add(h.name, "connection ended")
}

func (h *host) handle(conn *lineConn, m *message) {
	for h.isHung() {
		time.Sleep(time.Second)
	}
	switch m.Type {
	case "new":
		h.mu.Lock()
		h.offers = append(h.offers, offer{at: time.Now(), ref: m.Ref, key: m.field("key")})
		h.mu.Unlock()
		h.rec.add(h.name, "got set-up %s key %s", m.Ref, m.field("key"))
		h.decide(conn, m)
	case "down":
		h.rec.add(h.name, "got release %s cause %d", m.Ref, m.cause())
		h.mu.Lock()
		_, runs := h.tasks[m.Ref]
		delete(h.tasks, m.Ref)
		h.mu.Unlock()
		_ = conn.write(newMessage("ack", m.Ref))
		if runs {
			h.send(conn, withCause("down", m.Ref, causeCancelled))
		}
	case "hb":
		_ = conn.write(withCause("hb_ok", m.Ref, 1))
	}
}

// decide answers a set-up.
func (h *host) decide(conn *lineConn, m *message) {
	h.admit.Lock()
	time.Sleep(admitTime)
	h.admit.Unlock()
	h.mu.Lock()
	refused := h.refuse != nil && h.refuse(m)
	if refused {
		h.denied[m.Ref]++
	} else {
		h.starts[m.Ref]++
		h.tasks[m.Ref] = conn
	}
	h.mu.Unlock()
	if refused {
		answer := withCause("down", m.Ref, causeRefused)
		answer.Fields["note"] = "lack_cpu"
		h.send(conn, answer)
		return
	}
	h.send(conn, withText("up", m.Ref, fmt.Sprintf("%s runs %s", h.name, m.Ref)))
	time.AfterFunc(startTime, func() { h.started(conn, m.Ref) })
}

// started sends the note that a task runs, and ends the task after the host's life of tasks.
func (h *host) started(conn *lineConn, ref string) {
	h.mu.Lock()
	runs, life := h.tasks[ref] != nil, h.life
	h.mu.Unlock()
	if !runs {
		return
	}
	note := newMessage("tell", ref)
	note.Fields = map[string]any{"note": "running", "value": "1"}
	h.send(conn, note)
	if life > 0 {
		time.AfterFunc(life, func() { h.end(ref) })
	}
}

func (h *host) send(conn *lineConn, m *message) {
	h.rec.add(h.name, "sent %s %s cause %d", m.Type, m.Ref, m.cause())
	_ = conn.write(m)
}

// end ends a running task: the host sends its release on the connection of its set-up, else on another, else on the
// next that opens.
func (h *host) end(ref string) {
	h.mu.Lock()
	conn := h.tasks[ref]
	if conn == nil {
		h.mu.Unlock()
		return
	}
	delete(h.tasks, ref)
	isOpen := false
	for _, open := range h.conns {
		isOpen = isOpen || open == conn
	}
	if !isOpen {
		conn = nil
		if len(h.conns) > 0 {
			conn = h.conns[0]
		}
	}
	m := withCause("down", ref, causeOK)
	if conn == nil {
		h.unsent = append(h.unsent, m)
	}
	h.mu.Unlock()
	h.rec.add(h.name, "task %s has come to its end", ref)
	if conn != nil {
		h.send(conn, m)
	}
}

// countOf returns how many set-ups of a task have come, and how many of them were accepted and refused.
func (h *host) countOf(ref string) (offers, accepted, refused int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.offers {
		if o.ref == ref {
			offers++
		}
	}
	return offers, h.starts[ref], h.denied[ref]
}

// runs reports whether the host runs a task.
func (h *host) runs(ref string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tasks[ref] != nil
}

// offersSince returns the set-ups that came after a time.
func (h *host) offersSince(at time.Time) (late []offer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.offers {
		if o.at.After(at) {
			late = append(late, o)
		}
	}
	return late
}

// setRefuse replaces the condition under which set-ups are refused.
func (h *host) setRefuse(refuse func(m *message) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refuse = refuse
}

func (h *host) stop() {
	_ = h.ln.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, conn := range h.conns {
		_ = conn.Close()
	}
}

// hang makes the host hang: it reads and writes nothing on its connections, and new ones neither come up nor are refused,
// as its accept queue is full.
func (h *host) hang() error {
	h.mu.Lock()
	h.hung = true
	h.mu.Unlock()
	socket, ok := h.ln.(*net.TCPListener)
	if !ok {
		return errors.New("the host listens on no TCP socket")
	}
	_ = socket.SetDeadline(time.Now()) // ends accept
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) })
	if err := errors.Join(err, listenErr); err != nil {
		return err
	}
	h.rec.add(h.name, "hangs")
	go func() {
		for range 2 { // the queue has room for one connection
			_, _ = net.DialTimeout("tcp", h.addr, 100*time.Millisecond)
		}
	}()
	return nil
}

// isHung reports whether the host hangs.
func (h *host) isHung() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hung
}
