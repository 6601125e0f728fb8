package state_test

import (
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/placing/state"
	"forkhead/internal/protocol/catalogue"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/reading/description"
	"forkhead/internal/reading/source"
)

var update = flag.Bool("update", false, "write the golden files anew")

// checkGolden compares text with testdata/name.
func checkGolden(t *testing.T, name string, text []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, text, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(text, want) {
		t.Errorf("%s differs\ngot:\n%s\nwant:\n%s", path, text, want)
	}
}

// exampleNotes are one of each kind, with every field set.
func exampleNotes() []state.Note {
	pos := source.Pos{File: "a.yaml", Line: 3, Col: 5}
	ref := hostproto.Ref{Epoch: 1, Task: 2, Attempt: 3}
	return []state.Note{
		state.Taken{
			Submission: state.Submission{ID: "s-1", Key: "key", Body: 7, Total: 2, At: time.Hour, Project: "p"},
			What: &description.Description{
				Name: "p", Whole: true, Notes: []description.Note{{Pos: pos, Text: "not acted on"}},
				Services: []description.Service{{
					Name: "web", Pos: pos, Class: "c", Tenant: "t", Mode: description.GlobalJob, Replicas: 2, Cores: 0.5, Memory: 1.5,
					LimitCores: 1, LimitMemory: 2, Life: time.Minute, Wait: time.Second, Patience: 2 * time.Second,
					Constraints: []description.Constraint{{Attribute: "label.disk", Not: true, Value: "hdd", Pos: pos}},
					Preferences: []description.Attribute{"label.rack"},
					Limits:      []description.Limit{{Place: "rack", Most: 2, Pos: pos}},
					Near:        []description.Near{{Service: "db", Place: "zone", Pos: pos}},
					Restart:     description.Restart{When: description.OnFailure, Delay: time.Second, Most: 3, Window: time.Minute},
					Update: description.Update{
						Parallel: 1, Delay: time.Second, OnTrouble: description.Rollback, Monitor: time.Minute, MaxFailed: 0.25, StartFirst: true,
					},
					DependsOn: []description.Dependency{{Service: "db", When: description.Completed, Optional: true, Restart: true, Pos: pos}},
					Labels:    map[string]string{"a": "b"}, StopGrace: 5 * time.Second, Payload: []byte(`{"image":"i"}`),
				}},
			},
		},
		state.Told{
			Submission: "s-1", Number: 1, Text: []byte(`{"service":"web"}`),
			Task: state.Task{Project: "p", Service: "web", Replica: 2, Word: "placed"},
		},
		state.Done{Task: state.Task{Project: "p", Service: "web", Replica: 2, Word: "failed", Over: true}},
		state.Removed{Project: "p", At: 2 * time.Hour},
		state.Erased{Project: "p"},
		state.Forgotten{Submission: "s-1"},
		state.Offered{Attempt: state.Attempt{
			Ref: ref, Key: 5, Project: "p", Service: "web", Replica: 1, Class: "c", Host: "h", Address: "10.0.0.1:1", Life: 9, At: time.Hour,
		}},
		state.Settled{Ref: ref},
		state.Began{Epoch: 11},
		state.Listed{List: state.List{At: time.Hour, Hosts: []catalogue.Host{{
			Name: "h", Address: "10.0.0.1:1", Kind: "k", Zone: "z", Rack: "r", State: forkhead.Removed, Started: time.Minute,
			FreeCores: 1.5, FreeMemory: 2.5, Attributes: map[description.Attribute]string{"os": "linux"},
		}}}},
	}
}

// Every kind of note comes to the same changes of the same keys, with the same sealed bytes.
func TestChangesGolden(t *testing.T) {
	var b bytes.Buffer
	for _, n := range exampleNotes() {
		fmt.Fprintf(&b, "waited for: %v\n", state.Waits(n))
		for _, c := range state.Changes(n) {
			switch {
			case c.All:
				fmt.Fprintf(&b, "\tdrop all %s %s\n", c.Bucket, c.Key)
			case c.Value == nil:
				fmt.Fprintf(&b, "\tdrop %s %s\n", c.Bucket, c.Key)
			default:
				fmt.Fprintf(&b, "\tput %s %s %s %s\n", c.Bucket, c.Key, hex.EncodeToString(c.Value[:5]), c.Value[5:])
			}
		}
	}
	checkGolden(t, "changes.txt", b.Bytes())
}

// A stored description and list hold these words as numbers.
func TestStoredNumbers(t *testing.T) {
	for name, c := range map[string]struct{ got, want uint8 }{
		"replicated":     {uint8(description.Replicated), 0},
		"global":         {uint8(description.Global), 1},
		"replicated job": {uint8(description.ReplicatedJob), 2},
		"global job":     {uint8(description.GlobalJob), 3},
		"always":         {uint8(description.Always), 0},
		"on failure":     {uint8(description.OnFailure), 1},
		"never":          {uint8(description.Never), 2},
		"pause":          {uint8(description.Pause), 0},
		"continue":       {uint8(description.Continue), 1},
		"rollback":       {uint8(description.Rollback), 2},
		"started":        {uint8(description.Started), 0},
		"healthy":        {uint8(description.Healthy), 1},
		"completed":      {uint8(description.Completed), 2},
		"draining":       {uint8(forkhead.Draining), 0},
		"ready":          {uint8(forkhead.Ready), 1},
		"gone":           {uint8(forkhead.Removed), 2},
	} {
		if c.got != c.want {
			t.Errorf("%s is stored as %d; want %d", name, c.got, c.want)
		}
	}
}
