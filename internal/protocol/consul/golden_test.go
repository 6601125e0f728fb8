package consul

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"forkhead/internal/goldentest"
	"forkhead/internal/parse/servicespec"
)

// testdata/service.json is a response to /v1/health/service/:service with usable and unusable entries.
func TestServiceResponseGolden(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "service.json"))
	if err != nil {
		t.Fatal(err)
	}
	hosts, skipped, err := Decode(text)
	if err != nil {
		t.Fatalf("Decode of service.json: got error %v, want nil", err)
	}
	var b bytes.Buffer
	for i := range hosts {
		fmt.Fprintln(&b, goldentest.FormatValue(reflect.ValueOf(hosts[i])))
	}
	for _, message := range skipped {
		fmt.Fprintln(&b, "skipped:", message)
	}
	goldentest.Check(t, "service.decoded", b.Bytes())

	// The emulator of Consul encodes the types that Decode reads, so their encoding is checked too.
	var entries []Entry
	if err := json.Unmarshal(text, &entries); err != nil {
		t.Fatalf("json.Unmarshal of service.json: got error %v, want nil", err)
	}
	again, err := json.MarshalIndent(entries, "", " ")
	if err != nil {
		t.Fatalf("json.MarshalIndent of the entries: got error %v, want nil", err)
	}
	goldentest.Check(t, "service.written.json", append(again, '\n'))
}

// The requests that register and deregister a host have the bodies of testdata/requests.jsonl.
func TestRegistrationGolden(t *testing.T) {
	r, err := NewRegistration(&Host{
		Name: "north-1", Address: "10.1.0.1:7000", Kind: "std-28", Zone: "north", Rack: "r1", Started: 1500 * time.Microsecond,
		FreeCores: 1.25, FreeMemory: -2.5, Attributes: map[servicespec.Attribute]string{"label.disk": "ssd", "os": "linux"},
	}, "forkhead-host")
	if err != nil {
		t.Fatalf("NewRegistration of north-1: got error %v, want nil", err)
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
