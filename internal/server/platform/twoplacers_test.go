package platform

import (
	"fmt"
	"testing"
	"time"

	"forkhead/internal/protocol/platform"
)

// placerCount is how many placers share a host in these tests.
const placerCount = 2

// placersOnOneHost are placers that share a host, each with a connection of an owner.
type placersOnOneHost struct {
	host    *recordingHost
	servers [placerCount]*Server
	owners  [placerCount]*testOwner
}

func startPlacersOnOneHost(t *testing.T) *placersOnOneHost {
	t.Helper()
	p := &placersOnOneHost{host: newRecordingHost(t)}
	for i := range placerCount {
		p.servers[i] = startWithHost(t, p.host.asTestHost())
		p.owners[i] = newTestOwner(t, p.servers[i].Address())
	}
	return p
}

// refOf returns the ref of a task of a placer.
func refOf(placer, number int) string { return fmt.Sprintf("%016x", 0xc0000+placer*0x1000+number) }

// place has each placer place so many tasks, all at once, and checks that each owner got the answers to its own.
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
				t.Errorf("placer %d: %s is answered %s %s, want %s", i, ref, got.Type, got.Description, want)
			}
			if offers := p.host.received(platform.TypeRequest, ref); offers != 1 {
				t.Errorf("placer %d: %d offers of %s", i, offers, ref)
			}
		}
	}
	p.wantNoAnswersToOtherOwner(t, count)
}

// wantNoAnswersToOtherOwner checks that no owner got a message about a task of the other placer's.
func (p *placersOnOneHost) wantNoAnswersToOtherOwner(t *testing.T, count int) {
	t.Helper()
	for n := range count {
		for i, o := range p.owners {
			o.probe(t) // what was sent before has come
			if got := o.answersTo(refOf(1-i, n)); len(got) != 0 {
				t.Errorf("the owner at placer %d got %+v about a task of the other placer's", i, got)
			}
		}
	}
}

// connectionsOf returns the connections that the first count tasks of a placer were last offered on.
func (p *placersOnOneHost) connectionsOf(placer, count int) map[*recordedConn]bool {
	conns := map[*recordedConn]bool{}
	for n := range count {
		conns[p.host.lastOfferConn(refOf(placer, n))] = true
	}
	return conns
}

// Two placers with tasks on one host: each gets the answers and ends of its own tasks, each owner's release ends its own, and
// a placer that ends leaves the tasks of the other as they are.
func TestTwoPlacersOnOneHost(t *testing.T) {
	const count = 40
	p := startPlacersOnOneHost(t)
	p.place(t, count)
	for n := range count / 2 { // half of the tasks end at the host, in an order that goes between the placers
		for i := range placerCount {
			p.host.lastOfferConn(refOf(i, n)).endTask(refOf(i, n), platform.CauseOK)
		}
	}
	for n := range count / 2 {
		for i, o := range p.owners {
			ref := refOf(i, n)
			eventually(t, "the end of "+ref, func() bool { return len(o.answersTo(ref)) == 2 })
			if got := o.answersTo(ref)[1]; got.Type != platform.TypeRelease || got.Cause != platform.CauseOK {
				t.Errorf("placer %d: the end of %s comes as %s %d", i, ref, got.Type, got.Cause)
			}
		}
	}
	p.wantNoAnswersToOtherOwner(t, count)

	const released = count / 2 // by its owner
	send(p.owners[0].conn, "%s", platform.Append(nil, platform.TypeRelease, refOf(0, released), platform.CauseOK, nil))
	eventually(t, "the release at the host", func() bool { return p.host.received(platform.TypeRelease, refOf(0, released)) == 1 })
	// The other placer's owner cannot end it, nor one of the first placer's: that placer does not know the task.
	send(p.owners[1].conn, "%s", platform.Append(nil, platform.TypeRelease, refOf(0, released+1), platform.CauseOK, nil))
	p.owners[1].probe(t)
	time.Sleep(200 * time.Millisecond)
	for n := released; n < count; n++ {
		for i := range placerCount {
			isReleased := i == 0 && n == released
			if stops := p.host.received(platform.TypeRelease, refOf(i, n)); stops != 0 && !isReleased {
				t.Errorf("placer %d: %s is stopped %d times", i, refOf(i, n), stops)
			}
		}
	}

	p.servers[0].Close()
	last := refOf(1, count-1)
	p.host.lastOfferConn(last).endTask(last, platform.CauseReset)
	eventually(t, "an end after the other placer's", func() bool { return len(p.owners[1].answersTo(last)) == 2 })
	if got := p.host.received(platform.TypeRelease, refOf(1, released)); got != 0 {
		t.Error("the end of a placer stops a task of the other's")
	}
}

// An end that the host reports to the other placer too, as on the next connection that opens, reaches its owner once, and
// the other placer's owners get nothing of it.
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
				t.Errorf("placer %d: %+v comes of an end that it was not sent", i, got)
			}
			p.host.lastOfferConn(ref).endTask(ref, platform.CauseOK)
			eventually(t, "the end of "+ref, func() bool { return len(o.answersTo(ref)) == 2 })
		}
	}
	p.wantNoAnswersToOtherOwner(t, count)
	for n := range count {
		for i, o := range p.owners {
			if got := o.answersTo(refOf(i, n)); len(got) != 2 {
				t.Errorf("placer %d: %+v", i, got)
			}
		}
	}
}
