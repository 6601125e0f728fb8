package platform

import (
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
)

// A watch event that is received again, or after a later one, is not applied.
func TestCoreAppliesWatchEventOnce(t *testing.T) {
	w := newTestCore(t, nil)
	takeEvents[forkhead.ListUpdate](w)
	event := platform.WatchEvent{Seq: 2, Endpoints: &platform.EndpointList{Hosts: []platform.Endpoint{endpoint(3, platform.InService)}}}
	w.step(WatchEventReceived{Event: event}, WatchEventReceived{Event: event})
	w.step(WatchEventReceived{Event: platform.WatchEvent{Seq: 1, Endpoints: event.Endpoints}})
	if got := takeEvents[forkhead.ListUpdate](w); len(got) != 1 || got[0].Mode != forkhead.ListDelta || got[0].Machines[0].ID != 3 {
		t.Errorf("after the same event twice and an older one: got list updates %+v, want one delta with machine 3", got)
	}
}

// A host in a zone that the settings lack is ignored and logged if they have several zones. Assigning it to one of them
// would break the spread over zones and the deduplication domains of keyed tasks.
func TestCoreIgnoresHostInUnknownZone(t *testing.T) {
	for _, zones := range [][]string{{"z"}, {"z", "y"}} {
		w := newTestCore(t, func(cfg *Config) { cfg.Names.Zones = zones })
		info := endpoint(5, platform.InService)
		info.Zone = "elsewhere"
		out := w.step(WatchEventReceived{Event: platform.WatchEvent{Seq: 2, Endpoints: &platform.EndpointList{Hosts: []platform.Endpoint{info}}}})
		if used := w.core.hosts[5] != nil; used != (len(zones) == 1) || !used && len(ofType[Log](out)) != 1 {
			t.Errorf("%d zones in the settings: host used %v, want %v; logged %v, want one line if it is not used",
				len(zones), used, len(zones) == 1, ofType[Log](out))
		}
	}
}

// Another machine's clock states when a host started. The host is in slow start from the time at which its start became
// known if that clock is ahead, far behind, or was set back.
func TestCoreBoundsStatedStartOfHost(t *testing.T) {
	started := func(seq uint64, at time.Duration) WatchEventReceived {
		event := hostChanged(2, platform.InService)
		event.Event.Seq, event.Event.Endpoints.Hosts[0].StartedAtMS = seq, float64(at.Milliseconds())
		return event
	}
	for name, c := range map[string]struct{ ahead, want time.Duration }{
		"a second ago":    {-time.Second, -time.Second},
		"an hour ahead":   {time.Hour, 0},
		"5 s ahead":       {5 * time.Second, 0},
		"an hour behind":  {-59 * time.Minute, 0},
		"stated as never": {0, 0},
	} {
		w := newTestCore(t, nil)
		began := w.now
		w.step(started(2, began+c.ahead))
		if got := w.core.hosts[2].entry.StartedAt - began; got != c.want {
			t.Errorf("%s: got the start at %v from now, want %v", name, got, c.want)
		}
		w.advance(10 * time.Second)
		w.step(started(3, began+c.ahead)) // the entry is sent again, with the same start
		if got := w.core.hosts[2].entry.StartedAt - began; got != c.want {
			t.Errorf("%s, and again 10 s later: got the start at %v from then, want %v", name, got, c.want)
		}
		w.step(started(4, began+c.ahead-30*time.Minute))
		if got := w.core.hosts[2].entry.StartedAt; got != w.now {
			t.Errorf("%s, and then set back: got the start at %v, want now, %v", name, got, w.now)
		}
	}
}

// The end of an incarnation ends its connections. Its tasks end with it even if the host's clock is behind, so that its
// next incarnation seems to have started before the tasks.
func TestCoreEndsTasksOfRestartedHostWhoseClockIsBehind(t *testing.T) {
	w := newTestCore(t, nil)
	_, conn := w.placeTask()
	began := w.now
	w.step(HostDisconnected{Connection: conn, Reset: true})
	w.run(3*time.Second, connected, func() {}) // the host is back at once
	event := hostChanged(1, platform.InService)
	event.Event.Endpoints.Hosts[0].StartedAtMS = float64((began - 5*time.Second).Milliseconds())
	w.step(event)
	w.wantLines(sentLines[SendToOwner](w.outputs), "down "+ref1+" 41")
	w.wantUnconfirmed()
}

// A removed host keeps its location, which its last entry may lack: its tasks still count in their rack.
func TestCoreKeepsLocationOfRemovedHost(t *testing.T) {
	w := newTestCore(t, nil)
	w.placeTask()
	event := hostChanged(1, platform.Terminated)
	event.Event.Endpoints.Hosts[0].Cell, event.Event.Endpoints.Hosts[0].Zone = 0, ""
	w.step(event)
	if got := w.core.hosts[1].forInvariants(); got.Cell != 1 || got.Zone != 0 {
		t.Errorf("removed host whose entry has no location: got rack %d and zone %d, want 1 and 0", got.Cell, got.Zone)
	}
}
