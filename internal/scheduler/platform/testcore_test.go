package platform

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
)

// testCore is a core with a clock that the test advances and a function of the test in place of the module.
type testCore struct {
	t         testing.TB
	core      *Core
	now       time.Duration
	events    []forkhead.Event // events that the module received and takeEvents has not returned
	decide    func(ev forkhead.Event) []forkhead.Action
	outputs   []Output // outputs of the last step
	lastOwner OwnerID
}

// endpoint returns the entry of host n in the endpoint list.
func endpoint(n int, state platform.EndpointState) platform.Endpoint {
	return platform.Endpoint{
		Name: fmt.Sprintf("s-%08x", n), Address: fmt.Sprintf("10.0.0.%d:1", n), Zone: "z", MachineType: "std", Cell: n, State: state, Available: []float64{8, 8},
	}
}

// newTestCore returns a core with two hosts, whose module offers each task to host 1. The function change modifies the
// configuration before the core is created; it may be nil.
func newTestCore(t testing.TB, change func(*Config)) *testCore {
	t.Helper()
	w := &testCore{t: t, now: time.Hour}
	cfg := Config{
		Settings: forkhead.Settings{
			Placers: 2, MachineTypes: []forkhead.MachineType{{Cores: 8, Memory: 8}}, MaxAttempts: 4, DrainGrace: 250 * time.Millisecond, MayWithdraw: true,
			Classes: []forkhead.Class{
				{Effect: forkhead.Keyed, DedupWindow: 8 * time.Second, MachineType: -1}, {Effect: forkhead.Unsafe, MachineType: -1},
			},
		},
		Names:       WireNames{Classes: []string{"keyed", "unsafe"}, Tenants: []string{"acme"}, Zones: []string{"z"}, MachineTypes: []string{"std"}},
		IdleTimeout: 30 * time.Second, MaxOwnerConnections: 8, MaxHostConnections: 16,
		InitialEvents: []platform.WatchEvent{{Seq: 1, Endpoints: &platform.EndpointList{Snapshot: true, Hosts: []platform.Endpoint{
			endpoint(1, platform.InService), endpoint(2, platform.InService),
		}}}},
	}
	cfg.Decide = func(_ time.Duration, events []forkhead.Event) []forkhead.Action {
		var all []forkhead.Action
		for _, ev := range events {
			w.events = append(w.events, ev)
			if w.decide != nil {
				all = append(all, w.decide(ev)...)
			}
		}
		return all
	}
	w.decide = func(ev forkhead.Event) []forkhead.Action {
		if a, ok := ev.(forkhead.PlacementRequest); ok {
			return []forkhead.Action{forkhead.Offer{Task: a.Task.ID, Machine: 1}}
		}
		return nil
	}
	if change != nil {
		change(&cfg)
	}
	c, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	w.core = c
	w.step()
	return w
}

// offerAgain makes the module offer each task to host 1 again after an attempt that leaves its request open.
func (w *testCore) offerAgain() {
	w.decide = func(ev forkhead.Event) []forkhead.Action {
		switch ev := ev.(type) {
		case forkhead.PlacementRequest:
			return []forkhead.Action{forkhead.Offer{Task: ev.Task.ID, Machine: 1}}
		case forkhead.Outcome:
			if !ev.Final {
				return []forkhead.Action{forkhead.Offer{Task: ev.Task, Machine: 1}}
			}
		}
		return nil
	}
}

// step runs a step of the core at the current time.
func (w *testCore) step(in ...Input) []Output {
	w.outputs = w.core.Step(w.now, in...)
	return w.outputs
}

// advance lets time pass and steps the core whenever Next says so, but at most once per millisecond.
func (w *testCore) advance(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now = min(end, max(w.core.Next(), w.now+time.Millisecond))
		w.step()
	}
}

// connectOwner opens a connection of an owner and returns its id.
func (w *testCore) connectOwner() OwnerID {
	w.lastOwner++
	w.step(OwnerConnected{Owner: w.lastOwner})
	return w.lastOwner
}

// send delivers a line from an owner.
func (w *testCore) send(owner OwnerID, line string) []Output {
	return w.step(OwnerData{Owner: owner, Data: []byte(line + "\n")})
}

const ownerProbe = `{"t":"hb","ref":"0000000000000001","f":{},"c":0}`

// requestLine returns a placement request. The parameter more is appended to its extras.
func requestLine(ref, class, more string) string {
	return fmt.Sprintf(`{"t":"new","ref":"%s","f":{"class":"%s","left":"1500","tenant":"acme","key":"7f3a9c21e0b4d655","idem":"aa","extras":"cores:1;memory:2;service:00000000b4d65521%s"},"d":"a\ud800\r\nb"}`,
		ref, class, more)
}

// connectDialed makes the dials of the last step succeed.
func (w *testCore) connectDialed() []Output {
	var in []Input
	for _, o := range w.outputs {
		if d, ok := o.(DialHost); ok {
			in = append(in, HostConnected{d.Connection})
		}
	}
	return w.step(in...)
}

