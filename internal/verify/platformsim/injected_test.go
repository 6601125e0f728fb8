package platformsim

import (
	"bytes"
	"strings"
	"testing"

	platformcore "forkhead/internal/scheduler/platform"
)

// messageToHost returns a function that reports whether an output is a message to a host that contains text.
func messageToHost(text string) func(platformcore.Output) bool {
	return func(o platformcore.Output) bool {
		sent, ok := o.(platformcore.SendToHost)
		return ok && bytes.Contains(sent.Line, []byte(text))
	}
}

// messageToOwner returns a function that reports whether an output is a message to an owner that contains text.
func messageToOwner(text string) func(platformcore.Output) bool {
	return func(o platformcore.Output) bool {
		sent, ok := o.(platformcore.SendToOwner)
		return ok && bytes.Contains(sent.Line, []byte(text))
	}
}

// repeat returns a filter that outputs each matching output the given number of times; 0 drops it.
func repeat(matches func(platformcore.Output) bool, times int) OutputFilter {
	return func(o platformcore.Output) []platformcore.Output {
		if !matches(o) {
			return []platformcore.Output{o}
		}
		var all []platformcore.Output
		for range times {
			all = append(all, o)
		}
		return all
	}
}

// dropReleases returns a filter that drops the releases of tasks that were reported to their owners as bound.
func dropReleases() OutputFilter {
	bound := map[string]bool{}
	return func(o platformcore.Output) []platformcore.Output {
		sent, ok := o.(platformcore.SendToOwner)
		if !ok {
			return []platformcore.Output{o}
		}
		ref := string(sent.Line[bytes.Index(sent.Line, []byte(`"ref"`)):][:24])
		if bound[ref] && messageToOwner(`"down"`)(o) {
			return nil
		}
		bound[ref] = bound[ref] || messageToOwner(`"up"`)(o)
		return []platformcore.Output{o}
	}
}

// sentRef returns the ref of a message to an owner.
func sentRef(sent platformcore.SendToOwner) string {
	m, err := decodeLine(sent.Line)
	if err != nil {
		panic(err)
	}
	return m.Ref
}

// moveReleases returns a filter that replaces the releases of bound tasks. The function move gets the connection of a
// release and the one on which its task was last reported as bound, and returns the connection to send it on, or 0 to
// drop it.
func moveReleases(move func(on, boundOn platformcore.OwnerID) platformcore.OwnerID) OutputFilter {
	boundOn := map[string]platformcore.OwnerID{}
	return func(o platformcore.Output) []platformcore.Output {
		if messageToOwner(`"up"`)(o) {
			sent := o.(platformcore.SendToOwner)
			boundOn[sentRef(sent)] = sent.Owner
		}
		if !messageToOwner(`"down"`)(o) {
			return []platformcore.Output{o}
		}
		sent := o.(platformcore.SendToOwner)
		if bound := boundOn[sentRef(sent)]; bound != 0 {
			sent.Owner = move(sent.Owner, bound)
		}
		if sent.Owner == 0 {
			return nil
		}
		return []platformcore.Output{sent}
	}
}

// dropReleasesElsewhere returns a filter that drops the releases of bound tasks on other connections than those on which
// they were reported as bound, as if a release were lost with its request's connection.
func dropReleasesElsewhere() OutputFilter {
	return moveReleases(func(on, boundOn platformcore.OwnerID) platformcore.OwnerID {
		if on != boundOn {
			return 0
		}
		return on
	})
}

// releaseToOthers returns a filter that sends the releases of bound tasks on the connection that opened next after the
// right one.
func releaseToOthers() OutputFilter {
	return moveReleases(func(on, _ platformcore.OwnerID) platformcore.OwnerID { return on + 1 })
}

// Each injected fault is found in at least one of 30 runs.
func TestRunFindsInjectedFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fault func() OutputFilter
		want  string
	}{
		"bound answer repeated":           {func() OutputFilter { return repeat(messageToOwner(`"up"`), 2) }, "a second time"},
		"releases dropped":                {func() OutputFilter { return repeat(messageToOwner(`"down"`), 0) }, "has none"},
		"offer repeated":                  {func() OutputFilter { return repeat(messageToHost(`"new"`), 2) }, "two attempts"},
		"releases of bound tasks dropped": {dropReleases, "still takes it as bound"},
		"releases elsewhere dropped":      {dropReleasesElsewhere, "which connected again before"},
		"releases sent to another owner":  {releaseToOthers, "on another connection than that of its request"},
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
			t.Errorf("Run with fault %q: got no breach in 30 runs that contains %q, want one", name, c.want)
		}
	}
}

// Each injected fault is found by interleavings of two events.
func TestExploreInterleavingsFindsInjectedFaults(t *testing.T) {
	cfg := busyConfig(1)
	cfg.Settings.MaxAttempts = 2
	for name, c := range map[string]struct {
		fault OutputFilter
		want  string
	}{
		"offer repeated":   {repeat(messageToHost(`"new"`), 2), "two attempts"},
		"releases dropped": {repeat(messageToOwner(`"down"`), 0), "one answer"},
		"release repeated": {repeat(messageToOwner(`"down"`), 2), "a second time"},
	} {
		_, breaches := ExploreInterleavings(cfg.Settings, cfg.WireNames, 2, func() OutputFilter { return c.fault })
		if len(breaches) == 0 || !strings.Contains(strings.Join(breaches, "\n"), c.want) {
			t.Errorf("ExploreInterleavings with fault %q: got breaches %q, want one that contains %q", name, breaches, c.want)
		}
	}
}
