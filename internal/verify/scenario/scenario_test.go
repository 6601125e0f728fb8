package scenario

import (
	"strings"
	"testing"

	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/parse/settings"
)

func TestBuiltInScenarios(t *testing.T) {
	s, err := Read("badday", Default)
	if err != nil {
		t.Fatal(err)
	}
	seen := map[FaultKind]bool{}
	for _, tr := range s.Faults {
		seen[tr.Kind] = true
	}
	for _, k := range FaultKinds {
		if !seen[k] {
			t.Errorf("the scenario that CI runs lacks %s", k)
		}
	}
	if len(s.Settings.Placers) < 3 {
		t.Errorf("%d placers", len(s.Settings.Placers))
	}
	n := 0
	for _, g := range s.HostGroups {
		n += g.Count
	}
	if n < 12 {
		t.Errorf("%d hosts", n)
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
		"(fleet)":                          "f:1:1: the file holds something else; want one (badday ...)",
		"(badday":                          "f:1:1: this ( is never closed",
		"(badday (hots 3))":                `f:1:10: unknown setting "hots"; want hosts`,
		"(badday (hosts x (kind std-28)))": `f:1:16: "x"; want a whole number`,
		"(badday (hosts 2 (kind nope)))":   `hosts of kind "nope", which the settings do not name`,
		"(badday (hosts 2 (kind std-28)) (load w (class nope)))":               `load of class "nope"`,
		"(badday (hosts 2 (kind std-28)) (troubles (crsh (at 1s))))":           `unknown setting "crsh"; want crash`,
		"(badday (hosts 2 (kind std-28)) (troubles (crash (at 99s))))":         "at most the length",
		"(badday (hosts 2 (kind std-28)) (troubles (placer-kill (placer 9))))": "placer 9; want 0 to 2",
		"(badday (hosts 2 (kind std-28)) (length 1s) (length 2s))":             "length stands here a second time",
		"(badday (hosts 2 (kind std-28)) (load w (class web) (replicas 3 1)))": "the most of replicas is below the least",
		"(badday (hosts 2 (kind std-28)) (load w (class web) (rate inf)))":     "a number from",
		"(badday (hosts 2 (kind std-28)) (plant havoc))":                       "want cold, drain, no-repeat",
		"(badday (settings (forkhead)) (hosts 2 (kind std-28)))":               "no kind of host is named",
		"(badday (length \"1s\n\"))":                                           "not closed on its line",
	} {
		_, err := Read("f", []byte(text))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v\nwant %s", text, err, want)
		}
		if err != nil && diagnostic.First(err) == nil {
			t.Errorf("%s: the error has no place", text)
		}
	}
}
