package rules

import (
	"reflect"
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/parse/settings"
)

// Each parameter of the rules is taken from the setting of its name. All values differ, so that a mix-up of two is
// noticed.
func TestConfigFromSettingsTakesEachSettingByName(t *testing.T) {
	s := &settings.Settings{
		Module: forkhead.Settings{
			Classes: []forkhead.Class{
				{Effect: forkhead.Unsafe, SpreadDomain: forkhead.ZoneDomain, MaxPerDomain: 3},
				{Effect: forkhead.Keyed, DedupDomain: forkhead.CellDomain, DedupWindow: time.Minute},
			},
			ParallelAttempts:     true,
			BoundWhenRunning:     true,
			DrainGrace:           2 * time.Second,
			OwnerBackoff:         4 * time.Second,
			SlowStartDuration:    5 * time.Second,
			SlowStartInitialRate: 0.6,
			SlowStartWindow:      7 * time.Second,
			SlowStartMaxOffers:   8,
			SlowStartOverload:    9,
		},
		Classes:         []settings.Class{{Name: "once"}, {Name: "by key"}},
		HostConnections: settings.HostConnections{LostAfter: 3 * time.Second},
	}
	want := Config{
		Classes: map[string]Class{
			"once":   {Effect: forkhead.Unsafe, SpreadDomain: forkhead.ZoneDomain, MaxPerDomain: 3},
			"by key": {Effect: forkhead.Keyed, DedupDomain: forkhead.CellDomain, DedupWindow: time.Minute},
		},
		ParallelAttempts:     true,
		BoundWhenRunning:     true,
		DrainGrace:           2 * time.Second,
		LostAfter:            3 * time.Second,
		OwnerBackoff:         4 * time.Second,
		SlowStartDuration:    5 * time.Second,
		SlowStartInitialRate: 0.6,
		SlowStartWindow:      7 * time.Second,
		SlowStartMaxOffers:   8,
		SlowStartOverload:    9,
		WarmStartRate:        10,
		MaxTransit:           200 * time.Millisecond,
		MaxOutcomeDelay:      time.Second,
	}
	if got := ConfigFromSettings(s, 10); !reflect.DeepEqual(got, want) {
		t.Errorf("ConfigFromSettings = %+v, want %+v", got, want)
	}
}
