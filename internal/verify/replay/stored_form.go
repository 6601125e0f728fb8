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

// This file is the stored form of a tape. The names of the fields and the words in the tables below are in tapes that
// exist; they stay as they are when the core's own types are renamed. gob passes over a field whose name it doesn't
// know without an error, so a change here shows only in the golden tests.

// recordedStep is a Step as it stands in a tape.
type recordedStep struct {
	Now time.Duration
	Due time.Duration
	In  []recordedInput
	Out []string
}

// errMissingInput means that a tape holds an input without a type: none was written so.
var errMissingInput = errors.New("an input without a type")

// recordedInput is an input of the core as it stands in a tape.
type recordedInput interface{ toCore() core.Input }

// The stored inputs, one for each input of the core.
type (
	recordedListing struct {
		Mode  forkhead.ListMode
		Hosts []core.HostEntry
		Stale bool
	}
	recordedDialled struct {
		Host string
		Conn uint32
	}
	recordedBroke struct {
		Host string
		Conn uint32
		Why  string
	}
	recordedFromHost struct {
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
	recordedRemove struct {
		Request uint64
		Project string
	}
	recordedFromPlacer struct {
		From int
		Data []byte
	}
)

func (s recordedListing) toCore() core.Input {
	return core.HostListReceived{Mode: s.Mode, Hosts: s.Hosts, Stale: s.Stale}
}

func (s recordedDialled) toCore() core.Input { return core.HostConnected{Host: s.Host, Conn: s.Conn} }

func (s recordedBroke) toCore() core.Input {
	return core.HostDisconnected{Host: s.Host, Conn: s.Conn, Reason: s.Why}
}

func (s recordedFromHost) toCore() core.Input {
	return core.FrameReceived{Host: s.Host, Conn: s.Conn, Frame: s.Frame}
}

func (s recordedSubmit) toCore() core.Input {
	return core.Submit{Request: s.Request, IdempotencyKey: s.Key, BodyHash: s.Body, Description: s.What.specification()}
}

func (s recordedRemove) toCore() core.Input {
	return core.RemoveProject{Request: s.Request, Project: s.Project}
}

func (r recordedRestore) toCore() core.Input { return r.restore() }

func (s recordedFromPlacer) toCore() core.Input {
	return core.GossipReceived{From: s.From, Data: s.Data}
}

// recordInput returns the stored form of an input, or nil for one that has none.
func recordInput(in core.Input) recordedInput {
	switch in := in.(type) {
	case core.HostListReceived:
		return recordedListing{Mode: in.Mode, Hosts: in.Hosts, Stale: in.Stale}
	case core.HostConnected:
		return recordedDialled{Host: in.Host, Conn: in.Conn}
	case core.HostDisconnected:
		return recordedBroke{Host: in.Host, Conn: in.Conn, Why: in.Reason}
	case core.FrameReceived:
		return recordedFromHost{Host: in.Host, Conn: in.Conn, Frame: in.Frame}
	case core.Submit:
		return recordedSubmit{Request: in.Request, Key: in.IdempotencyKey, Body: in.BodyHash, What: recordSpecification(in.Description)}
	case core.RemoveProject:
		return recordedRemove{Request: in.Request, Project: in.Project}
	case core.Restore:
		return recordRestore(in)
	case core.GossipReceived:
		return recordedFromPlacer{From: in.From, Data: in.Data}
	}
	return nil
}

func recordStep(s *Step) *recordedStep {
	return &recordedStep{Now: s.Now, Due: s.Due, In: convertAll(s.In, recordInput), Out: s.Out}
}

// toStep returns the step that was recorded, or errMissingInput.
func (s *recordedStep) toStep() (*Step, error) {
	if slices.Contains(s.In, recordedInput(nil)) {
		return nil, errMissingInput
	}
	return &Step{Now: s.Now, Due: s.Due, In: convertAll(s.In, recordedInput.toCore), Out: s.Out}, nil
}

func init() {
	// gob wants a word for each type that stands behind an interface: inputs and the frames in them.
	for _, entry := range []struct {
		word   string
		sample any
	}{
		{"tape.core.Listing", recordedListing{}},
		{"tape.core.Dialled", recordedDialled{}},
		{"tape.core.Broke", recordedBroke{}},
		{"tape.core.FromHost", recordedFromHost{}},
		{"tape.core.Submit", recordedSubmit{}},
		{"tape.core.Remove", recordedRemove{}},
		{"tape.core.Restore", recordedRestore{}},
		{"tape.core.FromPlacer", recordedFromPlacer{}},
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
		gob.RegisterName(entry.word, entry.sample)
	}
}

// The stored outputs, one for each output of the core. A tape has them as a word and JSON with these fields.
type (
	recordedDial struct {
		Host, Address string
		Conn          uint32
	}
	recordedClose struct {
		Host string
		Conn uint32
	}
	recordedToHost struct {
		Host  string
		Conn  uint32
		Frame hostproto.Frame
	}
	recordedSubscribe struct{}
	recordedToPlacer  struct {
		To   int
		Data []byte
	}
	recordedTaken struct {
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
	recordedGrew   struct{ Submission string }
	recordedKeep   struct{ Note durable.Record }
	recordedLogged struct {
		Defect bool
		Text   string
	}
)

// recordOutput returns the stored form of an output with its word, or "" and nil for one that has none.
func recordOutput(out core.Output) (word string, form any) {
	switch out := out.(type) {
	case core.DialHost:
		return "Dial", recordedDial{Host: out.Host, Address: out.Address, Conn: out.Conn}
	case core.CloseHostConnection:
		return "Close", recordedClose{Host: out.Host, Conn: out.Conn}
	case core.SendToHost:
		return "ToHost", recordedToHost{Host: out.Host, Conn: out.Conn, Frame: out.Frame}
	case core.Subscribe:
		return "Subscribe", recordedSubscribe{}
	case core.SendGossip:
		return "ToPlacer", recordedToPlacer{To: out.To, Data: out.Data}
	case core.Accepted:
		return "Taken", recordedTaken{Request: out.Request, Submission: out.Submission, Again: out.Duplicate}
	case core.Rejected:
		return "Rejected", recordedRejected{
			Request: out.Request, Status: out.Status, Title: out.Title, Detail: out.Detail, RetryAfter: out.RetryAfter,
		}
	case core.OutcomesAdded:
		return "Grew", recordedGrew{Submission: out.Submission}
	case core.Persist:
		return "Keep", recordedKeep{Note: out.Record}
	case core.Log:
		return "Logged", recordedLogged{Defect: out.Defect, Text: out.Text}
	}
	return "", nil
}
