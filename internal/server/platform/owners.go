package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	platformcore "forkhead/internal/scheduler/platform"
	"forkhead/internal/server/netio"
)

const (
	// maxOwnerUnsentBytes bounds the pending bytes for an owner. A connection is closed when they would exceed it.
	maxOwnerUnsentBytes = 256 << 10

	// When the listener closes, the accept queue counts as empty after acceptIdle without a new connection. The
	// listener is closed after acceptDrainTimeout even if the queue is not empty.
	acceptIdle         = 20 * time.Millisecond
	acceptDrainTimeout = 300 * time.Millisecond
)

// ownerConnections accepts connections of owners and passes messages between them and the core. The fields writes and
// open are used by the event loop's goroutine only.
type ownerConnections struct {
	inputs   *inputQueue
	writes   *writeQueue
	lingerer *lingerer
	slots    acceptSlots
	lastID   atomic.Uint64   // id of the connection that was accepted last
	listener *netio.Listener // set before the event loop starts
	open     map[platformcore.OwnerID]*ownerConnection
}

// ownerConnection is a connection of an owner. It handles the connection's events, which arrive on goroutines of the
// engine.
type ownerConnection struct {
	connection
	id     platformcore.OwnerID
	owners *ownerConnections
	slot   *acceptSlot
}

// listen accepts connections on a goroutine of the engine, for which Engine.Stop waits. When ctx ends, accept stops
// waiting for a slot.
func (o *ownerConnections) listen(ctx context.Context, engine *netio.Engine, address string) error {
	listener, err := engine.Listen(address, maxOwnerUnsentBytes, func(stream *netio.Conn) netio.Handler { return o.accept(ctx, stream) })
	if err != nil {
		return fmt.Errorf("listen for owners: %w", err)
	}
	o.listener = listener
	return nil
}

// accept registers a new connection with the core and returns its handler, or nil to close it. While all slots are
// taken, accept waits, and further connections stay in the accept queue. For each connection above the core's bound,
// the core closes a connection, which frees a slot. Without the wait, connections could use up the descriptors, and an
// owner that connects at the same moment as many others would lose its connection before the core knows it.
func (o *ownerConnections) accept(ctx context.Context, stream *netio.Conn) netio.Handler {
	slot := o.slots.acquire(ctx)
	if slot == nil {
		return nil
	}
	c := &ownerConnection{connection: connection{stream: stream}, id: platformcore.OwnerID(o.lastID.Add(1)), owners: o, slot: slot}
	accepted := o.inputs.loop.PostBlocking(func() {
		if !stream.IsClosed() {
			o.open[c.id] = c
			o.inputs.add(platformcore.OwnerConnected{Owner: c.id, Address: hostOf(stream.RemoteAddress())})
		}
	})
	if !accepted {
		slot.release()
		return nil
	}
	return c
}

// hostOf returns the host of an address host:port, or "" if the address has no port.
func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

// closeListener closes the listener when the connections in its accept queue have been accepted.
func (o *ownerConnections) closeListener() { o.listener.Drain(acceptIdle, acceptDrainTimeout) }

// send writes a line to an owner.
func (o *ownerConnections) send(id platformcore.OwnerID, line []byte) {
	if c := o.open[id]; c != nil {
		o.writes.write(&c.connection, line)
	}
}

// close closes an owner's connection. If the connection may linger, its pending bytes are sent first.
func (o *ownerConnections) close(id platformcore.OwnerID) {
	c := o.open[id]
	if c == nil {
		return
	}
	delete(o.open, id)
	c.closed = true
	if o.lingerer.close(&c.connection) {
		c.slot.release() // the core does not count a lingering connection
	}
}

// isFlushed reports whether no open connection of an owner has pending bytes.
func (o *ownerConnections) isFlushed() bool {
	for _, c := range o.open {
		if !c.stream.IsClosed() && c.stream.PendingBytes() > 0 {
			return false
		}
	}
	return true
}

// Data passes bytes from an owner to the core. If the owner has closed its side after these bytes, the core gets the
// bytes and the disconnect in one step; if further bytes may follow, it is told that the owner has left. The core would
// otherwise start attempts for an owner that left while its bytes waited to be read.
func (c *ownerConnection) Data(stream *netio.Conn, p []byte) {
	data := append([]byte(nil), p...)
	c.owners.inputs.loop.PostBytes(len(data), func() {
		if c.closed {
			return
		}
		left := stream.PeerClosed()
		isLast := len(data) < netio.ReadSize
		c.owners.inputs.add(platformcore.OwnerData{Owner: c.id, Data: data, OwnerLeft: left && !isLast})
		if left && isLast {
			c.disconnected(true) // nothing tells a reset from a close yet
		}
	})
}

// Closed handles the end of the connection.
func (c *ownerConnection) Closed(_ *netio.Conn, reason error) {
	c.owners.lingerer.remove(&c.connection)
	c.slot.release()
	isBroken := isBroken(reason)
	c.owners.inputs.loop.Post(func() { c.disconnected(isBroken) })
}

// isBroken reports whether a connection that ended for the given reason may have lost what was written on it last.
func isBroken(reason error) bool {
	return netio.IsReset(reason) || errors.Is(reason, netio.ErrWriteBufferFull) || errors.Is(reason, syscall.ETIMEDOUT)
}

// disconnected notifies the core that the connection has ended, unless the core has closed it or was notified already. It
// must be called on the event loop.
func (c *ownerConnection) disconnected(isBroken bool) {
	if c.closed {
		return
	}
	c.closed = true
	delete(c.owners.open, c.id)
	c.owners.inputs.add(platformcore.OwnerDisconnected{Owner: c.id, Reset: isBroken})
}
