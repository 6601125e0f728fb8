package cli

import (
	"slices"
	"strings"
	"testing"

	"forkhead"
)

func TestExploreFlagsEffects(t *testing.T) {
	for name, want := range map[string][]forkhead.Effect{
		"safe": {forkhead.Safe}, "keyed": {forkhead.Keyed}, "unsafe": {forkhead.Unsafe},
		"all": {forkhead.Safe, forkhead.Keyed, forkhead.Unsafe}, "odd": nil,
	} {
		f := exploreFlags{effect: name}
		got, err := f.effects()
		if !slices.Equal(got, want) || (err == nil) != (want != nil) {
			t.Errorf("effects() with --effect %s = %v, error %v; want %v, and an error only if no effect is wanted", name, got, err, want)
		}
	}
}

// The flag --plant must set the bounds of the search to values with which the search finds the bug, except for the
// bounds that other flags set.
func TestExploreInjectedBugSetsBoundsWithoutFlags(t *testing.T) {
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"--plant", "crowd-at-write"}, `{"effect":"safe","tasks":2,"hosts":2,"faults":1,`},
		{[]string{"--plant", "drain-at-write"}, `{"effect":"safe","tasks":1,"hosts":1,"faults":2,`},
		{[]string{"--plant", "drain-at-write", "--hosts", "2"}, `{"effect":"safe","tasks":1,"hosts":2,"faults":2,`},
	} {
		code, out, errs := run(append([]string{"explore", "--output", "json"}, c.args...)...)
		if code != exitNegativeResult || !strings.HasPrefix(out, c.want) {
			t.Errorf("explore %v: exit code %d, output %.120s, standard error %q; want exit code %d and output that begins with %s",
				c.args, code, out, errs, exitNegativeResult, c.want)
		}
	}
}