// failDials makes the pending dials of host 1 fail.
func (w *testCore) failDials(refused bool) {
	for _, l := range slices.Clone(w.core.hosts[1].connections) {
		if l.state == connectionDialing {
			w.step(DialFailed{Connection: l.id, Refused: refused})
		}
	}
}

// sentLines returns the lines that outputs send to owners or hosts, each as its type, ref and cause.
func sentLines[T SendToOwner | SendToHost](out []Output) []string {
	var all []string
	for _, o := range out {
		v, ok := o.(T)
		if !ok {
			continue
		}
		var text []byte
		switch v := any(v).(type) {
		case SendToOwner:
			text = v.Line
		case SendToHost:
			text = v.Line
		}
		m, err := platform.Decode([]byte(strings.TrimSuffix(string(text), "\n")))
		if err != nil {
			panic(err)
		}
		s := string(m.Type) + " " + m.Ref
		if m.Cause >= 0 {
			s += fmt.Sprint(" ", m.Cause)
		}
		all = append(all, s)
	}
	return all
}

// ofType returns the outputs of one type.
func ofType[T any](out []Output) []T {
	var all []T
	for _, o := range out {
		if v, ok := o.(T); ok {
			all = append(all, v)
		}
	}
	return all
}

// takeEvents removes and returns the events of one type that the module has received since the last call.
func takeEvents[T forkhead.Event](w *testCore) []T {
	var all []T
	w.events = slices.DeleteFunc(w.events, func(ev forkhead.Event) bool {
		v, ok := ev.(T)
		if ok {
			all = append(all, v)
		}
		return ok
	})
	return all
}

// wantLines fails the test if got, as returned by sentLines, differs from want.
func (w *testCore) wantLines(got []string, want ...string) {
	w.t.Helper()
	if !slices.Equal(got, want) {
		w.t.Fatalf("lines sent: got %q, want %q", got, want)
	}
}

const (
	ref1 = "9b1f03aa5c7e2d41"
	ref2 = "9b1f03aa5c7e2d42"
	ref3 = "9b1f03aa5c7e2d43"
)

// placeTask places the task of ref1 on host 1 and returns the connection of its owner and the one to its host.
func (w *testCore) placeTask() (owner OwnerID, conn ConnectionID) {
	w.t.Helper()
	owner = w.connectOwner()
	w.send(owner, requestLine(ref1, "keyed", ""))
	out := slices.Clone(w.outputs)
	out = append(out, w.connectDialed()...)
	w.wantLines(sentLines[SendToHost](out), "new "+ref1)
	conn = ofType[SendToHost](out)[0].Connection
	w.step(HostData{conn, []byte(`{"t":"up","ref":"` + ref1 + `","f":{},"d":"from the host"}` + "\n")})
	w.wantLines(sentLines[SendToOwner](w.outputs), "up "+ref1)
	return owner, conn
}

// fieldsOf returns the fields of a line, and its description under the name d.
func fieldsOf(line []byte) map[string]json.RawMessage {
	var m struct{ F, D json.RawMessage }
	_ = json.Unmarshal(line, &m)
	var f map[string]json.RawMessage
	_ = json.Unmarshal(m.F, &f)
	f["d"] = m.D
	return f
}

// boundLine returns a host's answer that it runs a task.
func boundLine(ref string) string { return fmt.Sprintf(`{"t":"up","ref":"%s","f":{},"d":"x"}`, ref) }

// releaseLine returns a release of the request, attempt or task that a ref identifies.
func releaseLine(ref string, cause int) string {
	return fmt.Sprintf(`{"t":"down","ref":"%s","f":{},"c":%d}`, ref, cause)
}

// fromHost returns the input that delivers lines from a host.
func fromHost(conn ConnectionID, lines ...string) HostData {
	return HostData{conn, []byte(strings.Join(lines, "\n") + "\n")}
}

// connected returns the input that reports that a dial has succeeded.
func connected(dial DialHost) Input { return HostConnected{dial.Connection} }

// handOverLine returns a hand-over of a task that a host already runs.
func handOverLine(ref string, host int) string {
	return requestLine(ref, "keyed", fmt.Sprintf(";at:s-%08x", host))
}

// hostChanged returns the first watch event after the initial list. It sets the state of one host.
func hostChanged(n int, state platform.EndpointState) WatchEventReceived {
	return WatchEventReceived{Event: platform.WatchEvent{Seq: 2, Endpoints: &platform.EndpointList{Hosts: []platform.Endpoint{endpoint(n, state)}}}}
}

// run lets time pass in steps of 10 ms. In each step it answers all dials with the results of the function answer, and
// calls the function each at the end of the step.
func (w *testCore) run(d time.Duration, answer func(DialHost) Input, each func()) {
	for end := w.now + d; w.now < end; {
		w.now += 10 * time.Millisecond
		w.step()
		for dials := ofType[DialHost](w.outputs); len(dials) > 0; dials = ofType[DialHost](w.outputs) {
			var in []Input
			for _, d := range dials {
				in = append(in, answer(d))
			}
			w.step(in...)
		}
		each()
	}
}

// requestNumber returns the ref of the request with a number.
func requestNumber(number int) string { return fmt.Sprintf("%016x", number+1) }
