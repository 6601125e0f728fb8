package noded

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"forkhead/internal/placing/node"
)

// Trace returns a tap that writes each step with inputs or outputs as JSON lines: the time in microseconds, the type and
// the value.
func Trace(to io.Writer) func(now time.Duration, in []node.Input, out []node.Output) {
	w := bufio.NewWriter(to)
	line := func(now time.Duration, way string, v any) {
		text, err := json.Marshal(v)
		if err != nil {
			return
		}
		name := fmt.Sprintf("%T", v)
		switch v := v.(type) {
		case node.OwnerData:
			text, _ = json.Marshal(map[string]any{"Owner": v.Owner, "Data": string(v.Data)})
		case node.HostData:
			text, _ = json.Marshal(map[string]any{"Link": v.Link, "Data": string(v.Data)})
		case node.ToOwner:
			text, _ = json.Marshal(map[string]any{"Owner": v.Owner, "Line": string(v.Line)})
		case node.ToHost:
			text, _ = json.Marshal(map[string]any{"Link": v.Link, "Line": string(v.Line)})
		}
		fmt.Fprintf(w, `{"at":%d,"way":%q,"what":%q,"value":%s}`+"\n", now.Microseconds(), way, name, text)
	}
	return func(now time.Duration, in []node.Input, out []node.Output) {
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
