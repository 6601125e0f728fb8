package platformreplay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
	"forkhead/internal/scheduler/moduledriver"
	platformcore "forkhead/internal/scheduler/platform"
)

// testStart is the time at which recorded runs start. It is not a whole number of microseconds, the unit of a line's
// time.
const testStart = time.Hour + 7

// testRef is the ref of the request that record places.
const testRef = "9b1f03aa5c7e2d41"

// testHead returns the head of a trace of a placer with one host.
func testHead(t testing.TB) Head {
	t.Helper()
	settings, err := os.ReadFile("../../server/platform/testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	received, err := json.Marshal(map[string]any{"listen": "127.0.0.1:0", "changelog": "127.0.0.1:1", "settings": json.RawMessage(settings)})
	if err != nil {
		t.Fatal(err)
	}
	return Head{
		Version: Version, Start: testStart, Config: received, Seed: 0xfedcba9876543210,
		MaxOwnerConnections: 8, MaxHostConnections: 16, MaxConnections: 20, ProtectedOwnerConnections: 4,
		InitialEvents: []platform.WatchEvent{testEvent(1, true, platform.InService)},
	}
}

// testEvent returns a watch event about host 1.
func testEvent(seq uint64, snapshot bool, state platform.EndpointState) platform.WatchEvent {
	return platform.WatchEvent{Seq: seq, Endpoints: &platform.EndpointList{Snapshot: snapshot, Hosts: []platform.Endpoint{testEndpoint(1, state)}}}
}

// testEndpoint returns the endpoint list's entry for a host.
func testEndpoint(number int, state platform.EndpointState) platform.Endpoint {
	return platform.Endpoint{
		Name: fmt.Sprintf("s-%08x", number), Address: fmt.Sprintf("10.0.0.%d:1", number), Zone: "z", MachineType: "std", Cell: number,
		State: state, Available: []float64{399.1, 399.7},
	}
}

// testRecorder steps a core and records its inputs and outputs.
type testRecorder struct {
	core   *platformcore.Core
	writer *Writer
	now    time.Duration
}

// step advances the time by 3 ms and steps the core.
func (r *testRecorder) step(in ...platformcore.Input) []platformcore.Output {
	r.now += 3 * time.Millisecond
	out := r.core.Step(r.now, in...)
	r.writer.Step(r.now, in, out)
	return out
}

// advance steps the core at each time for which the core requests a step, until d has passed.
func (r *testRecorder) advance(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now = max(r.core.Next()-3*time.Millisecond, r.now)
		r.step()
	}
}

// firstOf returns the first output of type T.
func firstOf[T any](t *testing.T, outputs []platformcore.Output) T {
	t.Helper()
	for _, output := range outputs {
		if found, ok := output.(T); ok {
			return found
		}
	}
	var none T
	t.Fatalf("outputs %+v, want a %T among them", outputs, none)
	return none
}

// testRequest returns the line of a placement request with a description.
func testRequest(ref, description string) []byte {
	return fmt.Appendf(nil, `{"t":"new","ref":"%s","f":{"class":"keyed","left":"1500","tenant":"acme","key":"%s","idem":"aa",`+
		`"extras":"cores:1;memory:2;service:00000000b4d65521"},"d":"%s"}`+"\n", ref, ref, description)
}

// record returns the trace of a run that places a task and has at least one input of each type. The function decide
// replaces the module, unless decide is nil.
func record(t *testing.T, decide moduledriver.Decide) []byte {
	t.Helper()
	head := testHead(t)
	config, err := coreConfig(&head)
	if err != nil {
		t.Fatal(err)
	}
	config.Decide = decide
	core, err := platformcore.New(config)
	if err != nil {
		t.Fatal(err)
	}
	var trace bytes.Buffer
	r := &testRecorder{core: core, writer: NewWriter(&trace, head.Config), now: testStart}
	r.writer.Start(testStart, &config)
	r.step()
	r.step(platformcore.OwnerConnected{Owner: 1}, platformcore.OwnerConnected{Owner: 2})
	request := testRequest(testRef, "<ü>")
	inCharacter := bytes.IndexByte(request, "ü"[0]) + 1
	r.step(platformcore.OwnerData{Owner: 1, Data: request[:inCharacter]})
	dial := firstOf[platformcore.DialHost](t, r.step(platformcore.OwnerData{Owner: 1, Data: request[inCharacter:]}))
	offer := firstOf[platformcore.SendToHost](t, r.step(platformcore.HostConnected{Connection: dial.Connection}))
	r.step(platformcore.HostData{Connection: offer.Connection, Data: []byte(`{"t":"up","ref":"` + testRef + `","f":{},"d":"from ` + "\xff" + ` host"}` + "\n")})
	r.step(
		platformcore.OwnerData{Owner: 2, Data: []byte("\xff\x00\xfe not a message\n")},
		platformcore.GossipReceived{From: 0, Data: []byte{0, 0xff}},
	)
	r.step(platformcore.WatchEventReceived{Event: testEvent(2, false, platform.Terminating)}, platformcore.OwnerDisconnected{Owner: 2})
	r.step(platformcore.HostDisconnected{Connection: offer.Connection})
	r.advance(1200 * time.Millisecond)
	r.step(platformcore.DialFailed{Connection: dial.Connection + 1, Refused: true})
	r.step(platformcore.ShutdownRequested{})
	r.advance(1500 * time.Millisecond)
	if err := r.writer.Err(); err != nil {
		t.Fatal(err)
	}
	return trace.Bytes()
}

// recordBusy returns the trace of a run through the real module with many hosts, requests and connections at once, some
// of which break. If the outputs of the core or the module depended on the iteration order of a map, a replay would
// differ.
func recordBusy(t *testing.T) []byte {
	t.Helper()
	const hosts, rounds, requestsPerRound = 60, 60, 8
	head := testHead(t)
	for number := 2; number <= hosts; number++ {
		list := head.InitialEvents[0].Endpoints
		list.Hosts = append(list.Hosts, testEndpoint(number, platform.InService))
	}
	head.MaxHostConnections, head.MaxConnections = 2*hosts, 2*hosts+8
	config, err := coreConfig(&head)
	if err != nil {
		t.Fatal(err)
	}
	core, err := platformcore.New(config)
	if err != nil {
		t.Fatal(err)
	}
	var trace bytes.Buffer
	r := &testRecorder{core: core, writer: NewWriter(&trace, head.Config), now: testStart}
	r.writer.Start(testStart, &config)
	in := []platformcore.Input{platformcore.OwnerConnected{Owner: 1}}
	for round := range rounds {
		for n := range requestsPerRound {
			ref := fmt.Sprintf("%016x", round*requestsPerRound+n)
			in = append(in, platformcore.OwnerData{Owner: 1, Data: testRequest(ref, "")})
		}
		if round%5 == 4 { // many connections are lost, dialed and released in one step
			for id := range platformcore.ConnectionID(2 * round) {
				in = append(in, platformcore.HostDisconnected{Connection: id})
			}
		}
		in = replies(r.step(in...))
	}
	r.advance(time.Second)
	if err := r.writer.Err(); err != nil {
		t.Fatal(err)
	}
	return trace.Bytes()
}

// offerToHost1 replaces the module and offers each task to host 1.
func offerToHost1(_ time.Duration, events []forkhead.Event) []forkhead.Action {
	var actions []forkhead.Action
	for _, event := range events {
		if request, ok := event.(forkhead.PlacementRequest); ok {
			actions = append(actions, forkhead.Offer{Task: request.Task.ID, Machine: 1})
		}
	}
	return actions
}
