package platform

import (
	"fmt"
	"log/slog"
	"strings"

	"forkhead"
)

// Messages of the log. They are constant, so that whoever is on call can search for them; docs/ops/node.md lists them.
// What differs from line to line is in the attributes.
const (
	messageTasksLost         = "tasks lost with their host"
	messageConnectionClosed  = "connection to a host closed"
	messageUnusableEndpoint  = "unusable entry of the endpoint list ignored"
	messageSecondHandOver    = "running task handed over under another ref"
	messageUnknownTask       = "offer of an unknown task dropped"
	messageOfferVetoed       = "offer vetoed"
	messageAnswerVetoed      = "answer vetoed"
	messageNoAnswer          = "no answer at the deadline of a task"
	messageOversizedGossip   = "oversized gossip message dropped"
	messageModuleInterrupted = "module interrupted" // not logged at present: New sets the module's driver no limit
)

// logReason is why something was done.
type logReason string

// Reasons why a connection is closed, or the tasks of a host count as lost. They are constant too.
const (
	reasonUnreadable         logReason = "a message cannot be read"
	reasonPartialLine        logReason = "a message did not end"
	reasonOvertaken          logReason = "later offers are answered and its own are not"
	reasonRefusesConnections logReason = "it refuses connections"
	reasonUnresponsive       logReason = "it sends nothing and accepts no connection"
	reasonNotListed          logReason = "the endpoint list does not have it"
	reasonRemoved            logReason = "the endpoint list has it as removed"
)

// Keys of the attributes.
const (
	keyPlacedRef  = "placed_ref" // ref under which the task runs already
	keyBytes      = "bytes"
	keyConnection = "connection" // number of the connection, as in a trace
	keyError      = "error"
	keyHost       = "host" // name of the host, as in the endpoint list
	keyReason     = "reason"
	keyRef        = "ref"      // ref of the placement request, as on the wire
	keyTask       = "task"     // number of the placement request at this placer
	keyTaskKey    = "task_key" // identity of the task, as its owner gives it
	keyTasks      = "tasks"    // how many tasks are concerned
)

// Log is a line for whoever is on call. Its message is constant; its attributes have the keys above. An
// InvariantViolation is an error of this program: an output that was vetoed or an answer that is missing.
type Log struct {
	Level              slog.Level
	Message            string
	Attributes         []slog.Attr
	InvariantViolation bool
}

// String is the line as text: the message and then key=value for each attribute.
func (l Log) String() string {
	var text strings.Builder
	text.WriteString(l.Message)
	for _, attribute := range l.Attributes {
		fmt.Fprintf(&text, " %s=%v", attribute.Key, attribute.Value)
	}
	return text.String()
}

func (c *Core) logInfo(message string, attributes ...slog.Attr) {
	c.emit(Log{Level: slog.LevelInfo, Message: message, Attributes: attributes})
}

func (c *Core) logViolation(message string, attributes ...slog.Attr) {
	c.emit(Log{Level: slog.LevelError, Message: message, Attributes: attributes, InvariantViolation: true})
}

func hostAttr(name string) slog.Attr           { return slog.String(keyHost, name) }
func taskAttr(id forkhead.TaskID) slog.Attr    { return slog.Uint64(keyTask, uint64(id)) }
func taskKeyAttr(key uint64) slog.Attr         { return slog.String(keyTaskKey, fmt.Sprintf("%016x", key)) }
func refAttr(ref requestRef) slog.Attr         { return slog.String(keyRef, string(ref)) }
func connectionAttr(id ConnectionID) slog.Attr { return slog.Uint64(keyConnection, uint64(id)) }
func reasonAttr(reason logReason) slog.Attr    { return slog.String(keyReason, string(reason)) }
func errorAttr(err error) slog.Attr            { return slog.Any(keyError, err) }
