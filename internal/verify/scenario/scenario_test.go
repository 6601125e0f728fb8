package scenario

import (
	"strings"
	"testing"

	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/parse/settings"
)

// The scenario that CI runs would prove less if it lost a kind of fault, placers or hosts.
func TestBuiltInScenarios(t *testing.T) {
	s, err := Read("badday", Default)
	if err != nil {
		t.Fatal(err)
	}
	seen := map[FaultKind]bool{}
	for _, f := range s.Faults {
		seen[f.Kind] = true
	}
	for _, k := range FaultKinds {
		if !seen[k] {
			t.Errorf("the default scenario has no fault %s, want every kind", k)
		}
	}
	if len(s.Settings.Placers) < 3 {
		t.Errorf("the default scenario has %d placers, want at least 3", len(s.Settings.Placers))
	}
	hosts := 0
	for _, g := range s.HostGroups {
		hosts += g.Count
	}
	if hosts < 12 {
		t.Errorf("the default scenario has %d hosts, want at least 12", hosts)
	}
	if _, err := Read("calm", FaultFree); err != nil {
		t.Fatal(err)
	}
	if _, err := settings.Parse("default", settings.Default); err != nil {
		t.Fatal(err)
	}
}

func TestReadErrors(t *testing.T) {
	for text, want := range map[string]string{
		"(fleet)":                          "f:1:1: the file does not hold exactly one scenario; want one (badday ...)",
		"(badday":                          "f:1:1: this ( is never closed",
		"(badday (hots 3))":                `f:1:10: unknown setting "hots"; want hosts`,
		"(badday (hosts x (kind std-28)))": `f:1:16: "x"; want a whole number`,
		"(badday (hosts 2 (kind nope)))":   `hosts of kind "nope", which the settings do not name`,
		"(badday (hosts 2 (kind std-28)) (load w (class nope)))":               `load of class "nope"`,
		"(badday (hosts 2 (kind std-28)) (troubles (crsh (at 1s))))":           `unknown setting "crsh"; want crash`,
		"(badday (hosts 2 (kind std-28)) (troubles (crash (at 99s))))":         "at most the length",
		"(badday (hosts 2 (kind std-28)) (troubles (placer-kill (placer 9))))": "placer 9; want 0 to 2",
		"(badday (hosts 2 (kind std-28)) (length 1s) (length 2s))":             "length stands here a second time",
		"(badday (hosts 2 (kind std-28)) (load w (class web) (replicas 3 1)))": "the maximum of replicas is below the minimum",
		"(badday (hosts 2 (kind std-28)) (load w (class web) (rate inf)))":     "a number from",
		"(badday (hosts 2 (kind std-28)) (plant havoc))":                       "want cold, drain, no-repeat",
		"(badday (settings (forkhead)) (hosts 2 (kind std-28)))":               "no kind of host is named",
		"(badday (length \"1s\n\"))":                                           "not closed on its line",
	} {
		_, err := Read("f", []byte(text))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("Read(%s): got the error %v, want one with %q", text, err, want)
		}
		if err != nil && diagnostic.First(err) == nil {
			t.Errorf("Read(%s): the error %v has no position, want file, line and column", text, err)
		}
	}
}
