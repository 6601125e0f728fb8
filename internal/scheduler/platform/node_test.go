package platform

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
)

// A set-up goes on byte for byte, and the answer comes back so.
func TestTaskIsPlaced(t *testing.T) {
	w := newWorld(t, nil)
	o := w.owner()
	w.say(o, setUp(ref1, "keyed", ""))
	out := w.dials()
	f := fields(only[SendToHost](out)[0].Line)
	for name, want := range map[string]string{
		"class": `"keyed"`, "key": `"7f3a9c21e0b4d655"`, "idem": `"aa"`, "left": `"1500"`, "d": `"a\ud800\r\nb"`,
	} {
		if string(f[name]) != want {
			t.Errorf("%s goes on as %s, want %s", name, f[name], want)
		}
	}
	if f["tenant"] != nil || f["extras"] != nil {
		t.Error("the host is told what is for the placer")
	}
	a := told[forkhead.PlacementRequest](w)[0].Task
	if a.Cores != 1 || a.Memory != 2 || a.Service != 0xb4d65521 || a.Key != 0x7f3a9c21e0b4d655 || a.Timeout != 1500*time.Millisecond || a.Resubmitted {
		t.Errorf("the module is told %+v", a)
	}
	w.now += 30 * time.Millisecond
	link := only[SendToHost](out)[0].Connection
	w.step(HostData{link, []byte(`{"t":"up","ref":"` + ref1 + `","f":{},"d":"x\udc00"}` + "\n")})
	if got := only[SendToOwner](w.out)[0].Line; !strings.Contains(string(got), `"d":"x\udc00"`) {
		t.Errorf("the answer goes on as %s", got)
	}
	if b := told[forkhead.Bound](w); len(b) != 1 || b[0].Took != 30*time.Millisecond || b[0].Machine != 1 {
		t.Errorf("Bound %+v", b)
	}
}

