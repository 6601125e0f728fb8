package platformconfig

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
)

type list = []any

// withValue returns a settings text with the value at a path replaced, or removed if the new value is nil. path lists
// the names on the way from the root to the value, separated by dots, with 0 for the first entry of a list.
func withValue(t *testing.T, text []byte, path string, value any) []byte {
	t.Helper()
	var root map[string]any
	if err := json.Unmarshal(text, &root); err != nil {
		t.Fatal(err)
	}
	at, names := any(root), strings.Split(path, ".")
	for _, name := range names[:len(names)-1] {
		if name == "0" {
			at = at.(list)[0]
		} else {
			at = at.(map[string]any)[name]
		}
	}
	if last := names[len(names)-1]; value == nil {
		delete(at.(map[string]any), last)
	} else {
		at.(map[string]any)[last] = value
	}
	changed, err := json.Marshal(root)
	if err != nil {
		t.Fatal(err)
	}
	return changed
}

// checkCases has invalid settings: in each case, the value at path is replaced by value, or removed if value is nil.
// The error of Check must contain the text want.
var checkCases = []struct {
	path  string
	value any
	want  string
}{
	{"balancers", nil, "balancers is missing"},
	{"balancers", "16", `balancers is "16", want a number`},
	{"balancers", 0, "balancers is 0"},
	{"balancers", 1.5, "whole number"},
	{"me", 1, "me is 1, want less than balancers"},
	{"me", -1, "me is -1"},
	{"az", 1, "az is 1"},
	{"dcs", list{}, "dcs is []"},
	{"dcs", list{"a", "a"}, `dcs[1] is "a", want distinct names`},
	{"dcs", list{""}, "dcs[0]"},
	{"kinds", nil, "kinds is missing"},
	{"kinds", list{"a", "b"}, "familyInfo.kindCores is [400], want a list of 2 numbers"},
	{"discovery", "sometimes", "discovery"},
	{"loadInfo.how", 3, "loadInfo.how"},
	{"caps", list{}, "caps.cancel is missing"},
	{"caps.probing", "yes", "caps.probing"},
	{"caps.maxAttempts", 0, "caps.maxAttempts"},
	{"caps.connectTimeout", 0, "caps.connectTimeout"},
	{"caps.connectTimeout", nil, "caps.connectTimeout"},
	{"rules.stopSendingWithin", nil, "rules.stopSendingWithin is missing"},
	{"rules.stopSendingWithin", -250, "rules.stopSendingWithin is -250"},
	{"rules.fall", 0, "rules.fall is 0"},
	{"rules.cold", "long", "rules.cold"},
	{"familyInfo.coldSends", nil, "familyInfo.coldSends"},
	{"familyInfo.saysYes", "maybe", "familyInfo.saysYes"},
	{"familyInfo.kindCores", list{-1}, "familyInfo.kindCores[0]"},
	{"familyInfo.kindByClass", list{1}, "familyInfo.kindByClass[0] is 1"},
	{"familyInfo.classMost", list{}, "familyInfo.classMost"},
	{"familyInfo.classSpread", list{"cell"}, `familyInfo.classMost[0] is 0, want at least 1, as classSpread is "cell"`},
	{"familyInfo.classSpread", list{"row"}, "familyInfo.classSpread[0] is row"},
	{"familyInfo.classSpread", list{7}, "familyInfo.classSpread[0] is 7"},
	{"classes", list{}, "classes is []"},
	{"classes", list{3}, "classes[0].name"},
	{"classes.0.name", nil, "classes[0].name is missing"},
	{"classes.0.effect", "twice", "classes[0].effect"},
	{"classes.0.group", nil, "classes[0].group"},
	{"classes.0.memorySpan", 0, "classes[0].memorySpan"},
	{"classes.0.memorySpan", nil, "classes[0].memorySpan is missing"},
	{"tenants", list{map[string]any{"name": "a"}}, "tenants[0].share"},
	{"tenants", list{map[string]any{"share": 1}}, "tenants[0].name"},
	{"familyInfo.tenantQuotaCores", list{1, 2}, "familyInfo.tenantQuotaCores has 2 entries for 1 tenants"},
}

// TestCheckNamesUnusableField checks that Check rejects settings in which a field that decisions depend on is missing,
// has the wrong type, is out of range or contradicts another field, and that the error is one line that names the
// field. Settings with unknown fields or without optional fields must pass.
func TestCheckNamesUnusableField(t *testing.T) {
	good, err := os.ReadFile("../../server/platform/testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	set := func(path string, value any) []byte { return withValue(t, good, path, value) }
	for _, ok := range [][]byte{good, set("unheard_of", map[string]any{"a": 1}), set("tenants", nil), set("rules.stopSendingWithin", 0), set("rules.cold", 0), set("caps.connIdle", 0)} {
		if err := Check(ok); err != nil {
			t.Errorf("Check(valid settings %s) = error %v, want nil", ok, err)
		}
	}
	for _, c := range checkCases {
		err := Check(set(c.path, c.value))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("Check(valid settings with %s changed to %v) = error %v, want an error of one line that contains %q",
				c.path, c.value, err, c.want)
		}
	}
	for _, text := range []string{"", "[]", "null", `{"classes":{"a":1}}`, `{"balancers":[1]}`} {
		if Check([]byte(text)) == nil {
			t.Errorf("Check(%q) = nil, want an error", text)
		}
	}
}

// FuzzCheck checks that Check does not panic, for any text.
func FuzzCheck(f *testing.F) {
	if good, err := os.ReadFile("../../server/platform/testdata/settings.json"); err == nil {
		f.Add(string(good))
	}
	f.Fuzz(func(_ *testing.T, text string) { _ = Check([]byte(text)) })
}
