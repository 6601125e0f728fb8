package platform

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	platformcore "forkhead/internal/scheduler/platform"
	"forkhead/internal/server/netio"
)

const (
	maxOwnerUnsentBytes = 256 << 10 // that an owner leaves unread before its connection is closed

	// The accept queue is taken as empty when no connection has come for acceptIdle, and left after acceptDrainTimeout.
	acceptIdle         = 20 * time.Millisecond
	acceptDrainTimeout = 300 * time.Millisecond
)

// ownerConnections accepts connections of owners and carries what crosses them.
type ownerConnections struct {
	inputs   *inputQueue
	writes   *writeQueue // of the event loop
	lingerer *lingerer
	slots    acceptSlots
	lastID   atomic.Uint64
	listener *netio.Listener                           // set before the event loop starts
	open     map[platformcore.OwnerID]*ownerConnection // by id; of the event loop
}

// ownerConnection is a connection of an owner and the handler of its events, which come on goroutines of the engine.
type ownerConnection struct {
	connection
	id     platformcore.OwnerID
	owners *ownerConnections
	slot   *acceptSlot
}

// listen accepts connections on a goroutine of the engine, which waits for it. accept returns when ctx ends.
func (o *ownerConnections) listen(ctx context.Context, engine *netio.Engine, address string) error {
	listener, err := engine.Listen(address, maxOwnerUnsentBytes, func(stream *netio.Conn) netio.Handler { return o.accept(ctx, stream) })
	if err != nil {
		return fmt.Errorf("listen for owners: %w", err)
	}
	o.listener = listener
	return nil
}

// accept takes a connection. Where all slots are taken it waits for one: the core closes a connection for each that it
// sees beyond its bound. It guards against more connections than descriptors, and against usual owners that are closed
// unseen because others came at the same moment: they wait in the accept queue instead.
func (o *ownerConnections) accept(ctx context.Context, stream *netio.Conn) netio.Handler {
	slot := o.slots.acquire(ctx)
	if slot == nil {
		return nil
	}
	c := &ownerConnection{connection: connection{stream: stream}, id: platformcore.OwnerID(o.lastID.Add(1)), owners: o, slot: slot}
	accepted := o.inputs.loop.PostBlocking(func() {
		if !stream.IsClosed() {
			o.open[c.id] = c
			o.inputs.add(platformcore.OwnerConnected{Owner: c.id})
		}
	})
	if !accepted {
		slot.release()
		return nil
	}
	return c
}

// closeListener stops accepting once the accept queue has been taken.
func (o *ownerConnections) closeListener() { o.listener.Drain(acceptIdle, acceptDrainTimeout) }

// send writes a line to an owner.
func (o *ownerConnections) send(id platformcore.OwnerID, line []byte) {
	if c := o.open[id]; c != nil {
		o.writes.write(&c.connection, line)
	}
}

// close closes an owner's connection after what was written to it.
func (o *ownerConnections) close(id platformcore.OwnerID) {
	c := o.open[id]
	if c == nil {
		return
	}
	delete(o.open, id)
	c.closed = true
	if o.lingerer.close(&c.connection) {
		c.slot.release() // the core has a slot for another already
	}
}

// isFlushed reports whether everything that was written to owners has left this process.
func (o *ownerConnections) isFlushed() bool {
	for _, c := range o.open {
		if !c.stream.IsClosed() && c.stream.PendingBytes() > 0 {
			return false
		}
	}
	return true
}

// Data takes bytes of an owner. The core sees what an owner sent last together with its disconnecting: it guards against
// attempts for an owner that left while its bytes waited to be read.
func (c *ownerConnection) Data(stream *netio.Conn, p []byte) {
	data := append([]byte(nil), p...)
	c.owners.inputs.loop.PostBlocking(func() {
		if c.closed {
			return
		}
		c.owners.inputs.add(platformcore.OwnerData{Owner: c.id, Data: data})
		if len(data) < netio.ReadSize && stream.PeerClosed() {
			c.disconnected()
		}
	})
}

// Closed takes the end of the connection.
func (c *ownerConnection) Closed(*netio.Conn, error) {
	c.owners.lingerer.remove(&c.connection)
	c.slot.release()
	c.owners.inputs.loop.Post(c.disconnected)
}

// disconnected notifies the core, once, that the owner has left. It is for jobs on the event loop.
func (c *ownerConnection) disconnected() {
	if c.closed {
		return
	}
	c.closed = true
	delete(c.owners.open, c.id)
	c.owners.inputs.add(platformcore.OwnerDisconnected{Owner: c.id})
}
