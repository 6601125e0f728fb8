package platform

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
)

func hold(ref string, host int) string {
	return setUp(ref, "keyed", fmt.Sprintf(";at:s-%08x", host))
}

func changedHost(seq uint64, n int, state platform.EndpointState) WatchEventReceived {
	return WatchEventReceived{Event: platform.WatchEvent{Seq: seq, Endpoints: &platform.EndpointList{Hosts: []platform.Endpoint{hostInfo(n, state)}}}}
}

// A task handed over at a host that the list does not have yet stands; the host is called on once it is listed, and the
// task is released where that does not happen in time.
func TestHandedOverBeforeTheList(t *testing.T) {
	for _, listed := range []bool{true, false} {
		w := newWorld(t, nil)
		o := w.owner()
		w.want(lines[SendToOwner](w.say(o, hold(ref1, 9))))
		if got := told[forkhead.HandedOver](w); len(got) != 1 || got[0].Machine != 9 {
			t.Fatalf("the module is told %+v", got)
		}
		var out []string
		w.live(time.Second, func(d DialHost) Input { return HostConnected{d.Connection} }, func() { out = append(out, lines[SendToOwner](w.out)...) })
		if listed {
			w.step(changedHost(2, 9, platform.InService))
		}
		calls := 0
		w.live(4*time.Second, func(d DialHost) Input { calls++; return HostConnected{d.Connection} }, func() { out = append(out, lines[SendToOwner](w.out)...) })
		if want := "down " + ref1 + " 41"; listed && (calls == 0 || len(out) > 0) || !listed && (len(out) != 1 || out[0] != want) {
			t.Errorf("listed %v: %d calls, the owner is told %q", listed, calls, out)
		}
		if !listed && (w.c.hosts[9] != nil || w.c.unlistedHosts != 0) {
			t.Error("a host that never came is not forgotten")
		}
	}
}

// Hosts by owners' word alone are bounded, and nothing is offered to them.
func TestManyUnlistedHosts(t *testing.T) {
	w := newWorld(t, nil)
	o := w.owner()
	refused := 0
	for i := range maxUnlistedHosts + 10 {
		refused += len(lines[SendToOwner](w.say(o, hold(fmt.Sprintf("%016x", i+1), 1000+i))))
	}
	if refused != 10 || w.c.unlistedHosts != maxUnlistedHosts {
		t.Errorf("%d of 10 are turned down, %d are waited for", refused, w.c.unlistedHosts)
	}
	w.next = func(ev forkhead.Event) []forkhead.Action {
		if a, ok := ev.(forkhead.PlacementRequest); ok {
			return []forkhead.Action{forkhead.Offer{Task: a.Task.ID, Machine: 1000}}
		}
		return nil
	}
	w.say(o, setUp(ref2, "unsafe", ""))
	if len(only[DialHost](w.out)) > 0 || told[forkhead.Outcome](w)[0].Result != forkhead.NotSent {
		t.Error("an offer goes to a host that is not listed")
	}
}

// The release of a task comes before its hand-over: its owner is told at once, as its host tells it once. One that its
// owner ended itself is owed nothing. A task at a host that has gone is over too, however many of them there are.
func TestHandedOverAfterItsEnd(t *testing.T) {
	for cause, want := range map[int][]string{16: {"down " + ref2 + " 16"}, 41: {"down " + ref2 + " 41"}, 47: {"down " + ref2 + " 41"}, 31: nil} {
		w := newWorld(t, nil)
		o, link := w.placed(ref1)
		w.step(HostData{link, []byte(fmt.Sprintf(`{"t":"down","ref":"%s","f":{},"c":%d}`+"\n", ref2, cause))})
		w.want(lines[SendToHost](w.out), "ack "+ref2)
		w.want(lines[SendToOwner](w.say(o, hold(ref2, 1))), want...)
		if len(told[forkhead.HandedOver](w)) > 0 || w.c.requestsByRef[ref2] != nil {
			t.Errorf("cause %d: the task stands", cause)
		}
	}
	w := newWorld(t, nil)
	o, link := w.placed(ref1)
	w.want(lines[SendToOwner](w.step(HostData{link, []byte(`{"t":"down","ref":"` + ref1 + `","f":{},"c":16}` + "\n")})), "down "+ref1+" 16")
	if w.want(lines[SendToOwner](w.say(o, hold(ref1, 1)))); w.c.requestsByRef[ref1] != nil {
		t.Error("a task that has been released stands once more")
	}
	w.step(changedHost(2, 2, platform.Terminated))
	w.pass(time.Second)
	for i := range 3 * maxMalformedRequests {
		ref := fmt.Sprintf("%016x", i+1)
		w.want(lines[SendToOwner](w.say(o, hold(ref, 2))), "down "+ref+" 41")
	}
	if w.c.owners[o] == nil {
		t.Error("an owner is closed for tasks whose host has gone")
	}
}

