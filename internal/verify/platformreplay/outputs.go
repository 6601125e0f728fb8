package platformreplay

import (
	"fmt"
	"log/slog"

	platformcore "forkhead/internal/scheduler/platform"
)

// Types of the lines of outputs. They are part of the format and stay when a Go type is renamed.
const (
	typeSendToOwner             = "platform.SendToOwner"
	typeCloseOwnerConnection    = "platform.CloseOwnerConnection"
	typeDialHost                = "platform.DialHost"
	typeSendToHost              = "platform.SendToHost"
	typeCloseHostConnection     = "platform.CloseHostConnection"
	typeHalfCloseHostConnection = "platform.HalfCloseHostConnection"
	typeSendGossip              = "platform.SendGossip"
	typeCloseListener           = "platform.CloseListener"
	typeShutdownComplete        = "platform.ShutdownComplete"
	typeLog                     = "platform.Log"
)

// sendToOwner is the value of a line of type platform.SendToOwner.
type sendToOwner struct {
	Line  string
	Owner platformcore.OwnerID
	Bytes []byte `json:",omitempty"` // nil if Line is valid UTF-8
}

// sendToHost is the value of a line of type platform.SendToHost.
type sendToHost struct {
	Connection platformcore.ConnectionID
	Line       string
	Abandons   bool   `json:",omitempty"`
	Bytes      []byte `json:",omitempty"` // nil if Line is valid UTF-8
}

// logLine is the value of a line of type platform.Log.
type logLine struct {
	Attributes         map[string]any // values by key; an error is recorded as its text
	InvariantViolation bool
	Level              slog.Level
	Message            string
}

// encodeOutput returns the type and the value of an output's line. The value is the output itself, unless the output is
// data for a connection or a log message.
func encodeOutput(output platformcore.Output) (lineType string, value any) {
	switch out := output.(type) {
	case platformcore.SendToOwner:
		return typeSendToOwner, sendToOwner{Owner: out.Owner, Line: string(out.Line), Bytes: exactBytes(out.Line)}
	case platformcore.CloseOwnerConnection:
		return typeCloseOwnerConnection, out
	case platformcore.DialHost:
		return typeDialHost, out
	case platformcore.SendToHost:
		return typeSendToHost, sendToHost{Connection: out.Connection, Line: string(out.Line), Abandons: out.Abandons, Bytes: exactBytes(out.Line)}
	case platformcore.CloseHostConnection:
		return typeCloseHostConnection, out
	case platformcore.HalfCloseHostConnection:
		return typeHalfCloseHostConnection, out
	case platformcore.SendGossip:
		return typeSendGossip, out
	case platformcore.CloseListener:
		return typeCloseListener, out
	case platformcore.ShutdownComplete:
		return typeShutdownComplete, out
	case platformcore.Log:
		return typeLog, logLine{
			Attributes: attributeValues(out.Attributes), InvariantViolation: out.InvariantViolation, Level: out.Level, Message: out.Message,
		}
	}
	return fmt.Sprintf("%T", output), output
}

// attributeValues maps the keys of attributes to their values, with errors as text.
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
