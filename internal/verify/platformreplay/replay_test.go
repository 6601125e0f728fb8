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

// replay replays a trace that can be read.
func replay(t *testing.T, trace []byte, decide moduledriver.Decide) *Result {
	t.Helper()
	result, err := Replay(bytes.NewReader(trace), decide)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// stepCount returns how many steps a trace has.
func stepCount(trace []byte) int { return bytes.Count(trace, []byte(`"way":"step"`)) }

// stepAt returns the number of the step that the line at an offset belongs to.
func stepAt(trace []byte, offset int) int { return stepCount(trace[:offset]) - 1 }

// A trace replays to the same outputs, with the real module; each replay of it does.
func TestReplayIsIdentical(t *testing.T) {
	trace := record(t, nil)
	for range 20 {
		result := replay(t, trace, nil)
		if result.Difference != nil || result.Truncated || result.Steps != stepCount(trace) {
			t.Fatalf("%+v, %+v; want %d steps", result, result.Difference, stepCount(trace))
		}
	}
}

// The core takes no order from a map, however many hosts and connections it has.
func TestReplayOfABusyRunIsIdentical(t *testing.T) {
	trace := recordBusy(t)
	for _, what := range []string{whatDialHost, whatSendToHost, whatSendToOwner} {
		if count := bytes.Count(trace, []byte(`"what":"`+what+`"`)); count < 60 {
			t.Errorf("the run has only %d %s", count, what)
		}
	}
	for range 5 {
		if result := replay(t, trace, nil); result.Difference != nil || result.Steps != stepCount(trace) {
			t.Fatalf("%+v, %+v; want %d steps", result, result.Difference, stepCount(trace))
		}
	}
}

// One byte that is changed is named at its step: of an output, and of an input, whose outputs change with it.
func TestReplayNamesTheStepOfAChangedByte(t *testing.T) {
	trace := record(t, nil)
	for _, changed := range []struct{ name, line, from, to string }{
		{"output", `"what":"platform.SendToOwner"`, `"ref\":\"9`, `"ref\":\"8`},
		{"input", `"what":"platform.HostData"`, `"ref\":\"9`, `"ref\":\"8`},
		{"log or dial", `"what":"platform.DialHost"`, `10.0.0.1`, `10.0.0.2`},
	} {
		t.Run(changed.name, func(t *testing.T) {
			start := bytes.Index(trace, []byte(changed.line))
			damaged := []byte(strings.Replace(string(trace[start:]), changed.from, changed.to, 1))
			damaged = append(bytes.Clone(trace[:start]), damaged...)
			if changed.name == "input" { // the exact bytes count, not the text beside them
				damaged = dropExactBytes(t, damaged, start)
			}
			d := replay(t, damaged, nil).Difference
			if d == nil || d.Step != stepAt(trace, start) {
				t.Fatalf("%+v, want a difference at step %d", d, stepAt(trace, start))
			}
			if d.Output >= max(len(d.Want), len(d.Got)) || strings.Join(d.Want, "\n") == strings.Join(d.Got, "\n") {
				t.Errorf("%+v", d)
			}
		})
	}
}

// dropExactBytes removes the exact bytes from the line at an offset, so that its text counts.
func dropExactBytes(t *testing.T, trace []byte, offset int) []byte {
	t.Helper()
	start := offset + bytes.Index(trace[offset:], []byte(`,"Bytes":`))
	end := offset + bytes.Index(trace[offset:], []byte("}}\n"))
	if start < offset || start > end {
		t.Fatal("no exact bytes")
	}
	return append(bytes.Clone(trace[:start]), trace[end:]...)
}

// A trace that is cut anywhere is replayed to its last whole step, or rejected if the head is not whole.
func TestReplayCutTrace(t *testing.T) {
	trace := record(t, nil)
	headSize := bytes.IndexByte(trace, '\n') + 1
	for _, size := range cutSizes(trace) {
		result, err := Replay(bytes.NewReader(trace[:size]), nil)
		if size < headSize {
			if err == nil {
				t.Fatalf("%d bytes, less than a head, are replayed: %+v", size, result)
			}
			continue
		}
		if err != nil || result.Difference != nil || result.Steps > stepCount(trace[:size]) || result.Steps < stepCount(trace[:size])-1 {
			t.Fatalf("%d bytes: %v, %+v", size, err, result)
		}
		if result.Truncated == (result.Steps == stepCount(trace[:size]) && trace[size-1] == '\n') {
			t.Fatalf("%d bytes: %d steps replayed, truncated: %v", size, result.Steps, result.Truncated)
		}
	}
}

// cutSizes are sizes at, before and behind each line's end, and within each line.
func cutSizes(trace []byte) []int {
	sizes := []int{0}
	for i, b := range trace {
		if b == '\n' {
			sizes = append(sizes, i-10, i, i+1, min(i+2, len(trace)))
		}
	}
	return sizes
}

// What is no trace of this version is rejected with its cause.
func TestReplayRejects(t *testing.T) {
	trace := string(record(t, nil))
	_, steps, _ := strings.Cut(trace, "\n")
	for _, c := range []struct{ name, text, want string }{
		{"empty", "", "not a trace of forkhead node: EOF"},
		{"no JSON", "what\n", "not a trace of forkhead node: line 1: "},
		{"no head", steps, "not a trace of forkhead node: it begins with platform.Step"},
		{"cut head", trace[:100], "not a trace of forkhead node: the trace ends within a step"},
		{"other version", strings.Replace(trace, `"Version":1`, `"Version":2`, 1), "the trace is of version 2; want 1"},
		{"no settings", strings.Replace(trace, `"settings":`, `"sittings":`, 1), "configuration: it has no settings"},
		{"bad line", strings.Replace(trace, "\n"+`{"at"`, "\n"+`{at`, 1), "line 2: invalid character"},
		{"unknown input", strings.Replace(trace, "platform.HostData", "platform.HostDatum", 1), "platform.HostDatum is no input of this build"},
		{"a step is missing", strings.Replace(trace, `"Step":2,`, `"Step":3,`, 1), "step 3, want 2"},
		{"a line is missing", withoutLine(trace, "platform.HostData"), `way "out", want "in"`},
		{"a line too many", strings.Replace(trace, `{"at":3600015000,"way":"step"`, `{"at":3600012000,"way":"out"}`+"\n"+`{"at":3600015000,"way":"step"`, 1), `out "", want a step`},
	} {
		t.Run(c.name, func(t *testing.T) {
			result, err := Replay(strings.NewReader(c.text), nil)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v, %+v; want %s", err, result, c.want)
			}
		})
	}
}

