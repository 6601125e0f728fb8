package platform

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
)

// A task that is handed over is not answered, and counts as placed.
func TestCoreHandOverIsNotAnswered(t *testing.T) {
	w := newTestCore(t, nil)
	o := w.connectOwner()
	long := strings.Replace(requestLine(ref1, "keyed", ";at:s-00000002"), `"left":"1500"`, `"left":"4294967"`, 1)
	w.wantLines(sentLines[SendToOwner](w.send(o, long)))
	if got := takeEvents[forkhead.HandedOver](w); len(got) != 1 || got[0].Machine != 2 {
		t.Fatalf("the module got %+v", got)
	}
	w.advance(100 * time.Millisecond) // its host may have something to report on the next connection
	w.advance(time.Millisecond)
	if len(w.core.hosts[2].connections) != 1 {
		t.Fatal("its host is not dialed")
	}
	conn := w.core.hosts[2].connections[0].id
	w.step(HostConnected{conn})
	w.step(fromHost(conn, releaseLine(ref1, 16)))
	w.wantLines(sentLines[SendToOwner](w.outputs), "down "+ref1+" 16")
	w.wantLines(sentLines[SendToOwner](w.send(o, requestLine(ref2, "keyed", ";at:t-00000002"))), "down "+ref2+" 47") // another name with the same number
}

// A task handed over at a host that the endpoint list does not have yet counts as placed; the host is dialed once it is
// listed, and the task is released where that does not happen in time.
func TestCoreHandOverAtUnlistedHost(t *testing.T) {
	for _, listed := range []bool{true, false} {
		w := newTestCore(t, nil)
		o := w.connectOwner()
		w.wantLines(sentLines[SendToOwner](w.send(o, handOverLine(ref1, 9))))
		if got := takeEvents[forkhead.HandedOver](w); len(got) != 1 || got[0].Machine != 9 {
			t.Fatalf("the module got %+v", got)
		}
		var sent []string
		collect := func() { sent = append(sent, sentLines[SendToOwner](w.outputs)...) }
		w.run(time.Second, connected, collect)
		if listed {
			w.step(hostChanged(9, platform.InService))
		}
		dials := 0
		w.run(4*time.Second, func(d DialHost) Input { dials++; return connected(d) }, collect)
		if want := "down " + ref1 + " 41"; listed && (dials == 0 || len(sent) > 0) || !listed && (len(sent) != 1 || sent[0] != want) {
			t.Errorf("listed %v: %d dials, the owner is sent %q", listed, dials, sent)
		}
		if !listed && (w.core.hosts[9] != nil || w.core.unlistedHosts != 0) {
			t.Error("a host that was never listed is not removed")
		}
	}
}

// Hosts that are known by owners' messages alone are bounded, and nothing is offered to them.
func TestCoreBoundsUnlistedHosts(t *testing.T) {
	w := newTestCore(t, nil)
	o := w.connectOwner()
	rejected := 0
	for i := range maxUnlistedHosts + 10 {
		rejected += len(sentLines[SendToOwner](w.send(o, handOverLine(fmt.Sprintf("%016x", i+1), 1000+i))))
	}
	if rejected != 10 || w.core.unlistedHosts != maxUnlistedHosts {
		t.Errorf("%d of 10 are rejected, %d are waited for", rejected, w.core.unlistedHosts)
	}
	w.decide = func(ev forkhead.Event) []forkhead.Action {
		if a, ok := ev.(forkhead.PlacementRequest); ok {
			return []forkhead.Action{forkhead.Offer{Task: a.Task.ID, Machine: 1000}}
		}
		return nil
	}
	w.send(o, requestLine(ref2, "unsafe", ""))
	if len(ofType[DialHost](w.outputs)) > 0 || takeEvents[forkhead.Outcome](w)[0].Result != forkhead.NotSent {
		t.Error("an offer goes to a host that is not listed")
	}
}

// The release of a task comes before its hand-over: it is sent to its owner at once, as its host reports it once. For one
// that its owner ended itself nothing is sent. A task at a removed host has ended too, however many of them there are.
func TestCoreHandOverAfterItsEnd(t *testing.T) {
	for cause, want := range map[int][]string{16: {"down " + ref2 + " 16"}, 41: {"down " + ref2 + " 41"}, 47: {"down " + ref2 + " 41"}, 31: nil} {
		w := newTestCore(t, nil)
		o, conn := w.placeTask()
		w.step(fromHost(conn, releaseLine(ref2, cause)))
		w.wantLines(sentLines[SendToHost](w.outputs), "ack "+ref2)
		w.wantLines(sentLines[SendToOwner](w.send(o, handOverLine(ref2, 1))), want...)
		if len(takeEvents[forkhead.HandedOver](w)) > 0 || w.core.requestsByRef[ref2] != nil {
			t.Errorf("cause %d: the task counts as placed", cause)
		}
	}
	w := newTestCore(t, nil)
	o, conn := w.placeTask()
	w.wantLines(sentLines[SendToOwner](w.step(fromHost(conn, releaseLine(ref1, 16)))), "down "+ref1+" 16")
	if w.wantLines(sentLines[SendToOwner](w.send(o, handOverLine(ref1, 1)))); w.core.requestsByRef[ref1] != nil {
		t.Error("a task that has been released counts as placed again")
	}
	w.step(hostChanged(2, platform.Terminated))
	w.advance(time.Second)
	for i := range 3 * maxMalformedRequests {
		ref := fmt.Sprintf("%016x", i+1)
		w.wantLines(sentLines[SendToOwner](w.send(o, handOverLine(ref, 2))), "down "+ref+" 41")
	}
	if w.core.owners[o] == nil {
		t.Error("an owner is closed for tasks whose host is removed")
	}
}

