package platform

import (
	"fmt"
	"log/slog"
	"strings"
	"time"

	"forkhead"
)

// Log messages. They are constant, so that operators can search for them, and docs/ops/node.md lists them. Variable
// data is in the attributes.
const (
	messageTasksLost         = "tasks lost with their host"
	messageHostChanged       = "host of the endpoint list changed"
	messageHostSuperseded    = "host has gone, another has its address"
	messageConnectionOpened  = "connection to a host opened"
	messageConnectionClosed  = "connection to a host closed"
	messageConnectionEnded   = "connection to a host ended"
	messageDialFailed        = "dial of a host failed"
	messageOwnerClosed       = "connection of an owner closed"
	messageOwnerReset        = "connection of an owner was reset"
	messageAttemptEnded      = "attempt ended and its request is open"
	messageRequestRejected   = "request rejected"
	messageRejectionsLeftOut = "requests rejected without a log line"
	messageRequestFailed     = "request failed"
	messageEndSent           = "end of a task sent to its owner"
	messageUnusableEndpoint  = "unusable entry of the endpoint list ignored"
	messageSecondHandOver    = "running task handed over under another ref"
	messageUnknownTask       = "offer of an unknown task dropped"
	messageOfferVetoed       = "offer vetoed"
	messageAnswerVetoed      = "answer vetoed"
	messageNoAnswer          = "no answer at the deadline of a task"
	messageOversizedGossip   = "oversized gossip message dropped"
	messageEndUnconfirmed    = "attempt ended without proof, it counts until its host confirms the end"
	messageEndConfirmed      = "end of an attempt confirmed"
	messageNotDelivered      = "message to an owner dropped, no connection of it was open"
	messageModuleInterrupted = "module interrupted" // not logged at present, as New sets no limit of rounds
)

// logReason is the value of the attribute keyReason.
type logReason string

// Reasons why a connection was closed, ended or not made, or the tasks of a host count as lost. They are constant, like
// the messages.
const (
	reasonUnreadable          logReason = "a message cannot be read"
	reasonPartialLine         logReason = "a message did not end"
	reasonOvertaken           logReason = "later offers are answered and its own are not"
	reasonRefusesConnections  logReason = "it refuses connections"
	reasonUnresponsive        logReason = "it sends nothing and accepts no connection"
	reasonNoFurtherConnection logReason = "its connection broke, and no other can be made"
	reasonOnlyUnreadable      logReason = "it sends only what cannot be read"
	reasonConnectionEnded     logReason = "its connection ended while it was in flight"
	reasonWithdrawn           logReason = "it was withdrawn"
	reasonStopUnanswered      logReason = "a stop was not answered"
	reasonRestarted           logReason = "the endpoint list states a later start"
	reasonNotListed           logReason = "the endpoint list does not have it"
	reasonAddressTaken        logReason = "another host has its address"
	reasonRemoved             logReason = "the endpoint list has it as removed"

	reasonIdle           logReason = "it was idle"
	reasonPassesNothing  logReason = "it brings nothing, and others do"
	reasonSuperseded     logReason = "a newer connection replaces it"
	reasonEvicted        logReason = "its slot was needed"
	reasonOutdated       logReason = "the endpoint list changed its host"
	reasonHalfClosedLong logReason = "its host did not close it in time"
	reasonReset          logReason = "it was reset"
	reasonClosedByPeer   logReason = "its host closed it"
	reasonNoAnswer       logReason = "no connection was made in time"
	reasonLocalFailure   logReason = "this placer could not dial"

	// Reasons why a connection of an owner was closed.
	reasonUnusableMessage logReason = "a message cannot be used"
	reasonNoValidMessage  logReason = "no valid message came in time"
	reasonTooManyInvalid  logReason = "too many requests are malformed"
	reasonRefInUse        logReason = "a ref was used for two requests"

	// Reasons why a request was rejected or failed.
	reasonBusy            logReason = "this placer has too much to do"
	reasonNoTimeLeft      logReason = "no time is left"
	reasonMalformed       logReason = "it is malformed"
	reasonOwnerClosed     logReason = "the connection of its owner was closed"
	reasonPolicy          logReason = "the policy decided so"
	reasonEndedUnanswered logReason = "its task ended before the answer"
	reasonMayHaveRun      logReason = "it was sent again and may have run"

	// Reasons why an end counts as confirmed. The last two are no proof.
	reasonHostReleased        logReason = "its host released it"
	reasonStopAcknowledged    logReason = "its host acknowledged a stop"
	reasonStopRead            logReason = "its host has read a stop"
	reasonOfferedAgain        logReason = "it was offered to the same host again"
	reasonConfirmationExpired logReason = "no confirmation came in time"
	reasonTooMany             logReason = "too many ends are unconfirmed"

	// Reasons why a message to an owner was dropped.
	reasonExpired            logReason = "its time is over"
	reasonTooManyUndelivered logReason = "too many messages are undelivered"
)

