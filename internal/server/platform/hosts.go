package platform

import (
	"errors"
	"net"
	"syscall"
	"time"

	platformcore "forkhead/internal/scheduler/platform"
	"forkhead/internal/server/netio"
)

// maxHostUnsentBytes bounds what a host leaves unread before its connection is closed.
const maxHostUnsentBytes = 1 << 20

// hostConnections dials hosts and carries what crosses the connections.
type hostConnections struct {
	inputs         *inputQueue
	writes         *writeQueue // of the event loop
	lingerer       *lingerer
	engine         *netio.Engine
	connectTimeout time.Duration
	open           map[platformcore.ConnectionID]*hostConnection // by id, those being dialed included; of the event loop
}

// hostConnection is a connection to a host and the handler of its events, which come on goroutines of the engine.
type hostConnection struct {
	connection
	id    platformcore.ConnectionID
	hosts *hostConnections
}

// dial makes a connection on a goroutine of the engine, which waits for it.
func (h *hostConnections) dial(o platformcore.DialHost) {
	c := &hostConnection{id: o.Connection, hosts: h}
	h.open[c.id] = c
	h.engine.Dial(o.Address, h.connectTimeout, maxHostUnsentBytes, c, func(stream *netio.Conn, err error) {
		h.inputs.loop.Post(func() { c.dialed(stream, err) })
	})
}

// dialed takes the result of dial. It is for jobs on the event loop.
func (c *hostConnection) dialed(stream *netio.Conn, err error) {
	switch {
	case c.closed:
		if stream != nil {
			stream.Close()
		}
	case err != nil || stream.IsClosed():
		delete(c.hosts.open, c.id)
		c.hosts.inputs.add(platformcore.DialFailed{Connection: c.id, Refused: errors.Is(err, syscall.ECONNREFUSED), Local: isLocalFailure(err)})
	default:
		c.stream = stream
		c.hosts.inputs.add(platformcore.HostConnected{Connection: c.id})
	}
}

// localFailures are errors of a dial that do not depend on the host.
var localFailures = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, net.ErrClosed}

// isLocalFailure reports whether a dial failed for want of something in this process or on its machine.
func isLocalFailure(err error) bool {
	for _, failure := range localFailures {
		if errors.Is(err, failure) {
			return true
		}
	}
	return false
}

// send writes a line to a host.
func (h *hostConnections) send(o platformcore.SendToHost) {
	c := h.open[o.Connection]
	if c == nil || c.stream == nil {
		return
	}
	h.writes.write(&c.connection, o.Line)
	if o.Abandons && c.stream.HasUnsent() {
		// The offer may not have left yet, and would begin whenever the host reads on: guards against attempts that
		// begin long after their owner has left. Closing a connection abandons what is open on it.
		c.stream.Reset()
	}
}

// halfClose writes nothing more to a host and reads on until it closes.
func (h *hostConnections) halfClose(id platformcore.ConnectionID) {
	if c := h.open[id]; c != nil && c.stream != nil {
		c.flush()
		c.stream.CloseWrite()
	}
}

// close closes a connection after what was written to it, or stops dialing it.
func (h *hostConnections) close(id platformcore.ConnectionID) {
	c := h.open[id]
	if c == nil {
		return
	}
	delete(h.open, id)
	c.closed = true
	h.lingerer.close(&c.connection)
}

// Data takes bytes of a host.
func (c *hostConnection) Data(_ *netio.Conn, p []byte) {
	data := append([]byte(nil), p...)
	c.hosts.inputs.loop.PostBlocking(func() {
		if !c.closed {
			c.hosts.inputs.add(platformcore.HostData{Connection: c.id, Data: data})
		}
	})
}

// Closed takes the end of the connection.
func (c *hostConnection) Closed(*netio.Conn, error) {
	c.hosts.lingerer.remove(&c.connection)
	c.hosts.inputs.loop.Post(c.disconnected)
}

// disconnected notifies the core, once, that the host has closed the connection. It is for jobs on the event loop.
func (c *hostConnection) disconnected() {
	if c.closed {
		return
	}
	c.closed = true
	delete(c.hosts.open, c.id)
	c.hosts.inputs.add(platformcore.HostDisconnected{Connection: c.id})
}
