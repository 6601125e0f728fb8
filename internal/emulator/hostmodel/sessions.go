package hostmodel

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/hostsession"
)

// ---- Sessions.

func (h *Host) send(p *peer, f hostproto.Frame) {
	h.out = append(h.out, Output{Conn: p.id, Frame: f})
}

// say sends a frame about a task to its placer, if that is connected. If it is not, the placer
// asks when it comes back.
func (h *Host) say(placer uint16, f hostproto.Frame) {
	if p := h.peers[placer]; p != nil {
		h.send(p, f)
	}
}

func (h *Host) bye(p *peer, why string) {
	h.send(p, hostproto.Bye{Text: why})
	h.out = append(h.out, Output{Conn: p.id})
	h.closed(p.id)
}

func (h *Host) closed(id ConnID) {
	p := h.conns[id]
	delete(h.conns, id)
	if p == nil || h.peers[p.placer] != p {
		return
	}
	delete(h.peers, p.placer)
	// Offers that were not looked at never run: their placer learns so when it asks.
	h.dropLine(func(t *task) bool { return t.placer == p.placer })
}

func (h *Host) dropLine(which func(*task) bool) {
	first := len(h.line) > 0 && which(h.line[0])
	h.line = slices.DeleteFunc(h.line, func(t *task) bool {
		if which(t) {
			delete(h.tasks, t.ref)
			return true
		}
		return false
	})
	if first {
		h.lookEnd = h.now + h.lookTime()
	}
}

func (h *Host) frame(p *peer, f hostproto.Frame) {
	if hello, ok := f.(hostproto.Hello); ok {
		h.hello(p, hello)
		return
	}
	if !p.ready {
		h.bye(p, "a frame before Hello")
		return
	}
	switch f := f.(type) {
	case hostproto.Offer:
		h.offer(p, f)
	case hostproto.Withdraw:
		h.called(p, f.Ref, hostsession.Withdraw)
	case hostproto.Stop:
		h.called(p, f.Ref, hostsession.Stop)
	case hostproto.Probe:
		h.send(p, hostproto.Probed{ID: f.ID, Report: h.report()})
	case hostproto.Query:
		h.query(p, f.Refs)
	case hostproto.Bye:
		h.out = append(h.out, Output{Conn: p.id})
		h.closed(p.id)
	default:
		h.bye(p, "a frame that only hosts send")
	}
}

func (h *Host) hello(p *peer, f hostproto.Hello) {
	switch {
	case f.Version != hostproto.Version:
		h.bye(p, "this host speaks version 1")
		return
	case p.ready:
		h.bye(p, "a second Hello")
		return
	}
	old := h.peers[f.Placer]
	last := hostsession.Session{Epoch: h.life[f.Placer]}
	if old != nil {
		last.Conn, last.Connected = old.conn, true
	}
	if hostsession.CheckHello(last, f.Epoch, f.Conn) == hostsession.HelloStale {
		h.bye(p, "a later life or connection of this placer is known")
		return
	}
	if old != nil {
		// Guards against frames that still stand in the buffers of the older connection.
		h.out = append(h.out, Output{Conn: old.id})
		h.closed(old.id)
	}
	p.placer, p.epoch, p.conn, p.ready = f.Placer, f.Epoch, f.Conn, true
	h.peers[f.Placer], h.life[f.Placer] = p, f.Epoch
	var held []hostproto.Held
	for _, t := range h.sorted() {
		if t.placer == f.Placer {
			left := time.Duration(0)
			if t.endsAt > 0 {
				left = max(t.endsAt-h.now, time.Millisecond)
			}
			held = append(held, hostproto.Held{Ref: t.ref, Phase: t.phase, Left: left, Spec: t.spec})
		}
	}
	h.send(p, hostproto.Welcome{
		Version: hostproto.Version, Host: h.cfg.Name, Epoch: h.epoch, Started: h.started, Draining: h.drains, Count: uint32(len(held)),
	})
	for len(held) > 0 {
		n, size := 0, 16
		for n < len(held) && (n == 0 || size+hostproto.HeldSize(&held[n].Spec) < hostproto.MaxHoldsSize-1024) {
			size += hostproto.HeldSize(&held[n].Spec)
			n++
		}
		h.send(p, hostproto.Holds{Held: held[:n]})
		held = held[n:]
	}
}

func (h *Host) query(p *peer, refs []hostproto.Ref) {
	for _, ref := range refs {
		if h.lost && h.tasks[ref] == nil && h.over[ref] == nil {
			h.send(p, hostproto.Ended{Ref: ref, Result: hostproto.Forgotten})
			continue
		}
		_, say := hostsession.Transition(h.state(ref), hostsession.Query)
		h.reply(p.placer, ref, say, nil)
	}
}

// state is where the host's machine has an attempt.
func (h *Host) state(ref hostproto.Ref) hostsession.State {
	if t := h.tasks[ref]; t != nil {
		return [...]hostsession.State{hostsession.Queued, hostsession.Starting, hostsession.Running}[t.phase]
	}
	switch f := h.over[ref].(type) {
	case hostproto.Refused:
		return hostsession.Rejected
	case hostproto.Ended:
		if f.Result == hostproto.Canceled {
			return hostsession.Canceled
		}
		return hostsession.Ended
	}
	return hostsession.Absent
}

// reply sends the frame that the machine says. over is the frame of an attempt that ends now; one
// that had ended is told again as it was.
func (h *Host) reply(placer uint16, ref hostproto.Ref, say hostsession.Reply, over hostproto.Frame) {
	switch say {
	case hostsession.SendAccepted:
		h.say(placer, hostproto.Accepted{Ref: ref})
	case hostsession.SendRunning:
		h.say(placer, hostproto.Running{Ref: ref})
	case hostsession.SendRejected, hostsession.SendEnded, hostsession.SendCanceled:
		if over == nil {
			over = h.over[ref]
		}
		if over == nil {
			over = hostproto.Refused{Ref: ref, Reason: hostproto.Unsuitable}
		}
		h.say(placer, over)
	}
}

func (h *Host) sortedPeers() []*peer {
	out := slices.Collect(maps.Values(h.peers))
	slices.SortFunc(out, func(a, b *peer) int { return cmp.Compare(a.placer, b.placer) })
	return out
}

// sorted returns the tasks in a fixed order: maps have none.
func (h *Host) sorted() []*task {
	out := slices.Collect(maps.Values(h.tasks))
	slices.SortFunc(out, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.ref.Epoch, b.ref.Epoch), cmp.Compare(a.ref.Task, b.ref.Task),
			cmp.Compare(a.ref.Attempt, b.ref.Attempt), cmp.Compare(a.placer, b.placer))
	})
	return out
}