// Handed over twice, on another connection, with its release on the way: one release, on the connection it came on last.
func TestHandedOverTwice(t *testing.T) {
	w := newWorld(t, nil)
	first, second := w.owner(), w.owner()
	w.want(lines[SendToOwner](w.say(first, hold(ref1, 1))))
	w.pass(100 * time.Millisecond)
	link := w.c.hosts[1].connections[0].id
	w.step(HostConnected{link})
	w.want(lines[SendToOwner](w.step(OwnerData{second, []byte(hold(ref1, 1) + "\n")}, HostData{link, []byte(`{"t":"down","ref":"` + ref1 + `","f":{},"c":16}` + "\n")})),
		"down "+ref1+" 16")
	if only[SendToOwner](w.out)[0].Owner != second {
		t.Error("the release goes to the connection before")
	}
	if len(told[forkhead.HandedOver](w)) != 1 {
		t.Error("the module is told twice")
	}
	// And once more, behind its release: it is over.
	w.want(lines[SendToOwner](w.say(first, hold(ref1, 1))))
}

// An attempt is given up and offered to the same host again; the host answers the first and then cuts it, as it was told.
// Its owner hears that, though the cause is the one of a task that its owner has ended.
func TestCutByAnEarlierGiveUp(t *testing.T) {
	w := newWorld(t, nil)
	o := w.owner()
	w.next = func(ev forkhead.Event) []forkhead.Action {
		switch ev := ev.(type) {
		case forkhead.PlacementRequest:
			return []forkhead.Action{forkhead.Offer{Task: ev.Task.ID, Machine: 1}}
		case forkhead.TimerFired:
			return []forkhead.Action{forkhead.Withdraw{Task: 1, Attempt: 0}}
		case forkhead.Outcome:
			if ev.Attempt == 0 {
				return []forkhead.Action{forkhead.Offer{Task: ev.Task, Machine: 1}}
			}
		}
		return nil
	}
	w.say(o, setUp(ref1, "keyed", ""))
	w.want(lines[SendToHost](w.dials()), "new "+ref1)
	w.c.timers.Add(w.now, timer{id: 7})
	w.want(lines[SendToHost](w.step()), "down "+ref1+" 16", "new "+ref1)
	link := only[SendToHost](w.out)[0].Connection
	up := `{"t":"up","ref":"` + ref1 + `","f":{},"d":"x"}` + "\n"
	w.want(lines[SendToOwner](w.step(HostData{link, []byte(up)})), "up "+ref1)
	w.want(lines[SendToOwner](w.step(HostData{link, []byte(`{"t":"down","ref":"` + ref1 + `","f":{},"c":31}` + "\n")})), "down "+ref1+" 41")
	w.want(lines[SendToHost](w.step(HostData{link, []byte(up)})), "down "+ref1+" 16") // the second stands for nobody
	w.want(lines[SendToOwner](w.out))
}

