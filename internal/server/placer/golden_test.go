package placer

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"forkhead/internal/goldentest"
	"forkhead/internal/parse/compose"
	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/protocol/http1"
	"forkhead/internal/scheduler/core"
)

// The bytes of a problem response are as in testdata: status line, header and body.
func TestProblemResponseEncodesAsGoldenFile(t *testing.T) {
	pos := diagnostic.Pos{File: "a.yaml", Line: 3, Col: 5}
	var b bytes.Buffer
	for _, c := range []struct {
		response   problemResponse
		closeAfter bool
	}{
		{problemResponse{Problem: Problem{Title: "No such resource", Status: 404, Detail: "/x"}}, false},
		{problemResponse{
			Problem: Problem{Title: "Method not allowed", Status: 405}, header: []http1.Field{{Name: "allow", Value: "GET"}},
		}, true},
		{problemResponse{Problem: Problem{Title: "Stopping", Status: 503}, retryAfter: 1500 * time.Millisecond}, false},
		{problemResponse{
			Problem: InvalidSpecProblem(errors.Join(diagnostic.Wantf(pos, "image", "unknown"), diagnostic.Errorf(pos, "twice"))),
		}, false},
		{problemResponse{Problem: infeasibleProblem([]string{"a", "b"})}, false},
	} {
		b.Write(bytes.ReplaceAll(c.response.encode(c.closeAfter), []byte("\r"), nil))
	}
	goldentest.Check(t, "problems.txt", b.Bytes())
}

// The JSON of submissions, outcomes and the status is as in testdata, and an envelope in testdata decodes to the same
// value.
func TestBodiesEncodeAsGoldenFile(t *testing.T) {
	envelope := Envelope{
		Files: []compose.File{{Name: "a.yaml", Text: "services: {}"}}, Others: []compose.File{{Name: "b.env", Text: "A=1"}},
		Variables: map[string]string{"TAG": "1"}, Profiles: []string{"p"}, Services: []string{"s"}, Project: "shop",
	}
	outcome := core.Outcome{
		Service: "web", Replica: 1, Outcome: core.OutcomePlaced, Host: "h", Zone: "z", Rack: "r", Reason: "why", Attempts: 2, TookMS: 3,
	}
	status := core.Status{
		Placer: 1, Epoch: 2, Hosts: 3, HostsUp: 4, HostsReady: 5, Tasks: 6, TasksPlaced: 7, TasksWaiting: 8, AttemptsUnknown: 9, Submissions: 10, PlacementRequests: 11, Offers: 12,
		Outcomes: map[core.OutcomeKind]uint64{core.OutcomePlaced: 13, core.OutcomeRejected: 14, core.OutcomeFailed: 15}, Lost: 16, Migrated: 17, Vetoes: 18,
		VetoesByRule: map[string]uint64{"drain": 19}, Defects: 20,
	}
	var b bytes.Buffer
	fmt.Fprintln(&b, EnvelopeMediaType)
	enc := json.NewEncoder(&b)
	for _, body := range []any{envelope, Envelope{}, outcome, core.Outcome{}, status} {
		if err := enc.Encode(body); err != nil {
			t.Fatalf("Encode(%T): got error %v, want nil", body, err)
		}
	}
	goldentest.Check(t, "bodies.jsonl", b.Bytes())

	kept, err := os.ReadFile(filepath.Join("testdata", "bodies.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	var got Envelope
	if err := json.Unmarshal(bytes.Split(kept, []byte("\n"))[1], &got); err != nil || !reflect.DeepEqual(got, envelope) {
		t.Errorf("Unmarshal(envelope of bodies.jsonl) = %+v, %v, want %+v", got, err, envelope)
	}
}
