package replay

import (
	"testing"

	"forkhead/internal/scheduler/core"
)

// An output without a stored form would be recorded without a name and fields, so a replay would not detect that it
// differs from another such output.
func TestRecordOutputHasNameForEachOutput(t *testing.T) {
	for _, out := range []core.Output{
		core.DialHost{},
		core.CloseHostConnection{},
		core.SendToHost{},
		core.Subscribe{},
		core.SendGossip{},
		core.Accepted{},
		core.Rejected{},
		core.OutcomesAdded{},
		core.Persist{},
		core.Log{},
	} {
		if name, form := recordOutput(out); name == "" || form == nil {
			t.Errorf("recordOutput(%T) = %q, %v, want a name and a stored form", out, name, form)
		}
	}
}
