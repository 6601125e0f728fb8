package chaos

import (
	"bytes"
	"encoding/json"
	"testing"

	"forkhead/internal/goldentest"
	"forkhead/internal/verify/rules"
)

// What is written of a day, of each play of many and of all of them has these keys; Totals come from results as they are
// written.
func TestResultsGolden(t *testing.T) {
	result := Result{
		Rules: map[string]int{"drain": 1}, Vetoes: 2, Defects: 3, Tasks: 4, Outcomes: map[string]int{"placed": 5}, Submissions: 6, TurnedAway: 7,
		Resent: 8, Offers: 9, Refused: 10, HostLives: 11, Troubles: 12, Events: 13, P50MS: 14.5, P99MS: 15.5, Seconds: 16.5, Commits: 17,
		Accounts: rules.Accounts{Told: 18, Dead: 19, Cut: 20, NotDue: 21, Forgotten: 22},
	}
	text, err := json.Marshal(&result)
	if err != nil {
		t.Fatal(err)
	}
	played := Played{Seed: 1, Code: 3, Result: text, Breach: []string{`{"breach":"drain"}`}, Error: "killed"}
	var total Totals
	total.add(Played{Seed: 1, Code: 3, Result: text})
	total.add(Played{Seed: 2, Code: 1, Error: "killed"})
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	for _, v := range []any{&result, &Result{}, played, Played{}, total} {
		if err := enc.Encode(v); err != nil {
			t.Fatal(err)
		}
	}
	goldentest.Check(t, "results.jsonl", b.Bytes())
}
