package platformreplay

import (
	"errors"
	"io"
	"strings"
	"time"

	"forkhead/internal/protocol/platform"
	platformcore "forkhead/internal/scheduler/platform"
)

// Peer is the kind of process at the other end of a connection.
type Peer string

// The peers whose messages name requests.
const (
	PeerOwner Peer = "owner"
	PeerHost  Peer = "host"
)

// Message is one message that names a request.
type Message struct {
	Step       int           `json:"step"`
	Now        time.Duration `json:"now"`       // time of the step, in nanoseconds since the Unix epoch
	Direction  string        `json:"direction"` // "in" or "out", from the placer's side
	Peer       Peer          `json:"peer"`
	Connection uint64        `json:"connection"`        // number of the connection among those to peers of this kind
	Address    string        `json:"address,omitempty"` // address of the host
	Line       string        `json:"line"`
}

// Request has the recorded messages of one request.
type Request struct {
	Messages  []Message
	Truncated bool // the trace ends within a step
}

// FollowRequest returns the messages of a trace that name a request by its ref, in order, without replaying the trace. It
// returns an error if the trace cannot be read.
func FollowRequest(from io.Reader, ref string) (*Request, error) {
	r, err := NewReader(from)
	if err != nil {
		return nil, err
	}
	f := &requestFollower{ref: ref, splitters: map[connection]*platform.LineSplitter{}, addresses: map[platformcore.ConnectionID]string{}}
	for {
		s, err := r.Next()
		if errors.Is(err, io.EOF) || errors.Is(err, ErrTruncated) {
			return &Request{Messages: f.messages, Truncated: errors.Is(err, ErrTruncated)}, nil
		}
		if err != nil {
			return nil, err
		}
		if err := f.addStep(s); err != nil {
			return nil, err
		}
	}
}

// connection identifies a connection of the placer.
type connection struct {
	peer   Peer
	number uint64
}

// requestFollower collects the messages of a request.
type requestFollower struct {
	ref       string
	splitters map[connection]*platform.LineSplitter // nil for a connection with a line that is too long
	addresses map[platformcore.ConnectionID]string
	messages  []Message
}

func (f *requestFollower) addStep(s *Step) error {
	for _, input := range s.Inputs {
		switch in := input.(type) {
		case platformcore.OwnerData:
			f.addData(s, connection{PeerOwner, uint64(in.Owner)}, in.Data)
		case platformcore.HostData:
			f.addData(s, connection{PeerHost, uint64(in.Connection)}, in.Data)
		case platformcore.OwnerDisconnected:
			delete(f.splitters, connection{PeerOwner, uint64(in.Owner)})
		case platformcore.HostDisconnected:
			delete(f.splitters, connection{PeerHost, uint64(in.Connection)})
		}
	}
	for _, l := range s.outputs {
		if err := f.addOutput(s, l); err != nil {
			return err
		}
	}
	return nil
}

// addData splits the bytes of a connection into lines. Like the core, it stops reading a stream at a line that is too
// long.
func (f *requestFollower) addData(s *Step, from connection, data []byte) {
	splitter, known := f.splitters[from]
	if !known {
		splitter = &platform.LineSplitter{}
		f.splitters[from] = splitter
	}
	if splitter == nil {
		return
	}
	err := splitter.Feed(data, func(text []byte) error {
		f.addMessage(s, directionIn, from, text)
		return nil
	})
	if err != nil {
		f.splitters[from] = nil
	}
}

func (f *requestFollower) addOutput(s *Step, l *line) error {
	switch l.Type {
	case typeDialHost:
		dial, err := decodeAs[platformcore.DialHost](l)
		if err != nil {
			return err
		}
		f.addresses[dial.Connection] = dial.Address
	case typeSendToOwner:
		sent, err := decodeAs[sendToOwner](l)
		if err != nil {
			return err
		}
		f.addMessage(s, directionOut, connection{PeerOwner, uint64(sent.Owner)}, originalBytes(sent.Line, sent.Bytes))
	case typeSendToHost:
		sent, err := decodeAs[sendToHost](l)
		if err != nil {
			return err
		}
		f.addMessage(s, directionOut, connection{PeerHost, uint64(sent.Connection)}, originalBytes(sent.Line, sent.Bytes))
	}
	return nil
}

// addMessage adds a line that names the request. A line that fails to decode is added too if its ref could be read.
func (f *requestFollower) addMessage(s *Step, dir direction, peer connection, text []byte) {
	message, _ := platform.Decode(text)
	if !strings.EqualFold(message.Ref, f.ref) {
		return
	}
	m := Message{
		Step: s.Number, Now: s.Now, Direction: string(dir), Peer: peer.peer, Connection: peer.number,
		Line: strings.TrimRight(string(text), "\r\n"),
	}
	if peer.peer == PeerHost {
		m.Address = f.addresses[platformcore.ConnectionID(peer.number)]
	}
	f.messages = append(f.messages, m)
}
