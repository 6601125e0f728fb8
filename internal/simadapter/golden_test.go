package simadapter

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"forkhead/internal/goldentest"
)

// The decoded events must stay the same. The file testdata/events.hex is a batch that has each event once, one record
// per line, and testdata/events.decoded has the decoded values.
func TestReadBatchEventsGolden(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "events.hex"))
	if err != nil {
		t.Fatal(err)
	}
	batch, err := ReadBatch(bytes.NewReader(unhex(t, string(text))))
	if err != nil {
		t.Fatalf("ReadBatch(testdata/events.hex) = error %v, want none", err)
	}
	var b bytes.Buffer
	fmt.Fprintln(&b, batch.Clock)
	for _, ev := range batch.Events {
		fmt.Fprintln(&b, goldentest.FormatValue(reflect.ValueOf(ev)))
	}
	goldentest.Check(t, "events.decoded", b.Bytes())
}

// The encoding of each action must stay the same. The file testdata/actions.hex has one reply per line, each with one
// action.
func TestReplyActionsGolden(t *testing.T) {
	var b bytes.Buffer
	for _, act := range []func(r *Reply){
		func(r *Reply) { r.Offer(0x01020304, 0x11121314, 0x21222324, 2500.5) },
		func(r *Reply) { r.Reject(0x01020304, 0x11121314, 2500.5) },
		func(r *Reply) { r.Fail(0x01020304, 0x11121314) },
		func(r *Reply) { r.Withdraw(0x01020304, 0x11121314, 0x15) },
		func(r *Reply) { r.Stop(0x01020304, 0x11121314) },
		func(r *Reply) { r.SetTimer(0x01020304, 0x3132333435363738, 2500.5) },
		func(r *Reply) { r.Probe(0x01020304, 0x21222324) },
		func(r *Reply) { r.Gossip(0x01020304, 0x21222324, []byte("data")) },
		func(r *Reply) { r.Gossip(0x01020304, AllPlacers, []byte("data")) },
		func(r *Reply) { r.Subscribe(0x01020304) },
		func(r *Reply) { r.Unsubscribe(0x01020304) },
		func(r *Reply) { r.Log(0x01020304, "line") },
		func(r *Reply) { r.Crash(0x01020304, "line") },
	} {
		var r Reply
		r.Reset()
		act(&r)
		var out bytes.Buffer
		if _, err := r.WriteTo(&out); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintln(&b, hex.EncodeToString(out.Bytes()))
	}
	goldentest.Check(t, "actions.hex", b.Bytes())
}