// Keys of log attributes.
const (
	keyPlacedRef  = "placed_ref" // ref under which the host already runs the task
	keyAddress    = "address"
	keyBytes      = "bytes"
	keyCause      = "cause"      // cause of a release on the wire
	keyConnection = "connection" // ConnectionID, as in a trace
	keyError      = "error"
	keyHost       = "host"  // name of the host, as in the endpoint list
	keyOwner      = "owner" // OwnerID of a connection, as in a trace
	keyReason     = "reason"
	keyRef        = "ref"      // ref of the placement request on the wire
	keyRequests   = "requests" // number of requests concerned
	keyResult     = "result"   // result of an attempt
	keyState      = "state"    // state in the endpoint list, as on the wire
	keyTask       = "task"     // forkhead.TaskID of the placement request at this placer
	keyTaskKey    = "task_key" // identity of the task that its owner assigned
	keyTasks      = "tasks"    // number of tasks concerned
)

// Log is a log line for operators. Its message is one of the constants above or a text of the module; its attributes
// have the keys above. InvariantViolation marks a fault of this program: a vetoed output or a missing answer.
type Log struct {
	Level              slog.Level
	Message            string
	Attributes         []slog.Attr
	InvariantViolation bool
}

// String returns the message followed by key=value for each attribute.
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
func addressAttr(address string) slog.Attr     { return slog.String(keyAddress, address) }
func ownerAttr(id OwnerID) slog.Attr           { return slog.Uint64(keyOwner, uint64(id)) }
func errorAttr(err error) slog.Attr            { return slog.Any(keyError, err) }

// resultNames are the values of keyResult.
var resultNames = map[forkhead.Result]string{
	forkhead.OK:            "ended",
	forkhead.Errored:       "error",
	forkhead.Rejected:      "rejected",
	forkhead.TimedOut:      "timed out",
	forkhead.ConnectFailed: "no connection",
	forkhead.Reset:         "lost",
	forkhead.Withdrawn:     "withdrawn",
	forkhead.NotSent:       "not sent",
}

// maxRejectionLines bounds the log lines of rejections in each second. A client that sends requests at full speed must not make
// steps long by them, nor hide other lines.
const maxRejectionLines int = 50

// rejectionLog counts the log lines of rejections.
type rejectionLog struct {
	second         time.Duration // begin of the current second
	lines, leftOut int           // in the current second
}

// logRejected logs the rejection of a request that was not passed to the module, or that the module rejected.
func (c *Core) logRejected(ref requestRef, reason logReason) {
	r := &c.rejections
	if second := c.now.Truncate(time.Second); second != r.second {
		if r.leftOut > 0 {
			c.logInfo(messageRejectionsLeftOut, slog.Int(keyRequests, r.leftOut))
		}
		*r = rejectionLog{second: second}
	}
	if r.lines == maxRejectionLines {
		r.leftOut++
		return
	}
	r.lines++
	c.logInfo(messageRequestRejected, refAttr(ref), reasonAttr(reason))
}

func (c *Core) logFailed(ref requestRef, reason logReason) {
	c.logInfo(messageRequestFailed, refAttr(ref), reasonAttr(reason))
}