// Each way in which an attempt ends is one outcome, with its code.
func TestOutcomes(t *testing.T) {
	release := func(cause int, f string) func(*world, ConnectionID) {
		return func(w *world, link ConnectionID) {
			w.step(HostData{link, []byte(fmt.Sprintf(`{"t":"down","ref":"%s","f":{%s},"c":%d}`+"\n", ref1, f, cause))})
		}
	}
	const (
		early = iota // the connection is not made yet
		out
		stands
	)
	for name, c := range map[string]struct {
		when   int
		do     func(w *world, link ConnectionID)
		result forkhead.Result
		final  bool
		reason forkhead.RejectReason
	}{
		"refused":         {out, release(34, `"note":"lack_ram","load":"x0:1.5;queue:3"`), forkhead.Rejected, false, forkhead.InsufficientMemory},
		"error":           {out, release(47, ""), forkhead.Errored, false, 0},
		"moot":            {out, release(102, ""), forkhead.NotSent, false, 0},
		"reset":           {out, release(41, ""), forkhead.Reset, false, 0},
		"another cause":   {out, release(7, ""), forkhead.Reset, false, 0},
		"connection ends": {out, func(w *world, link ConnectionID) { w.step(HostDisconnected{link}) }, forkhead.Reset, false, 0},
		"unreadable":      {out, func(w *world, link ConnectionID) { w.step(HostData{link, []byte("{]\n")}) }, forkhead.Reset, false, 0},
		"no end": {out, func(w *world, link ConnectionID) {
			w.step(HostData{link, []byte(strings.Repeat("a", platform.MaxLineSize+1))})
		}, forkhead.Reset, false, 0},
		"half a line":   {out, func(w *world, link ConnectionID) { w.step(HostData{link, []byte("{")}); w.pass(400 * time.Millisecond) }, forkhead.Reset, false, 0},
		"deadline":      {out, func(w *world, link ConnectionID) { w.pass(1500 * time.Millisecond) }, forkhead.TimedOut, false, 0},
		"owner leaves":  {out, func(w *world, link ConnectionID) { w.say(1, `{"t":"down","ref":"`+ref1+`","f":{},"c":16}`) }, forkhead.Withdrawn, true, 0},
		"owner is gone": {out, func(w *world, link ConnectionID) { w.step(OwnerDisconnected{1}) }, forkhead.Withdrawn, true, 0},
		"not connected": {early, func(w *world, link ConnectionID) { w.step(DialFailed{Connection: link, Refused: true}) }, forkhead.ConnectFailed, false, 0},
		"ok":            {stands, release(16, ""), forkhead.OK, true, 0},
		"cut":           {stands, release(41, `"note":"killed"`), forkhead.Reset, true, forkhead.Evicted},
		"ended":         {stands, release(31, ""), forkhead.Withdrawn, true, 0},
		"its host dies": {stands, func(w *world, link ConnectionID) {
			w.step(HostDisconnected{link})
			for range 8 {
				w.pass(60 * time.Millisecond)
				w.refuse(true)
			}
		}, forkhead.Reset, true, 0},
		"its host is gone by the list": {stands, func(w *world, link ConnectionID) {
			w.step(WatchEventReceived{Event: platform.WatchEvent{Seq: 2, Endpoints: &platform.EndpointList{Hosts: []platform.Endpoint{hostInfo(1, platform.Terminated)}}}})
			w.pass(time.Second)
		}, forkhead.Reset, true, 0},
		"its host is up anew": {stands, func(w *world, link ConnectionID) {
			info := hostInfo(1, platform.InService)
			info.StartedAtMS = float64((w.now + time.Second).Milliseconds())
			w.step(WatchEventReceived{Event: platform.WatchEvent{Seq: 2, Endpoints: &platform.EndpointList{Hosts: []platform.Endpoint{info}}}})
		}, forkhead.Reset, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, nil)
			o := w.owner()
			w.say(o, setUp(ref1, "keyed", ""))
			link := only[DialHost](w.out)[0].Connection
			if c.when >= out {
				w.dials()
			}
			if c.when == stands {
				w.step(HostData{link, []byte(`{"t":"up","ref":"` + ref1 + `","f":{},"d":"x"}` + "\n")})
			}
			c.do(w, link)
			got := told[forkhead.Outcome](w)
			if len(got) != 1 || got[0].Result != c.result || got[0].Final != c.final || got[0].Reason != c.reason || got[0].Attempt != 0 {
				t.Fatalf("outcomes %+v, want one with result %d, final %v, reason %d", got, c.result, c.final, c.reason)
			}
			if name == "refused" && (got[0].Report == nil || got[0].Report.AvailableCores != 1.5 || got[0].Report.Queue != 3) {
				t.Errorf("report %+v", got[0].Report)
			}
		})
	}
}

// An offer that waited for its connection is not sent once that is wrong.
func TestOfferThatWaited(t *testing.T) {
	for name, wrong := range map[string]func(w *world){
		"owner gone": func(w *world) { w.step(OwnerDisconnected{1}) },
		"draining past the grace": func(w *world) {
			w.step(WatchEventReceived{Event: platform.WatchEvent{Seq: 2, Endpoints: &platform.EndpointList{Hosts: []platform.Endpoint{hostInfo(1, platform.Terminating)}}}})
			w.pass(300 * time.Millisecond)
		},
	} {
		w := newWorld(t, nil)
		o := w.owner()
		w.say(o, setUp(ref1, "keyed", ""))
		dial := only[DialHost](w.out)[0]
		wrong(w)
		if got := w.step(HostConnected{dial.Connection}); len(lines[SendToHost](got)) != 0 {
			t.Errorf("%s: %q is sent all the same", name, lines[SendToHost](got))
		}
		if got := told[forkhead.Outcome](w); len(got) != 1 || got[0].Result != forkhead.NotSent && got[0].Result != forkhead.Withdrawn {
			t.Errorf("%s: outcomes %+v", name, got)
		}
	}
}

