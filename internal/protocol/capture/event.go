// Package capture is the traffic of a run, as seen at the ends of the hosts, the clients and the emulated Consul, and at the
// placers' own sockets: what the rules are checked on. It holds nothing of what placers have in memory.
package capture

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// EventType is what happened. Its values are in captures.
type EventType string

// Events of hosts and of the frames that come to them and leave them. Each has the Host; where it names a frame, also the
// Placer, its epoch and the attempt.
const (
	HostUp       EventType = "host-up"   // an incarnation of a host begins: Epoch, WarmingUp, Zone, Rack
	HostDown     EventType = "host-down" // and ends
	Overloaded   EventType = "fell"      // it crashed from too many offers while it was warming up
	Hello        EventType = "hello"     // a placer opened a session: PlacerEpoch, Conn
	Disconnected EventType = "gone"      // the host saw a placer's connection end: Conn
	Welcome      EventType = "welcome"   // the host answered a Hello: Epoch, HostDraining
	Holds        EventType = "held"      // and listed an attempt that it has: Result is how far it is
	Offer        EventType = "offer"
	Withdraw     EventType = "withdraw"
	Stop         EventType = "stop"
	Refused      EventType = "refused"
	Accepted     EventType = "accepted"
	Running      EventType = "running"
	Ended        EventType = "ended" // Result is how
	Drain        EventType = "drain" // the host drains, or no longer: HostDraining
)

// Events of the others.
const (
	ListDelivered      EventType = "told"        // a placer was sent the endpoint list: Ready, Draining
	Submit             EventType = "submit"      // a client submitted: Submission, Count, Within
	Outcome            EventType = "outcome"     // a client read an outcome: Submission, Name, Result, Took
	ClientDisconnected EventType = "client-cut"  // a client's stream broke: it reads no more of the Submission
	PlacerUp           EventType = "placer-up"   // PlacerEpoch
	PlacerDown         EventType = "placer-down" // PlacerEpoch
	LateStep           EventType = "late"        // at a placer: a step ran Within after it was due
)

// Event is one thing that happened. It is recorded at the end of the host, the client or the emulated Consul, or, with
// AtPlacer, at the placer's own: in the order in which its loop took what had come and wrote what it sent. Only there is it
// known what a placer could know when it sent something.
type Event struct {
	At           time.Duration `json:"at"` // since the epoch of the run's clock
	Type         EventType     `json:"what"`
	AtPlacer     bool          `json:"near,omitempty"`
	Host         string        `json:"host,omitempty"`
	Epoch        uint64        `json:"epoch,omitempty"` // incarnation of the host
	Zone         string        `json:"zone,omitempty"`
	Rack         string        `json:"rack,omitempty"`
	WarmingUp    bool          `json:"cold,omitempty"`
	Placer       int           `json:"placer"`
	PlacerEpoch  uint64        `json:"placer_epoch,omitempty"` // incarnation of the placer
	Conn         uint64        `json:"conn,omitempty"`
	RefEpoch     uint64        `json:"ref_epoch,omitempty"` // with Task and Attempt: hostproto.Ref
	Task         uint32        `json:"task,omitempty"`
	Attempt      uint8         `json:"attempt,omitempty"`
	Key          uint64        `json:"key,omitempty"` // with Service, Name and Class: of hostproto.Spec
	Service      uint64        `json:"service,omitempty"`
	Name         string        `json:"name,omitempty"`
	Class        string        `json:"class,omitempty"`
	Result       string        `json:"result,omitempty"`
	HostDraining bool          `json:"on,omitempty"`
	Ready        []string      `json:"ready,omitempty"`    // hosts
	Draining     []string      `json:"draining,omitempty"` // hosts
	Submission   string        `json:"submission,omitempty"`
	Count        int           `json:"count,omitempty"`  // tasks of a submission
	Within       time.Duration `json:"within,omitempty"` // how long a client waits for outcomes, or a step's delay
	Took         time.Duration `json:"took,omitempty"`   // from the submission to the outcome, by the placer's clock
}

// Write writes events as JSON lines.
func Write(w io.Writer, events []Event) error {
	b := bufio.NewWriter(w)
	enc := json.NewEncoder(b)
	for i := range events {
		if err := enc.Encode(&events[i]); err != nil {
			return err
		}
	}
	return b.Flush()
}

// Read reads what Write wrote. An error names the number of the event that cannot be read, counted from 1.
func Read(r io.Reader) ([]Event, error) {
	var out []Event
	dec := json.NewDecoder(bufio.NewReader(r))
	for n := 1; ; n++ {
		var e Event
		switch err := dec.Decode(&e); {
		case errors.Is(err, io.EOF):
			return out, nil
		case err != nil:
			return nil, fmt.Errorf("event %d: %w", n, err)
		}
		out = append(out, e)
	}
}
