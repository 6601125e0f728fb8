package placer_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"forkhead/internal/scheduler/core"
	"forkhead/internal/server/placer"
	"forkhead/internal/verify/scenario"
	"forkhead/internal/verify/testcluster"
)

// serve starts one placer with four hosts and returns it with its front's address.
func serve(t testing.TB, limits string) (*testcluster.Scene, string) {
	t.Helper()
	text := `(badday (settings (forkhead (placer (zone a))
	  (kind k (cores 64) (memory 256GiB)) (class web (effect safe) (wait 5s) (patience 30s)) (bound running) ` + limits + `))
	  (hosts 4 (kind k) (zone a) (racks 2)) (catalogue (lag 0ms)) (host (start 1ms) (look 100us) (line 5000) (starts 64)))`
	s, err := scenario.Read("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	sc, err := testcluster.Start(s, nil, zerolog.Nop(), nil, false)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sc.Stop)
	if err := sc.Ready(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	return sc, sc.Settings.Placers[0].HTTP
}

func web(replicas int) string {
	return fmt.Sprintf("services: {web: {deploy: {replicas: %d, resources: {reservations: {cpus: '0.01', memory: 1m}}}}}", replicas)
}

func post(t testing.TB, addr, key, contentType, body string) (*http.Response, []core.Outcome) {
	t.Helper()
	req, err := http.NewRequest("POST", "http://"+addr+"/v1/submissions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Content-Type", contentType)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var out []core.Outcome
	if resp.StatusCode == 200 {
		out = lines(t, resp.Body)
	}
	return resp, out
}

func lines(t testing.TB, r io.Reader) (out []core.Outcome) {
	t.Helper()
	dec := json.NewDecoder(r)
	for {
		var o core.Outcome
		if err := dec.Decode(&o); err == io.EOF {
			return out
		} else if err != nil {
			t.Fatal(err)
		}
		out = append(out, o)
	}
}

func TestSubmitAndReadAgain(t *testing.T) {
	_, addr := serve(t, "")
	resp, out := post(t, addr, "", "application/yaml", web(20))
	if resp.StatusCode != 200 || len(out) != 20 || resp.Header.Get("Content-Type") != "application/x-ndjson" {
		t.Fatalf("%s with %d outcomes", resp.Status, len(out))
	}
	again, err := http.Get("http://" + addr + resp.Header.Get("Location"))
	if err != nil {
		t.Fatal(err)
	}
	defer again.Body.Close()
	if got := lines(t, again.Body); len(got) != 20 || got[0] != out[0] {
		t.Fatalf("read again: %d outcomes", len(got))
	}
}

// The same submission comes many times at once: every client gets the same outcomes, and each
// task is offered once.
func TestSameSubmissionAtOnce(t *testing.T) {
	sc, addr := serve(t, "")
	var wait sync.WaitGroup
	for range 10 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			if resp, out := post(t, addr, "k", "application/yaml", web(5)); resp.StatusCode != 200 || len(out) != 5 {
				t.Errorf("%s with %d outcomes", resp.Status, len(out))
			}
		}()
	}
	wait.Wait()
	if st := sc.Placer(0).Status(); st.Offers != 5 || st.Submissions != 1 {
		t.Fatalf("%d offers for %d submissions", st.Offers, st.Submissions)
	}
	if resp, _ := post(t, addr, "k", "application/yaml", web(6)); resp.StatusCode != 422 {
		t.Fatalf("another body under the key: %s", resp.Status)
	}
}