// What the module gives up on is answered in the same step.
func TestAnswersAtOnce(t *testing.T) {
	w := newWorld(t, nil)
	o := w.owner()
	w.next = func(ev forkhead.Event) []forkhead.Action {
		if a, ok := ev.(forkhead.PlacementRequest); ok {
			return []forkhead.Action{forkhead.Reject{Task: a.Task.ID, RetryAfter: 300 * time.Millisecond}}
		}
		return nil
	}
	out := w.say(o, setUp(ref1, "keyed", ""))
	w.want(lines[SendToOwner](out), "down "+ref1+" 34")
	if wait := fields(only[SendToOwner](out)[0].Line)["wait"]; string(wait) != `"300"` {
		t.Errorf("wait is %s", wait)
	}
	w.next = func(ev forkhead.Event) []forkhead.Action {
		if a, ok := ev.(forkhead.PlacementRequest); ok {
			return []forkhead.Action{forkhead.Fail{Task: a.Task.ID}}
		}
		return nil
	}
	w.want(lines[SendToOwner](w.say(o, setUp(ref2, "keyed", ""))), "down "+ref2+" 47")
}

// A refusal that the rules do not allow is not let through.
func TestRefusalThatPromisesTooMuch(t *testing.T) {
	w := newWorld(t, nil)
	o := w.owner()
	w.say(o, setUp(ref1, "unsafe", ""))
	out := w.dials()
	w.next = func(ev forkhead.Event) []forkhead.Action {
		if x, ok := ev.(forkhead.Outcome); ok && x.Attempt == 0 {
			return []forkhead.Action{forkhead.Offer{Task: x.Task, Machine: 2}, forkhead.Reject{Task: x.Task}}
		}
		return nil
	}
	out = w.step(HostDisconnected{only[SendToHost](out)[0].Connection})
	w.want(lines[SendToOwner](out), "down "+ref1+" 47")
	if len(only[DialHost](out)) > 0 {
		t.Error("an unsafe task that may have run is sent again")
	}
}

// A standing task ends by its owner, from any connection; by the module; and each time its host is told.
func TestStandingTaskEnds(t *testing.T) {
	w := newWorld(t, nil)
	_, link := w.placed(ref1)
	other := w.owner()
	out := w.say(other, `{"t":"down","ref":"`+ref1+`","f":{},"c":16}`)
	w.want(lines[SendToOwner](out), "ack "+ref1)
	w.want(lines[SendToHost](out), "down "+ref1+" 16")
	w.step(HostData{link, []byte(`{"t":"down","ref":"` + ref1 + `","f":{},"c":31}` + "\n")})
	w.want(lines[SendToOwner](w.out))
	if got := told[forkhead.Outcome](w); len(got) != 1 || got[0].Result != forkhead.Withdrawn {
		t.Errorf("outcomes %+v", got)
	}

	w = newWorld(t, nil)
	w.placed(ref1)
	w.next = func(forkhead.Event) []forkhead.Action { return []forkhead.Action{forkhead.Stop{Task: 1}} }
	out = w.step(GossipReceived{1, nil})
	w.want(lines[SendToOwner](out), "shift "+ref1)
	w.want(lines[SendToHost](out), "down "+ref1+" 16")
	w.next = nil
	w.pass(2 * time.Second) // the host says nothing
	if got := told[forkhead.Outcome](w); len(got) != 1 || got[0].Result != forkhead.Withdrawn || !got[0].Final {
		t.Errorf("outcomes %+v", got)
	}
	if len(w.c.requests)+len(w.c.requestsByRef)+len(w.c.attemptsByService) > 0 {
		t.Error("the task is not forgotten")
	}
}

// No connection owns a standing task: its end is told on another one, or on the next that is used.
func TestReleaseFindsItsOwner(t *testing.T) {
	w := newWorld(t, nil)
	o, link := w.placed(ref1)
	w.step(OwnerDisconnected{o})
	w.step(HostData{link, []byte(`{"t":"down","ref":"` + ref1 + `","f":{},"c":16}` + "\n")})
	w.want(lines[SendToOwner](w.out))
	next := w.owner()
	w.want(lines[SendToOwner](w.say(next, `{"t":"hb","ref":"0000000000000001","f":{},"c":0}`)), "hb_ok 0000000000000001 1")
	w.want(lines[SendToOwner](w.say(next, setUp(ref2, "keyed", ";at:s-00000001"))), "down "+ref1+" 16")
}

