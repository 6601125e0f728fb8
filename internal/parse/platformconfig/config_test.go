package platformconfig

import "testing"

func TestParse(t *testing.T) {
	in, err := Parse([]byte(`{"me": 2, "unknown": [1], "caps": {"maxAttempts": 4}, "rules": {"fall": 1500.0}}`))
	if err != nil || in.Self != 2 || in.Caps.MaxAttempts != 4 || in.Rules.SlowStartWindow != 1500 {
		t.Errorf("got %+v, %v", in, err)
	}
	if _, err := Parse([]byte("not JSON")); err == nil {
		t.Error("no error for a text that is not JSON")
	}
}
