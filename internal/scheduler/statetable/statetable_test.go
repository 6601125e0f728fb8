package statetable_test

import (
	"testing"

	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/hostconn"
	"forkhead/internal/scheduler/hostsession"
	"forkhead/internal/scheduler/statetable"
	"forkhead/internal/verify/doccheck"
)

// The design page on the state machines contains the tables that the code renders.
func TestDesignPageContainsTables(t *testing.T) {
	for name, table := range map[string]func() string{
		"attempt":     attempt.Table,
		"hostconn":    hostconn.Table,
		"hostsession": hostsession.Table,
	} {
		t.Run(name, func(t *testing.T) { doccheck.Contains(t, "docs/design/attempts.md", table()) })
	}
}

func TestRenderReturnsMarkdownTable(t *testing.T) {
	got := statetable.Render([]string{"Off", "On"}, []string{"push", "pull"}, func(input, state int) string {
		if input == state {
			return "x"
		}
		return ""
	})
	const want = "| input | Off | On |\n| --- | --- | --- |\n| push | x | |\n| pull | | x |\n"
	if got != want {
		t.Errorf("Render(): got\n%s, want\n%s", got, want)
	}
}

func TestCellJoinsNextStateAndOutputs(t *testing.T) {
	const from, to = attempt.Waiting, attempt.Placed
	for name, c := range map[string]struct {
		got, want string
	}{
		"nothing":                   {statetable.Cell(", ", from, from, ""), ""},
		"next state":                {statetable.Cell(", ", from, to), "Placed"},
		"output":                    {statetable.Cell(", ", from, from, "close"), "close"},
		"all, outputs partly empty": {statetable.Cell(", ", from, to, "", "close", "", "retry"), "Placed, close, retry"},
	} {
		if c.got != c.want {
			t.Errorf("%s: Cell() = %q, want %q", name, c.got, c.want)
		}
	}
}