// A task that is handed over is not answered, and is held as one that stands.
func TestHandedOver(t *testing.T) {
	w := newWorld(t, nil)
	o := w.owner()
	long := strings.Replace(setUp(ref1, "keyed", ";at:s-00000002"), `"left":"1500"`, `"left":"4294967"`, 1)
	w.want(lines[SendToOwner](w.say(o, long)))
	if got := told[forkhead.HandedOver](w); len(got) != 1 || got[0].Machine != 2 {
		t.Fatalf("the module is told %+v", got)
	}
	w.pass(100 * time.Millisecond) // its host has something to say on the next connection that opens
	w.pass(time.Millisecond)
	if len(w.c.hosts[2].connections) != 1 {
		t.Fatal("no connection to its host is made")
	}
	link := w.c.hosts[2].connections[0].id
	w.step(HostConnected{link})
	w.step(HostData{link, []byte(`{"t":"down","ref":"` + ref1 + `","f":{},"c":16}` + "\n")})
	w.want(lines[SendToOwner](w.out), "down "+ref1+" 16")
	w.want(lines[SendToOwner](w.say(o, setUp(ref2, "keyed", ";at:t-00000002"))), "down "+ref2+" 47") // another name's number
}

// A host that refuses new connections and holds ours is not lost; one that vanishes is, in time.
func TestHostThatDrainsAndHostThatVanishes(t *testing.T) {
	w := newWorld(t, nil)
	_, link := w.placed(ref1)
	for range 100 {
		w.pass(100 * time.Millisecond)
		w.refuse(true)
	}
	if got := told[forkhead.Outcome](w); len(got) != 0 {
		t.Fatalf("a host that drains loses its tasks: %+v", got)
	}
	if w.c.connections[link] == nil {
		t.Fatal("its connection was closed")
	}
	began := w.now
	for len(w.seen) == 0 || len(told[forkhead.Outcome](w)) == 0 {
		w.pass(50 * time.Millisecond)
		w.refuse(false)
		if w.now > began+8*time.Second {
			t.Fatal("a host that vanished holds its tasks for more than 8 s")
		}
	}
}

// Bad input is turned down or its connection closed, and never reaches the module; the open request beside it stays.
func TestBadOwners(t *testing.T) {
	good := setUp(ref1, "keyed", "")
	for name, c := range map[string]struct {
		line   string
		closes bool
	}{
		"unreadable":     {"{]", true},
		"not an object":  {"[1]", true},
		"no ref":         {`{"t":"new","f":{},"d":"x"}`, true},
		"short ref":      {strings.Replace(good, ref1, "12", 1), true},
		"unknown type":   {`{"t":"what","ref":"` + ref1 + `","f":{}}`, true},
		"an answer":      {`{"t":"up","ref":"` + ref1 + `","f":{},"d":"x"}`, true},
		"too long":       {strings.Repeat("x", platform.MaxLineSize+1), true},
		"unknown id":     {`{"t":"down","ref":"` + ref1 + `","f":{},"c":16}`, true},
		"class":          {strings.Replace(good, `"keyed"`, `"kept"`, 1), false},
		"tenant":         {strings.Replace(good, "acme", "nobody", 1), false},
		"left below 0":   {strings.Replace(good, `"1500"`, `"-5"`, 1), false},
		"left too large": {strings.Replace(good, `"1500"`, `"99999999999999999999999"`, 1), false},
		"left no number": {strings.Replace(good, `"1500"`, `"soon"`, 1), false},
		"cores":          {strings.Replace(good, "cores:1", "cores:nan", 1), false},
		"memory":         {strings.Replace(good, "memory:2", "memory:1e99", 1), false},
		"no service":     {strings.Replace(good, "service", "servant", 1), false},
		"no idem":        {strings.Replace(good, `"idem":"aa",`, "", 1), false},
		"an object":      {strings.Replace(good, `"aa"`, `{}`, 1), false},
		"no description": {strings.Replace(good, `,"d":"a\ud800\r\nb"`, "", 1), false},
	} {
		w := newWorld(t, nil)
		usual := w.owner()
		w.say(usual, setUp(ref2, "keyed", ""))
		o := w.owner()
		told[forkhead.PlacementRequest](w)
		out := w.say(o, c.line)
		if c.closes != (len(only[CloseOwnerConnection](out)) == 1) {
			t.Errorf("%s: outputs %v, closed should be %v", name, out, c.closes)
		}
		if !c.closes {
			w.want(lines[SendToOwner](out), "down "+ref1+" 47")
		}
		if len(told[forkhead.PlacementRequest](w)) > 0 || w.c.unanswered != 1 || w.c.requestsByRef[ref2] == nil {
			t.Errorf("%s: the module is told of it, or the request beside it is gone", name)
		}
	}
}

