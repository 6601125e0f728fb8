package platformmodel

import (
	"fmt"
	"time"
)

// PartyKind is the kind of a party of an Emulator.
type PartyKind uint8

// The kinds of parties.
const (
	HostParty PartyKind = iota
	OwnerParty
	EndpointLogParty
)

// PartyID identifies a party of an Emulator.
type PartyID struct {
	Kind   PartyKind
	Number int // index in the configuration; 0 for the endpoint log
}

// String returns the kind and the number, such as "host 3".
func (p PartyID) String() string {
	return fmt.Sprintf("%s %d", [...]string{"host", "owner", "endpoint log"}[p.Kind], p.Number)
}

// RecordEvent is the type of event of a Record.
type RecordEvent uint8

// The recorded events. Faults in force can make the bytes written to a connection differ from the messages that its
// party sent, and the bytes read from a connection differ from those that its party received.
const (
	RecordSent             RecordEvent = iota // a party sent a message, before the effect of faults
	RecordWritten                             // bytes were written to a connection
	RecordRead                                // bytes were read from a connection
	RecordReceived                            // a party received bytes, after the effect of faults
	RecordOpened                              // a connection was established
	RecordClosedByPlacer                      // the placer has closed a connection, or a Dial has failed
	RecordClosedByEmulator                    // the emulator has closed or reset a connection
	RecordHostUp                              // an incarnation of a host has started; Data is its name in the endpoint list
	RecordHostDown                            // an incarnation of a host has ended
	RecordFaultBegan                          // a fault has begun at a target; one record for each target
	RecordFaultEnded                          // a fault has ended at a target; one record for each target
	RecordPlacerStarted                       // a placer accepts connections
	RecordPlacerStopped                       // a placer has exited
)

// Record is one event at a party or a placer.
type Record struct {
	At     time.Duration
	Event  RecordEvent
	Party  PartyID
	Conn   ConnID // 0: the event concerns no connection
	Placer int    // the placer at the other end of the connection, or the placer that has started or stopped
	Fault  FaultType
	Data   []byte
}

// Journal holds the records of a run in the order of events. Once it has reached its limit, further records are only
// counted.
type Journal struct {
	Records    []Record
	Dropped    int // number of records beyond the limit, which are not in Records
	maxRecords int
}

func (j *Journal) add(r Record) {
	if len(j.Records) >= j.maxRecords {
		j.Dropped++
		return
	}
	j.Records = append(j.Records, r)
}
