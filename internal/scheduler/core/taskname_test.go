package core

import (
	"errors"
	"testing"
)

// The name of a task is parsed and printed again unchanged; one that does not have three parts or ends without a number
// is rejected with the error for that fault.
func TestParseTaskNameRejectsMalformedNames(t *testing.T) {
	for text, want := range map[string]struct {
		name taskName
		err  error
	}{
		"shop/web/12": {name: taskName{project: "shop", service: "web", replica: 12}},
		"shop/web":    {err: errNameParts},
		"shop/web/1/": {err: errNameParts},
		"":            {err: errNameParts},
		"shop/web/x":  {err: errNameNumber},
		"shop/web/":   {err: errNameNumber},
	} {
		name, err := parseTaskName(text)
		if name != want.name || !errors.Is(err, want.err) {
			t.Errorf("parseTaskName(%q) = %+v, %v, want %+v, %v", text, name, err, want.name, want.err)
		}
		if err == nil && name.String() != text {
			t.Errorf("parseTaskName(%q).String() = %q, want %q", text, name.String(), text)
		}
	}
}