// One number is one request: the same again goes on on its new connection, another under it does not touch it.
func TestOneNumberTwice(t *testing.T) {
	w := newWorld(t, nil)
	first, second := w.owner(), w.owner()
	w.say(first, setUp(ref1, "keyed", ""))
	out := w.say(second, strings.Replace(setUp(ref1, "keyed", ""), `a\ud800`, "other", 1))
	w.want(lines[SendToOwner](out), "down "+ref1+" 47")
	if only[SendToOwner](out)[0].Owner != second || w.c.unanswered != 1 {
		t.Fatal("the open request is touched")
	}
	w.say(second, setUp(ref1, "keyed", ""))
	w.step(OwnerDisconnected{first})
	if len(told[forkhead.PlacementRequest](w)) != 1 || len(told[forkhead.RequestCanceled](w)) != 0 {
		t.Fatal("the same again is not one request")
	}
	out = w.say(second, strings.Replace(setUp(ref1, "keyed", ""), `a\ud800`, "other", 1))
	if len(only[CloseOwnerConnection](out)) != 1 {
		t.Fatal("two set-ups under one number on one connection do not close it")
	}
	w.want(lines[SendToOwner](out), "down "+ref1+" 47")
}

// Connections that say nothing, or do not end a line, are closed within 3 s; one that asked once stays.
func TestSilentOwners(t *testing.T) {
	w := newWorld(t, nil)
	silent, half := w.owner(), w.owner()
	w.step(OwnerData{half, []byte(`{"t":`)})
	usual, _ := w.placed(ref1)
	closed := map[OwnerID]bool{}
	for range 60 {
		w.now += 50 * time.Millisecond
		for _, c := range only[CloseOwnerConnection](w.step()) {
			closed[c.Owner] = true
		}
	}
	if !closed[silent] || !closed[half] || closed[usual] {
		t.Errorf("closed %v, want %d and %d", closed, silent, half)
	}
}

// Where connections run out, the silent go first, then the idle; a connection with an open request stays.
func TestOutOfConnections(t *testing.T) {
	w := newWorld(t, nil)
	busy := w.owner()
	w.say(busy, setUp(ref1, "keyed", ""))
	idle := w.owner()
	w.say(idle, `{"t":"hb","ref":"0000000000000001","f":{},"c":0}`)
	var gone []OwnerID
	for range 8 {
		w.now += time.Millisecond
		w.owner()
		for _, c := range only[CloseOwnerConnection](w.out) {
			gone = append(gone, c.Owner)
		}
	}
	if len(gone) != 2 || gone[0] != 3 || gone[1] != 4 {
		t.Errorf("closed %v, want the oldest silent ones, 3 and 4", gone)
	}
	if len(w.c.owners) != 8 || w.c.owners[busy] == nil || w.c.owners[idle] == nil {
		t.Error("a connection that is used was closed")
	}
}

// A usual owner, whose task stands, is not pushed out by hundreds who ask once and stay, and is told its end.
func TestUsualOwnerStays(t *testing.T) {
	w := newWorld(t, nil)
	usual, link := w.placed(ref1)
	for i := range 300 {
		w.now += time.Millisecond
		o := w.owner()
		w.say(o, strings.Replace(setUp(fmt.Sprintf("%016x", i+1), "keyed", ""), "acme", "nobody", 1))
		w.say(o, `{"t":"hb","ref":"0000000000000001","f":{},"c":0}`)
	}
	w.step(HostData{link, []byte(`{"t":"down","ref":"` + ref1 + `","f":{},"c":16}` + "\n")})
	if got := only[SendToOwner](w.out); len(got) != 1 || got[0].Owner != usual {
		t.Errorf("the release goes to %+v, want owner %d", got, usual)
	}
}

