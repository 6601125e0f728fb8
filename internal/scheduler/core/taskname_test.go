package core

import (
	"errors"
	"testing"
)

func TestParseTaskName(t *testing.T) {
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
			t.Errorf("%q: %+v and error %v, want %+v and %v", text, name, err, want.name, want.err)
		}
		if err == nil && name.String() != text {
			t.Errorf("%q: String gives %q", text, name.String())
		}
	}
}
