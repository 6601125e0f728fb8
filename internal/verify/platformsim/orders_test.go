package platformsim

import "testing"

// Every order of four events around one task of each class keeps the rules.
func TestExploreOrdersKeepsTheRules(t *testing.T) {
	cfg := busyConfig(1)
	cfg.Settings.MaxAttempts = 2
	runs, breaches := ExploreOrders(cfg.Settings, cfg.WireNames, 4, nil)
	for _, b := range breaches {
		t.Error(b)
	}
	if t.Logf("%d orders", runs); runs < 5000 {
		t.Errorf("only %d orders", runs)
	}
}
