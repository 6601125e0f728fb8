package platformreplay

import (
	"bytes"
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"log/slog"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"forkhead/internal/goldentest"
	"forkhead/internal/protocol/platform"
	platformcore "forkhead/internal/scheduler/platform"
)

// exampleInputs returns inputs of each type, with every field set, and with data that is valid UTF-8, invalid, and empty.
func exampleInputs() []platformcore.Input {
	return []platformcore.Input{
		platformcore.OwnerConnected{Owner: 1<<64 - 1},
		platformcore.OwnerData{Owner: 2, Data: []byte("a\x00\"\\<&>\u2028ü\ufffd\r\n")},
		platformcore.OwnerData{Owner: 2, Data: []byte("\xc3")},
		platformcore.OwnerDisconnected{Owner: 3},
		platformcore.HostConnected{Connection: 4},
		platformcore.DialFailed{Connection: 5, Refused: true, Local: true},
		platformcore.HostData{Connection: 6, Data: []byte("\xbc\xff\xed\xa0\x80")},
		platformcore.HostData{Connection: 6, Data: []byte{}},
		platformcore.HostDisconnected{Connection: 7},
		platformcore.HostDisconnected{Connection: 8, Reset: true},
		platformcore.WatchEventReceived{Event: testEvent(8, true, platform.Terminated), SequenceRestarted: true},
		platformcore.WatchEventReceived{Event: platform.WatchEvent{Seq: 1<<64 - 1}},
		platformcore.GossipReceived{From: 9, Data: []byte{0, 0xff}},
		platformcore.ShutdownRequested{},
	}
}

// exampleOutputs returns outputs of each type, with every field set.
func exampleOutputs() []platformcore.Output {
	return []platformcore.Output{
		platformcore.SendToOwner{Owner: 1, Line: []byte("ü\n")},
		platformcore.SendToOwner{Owner: 1, Line: []byte("\xff\n")},
		platformcore.CloseOwnerConnection{Owner: 2},
		platformcore.DialHost{Connection: 3, Address: "10.0.0.1:1"},
		platformcore.SendToHost{Connection: 4, Line: []byte("x\n"), Abandons: true},
		platformcore.SendToHost{Connection: 4, Line: []byte("\xff\n")},
		platformcore.CloseHostConnection{Connection: 5},
		platformcore.HalfCloseHostConnection{Connection: 6},
		platformcore.SendGossip{To: -1, Data: []byte{0, 0xff}},
		platformcore.CloseListener{},
		platformcore.ShutdownComplete{},
		platformcore.Log{Level: slog.LevelError, Message: "m", InvariantViolation: true, Attributes: []slog.Attr{
			slog.Uint64("task", 7), slog.String("host", "h"), slog.Any("error", errors.New("e")),
		}},
	}
}

// writeExample returns a trace with one step of all example inputs and outputs and one step without inputs and outputs.
func writeExample(t *testing.T) []byte {
	t.Helper()
	head := testHead(t)
	config, err := coreConfig(&head)
	if err != nil {
		t.Fatal(err)
	}
	var trace bytes.Buffer
	w := NewWriter(&trace, []byte(`{"settings":{"name":"<ü>"}}`))
	w.Start(testStart, &config)
	w.Step(testStart+1, exampleInputs(), exampleOutputs())
	w.Step(testStart+time.Microsecond, nil, nil)
	if w.Err() != nil {
		t.Fatal(w.Err())
	}
	return trace.Bytes()
}

// The form of each line must not change within a version of the format, because earlier traces have to be read.
func TestFormatMatchesGoldenFile(t *testing.T) { goldentest.Check(t, "format.jsonl", writeExample(t)) }

// A type of input or output that is added to the core must be added to the format. The test finds the types in the core's
// source by their marker methods.
func TestFormatCoversEveryInputAndOutput(t *testing.T) {
	lines := string(writeExample(t))
	for _, direction := range []string{"input", "output"} {
		types := typesWithMethod(t, "../../scheduler/platform", direction)
		if len(types) < 10 {
			t.Errorf("types with the method %s in the core: %v, want at least 10", direction, types)
		}
		for _, name := range types {
			if !strings.Contains(lines, `"what":"platform.`+name+`"`) {
				t.Errorf("the example trace has no line of %s type platform.%s, want one", direction, name)
			}
		}
	}
}

// typesWithMethod returns the types of a package that have a method of this name on a value receiver.
func typesWithMethod(t *testing.T, folder, method string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	var types []string
	for _, name := range files {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, declaration := range file.Decls {
			function, ok := declaration.(*ast.FuncDecl)
			if !ok || function.Recv == nil || function.Name.Name != method {
				continue
			}
			if receiver, ok := function.Recv.List[0].Type.(*ast.Ident); ok {
				types = append(types, receiver.Name)
			}
		}
	}
	return types
}

// The reader returns the head, the times in nanoseconds, the step boundaries and each input byte for byte as written.
func TestReaderReturnsWhatWasWritten(t *testing.T) {
	r, err := NewReader(bytes.NewReader(writeExample(t)))
	if err != nil {
		t.Fatal(err)
	}
	want := testHead(t)
	want.Config = r.Head.Config
	if !reflect.DeepEqual(r.Head, want) {
		t.Errorf("NewReader: head %+v, want %+v", r.Head, want)
	}
	s, err := r.Next()
	if err != nil || s.Now != testStart+1 || len(s.outputs) != len(exampleOutputs()) {
		t.Fatalf("first Next = %+v, %v, want a step at %v with %d outputs", s, err, testStart+1, len(exampleOutputs()))
	}
	if len(s.Inputs) != len(exampleInputs()) {
		t.Fatalf("first Next: %d inputs, want %d", len(s.Inputs), len(exampleInputs()))
	}
	for i, want := range exampleInputs() {
		if !reflect.DeepEqual(s.Inputs[i], want) {
			t.Errorf("first Next: input %d = %#v, want %#v", i, s.Inputs[i], want)
		}
	}
	s, err = r.Next()
	if err != nil || s.Number != 1 || s.Now != testStart+time.Microsecond || len(s.Inputs)+len(s.outputs) > 0 {
		t.Errorf("second Next = %+v, %v, want an empty step 1 at %v", s, err, testStart+time.Microsecond)
	}
	if _, err = r.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("Next at the end: error %v, want io.EOF", err)
	}
}
