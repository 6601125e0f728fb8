package consul

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"forkhead/internal/goldentest"
	"forkhead/internal/parse/servicespec"
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

// testdata/service.json is an answer to /v1/health/service/:service.
func TestAnswerGolden(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "service.json"))
	if err != nil {
		t.Fatal(err)
	}
	hosts, skipped, err := Decode(text)
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	for i := range hosts {
		fmt.Fprintln(&b, values(reflect.ValueOf(hosts[i])))
	}
	for _, why := range skipped {
		fmt.Fprintln(&b, "skipped:", why)
	}
	goldentest.Check(t, "service.decoded", b.Bytes())

	// The emulated catalogue writes what it reads.
	var entries []Entry
	if err := json.Unmarshal(text, &entries); err != nil {
		t.Fatal(err)
	}
	again, err := json.MarshalIndent(entries, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Check(t, "service.written.json", append(again, '\n'))
}

// Requests to the catalogue have these bodies.
func TestRegistrationGolden(t *testing.T) {
	r, err := Registered(&Host{
		Name: "north-1", Address: "10.1.0.1:7000", Kind: "std-28", Zone: "north", Rack: "r1", Started: 1500 * time.Microsecond,
		FreeCores: 1.25, FreeMemory: -2.5, Attributes: map[servicespec.Attribute]string{"label.disk": "ssd", "os": "linux"},
	}, "forkhead-host")
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	if err := enc.Encode(r); err != nil {
		t.Fatal(err)
	}
	if err := enc.Encode(Deregistration{Node: "north-1", ServiceID: "forkhead-host"}); err != nil {
		t.Fatal(err)
	}
	goldentest.Check(t, "requests.jsonl", b.Bytes())
}