// In one step: a deadline and the answer, the deadline and a refusal, a refusal and the end of its connection, the owner's
// give-up and the answer, in both orders. One final answer each, and no task is left standing for nobody.
func TestTwoEventsInOneStep(t *testing.T) {
	up := `{"t":"up","ref":"` + ref1 + `","f":{},"d":"x"}` + "\n"
	full := `{"t":"down","ref":"` + ref1 + `","f":{},"c":34}` + "\n"
	leave := `{"t":"down","ref":"` + ref1 + `","f":{},"c":16}` + "\n"
	for name, c := range map[string]struct {
		in    func(o OwnerID, link ConnectionID) []Input
		late  bool // at the deadline
		owner string
		host  string
	}{
		"answer, deadline":  {func(o OwnerID, link ConnectionID) []Input { return []Input{HostData{link, []byte(up)}} }, true, "up", ""},
		"refusal, deadline": {func(o OwnerID, link ConnectionID) []Input { return []Input{HostData{link, []byte(full)}} }, true, "down 34", "ack"},
		"refusal, end": {func(o OwnerID, link ConnectionID) []Input {
			return []Input{HostData{link, []byte(full)}, HostDisconnected{link}}
		}, false, "down 34", "ack"},
		"end, refusal": {func(o OwnerID, link ConnectionID) []Input {
			return []Input{HostDisconnected{link}, HostData{link, []byte(full)}}
		}, false, "down 47", ""},
		"answer, end": {func(o OwnerID, link ConnectionID) []Input {
			return []Input{HostData{link, []byte(up)}, HostDisconnected{link}}
		}, false, "up", ""},
		"answer, give-up": {func(o OwnerID, link ConnectionID) []Input {
			return []Input{HostData{link, []byte(up)}, OwnerData{o, []byte(leave)}}
		}, false, "up ack", "down 16"},
		"give-up, answer": {func(o OwnerID, link ConnectionID) []Input {
			return []Input{OwnerData{o, []byte(leave)}, HostData{link, []byte(up)}}
		}, false, "ack", "down 16 down 16"},
		"give-up, refusal": {func(o OwnerID, link ConnectionID) []Input {
			return []Input{OwnerData{o, []byte(leave)}, HostData{link, []byte(full)}}
		}, false, "ack", "down 16 ack"},
		"refusal, give-up": {func(o OwnerID, link ConnectionID) []Input {
			return []Input{HostData{link, []byte(full)}, OwnerData{o, []byte(leave)}}
		}, false, "ack", "ack"},
		"two answers": {func(o OwnerID, link ConnectionID) []Input { return []Input{HostData{link, []byte(up + up)}} }, false, "up", ""},
		"answer, end of owner": {func(o OwnerID, link ConnectionID) []Input {
			return []Input{HostData{link, []byte(up)}, OwnerDisconnected{o}}
		}, false, "up", ""},
		"end of owner, answer": {func(o OwnerID, link ConnectionID) []Input {
			return []Input{OwnerDisconnected{o}, HostData{link, []byte(up)}}
		}, false, "", "down 16 down 16"},
	} {
		w := newWorld(t, nil)
		o := w.owner()
		first := w.next
		w.next = func(ev forkhead.Event) []forkhead.Action {
			switch ev := ev.(type) {
			case forkhead.Outcome:
				if ev.Final {
					return nil
				}
				if ev.Result == forkhead.Rejected || ev.Result == forkhead.TimedOut {
					return []forkhead.Action{forkhead.Reject{Task: ev.Task}}
				}
				return []forkhead.Action{forkhead.Fail{Task: ev.Task}}
			}
			return first(ev)
		}
		w.say(o, setUp(ref1, "keyed", ""))
		link := only[SendToHost](w.dials())[0].Connection
		if c.late {
			w.now += 1500 * time.Millisecond
		}
		w.step(c.in(o, link)...)
		short := func(all []string) string {
			return strings.ReplaceAll(strings.Join(all, " "), " "+ref1, "")
		}
		if got := short(lines[SendToOwner](w.out)); got != c.owner {
			t.Errorf("%s: the owner is told %q, want %q", name, got, c.owner)
		}
		if got := short(lines[SendToHost](w.out)); got != c.host {
			t.Errorf("%s: the host is told %q, want %q", name, got, c.host)
		}
	}
}

// Where tests are not allowed, an idle connection that tasks need is replaced, not tested.
func TestIdleWithoutTests(t *testing.T) {
	for _, may := range []bool{true, false} {
		w := newWorld(t, func(cfg *Config) { cfg.Settings.MayProbe = may })
		_, link := w.placed(ref1)
		tests, notes := 0, 0
		w.live(2*time.Minute, func(d DialHost) Input { return HostConnected{d.Connection} }, func() {
			for _, line := range lines[SendToHost](w.out) {
				if strings.HasPrefix(line, "hb") {
					tests++
				}
			}
			if l := w.c.hosts[1].leastBusyConnection(); l != nil && w.now%(500*time.Millisecond) < 10*time.Millisecond { // its host is heard
				l.host.lastReceivedAt = w.now
				notes++
			}
			if len(w.c.hosts[1].connections) == 0 {
				t.Fatal("no connection is left to a host with tasks")
			}
		})
		if may && tests == 0 || !may && tests > 0 {
			t.Errorf("tests allowed %v: %d tests", may, tests)
		}
		if !may && w.c.connections[link] != nil {
			t.Error("an idle connection stays for ever")
		}
	}
}

