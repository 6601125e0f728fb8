package platformreplay

import (
	"bytes"
	"errors"
	"log/slog"
	"testing"
	"time"

	platformcore "forkhead/internal/scheduler/platform"
)

// Writer.Step writes one JSON line for the step and each of its inputs and outputs, with the data of connections as text.
func TestWriterWritesLines(t *testing.T) {
	var written bytes.Buffer
	w := NewWriter(&written, []byte(`{}`))
	w.Step(1500*time.Microsecond+7, []platformcore.Input{
		platformcore.OwnerData{Owner: 1, Data: []byte("in\n")},
		platformcore.HostConnected{Connection: 2},
		platformcore.HostData{Connection: 2, Data: []byte("up\n")},
		platformcore.HostData{Connection: 2, Data: []byte("\xff\n")},
	}, []platformcore.Output{
		platformcore.SendToOwner{Owner: 1, Line: []byte("out\n")},
		platformcore.SendToHost{Connection: 2, Line: []byte("offer\n")},
		platformcore.SendToHost{Connection: 2, Line: []byte("\xff\n"), Abandons: true},
		platformcore.Log{Level: slog.LevelInfo, Message: "m", Attributes: []slog.Attr{slog.Int("tasks", 3)}},
	})
	w.Step(time.Second, nil, nil)
	const want = `{"at":1500,"way":"step","what":"platform.Step","value":{"Step":0,"Nanoseconds":7,"Inputs":4,"Outputs":4}}
{"at":1500,"way":"in","what":"platform.OwnerData","value":{"Data":"in\n","Owner":1}}
{"at":1500,"way":"in","what":"platform.HostConnected","value":{"Connection":2}}
{"at":1500,"way":"in","what":"platform.HostData","value":{"Connection":2,"Data":"up\n"}}
{"at":1500,"way":"in","what":"platform.HostData","value":{"Connection":2,"Data":"\ufffd\n","Bytes":"/wo="}}
{"at":1500,"way":"out","what":"platform.SendToOwner","value":{"Line":"out\n","Owner":1}}
{"at":1500,"way":"out","what":"platform.SendToHost","value":{"Connection":2,"Line":"offer\n"}}
{"at":1500,"way":"out","what":"platform.SendToHost","value":{"Connection":2,"Line":"\ufffd\n","Abandons":true,"Bytes":"/wo="}}
{"at":1500,"way":"out","what":"platform.Log","value":{"Attributes":{"tasks":3},"InvariantViolation":false,"Level":"INFO","Message":"m"}}
{"at":1000000,"way":"step","what":"platform.Step","value":{"Step":1,"Nanoseconds":0,"Inputs":0,"Outputs":0}}
`
	if got := written.String(); got != want || w.Err() != nil {
		t.Errorf("two calls of Step: error %v, got\n%s\nwant no error and\n%s", w.Err(), got, want)
	}
}

// fullDisk is a writer that fails when it has no space left.
type fullDisk struct {
	bytes.Buffer
	left int // bytes
}

var errFull = errors.New("full")

func (d *fullDisk) Write(p []byte) (int, error) {
	if len(p) > d.left {
		n, _ := d.Buffer.Write(p[:d.left])
		d.left = 0
		return n, errFull
	}
	d.left -= len(p)
	return d.Buffer.Write(p)
}

// The writer writes nothing after an error. Otherwise a reader would take a step after the gap for the one that follows
// the step before the gap.
func TestWriterStopsAtItsFirstError(t *testing.T) {
	disk := &fullDisk{left: 150}
	w := NewWriter(disk, []byte(`{}`))
	w.Step(time.Second, nil, nil)
	w.Step(time.Second, nil, nil) // the disk is full within this step
	disk.left = 1000
	w.Step(time.Second, nil, nil)
	if !errors.Is(w.Err(), errFull) || disk.Len() != 150 {
		t.Errorf("after a write error: error %v, %d bytes %q, want %v and 150 bytes", w.Err(), disk.Len(), disk, errFull)
	}
}

func TestAttributeValuesWritesErrorsAsText(t *testing.T) {
	values := attributeValues([]slog.Attr{slog.Uint64("task", 7), slog.Any("error", errors.New("fit: no"))})
	if len(values) != 2 || values["task"] != uint64(7) || values["error"] != "fit: no" {
		t.Errorf("attributeValues = %v, want task 7 and the error's text \"fit: no\"", values)
	}
}
