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
// the value. What cannot be written is lost.
func Trace(to io.Writer) Tap {
	w := bufio.NewWriter(to)
	write := func(now time.Duration, direction string, value any) {
		text, err := json.Marshal(readable(value))
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(w, `{"at":%d,"way":%q,"what":%q,"value":%s}`+"\n", now.Microseconds(), direction, fmt.Sprintf("%T", value), text)
	}
	return func(now time.Duration, in []platformcore.Input, out []platformcore.Output) {
		for _, input := range in {
			write(now, "in", input)
		}
		for _, output := range out {
			write(now, "out", output)
		}
		if len(in)+len(out) > 0 {
			_ = w.Flush()
		}
	}
}

// readable returns a value to encode in place of one that JSON would not show as text: bytes, and attributes of the log.
func readable(value any) any {
	switch v := value.(type) {
	case platformcore.OwnerData:
		return map[string]any{"Owner": v.Owner, "Data": string(v.Data)}
	case platformcore.HostData:
		return map[string]any{"Connection": v.Connection, "Data": string(v.Data)}
	case platformcore.SendToOwner:
		return map[string]any{"Owner": v.Owner, "Line": string(v.Line)}
	case platformcore.SendToHost:
		return map[string]any{"Connection": v.Connection, "Line": string(v.Line)}
	case platformcore.Log:
		return map[string]any{"Level": v.Level, "Message": v.Message, "Attributes": attributeValues(v.Attributes), "InvariantViolation": v.InvariantViolation}
	}
	return value
}
