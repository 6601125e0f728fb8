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

// world is a core under a test's clock, with a scripted module: it offers each task to the host that the test says.
type world struct {
	t      testing.TB
	c      *Core
	now    time.Duration
	seen   []forkhead.Event // what the module was told
	next   func(ev forkhead.Event) []forkhead.Action
	out    []Output // of the last step
	seq    uint64
	owners OwnerID
}

func hostInfo(n int, state platform.EndpointState) platform.Endpoint {
	return platform.Endpoint{
		Name: fmt.Sprintf("s-%08x", n), Address: fmt.Sprintf("10.0.0.%d:1", n), Zone: "z", MachineType: "std", Cell: n, State: state, Available: []float64{8, 8},
	}
}

func newWorld(t *testing.T, change func(*Config)) *world { t.Helper(); return newWorldOf(t, change) }

func newWorldOf(t testing.TB, change func(*Config)) *world {
	t.Helper()
	w := &world{t: t, now: time.Hour, seq: 1}
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
			hostInfo(1, platform.InService), hostInfo(2, platform.InService),
		}}}},
	}
	cfg.Decide = func(now time.Duration, events []forkhead.Event) []forkhead.Action {
		var all []forkhead.Action
		for _, ev := range events {
			w.seen = append(w.seen, ev)
			if w.next != nil {
				all = append(all, w.next(ev)...)
			}
		}
		return all
	}
	w.next = func(ev forkhead.Event) []forkhead.Action {
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
	w.c = c
	w.step()
	return w
}

// step steps the core now; connections to hosts are made at once unless the test says otherwise.
func (w *world) step(in ...Input) []Output {
	w.out = w.c.Step(w.now, in...)
	return w.out
}

// pass lets time go by.
func (w *world) pass(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now = min(end, max(w.c.Next(), w.now+time.Millisecond))
		w.step()
	}
}

// owner opens a connection of an owner.
func (w *world) owner() OwnerID {
	w.owners++
	w.step(OwnerConnected{w.owners})
	return w.owners
}

func (w *world) say(owner OwnerID, line string) []Output {
	return w.step(OwnerData{owner, []byte(line + "\n")})
}

func setUp(ref, class, more string) string {
	return fmt.Sprintf(`{"t":"new","ref":"%s","f":{"class":"%s","left":"1500","tenant":"acme","key":"7f3a9c21e0b4d655","idem":"aa","extras":"cores:1;memory:2;service:00000000b4d65521%s"},"d":"a\ud800\r\nb"}`,
		ref, class, more)
}

// dials makes the connections that the last step asked for, and steps.
func (w *world) dials() []Output {
	var in []Input
	for _, o := range w.out {
		if d, ok := o.(DialHost); ok {
			in = append(in, HostConnected{d.Connection})
		}
	}
	return w.step(in...)
}

// refuse fails the connections to host 1 that are being made.
func (w *world) refuse(refused bool) {
	for _, l := range slices.Clone(w.c.hosts[1].connections) {
		if l.state == connectionDialing {
			w.step(DialFailed{Connection: l.id, Refused: refused})
		}
	}
}

// lines are what the outputs write to owners or hosts, as type, ref and cause.
func lines[T SendToOwner | SendToHost](out []Output) []string {
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

func only[T any](out []Output) []T {
	var all []T
	for _, o := range out {
		if v, ok := o.(T); ok {
			all = append(all, v)
		}
	}
	return all
}

// told are the events of one type that the module saw since the last call.
func told[T forkhead.Event](w *world) []T {
	var all []T
	w.seen = slices.DeleteFunc(w.seen, func(ev forkhead.Event) bool {
		v, ok := ev.(T)
		if ok {
			all = append(all, v)
		}
		return ok
	})
	return all
}

func (w *world) want(got []string, want ...string) {
	w.t.Helper()
	if !slices.Equal(got, want) {
		w.t.Fatalf("got %q, want %q", got, want)
	}
}

const (
	ref1 = "9b1f03aa5c7e2d41"
	ref2 = "9b1f03aa5c7e2d42"
)

// placed brings a task to stand on host 1 and returns its owner and link.
func (w *world) placed(ref string) (owner OwnerID, link ConnectionID) {
	w.t.Helper()
	owner = w.owner()
	w.say(owner, setUp(ref, "keyed", ""))
	out := slices.Clone(w.out)
	out = append(out, w.dials()...)
	w.want(lines[SendToHost](out), "new "+ref)
	link = only[SendToHost](out)[0].Connection
	w.step(HostData{link, []byte(`{"t":"up","ref":"` + ref + `","f":{},"d":"from the host"}` + "\n")})
	w.want(lines[SendToOwner](w.out), "up "+ref)
	return owner, link
}

func fields(line []byte) map[string]json.RawMessage {
	var m struct{ F, D json.RawMessage }
	_ = json.Unmarshal(line, &m)
	var f map[string]json.RawMessage
	_ = json.Unmarshal(m.F, &f)
	f["d"] = m.D
	return f
}