// A second copy and an answer under an unknown number are passed over; a late answer leaves no task without an owner.
func TestMoreThanBelongs(t *testing.T) {
	w := newWorld(t, nil)
	_, link := w.placed(ref1)
	w.step(HostData{link, []byte(`{"t":"up","ref":"` + ref1 + `","f":{},"d":"y"}` + "\n" + `{"t":"up","ref":"` + ref2 + `","f":{},"d":"y"}` + "\n")})
	w.want(lines[SendToOwner](w.out))
	w.want(lines[SendToHost](w.out))
	if w.c.connections[link] == nil {
		t.Fatal("the connection is closed")
	}
	o := w.owner()
	out := w.say(o, setUp(ref2, "keyed", ""))
	w.want(lines[SendToHost](out), "new "+ref2)
	w.say(o, `{"t":"down","ref":"`+ref2+`","f":{},"c":16}`)
	w.want(lines[SendToHost](w.out), "down "+ref2+" 16")
	w.step(HostData{link, []byte(`{"t":"up","ref":"` + ref2 + `","f":{},"d":"y"}` + "\n")})
	w.want(lines[SendToHost](w.out), "down "+ref2+" 16")
	w.want(lines[SendToOwner](w.out))
}

// A connection that stays open and answers nothing is closed once later offers are answered on another.
func TestOvertaken(t *testing.T) {
	w := newWorld(t, nil)
	o := w.owner()
	w.say(o, setUp(ref1, "keyed", ""))
	stuck := only[SendToHost](w.dials())[0].Connection
	w.now += 100 * time.Millisecond
	w.say(o, setUp(ref2, "keyed", ""))
	link := only[SendToHost](w.dials())[0].Connection
	if link == stuck {
		t.Fatal("the second offer takes the busy connection")
	}
	w.step(HostData{link, []byte(`{"t":"up","ref":"` + ref2 + `","f":{},"d":"y"}` + "\n")})
	if got := told[forkhead.Outcome](w); len(got) != 1 || got[0].Result != forkhead.Reset || w.c.connections[stuck] != nil {
		t.Errorf("outcomes %+v", got)
	}
	// Its task may stand without an owner: it is cut.
	w.want(lines[SendToHost](w.out), "down "+ref1+" 16")
}

// A probe that a dead connection does not answer is tried on another before it fails.
func TestProbe(t *testing.T) {
	w := newWorld(t, nil)
	w.next = func(ev forkhead.Event) []forkhead.Action {
		if _, ok := ev.(forkhead.Received); ok {
			return []forkhead.Action{forkhead.Probe{Machine: 1}}
		}
		return nil
	}
	w.step(GossipReceived{1, nil})
	w.dials()
	test := lines[SendToHost](w.out)[0]
	w.pass(150 * time.Millisecond)
	for _, l := range w.c.hosts[1].connections {
		if l.state == connectionDialing {
			w.step(HostConnected{l.id})
		}
	}
	again := lines[SendToHost](w.out)
	if len(again) != 1 || again[0] == test {
		t.Fatalf("the probe is not sent again: %q", again)
	}
	ref := strings.Fields(again[0])[1]
	w.step(HostData{w.c.hosts[1].connections[1].id, []byte(`{"t":"hb_ok","ref":"` + ref + `","f":{"load":"x0:2"},"c":1}` + "\n")})
	if got := told[forkhead.Probed](w); len(got) != 1 || got[0].Result != forkhead.OK || got[0].Report.AvailableCores != 2 {
		t.Errorf("probed %+v", got)
	}
	w.step(GossipReceived{1, nil})
	w.pass(300 * time.Millisecond)
	if got := told[forkhead.Probed](w); len(got) != 1 || got[0].Result != forkhead.TimedOut {
		t.Errorf("probed %+v", got)
	}
}

