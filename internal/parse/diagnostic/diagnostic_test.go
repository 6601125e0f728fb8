package diagnostic

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

func TestError(t *testing.T) {
	pos := Pos{File: "f", Line: 2, Col: 3}
	for want, err := range map[string]error{
		"f:2:3: 4 is odd":              Errorf(pos, "%d is odd", 4),
		"f:2:3: 4 is odd; want even":   Wantf(pos, "even", "%d is odd", 4),
		"f: the file is empty":         Errorf(Pos{File: "f"}, "the file is empty"),
		"f:2:3: empty; want something": Wantf(pos, "something", "empty"),
	} {
		if err.Error() != want {
			t.Errorf("%s, want %s", err, want)
		}
	}
}

func TestList(t *testing.T) {
	l := &List{}
	l.Add(nil)
	if err := l.Err(); err != nil {
		t.Errorf("an empty list is the error %v", err)
	}
	for i := range MaxErrors + 2 {
		l.Add(Errorf(Pos{File: "f", Line: i + 1, Col: 1}, "bad"))
	}
	for range 2 { // Err leaves the list as it is
		lines := strings.Split(l.Err().Error(), "\n")
		if len(lines) != MaxErrors+1 || lines[0] != "f:1:1: bad" || lines[MaxErrors] != "and 2 more" {
			t.Errorf("%d lines: %q", len(lines), lines)
		}
	}
	if first := First(l.Err()); first == nil || first.Pos.Line != 1 {
		t.Errorf("first is %v", first)
	}
}

func TestFirst(t *testing.T) {
	inner := Errorf(Pos{File: "f"}, "bad")
	if got := First(fmt.Errorf("while parsing: %w", inner)); got != inner {
		t.Errorf("got %v", got)
	}
	if got := First(errors.New("other")); got != nil {
		t.Errorf("got %v", got)
	}
}

func TestNearest(t *testing.T) {
	known := []string{"replicas", "resources", "restart"}
	for name, want := range map[string]string{
		"replica": "replicas", "REPLICAS": "replicas", "resorces": "resources", "retsart": "restart", "image": "", "": "",
		strings.Repeat("r", 65): "",
	} {
		if got := Nearest(name, known); got != want {
			t.Errorf("%q: nearest is %q, want %q", name, got, want)
		}
	}
}
