package timerqueue

import (
	"slices"
	"testing"
	"time"
)

func TestOrder(t *testing.T) {
	var a Queue[string]
	for _, s := range []struct {
		at   time.Duration
		what string
	}{{3, "d"}, {1, "a"}, {2, "b"}, {2, "c"}, {9, "late"}} {
		a.Add(s.at, s.what)
	}
	var got []string
	for {
		what, ok := a.PopDue(3)
		if !ok {
			break
		}
		got = append(got, what)
	}
	if at, ok := a.Next(); !slices.Equal(got, []string{"a", "b", "c", "d"}) || !ok || at != 9 || a.Len() != 1 {
		t.Errorf("due by 3: %q; then %v, %v, %d left", got, at, ok, a.Len())
	}
}
