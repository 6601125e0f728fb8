package platform

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
)

var update = flag.Bool("update", false, "write the golden files anew")

// checkGolden compares text with testdata/name.
func checkGolden(t *testing.T, name string, text []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, text, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(text, want) {
		t.Errorf("%s differs\ngot:\n%s\nwant:\n%s", path, text, want)
	}
}

// values writes a value with all that it holds, in the order of its fields and without any name of Go's, so that it is the
// same after a renaming. A number is written as such even where its type has words for it.
func values(v reflect.Value) string {
	var parts []string
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			return "nil"
		}
		return values(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			parts = append(parts, values(v.Field(i)))
		}
		return "(" + strings.Join(parts, " ") + ")"
	case reflect.Slice, reflect.Array:
		if v.Type().Elem().Kind() == reflect.Uint8 && v.Kind() == reflect.Slice {
			return fmt.Sprintf("%q", v.Bytes())
		}
		for i := range v.Len() {
			parts = append(parts, values(v.Index(i)))
		}
		return "[" + strings.Join(parts, " ") + "]"
	case reflect.Map:
		for _, key := range v.MapKeys() {
			parts = append(parts, values(key)+":"+values(v.MapIndex(key)))
		}
		slices.Sort(parts)
		return "{" + strings.Join(parts, " ") + "}"
	case reflect.String:
		return fmt.Sprintf("%q", v.String())
	case reflect.Bool:
		return fmt.Sprint(v.Bool())
	case reflect.Float32, reflect.Float64:
		return fmt.Sprint(v.Float())
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uint:
		return fmt.Sprint(v.Uint())
	}
	return fmt.Sprint(v.Int())
}

// transcript writes what crosses a world's sockets and what its module is told, without any name of Go's.
type transcript struct {
	*world
	b    bytes.Buffer
	rule func(id forkhead.TaskID) []forkhead.Action // the module's answer to a request
}

func (s *transcript) did() {
	for _, ev := range s.seen {
		fmt.Fprintf(&s.b, "\tmodule is told %s\n", values(reflect.ValueOf(ev)))
	}
	s.seen = nil
	for _, out := range s.out {
		switch out := out.(type) {
		case SendToOwner:
			fmt.Fprintf(&s.b, "\tto owner %d: %s", out.Owner, out.Line)
		case SendToHost:
			fmt.Fprintf(&s.b, "\tto host on connection %d: %s", out.Connection, out.Line)
		case SendGossip:
			fmt.Fprintf(&s.b, "\tto placer %d: %q\n", out.To, out.Data)
		case DialHost:
			fmt.Fprintf(&s.b, "\tconnection %d to %s\n", out.Connection, out.Address)
		}
	}
	s.out = nil
}

func (s *transcript) ownerSays(owner OwnerID, line string) {
	fmt.Fprintf(&s.b, "owner %d: %s\n", owner, line)
	s.say(owner, line)
	s.did()
	for out := s.c.Step(s.now); len(out) > 0; out = nil {
		s.out = out
		s.did()
	}
}

func (s *transcript) connects(link ConnectionID) {
	fmt.Fprintf(&s.b, "connection %d is made\n", link)
	s.step(HostConnected{link})
	s.did()
}

// hostSays is said on connection 1.
func (s *transcript) hostSays(line string) {
	fmt.Fprintf(&s.b, "host on connection 1: %s\n", line)
	s.step(HostData{1, []byte(line + "\n")})
	s.did()
}

func goldenRef(n int) string { return fmt.Sprintf("9b1f03aa5c7e2d%02x", n) }

// goldenSetUp is the set-up of task n; more goes into its extras.
func goldenSetUp(n int, more string) string {
	return fmt.Sprintf(`{"t":"new","ref":"%s","f":{"class":"keyed","left":"1500","tenant":"acme","key":"7f3a9c21e0b4d6%02x","idem":"%02x",`+
		`"hint":"4000","extras":"cores:1.5;memory:2;service:00000000b4d65521%s","other":7},"d":"a\ud800\r\nb"}`, goldenRef(n), n, n, more)
}

func goldenLine(kind string, n int, rest string) string {
	return fmt.Sprintf(`{"t":"%s","ref":"%s",%s}`, kind, goldenRef(n), rest)
}

func offerAtHost1(id forkhead.TaskID) []forkhead.Action {
	return []forkhead.Action{forkhead.Offer{Task: id, Machine: 1}}
}

