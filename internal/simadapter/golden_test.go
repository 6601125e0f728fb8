package simadapter

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"forkhead/internal/goldentest"
)

// values writes a value with all that it holds, in the order of its fields and without any name of Go's, so that it is the
// same after a renaming. A number is written as such even where its type has words for it.
func values(v reflect.Value) string {
	var parts []string
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			return "nil"
		}
		return values(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			parts = append(parts, values(v.Field(i)))
		}
		return "(" + strings.Join(parts, " ") + ")"
	case reflect.Slice, reflect.Array:
		if v.Type().Elem().Kind() == reflect.Uint8 && v.Kind() == reflect.Slice {
			return fmt.Sprintf("%q", v.Bytes())
		}
		for i := range v.Len() {
			parts = append(parts, values(v.Index(i)))
		}
		return "[" + strings.Join(parts, " ") + "]"
	case reflect.Map:
		for _, key := range v.MapKeys() {
			parts = append(parts, values(key)+":"+values(v.MapIndex(key)))
		}
		slices.Sort(parts)
		return "{" + strings.Join(parts, " ") + "}"
	case reflect.String:
		return fmt.Sprintf("%q", v.String())
	case reflect.Bool:
		return fmt.Sprint(v.Bool())
	case reflect.Float32, reflect.Float64:
		return fmt.Sprint(v.Float())
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uint:
		return fmt.Sprint(v.Uint())
	}
	return fmt.Sprint(v.Int())
}

// testdata/events.hex is a batch with one of each event, a record a line.
func TestEventsGolden(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "events.hex"))
	if err != nil {
		t.Fatal(err)
	}
	batch, err := ReadBatch(bytes.NewReader(unhex(t, string(text))))
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	fmt.Fprintln(&b, batch.Clock)
	for _, ev := range batch.Events {
		fmt.Fprintln(&b, values(reflect.ValueOf(ev)))
	}
	goldentest.Check(t, "events.decoded", b.Bytes())
}

// Each action has these bytes, a record a line.
func TestActionsGolden(t *testing.T) {
	var b bytes.Buffer
	for _, act := range []func(r *Reply){
		func(r *Reply) { r.Put(0x01020304, 0x11121314, 0x21222324, 2500.5) },
		func(r *Reply) { r.NotNow(0x01020304, 0x11121314, 2500.5) },
		func(r *Reply) { r.GiveUp(0x01020304, 0x11121314) },
		func(r *Reply) { r.DropAttempt(0x01020304, 0x11121314, 0x15) },
		func(r *Reply) { r.Unseat(0x01020304, 0x11121314) },
		func(r *Reply) { r.Sleep(0x01020304, 0x3132333435363738, 2500.5) },
		func(r *Reply) { r.Poll(0x01020304, 0x21222324) },
		func(r *Reply) { r.Tell(0x01020304, 0x21222324, []byte("data")) },
		func(r *Reply) { r.Tell(0x01020304, EveryPeer, []byte("data")) },
		func(r *Reply) { r.Watch(0x01020304, true) },
		func(r *Reply) { r.Watch(0x01020304, false) },
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
