package rules

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"testing"

	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/scheduler/invariant"
	"forkhead/internal/verify/scenario"
)

// goldenRecord returns the capture that an earlier build stored with the command
// `forkhead badday testdata/script.sexp --record-on-breach`.
func goldenRecord(t *testing.T) []byte {
	t.Helper()
	packed, err := os.ReadFile(filepath.Join("testdata", "record.jsonl.gz"))
	if err != nil {
		t.Fatal(err)
	}
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(r)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// goldenVerdict checks a capture with the settings of testdata/script.sexp.
func goldenVerdict(t *testing.T, events []capture.Event) Verdict {
	t.Helper()
	script, err := os.ReadFile(filepath.Join("testdata", "script.sexp"))
	if err != nil {
		t.Fatal(err)
	}
	s, err := scenario.Read("script.sexp", script)
	if err != nil {
		t.Fatal(err)
	}
	config := ConfigFromSettings(s.Settings, float64(s.Host.MaxStarting)/s.Host.StartTime.Seconds())
	config.Durable = s.Durable
	v := Check(events, config)
	for _, kind := range []core.OutcomeKind{core.OutcomePlaced, core.OutcomeRejected, core.OutcomeFailed} {
		v.Outcomes[string(kind)] += 0 // the stored result also lists the kinds of outcomes that did not occur
	}
	return v
}

// The capture of an earlier build can be read, is written again without a difference, and results in the verdict that
// was stored with it.
func TestCheckGoldenRecordReturnsStoredVerdict(t *testing.T) {
	text := goldenRecord(t)
	events, err := capture.Read(bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	var again bytes.Buffer
	if err := capture.Write(&again, events); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(again.Bytes(), text) {
		t.Errorf("capture.Write of the record that was read = %d bytes that differ from the record of %d bytes, want the same bytes",
			again.Len(), len(text))
	}
	v := goldenVerdict(t, events)
	kept, err := os.ReadFile(filepath.Join("testdata", "verdict.json"))
	if err != nil {
		t.Fatal(err)
	}
	var want struct {
		Breaches json.RawMessage `json:"breaches"`
		Result   map[string]json.RawMessage
	}
	if err := json.Unmarshal(kept, &want); err != nil {
		t.Fatal(err)
	}
	counts := map[string]int{}
	for rule := invariant.OneAnswer; rule <= invariant.Spread; rule++ {
		counts[rule.String()] = v.Counts[rule]
	}
	for name, c := range map[string]struct {
		got  any
		want json.RawMessage
	}{
		"breaches":   {v.Breaches, want.Breaches},
		"rules":      {counts, want.Result["rules"]},
		"tasks":      {v.Tasks, want.Result["tasks"]},
		"outcomes":   {v.Outcomes, want.Result["outcomes"]},
		"offers":     {v.Offers, want.Result["offers"]},
		"refused":    {v.Rejected, want.Result["refused"]},
		"host_lives": {v.HostIncarnations, want.Result["host_lives"]},
		"accounts":   {v.Accounts, want.Result["accounts"]},
	} {
		got, err := json.Marshal(c.got)
		if err != nil {
			t.Fatal(err)
		}
		var compact bytes.Buffer
		if err := json.Compact(&compact, c.want); err != nil {
			t.Fatalf("Compact(stored value of %s): error %v, want none", name, err)
		}
		if !bytes.Equal(got, compact.Bytes()) {
			t.Errorf("verdict of the record: %s = %s, want %s", name, got, compact.Bytes())
		}
	}
}
