package platformmodel

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"forkhead/internal/protocol/platform"
)

// maxDelayedBytes limits the bytes held back on a connection in each direction. A connection that exceeds it is reset.
const maxDelayedBytes = 1 << 20

// link is one connection of a party, with the data held back in each direction.
type link struct {
	id             ConnID
	party          *party
	placer         int  // number of the placer at the other end
	dead           bool // nothing passes on the connection, and neither end notices a close
	closedByPlacer bool // the placer has closed the connection; the model is notified once it has received all data

	toPlacer  pipe
	toModel   pipe
	reordered []byte // message held back until the next message has passed; nil: none
}

// pipe is a queue of the data held back in one direction of a link.
type pipe struct {
	items     []pipeItem
	bytes     int           // total size of the items
	lastDueAt time.Duration // due time of the last item; later items are not due earlier
}

// pipeItem is data, or a close of the connection, and the time at which it passes.
type pipeItem struct {
	at   time.Duration
	data []byte // nil: a close
}

func (p *pipe) push(at time.Duration, data []byte) {
	p.lastDueAt = max(p.lastDueAt, at)
	p.items = append(p.items, pipeItem{p.lastDueAt, data})
	p.bytes += len(data)
}

// pop removes and returns the first item if it is due.
func (p *pipe) pop(now time.Duration) (item pipeItem, ok bool) {
	if len(p.items) == 0 || p.items[0].at > now {
		return pipeItem{}, false
	}
	item = p.items[0]
	p.items = p.items[1:]
	p.bytes -= len(item.data)
	return item, true
}

func (p *pipe) next() time.Duration {
	if len(p.items) == 0 {
		return never
	}
	return p.items[0].at
}

// blocksToPlacer reports whether a fault holds back all data to the placer.
func (l *link) blocksToPlacer() bool {
	return l.dead || l.party.active[FaultSilent] > 0 || l.party.active[FaultZonePartition] > 0
}

// blocksToModel reports whether a fault holds back all data to the model.
func (l *link) blocksToModel() bool {
	return l.dead || l.party.active[FaultNotReading] > 0 || l.party.active[FaultZonePartition] > 0
}

// next returns the time at which the link must be flushed.
func (l *link) next() time.Duration {
	next := never
	if !l.blocksToPlacer() {
		next = l.toPlacer.next()
	}
	if !l.blocksToModel() {
		next = min(next, l.toModel.next())
	}
	return next
}

func (p *party) sortedLinks() []*link {
	return slices.SortedFunc(maps.Values(p.links), func(a, b *link) int { return cmp.Compare(a.id, b.id) })
}

// send applies the faults in force to a message of a party and queues the result.
func (e *Emulator) send(l *link, message Send) {
	e.record(RecordSent, l, message.Data)
	if l.dead {
		return
	}
	active := &l.party.active
	units := [][]byte{message.Data}
	if !message.Head {
		if active[FaultCorrupted] > 0 {
			units[0] = e.corrupt(message.Data)
		}
		if active[FaultDuplicated] > 0 {
			units = append(units, units[0])
		}
		if active[FaultReordered] > 0 {
			units = reorder(l, units)
		}
	}
	for _, unit := range units {
		l.toPlacer.push(e.now+l.party.delay, unit)
	}
	e.flush(l)
}

// sendClose queues the close of a connection after all messages, including a message held back by FaultReordered.
func (e *Emulator) sendClose(l *link) {
	if l.dead {
		return
	}
	e.releaseReordered(l)
	l.toPlacer.push(e.now+l.party.delay, nil)
	e.flush(l)
}

// reorder holds a message back if the link holds no message back yet. Otherwise it returns the message followed by the
// message that was held back.
func reorder(l *link, units [][]byte) [][]byte {
	if l.reordered == nil {
		l.reordered = bytes.Join(units, nil)
		return nil
	}
	units = append(units, l.reordered)
	l.reordered = nil
	return units
}

