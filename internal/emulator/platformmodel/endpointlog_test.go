package platformmodel

import (
	"strings"
	"testing"
	"time"

	"forkhead/internal/protocol/platform"
)

// subscribe opens a stream that requests the events after number last, and returns the immediate response.
func subscribe(l *EndpointLog, conn ConnID, last string) string {
	l.ConnectionOpened(testStart, conn, 0)
	return sentText(l.Received(testStart, conn, []byte("GET /changes HTTP/1.1\r\nHost: x\r\nLast-Event-ID: "+last+"\r\n\r\n")))
}

// sentText returns the data of all Send actions as one text.
func sentText(actions []Action) string {
	var all strings.Builder
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			all.Write(s.Data)
		}
	}
	return all.String()
}

// A stream starts with the retained events after its Last-Event-ID. Published events and a comment each second follow.
// If the Last-Event-ID is missing or greater than the number of the latest event, the stream starts with all events.
func TestEndpointLogStreamsEventsAfterLastEventID(t *testing.T) {
	l := NewEndpointLog(testStart, platform.Endpoint{Name: "s-00000001", State: platform.InService})
	l.Publish(testStart, platform.Endpoint{Name: "s-00000002", State: platform.InService})
	for last, want := range map[string]string{"0": "id: 1 id: 2", "1": "id: 2", "2": "", "": "id: 1 id: 2", "7": "id: 1 id: 2"} {
		var ids []string
		for line := range strings.Lines(subscribe(l, 1, last)) {
			if strings.HasPrefix(line, "id: ") {
				ids = append(ids, strings.TrimSpace(line))
			}
		}
		if got := strings.Join(ids, " "); got != want {
			t.Errorf("subscription with Last-Event-ID %q: got events %q, want %q", last, got, want)
		}
	}
	if got := sentText(l.Publish(testStart, platform.Endpoint{Name: "s-00000002", State: platform.Terminated})); !strings.HasPrefix(got, "id: 3\ndata: {") {
		t.Errorf("Publish of a terminated endpoint: sent %q, want a text that begins with %q", got, "id: 3\ndata: {")
	}
	at := l.Next()
	text, following := sentText(l.Step(at)), l.Next()
	if at != testStart+time.Second || text != ":\n\n" || following != at+time.Second {
		t.Errorf("step at %v sent %q and the following step is at %v, want a step at %v that sends %q and one a second later",
			at, text, following, testStart+time.Second, ":\n\n")
	}
}

// A subscription after an event that is no longer retained is answered with a snapshot, which leaves out terminated
// hosts.
func TestEndpointLogSendsSnapshotInsteadOfDroppedEvents(t *testing.T) {
	l := NewEndpointLog(testStart)
	for range maxLoggedEvents {
		l.Publish(testStart, platform.Endpoint{Name: "s-00000001", State: platform.InService}, platform.Endpoint{Name: "s-00000002", State: platform.Terminated})
	}
	if got := subscribe(l, 1, "0"); strings.Count(got, "id: ") != 1 || !strings.Contains(got, `"whole":true`) || strings.Contains(got, "s-00000002") {
		t.Errorf("subscription after event 0: got %.300q, want one snapshot without s-00000002", got)
	}
}

// A request for another path, or a request that is not HTTP, is answered with an error status and a close.
func TestEndpointLogRefusesInvalidRequests(t *testing.T) {
	for request, want := range map[string]string{"GET /x HTTP/1.1\r\nHost: x\r\n\r\n": "404", "nonsense\r\n\r\n": "400"} {
		l := NewEndpointLog(testStart)
		l.ConnectionOpened(testStart, 1, 0)
		actions := l.Received(testStart, 1, []byte(request))
		if got := sentText(actions); !strings.HasPrefix(got, "HTTP/1.1 "+want) || len(actions) != 2 {
			t.Errorf("Received(%q): got %d actions that send %q, want status %s and a close", request, len(actions), got, want)
		}
	}
}

// The first subscription of a placer after a restart of the sequence gets the whole new sequence, even if the new
// sequence has reached the number up to which the placer knows the old one. The next subscription gets only newer
// events.
func TestEndpointLogSendsNewSequenceAfterRestart(t *testing.T) {
	l := NewEndpointLog(testStart)
	host := platform.Endpoint{Name: "s-00000001", State: platform.InService}
	l.Publish(testStart, host)
	subscribe(l, 1, "1")
	l.RestartSequence(testStart)
	l.Publish(testStart, host)
	for i, want := range []int{2, 0} {
		if got := subscribe(l, 2, "2"); strings.Count(got, "id: ") != want {
			t.Errorf("subscription %d after the restart, after event 2: got %q, want %d events", i+1, got, want)
		}
	}
}
