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

func TestServerStreamsOutcomesAgain(t *testing.T) {
	_, address := startPlacer(t, "")
	resp, out := submit(t, address, "", webSpec(20))
	if resp.StatusCode != 200 || len(out) != 20 || resp.Header.Get("Content-Type") != "application/x-ndjson" {
		t.Fatalf("%s with %d outcomes", resp.Status, len(out))
	}
	again := send(t, newRequest(t, http.MethodGet, address, resp.Header.Get("Location"), nil))
	if got := readOutcomes(t, again.Body); len(got) != 20 || got[0] != out[0] {
		t.Fatalf("read again: %d outcomes", len(got))
	}
}

// A client that does not read holds a bounded buffer; the placer goes on, others are served, and once it reads it gets
// every outcome.
func TestServerBoundsSlowReader(t *testing.T) {
	cluster, address := startPlacer(t, "(limits (buffer 8192))")
	c := dial(t, address).(*net.TCPConn)
	if err := c.SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	const n = 1000 // their lines are more than the buffers of a reader that does not read hold
	body := strings.Replace(webSpec(n), "web:", strings.Repeat("w", 120)+":", 1)
	write(t, c, "POST /v1/submissions HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	deadline := time.Now().Add(15 * time.Second)
	for cluster.Placer(0).Status().Outcomes["placed"] < n {
		if time.Now().After(deadline) {
			t.Fatalf("only %v while a client does not read", cluster.Placer(0).Status().Outcomes)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if resp, out := submit(t, address, "", webSpec(3)); resp.StatusCode != 200 || len(out) != 3 {
		t.Fatalf("another client: %s with %d outcomes", resp.Status, len(out))
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if got := readOutcomes(t, resp.Body); len(got) != n {
		t.Fatalf("%d outcomes of %d", len(got), n)
	}
}

// A client that disconnects in the middle of its stream does not end what it submitted.
func TestServerKeepsTasksOfDisconnectedClient(t *testing.T) {
	cluster, address := startPlacer(t, "")
	c := dial(t, address)
	body := webSpec(50)
	write(t, c, "POST /v1/submissions HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	buf := make([]byte, 10)
	if _, err := io.ReadFull(c, buf); err != nil {
		t.Fatal(err)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(10 * time.Second)
	for cluster.Placer(0).Status().TasksPlaced < 50 {
		if time.Now().After(deadline) {
			t.Fatalf("%+v", cluster.Placer(0).Status())
		}
		time.Sleep(10 * time.Millisecond)
	}
}
