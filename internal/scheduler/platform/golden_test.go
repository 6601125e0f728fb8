package platform

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/goldentest"
	"forkhead/internal/protocol/platform"
)

// transcript records the lines on a core's sockets and the events of its module, without Go identifiers.
type transcript struct {
	*testCore
	text     bytes.Buffer
	decideOn func(id forkhead.TaskID) []forkhead.Action // actions of the module on a placement request
}

// record appends the events and outputs since the last call.
func (s *transcript) record() {
	for _, ev := range s.events {
		fmt.Fprintf(&s.text, "\tmodule receives %s\n", goldentest.FormatValue(reflect.ValueOf(ev)))
	}
	s.events = nil
	for _, out := range s.outputs {
		switch out := out.(type) {
		case SendToOwner:
			fmt.Fprintf(&s.text, "\tto owner %d: %s", out.Owner, out.Line)
		case SendToHost:
			fmt.Fprintf(&s.text, "\tto host on connection %d: %s", out.Connection, out.Line)
		case SendGossip:
			fmt.Fprintf(&s.text, "\tto placer %d: %q\n", out.To, out.Data)
		case DialHost:
			fmt.Fprintf(&s.text, "\tconnection %d to %s\n", out.Connection, out.Address)
		}
	}
	s.outputs = nil
}

// ownerSends delivers a line from an owner and records the events and outputs of the step, and the outputs of one more
// step.
func (s *transcript) ownerSends(owner OwnerID, line string) {
	fmt.Fprintf(&s.text, "owner %d: %s\n", owner, line)
	s.send(owner, line)
	s.record()
	for out := s.core.Step(s.now); len(out) > 0; out = nil {
		s.outputs = out
		s.record()
	}
}

func (s *transcript) connect(conn ConnectionID) {
	fmt.Fprintf(&s.text, "connection %d is made\n", conn)
	s.step(HostConnected{conn})
	s.record()
}

// hostSends delivers a line from a host on connection 1.
func (s *transcript) hostSends(line string) {
	fmt.Fprintf(&s.text, "host on connection 1: %s\n", line)
	s.step(HostData{1, []byte(line + "\n")})
	s.record()
}

func goldenRef(n int) string { return fmt.Sprintf("9b1f03aa5c7e2d%02x", n) }

// goldenRequest returns the request of task n. The parameter more is appended to its extras.
func goldenRequest(n int, more string) string {
	return fmt.Sprintf(`{"t":"new","ref":"%s","f":{"class":"keyed","left":"1500","tenant":"acme","key":"7f3a9c21e0b4d6%02x","idem":"%02x",`+
		`"hint":"4000","extras":"cores:1.5;memory:2;service:00000000b4d65521%s","other":7},"d":"a\ud800\r\nb"}`, goldenRef(n), n, n, more)
}

func goldenLine(kind string, n int, rest string) string {
	return fmt.Sprintf(`{"t":"%s","ref":"%s",%s}`, kind, goldenRef(n), rest)
}

func offerAtHost1(id forkhead.TaskID) []forkhead.Action {
	return []forkhead.Action{forkhead.Offer{Task: id, Machine: 1}}
}

// placeTask records a task that is placed, gets notes and ends.
func (s *transcript) placeTask(o OwnerID) {
	s.decideOn = offerAtHost1
	s.ownerSends(o, goldenRequest(1, ";again:1"))
	s.connect(1)
	s.hostSends(goldenLine("wait", 1, `"f":{}`))
	s.hostSends(goldenLine("up", 1, `"f":{"load":"x0:1;x1:2;queue:3;util:0.5"},"d":"from the host"`))
	for _, note := range []string{"running", "use_cpu", "use_ram", "health", "ram_high"} {
		s.hostSends(goldenLine("tell", 1, `"f":{"note":"`+note+`","value":"0.5"}`))
	}
	s.hostSends(goldenLine("down", 1, `"f":{"note":"killed","load":"x0:4"},"c":41`))
	s.ownerSends(o, goldenLine("ack", 1, `"f":{}`))
}

