package noderules

import (
	"bytes"
	"fmt"
	"time"

	"forkhead/internal/emulator/platformmodel"
	"forkhead/internal/protocol/platform"
)

// direction says who sent a message, and where it was observed.
type direction uint8

const (
	noMessage       direction = iota // the entry is a change of a connection or a party
	sentByParty                      // a host or owner sent the message, before the effect of faults
	writtenByParty                   // the message was written to the placer's connection
	readFromPlacer                   // the message was read from the placer's connection
	receivedByParty                  // the host or owner received the message, after the effect of faults
)

// entry is a record of the journal with its message, if it has one.
type entry struct {
	*platformmodel.Record
	direction direction
	message   platform.Message
}

// stream identifies one direction of a connection.
type stream struct {
	conn  platformmodel.ConnID
	event platformmodel.RecordEvent
}

// readMessages decodes the messages between placers and the other parties. Each message of a party occurs when it is
// sent and when it is written, and each message of a placer when it is read and when it is received. Lines that cannot
// be decoded are left out.
func readMessages(journal *platformmodel.Journal) []entry {
	var entries []entry
	splitters := map[stream]*platform.LineSplitter{}
	for i := range journal.Records {
		r := &journal.Records[i]
		from := directionOf(r)
		if from == noMessage {
			entries = append(entries, entry{Record: r})
			continue
		}
		key := stream{r.Conn, r.Event}
		if splitters[key] == nil {
			splitters[key] = &platform.LineSplitter{}
		}
		_ = splitters[key].Feed(r.Data, func(line []byte) error {
			if m, err := platform.Decode(line); err == nil {
				entries = append(entries, entry{r, from, m})
			}
			return nil
		})
	}
	return entries
}

func directionOf(r *platformmodel.Record) direction {
	switch {
	case r.Party.Kind == platformmodel.EndpointLogParty:
		return noMessage
	case r.Event == platformmodel.RecordSent:
		return sentByParty
	case r.Event == platformmodel.RecordWritten:
		return writtenByParty
	case r.Event == platformmodel.RecordRead:
		return readFromPlacer
	case r.Event == platformmodel.RecordReceived:
		return receivedByParty
	}
	return noMessage
}

// Timeline returns the messages about a request, the ends of their connections, and the faults and restarts meanwhile, one
// line each. Times count from begin.
func Timeline(journal *platformmodel.Journal, ref string, begin time.Duration) []string {
	var lines []string
	concerned := map[platformmodel.ConnID]bool{} // connections with a message about the request
	for i := range journal.Records {
		r := &journal.Records[i]
		at := fmt.Sprintf("%8.3f", (r.At - begin).Seconds())
		switch r.Event {
		case platformmodel.RecordFaultBegan:
			lines = append(lines, fmt.Sprintf("%s %v: fault %q begins", at, r.Party, r.Fault))
		case platformmodel.RecordFaultEnded:
			lines = append(lines, fmt.Sprintf("%s %v: fault %q ends", at, r.Party, r.Fault))
		case platformmodel.RecordHostUp, platformmodel.RecordHostDown:
			lines = append(lines, fmt.Sprintf("%s %v: up %v", at, r.Party, r.Event == platformmodel.RecordHostUp))
		case platformmodel.RecordPlacerStarted, platformmodel.RecordPlacerStopped:
			lines = append(lines, fmt.Sprintf("%s placer %d: up %v", at, r.Placer, r.Event == platformmodel.RecordPlacerStarted))
		case platformmodel.RecordClosedByPlacer, platformmodel.RecordClosedByEmulator:
			if concerned[r.Conn] {
				byPlacer := r.Event == platformmodel.RecordClosedByPlacer
				lines = append(lines, fmt.Sprintf("%s %v: connection %d ends, closed by the placer %v", at, r.Party, r.Conn, byPlacer))
			}
		case platformmodel.RecordSent, platformmodel.RecordReceived:
			if bytes.Contains(r.Data, []byte(ref)) {
				concerned[r.Conn] = true
				verb := "sends"
				if r.Event == platformmodel.RecordReceived {
					verb = "receives"
				}
				lines = append(lines, fmt.Sprintf("%s %v %s on connection %d: %.200s", at, r.Party, verb, r.Conn, bytes.TrimSpace(r.Data)))
			}
		}
	}
	return lines
}
