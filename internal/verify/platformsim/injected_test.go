package platformsim

import (
	"bytes"
	"strings"
	"testing"

	platformcore "forkhead/internal/scheduler/platform"
)

// toHost returns whether an output is a message to a host that contains text.
func toHost(text string) func(platformcore.Output) bool {
	return func(o platformcore.Output) bool {
		x, ok := o.(platformcore.SendToHost)
		return ok && bytes.Contains(x.Line, []byte(text))
	}
}

// toOwner returns whether an output is a message to an owner that contains text.
func toOwner(text string) func(platformcore.Output) bool {
	return func(o platformcore.Output) bool {
		x, ok := o.(platformcore.SendToOwner)
		return ok && bytes.Contains(x.Line, []byte(text))
	}
}

// repeat outputs some outputs so many times; 0 drops them.
func repeat(some func(platformcore.Output) bool, times int) OutputFilter {
	return func(o platformcore.Output) []platformcore.Output {
		if !some(o) {
			return []platformcore.Output{o}
		}
		var all []platformcore.Output
		for range times {
			all = append(all, o)
		}
		return all
	}
}

// dropReleases drops the releases of tasks that were bound.
func dropReleases() OutputFilter {
	bound := map[string]bool{}
	return func(o platformcore.Output) []platformcore.Output {
		x, ok := o.(platformcore.SendToOwner)
		if !ok {
			return []platformcore.Output{o}
		}
		ref := string(x.Line[bytes.Index(x.Line, []byte(`"ref"`)):][:24])
		if bound[ref] && toOwner(`"down"`)(o) {
			return nil
		}
		bound[ref] = bound[ref] || toOwner(`"up"`)(o)
		return []platformcore.Output{o}
	}
}

func TestRunFindsInjectedFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fault func() OutputFilter
		want  string
	}{
		"an answer twice": {func() OutputFilter { return repeat(toOwner(`"up"`), 2) }, "a second time"},
		"an answer never": {func() OutputFilter { return repeat(toOwner(`"down"`), 0) }, "has none"},
		"an offer twice":  {func() OutputFilter { return repeat(toHost(`"new"`), 2) }, "two attempts"},
		"a release kept":  {dropReleases, "takes it for standing"},
	} {
		found := false
		for seed := uint64(0); seed < 30 && !found; seed++ {
			cfg := busyConfig(seed)
			cfg.InjectFault = c.fault()
			for _, b := range Run(cfg).Breaches {
				found = found || strings.Contains(b, c.want)
			}
		}
		if !found {
			t.Errorf("%s is not found", name)
		}
	}
}

// An injected fault is found in a few events.
func TestExploreInterleavingsFindsInjectedFaults(t *testing.T) {
	cfg := busyConfig(1)
	cfg.Settings.MaxAttempts = 2
	for name, c := range map[string]struct {
		fault OutputFilter
		want  string
	}{
		"an offer twice":  {repeat(toHost(`"new"`), 2), "two attempts"},
		"an answer never": {repeat(toOwner(`"down"`), 0), "one answer"},
		"an answer twice": {repeat(toOwner(`"down"`), 2), "a second time"},
	} {
		_, breaches := ExploreInterleavings(cfg.Settings, cfg.WireNames, 2, func() OutputFilter { return c.fault })
		if len(breaches) == 0 || !strings.Contains(strings.Join(breaches, "\n"), c.want) {
			t.Errorf("%s is not found: %v", name, breaches)
		}
	}
}
