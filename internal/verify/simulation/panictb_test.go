package simulation

import "testing"

// CheckRandom reports the message of a failed check, which it gets from panicTB's panic.
func TestPanicTBFatalfPanicsWithMessage(t *testing.T) {
	defer func() {
		if f, ok := recover().(failure); !ok || f.message != "two of 3" {
			t.Fatalf("Fatalf(%q, 3) panicked with failure %+v (is a failure: %v), want message %q", "two of %d", f, ok, "two of 3")
		}
	}()
	panicTB{}.Fatalf("two of %d", 3)
}
