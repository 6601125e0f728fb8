package placer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// The outcomes of a complete submission can be read again at its Location.
func TestServerStreamsOutcomesAgain(t *testing.T) {
	_, address := startPlacer(t, "")
	resp, out := submit(t, address, "", webSpec(20))
	if resp.StatusCode != 200 || len(out) != 20 || resp.Header.Get("Content-Type") != "application/x-ndjson" {
		t.Fatalf("submit = %s, Content-Type %q, %d outcomes, want 200, application/x-ndjson, 20",
			resp.Status, resp.Header.Get("Content-Type"), len(out))
	}
	again := send(t, newRequest(t, http.MethodGet, address, resp.Header.Get("Location"), nil))
	if got := readOutcomes(t, again.Body); len(got) != 20 || got[0] != out[0] {
		t.Fatalf("GET of the Location = %d outcomes %+v, want 20 that start with %+v", len(got), got, out[0])
	}
}

// For a client that does not read, the placer buffers a limited number of outcomes. It places the client's tasks and
// serves other clients meanwhile, and the client receives all outcomes once it reads.
func TestServerLimitsBufferOfSlowReader(t *testing.T) {
	cluster, address := startPlacer(t, "(limits (buffer 8192))")
	c := dial(t, address).(*net.TCPConn)
	if err := c.SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	const n = 1000 // the lines of this many outcomes exceed all buffers of the connection
	body := strings.Replace(webSpec(n), "web:", strings.Repeat("w", 120)+":", 1)
	write(t, c, "POST /v1/submissions HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	deadline := time.Now().Add(15 * time.Second)
	for cluster.Placer(0).Status().Outcomes["placed"] < n {
		if time.Now().After(deadline) {
			t.Fatalf("outcomes after 15s with a client that does not read = %v, want %d placed", cluster.Placer(0).Status().Outcomes, n)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if resp, out := submit(t, address, "", webSpec(3)); resp.StatusCode != 200 || len(out) != 3 {
		t.Fatalf("submit of another client while the first does not read = %s, %d outcomes, want 200, 3", resp.Status, len(out))
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("read the response of the slow client: got error %v, want nil", err)
	}
	if got := readOutcomes(t, resp.Body); len(got) != n {
		t.Fatalf("the slow client read %d outcomes, want %d", len(got), n)
	}
}

// The tasks of a client that disconnects in the middle of its outcome stream are still placed.
func TestServerKeepsTasksOfDisconnectedClient(t *testing.T) {
	cluster, address := startPlacer(t, "")
	c := dial(t, address)
	body := webSpec(50)
	write(t, c, "POST /v1/submissions HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	buf := make([]byte, 10)
	if _, err := io.ReadFull(c, buf); err != nil {
		t.Fatalf("read the first 10 bytes of the response: got error %v, want nil", err)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(10 * time.Second)
	for cluster.Placer(0).Status().TasksPlaced < 50 {
		if time.Now().After(deadline) {
			t.Fatalf("status 10s after the client disconnected = %+v, want 50 tasks placed", cluster.Placer(0).Status())
		}
		time.Sleep(10 * time.Millisecond)
	}
}
