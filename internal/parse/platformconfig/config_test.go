package platformconfig

import "testing"

func TestParseIgnoresUnknownKeys(t *testing.T) {
	in, err := Parse([]byte(`{"me": 2, "unknown": [1], "caps": {"maxAttempts": 4}, "rules": {"fall": 1500.0}}`))
	if err != nil || in.Self != 2 || in.Caps.MaxAttempts != 4 || in.Rules.SlowStartWindow != 1500 {
		t.Errorf("Parse of settings with unknown keys = %+v, error %v; want Self 2, MaxAttempts 4, SlowStartWindow 1500 and no error", in, err)
	}
	if _, err := Parse([]byte("not JSON")); err == nil {
		t.Error("Parse(\"not JSON\") = no error, want one")
	}
}
