package main

import (
	"bufio"
	"encoding/json"
	"net"
	"sync"
)

// maxLine is the longest message of the protocol, in bytes.
const maxLine = 16 << 10

// Causes of the protocol.
const (
	causeOK        = 16 // also: the set-up is given up
	causeCancelled = 31
	causeRefused   = 34
)

// message is one line of the protocol.
type message struct {
	Type   string         `json:"t"`
	Ref    string         `json:"ref"`
	Fields map[string]any `json:"f"`
	Cause  *int           `json:"c,omitempty"`
	Text   *string        `json:"d,omitempty"`
}

// field returns a field as text, or "" if it is missing or a number.
func (m *message) field(name string) string {
	text, _ := m.Fields[name].(string)
	return text
}

// cause returns the cause, or -1 if there is none.
func (m *message) cause() int {
	if m.Cause == nil {
		return -1
	}
	return *m.Cause
}

func newMessage(kind, ref string) *message {
	return &message{Type: kind, Ref: ref, Fields: map[string]any{}}
}

func withCause(kind, ref string, cause int) *message {
	m := newMessage(kind, ref)
	m.Cause = &cause
	return m
}

func withText(kind, ref, text string) *message {
	m := newMessage(kind, ref)
	m.Text = &text
	return m
}

// lineConn is a connection that carries messages. write is safe for concurrent use.
type lineConn struct {
	net.Conn
	mu sync.Mutex // serializes writes
}

func (c *lineConn) write(m *message) error {
	line, err := json.Marshal(m)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err = c.Write(append(line, '\n'))
	return err
}

// read calls handle for each message until the connection ends. A line that is no message ends it.
func (c *lineConn) read(handle func(m *message)) {
	lines := bufio.NewScanner(c.Conn)
	lines.Buffer(make([]byte, 0, maxLine), 2*maxLine)
	for lines.Scan() {
		var m message
		if json.Unmarshal(lines.Bytes(), &m) != nil {
			return
		}
		handle(&m)
	}
}

// reset closes the connection with a reset.
func (c *lineConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
