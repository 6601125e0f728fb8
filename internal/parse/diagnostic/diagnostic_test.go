package diagnostic

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

func TestErrorStringHasPositionMessageAndWant(t *testing.T) {
	pos := Pos{File: "f", Line: 2, Col: 3}
	for want, err := range map[string]error{
		"f:2:3: 4 is odd":              Errorf(pos, "%d is odd", 4),
		"f:2:3: 4 is odd; want even":   Wantf(pos, "even", "%d is odd", 4),
		"f: the file is empty":         Errorf(Pos{File: "f"}, "the file is empty"),
		"f:2:3: empty; want something": Wantf(pos, "something", "empty"),
	} {
		if got := err.Error(); got != want {
			t.Errorf("Error() = %q, want %q", got, want)
		}
	}
}

func TestListKeepsMaxErrorsAndCountsRest(t *testing.T) {
	l := &List{}
	l.Add(nil)
	if err := l.Err(); err != nil {
		t.Errorf("Err() of an empty list = %v, want nil", err)
	}
	for i := range MaxErrors + 2 {
		l.Add(Errorf(Pos{File: "f", Line: i + 1, Col: 1}, "bad"))
	}
	for range 2 { // Err must not change the list, so a second call must return the same error
		lines := strings.Split(l.Err().Error(), "\n")
		if len(lines) != MaxErrors+1 || lines[0] != "f:1:1: bad" || lines[MaxErrors] != "and 2 more" {
			t.Errorf("Err() after %d errors: got %d lines %q, want %d lines, the first \"f:1:1: bad\", the last \"and 2 more\"",
				MaxErrors+2, len(lines), lines, MaxErrors+1)
		}
	}
	if first := First(l.Err()); first == nil || first.Pos.Line != 1 {
		t.Errorf("First(Err()) = %v, want the error at line 1", first)
	}
}

func TestFirstFindsWrappedError(t *testing.T) {
	inner := Errorf(Pos{File: "f"}, "bad")
	if got := First(fmt.Errorf("while parsing: %w", inner)); got != inner {
		t.Errorf("First(an error that wraps %q) = %v, want the wrapped error", inner, got)
	}
	if got := First(errors.New("other")); got != nil {
		t.Errorf("First(an error without a position) = %v, want nil", got)
	}
}

func TestNearestFindsMisspelledName(t *testing.T) {
	known := []string{"replicas", "resources", "restart"}
	for name, want := range map[string]string{
		"replica": "replicas", "REPLICAS": "replicas", "resorces": "resources", "retsart": "restart", "image": "", "": "",
		strings.Repeat("r", 65): "",
	} {
		if got := Nearest(name, known); got != want {
			t.Errorf("Nearest(%q, %q) = %q, want %q", name, known, got, want)
		}
	}
}
