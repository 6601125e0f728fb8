package platform

import (
	"bytes"
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	"forkhead/internal/goldentest"
)

// The constants of the package have these values on the wire.
func TestWireWordsGolden(t *testing.T) {
	got := fmt.Sprint(
		[]MessageType{TypeRequest, TypeProgress, TypeBound, TypeRelease, TypeAck, TypeProbe, TypeProbeResult, TypeNote, TypeMigrate},
		[]Cause{CauseOK, CauseMigrated, CauseRejected, CauseReset, CauseBusy, CauseFailed, CauseNotSent},
		[]EndpointState{InService, Terminating, Terminated}, MaxLineSize, MaxDatagramSize, MaxEventSize,
	)
	if want := "[new wait up down ack hb hb_ok tell shift] [16 31 34 41 42 47 102] [in_service terminating terminated] 16384 256 1048576"; got != want {
		t.Errorf("types, causes, states and sizes: got %s, want %s", got, want)
	}
	got = fmt.Sprint(
		[]Cause{CauseUnhealthy, CauseHealthy, NoCause},
		[]FieldName{
			FieldClass, FieldTimeout, FieldTenant, FieldTaskKey, FieldIdempotencyKey, FieldExtras, FieldLifetime, FieldRetryAfter,
			FieldNote, FieldValue, FieldLoad,
		},
		[]Extra{ExtraCores, ExtraMemory, ExtraService, ExtraResubmitted, ExtraHost},
		[]Note{NoteRunning, NoteCoresUsed, NoteMemoryUsed, NoteServiceLevel, NoteMemoryPressure},
		[]RejectReason{
			ReasonInsufficientCores, ReasonInsufficientMemory, ReasonQueueFull, ReasonUnsuitable, ReasonEvicted, ReasonPreempted,
			ReasonDismissed,
		},
		[]LoadField{LoadAvailableCores, LoadAvailableMemory, LoadQueue, LoadUtilization},
	)
	want := "[0 1 -1] [class left tenant key idem extras hint wait note value load] [cores memory service again at] " +
		"[running use_cpu use_ram health ram_high] [lack_cpu lack_ram backlog unfit killed displaced dismissed] [x0 x1 queue util]"
	if got != want {
		t.Errorf("other causes, fields, extras, notes, reasons and load fields: got %s, want %s", got, want)
	}
}

// testdata/messages.jsonl contains messages as they are on the wire, one of each type. Each is decoded with all its
// parts, and encoding these parts yields the same bytes.
func TestMessagesGolden(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "messages.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	var decoded, written bytes.Buffer
	var s LineSplitter
	if err := s.Feed(text, func(line []byte) error {
		m, err := Decode(line)
		if err != nil {
			return err
		}
		fmt.Fprintln(&decoded, goldentest.FormatValue(reflect.ValueOf(m)))
		var fields []Field
		for name, raw := range m.Fields {
			fields = append(fields, Field{name, raw})
		}
		slices.SortFunc(fields, func(a, b Field) int { return cmp.Compare(a.Name, b.Name) })
		written.Write(Append(nil, m.Type, m.Ref, m.Cause, m.Description, fields...))
		return nil
	}); err != nil {
		t.Fatalf("decode messages.jsonl: got error %v, want nil", err)
	}
	goldentest.Check(t, "messages.decoded", decoded.Bytes())
	if !bytes.Equal(written.Bytes(), text) {
		t.Errorf("messages.jsonl decoded and encoded again: got\n%s\nwant\n%s", written.Bytes(), text)
	}
	if got, want := string(Append(nil, TypeNote, "0000000000000001", NoCause, nil, TextField("k", "a\"b"))), `{"t":"tell","ref":"0000000000000001","f":{"k":"a\"b"}}`+"\n"; got != want {
		t.Errorf("Append of a field with a quote: got %s, want %s", got, want)
	}
}

// testdata/changelog.sse is a stream of the watch, with events, comments and events that cannot be decoded.
func TestWatchEventsGolden(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "changelog.sse"))
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	e := EventReader{OnComment: func() { fmt.Fprintln(&b, "nothing more for now") }}
	if err := e.Feed(text, func(ev ServerSentEvent) {
		c, err := DecodeWatchEvent(ev)
		if err != nil {
			fmt.Fprintln(&b, "error:", err)
			return
		}
		fmt.Fprintln(&b, goldentest.FormatValue(reflect.ValueOf(c)))
	}); err != nil {
		t.Fatalf("read changelog.sse: got error %v, want nil", err)
	}
	goldentest.Check(t, "changelog.decoded", b.Bytes())
}

// testdata/config.json is a configuration with every key and one that is unknown.
func TestConfigGolden(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "config.json"))
	if err != nil {
		t.Fatal(err)
	}
	c, err := ParseConfig(text)
	if err != nil {
		t.Fatalf("ParseConfig of config.json: got error %v, want nil", err)
	}
	goldentest.Check(t, "config.decoded", []byte(fmt.Sprintln(goldentest.FormatValue(reflect.ValueOf(c)))+fmt.Sprintln(c.SeedNumber())))
}
