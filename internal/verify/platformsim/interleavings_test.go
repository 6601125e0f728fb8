package platformsim

import "testing"

// Every interleaving of four events around one task of each class keeps the rules.
func TestExploreInterleavingsKeepsTheRules(t *testing.T) {
	cfg := busyConfig(1)
	cfg.Settings.MaxAttempts = 2
	runs, breaches := ExploreInterleavings(cfg.Settings, cfg.WireNames, 4, nil)
	for _, b := range breaches {
		t.Error(b)
	}
	if t.Logf("%d interleavings", runs); runs < 5000 {
		t.Errorf("only %d interleavings", runs)
	}
}
