package simadapter

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"reflect"
	"strings"
	"testing"
)

func unhex(t testing.TB, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

const (
	requestHex = "06 34000000 03000000 c4913a5d 00 0000 640ad2557c3bf091 0000000000006e40 0000000000002840" +
		"107cf3d901648e2b 00000040 0000c03f 01"
	eventsHex = "63000000 00000000206ec040 03000000" + requestHex +
		"09 0c000000 03000000 4d00000000000000 03 08000000 05000000 192b6f0e"
	listHex = "0a 41000000 00 02000000" +
		"0000000000000000 074a1203 00006040 00004041 01 00 0000803f 0000 0000" +
		"0000000000d4b740 f211902c 00009040 00004041 01 00 0000c03f 0000 0000"
	updateHex  = "0d 0a000000 03000000 00 29000000 00"
	noteHex    = "0b 12000000 03000000 c4913a5d 00 074a1203 01 0000003f"
	outcomeHex = "04 25000000 03000000 c4913a5d 00 074a1203 0a 0000000000803240 01 00 03 cdcccc3e0000a03f00004040"
)

func frame(t testing.TB, records int, body string) []byte {
	t.Helper()
	b := unhex(t, body)
	out := unhex(t, "00000000 00000000206ec040 00000000")
	out[0], out[1], out[12] = byte(12+len(b)), byte((12+len(b))>>8), byte(records)
	return append(out, b...)
}

func TestReadBatchReadsEventsOfTwoPlacers(t *testing.T) {
	got, err := ReadBatch(bytes.NewReader(unhex(t, eventsHex)))
	if err != nil {
		t.Fatalf("ReadBatch(frame of two placers) = error %v, want none", err)
	}
	want := &Batch{Clock: 8412.25, Events: []Event{
		PlacementRequest{
			Placer: 3, Task: 0x5d3a91c4, Key: 0x91f03b7c55d20a64, Timeout: 240, RemainingLifetime: 12,
			Service: 0x2b8e6401d9f37c10, Cores: 2, Memory: 1.5, Flags: 1,
		},
		TimerFired{Placer: 3, Timer: 77},
		RequestCanceled{Placer: 5, Task: 0x0e6f2b19},
	}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("ReadBatch(frame of two placers)\ngot  %+v\nwant %+v", got, want)
	}
}

func TestReadBatchReadsListsNotesAndOutcomes(t *testing.T) {
	got, err := ReadBatch(bytes.NewReader(frame(t, 4, listHex+updateHex+noteHex+outcomeHex)))
	if err != nil {
		t.Fatalf("ReadBatch(list, update, note, outcome) = error %v, want none", err)
	}
	want := []Event{
		EndpointList{Machines: []Machine{
			{ID: 0x03124a07, AvailableCores: 3.5, AvailableMemory: 12, State: 1, Weight: 1},
			{StartedAt: 6100, ID: 0x2c9011f2, AvailableCores: 4.5, AvailableMemory: 12, State: 1, Weight: 1.5},
		}},
		ListUpdate{Placer: 3, Epoch: 41},
		Note{Placer: 3, Task: 0x5d3a91c4, Machine: 0x03124a07, Kind: 1, Amount: 0.5},
		Outcome{
			Placer: 3, Task: 0x5d3a91c4, Machine: 0x03124a07, Result: 10, Took: 18.5, Final: true,
			Report: []float32{0.4, 1.25, 3},
		},
	}
	if !reflect.DeepEqual(got.Events, want) {
		t.Errorf("events of ReadBatch(list, update, note, outcome)\ngot  %+v\nwant %+v", got.Events, want)
	}
}

func TestReadBatchReadsEmptyBatchAndThenEOF(t *testing.T) {
	r := bytes.NewReader(unhex(t, "0c000000 00000000206ec040 00000000"))
	if got, err := ReadBatch(r); err != nil || len(got.Events) > 0 {
		t.Fatalf("ReadBatch(frame without records) = %+v, error %v; want a batch without events and no error", got, err)
	}
	if _, err := ReadBatch(r); err != io.EOF { //nolint:errorlint // io.EOF itself is documented, not an error that wraps it
		t.Errorf("ReadBatch(end of input) = error %v, want io.EOF", err)
	}
}

func TestReadBatchRejectsMalformedFrames(t *testing.T) {
	whole := unhex(t, eventsHex)
	for n := 1; n < len(whole); n++ {
		if _, err := ReadBatch(bytes.NewReader(whole[:n])); err == nil || errors.Is(err, io.EOF) {
			t.Fatalf("ReadBatch(frame cut after %d of %d bytes) = error %v, want an error other than io.EOF", n, len(whole), err)
		}
	}
	for name, body := range map[string]string{
		"unknown code":       "63 04000000 03000000",
		"overrunning record": "09 ffffffff 03000000",
		"short fields":       "09 04000000 03000000",
		"trailing fields":    "03 09000000 05000000 192b6f0e 00",
		"list overruns":      "0a 05000000 00 ffffffff",
		"report overruns":    "05 16000000 03000000 074a1203 0a 0000000000803240 ff 00000000",
		"text overruns":      "07 10000000 03000000 0000000000000000 ffffffff",
	} {
		if _, err := ReadBatch(bytes.NewReader(frame(t, 1, body))); err == nil || !strings.Contains(err.Error(), "record 0") {
			t.Errorf("ReadBatch(frame with bad record: %s) = error %v, want an error that contains %q", name, err, "record 0")
		}
	}
	for name, head := range map[string]string{
		"too short": "0b000000", "too long": "ffffffff", "clock": "0c000000 000000000000f87f 00000000",
	} {
		if _, err := ReadBatch(bytes.NewReader(unhex(t, head))); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("ReadBatch(frame with bad header: %s) = error %v, want an error other than io.EOF", name, err)
		}
	}
}

func FuzzDecodeBatch(f *testing.F) {
	f.Add(unhex(f, eventsHex)[4:])
	f.Add(frame(f, 4, listHex+updateHex+noteHex+outcomeHex)[4:])
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := DecodeBatch(data)
		if (b == nil) == (err == nil) {
			t.Fatalf("DecodeBatch(%x) = %+v, error %v, want either a batch or an error", data, b, err)
		}
		if b != nil && math.IsNaN(b.Clock) {
			t.Fatalf("DecodeBatch(%x): got a batch with the clock NaN, want an error", data)
		}
	})
}
