package platformreplay

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/goldentest"
	"forkhead/internal/scheduler/moduledriver"
)

// replay replays a trace and fails the test if it cannot be read.
func replay(t *testing.T, trace []byte, decide moduledriver.Decide) *Result {
	t.Helper()
	result, err := Replay(bytes.NewReader(trace), decide)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// stepCount returns the number of steps in a trace.
func stepCount(trace []byte) int { return bytes.Count(trace, []byte(`"way":"step"`)) }

// stepAt returns the number of the step that the line at offset belongs to.
func stepAt(trace []byte, offset int) int { return stepCount(trace[:offset]) - 1 }

// Repeated replays of a trace through the real module all return the recorded outputs.
func TestReplayIsIdentical(t *testing.T) {
	trace := record(t, nil)
	for range 20 {
		result := replay(t, trace, nil)
		if result.Difference != nil || result.Truncated || result.Steps != stepCount(trace) {
			t.Fatalf("Replay = %+v with difference %+v, want %d whole steps and no difference", result, result.Difference, stepCount(trace))
		}
	}
}

// With many hosts and connections, a core whose outputs depended on the iteration order of a map would differ in a
// replay.
func TestReplayOfABusyRunIsIdentical(t *testing.T) {
	trace := recordBusy(t)
	for _, lineType := range []string{typeDialHost, typeSendToHost, typeSendToOwner} {
		if count := bytes.Count(trace, []byte(`"what":"`+lineType+`"`)); count < 60 {
			t.Errorf("the recorded run has %d lines of type %s, want at least 60", count, lineType)
		}
	}
	for range 5 {
		if result := replay(t, trace, nil); result.Difference != nil || result.Steps != stepCount(trace) {
			t.Fatalf("Replay = %+v with difference %+v, want %d steps and no difference", result, result.Difference, stepCount(trace))
		}
	}
}

// A changed byte in an output, or in an input that determines outputs, is reported with the number of its step.
func TestReplayNamesTheStepOfAChangedByte(t *testing.T) {
	trace := record(t, nil)
	for _, changed := range []struct{ name, line, from, to string }{
		{"output", `"what":"platform.SendToOwner"`, `"ref\":\"9`, `"ref\":\"8`},
		{"input", `"what":"platform.HostData"`, `"ref\":\"9`, `"ref\":\"8`},
		{"dial", `"what":"platform.DialHost"`, `10.0.0.1`, `10.0.0.2`},
	} {
		t.Run(changed.name, func(t *testing.T) {
			start := bytes.Index(trace, []byte(changed.line))
			damaged := []byte(strings.Replace(string(trace[start:]), changed.from, changed.to, 1))
			damaged = append(bytes.Clone(trace[:start]), damaged...)
			if changed.name == "input" { // replay reads the exact bytes and ignores the text beside them
				damaged = dropExactBytes(t, damaged, start)
			}
			d := replay(t, damaged, nil).Difference
			if d == nil || d.Step != stepAt(trace, start) {
				t.Fatalf("Replay with a changed byte: difference %+v, want one at step %d", d, stepAt(trace, start))
			}
			if d.Output >= max(len(d.Want), len(d.Got)) || strings.Join(d.Want, "\n") == strings.Join(d.Got, "\n") {
				t.Errorf("Replay with a changed byte: difference %+v, want the index of an output and other outputs in Got than in Want", d)
			}
		})
	}
}

// dropExactBytes removes the exact bytes from the line at offset, so that its text is read.
func dropExactBytes(t *testing.T, trace []byte, offset int) []byte {
	t.Helper()
	start := offset + bytes.Index(trace[offset:], []byte(`,"Bytes":`))
	end := offset + bytes.Index(trace[offset:], []byte("}}\n"))
	if start < offset || start > end {
		t.Fatalf("the line at offset %d has no exact bytes, want some", offset)
	}
	return append(bytes.Clone(trace[:start]), trace[end:]...)
}

// A trace that is truncated at any place is replayed to its last whole step, or rejected if its head is incomplete.
func TestReplayOfATruncatedTraceEndsAtItsLastWholeStep(t *testing.T) {
	trace := record(t, nil)
	headSize := bytes.IndexByte(trace, '\n') + 1
	for _, size := range truncatedSizes(trace) {
		result, err := Replay(bytes.NewReader(trace[:size]), nil)
		if size < headSize {
			if err == nil {
				t.Fatalf("Replay of %d bytes of a head of %d = %+v, want an error", size, headSize, result)
			}
			continue
		}
		if err != nil || result.Difference != nil || result.Steps > stepCount(trace[:size]) || result.Steps < stepCount(trace[:size])-1 {
			t.Fatalf("Replay of %d bytes = %+v, error %v, want %d or %d steps, no difference and no error",
				size, result, err, stepCount(trace[:size])-1, stepCount(trace[:size]))
		}
		if result.Truncated == (result.Steps == stepCount(trace[:size]) && trace[size-1] == '\n') {
			t.Fatalf("Replay of %d bytes: %d of %d steps replayed, truncated = %v, want true unless the last step is whole",
				size, result.Steps, stepCount(trace[:size]), result.Truncated)
		}
	}
}

// truncatedSizes returns sizes that end within each line, and before, at and after each line feed.
func truncatedSizes(trace []byte) []int {
	sizes := []int{0}
	for i, b := range trace {
		if b == '\n' {
			sizes = append(sizes, i-10, i, i+1, min(i+2, len(trace)))
		}
	}
	return sizes
}

// Input that is not a valid trace of this version is rejected with an error that names the cause.
func TestReplayRejectsInvalidTrace(t *testing.T) {
	trace := string(record(t, nil))
	_, steps, _ := strings.Cut(trace, "\n")
	for _, c := range []struct{ name, text, want string }{
		{"empty", "", "not a trace of forkhead node: EOF"},
		{"no JSON", "what\n", "not a trace of forkhead node: line 1: "},
		{"no head", steps, "not a trace of forkhead node: it begins with a line of type platform.Step"},
		{"truncated head", trace[:100], "not a trace of forkhead node: the trace ends within a step"},
		{"other version", strings.Replace(trace, `"Version":1`, `"Version":2`, 1), "the trace is of version 2; want 1"},
		{"no settings", strings.Replace(trace, `"settings":`, `"sittings":`, 1), "configuration: it has no settings"},
		{"bad line", strings.Replace(trace, "\n"+`{"at"`, "\n"+`{at`, 1), "line 2: invalid character"},
		{"unknown input", strings.Replace(trace, "platform.HostData", "platform.HostDatum", 1), "platform.HostDatum is not an input type of this build"},
		{"a step is missing", strings.Replace(trace, `"Step":2,`, `"Step":3,`, 1), "step number 3, want 2"},
		{"a line is missing", withoutLine(trace, "platform.HostData"), `way "out", want "in"`},
		{"a line too many", strings.Replace(trace, `{"at":3600015000,"way":"step"`, `{"at":3600012000,"way":"out"}`+"\n"+`{"at":3600015000,"way":"step"`, 1), `way "out" of type "", want a step`},
	} {
		t.Run(c.name, func(t *testing.T) {
			result, err := Replay(strings.NewReader(c.text), nil)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("Replay = %+v, %v, want an error with %q", result, err, c.want)
			}
		})
	}
}