// An event of the change log counts once.
func TestChangesCountOnce(t *testing.T) {
	w := newWorld(t, nil)
	told[forkhead.ListUpdate](w)
	ch := platform.WatchEvent{Seq: 2, Endpoints: &platform.EndpointList{Hosts: []platform.Endpoint{hostInfo(3, platform.InService)}}}
	w.step(WatchEventReceived{Event: ch}, WatchEventReceived{Event: ch})
	w.step(WatchEventReceived{Event: platform.WatchEvent{Seq: 1, Endpoints: ch.Endpoints}})
	if got := told[forkhead.ListUpdate](w); len(got) != 1 || got[0].Mode != forkhead.ListDelta || got[0].Machines[0].ID != 3 {
		t.Errorf("updates %+v", got)
	}
}

// Told to end, a placer serves on as long as requests come, refuses later ones at once, answers all and ends.
func TestStop(t *testing.T) {
	w := newWorld(t, nil)
	o := w.owner()
	w.step(ShutdownRequested{})
	w.say(o, setUp(ref1, "keyed", ""))
	link := only[SendToHost](w.dials())[0].Connection
	closed, ended := false, false
	tick := func(d time.Duration) {
		for range d / (50 * time.Millisecond) {
			w.now += 50 * time.Millisecond
			out := w.step()
			closed = closed || len(only[CloseListener](out)) > 0
			ended = ended || len(only[ShutdownComplete](out)) > 0
		}
	}
	tick(600 * time.Millisecond)
	if closed {
		t.Fatal("it stops listening while requests come")
	}
	tick(700 * time.Millisecond)
	w.want(lines[SendToOwner](w.say(o, setUp(ref2, "keyed", ""))), "down "+ref2+" 42")
	if !closed || ended {
		t.Fatal("it listens on, or ends with a request open")
	}
	w.step(HostData{link, []byte(`{"t":"up","ref":"` + ref1 + `","f":{},"d":"y"}` + "\n")})
	tick(200 * time.Millisecond)
	if !ended {
		t.Error("it does not end")
	}
}

// Ever new numbers, connections and hosts leave nothing behind.
func TestLongDayIsForgotten(t *testing.T) {
	w := newWorld(t, nil)
	seq := uint64(1)
	for i := range 20000 {
		if i%100 == 0 { // hosts under new names, some at the address of one that has gone
			n := 10 + i/100
			seq++
			gone := hostInfo(n-1, platform.Terminated)
			fresh := hostInfo(n, platform.InService)
			fresh.Address = fmt.Sprintf("10.0.1.%d:1", n%3)
			w.step(WatchEventReceived{Event: platform.WatchEvent{Seq: seq, Endpoints: &platform.EndpointList{Hosts: []platform.Endpoint{gone, fresh}}}})
		}
		ref := fmt.Sprintf("%016x", i+1)
		o := w.owner()
		w.say(o, setUp(ref, "keyed", ""))
		w.dials()
		l := w.c.hosts[1].leastBusyConnection()
		switch i % 4 {
		case 0:
			w.step(HostData{l.id, []byte(`{"t":"down","ref":"` + ref + `","f":{},"c":34}` + "\n")})
			w.say(o, `{"t":"down","ref":"`+ref+`","f":{},"c":16}`)
		case 1:
			w.step(HostDisconnected{l.id})
		default:
			w.step(HostData{l.id, []byte(`{"t":"up","ref":"` + ref + `","f":{},"d":"y"}` + "\n")})
			w.step(HostData{l.id, []byte(`{"t":"down","ref":"` + ref + `","f":{},"c":16}` + "\n")})
		}
		w.step(OwnerDisconnected{o})
		w.now += 13 * time.Millisecond
		w.step()
		w.seen = nil
	}
	w.pass(time.Minute)
	c := w.c
	if n := len(c.requests) + len(c.requestsByRef) + len(c.attemptsByService) + len(c.owners) + len(c.undelivered) + c.unanswered + c.timers.Len(); n != 0 {
		t.Errorf("%d tasks, refs, services, owners, lines and timers are kept", n)
	}
	if len(c.hosts) > 6 || len(c.connections) > maxConnectionsPerHost || len(c.abandoned.ring) > maxRemembered || len(c.abandoned.counts) > maxRemembered {
		t.Errorf("%d hosts, %d links, %d given up", len(c.hosts), len(c.connections), len(c.abandoned.counts))
	}
}
