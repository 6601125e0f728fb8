package main

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"
)

// owner is a stand-in of an owner of tasks. It may use several connections, one after another.
type owner struct {
	rec  *record
	addr string // address of the placer
	name string

	mu       sync.Mutex // guards the fields below
	conn     *lineConn
	requests map[string]*request
	number   int
}

// request is a set-up and what the placer has sent for it.
type request struct {
	ref, key   string
	sentAt     time.Time
	left       time.Duration
	answeredAt time.Time // zero: no answer
	answer     *message
	releasedAt time.Time // zero: the task has not been released after its answer
}

func newOwner(rec *record, name, addr string) *owner {
	return &owner{rec: rec, name: name, addr: addr, requests: map[string]*request{}}
}

// connect opens a new connection, which all further set-ups use.
func (o *owner) connect() error {
	socket, err := net.DialTimeout("tcp", o.addr, time.Second)
	if err != nil {
		return err
	}
	conn := &lineConn{Conn: socket}
	o.mu.Lock()
	o.conn = conn
	o.mu.Unlock()
	o.rec.add(o.name, "connected")
	go func() {
		conn.read(o.handle)
		o.rec.add(o.name, "connection ended")
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.conn == conn {
			o.conn = nil
		}
	}()
	return nil
}

// isConnected reports whether the connection for further set-ups is open.
func (o *owner) isConnected() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.conn != nil
}

func (o *owner) handle(m *message) {
	o.rec.add(o.name, "got %s %s cause %d", m.Type, m.Ref, m.cause())
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.requests[m.Ref]
	if r == nil || m.Type != "up" && m.Type != "down" && m.Type != "shift" {
		return
	}
	switch {
	case r.answer == nil:
		r.answer, r.answeredAt = m, time.Now()
	case r.answer.Type == "up" && m.Type != "up" && r.releasedAt.IsZero():
		r.releasedAt = time.Now()
	}
}

// ask describes a set-up.
type ask struct {
	class   string
	left    time.Duration
	service uint64
	cores   float64
	memory  float64
	text    string
	ref     string // "": a new id is chosen
}

// again returns the set-up as it goes out again under its id.
func (a ask) again(ref string) ask {
	a.ref = ref
	return a
}

// send sends a set-up, under a new id unless it has one, and returns the id.
func (o *owner) send(a ask) string {
	o.mu.Lock()
	r := o.requests[a.ref]
	if r == nil {
		o.number++
		ref := fmt.Sprintf("%08x%08x", hash(o.name), o.number)
		r = &request{ref: ref, key: ref, left: a.left, sentAt: time.Now()}
		o.requests[ref] = r
	}
	ref := r.ref
	conn := o.conn
	o.mu.Unlock()
	m := withText("new", ref, a.text)
	m.Fields = map[string]any{
		"class": a.class, "left": strconv.FormatInt(a.left.Milliseconds(), 10), "tenant": tenantName, "key": r.key, "idem": r.key + r.key,
		"extras": fmt.Sprintf("cores:%g;memory:%g;service:%016x", a.cores, a.memory, a.service),
	}
	o.rec.add(o.name, "sent set-up %s", ref)
	if conn == nil || conn.write(m) != nil {
		o.rec.add(o.name, "set-up %s could not be sent", ref)
	}
	return ref
}

// awaitEnd waits until the connection has ended.
func (o *owner) awaitEnd() {
	for o.isConnected() {
		time.Sleep(time.Millisecond)
	}
}

// get returns a copy of a request.
func (o *owner) get(ref string) request {
	o.mu.Lock()
	defer o.mu.Unlock()
	return *o.requests[ref]
}

// awaitAnswer waits for the answer to a request and returns whether the task was placed.
func (o *owner) awaitAnswer(ref string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if r := o.get(ref); r.answer != nil {
			return r.answer.Type == "up"
		}
	}
	return false
}

// hash is FNV-1a.
func hash(text string) uint32 {
	h := uint32(2166136261)
	for _, b := range []byte(text) {
		h = (h ^ uint32(b)) * 16777619
	}
	return h
}