// withoutLine returns a trace without the first line that contains a given word.
func withoutLine(trace, word string) string {
	at := strings.Index(trace, word)
	start, end := strings.LastIndexByte(trace[:at], '\n')+1, at+strings.IndexByte(trace[at:], '\n')+1
	return trace[:start] + trace[end:]
}

// A replay with another module reports the step at which that module first decides differently.
func TestReplayNamesTheFirstStepOfAnotherModule(t *testing.T) {
	trace := record(t, offerToHost1)
	if result := replay(t, trace, offerToHost1); result.Difference != nil {
		t.Fatalf("Replay with the module of the trace: difference %+v, want none", result.Difference)
	}
	result := replay(t, trace, func(_ time.Duration, events []forkhead.Event) []forkhead.Action {
		var actions []forkhead.Action
		for _, event := range events {
			if request, ok := event.(forkhead.PlacementRequest); ok {
				actions = append(actions, forkhead.Fail{Task: request.Task.ID})
			}
		}
		return actions
	})
	d := result.Difference
	want := stepAt(trace, bytes.Index(trace, []byte(`"what":"platform.DialHost"`)))
	if d == nil || d.Step != want || result.Steps != want+1 {
		t.Fatalf("Replay with another module: %d steps, difference %+v, want one at step %d, the last", result.Steps, d, want)
	}
	if d.Output != 0 || !strings.HasPrefix(d.Want[0], "platform.DialHost ") || !strings.HasPrefix(d.Got[0], "platform.SendToOwner ") {
		t.Errorf("Replay with another module: difference %+v, want a DialHost in Want and a SendToOwner in Got", d)
	}
}

// A panic of the core is returned with the number of its step.
func TestReplayNamesTheStepOfAPanic(t *testing.T) {
	trace := record(t, offerToHost1)
	_, err := Replay(bytes.NewReader(trace), func(time.Duration, []forkhead.Event) []forkhead.Action { panic("injected") })
	var p PanicError
	if !errors.As(err, &p) || p.Step != 0 || p.Value != "injected" {
		t.Errorf("Replay with a module that panics = %v, want a PanicError of step 0 with the value injected", err)
	}
}

