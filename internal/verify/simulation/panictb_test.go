package simulation

import "testing"

// A check that fails outside a test keeps its message.
func TestPanicTBKeepsMessage(t *testing.T) {
	defer func() {
		if f, ok := recover().(failure); !ok || f.message != "two of 3" {
			t.Fatalf("%v", f)
		}
	}()
	panicTB{}.Fatalf("two of %d", 3)
}
