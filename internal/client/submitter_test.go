package client

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"forkhead/internal/scheduler/core"
	"forkhead/internal/server/placer"
)

// A stream that breaks in the middle of a line is asked for again under the same key, and each
// outcome is told once.
func TestBrokenStream(t *testing.T) {
	var keys []string
	calls := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		keys = append(keys, r.Header.Get("Idempotency-Key"))
		calls++
		if calls == 1 {
			w.Header().Set("Retry-After", "0")
			w.Header().Set("Content-Type", "application/problem+json")
			w.WriteHeader(503)
			fmt.Fprint(w, `{"title":"Full","status":503}`)
			return
		}
		w.Header().Set("Location", "/v1/submissions/s-1")
		fmt.Fprintln(w, `{"service":"web","replica":1,"outcome":"placed"}`)
		if calls == 2 {
			fmt.Fprint(w, `{"service":"web","repl`)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintln(w, `{"service":"web","replica":2,"outcome":"refused"}`)
	}))
	defer srv.Close()
	broken := ""
	c := Client{Address: strings.TrimPrefix(srv.URL, "http://"), Tries: 5, Pause: time.Millisecond, Broken: func(id string) { broken = id }}
	var got []string
	err := c.Submit(context.Background(), &placer.Envelope{}, func(o core.Outcome) {
		got = append(got, fmt.Sprintf("%d %s", o.Replica, o.Outcome))
	})
	if err != nil || strings.Join(got, ",") != "1 placed,2 refused" || broken != "s-1" {
		t.Fatalf("%v, broken %q, %v", got, broken, err)
	}
	if calls != 3 || keys[0] == "" || keys[0] != keys[1] || keys[1] != keys[2] {
		t.Fatalf("%d calls under keys %q", calls, keys)
	}
}

// A refusal that trying again does not mend is not tried again.
func TestRefusal(t *testing.T) {
	calls := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		w.WriteHeader(422)
		fmt.Fprint(w, `{"title":"bad","status":422,"detail":"x","errors":[{"file":"a","line":3,"detail":"y"}]}`)
	}))
	defer srv.Close()
	c := Client{Address: strings.TrimPrefix(srv.URL, "http://"), Tries: 5}
	err := c.Submit(context.Background(), &placer.Envelope{}, func(core.Outcome) {})
	var r *Refusal
	if !errors.As(err, &r) || r.Busy() || len(r.Errors) != 1 || r.Errors[0].Line != 3 || calls != 1 {
		t.Fatalf("%v after %d calls", err, calls)
	}
}
