// Package capture defines the captured traffic of a run, on which the rules are checked. Traffic is captured at the
// hosts, the clients and the emulated Consul, and at the sockets of the placers. A capture contains nothing of the
// internal state of placers.
package capture

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// EventType is the type of an event. Stored captures contain its values.
type EventType string

// Events of hosts and of the frames that hosts receive and send. Each event has the field Host; the event of a frame
// also has Placer, PlacerEpoch and, if the frame concerns an attempt, RefEpoch, Task and Attempt. The comments name the
// other fields of an event.
const (
	HostUp       EventType = "host-up"   // an incarnation of a host started; fields: Epoch, WarmingUp, Zone, Rack
	HostDown     EventType = "host-down" // an incarnation of a host ended
	Overloaded   EventType = "fell"      // the host crashed from too many offers while it was warming up
	Hello        EventType = "hello"     // a placer opened a session; fields: PlacerEpoch, Conn
	Disconnected EventType = "gone"      // a placer's connection ended, as seen by the host; field: Conn
	Welcome      EventType = "welcome"   // the host answered a Hello; fields: Epoch, HostDraining
	Holds        EventType = "held"      // the host listed an attempt that it has; field: Result, the phase of the attempt
	Offer        EventType = "offer"
	Withdraw     EventType = "withdraw"
	Stop         EventType = "stop"
	Refused      EventType = "refused"
	Accepted     EventType = "accepted"
	Running      EventType = "running"
	Ended        EventType = "ended" // the attempt ended; field: Result
	Drain        EventType = "drain" // the host started or stopped draining; field: HostDraining
)

// Events of placers, clients and the emulated Consul.
const (
	ListDelivered      EventType = "told"        // the endpoint list was sent to a placer; fields: Ready, Draining
	Submit             EventType = "submit"      // a client submitted tasks; fields: Submission, Count, Within
	Outcome            EventType = "outcome"     // a client read an outcome; fields: Submission, Name, Result, Took
	ClientDisconnected EventType = "client-cut"  // a client's stream broke: no more outcomes are read; field: Submission
	PlacerUp           EventType = "placer-up"   // an incarnation of a placer started; field: PlacerEpoch
	PlacerDown         EventType = "placer-down" // an incarnation of a placer ended; field: PlacerEpoch
	LateStep           EventType = "late"        // a placer ran a step after its due time; field: Within, the delay
)

// Event is an event of a run. It is captured at the host, the client or the emulated Consul, or, if AtPlacer is set, at
// the sockets of the placer. The events at a placer are in the order in which its event loop processed input and wrote
// output: only this order shows what a placer could know when it sent something.
type Event struct {
	At           time.Duration `json:"at"` // time since the epoch of the run's clock
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
	RefEpoch     uint64        `json:"ref_epoch,omitempty"` // RefEpoch, Task and Attempt are from the hostproto.Ref
	Task         uint32        `json:"task,omitempty"`
	Attempt      uint8         `json:"attempt,omitempty"`
	Key          uint64        `json:"key,omitempty"` // Key, Service, Name and Class are from the hostproto.Spec
	Service      uint64        `json:"service,omitempty"`
	Name         string        `json:"name,omitempty"`
	Class        string        `json:"class,omitempty"`
	Result       string        `json:"result,omitempty"`
	HostDraining bool          `json:"on,omitempty"`
	Ready        []string      `json:"ready,omitempty"`    // names of the hosts that are ready
	Draining     []string      `json:"draining,omitempty"` // names of the hosts that drain
	Submission   string        `json:"submission,omitempty"`
	Count        int           `json:"count,omitempty"`  // number of tasks of a submission
	Within       time.Duration `json:"within,omitempty"` // how long a client waits for outcomes, or the delay of a step
	Took         time.Duration `json:"took,omitempty"`   // time from the submission to the outcome, by the placer's clock
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

// Read reads events that Write wrote. If an event cannot be decoded, the error contains its number, counted from 1.
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
