package platform

import (
	"testing"

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