// withoutLine returns a trace without the first line that holds a word.
func withoutLine(trace, word string) string {
	at := strings.Index(trace, word)
	start, end := strings.LastIndexByte(trace[:at], '\n')+1, at+strings.IndexByte(trace[at:], '\n')+1
	return trace[:start] + trace[end:]
}

// A build whose module decides otherwise differs at the step of its first other decision.
func TestReplayNamesTheFirstStepOfAnotherModule(t *testing.T) {
	trace := record(t, offerToHost1)
	if result := replay(t, trace, offerToHost1); result.Difference != nil {
		t.Fatalf("the same module: %+v", result.Difference)
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
		t.Fatalf("%+v, want step %d", d, want)
	}
	if d.Output != 0 || !strings.HasPrefix(d.Want[0], "platform.DialHost ") || !strings.HasPrefix(d.Got[0], "platform.SendToOwner ") {
		t.Errorf("%+v, want a dial in the trace and an answer now", d)
	}
}

// A core that panics is named with its step.
func TestReplayNamesTheStepOfAPanic(t *testing.T) {
	trace := record(t, offerToHost1)
	_, err := Replay(bytes.NewReader(trace), func(time.Duration, []forkhead.Event) []forkhead.Action { panic("injected") })
	var p PanicError
	if !errors.As(err, &p) || p.Step != 0 || p.Value != "injected" {
		t.Errorf("%v, want the panic of step 0", err)
	}
}

// A trace that an earlier build wrote replays without a difference, module aside. It is written only where it is missing,
// never anew: a change of the core that is wanted gets a further trace.
func TestReplayGoldenTrace(t *testing.T) {
	path := filepath.Join("testdata", "trace.jsonl")
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
	if result.Difference != nil || result.Truncated || result.Steps != stepCount(trace) {
		t.Errorf("%+v, %+v", result, result.Difference)
	}
}

// The result has these keys.
func TestResultGoldenForm(t *testing.T) {
	text, err := json.Marshal(Result{Steps: 3, Truncated: true, Difference: &Difference{Step: 2, Now: 7, Output: 1, Inputs: []string{"a"}, Want: []string{"b"}, Got: []string{"c"}}})
	const want = `{"steps":3,"cut":true,"difference":{"step":2,"now":7,"output":1,"inputs":["a"],"want":["b"],"got":["c"]}}`
	if err != nil || string(text) != want {
		t.Errorf("%v, got %s, want %s", err, text, want)
	}
	text, err = json.Marshal(Message{Step: 1, Now: 2, Direction: "in", Peer: PeerHost, Connection: 3, Address: "a", Line: "l"})
	const wantMessage = `{"step":1,"now":2,"direction":"in","peer":"host","connection":3,"address":"a","line":"l"}`
	if err != nil || string(text) != wantMessage {
		t.Errorf("%v, got %s, want %s", err, text, wantMessage)
	}
}

// The way of a request: each message that names it, also one that came in pieces, with its connection and direction.
func TestFollowRequest(t *testing.T) {
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
			t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
		}
	}
	request, err := FollowRequest(bytes.NewReader(record(t, offerToHost1)), "0000000000000000")
	if err != nil || len(request.Messages) > 0 {
		t.Errorf("%v, %+v for a request that is not in the trace", err, request)
	}
}
