package platformsim

import (
	"bytes"

	"forkhead"
	"forkhead/internal/protocol/platform"
	platformcore "forkhead/internal/scheduler/platform"
)

// execute executes an output of the core and checks the messages that it writes.
func (p *placer) execute(o platformcore.Output) {
	switch o := o.(type) {
	case platformcore.DialHost:
		p.dial(o)
	case platformcore.SendToHost:
		p.sendToHost(o)
	case platformcore.CloseHostConnection:
		if c := p.conns[o.Connection]; c != nil {
			c.close()
		}
	case platformcore.HalfCloseHostConnection:
		if c := p.conns[o.Connection]; c != nil && c.established && !c.blackholed {
			p.w.after(p.w.delay(), c.closeByHost) // the host, too, closes its side, after the messages that it has already sent
		}
	case platformcore.SendToOwner:
		p.sendToOwner(o)
	case platformcore.CloseOwnerConnection:
		p.closeOwner(o.Owner)
	case platformcore.SendGossip:
		p.sendGossip(o)
	case platformcore.Log:
		if o.InvariantViolation {
			p.w.breach("invariant violation: %s", o)
		}
	}
}

// decodeLine decodes a line that a placer writes.
func decodeLine(line []byte) (platform.Message, error) {
	return platform.Decode(bytes.TrimSuffix(line, []byte("\n")))
}

// sendToHost checks a message to a host and sends it.
func (p *placer) sendToHost(o platformcore.SendToHost) {
	c := p.conns[o.Connection]
	if c == nil {
		return
	}
	m, err := decodeLine(o.Line)
	if err != nil {
		p.w.breach("message to a host cannot be decoded: %v: %q", err, o.Line)
		return
	}
	switch m.Type {
	case platform.TypeRequest:
		p.checkOffer(c, m.Ref)
	case platform.TypeRelease:
		p.recordRelease(c.host, m.Ref)
	}
	c.sendToHost(m)
}

// recordRelease records that the placer withdraws an attempt at a host, or ends the bound task there.
func (p *placer) recordRelease(h *host, ref string) {
	r := p.w.requests[ref]
	if r == nil {
		return
	}
	for _, t := range r.attempts {
		switch {
		case t.host != h:
		case !t.knownBound:
			t.knownOver = true
		case t.releasedAt == 0:
			t.releasedAt = p.w.now
		}
	}
}

// sendToOwner checks a message to an owner. Owners do not react to messages.
func (p *placer) sendToOwner(o platformcore.SendToOwner) {
	m, err := decodeLine(o.Line)
	if err != nil {
		p.w.breach("message to an owner cannot be decoded: %v: %q", err, o.Line)
		return
	}
	if r := p.w.requests[m.Ref]; r != nil {
		p.w.checkOwnerMessage(r, &m, p.ownerByID(o.Owner))
	}
}

// closeOwner closes an owner's connection and checks that no request on it waits for an answer.
func (p *placer) closeOwner(id platformcore.OwnerID) {
	if o := p.ownerByID(id); o != nil {
		o.open = false
		p.checkOwnerClosed(o)
	}
}

// sendGossip sends a gossip message to one or all other placers. The message to each of them may be lost.
func (p *placer) sendGossip(o platformcore.SendGossip) {
	for _, other := range p.w.placers {
		if other == p || o.To != forkhead.AllPlacers && o.To != other.number || p.w.faultOneIn(5) {
			continue
		}
		p.w.after(p.w.delay(), func() {
			other.step(platformcore.GossipReceived{From: p.number, Data: bytes.Clone(o.Data)})
		})
	}
}