// hostRejects records each way in which a host rejects a task.
func (s *transcript) hostRejects(o OwnerID) {
	for i, rest := range []string{
		`"f":{"note":"lack_cpu"},"c":34`, `"f":{"note":"lack_ram"},"c":34`, `"f":{"note":"backlog"},"c":34`, `"f":{"note":"unfit"},"c":34`, `"f":{},"c":42`,
		`"f":{},"c":47`, `"f":{},"c":102`,
	} {
		s.ownerSends(o, goldenRequest(2+i, ""))
		s.hostSends(goldenLine("down", 2+i, rest))
		s.ownerSends(o, goldenLine("down", 2+i, `"f":{},"c":16`))
	}
}

// moduleActs records the module's actions that reject, fail, offer, probe, gossip and stop.
func (s *transcript) moduleActs(o OwnerID) {
	s.decideOn = func(id forkhead.TaskID) []forkhead.Action {
		return []forkhead.Action{forkhead.Reject{Task: id, RetryAfter: 1500 * time.Millisecond}}
	}
	s.ownerSends(o, goldenRequest(9, ""))
	s.decideOn = func(id forkhead.TaskID) []forkhead.Action { return []forkhead.Action{forkhead.Fail{Task: id}} }
	s.ownerSends(o, goldenRequest(10, ""))
	s.decideOn = func(id forkhead.TaskID) []forkhead.Action {
		return []forkhead.Action{
			forkhead.Offer{Task: id, Machine: 1}, forkhead.Probe{Machine: 1}, forkhead.Gossip{To: forkhead.AllPlacers, Data: []byte("data")},
		}
	}
	s.ownerSends(o, goldenRequest(11, ""))
	s.hostSends(goldenLine("up", 11, `"f":{},"d":"x"`))
	s.decideOn = func(forkhead.TaskID) []forkhead.Action { return []forkhead.Action{forkhead.Stop{Task: 11}} }
	s.ownerSends(o, goldenRequest(12, ""))
}

// ownerReturns records the hand-over of a task that runs on a host, a probe, and lines that cannot be used.
func (s *transcript) ownerReturns(o OwnerID) {
	s.decideOn = offerAtHost1
	s.ownerSends(o, goldenRequest(13, ";at:s-00000001"))
	s.ownerSends(o, `{"t":"hb","ref":"0000000000000001","f":{},"c":0}`)
	s.ownerSends(o, goldenLine("new", 14, `"f":{"class":"unheard-of"},"d":"x"`))
	s.ownerSends(o, `{`)
}

// gossipAndWatchEvents records a gossip message from another placer and events of the endpoint list.
func (s *transcript) gossipAndWatchEvents() {
	fmt.Fprintln(&s.text, "placer 1 sends data")
	s.step(GossipReceived{From: 1, Data: []byte("data")})
	s.record()
	for i, state := range []platform.EndpointState{platform.Terminating, platform.InService, platform.Terminated} {
		fmt.Fprintln(&s.text, "host 2 is", state)
		s.step(WatchEventReceived{Event: platform.WatchEvent{Seq: uint64(i + 2), Endpoints: &platform.EndpointList{Hosts: []platform.Endpoint{endpoint(2, state)}}}})
		s.record()
	}
}

// The types, fields, names and causes of the lines between owners, placer and hosts must not change, nor the events
// that the module receives because of them.
func TestCoreTranscriptMatchesGoldenFile(t *testing.T) {
	w := newTestCore(t, nil)
	s := &transcript{testCore: w}
	s.record()
	w.decide = func(ev forkhead.Event) []forkhead.Action {
		if a, ok := ev.(forkhead.PlacementRequest); ok {
			return s.decideOn(a.Task.ID)
		}
		return nil
	}
	o := w.connectOwner()
	s.placeTask(o)
	s.hostRejects(o)
	s.moduleActs(o)
	s.ownerReturns(o)
	s.gossipAndWatchEvents()
	goldentest.Check(t, "lines.txt", s.text.Bytes())
}
