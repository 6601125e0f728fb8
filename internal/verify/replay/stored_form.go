package replay

import (
	"encoding/gob"
	"errors"
	"slices"
	"time"

	"forkhead"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/scheduler/durable"
)

// This file defines the stored form of a recording's steps. Existing recordings contain the names of the fields and the
// names in the tables below, so these names stay even if the code renames the corresponding types and fields of the
// core. gob has no tags, and ignores a field whose name it does not know without an error, so only the golden tests
// detect a change here. The types in this file may be renamed.

// recordedStep is a Step in its stored form.
type recordedStep struct {
	Now time.Duration
	Due time.Duration
	In  []recordedInput
	Out []string
}

// errMissingInput means that a recording holds an input without a type. No writer writes such an input.
var errMissingInput = errors.New("an input without a type")

// recordedInput is an input of the core in its stored form.
type recordedInput interface{ toCore() core.Input }

// The types below are the stored forms of inputs, one for each input of the core.
type (
	recordedHostListReceived struct {
		Mode  forkhead.ListMode
		Hosts []core.HostEntry
		Stale bool
	}
	recordedHostConnected struct {
		Host string
		Conn uint32
	}
	recordedHostDisconnected struct {
		Host string
		Conn uint32
		Why  string
	}
	recordedFrameReceived struct {
		Host  string
		Conn  uint32
		Frame hostproto.Frame
	}
	recordedSubmit struct {
		Request uint64
		Key     string
		Body    uint64
		What    *recordedSpecification
	}
	recordedRemoveProject struct {
		Request uint64
		Project string
	}
	recordedGossipReceived struct {
		From int
		Data []byte
	}
)

func (s recordedHostListReceived) toCore() core.Input {
	return core.HostListReceived{Mode: s.Mode, Hosts: s.Hosts, Stale: s.Stale}
}

func (s recordedHostConnected) toCore() core.Input {
	return core.HostConnected{Host: s.Host, Conn: s.Conn}
}

func (s recordedHostDisconnected) toCore() core.Input {
	return core.HostDisconnected{Host: s.Host, Conn: s.Conn, Reason: s.Why}
}

func (s recordedFrameReceived) toCore() core.Input {
	return core.FrameReceived{Host: s.Host, Conn: s.Conn, Frame: s.Frame}
}

func (s recordedSubmit) toCore() core.Input {
	return core.Submit{Request: s.Request, IdempotencyKey: s.Key, BodyHash: s.Body, Description: s.What.specification()}
}

func (s recordedRemoveProject) toCore() core.Input {
	return core.RemoveProject{Request: s.Request, Project: s.Project}
}

func (r recordedRestore) toCore() core.Input { return r.restore() }

func (s recordedGossipReceived) toCore() core.Input {
	return core.GossipReceived{From: s.From, Data: s.Data}
}

// recordInput returns the stored form of an input, or nil if the input has none.
func recordInput(in core.Input) recordedInput {
	switch in := in.(type) {
	case core.HostListReceived:
		return recordedHostListReceived{Mode: in.Mode, Hosts: in.Hosts, Stale: in.Stale}
	case core.HostConnected:
		return recordedHostConnected{Host: in.Host, Conn: in.Conn}
	case core.HostDisconnected:
		return recordedHostDisconnected{Host: in.Host, Conn: in.Conn, Why: in.Reason}
	case core.FrameReceived:
		return recordedFrameReceived{Host: in.Host, Conn: in.Conn, Frame: in.Frame}
	case core.Submit:
		return recordedSubmit{Request: in.Request, Key: in.IdempotencyKey, Body: in.BodyHash, What: recordSpecification(in.Description)}
	case core.RemoveProject:
		return recordedRemoveProject{Request: in.Request, Project: in.Project}
	case core.Restore:
		return recordRestore(in)
	case core.GossipReceived:
		return recordedGossipReceived{From: in.From, Data: in.Data}
	}
	return nil
}

func recordStep(s *Step) *recordedStep {
	return &recordedStep{Now: s.Now, Due: s.Due, In: convertAll(s.In, recordInput), Out: s.Out}
}

// toStep returns the step that was recorded. Its error is errMissingInput.
func (s *recordedStep) toStep() (*Step, error) {
	if slices.Contains(s.In, recordedInput(nil)) {
		return nil, errMissingInput
	}
	return &Step{Now: s.Now, Due: s.Due, In: convertAll(s.In, recordedInput.toCore), Out: s.Out}, nil
}