func TestProblems(t *testing.T) {
	_, addr := serve(t, "(limits (body 4096) (per-submit 50))")
	for name, c := range map[string]struct {
		contentType, key, body string
		status                 int
		want                   string
	}{
		"unreadable":     {"application/yaml", "", "a: [", 422, `"line":1`},
		"unknown":        {"application/yaml", "", "services:\n  a: {imgae: x}", 422, `"file":"compose.yaml","line":2,"column":7`},
		"too many tasks": {"application/yaml", "", web(51), 413, "at most 50"},
		"too long":       {"application/yaml", "", strings.Repeat("#", 5000), 413, "4096"},
		"media type":     {"image/png", "", "x", 415, placer.EnvelopeMediaType},
		"bad envelope":   {placer.EnvelopeMediaType, "", `{"fils":[]}`, 400, "unknown field"},
		"empty envelope": {placer.EnvelopeMediaType, "", `{}`, 422, "there is nothing in it"},
		"long key":       {"application/yaml", strings.Repeat("k", 300), web(1), 400, "at most 200"},
	} {
		req, _ := http.NewRequest("POST", "http://"+addr+"/v1/submissions", strings.NewReader(c.body))
		req.Header.Set("Content-Type", c.contentType)
		if c.key != "" {
			req.Header.Set("Idempotency-Key", c.key)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != c.status || !bytes.Contains(body, []byte(c.want)) || resp.Header.Get("Content-Type") != "application/problem+json" {
			t.Errorf("%s: %s %s", name, resp.Status, body)
		}
	}
	for _, c := range []struct {
		method, path string
		status       int
	}{
		{"GET", "/v1/submissions", 405}, {"PUT", "/v1/projects/x", 405}, {"GET", "/", 404}, {"GET", "/v1/submissions/none", 404},
		{"DELETE", "/v1/projects/none", 404}, {"GET", "/v1/status", 200},
	} {
		req, _ := http.NewRequest(c.method, "http://"+addr+c.path, nil)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != c.status {
			t.Errorf("%s %s: %s", c.method, c.path, resp.Status)
		}
	}
}

// raw opens a connection to write whatever.
func raw(t testing.TB, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// Requests sent ahead on one connection are answered one after another, in order.
func TestPipelining(t *testing.T) {
	_, addr := serve(t, "")
	c := raw(t, addr)
	body := web(2)
	submit := fmt.Sprintf("POST /v1/submissions HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	status := "GET /v1/status HTTP/1.1\r\nHost: a\r\n\r\n"
	fmt.Fprint(c, submit+status+submit+"GET /none HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	r := bufio.NewReader(c)
	for i, want := range []int{200, 200, 200, 404} {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != want {
			t.Fatalf("response %d: %s, %v", i, resp.Status, err)
		}
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Fatalf("the connection is not closed: %v", err)
	}
}

func TestContinue(t *testing.T) {
	_, addr := serve(t, "")
	c := raw(t, addr)
	body := web(1)
	fmt.Fprintf(c, "POST /v1/submissions HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", len(body))
	r := bufio.NewReader(c)
	if line, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 100 ") {
		t.Fatalf("%q, %v", line, err)
	}
	_, _ = r.ReadString('\n')
	fmt.Fprint(c, body)
	if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != 200 {
		t.Fatalf("%v, %v", resp, err)
	}
}

// A request that is refused by the parser is answered and the connection closed; a broken frame
// of another protocol as well.
func TestBadRequests(t *testing.T) {
	_, addr := serve(t, "")
	for _, text := range []string{"GET / HTTP/1.1\nHost: a\n\n", "\x16\x03\x01\x02\x00\x01\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"} {
		c := raw(t, addr)
		fmt.Fprint(c, text)
		all, err := io.ReadAll(c)
		if err != nil || !bytes.HasPrefix(all, []byte("HTTP/1.1 400 ")) || !bytes.Contains(all, []byte("problem+json")) {
			t.Errorf("%q: %q, %v", text, all, err)
		}
	}
}

// A reader that does not read holds a bounded buffer; the placer goes on, others are served, and
// once it reads it gets every outcome.
func TestSlowReader(t *testing.T) {
	sc, addr := serve(t, "(limits (buffer 8192))")
	c := raw(t, addr).(*net.TCPConn)
	_ = c.SetReadBuffer(4096)
	const n = 1000 // their lines are more than the buffers of a reader that does not read hold
	body := strings.Replace(web(n), "web:", strings.Repeat("w", 120)+":", 1)
	fmt.Fprintf(c, "POST /v1/submissions HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	deadline := time.Now().Add(15 * time.Second)
	for sc.Placer(0).Status().Outcomes["placed"] < n {
		if time.Now().After(deadline) {
			t.Fatalf("only %v while a client does not read", sc.Placer(0).Status().Outcomes)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if resp, out := post(t, addr, "", "application/yaml", web(3)); resp.StatusCode != 200 || len(out) != 3 {
		t.Fatalf("another client: %s with %d outcomes", resp.Status, len(out))
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if got := lines(t, resp.Body); len(got) != n {
		t.Fatalf("%d outcomes of %d", len(got), n)
	}
}

// A client that goes away in the middle of its stream does not end what it submitted.
func TestClientLeaves(t *testing.T) {
	sc, addr := serve(t, "")
	c := raw(t, addr)
	body := web(50)
	fmt.Fprintf(c, "POST /v1/submissions HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	buf := make([]byte, 10)
	if _, err := io.ReadFull(c, buf); err != nil {
		t.Fatal(err)
	}
	c.Close()
	deadline := time.Now().Add(10 * time.Second)
	for sc.Placer(0).Status().TasksPlaced < 50 {
		if time.Now().After(deadline) {
			t.Fatalf("%+v", sc.Placer(0).Status())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// What is to be placed whole and cannot be is turned away with the conflict, and no task of it is
// offered; what can be is placed, and without whole all goes as far as it goes.
func TestWhole(t *testing.T) {
	sc, addr := serve(t, "")
	body := "x-forkhead: {whole: true, patience: 1s, wait: 500ms}\nservices: {a: {}, w: {x-forkhead: {spread: {rack: 1}}, deploy: {replicas: 3}}}"
	req, _ := http.NewRequest("POST", "http://"+addr+"/v1/submissions", strings.NewReader(body))
	req.Header.Set("Content-Type", "application/yaml")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	var p placer.Problem
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil || resp.StatusCode != 422 || p.Type != "urn:forkhead:impossible" {
		t.Fatalf("%s: %+v, %v", resp.Status, p, err)
	}
	resp.Body.Close()
	if len(p.Conflict) != 2 || !strings.Contains(p.Conflict[1], "compose.yaml:2:") || !strings.Contains(p.Conflict[1], "at most 1 of w in one rack") {
		t.Fatalf("conflict: %q", p.Conflict)
	}
	if n := sc.Placer(0).Status().PlacementRequests; n != 0 {
		t.Fatalf("%d asks", n)
	}
	if _, out := post(t, addr, "", "application/yaml", strings.Replace(body, "replicas: 3", "replicas: 2", 1)); len(out) != 3 || out[0].Outcome != core.OutcomePlaced {
		t.Fatalf("%+v", out)
	}
	if _, out := post(t, addr, "", "application/yaml", strings.Replace(body, "whole: true", "whole: false", 1)); len(out) != 4 {
		t.Fatalf("%+v", out)
	}
}

func TestTooManyConnections(t *testing.T) {
	_, addr := serve(t, "(limits (connections 2))")
	for range 2 {
		raw(t, addr)
	}
	time.Sleep(50 * time.Millisecond)
	c := raw(t, addr)
	fmt.Fprint(c, "GET /v1/status HTTP/1.1\r\nHost: a\r\n\r\n")
	all, _ := io.ReadAll(c)
	if !bytes.HasPrefix(all, []byte("HTTP/1.1 503 ")) || !bytes.Contains(bytes.ToLower(all), []byte("retry-after: 1")) {
		t.Fatalf("%q", all)
	}
}

// A graceful stop lets what is under way end, and takes nothing new.
func TestStop(t *testing.T) {
	sc, addr := serve(t, "")
	done := make(chan int)
	go func() {
		req, _ := http.NewRequestWithContext(context.Background(), "POST", "http://"+addr+"/v1/submissions", strings.NewReader(web(200)))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			done <- -1
			return
		}
		defer resp.Body.Close()
		done <- len(lines(t, resp.Body))
	}()
	for sc.Placer(0).Status().Offers == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	sc.Placer(0).Shutdown(ctx)
	if n := <-done; n != 200 {
		t.Fatalf("%d outcomes of 200", n)
	}
	if _, err := net.Dial("tcp", addr); err == nil {
		t.Fatal("the front still listens")
	}
}
