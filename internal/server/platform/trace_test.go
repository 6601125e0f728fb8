package platform

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	platformcore "forkhead/internal/scheduler/platform"
)

// A trace has one JSON line for each input and output, with what crossed the connections as text.
func TestTraceWritesLines(t *testing.T) {
	var written bytes.Buffer
	tap := Trace(&written)
	tap(1500*time.Microsecond, []platformcore.Input{
		platformcore.OwnerData{Owner: 1, Data: []byte("in\n")},
		platformcore.HostConnected{Connection: 2},
		platformcore.HostData{Connection: 2, Data: []byte("up\n")},
	}, []platformcore.Output{
		platformcore.SendToOwner{Owner: 1, Line: []byte("out\n")},
		platformcore.SendToHost{Connection: 2, Line: []byte("offer\n")},
		platformcore.Log{Level: slog.LevelInfo, Message: "m", Attributes: []slog.Attr{slog.Int("tasks", 3)}},
	})
	tap(time.Second, nil, nil)
	const want = `{"at":1500,"way":"in","what":"platform.OwnerData","value":{"Data":"in\n","Owner":1}}
{"at":1500,"way":"in","what":"platform.HostConnected","value":{"Connection":2}}
{"at":1500,"way":"in","what":"platform.HostData","value":{"Connection":2,"Data":"up\n"}}
{"at":1500,"way":"out","what":"platform.SendToOwner","value":{"Line":"out\n","Owner":1}}
{"at":1500,"way":"out","what":"platform.SendToHost","value":{"Connection":2,"Line":"offer\n"}}
{"at":1500,"way":"out","what":"platform.Log","value":{"Attributes":{"tasks":3},"InvariantViolation":false,"Level":"INFO","Message":"m"}}
`
	if got := written.String(); got != want {
		t.Errorf("written\n%s\nwant\n%s", got, want)
	}
}
