package platformmodel

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"forkhead/internal/protocol/platform"
)

// maxDelayedBytes bounds what is held back on a connection in each direction. With more the connection is reset.
const maxDelayedBytes = 1 << 20

// link is one connection of a party, with what is held back on it.
type link struct {
	id             ConnID
	party          *party
	placer         int  // at the other end
	dead           bool // nothing passes any more
	closedByPlacer bool // the placer has closed it, and the model is not told yet: it has not received all

	toPlacer  pipe
	toModel   pipe
	reordered []byte // the message that waits for the next one; nil: none
}

// pipe is one direction of a link.
type pipe struct {
	items     []pipeItem
	bytes     int
	lastDueAt time.Duration // when the last item is due
}

// pipeItem is what is to pass at a time: bytes, or the end of the connection.
type pipeItem struct {
	at   time.Duration
	data []byte // nil: the end
}

func (p *pipe) push(at time.Duration, data []byte) {
	p.lastDueAt = max(p.lastDueAt, at)
	p.items = append(p.items, pipeItem{p.lastDueAt, data})
	p.bytes += len(data)
}

// pop takes the first item if it is due.
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

// blocksToPlacer and blocksToModel report whether a link passes nothing in a direction for now.
func (l *link) blocksToPlacer() bool {
	return l.dead || l.party.active[FaultSilent] > 0 || l.party.active[FaultZonePartition] > 0
}

func (l *link) blocksToModel() bool {
	return l.dead || l.party.active[FaultNotReading] > 0 || l.party.active[FaultZonePartition] > 0
}

// next returns when the link is to be flushed.
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

// send passes a message of a party through the faults that are in force.
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

// sendClose ends a connection after what was sent on it.
func (e *Emulator) sendClose(l *link) {
	if l.dead {
		return
	}
	e.releaseReordered(l)
	l.toPlacer.push(e.now+l.party.delay, nil)
	e.flush(l)
}

// reorder holds a message back if none is held back, and otherwise lets that follow it.
func reorder(l *link, units [][]byte) [][]byte {
	if l.reordered == nil {
		l.reordered = bytes.Join(units, nil)
		return nil
	}
	units = append(units, l.reordered)
	l.reordered = nil
	return units
}

// releaseReordered lets a message pass that no other has followed.
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
		return slices.Concat(data[:len(data)/2], []byte("\n")) // cut in the middle
	case 2:
		corrupted := bytes.Clone(data)
		corrupted[e.rng.IntN(len(corrupted)/2)] = 0 // which JSON allows nowhere
		return corrupted
	default:
		return bytes.Repeat([]byte("x"), platform.MaxLineSize+1) // a line that does not end
	}
}

// flush passes what is due in both directions.
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

// finishFlush notes that something is held back on a link, or tells the model that its placer has closed it.
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

// notifyModelClosed tells the model that a connection has ended. One that has closed it itself takes no notice.
func (e *Emulator) notifyModelClosed(l *link, reset bool) {
	if l.party.model != nil {
		e.execute(l.party, l.party.model.ConnectionClosed(e.now, l.id, reset))
	}
}

// resetLink resets a connection; the model is told.
func (e *Emulator) resetLink(l *link) {
	e.endLink(l, ResetConnection{l.id})
	e.notifyModelClosed(l, true)
}

// resetLinks resets the connections of a party; the model is told, if the party is up.
func (e *Emulator) resetLinks(p *party) {
	for _, l := range p.sortedLinks() {
		if !l.dead {
			e.resetLink(l)
		}
	}
}

// resetDeadLinks resets the connections of a party on which nothing passes any more.
func (e *Emulator) resetDeadLinks(p *party) {
	for _, l := range p.sortedLinks() {
		if l.dead {
			e.resetLink(l)
		}
	}
}

// endLink ends a connection on the emulator's side.
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
