// Package capture is the traffic of a run as seen at the hosts', the clients' and the catalogue's
// end, and at the placers' own sockets: what the rules are checked on. It holds nothing of any
// placer's own tables.
package capture

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// EventType says what happened.
type EventType string

// The types of events.
const (
	HostUp             EventType = "host-up"   // a life of a host begins: Host, Epoch, WarmingUp, Zone, Rack
	HostDown           EventType = "host-down" // and ends
	Overloaded         EventType = "fell"      // it was pushed over while cold
	Hello              EventType = "hello"     // a placer greeted a host: Placer, PlacerEpoch, Conn
	Disconnected       EventType = "gone"      // a host saw a placer's connection end: Placer, Conn
	Offer              EventType = "offer"     // a frame came to a host
	Withdraw           EventType = "withdraw"
	Stop               EventType = "stop"
	Refused            EventType = "refused" // a frame left a host
	Accepted           EventType = "accepted"
	Running            EventType = "running"
	Ended              EventType = "ended"
	Drain              EventType = "drain"   // a host told a placer that it drains
	ListDelivered      EventType = "told"    // the catalogue told a placer what hosts are ready: Ready, Draining
	Submit             EventType = "submit"  // a client submitted: Submission, Count tasks, Within
	Outcome            EventType = "outcome" // a client read an outcome: Submission, Name, Result, Took
	PlacerUp           EventType = "placer-up"
	PlacerDown         EventType = "placer-down"
	ClientDisconnected EventType = "client-cut" // a client's stream broke: nothing more is read of it
	Welcome            EventType = "welcome"    // a host greeted back: Epoch, HostDraining
	Holds              EventType = "held"       // and named an attempt that it holds: Result says how far it is
	LateStep           EventType = "late"       // at a placer: a step ran Within after it was due
)

// Event is one thing that happened. It is noted at the host's, the client's or the catalogue's end,
// or, with AtPlacer, at the placer's own: in the order in which its loop took what had come and wrote
// what goes out. Only there is it known what a placer could know when it sent something.
type Event struct {
	At           time.Duration `json:"at"` // since the epoch of the run's clock
	Type         EventType     `json:"what"`
	AtPlacer     bool          `json:"near,omitempty"`
	Host         string        `json:"host,omitempty"`
	Epoch        uint64        `json:"epoch,omitempty"` // of the host's life
	Zone         string        `json:"zone,omitempty"`
	Rack         string        `json:"rack,omitempty"`
	WarmingUp    bool          `json:"cold,omitempty"`
	Placer       int           `json:"placer"`
	PlacerEpoch  uint64        `json:"placer_epoch,omitempty"`
	Conn         uint64        `json:"conn,omitempty"`
	RefEpoch     uint64        `json:"ref_epoch,omitempty"`
	Task         uint32        `json:"task,omitempty"`
	Attempt      uint8         `json:"attempt,omitempty"`
	Key          uint64        `json:"key,omitempty"`
	Service      uint64        `json:"service,omitempty"`
	Name         string        `json:"name,omitempty"`
	Class        string        `json:"class,omitempty"`
	Result       string        `json:"result,omitempty"`
	HostDraining bool          `json:"on,omitempty"`
	Ready        []string      `json:"ready,omitempty"`
	Draining     []string      `json:"draining,omitempty"`
	Submission   string        `json:"submission,omitempty"`
	Count        int           `json:"count,omitempty"`
	Within       time.Duration `json:"within,omitempty"`
	Took         time.Duration `json:"took,omitempty"` // of an outcome, by the placer's clock
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

// Read reads JSON lines.
func Read(r io.Reader) ([]Event, error) {
	var out []Event
	dec := json.NewDecoder(bufio.NewReader(r))
	for n := 1; ; n++ {
		var e Event
		switch err := dec.Decode(&e); {
		case err == io.EOF:
			return out, nil
		case err != nil:
			return nil, fmt.Errorf("event %d: %w", n, err)
		}
		out = append(out, e)
	}
}