// Handed over twice, on another connection, with its release on the way: one release, on the connection it came on last.
func TestCoreHandOverTwice(t *testing.T) {
	w := newTestCore(t, nil)
	first, second := w.connectOwner(), w.connectOwner()
	w.wantLines(sentLines[SendToOwner](w.send(first, handOverLine(ref1, 1))))
	w.advance(100 * time.Millisecond)
	conn := w.core.hosts[1].connections[0].id
	w.step(HostConnected{conn})
	w.wantLines(sentLines[SendToOwner](w.step(OwnerData{second, []byte(handOverLine(ref1, 1) + "\n")}, fromHost(conn, releaseLine(ref1, 16)))),
		"down "+ref1+" 16")
	if ofType[SendToOwner](w.outputs)[0].Owner != second {
		t.Error("the release goes to the connection before")
	}
	if len(takeEvents[forkhead.HandedOver](w)) != 1 {
		t.Error("the module got it twice")
	}
	// And once more, behind its release: it has ended.
	w.wantLines(sentLines[SendToOwner](w.send(first, handOverLine(ref1, 1))))
}

// A hand-over may name what this placer has placed itself, or is just placing: that is not answered.
func TestCoreHandOverOfOwnTask(t *testing.T) {
	w := newTestCore(t, nil)
	o, _ := w.placeTask()
	second := w.connectOwner()
	for _, by := range []OwnerID{o, second} {
		if w.wantLines(sentLines[SendToOwner](w.send(by, handOverLine(ref1, 1)))); w.core.owners[by] == nil || w.core.requestsByRef[ref1].owner != by {
			t.Fatal("its owner is closed, or its release would go elsewhere")
		}
	}
	w.send(o, requestLine(ref2, "keyed", ""))
	w.wantLines(sentLines[SendToOwner](w.send(second, handOverLine(ref2, 1))))
	if w.core.requestsByRef[ref2] == nil || w.core.requestsByRef[ref2].phase != requestOpen {
		t.Error("the open request is touched")
	}
	w.wantLines(sentLines[SendToOwner](w.send(o, strings.Replace(handOverLine(ref1, 1), "7f3a9c21e0b4d655", "00000000000000aa", 1))), "down "+ref1+" 47")
}

// A release that no connection of owners could take is sent on the one that hands its task over, once.
func TestCoreHandOverWithUndeliveredRelease(t *testing.T) {
	w := newTestCore(t, nil)
	o, conn := w.placeTask()
	w.step(OwnerDisconnected{o})
	w.wantLines(sentLines[SendToOwner](w.step(fromHost(conn, releaseLine(ref1, 16)))))
	next := w.connectOwner()
	w.wantLines(sentLines[SendToOwner](w.send(next, handOverLine(ref1, 1))), "down "+ref1+" 16")
	w.wantLines(sentLines[SendToOwner](w.send(next, handOverLine(ref2, 1)))) // it counts as placed, and nothing more is sent
}

// A task of the service is handed over at the host while an offer is queued for a connection there: the offer is not sent
// where that would exceed the spread limit.
func TestCoreHandOverWhileOfferIsQueued(t *testing.T) {
	for limit, want := range map[int]int{1: 0, 2: 1} {
		w := newTestCore(t, func(cfg *Config) {
			cfg.Settings.Classes[0].SpreadDomain, cfg.Settings.Classes[0].MaxPerDomain = forkhead.MachineDomain, limit
		})
		o := w.connectOwner()
		w.send(o, requestLine(ref1, "keyed", ""))
		dial := ofType[DialHost](w.outputs)[0]
		w.send(o, handOverLine(ref2, 1))
		n := 0
		for _, line := range sentLines[SendToHost](w.step(HostConnected{dial.Connection})) {
			if line == "new "+ref1 {
				n++
			}
		}
		if got := takeEvents[forkhead.Outcome](w); n != want || want == 0 && (len(got) != 1 || got[0].Result != forkhead.NotSent) {
			t.Errorf("limit %d: %d offers are sent, outcomes %+v", limit, n, got)
		}
	}
}