// A hand-over may name what this placer has placed itself, or is just placing: that is not answered.
func TestHandedOverWhatStandsHere(t *testing.T) {
	w := newWorld(t, nil)
	o, _ := w.placed(ref1)
	second := w.owner()
	for _, by := range []OwnerID{o, second} {
		if w.want(lines[SendToOwner](w.say(by, hold(ref1, 1)))); w.c.owners[by] == nil || w.c.requestsByRef[ref1].owner != by {
			t.Fatal("its owner is closed, or its release would go elsewhere")
		}
	}
	w.say(o, setUp(ref2, "keyed", ""))
	w.want(lines[SendToOwner](w.say(second, hold(ref2, 1))))
	if w.c.requestsByRef[ref2] == nil || w.c.requestsByRef[ref2].phase != requestOpen {
		t.Error("the open request is touched")
	}
	w.want(lines[SendToOwner](w.say(o, strings.Replace(hold(ref1, 1), "7f3a9c21e0b4d655", "00000000000000aa", 1))), "down "+ref1+" 47")
}

// Where attempts may not be called off, a task is answered at its time with one out: once, without a defect, and nothing is
// written to the host. An answer that comes all the same stands for nobody, and is cut.
func TestNoWithdrawing(t *testing.T) {
	w := newWorld(t, func(cfg *Config) { cfg.Settings.MayWithdraw = false })
	first := w.next
	w.next = func(ev forkhead.Event) []forkhead.Action {
		if _, ok := ev.(forkhead.TimerFired); ok {
			return []forkhead.Action{forkhead.Fail{Task: 1}}
		}
		return first(ev)
	}
	w.say(w.owner(), setUp(ref1, "unsafe", ""))
	link := only[SendToHost](w.dials())[0].Connection
	w.c.timers.Add(w.now+1495*time.Millisecond, timer{id: 9})
	w.now += 1495 * time.Millisecond
	out := w.step()
	w.want(lines[SendToOwner](out), "down "+ref1+" 47")
	w.want(lines[SendToHost](out))
	for _, l := range only[Log](out) {
		t.Errorf("logged: %s", l)
	}
	w.want(lines[SendToHost](w.step(HostData{link, []byte(`{"t":"up","ref":"` + ref1 + `","f":{},"d":"x"}` + "\n")})), "down "+ref1+" 16")
}

// A task stood at its host and is over before the host's answer has come, which is late: its owner is told at once, and it is
// not offered to another host. Without a sign that it stood, it is.
func TestOverBeforeItsAnswer(t *testing.T) {
	note := `{"t":"tell","ref":"` + ref1 + `","f":{"note":"running","value":"1"}}` + "\n"
	release := func(cause int, note string) string {
		return fmt.Sprintf(`{"t":"down","ref":"%s","f":{"note":"%s"},"c":%d}`+"\n", ref1, note, cause)
	}
	for name, c := range map[string]struct {
		said string
		over bool
	}{
		"notes and a reset": {note + release(41, ""), true}, "displaced": {release(41, "displaced"), true}, "killed": {release(41, "killed"), true},
		"its end": {release(16, ""), true}, "a reset": {release(41, ""), false}, "full": {release(34, "lack_cpu"), false}, "an error": {release(47, ""), false},
	} {
		w := newWorld(t, nil)
		first := w.next
		w.next = func(ev forkhead.Event) []forkhead.Action {
			if o, ok := ev.(forkhead.Outcome); ok && !o.Final {
				return []forkhead.Action{forkhead.Offer{Task: o.Task, Machine: 2}}
			}
			return first(ev)
		}
		w.say(w.owner(), setUp(ref1, "keyed", ""))
		link := only[SendToHost](w.dials())[0].Connection
		out := w.step(HostData{link, []byte(c.said)})
		offers := len(only[DialHost](out))
		if got := lines[SendToOwner](out); c.over && (len(got) != 1 || got[0] != "down "+ref1+" 41" || offers > 0) || !c.over && (len(got) > 0 || offers != 1) {
			t.Errorf("%s: the owner is told %q, %d more offers", name, got, offers)
		}
		if c.over { // and the answer, when it comes
			w.step(HostData{link, []byte(`{"t":"up","ref":"` + ref1 + `","f":{},"d":"x"}` + "\n")})
			w.want(lines[SendToOwner](w.out))
			w.want(lines[SendToHost](w.out))
		}
	}
}

