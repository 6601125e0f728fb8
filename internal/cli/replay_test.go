package cli

import (
	"errors"
	"io"
	"path/filepath"
	"testing"

	"forkhead/internal/verify/platformreplay"
)

// A trace that cannot be read is an input error, but a panic of the core during the replay is a failure of the program.
func TestReadNodeTraceClassifiesErrors(t *testing.T) {
	const file = "../verify/platformreplay/testdata/trace.jsonl"
	for _, c := range []struct {
		name, file string
		err        error
		isInput    bool
	}{
		{"panic", file, platformreplay.PanicError{Step: 3, Value: "injected"}, false},
		{"unreadable trace", file, errors.New("line 3"), true},
		{"no file", filepath.Join(t.TempDir(), "none"), nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := readNodeTrace(c.file, func(io.Reader) (int, error) { return 0, c.err })
			if err == nil || isInputError(err) != c.isInput {
				t.Errorf("readNodeTrace(%q) whose function read returns error %v: got error %v, want an error with isInputError %v",
					c.file, c.err, err, c.isInput)
			}
		})
	}
}
