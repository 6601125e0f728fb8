package replay

import (
	"testing"

	"forkhead/internal/scheduler/core"
)

// An output without a stored form would stand in a tape as an empty line, and would replay against anything.
func TestRecordOutputHasAWordForEachOutput(t *testing.T) {
	for _, out := range []core.Output{
		core.DialHost{}, core.CloseHostConnection{}, core.SendToHost{}, core.Subscribe{}, core.SendGossip{}, core.Accepted{}, core.Rejected{}, core.OutcomesAdded{}, core.Persist{},
		core.Log{},
	} {
		if word, form := recordOutput(out); word == "" || form == nil {
			t.Errorf("%T has the word %q and the form %v", out, word, form)
		}
	}
}
