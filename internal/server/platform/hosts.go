package platform

import (
	"errors"
	"syscall"
	"time"

	platformcore "forkhead/internal/scheduler/platform"
	"forkhead/internal/server/netio"
)

// maxHostUnsentBytes bounds the pending bytes for a host. A connection is closed when they would exceed it.
const maxHostUnsentBytes = 1 << 20

// hostConnections dials hosts and passes messages between their connections and the core. The fields writes and open
// are used by the event loop's goroutine only.
type hostConnections struct {
	inputs         *inputQueue
	writes         *writeQueue
	lingerer       *lingerer
	engine         *netio.Engine
	connectTimeout time.Duration
	open           map[platformcore.ConnectionID]*hostConnection // connections, including those being dialed
}

// hostConnection is a connection to a host. It handles the connection's events, which arrive on goroutines of the
// engine.
type hostConnection struct {
	connection
	id    platformcore.ConnectionID
	hosts *hostConnections
}

// dial connects to a host on a goroutine of the engine, which Engine.Stop waits for.
func (h *hostConnections) dial(o platformcore.DialHost) {
	c := &hostConnection{id: o.Connection, hosts: h}
	h.open[c.id] = c
	h.engine.Dial(o.Address, h.connectTimeout, maxHostUnsentBytes, c, func(stream *netio.Conn, err error) {
		h.inputs.loop.Post(func() { c.dialed(stream, err) })
	})
}

// dialed handles the result of dial. It must be called on the event loop.
func (c *hostConnection) dialed(stream *netio.Conn, err error) {
	switch {
	case c.closed:
		if stream != nil {
			stream.Close()
		}
	case err != nil || stream.IsClosed():
		delete(c.hosts.open, c.id)
		c.hosts.inputs.add(platformcore.DialFailed{Connection: c.id, Refused: errors.Is(err, syscall.ECONNREFUSED), Local: netio.IsLocalFailure(err)})
	default:
		c.stream = stream
		c.hosts.inputs.add(platformcore.HostConnected{Connection: c.id})
	}
}

// send writes a line to a host.
func (h *hostConnections) send(o platformcore.SendToHost) {
	c := h.open[o.Connection]
	if c == nil || c.stream == nil {
		return
	}
	h.writes.write(&c.connection, o.Line)
	if o.Abandons && c.stream.HasUnsent() {
		// The line withdraws an offer that may be unsent itself. A host that reads again, perhaps long after the owner
		// has left, would start the attempt of that offer. The reset drops the unsent bytes, and closing a connection
		// abandons the attempts that are open on it.
		c.stream.Reset()
	}
}

// halfClose closes the sending side of a connection. The host's messages are read until the host closes its side.
func (h *hostConnections) halfClose(id platformcore.ConnectionID) {
	if c := h.open[id]; c != nil && c.stream != nil {
		c.flush()
		c.stream.CloseWrite()
	}
}

// close closes a connection, or abandons its dial. If the connection may linger, its pending bytes are sent first.
func (h *hostConnections) close(id platformcore.ConnectionID) {
	c := h.open[id]
	if c == nil {
		return
	}
	delete(h.open, id)
	c.closed = true
	h.lingerer.close(&c.connection)
}

// Data passes bytes from a host to the core.
func (c *hostConnection) Data(_ *netio.Conn, p []byte) {
	data := append([]byte(nil), p...)
	c.hosts.inputs.loop.PostBlocking(func() {
		if !c.closed {
			c.hosts.inputs.add(platformcore.HostData{Connection: c.id, Data: data})
		}
	})
}

// Closed handles the end of the connection.
func (c *hostConnection) Closed(_ *netio.Conn, reason error) {
	c.hosts.lingerer.remove(&c.connection)
	wasReset := netio.IsReset(reason)
	c.hosts.inputs.loop.Post(func() { c.disconnected(wasReset) })
}

// disconnected notifies the core that the connection has ended, unless the core has closed it or was notified already.
// It must be called on the event loop.
func (c *hostConnection) disconnected(wasReset bool) {
	if c.closed {
		return
	}
	c.closed = true
	delete(c.hosts.open, c.id)
	c.hosts.inputs.add(platformcore.HostDisconnected{Connection: c.id, Reset: wasReset})
}
