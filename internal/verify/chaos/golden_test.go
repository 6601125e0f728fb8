package chaos

import (
	"bytes"
	"encoding/json"
	"testing"

	"forkhead/internal/goldentest"
	"forkhead/internal/verify/rules"
)

// Programs that read the results rely on their JSON keys, so the keys of Result, ProcessResult and Totals must not
// change with the Go names. Totals.add reads results in their written form, and must read the same keys.
func TestResultsGolden(t *testing.T) {
	result := Result{
		Rules: map[string]int{"drain": 1}, Vetoes: 2, Defects: 3, Tasks: 4, Outcomes: map[string]int{"placed": 5}, Submissions: 6, RejectedSubmissions: 7,
		ResentSubmissions: 8, Offers: 9, RejectedOffers: 10, HostIncarnations: 11, Faults: 12, Events: 13, P50MS: 14.5, P99MS: 15.5, Seconds: 16.5, StoreCommits: 17,
		Accounts: rules.Accounts{Answered: 18, PlacerDied: 19, Disconnected: 20, NotDue: 21, Unanswered: 22},
	}
	text, err := json.Marshal(&result)
	if err != nil {
		t.Fatal(err)
	}
	process := ProcessResult{Seed: 1, ExitCode: 3, Result: text, Breaches: []string{`{"breach":"drain"}`}, Error: "killed"}
	var total Totals
	total.add(ProcessResult{Seed: 1, ExitCode: 3, Result: text})
	total.add(ProcessResult{Seed: 2, ExitCode: 1, Error: "killed"})
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	for _, v := range []any{&result, &Result{}, process, ProcessResult{}, total} {
		if err := enc.Encode(v); err != nil {
			t.Fatal(err)
		}
	}
	goldentest.Check(t, "results.jsonl", b.Bytes())
}
