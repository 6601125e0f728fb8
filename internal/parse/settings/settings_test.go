package settings

import (
	"strings"
	"testing"

	"forkhead"
)

// minimalFields has the settings that have no default, so that every file must set them.
const minimalFields = `(kind k (cores 4) (memory 8GiB)) (class c)`

func TestParseSetsFieldsAndDefaults(t *testing.T) {
	s, err := Parse("f", []byte(`(forkhead
	  (placer (zone a) (http "127.0.0.1:1") (tell "127.0.0.1:2")) (placer (zone b) (http "127.0.0.1:3") (tell "127.0.0.1:4"))
	  (kind k (cores 4) (memory 512MiB)) (class u (effect unsafe) (spread rack 3) (kind k) (wait 2s))
	  (tenant t (share 0.5) (cores 9)) (default-class u) (drain-grace 100ms) (limits (tasks 7)) (links (lost-after 5s)))`))
	if err != nil {
		t.Fatalf("Parse of valid settings = error %v, want none", err)
	}
	m := s.ForPlacer(1).Module
	c := m.Classes[0]
	if m.Self != 1 || m.Placers != 2 || m.MachineTypes[0].Memory != 0.5 || c.Effect != forkhead.Unsafe || c.SpreadDomain != forkhead.CellDomain ||
		c.MaxPerDomain != 3 || c.MachineType != 0 || m.Tenants[0].QuotaCores != 9 || s.Limits.Tasks != 7 {
		t.Fatalf("Parse: got Self %d, Placers %d, Memory %g, Effect %v, SpreadDomain %v, MaxPerDomain %d, MachineType %d, "+
			"QuotaCores %g, Limits.Tasks %d; want 1, 2, 0.5, %v, %v, 3, 0, 9, 7",
			m.Self, m.Placers, m.MachineTypes[0].Memory, c.Effect, c.SpreadDomain, c.MaxPerDomain, c.MachineType,
			m.Tenants[0].QuotaCores, s.Limits.Tasks, forkhead.Unsafe, forkhead.CellDomain)
	}
	if s.Classes[0].PlacementTimeout < s.Classes[0].RequestTimeout {
		t.Fatalf("Parse of a class without (patience ...): got placement timeout %v, want at least the request timeout, %v",
			s.Classes[0].PlacementTimeout, s.Classes[0].RequestTimeout)
	}
}

func TestParseErrorNamesFault(t *testing.T) {
	for text, want := range map[string]string{
		"":                      "f:1:1: the file holds something else",
		"(forkhead) (forkhead)": "the file holds something else",
		"(forkhead)":            "no kind of host is named",
		"(forkhead " + minimalFields + " (kind k (cores 1) (memory 1GiB)))":              `kind "k" is defined twice`,
		"(forkhead (kind k (cores 4)) (class c))":                                        "lacks its cores or memory",
		"(forkhead (kind k (cores -4) (memory 1GiB)) (class c))":                         `f:1:26: "-4"; want a number from 0.001`,
		"(forkhead (kind k (cores NaN) (memory 1GiB)) (class c))":                        "want a number",
		"(forkhead (kind k (cores 4) (memory 12)) (class c))":                            "want an amount as 512MiB or 64GiB",
		"(forkhead " + minimalFields + " (class d (kind z)))":                            `kind "z" is not defined; want k`,
		"(forkhead " + minimalFields + " (class d (effect mostly)))":                     `"mostly"; want keyed, safe, unsafe`,
		"(forkhead " + minimalFields + " (class d (spread rack)))":                       "want (spread machine|rack|zone MOST)",
		"(forkhead " + minimalFields + " (class d (spread rack 0)))":                     "want a whole number from 1",
		"(forkhead " + minimalFields + " (class d (wait 5s) (patience 1s)))":             "patience is 1s; want at least its wait",
		"(forkhead " + minimalFields + " (class d (wait 5)))":                            "want a duration",
		"(forkhead " + minimalFields + " (default-class z))":                             `class "z" is not defined`,
		"(forkhead " + minimalFields + " (drain-grce 1s))":                               `unknown setting "drain-grce"; want drain-grace`,
		"(forkhead " + minimalFields + " (placer (http nowhere)))":                       "want ADDRESS:PORT",
		"(forkhead " + minimalFields + " (tenant t (share 0.7)) (tenant u (share 0.7)))": "the tenants' shares sum to 1.4",
		"(forkhead " + minimalFields + " (owner (first 5s) (most 1s)))":                  "owner: most is 1s",
		"(forkhead " + minimalFields + " (tell maybe))":                                  "want yes or no",
		"(forkhead " + minimalFields + " (attempts 1 2))":                                "want exactly one value",
		"(forkhead " + minimalFields + " stray)":                                         "this is not a setting",
		"(forkhead " + minimalFields + " \"\\q\")":                                       `unknown escape \q`,
		"(forkhead " + minimalFields + "))":                                              "this ) closes no list",
		strings.Repeat("(", 100):                                                         "nested too deeply",
		"(forkhead \xff)":                                                                "not valid UTF-8",
	} {
		if _, err := Parse("f", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("Parse(%s) = error %v\nwant an error that contains %s", text, err, want)
		}
	}
}

// FuzzParse checks that Parse returns either settings or an error, for any text.
func FuzzParse(f *testing.F) {
	f.Add(Default)
	f.Add([]byte("(forkhead (kind k (cores 1) (memory 1GiB)) (class c (spread rack 2)))"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("f", text)
		if (s == nil) == (err == nil) {
			t.Fatalf("Parse(%q) = %+v, error %v, want either settings or an error", text, s, err)
		}
	})
}
