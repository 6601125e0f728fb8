package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"strings"
	"testing"
)

const config = `{"az": 0, "balancers": 2, "me": 0, "discovery": "subscribe",
 "caps": {"cancel": true, "maxAttempts": 4, "peers": true, "probing": true},
 "classes": [{"aim": 800.0, "effect": "dedup", "group": "cell", "memorySpan": 8000.0, "points": 2.0}],
 "familyInfo": {"acceptsCores": 1.0, "memBooking": 1.0, "classFade": [0.2], "classMost": [2], "classPriority": [0],
  "classSpread": ["zone"], "coldSends": 40.0, "easyUntil": [0.8], "kindByClass": [-1], "kindCores": [8], "listsFree": true,
  "meanMemory": 2.0, "memoryByKind": [16.0], "promptStartS": [10.0], "saysYes": "running", "unitCores": 1.0},
 "kinds": ["any"], "loadInfo": {"fields": ["x0"], "how": "none"},
 "rules": {"cold": 9000.0, "fall": 1000.0, "mustAskIn": 10000.0, "stopSendingWithin": 1000.0}}`

// record encodes an event whose fields have the given values. A string is encoded as a uint32, which is the length of the
// string, followed by the bytes of the string.
func record(code uint8, values ...any) []byte {
	var body []byte
	for _, v := range values {
		switch v := v.(type) {
		case uint8:
			body = append(body, v)
		case uint16:
			body = binary.LittleEndian.AppendUint16(body, v)
		case uint32:
			body = binary.LittleEndian.AppendUint32(body, v)
		case uint64:
			body = binary.LittleEndian.AppendUint64(body, v)
		case float32:
			body = binary.LittleEndian.AppendUint32(body, math.Float32bits(v))
		case float64:
			body = binary.LittleEndian.AppendUint64(body, math.Float64bits(v))
		case string:
			body = append(binary.LittleEndian.AppendUint32(body, uint32(len(v))), v...)
		default:
			panic(fmt.Sprintf("record: no encoding for a value of type %T", v))
		}
	}
	return append(binary.LittleEndian.AppendUint32([]byte{code}, uint32(len(body))), body...)
}

// batch encodes a batch of events, which are the given records, as one frame.
func batch(clock float64, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	out := binary.LittleEndian.AppendUint32(nil, uint32(12+len(body)))
	out = binary.LittleEndian.AppendUint64(out, math.Float64bits(clock))
	out = binary.LittleEndian.AppendUint32(out, uint32(len(records)))
	return append(out, body...)
}

// startRecord encodes the event that starts a placer with a configuration.
func startRecord(placer uint32, config string) []byte { return record(7, placer, uint64(5), config) }

// startRecords encodes the events that start a placer and give it an endpoint list with machine 77.
func startRecords(placer uint32) [][]byte {
	list := record(10, uint8(0), uint32(1), 0.0, uint32(77), float32(8), float32(16), uint8(1), uint8(0), float32(1),
		uint16(0), uint16(0))
	return [][]byte{startRecord(placer, config), list, record(13, placer, uint8(0), uint32(1), uint8(0))}
}

// requestRecord encodes a placement request for a task with one core and one GiB.
func requestRecord(placer, id uint32) []byte {
	return record(6, placer, id, uint8(0), uint16(0), uint64(9), 5000.0, 0.0, uint64(4), float32(1), float32(1), uint8(0))
}

func TestRunOffersRequestToListedMachine(t *testing.T) {
	var out bytes.Buffer
	input := append(batch(1000, startRecords(3)...), batch(1002, requestRecord(3, 12))...)
	if err := run(bytes.NewReader(input), &out); err != nil {
		t.Fatalf("run(start, list with machine 77, request for task 12) = error %v, want none", err)
	}
	offer := append([]byte{1, 20, 0, 0, 0, 3, 0, 0, 0}, 12, 0, 0, 0, 77, 0, 0, 0)
	if !bytes.Contains(out.Bytes(), offer) {
		t.Errorf("run(start, list with machine 77, request for task 12) = %x, want it to contain the offer %x", out.Bytes(), offer)
	}
}

