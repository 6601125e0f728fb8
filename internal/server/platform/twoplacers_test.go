package platform

import (
	"fmt"
	"testing"
	"time"

	"forkhead/internal/protocol/platform"
)

// placerCount is the number of placers that share a host in these tests.
const placerCount = 2

// placersOnOneHost is a host with the placers that share it, each of which has a connection of an owner.
type placersOnOneHost struct {
	host    *recordingHost
	servers [placerCount]*Server
	owners  [placerCount]*testOwner
}

// startPlacersOnOneHost starts the host and the placers and connects the owners.
func startPlacersOnOneHost(t *testing.T) *placersOnOneHost {
	t.Helper()
	p := &placersOnOneHost{host: newRecordingHost(t)}
	for i := range placerCount {
		p.servers[i] = startWithHost(t, p.host.asTestHost())
		p.owners[i] = newTestOwner(t, p.servers[i].Address())
	}
	return p
}

// refOf returns the ref of a placer's task with the given number.
func refOf(placer, number int) string { return fmt.Sprintf("%016x", 0xc0000+placer*0x1000+number) }

// place sends count requests to each placer, all at once, and checks that each owner got the answers to its own
// requests.
func (p *placersOnOneHost) place(t *testing.T, count int) {
	t.Helper()
	for n := range count {
		for i, o := range p.owners {
			o.request(refOf(i, n), 5000)
		}
	}
	for n := range count {
		for i, o := range p.owners {
			o.awaitAnswer(t, refOf(i, n))
		}
	}
	for n := range count {
		for i, o := range p.owners {
			ref := refOf(i, n)
			got := o.answersTo(ref)[0]
			if want := `"of ` + ref + `"`; got.Type != platform.TypeBound || string(got.Description) != want {
				t.Errorf("placer %d: answer to %s: got type %s with description %s, want type %s with %s", i, ref, got.Type, got.Description, platform.TypeBound, want)
			}
			if offers := p.host.received(platform.TypeRequest, ref); offers != 1 {
				t.Errorf("placer %d: offers of %s at the host: got %d, want 1", i, ref, offers)
			}
		}
	}
	p.wantNoAnswersToOtherOwner(t, count)
}

// wantNoAnswersToOtherOwner checks that no owner got a message about a task of the other placer.
func (p *placersOnOneHost) wantNoAnswersToOtherOwner(t *testing.T, count int) {
	t.Helper()
	for n := range count {
		for i, o := range p.owners {
			o.probe(t) // messages that were sent before the probe's answer have arrived
			if got := o.answersTo(refOf(1-i, n)); len(got) != 0 {
				t.Errorf("messages to the owner at placer %d about %s of the other placer: got %+v, want none", i, refOf(1-i, n), got)
			}
		}
	}
}

// connectionsOf returns the connections on which the first count tasks of a placer were last offered.
func (p *placersOnOneHost) connectionsOf(placer, count int) map[*recordedConn]bool {
	conns := map[*recordedConn]bool{}
	for n := range count {
		conns[p.host.lastOfferConn(refOf(placer, n))] = true
	}
	return conns
}

// Two placers have tasks on one host. Each placer gets the answers and the ends of its own tasks only. A release by an
// owner stops only a task of the owner's placer. The end of one placer does not affect the tasks of the other.
func TestTwoPlacersOnOneHost(t *testing.T) {
	const count = 40
	p := startPlacersOnOneHost(t)
	p.place(t, count)
	for n := range count / 2 { // the host ends half of each placer's tasks, one placer's and the other's in turn
		for i := range placerCount {
			p.host.lastOfferConn(refOf(i, n)).endTask(refOf(i, n), platform.CauseOK)
		}
	}
	for n := range count / 2 {
		for i, o := range p.owners {
			ref := refOf(i, n)
			eventually(t, "the end of "+ref, func() bool { return len(o.answersTo(ref)) == 2 })
			if got := o.answersTo(ref)[1]; got.Type != platform.TypeRelease || got.Cause != platform.CauseOK {
				t.Errorf("placer %d: message about the end of %s: got type %s with cause %d, want type %s with cause %d",
					i, ref, got.Type, got.Cause, platform.TypeRelease, platform.CauseOK)
			}
		}
	}
	p.wantNoAnswersToOtherOwner(t, count)

	const released = count / 2 // number of the first placer's task that its owner releases
	send(p.owners[0].conn, "%s", platform.Append(nil, platform.TypeRelease, refOf(0, released), platform.CauseOK, nil))
	eventually(t, "the release at the host", func() bool { return p.host.received(platform.TypeRelease, refOf(0, released)) == 1 })
	// The owner at the other placer cannot release a task of the first placer, as its own placer does not know the
	// task.
	send(p.owners[1].conn, "%s", platform.Append(nil, platform.TypeRelease, refOf(0, released+1), platform.CauseOK, nil))
	p.owners[1].probe(t)
	time.Sleep(200 * time.Millisecond)
	for n := released; n < count; n++ {
		for i := range placerCount {
			isReleased := i == 0 && n == released
			if stops := p.host.received(platform.TypeRelease, refOf(i, n)); stops != 0 && !isReleased {
				t.Errorf("placer %d: releases of %s at the host: got %d, want 0", i, refOf(i, n), stops)
			}
		}
	}

	p.servers[0].Close()
	last := refOf(1, count-1)
	p.host.lastOfferConn(last).endTask(last, platform.CauseReset)
	eventually(t, "the end of a task after the end of the other placer", func() bool { return len(p.owners[1].answersTo(last)) == 2 })
	if got := p.host.received(platform.TypeRelease, refOf(1, released)); got != 0 {
		t.Errorf("releases of %s at the host after the end of the other placer: got %d, want 0", refOf(1, released), got)
	}
}

// A host may report the end of a task to both placers, for example on a new connection. The end reaches the task's
// owner once. The placer that did not place the task acknowledges the report and sends its own owners nothing.
func TestTwoPlacersEndReportedToBoth(t *testing.T) {
	const count = 10
	p := startPlacersOnOneHost(t)
	p.place(t, count)
	for n := range count {
		for i, o := range p.owners {
			ref := refOf(i, n)
			for conn := range p.connectionsOf(1-i, count) {
				conn.endTask(ref, platform.CauseOK)
			}
			eventually(t, "the other placer's acknowledgment", func() bool { return p.host.received(platform.TypeAck, ref) > 0 })
			if got := o.answersTo(ref); len(got) != 1 {
				t.Errorf("placer %d: messages to the owner of %s after its end was reported to the other placer: got %+v, want only the answer", i, ref, got)
			}
			p.host.lastOfferConn(ref).endTask(ref, platform.CauseOK)
			eventually(t, "the end of "+ref, func() bool { return len(o.answersTo(ref)) == 2 })
		}
	}
	p.wantNoAnswersToOtherOwner(t, count)
	for n := range count {
		for i, o := range p.owners {
			if got := o.answersTo(refOf(i, n)); len(got) != 2 {
				t.Errorf("placer %d: messages to the owner of %s: got %+v, want the answer and the end", i, refOf(i, n), got)
			}
		}
	}
}
