package platform

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
)

// listedHost is an entry of a list in a test.
type listedHost struct {
	number  int
	state   platform.EndpointState
	address int           // number of the address; the hosts of the initial list have those with their numbers
	started time.Duration // after the test's begin; 0: long ago
}

// list returns a watch event with a delta of the endpoint list.
func (w *testCore) list(seq uint64, began time.Duration, hosts ...listedHost) WatchEventReceived {
	list := &platform.EndpointList{}
	for _, h := range hosts {
		entry := endpoint(h.number, h.state)
		entry.Address = fmt.Sprintf("10.0.0.%d:1", h.address)
		if h.started > 0 {
			entry.StartedAtMS = float64((began + h.started).Milliseconds())
		}
		list.Hosts = append(list.Hosts, entry)
	}
	return WatchEventReceived{Event: platform.WatchEvent{Seq: seq, Endpoints: list}}
}

// The host that came last to an address is the one that is there, whatever the list goes on to say of the earlier one.
func TestCoreTakesLatestHostAtAnAddressForTheOneThere(t *testing.T) {
	const up, removed = platform.InService, platform.Terminated
	newcomer := listedHost{3, up, 1, time.Second}
	earlier := listedHost{1, up, 1, 0}
	for name, c := range map[string]struct {
		lists [][]listedHost
		ready map[forkhead.MachineID]bool // expected after the lists, of hosts 1 and 3
	}{
		"another host comes":               {[][]listedHost{{newcomer}}, map[forkhead.MachineID]bool{3: true}},
		"the earlier one is named again":   {[][]listedHost{{newcomer}, {earlier}, {newcomer}, {earlier}}, map[forkhead.MachineID]bool{3: true}},
		"one list, the earlier first":      {[][]listedHost{{earlier, newcomer}}, map[forkhead.MachineID]bool{3: true}},
		"one list, the later first":        {[][]listedHost{{newcomer, earlier}}, map[forkhead.MachineID]bool{3: true}},
		"the earlier one restarts there":   {[][]listedHost{{newcomer}, {{1, up, 1, 2 * time.Second}}}, map[forkhead.MachineID]bool{1: true}},
		"the earlier one comes elsewhere":  {[][]listedHost{{newcomer}, {{1, up, 4, 0}}}, map[forkhead.MachineID]bool{1: true, 3: true}},
		"the later one goes":               {[][]listedHost{{newcomer}, {{3, removed, 1, time.Second}}, {earlier}}, map[forkhead.MachineID]bool{1: true}},
		"removed, and listed there again":  {[][]listedHost{{newcomer}, {{1, removed, 1, 0}}, {earlier}}, map[forkhead.MachineID]bool{1: true}},
		"the earlier one's removal late":   {[][]listedHost{{newcomer}, {earlier}, {{1, removed, 1, 0}}}, map[forkhead.MachineID]bool{3: true}},
		"comes and goes unlisted, late":    {[][]listedHost{{{3, removed, 1, time.Second}}}, nil},
		"an older one's removal, late":     {[][]listedHost{{{3, removed, 1, 0}}}, map[forkhead.MachineID]bool{1: true}},
		"both new, one list, same start":   {[][]listedHost{{{1, removed, 1, 0}}, {{1, up, 5, 0}, {3, up, 5, 0}}}, map[forkhead.MachineID]bool{1: true, 3: true}},
		"both new, one list, later second": {[][]listedHost{{{1, removed, 1, 0}}, {{1, up, 5, time.Second}, {3, up, 5, 2 * time.Second}}}, map[forkhead.MachineID]bool{3: true}},
		"both new, one list, later first":  {[][]listedHost{{{1, removed, 1, 0}}, {{3, up, 5, 2 * time.Second}, {1, up, 5, time.Second}}}, map[forkhead.MachineID]bool{3: true}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestCore(t, mayProbe)
			w.placeTask()
			began := w.now
			w.now += 3 * time.Second
			module := map[forkhead.MachineID]forkhead.MachineState{}
			takeEvents[forkhead.ListUpdate](w)
			for i, hosts := range c.lists {
				w.step(w.list(uint64(i+2), began, hosts...))
			}
			for _, update := range takeEvents[forkhead.ListUpdate](w) {
				for _, entry := range update.Machines {
					module[entry.ID] = entry.State
				}
			}
			for _, id := range []forkhead.MachineID{1, 3} {
				h := w.core.hosts[id]
				if got := h != nil && h.entry.State == forkhead.Ready; got != c.ready[id] {
					t.Errorf("host %d: ready %v, want %v", id, got, c.ready[id])
				}
				if state, told := module[id]; told && (state == forkhead.Ready) != c.ready[id] {
					t.Errorf("host %d: the module was notified of state %v last, want ready %v", id, state, c.ready[id])
				}
			}
			w.wantNoDialUnderEarlierName()
		})
	}
}

// wantNoDialUnderEarlierName lets a second pass and fails the test if a superseded host is dialed.
func (w *testCore) wantNoDialUnderEarlierName() {
	w.t.Helper()
	w.run(time.Second, func(d DialHost) Input {
		if h := w.core.connections[d.Connection].host; h.isSuperseded {
			w.t.Errorf("host %s is dialed at %s, which another host has", h.name, d.Address)
		}
		return connected(d)
	}, func() {})
}

// The tasks of a host whose address another has are released within removedGrace, and count until then as unconfirmed.
func TestCoreReleasesTasksOfSupersededHost(t *testing.T) {
	w := newTestCore(t, mayProbe)
	w.placeTask()
	began := w.now
	w.step(w.list(2, began, listedHost{3, platform.InService, 1, time.Millisecond}))
	w.run(removedGrace+2*reconcileInterval, connected, func() {})
	w.wantUnconfirmed()
	if owned := len(w.core.occupants); owned != 2 {
		t.Errorf("got %d addresses with a host, want 2", owned)
	}
}

// The stops of a superseded host's tasks are sent on its open connection, which may lead to the host that has its address now.
// Then the connection is closed, as what the other host sends there would be taken for messages of the earlier one.
func TestCoreClosesConnectionsOfSupersededHostBehindTheStops(t *testing.T) {
	w := newTestCore(t, mayProbe)
	owner, conn := w.placeTask()
	w.send(owner, requestLine(ref2, "unsafe", "")) // in flight on the same connection
	w.step(w.list(2, w.now, listedHost{3, platform.InService, 1, time.Millisecond}))
	w.wantLines(sentLines[SendToOwner](w.outputs), "down "+ref1+" 41")
	if sent := sentLines[SendToHost](w.outputs); !slices.Contains(sent, "down "+ref1+" 16") {
		t.Errorf("in the step of the list: lines sent to the host: got %q, want the stop of the task among them", sent)
	}
	if w.core.connections[conn] == nil {
		t.Fatal("in the step of the list: the connection is closed, want it open for the stops")
	}
	w.advance(2 * reconcileInterval)
	if w.core.connections[conn] != nil {
		t.Error("after the next check: the connection is open, want it closed")
	}
	if got := takeEvents[forkhead.Outcome](w); len(got) != 2 || got[1].Result != forkhead.Reset || !got[1].Unconfirmed {
		t.Errorf("got outcomes %+v, want the second to say that the offer in flight may have run", got)
	}
}
