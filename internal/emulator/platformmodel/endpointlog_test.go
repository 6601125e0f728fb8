package platformmodel

import (
	"strings"
	"testing"
	"time"

	"forkhead/internal/protocol/platform"
)

// subscribe opens a stream after an event and returns what comes at once.
func subscribe(l *EndpointLog, conn ConnID, last string) string {
	l.ConnectionOpened(testStart, conn, 0)
	return sentText(l.Received(testStart, conn, []byte("GET /changes HTTP/1.1\r\nHost: x\r\nLast-Event-ID: "+last+"\r\n\r\n")))
}

func sentText(actions []Action) string {
	var all strings.Builder
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			all.Write(s.Data)
		}
	}
	return all.String()
}

// A stream has the events after the one that it asks for, then those that are published, and a comment each second.
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
			t.Errorf("after %q: %q, want %q", last, got, want)
		}
	}
	if got := sentText(l.Publish(testStart, platform.Endpoint{Name: "s-00000002", State: platform.Terminated})); !strings.HasPrefix(got, "id: 3\ndata: {") {
		t.Errorf("published %q", got)
	}
	if at := l.Next(); at != testStart+time.Second || sentText(l.Step(at)) != ":\n\n" || l.Next() != at+time.Second {
		t.Errorf("the next comment is due at %v", at)
	}
}

// Whoever asks after an event that is not kept has a snapshot, without hosts that are gone.
func TestEndpointLogSendsSnapshotInsteadOfDroppedEvents(t *testing.T) {
	l := NewEndpointLog(testStart)
	for range maxLoggedEvents {
		l.Publish(testStart, platform.Endpoint{Name: "s-00000001", State: platform.InService}, platform.Endpoint{Name: "s-00000002", State: platform.Terminated})
	}
	if got := subscribe(l, 1, "0"); strings.Count(got, "id: ") != 1 || !strings.Contains(got, `"whole":true`) || strings.Contains(got, "s-00000002") {
		t.Errorf("%.300q", got)
	}
}

// What asks for something else is refused.
func TestEndpointLogRefusesInvalidRequests(t *testing.T) {
	for request, want := range map[string]string{"GET /x HTTP/1.1\r\nHost: x\r\n\r\n": "404", "nonsense\r\n\r\n": "400"} {
		l := NewEndpointLog(testStart)
		l.ConnectionOpened(testStart, 1, 0)
		actions := l.Received(testStart, 1, []byte(request))
		if got := sentText(actions); !strings.HasPrefix(got, "HTTP/1.1 "+want) || len(actions) != 2 {
			t.Errorf("%q: %q", request, got)
		}
	}
}

// A placer that asks for the first time since the numbers began again gets the new sequence, even if that has come as far
// as the old one; when it asks again it gets what is new.
func TestEndpointLogSendsNewSequenceAfterRestart(t *testing.T) {
	l := NewEndpointLog(testStart)
	host := platform.Endpoint{Name: "s-00000001", State: platform.InService}
	l.Publish(testStart, host)
	subscribe(l, 1, "1")
	l.RestartSequence(testStart)
	l.Publish(testStart, host)
	for _, want := range []int{2, 0} {
		if got := subscribe(l, 2, "2"); strings.Count(got, "id: ") != want {
			t.Errorf("%q, want %d events", got, want)
		}
	}
}
