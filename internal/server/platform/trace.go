package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	platformcore "forkhead/internal/scheduler/platform"
)

// Trace returns a tap that writes each step with inputs or outputs as JSON lines: the time in microseconds, the type and
// the value.
func Trace(to io.Writer) func(now time.Duration, in []platformcore.Input, out []platformcore.Output) {
	w := bufio.NewWriter(to)
	line := func(now time.Duration, way string, v any) {
		name := fmt.Sprintf("%T", v)
		switch x := v.(type) { // lines as text, not as base64
		case platformcore.OwnerData:
			v = map[string]any{"Owner": x.Owner, "Data": string(x.Data)}
		case platformcore.HostData:
			v = map[string]any{"Link": x.Connection, "Data": string(x.Data)}
		case platformcore.SendToOwner:
			v = map[string]any{"Owner": x.Owner, "Line": string(x.Line)}
		case platformcore.SendToHost:
			v = map[string]any{"Link": x.Connection, "Line": string(x.Line)}
		case platformcore.Log:
			v = map[string]any{"Level": x.Level, "Message": x.Message, "Attributes": attributeValues(x.Attributes), "InvariantViolation": x.InvariantViolation}
		}
		text, err := json.Marshal(v)
		if err != nil {
			return
		}
		fmt.Fprintf(w, `{"at":%d,"way":%q,"what":%q,"value":%s}`+"\n", now.Microseconds(), way, name, text)
	}
	return func(now time.Duration, in []platformcore.Input, out []platformcore.Output) {
		for _, i := range in {
			line(now, "in", i)
		}
		for _, o := range out {
			line(now, "out", o)
		}
		if len(in)+len(out) > 0 {
			_ = w.Flush()
		}
	}
}