// The actions of a placer must not depend on the other placers in the same process.
func TestRunActionsDoNotDependOnOtherPlacers(t *testing.T) {
	reply := func(placers ...uint32) []byte {
		var out bytes.Buffer
		var first, second [][]byte
		for _, p := range placers {
			first = append(first, startRecords(p)...)
			second = append(second, requestRecord(p, 12))
		}
		if err := run(bytes.NewReader(append(batch(1000, first...), batch(1002, second...)...)), &out); err != nil {
			t.Fatalf("run(start and request of placers %v) = error %v, want none", placers, err)
		}
		return out.Bytes()
	}
	alone, together := reply(3), reply(3, 4)
	// Each of the two replies is a frame that begins with the actions of placer 3.
	for range 2 {
		n, m := binary.LittleEndian.Uint32(alone), binary.LittleEndian.Uint32(together)
		if !bytes.HasPrefix(together[4:4+m], alone[4:4+n]) {
			t.Fatalf("reply to placers 3 and 4 = %x, want the prefix %x, the reply to placer 3 alone", together[4:4+m], alone[4:4+n])
		}
		alone, together = alone[4+n:], together[4+m:]
	}
}

func TestRunMalformedInputReturnsOneLineError(t *testing.T) {
	for name, c := range map[string]struct {
		input []byte
		want  string
	}{
		"cut frame":      {batch(1, startRecord(3, config))[:40], "input ends"},
		"unknown code":   {batch(1, record(99, uint32(3))), "unknown event code"},
		"not started":    {batch(1, requestRecord(3, 1)), "has not been started"},
		"bad settings":   {batch(1, startRecord(3, "{")), "settings"},
		"unusable":       {batch(1, startRecord(3, strings.Replace(config, `"kindCores": [8]`, `"kindCores": []`, 1))), "kinds"},
		"unknown effect": {batch(1, startRecord(3, strings.Replace(config, `"dedup"`, `"maybe"`, 1))), "effect"},
		"list not sent":  {batch(1, startRecord(3, config), record(13, uint32(3), uint8(0), uint32(1), uint8(9))), "list number 9"},
		"list number":    {batch(1, record(10, uint8(16), uint32(0))), "list number 16"},
		"unknown result": {batch(1, startRecord(3, config), record(5, uint32(3), uint32(1), uint8(11), 0.0, uint8(0))), "result code 11"},
	} {
		err := run(bytes.NewReader(c.input), &bytes.Buffer{})
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("run(%s) = error %q, want an error of one line that contains %q", name, fmt.Sprint(err), c.want)
		}
	}
	if err := run(bytes.NewReader(nil), &bytes.Buffer{}); err != nil {
		t.Errorf("run(empty input) = error %v, want nil", err)
	}
}

func TestRunRejectsRequestAfterTeardown(t *testing.T) {
	input := append(batch(1000, startRecords(3)...), batch(1001, record(8, uint32(3)))...)
	input = append(input, batch(1002, requestRecord(3, 1))...)
	if err := run(bytes.NewReader(input), &bytes.Buffer{}); err == nil || !strings.Contains(err.Error(), "not been started") {
		t.Errorf("run(request after teardown) = error %v, want an error that contains %q", err, "not been started")
	}
}

// One malformed record among the records of several hundred placers must end the run with an error of one line.
func TestRunMalformedInputAmongManyPlacersReturnsOneLineError(t *testing.T) {
	const placers = 470
	many := strings.Replace(config, `"balancers": 2`, `"balancers": 470`, 1)
	var first, second [][]byte
	for p := range uint32(placers) {
		first = append(first, startRecord(p, strings.Replace(many, `"me": 0`, fmt.Sprintf(`"me": %d`, p), 1)))
		second = append(second, requestRecord(p, p))
	}
	good := append(batch(1000, first...), batch(1002, second...)...)
	if err := run(bytes.NewReader(good), &bytes.Buffer{}); err != nil {
		t.Fatalf("run(well-formed input of %d placers) = error %v, want none", placers, err)
	}
	for want, bad := range map[string][]byte{
		"has not been started": batch(1004, append(second, requestRecord(placers, 1))...),
		"Self":                 batch(1004, startRecord(1, strings.Replace(many, `"me": 0`, `"me": 470`, 1))),
		"input ends":           batch(1004, second...)[:999],
	} {
		err := run(bytes.NewReader(append(bytes.Clone(good), bad...)), &bytes.Buffer{})
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("run(input with a malformed last batch) = error %q, want an error of one line that contains %q", fmt.Sprint(err), want)
		}
	}
}