// releaseReordered queues the message that reorder holds back, if there is one.
func (e *Emulator) releaseReordered(l *link) {
	if l.reordered != nil {
		l.toPlacer.push(e.now+l.party.delay, l.reordered)
		l.reordered = nil
	}
}

// corrupt makes a message unreadable in one of several ways.
func (e *Emulator) corrupt(data []byte) []byte {
	switch e.rng.IntN(4) {
	case 0:
		return []byte("\x00\xff not a message\n")
	case 1:
		return slices.Concat(data[:len(data)/2], []byte("\n")) // the first half of the message
	case 2:
		corrupted := bytes.Clone(data)
		corrupted[e.rng.IntN(len(corrupted)/2)] = 0 // a NUL byte is invalid anywhere in JSON
		return corrupted
	default:
		return bytes.Repeat([]byte("x"), platform.MaxLineSize+1) // a line longer than the limit
	}
}

// flush passes the data that is due in both directions.
func (e *Emulator) flush(l *link) {
	for !l.blocksToPlacer() && e.links[l.id] == l {
		item, ok := l.toPlacer.pop(e.now)
		if !ok {
			break
		}
		if item.data == nil {
			e.endLink(l, CloseConnection{l.id})
			return
		}
		e.record(RecordWritten, l, item.data)
		e.emit(Write{l.id, item.data})
	}
	for !l.blocksToModel() && e.links[l.id] == l {
		item, ok := l.toModel.pop(e.now)
		if !ok {
			break
		}
		e.record(RecordReceived, l, item.data)
		e.execute(l.party, l.party.model.Received(e.now, l.id, item.data))
	}
	e.finishFlush(l)
}

// finishFlush updates whether a link has data held back. It resets a link that exceeds maxDelayedBytes. If the placer
// has closed the connection, finishFlush completes the close once the model has received all data.
func (e *Emulator) finishFlush(l *link) {
	switch {
	case e.links[l.id] != l:
	case l.toPlacer.bytes > maxDelayedBytes || l.toModel.bytes > maxDelayedBytes:
		e.resetLink(l)
	case l.closedByPlacer && len(l.toModel.items) == 0 && !l.blocksToModel():
		l.closedByPlacer = false
		e.notifyModelClosed(l, false)
		e.sendClose(l)
	case len(l.toPlacer.items) > 0 || len(l.toModel.items) > 0:
		e.delayed[l.id] = l
	default:
		delete(e.delayed, l.id)
	}
}

// notifyModelClosed notifies the model, if its party is up, that a connection has ended. A model that has closed the
// connection itself ignores the call.
func (e *Emulator) notifyModelClosed(l *link, reset bool) {
	if l.party.model != nil {
		e.execute(l.party, l.party.model.ConnectionClosed(e.now, l.id, reset))
	}
}

// resetLink resets a connection and notifies the model.
func (e *Emulator) resetLink(l *link) {
	e.endLink(l, ResetConnection{l.id})
	e.notifyModelClosed(l, true)
}

// resetLinks resets the connections of a party, except for dead ones, and notifies the model if the party is up.
func (e *Emulator) resetLinks(p *party) {
	for _, l := range p.sortedLinks() {
		if !l.dead {
			e.resetLink(l)
		}
	}
}

// resetDeadLinks resets the dead connections of a party.
func (e *Emulator) resetDeadLinks(p *party) {
	for _, l := range p.sortedLinks() {
		if l.dead {
			e.resetLink(l)
		}
	}
}

// endLink closes or resets a connection from the emulator's side with an output.
func (e *Emulator) endLink(l *link, output Output) {
	e.record(RecordClosedByEmulator, l, nil)
	e.emit(output)
	e.forgetLink(l)
}

func (e *Emulator) forgetLink(l *link) {
	delete(e.links, l.id)
	delete(e.delayed, l.id)
	delete(l.party.links, l.id)
}
