package placer_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"forkhead/internal/scheduler/core"
	"forkhead/internal/verify/scenario"
	"forkhead/internal/verify/testcluster"
)

// startPlacer starts one placer with four hosts and returns the cluster and the address of the placer's HTTP server.
// The parameter limits is a (limits ...) clause of the settings, or empty.
func startPlacer(t testing.TB, limits string) (*testcluster.Cluster, string) {
	t.Helper()
	//nolint:misspell // keys of scenarios keep their spelling
	text := `(badday (settings (forkhead (placer (zone a))
	  (kind k (cores 64) (memory 256GiB)) (class web (effect safe) (wait 5s) (patience 30s)) (bound running) ` + limits + `))
	  (hosts 4 (kind k) (zone a) (racks 2)) (catalogue (lag 0ms)) (host (start 1ms) (look 100us) (line 5000) (starts 64)))`
	script, err := scenario.Read("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	cluster, err := testcluster.Start(script, testcluster.Options{Log: zerolog.Nop()})
	if err != nil {
		t.Fatalf("testcluster.Start: got error %v, want nil", err)
	}
	t.Cleanup(cluster.Stop)
	if err := cluster.WaitReady(10 * time.Second); err != nil {
		t.Fatalf("WaitReady(10s): got error %v, want nil", err)
	}
	return cluster, cluster.Settings.Placers[0].HTTPAddress
}

// webSpec returns a specification of one service, web, which the hosts of startPlacer have room for.
func webSpec(replicas int) string {
	return fmt.Sprintf("services: {web: {deploy: {replicas: %d, resources: {reservations: {cpus: '0.01', memory: 1m}}}}}", replicas)
}

// submit submits a specification of one YAML file, with an Idempotency-Key unless key is "". If the status is 200, it
// returns the outcomes.
func submit(t testing.TB, address, key, spec string) (*http.Response, []core.Outcome) {
	t.Helper()
	resp := send(t, newSubmission(t, address, key, "application/yaml", spec))
	if resp.StatusCode != http.StatusOK {
		return resp, nil
	}
	return resp, readOutcomes(t, resp.Body)
}

// newSubmission returns a request to submit a body, with an Idempotency-Key unless key is "".
func newSubmission(t testing.TB, address, key, contentType, body string) *http.Request {
	t.Helper()
	req := newRequest(t, http.MethodPost, address, "/v1/submissions", strings.NewReader(body))
	req.Header.Set("Content-Type", contentType)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return req
}

// newRequest returns a request that is canceled at the end of the test.
func newRequest(t testing.TB, method, address, path string, body io.Reader) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, body)
	if err != nil {
		t.Fatal(err)
	}
	return req
}

// send sends a request. The response's body is closed at the end of the test.
func send(t testing.TB, req *http.Request) *http.Response {
	t.Helper()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatalf("%s %s: got error %v, want nil", req.Method, req.URL, err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// readOutcomes reads an outcome stream to its end.
func readOutcomes(t testing.TB, stream io.Reader) []core.Outcome {
	t.Helper()
	var outcomes []core.Outcome
	decoder := json.NewDecoder(stream)
	for {
		var o core.Outcome
		err := decoder.Decode(&o)
		if errors.Is(err, io.EOF) {
			return outcomes
		}
		if err != nil {
			t.Fatalf("read outcome %d of the stream: got error %v, want an outcome or EOF", len(outcomes), err)
		}
		outcomes = append(outcomes, o)
	}
}

// dial opens a connection, for requests that http.Client cannot send. It is closed at the end of the test.
func dial(t testing.TB, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return c
}

// write writes a formatted text to a connection.
func write(t testing.TB, c net.Conn, format string, args ...any) {
	t.Helper()
	if _, err := fmt.Fprintf(c, format, args...); err != nil {
		t.Fatal(err)
	}
}
