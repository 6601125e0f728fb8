package platform

import (
	"strings"
	"testing"
	"time"

	"forkhead"
)

// A probe that is unanswered on one connection, which may be broken, is sent on another before it times out. One that
// is answered on neither times out.
func TestCoreRetriesProbeOnAnotherConnection(t *testing.T) {
	w := newTestCore(t, nil)
	w.decide = func(ev forkhead.Event) []forkhead.Action {
		if _, ok := ev.(forkhead.GossipReceived); ok {
			return []forkhead.Action{forkhead.Probe{Machine: 1}}
		}
		return nil
	}
	w.step(GossipReceived{1, nil})
	w.connectDialed()
	first := sentLines[SendToHost](w.outputs)[0]
	w.advance(150 * time.Millisecond)
	for _, conn := range w.core.hosts[1].connections {
		if conn.state == connectionDialing {
			w.step(HostConnected{conn.id})
		}
	}
	again := sentLines[SendToHost](w.outputs)
	if len(again) != 1 || again[0] == first {
		t.Fatalf("150 ms after the probe %q: got lines to the host %q, want one probe with another ref", first, again)
	}
	ref := strings.Fields(again[0])[1]
	w.step(fromHost(w.core.hosts[1].connections[1].id, `{"t":"hb_ok","ref":"`+ref+`","f":{"load":"x0:2"},"c":1}`))
	if got := takeEvents[forkhead.Probed](w); len(got) != 1 || got[0].Result != forkhead.OK || got[0].Report.AvailableCores != 2 {
		t.Errorf("after an answer on the second connection: got Probed events %+v, want one with result OK and 2 available cores", got)
	}
	w.step(GossipReceived{1, nil})
	w.advance(300 * time.Millisecond)
	if got := takeEvents[forkhead.Probed](w); len(got) != 1 || got[0].Result != forkhead.TimedOut {
		t.Errorf("300 ms after an unanswered probe: got Probed events %+v, want one with result TimedOut", got)
	}
}
