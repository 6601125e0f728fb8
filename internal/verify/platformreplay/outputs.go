package platformreplay

import (
	"fmt"
	"log/slog"

	platformcore "forkhead/internal/scheduler/platform"
)

// Types of the lines of outputs.
const (
	whatSendToOwner             = "platform.SendToOwner"
	whatCloseOwnerConnection    = "platform.CloseOwnerConnection"
	whatDialHost                = "platform.DialHost"
	whatSendToHost              = "platform.SendToHost"
	whatCloseHostConnection     = "platform.CloseHostConnection"
	whatHalfCloseHostConnection = "platform.HalfCloseHostConnection"
	whatSendGossip              = "platform.SendGossip"
	whatCloseListener           = "platform.CloseListener"
	whatShutdownComplete        = "platform.ShutdownComplete"
	whatLog                     = "platform.Log"
)

// sendToOwner is the value of a SendToOwner.
type sendToOwner struct {
	Line  string
	Owner platformcore.OwnerID
	Bytes []byte `json:",omitempty"` // nil: Line is exact
}

// sendToHost is the value of a SendToHost.
type sendToHost struct {
	Connection platformcore.ConnectionID
	Line       string
	Abandons   bool   `json:",omitempty"`
	Bytes      []byte `json:",omitempty"` // nil: Line is exact
}

// logLine is the value of a Log.
type logLine struct {
	Attributes         map[string]any // by their keys; an error is its text
	InvariantViolation bool
	Level              slog.Level
	Message            string
}

// encodeOutput returns the type and the value of an output's line. The other outputs stand as they are.
func encodeOutput(output platformcore.Output) (what string, value any) {
	switch out := output.(type) {
	case platformcore.SendToOwner:
		return whatSendToOwner, sendToOwner{Owner: out.Owner, Line: string(out.Line), Bytes: exactBytes(out.Line)}
	case platformcore.CloseOwnerConnection:
		return whatCloseOwnerConnection, out
	case platformcore.DialHost:
		return whatDialHost, out
	case platformcore.SendToHost:
		return whatSendToHost, sendToHost{Connection: out.Connection, Line: string(out.Line), Abandons: out.Abandons, Bytes: exactBytes(out.Line)}
	case platformcore.CloseHostConnection:
		return whatCloseHostConnection, out
	case platformcore.HalfCloseHostConnection:
		return whatHalfCloseHostConnection, out
	case platformcore.SendGossip:
		return whatSendGossip, out
	case platformcore.CloseListener:
		return whatCloseListener, out
	case platformcore.ShutdownComplete:
		return whatShutdownComplete, out
	case platformcore.Log:
		return whatLog, logLine{
			Attributes: attributeValues(out.Attributes), InvariantViolation: out.InvariantViolation, Level: out.Level, Message: out.Message,
		}
	}
	return fmt.Sprintf("%T", output), output
}

// attributeValues maps the keys of attributes to their values: errors as text.
func attributeValues(attributes []slog.Attr) map[string]any {
	values := make(map[string]any, len(attributes))
	for _, attribute := range attributes {
		values[attribute.Key] = attribute.Value.Any()
		if err, ok := attribute.Value.Any().(error); ok {
			values[attribute.Key] = err.Error()
		}
	}
	return values
}
