package chaos

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"
)

// A run that fails or is killed must be counted as failed, not as a run that broke no rule, and must add nothing to the
// sums of tasks, offers, vetoes and breaches. The runs here are shell commands: one passes, one breaks a rule, one
// fails and one is killed.
func TestRepeatCountsRunsByResult(t *testing.T) {
	var results []ProcessResult
	r := Repeat{
		Runs: 4, Parallel: 2, Seed: 10, BusyLoops: 1, MaxStop: time.Millisecond,
		Command: func(seed int) []string {
			result := `{"rules":{"spread":%d},"tasks":5,"offers":7,"vetoes":1}`
			text := map[int]string{
				10: fmt.Sprintf("echo '"+result+"'", 0),
				11: fmt.Sprintf(`echo '{"breach":"spread"}'; echo '`+result+"'; exit 3", 2),
				12: "echo trouble >&2; exit 1",
				13: "kill -9 $$",
			}
			return []string{"sh", "-c", text[seed]}
		},
		OnDone: func(p ProcessResult) { results = append(results, p) },
	}
	want := Totals{Runs: 4, Broken: 1, Failed: 2, Tasks: 10, Offers: 14, Vetoes: 2, Breaches: 2}
	if got := r.Run(context.Background()); got != want {
		t.Errorf("Repeat.Run() = %+v, want %+v", got, want)
	}
	for _, p := range results {
		if p.Seed == 12 && !strings.Contains(p.Error, "trouble") || p.Seed == 11 && len(p.Breaches) != 1 {
			t.Errorf("run with seed %d: got %+v, want its standard error in Error (seed 12) or one breach (seed 11)", p.Seed, p)
		}
	}
}

func TestPrefixBufferKeepsFirstBytes(t *testing.T) {
	b := prefixBuffer{max: 5}
	for _, p := range []string{"abc", "def", "ghi"} {
		if n, err := b.Write([]byte(p)); n != len(p) || err != nil {
			t.Errorf("Write(%q) = %d, %v, want %d, nil", p, n, err, len(p))
		}
	}
	if string(b.prefix) != "abcde" {
		t.Errorf("after 9 bytes with max 5: got the prefix %q, want %q", b.prefix, "abcde")
	}
}