const connectionOpenedLog = `platform.Log {"Attributes":{"address":"10.0.0.1:1","connection":1,"host":"s-00000001"},` +
	`"InvariantViolation":false,"Level":"INFO","Message":"connection to a host opened"}`

// goldenTraces are traces that earlier builds wrote, with the fixed test module. The core has changed on purpose since the
// older ones: each names the first output that differs. The newest replays without a difference. An intended change of
// the core needs a further trace, not a new version of one.
var goldenTraces = []struct {
	file string
	step int    // step of the first difference; 0: there is none
	got  string // first output of this build in that step
}{
	{"trace.jsonl", 4, connectionOpenedLog}, // opened connections to hosts have had no log line before
	{"trace-2.jsonl", 4, connectionOpenedLog},
	{"trace-3.jsonl", 0, ""},
}

// Traces that earlier builds wrote replay up to the first intended difference. With -update, the test writes a file only
// if it is missing.
func TestReplayGoldenTrace(t *testing.T) {
	for _, golden := range goldenTraces {
		path := filepath.Join("testdata", golden.file)
		if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) && goldentest.Updating() {
			if err := os.WriteFile(path, record(t, offerToHost1), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		trace, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		result := replay(t, trace, offerToHost1)
		if golden.step > 0 {
			if d := result.Difference; d == nil || d.Step != golden.step || len(d.Got) == 0 || d.Got[0] != golden.got {
				t.Errorf("Replay(%s): got difference %+v, want one in step %d with the output %s", path, d, golden.step, golden.got)
			}
			continue
		}
		if result.Difference != nil || result.Truncated || result.Steps != stepCount(trace) {
			t.Errorf("Replay(%s) = %+v with difference %+v, want %d whole steps and no difference", path, result, result.Difference, stepCount(trace))
		}
	}
}

// Result and Message are printed with --output json, so that their JSON keys must not change.
func TestResultAndMessageKeepTheirJSONKeys(t *testing.T) {
	text, err := json.Marshal(Result{Steps: 3, Truncated: true, Difference: &Difference{Step: 2, Now: 7, Output: 1, Inputs: []string{"a"}, Want: []string{"b"}, Got: []string{"c"}}})
	const want = `{"steps":3,"cut":true,"difference":{"step":2,"now":7,"output":1,"inputs":["a"],"want":["b"],"got":["c"]}}`
	if err != nil || string(text) != want {
		t.Errorf("Marshal(Result) = %s, %v, want %s", text, err, want)
	}
	text, err = json.Marshal(Message{Step: 1, Now: 2, Direction: "in", Peer: PeerHost, Connection: 3, Address: "a", Line: "l"})
	const wantMessage = `{"step":1,"now":2,"direction":"in","peer":"host","connection":3,"address":"a","line":"l"}`
	if err != nil || string(text) != wantMessage {
		t.Errorf("Marshal(Message) = %s, %v, want %s", text, err, wantMessage)
	}
}

// FollowRequest returns each message that names a request, with its connection and direction. One of the messages is
// split over two reads, and the ref is compared without regard to case.
func TestFollowRequestReturnsEachMessageThatNamesIt(t *testing.T) {
	for _, ref := range []string{testRef, strings.ToUpper(testRef)} {
		request, err := FollowRequest(bytes.NewReader(record(t, offerToHost1)), ref)
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, m := range request.Messages {
			var line struct{ T string }
			_ = json.Unmarshal([]byte(m.Line), &line)
			got = append(got, fmt.Sprint(m.Step, " ", m.Now-testStart, " ", m.Direction, " ", m.Peer, " ", m.Connection, " ", m.Address, " ", line.T))
		}
		want := []string{
			"3 12ms in owner 1  new", "4 15ms out host 1 10.0.0.1:1 new", "5 18ms in host 1 10.0.0.1:1 up", "5 18ms out owner 1  up",
		}
		if len(got) < len(want) || strings.Join(got[:len(want)], "\n") != strings.Join(want, "\n") || request.Truncated {
			t.Errorf("FollowRequest(%s): truncated = %v, got messages\n%s\nwant, not truncated, first\n%s",
				ref, request.Truncated, strings.Join(got, "\n"), strings.Join(want, "\n"))
		}
	}
	request, err := FollowRequest(bytes.NewReader(record(t, offerToHost1)), "0000000000000000")
	if err != nil || len(request.Messages) > 0 {
		t.Errorf("FollowRequest of a ref that is not in the trace = %+v, %v, want no messages and no error", request, err)
	}
}
