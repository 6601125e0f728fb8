package cli

import (
	"slices"
	"strings"
	"testing"

	"forkhead"
)

func TestExploreEffects(t *testing.T) {
	for name, want := range map[string][]forkhead.Effect{
		"safe": {forkhead.Safe}, "keyed": {forkhead.Keyed}, "unsafe": {forkhead.Unsafe},
		"all": {forkhead.Safe, forkhead.Keyed, forkhead.Unsafe}, "odd": nil,
	} {
		f := exploreFlags{effect: name}
		got, err := f.effects()
		if !slices.Equal(got, want) || (err == nil) != (want != nil) {
			t.Errorf("%s: %v, %v, want %v", name, got, err, want)
		}
	}
}

// An injected bug sets the bounds of its search to what shows it, except where a flag was given.
func TestExploreInjectedBugSetsBounds(t *testing.T) {
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"--plant", "crowd-at-write"}, `{"effect":"safe","tasks":2,"hosts":2,"faults":1,`},
		{[]string{"--plant", "drain-at-write"}, `{"effect":"safe","tasks":1,"hosts":1,"faults":2,`},
		{[]string{"--plant", "drain-at-write", "--hosts", "2"}, `{"effect":"safe","tasks":1,"hosts":2,"faults":2,`},
	} {
		code, out, errs := run(append([]string{"explore", "--output", "json"}, c.args...)...)
		if code != exitNo || !strings.HasPrefix(out, c.want) {
			t.Errorf("%v: exit %d, %.120s %s, want exit %d and %s", c.args, code, out, errs, exitNo, c.want)
		}
	}
}
