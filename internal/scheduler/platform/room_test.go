package platform

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
)

// live lets time go by with connections that come about as made says.
func (w *world) live(d time.Duration, made func(DialHost) Input, each func()) {
	for end := w.now + d; w.now < end; {
		w.now += 10 * time.Millisecond
		w.step()
		for dials := only[DialHost](w.out); len(dials) > 0; dials = only[DialHost](w.out) {
			var in []Input
			for _, d := range dials {
				in = append(in, made(d))
			}
			w.step(in...)
		}
		each()
	}
}

// A host that holds tasks and says nothing for long is tested, and connections to it do not heap up. It is lost where it
// takes none any more, and is not where only we could not make one.
func TestSilentHostIsTested(t *testing.T) {
	for name, c := range map[string]struct {
		made func(DialHost) Input
		lost bool
	}{
		"it takes connections": {func(d DialHost) Input { return HostConnected{d.Connection} }, false},
		"it takes none":        {func(d DialHost) Input { return DialFailed{Connection: d.Connection} }, true},
		"we have none":         {func(d DialHost) Input { return DialFailed{Connection: d.Connection, Local: true} }, false},
	} {
		w := newWorld(t, nil)
		w.placed(ref1)
		tests, most := 0, 0
		w.live(60*time.Second, func(d DialHost) Input { tests++; return c.made(d) }, func() { most = max(most, len(w.c.hosts[1].connections)) })
		if lost := len(told[forkhead.Outcome](w)) > 0; lost != c.lost {
			t.Errorf("%s: its task is lost %v, want %v", name, lost, c.lost)
		}
		if most > 2 || !c.lost && tests < 10 {
			t.Errorf("%s: %d connections at once, %d tests", name, most, tests)
		}
	}
}

// An offer whose connection could not be made for want of descriptors was not sent, and its host is not blamed.
func TestNoDescriptorForAnOffer(t *testing.T) {
	w := newWorld(t, nil)
	w.say(w.owner(), setUp(ref1, "keyed", ""))
	w.step(DialFailed{Connection: only[DialHost](w.out)[0].Connection, Local: true})
	if got := told[forkhead.Outcome](w); len(got) != 1 || got[0].Result != forkhead.NotSent {
		t.Errorf("outcomes %+v, want one that was not sent", got)
	}
}

// However many hosts hold tasks and fall silent, and however many owners come, both kinds of connections stay within their
// room; offers, tests of hosts and owners still get theirs.
func TestRoomForConnections(t *testing.T) {
	const hosts, room = 60, 40
	w := newWorld(t, func(cfg *Config) {
		cfg.MaxOwnerConnections, cfg.ProtectedOwnerConnections, cfg.MaxHostConnections, cfg.MaxConnections = 26, 13, 27, room
		infos := []platform.Endpoint{}
		for n := range hosts {
			info := hostInfo(n+1, platform.InService)
			info.Address = fmt.Sprintf("10.0.2.%d:1", n+1)
			infos = append(infos, info)
		}
		cfg.InitialEvents[0].Endpoints.Hosts = infos
	})
	next := 0
	w.next = func(ev forkhead.Event) []forkhead.Action {
		if a, ok := ev.(forkhead.PlacementRequest); ok {
			next++
			return []forkhead.Action{forkhead.Offer{Task: a.Task.ID, Machine: forkhead.MachineID(next%hosts + 1)}}
		}
		return nil
	}
	usual := w.owner()
	made := func(d DialHost) Input { return HostConnected{d.Connection} }
	check := func() {
		if len(w.c.connections)+len(w.c.owners) > room+maxHalfClosed || w.c.usedHostConnections()+len(w.c.owners) > room || w.c.usedHostConnections() > 27 || len(w.c.owners) > 26 {
			t.Fatalf("%d connections to hosts, of these %d being closed, and %d of owners", len(w.c.connections), len(w.c.halfClosed), len(w.c.owners))
		}
	}
	placed := func(i int) {
		ref := fmt.Sprintf("%016x", 0x1000+i)
		offered := func(out []Output) {
			for _, o := range only[SendToHost](out) {
				if strings.Contains(string(o.Line), `"new"`) {
					w.step(HostData{o.Connection, []byte(`{"t":"up","ref":"` + ref + `","f":{},"d":"x"}` + "\n")})
				}
			}
		}
		out := slices.Clone(w.say(usual, strings.Replace(setUp(ref, "keyed", ""), "b4d65521", fmt.Sprintf("%08x", i), 1)))
		offered(append(out, w.dials()...))
		if w.c.requestsByRef[requestRef(ref)] == nil || w.c.requestsByRef[requestRef(ref)].phase != requestPlaced {
			t.Fatalf("task %d is not placed: %q", i, lines[SendToOwner](w.out))
		}
		check()
	}
	for i := range hosts {
		placed(i)
	}
	called := map[forkhead.MachineID]bool{}
	w.live(10*time.Second, func(d DialHost) Input {
		if l := w.c.connections[d.Connection]; l != nil {
			called[l.host.id] = true
		}
		return made(d)
	}, check)
	if len(called) < hosts-27 {
		t.Errorf("%d of %d silent hosts are called on", len(called), hosts)
	}
	if got := told[forkhead.Outcome](w); len(got) > 0 {
		t.Errorf("%d tasks of hosts that are up are lost", len(got))
	}
	for range 500 { // owners who say nothing
		w.now += time.Millisecond
		w.owner()
		check()
	}
	if len(w.c.owners) < 13 {
		t.Errorf("%d connections of owners are left", len(w.c.owners))
	}
	placed(hosts)
}

// A machine that is cut off for less than the protocol's time keeps its tasks; of one that does not come back the owners
// hear within that time, counted from when it was last heard.
func TestMachineCutOff(t *testing.T) {
	for _, cut := range []time.Duration{6 * time.Second, time.Hour} {
		w := newWorld(t, nil)
		w.placed(ref1)
		up := func(d DialHost) Input { return HostConnected{d.Connection} }
		w.live(3*time.Second, up, func() {})
		heard, from := w.c.hosts[1].lastReceivedAt, w.now
		over := time.Duration(0)
		w.live(10*time.Second, func(d DialHost) Input {
			if w.now > from+cut {
				return up(d)
			}
			return DialFailed{Connection: d.Connection}
		}, func() {
			if over == 0 && slices.Contains(lines[SendToOwner](w.out), "down "+ref1+" 41") {
				over = w.now
			}
		})
		if cut < time.Minute && over > 0 {
			t.Errorf("cut off for %v: its task is released after %v", cut, over-heard)
		}
		if cut > time.Minute && (over == 0 || over > heard+8*time.Second) {
			t.Errorf("gone: its task is released %v after it was last heard", over-heard)
		}
	}
}