func init() {
	// gob needs a name for each type that it stores in an interface value: inputs, and the frames in them.
	for _, entry := range []struct {
		name   string
		sample any
	}{
		{"tape.core.Listing", recordedHostListReceived{}},
		{"tape.core.Dialled", recordedHostConnected{}}, //nolint:misspell // stored name
		{"tape.core.Broke", recordedHostDisconnected{}},
		{"tape.core.FromHost", recordedFrameReceived{}},
		{"tape.core.Submit", recordedSubmit{}},
		{"tape.core.Remove", recordedRemoveProject{}},
		{"tape.core.Restore", recordedRestore{}},
		{"tape.core.FromPlacer", recordedGossipReceived{}},
		{"tape.hostproto.Welcome", hostproto.Welcome{}},
		{"tape.hostproto.Holds", hostproto.Holds{}},
		{"tape.hostproto.Refused", hostproto.Refused{}},
		{"tape.hostproto.Accepted", hostproto.Accepted{}},
		{"tape.hostproto.Running", hostproto.Running{}},
		{"tape.hostproto.Note", hostproto.Note{}},
		{"tape.hostproto.Ended", hostproto.Ended{}},
		{"tape.hostproto.Probed", hostproto.Probed{}},
		{"tape.hostproto.Drain", hostproto.Drain{}},
		{"tape.hostproto.Bye", hostproto.Bye{}},
		{"tape.hostproto.Hello", hostproto.Hello{}},
		{"tape.hostproto.Offer", hostproto.Offer{}},
		{"tape.hostproto.Withdraw", hostproto.Withdraw{}},
		{"tape.hostproto.Stop", hostproto.Stop{}},
		{"tape.hostproto.Probe", hostproto.Probe{}},
		{"tape.hostproto.Query", hostproto.Query{}},
	} {
		gob.RegisterName(entry.name, entry.sample)
	}
}

// The types below are the stored forms of outputs, one for each output of the core. A recording holds an output as a
// line: a name, and JSON with these fields.
type (
	recordedDialHost struct {
		Host, Address string
		Conn          uint32
	}
	recordedCloseHostConnection struct {
		Host string
		Conn uint32
	}
	recordedSendToHost struct {
		Host  string
		Conn  uint32
		Frame hostproto.Frame
	}
	recordedSubscribe  struct{}
	recordedSendGossip struct {
		To   int
		Data []byte
	}
	recordedAccepted struct {
		Request    uint64
		Submission string
		Again      bool
	}
	recordedRejected struct {
		Request    uint64
		Status     int
		Title      string
		Detail     string
		RetryAfter time.Duration
	}
	recordedOutcomesAdded struct{ Submission string }
	recordedPersist       struct{ Note durable.Record }
	recordedLog           struct {
		Defect bool
		Text   string
	}
)

// recordOutput returns the name and the stored form of an output, or "" and nil if the output has none.
func recordOutput(out core.Output) (name string, form any) {
	switch out := out.(type) {
	case core.DialHost:
		return "Dial", recordedDialHost{Host: out.Host, Address: out.Address, Conn: out.Conn}
	case core.CloseHostConnection:
		return "Close", recordedCloseHostConnection{Host: out.Host, Conn: out.Conn}
	case core.SendToHost:
		return "ToHost", recordedSendToHost{Host: out.Host, Conn: out.Conn, Frame: out.Frame}
	case core.Subscribe:
		return "Subscribe", recordedSubscribe{}
	case core.SendGossip:
		return "ToPlacer", recordedSendGossip{To: out.To, Data: out.Data}
	case core.Accepted:
		return "Taken", recordedAccepted{Request: out.Request, Submission: out.Submission, Again: out.Duplicate}
	case core.Rejected:
		return "Rejected", recordedRejected{
			Request: out.Request, Status: out.Status, Title: out.Title, Detail: out.Detail, RetryAfter: out.RetryAfter,
		}
	case core.OutcomesAdded:
		return "Grew", recordedOutcomesAdded{Submission: out.Submission}
	case core.Persist:
		return "Keep", recordedPersist{Note: out.Record}
	case core.Log:
		return "Logged", recordedLog{Defect: out.Defect, Text: out.Text}
	}
	return "", nil
}
