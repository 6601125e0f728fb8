package client

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"forkhead/internal/scheduler/core"
	"forkhead/internal/server/placer"
)

// write writes a part of a response. It may be called on a server's goroutine, so it does not end the test.
func write(t *testing.T, w io.Writer, text string) {
	t.Helper()
	if _, err := io.WriteString(w, text); err != nil {
		t.Errorf("write %q to the response: got error %v, want nil", text, err)
	}
}

// serve starts an HTTP server that ends with the test, and returns its HOST:PORT.
func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// After a 503 response with Retry-After and a stream that broke in the middle of a line, the submission is sent again
// under the same key, and each outcome is delivered once.
func TestClientResumesBrokenStream(t *testing.T) {
	var keys []string
	calls := 0
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		keys = append(keys, r.Header.Get("Idempotency-Key"))
		calls++
		if calls == 1 {
			w.Header().Set("Retry-After", "0")
			w.Header().Set("Content-Type", "application/problem+json")
			w.WriteHeader(http.StatusServiceUnavailable)
			write(t, w, `{"title":"Full","status":503}`)
			return
		}
		w.Header().Set("Location", "/v1/submissions/s-1")
		write(t, w, `{"service":"web","replica":1,"outcome":"placed"}`+"\n")
		if calls == 2 {
			write(t, w, `{"service":"web","repl`)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		write(t, w, `{"service":"web","replica":2,"outcome":"refused"}`+"\n")
	})
	broken := ""
	c := Client{Address: address, MaxSends: 5, Backoff: time.Millisecond, OnBrokenStream: func(id string) { broken = id }}
	var got []string
	err := c.Submit(t.Context(), &placer.Envelope{}, func(o core.Outcome) {
		got = append(got, fmt.Sprintf("%d %s", o.Replica, o.Outcome))
	})
	if err != nil || strings.Join(got, ",") != "1 placed,2 refused" || broken != "s-1" {
		t.Fatalf("Submit delivered %v, OnBrokenStream(%q), error %v, want [1 placed 2 refused], OnBrokenStream(\"s-1\"), no error",
			got, broken, err)
	}
	if calls != 3 || keys[0] == "" || keys[0] != keys[1] || keys[1] != keys[2] {
		t.Fatalf("server got %d requests with keys %q, want 3 with the same key", calls, keys)
	}
}

// A submission that the placer rejects with a status that does not allow a retry is sent once. Submit returns the
// rejection with the errors of the specification.
func TestClientReturnsFinalRejection(t *testing.T) {
	calls := 0
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		calls++
		w.WriteHeader(http.StatusUnprocessableEntity)
		write(t, w, `{"title":"bad","status":422,"detail":"x","errors":[{"file":"a","line":3,"detail":"y"}]}`)
	})
	c := Client{Address: address, MaxSends: 5}
	err := c.Submit(t.Context(), &placer.Envelope{}, func(core.Outcome) {})
	var rejection *RejectionError
	if !errors.As(err, &rejection) || rejection.Retryable() || len(rejection.Errors) != 1 || rejection.Errors[0].Line != 3 || calls != 1 {
		t.Fatalf("Submit = %#v after %d requests, want a RejectionError that is not retryable, with 1 error in line 3, after 1 request",
			err, calls)
	}
}
