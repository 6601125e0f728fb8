package platformsim

import "testing"

// No interleaving of four events on one request of each class breaks a rule.
func TestExploreInterleavingsFindsNoBreach(t *testing.T) {
	cfg := busyConfig(1)
	cfg.Settings.MaxAttempts = 2
	runs, breaches := ExploreInterleavings(cfg.Settings, cfg.WireNames, 4, nil)
	for _, b := range breaches {
		t.Errorf("ExploreInterleavings found a breach, want none: %s", b)
	}
	if t.Logf("%d interleavings", runs); runs < 5000 {
		t.Errorf("ExploreInterleavings ran %d interleavings, want at least 5000", runs)
	}
}