// taskIsPlaced follows a task that is placed, noted and ends.
func (s *transcript) taskIsPlaced(o OwnerID) {
	s.rule = offerAtHost1
	s.ownerSays(o, goldenSetUp(1, ";again:1"))
	s.connects(1)
	s.hostSays(goldenLine("wait", 1, `"f":{}`))
	s.hostSays(goldenLine("up", 1, `"f":{"load":"x0:1;x1:2;queue:3;util:0.5"},"d":"from the host"`))
	for _, note := range []string{"running", "use_cpu", "use_ram", "health", "ram_high"} {
		s.hostSays(goldenLine("tell", 1, `"f":{"note":"`+note+`","value":"0.5"}`))
	}
	s.hostSays(goldenLine("down", 1, `"f":{"note":"killed","load":"x0:4"},"c":41`))
	s.ownerSays(o, goldenLine("ack", 1, `"f":{}`))
}

// hostTurnsDown goes through each way in which a host turns a task down.
func (s *transcript) hostTurnsDown(o OwnerID) {
	for i, rest := range []string{
		`"f":{"note":"lack_cpu"},"c":34`, `"f":{"note":"lack_ram"},"c":34`, `"f":{"note":"backlog"},"c":34`, `"f":{"note":"unfit"},"c":34`, `"f":{},"c":42`,
		`"f":{},"c":47`, `"f":{},"c":102`,
	} {
		s.ownerSays(o, goldenSetUp(2+i, ""))
		s.hostSays(goldenLine("down", 2+i, rest))
		s.ownerSays(o, goldenLine("down", 2+i, `"f":{},"c":16`))
	}
}

// moduleActs has the module refuse, fail, stop, probe and send a message.
func (s *transcript) moduleActs(o OwnerID) {
	s.rule = func(id forkhead.TaskID) []forkhead.Action {
		return []forkhead.Action{forkhead.Reject{Task: id, RetryAfter: 1500 * time.Millisecond}}
	}
	s.ownerSays(o, goldenSetUp(9, ""))
	s.rule = func(id forkhead.TaskID) []forkhead.Action { return []forkhead.Action{forkhead.Fail{Task: id}} }
	s.ownerSays(o, goldenSetUp(10, ""))
	s.rule = func(id forkhead.TaskID) []forkhead.Action {
		return []forkhead.Action{
			forkhead.Offer{Task: id, Machine: 1}, forkhead.Probe{Machine: 1}, forkhead.Gossip{To: forkhead.AllPlacers, Data: []byte("data")},
		}
	}
	s.ownerSays(o, goldenSetUp(11, ""))
	s.hostSays(goldenLine("up", 11, `"f":{},"d":"x"`))
	s.rule = func(forkhead.TaskID) []forkhead.Action { return []forkhead.Action{forkhead.Stop{Task: 11}} }
	s.ownerSays(o, goldenSetUp(12, ""))
}

// ownerComesAgain brings a task that stands at a host, and lines that cannot be read.
func (s *transcript) ownerComesAgain(o OwnerID) {
	s.rule = offerAtHost1
	s.ownerSays(o, goldenSetUp(13, ";at:s-00000001"))
	s.ownerSays(o, `{"t":"hb","ref":"0000000000000001","f":{},"c":0}`)
	s.ownerSays(o, goldenLine("new", 14, `"f":{"class":"unheard-of"},"d":"x"`))
	s.ownerSays(o, `{`)
}

// otherSources brings a message of another placer and events of the change log.
func (s *transcript) otherSources() {
	fmt.Fprintln(&s.b, "placer 1 sends data")
	s.step(GossipReceived{From: 1, Data: []byte("data")})
	s.did()
	for i, state := range []platform.EndpointState{platform.Terminating, platform.InService, platform.Terminated} {
		fmt.Fprintln(&s.b, "host 2 is", state)
		s.step(WatchEventReceived{Event: platform.WatchEvent{Seq: uint64(i + 2), Endpoints: &platform.EndpointList{Hosts: []platform.Endpoint{hostInfo(2, state)}}}})
		s.did()
	}
}

// The lines between owners, this placer and hosts are the same, and so is what the module is told by them: their types,
// fields, words and causes.
func TestLinesGolden(t *testing.T) {
	w := newWorld(t, nil)
	s := &transcript{world: w}
	s.did()
	w.next = func(ev forkhead.Event) []forkhead.Action {
		if a, ok := ev.(forkhead.PlacementRequest); ok {
			return s.rule(a.Task.ID)
		}
		return nil
	}
	o := w.owner()
	s.taskIsPlaced(o)
	s.hostTurnsDown(o)
	s.moduleActs(o)
	s.ownerComesAgain(o)
	s.otherSources()
	checkGolden(t, "lines.txt", s.b.Bytes())
}
