package platformmodel

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"forkhead/internal/protocol/platform"
)

// hostTask is a running task.
type hostTask struct {
	ref            string
	conn           ConnID // connection on which the task was offered
	placer         int
	idempotencyKey string
	size           taskSize
	endsAt         time.Duration
	nextNoteAt     time.Duration // never: the host sends no notes
}

func (h *Host) sortedTasks() []*hostTask {
	return slices.SortedFunc(maps.Values(h.runningTasks), func(a, b *hostTask) int { return cmp.Compare(a.ref, b.ref) })
}

// bind starts the task of an offer and answers the offer.
func (h *Host) bind(o *offer) {
	t := &hostTask{
		ref: o.ref, conn: o.conn, placer: o.placer, idempotencyKey: o.idempotencyKey, size: o.size,
		endsAt: h.now + h.cfg.RunTime.draw(h.rng), nextNoteAt: never,
	}
	if h.cfg.NoteInterval > 0 {
		t.nextNoteAt = h.now + h.cfg.NoteInterval
	}
	h.runningTasks[t.ref] = t
	h.sendBound(t)
	h.sendNote(t, platform.NoteRunning, "")
}

func (h *Host) sendBound(t *hostTask) {
	h.add(Send{Conn: t.conn, Data: platform.Append(nil, platform.TypeBound, t.ref, platform.NoCause, boundDescription(h.name, t.ref))})
}

// sendNote sends a note on a task, if a connection of its placer is open. If value is empty, the message has no
// FieldValue.
func (h *Host) sendNote(t *hostTask, note platform.Note, value string) {
	c := h.connectionFor(t)
	if c == nil {
		return
	}
	c.lastUsed = h.now
	fields := []platform.Field{platform.TextField(platform.FieldNote, string(note))}
	if value != "" {
		fields = append(fields, platform.TextField(platform.FieldValue, value))
	}
	h.sendMessage(c.id, platform.TypeNote, t.ref, platform.NoCause, fields...)
}

// advanceTasks ends the tasks whose run time is over and sends the notes that are due.
func (h *Host) advanceTasks() {
	for _, t := range h.sortedTasks() {
		switch {
		case t.endsAt <= h.now:
			h.endTask(t, platform.CauseOK)
		case t.nextNoteAt <= h.now:
			t.nextNoteAt = h.now + h.cfg.NoteInterval
			h.sendNote(t, platform.NoteCoresUsed, strconv.FormatFloat(t.size.Cores, 'g', -1, 64))
		}
	}
}

// endTask ends a task that has run to its end. The message about it is repeated on new connections until the placer
// acknowledges the end.
func (h *Host) endTask(t *hostTask, cause platform.Cause) {
	delete(h.runningTasks, t.ref)
	line := platform.Append(nil, platform.TypeRelease, t.ref, cause, nil, h.loadReport())
	if c := h.connectionFor(t); c != nil {
		c.lastUsed = h.now
		h.add(Send{Conn: c.id, Data: line})
	}
	if len(h.unacknowledged) >= maxUnacknowledgedEnds {
		h.unacknowledged = h.unacknowledged[1:]
	}
	h.unacknowledged = append(h.unacknowledged, unacknowledgedEnd{t.placer, t.ref, line})
}