// A release that no connection of owners could take is told to the one that hands its task over, once.
func TestHandedOverWithItsReleaseOwed(t *testing.T) {
	w := newWorld(t, nil)
	o, link := w.placed(ref1)
	w.step(OwnerDisconnected{o})
	w.want(lines[SendToOwner](w.step(HostData{link, []byte(`{"t":"down","ref":"` + ref1 + `","f":{},"c":16}` + "\n")})))
	next := w.owner()
	w.want(lines[SendToOwner](w.say(next, hold(ref1, 1))), "down "+ref1+" 16")
	w.want(lines[SendToOwner](w.say(next, hold(ref2, 1)))) // it stands, and nothing more is owed
}

// A host in a zone that the settings do not have is not used, where there is more than one: the spread over zones and the
// groups of keyed tasks would rest on a guess.
func TestHostInAnUnknownZone(t *testing.T) {
	for _, zones := range [][]string{{"z"}, {"z", "y"}} {
		w := newWorld(t, func(cfg *Config) { cfg.Names.Zones = zones })
		info := hostInfo(5, platform.InService)
		info.Zone = "elsewhere"
		out := w.step(WatchEventReceived{Event: platform.WatchEvent{Seq: 2, Endpoints: &platform.EndpointList{Hosts: []platform.Endpoint{info}}}})
		if used := w.c.hosts[5] != nil; used != (len(zones) == 1) || !used && len(only[Log](out)) != 1 {
			t.Errorf("%d zones: used %v, logged %v", len(zones), used, only[Log](out))
		}
	}
}

// A task of the service is handed over at the host while an offer waits for its connection there: the offer is not sent where
// that would be one too many.
func TestHandedOverWhileAnOfferWaits(t *testing.T) {
	for most, want := range map[int]int{1: 0, 2: 1} {
		w := newWorld(t, func(cfg *Config) {
			cfg.Settings.Classes[0].SpreadDomain, cfg.Settings.Classes[0].MaxPerDomain = forkhead.MachineDomain, most
		})
		o := w.owner()
		w.say(o, setUp(ref1, "keyed", ""))
		dial := only[DialHost](w.out)[0]
		w.say(o, hold(ref2, 1))
		n := 0
		for _, line := range lines[SendToHost](w.step(HostConnected{dial.Connection})) {
			if line == "new "+ref1 {
				n++
			}
		}
		if got := told[forkhead.Outcome](w); n != want || want == 0 && (len(got) != 1 || got[0].Result != forkhead.NotSent) {
			t.Errorf("at most %d: %d offers are sent, outcomes %+v", most, n, got)
		}
	}
}

// A task that its owner ends while no connection to its host is open is ended on the next one.
func TestEndedWithNoConnection(t *testing.T) {
	w := newWorld(t, nil)
	o, link := w.placed(ref1)
	w.step(HostDisconnected{link})
	w.want(lines[SendToOwner](w.say(o, `{"t":"down","ref":"`+ref1+`","f":{},"c":16}`)), "ack "+ref1)
	var calls []DialHost
	for range 40 { // its host takes no connection for 2 s
		w.now += 50 * time.Millisecond
		calls = append(calls, only[DialHost](w.step())...)
		if len(calls) > 0 && w.c.connections[calls[len(calls)-1].Connection] != nil && len(calls) < 3 {
			w.step(DialFailed{Connection: calls[len(calls)-1].Connection})
		}
	}
	w.want(lines[SendToHost](w.step(HostConnected{calls[len(calls)-1].Connection})), "down "+ref1+" 16")
	w.pass(1100 * time.Millisecond)
	if w.c.requestsByRef[ref1] != nil {
		t.Error("it is not forgotten once its host was told")
	}
}
