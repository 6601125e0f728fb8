package platformsim

import (
	"bytes"
	"strings"
	"testing"

	platformcore "forkhead/internal/scheduler/platform"
)

// Every order of four events around one task of each class keeps the rules.
func TestOrdersKeepTheRules(t *testing.T) {
	l := busyConfig(1)
	l.Settings.MaxAttempts = 2
	played, breaches := ExploreOrders(l.Settings, l.WireNames, 4, nil)
	for _, b := range breaches {
		t.Error(b)
	}
	if t.Logf("%d orders", played); played < 5000 {
		t.Errorf("only %d orders", played)
	}
}

// What is planted is found in a few events.
func TestOrdersFindPlantedFaults(t *testing.T) {
	once := func(o platformcore.Output) bool {
		x, ok := o.(platformcore.SendToHost)
		return ok && bytes.Contains(x.Line, []byte(`"new"`))
	}
	final := func(o platformcore.Output) bool {
		x, ok := o.(platformcore.SendToOwner)
		return ok && bytes.Contains(x.Line, []byte(`"down"`))
	}
	l := busyConfig(1)
	l.Settings.MaxAttempts = 2
	for name, c := range map[string]struct {
		which func(platformcore.Output) bool
		times int
		want  string
	}{
		"an offer twice": {once, 2, "two attempts"}, "an answer never": {final, 0, "one answer"}, "an answer twice": {final, 2, "a second time"},
	} {
		_, breaches := ExploreOrders(l.Settings, l.WireNames, 2, func() func(platformcore.Output) []platformcore.Output {
			return func(o platformcore.Output) []platformcore.Output {
				if !c.which(o) {
					return []platformcore.Output{o}
				}
				var all []platformcore.Output
				for range c.times {
					all = append(all, o)
				}
				return all
			}
		})
		if len(breaches) == 0 || !strings.Contains(strings.Join(breaches, "\n"), c.want) {
			t.Errorf("%s is not found: %v", name, breaches)
		}
	}
}
