package platformmodel

import (
	"fmt"
	"time"
)

// PartyKind says what a party is.
type PartyKind uint8

// The kinds of parties.
const (
	HostParty PartyKind = iota
	OwnerParty
	EndpointLogParty
)

// PartyID names a party of an Emulator.
type PartyID struct {
	Kind   PartyKind
	Number int // place in the configuration
}

// String returns the kind and the number.
func (p PartyID) String() string {
	return fmt.Sprintf("%s %d", [...]string{"host", "owner", "endpoint log"}[p.Kind], p.Number)
}

// RecordEvent says what a Record is about.
type RecordEvent uint8

// What is recorded. What a party sends and what is written differ by the faults in force; so do what arrives and what a
// party receives.
const (
	RecordSent             RecordEvent = iota // a party sent a message
	RecordWritten                             // bytes went out on the connection
	RecordRead                                // bytes came in on the connection
	RecordReceived                            // a party received bytes
	RecordOpened                              // a connection was made
	RecordClosedByPlacer                      // the placer's side has ended a connection, or it was never made
	RecordClosedByEmulator                    // the emulator's side has closed or reset a connection
	RecordHostUp                              // an incarnation of a host has begun
	RecordHostDown                            // an incarnation of a host has ended
	RecordFaultBegan                          // of the Fault, at each of its targets
	RecordFaultEnded
	RecordPlacerStarted
	RecordPlacerStopped
)

// Record is one thing that has happened to a party.
type Record struct {
	At     time.Duration
	Event  RecordEvent
	Party  PartyID
	Conn   ConnID // 0: it is about no connection
	Placer int    // at the other end of the connection, or that has started or stopped
	Fault  FaultType
	Data   []byte
}

// Journal is the record of a run, in the order of events. It holds at most its bound; further records are only counted.
type Journal struct {
	Records    []Record
	Dropped    int
	maxRecords int
}

func (j *Journal) add(r Record) {
	if len(j.Records) >= j.maxRecords {
		j.Dropped++
		return
	}
	j.Records = append(j.Records, r)
}
