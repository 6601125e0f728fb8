package listwatch_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"forkhead"
	consulemulator "forkhead/internal/emulator/consul"
	"forkhead/internal/protocol/consul"
	"forkhead/internal/server/clock"
	"forkhead/internal/server/listwatch"
)

// registration returns the Consul registration of a host with the given free cores.
func registration(name string, free float64) consul.Registration {
	r, err := consul.NewRegistration(&consul.Host{
		Name: name, Address: "127.0.0.1:9", Kind: "k", Zone: "z", Rack: "r", FreeCores: free, Started: time.Hour,
	}, "hosts")
	if err != nil {
		panic(err)
	}
	return r
}

// startWatch starts a watch that ends with the test. The channels receive each list, and the error that ended the
// watch.
func startWatch(t *testing.T, address string, maxWait time.Duration) (lists chan []consul.Host, failed chan error) {
	t.Helper()
	lists, failed = make(chan []consul.Host, 100), make(chan error, 1)
	cfg := listwatch.Config{
		Address: address, Service: "hosts", MaxWait: maxWait, Timeout: time.Second, MinInterval: 5 * time.Millisecond,
	}
	w := listwatch.Start(cfg, func(hosts []consul.Host, _ []string) { lists <- hosts }, func(err error) { failed <- err })
	t.Cleanup(w.Stop)
	return lists, failed
}

// nextList returns the next list that the watch delivers, and fails the test after 5 s without one.
func nextList(t *testing.T, lists chan []consul.Host) []consul.Host {
	t.Helper()
	select {
	case l := <-lists:
		return l
	case <-time.After(5 * time.Second):
		t.Fatal("got no list from the watch within 5s, want one")
		return nil
	}
}

// With Consul's emulator, a blocking query returns when a host is registered, drained or deregistered, and an outage of
// Consul ends the watch with an error.
func TestWatchFollowsChanges(t *testing.T) {
	s, err := consulemulator.Serve("127.0.0.1:0", consulemulator.Policy{CriticalAfter: time.Hour, DeregisterAfter: time.Hour}, clock.New(), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Stop()
	with := func(f func(st *consulemulator.Store, now time.Duration)) { s.With(f) }
	with(func(st *consulemulator.Store, now time.Duration) { st.Register(now, registration("a", 5)) })
	lists, failed := startWatch(t, s.Address(), 10*time.Second)
	if l := nextList(t, lists); len(l) != 1 || l[0].FreeCores != 5 || l[0].Started != time.Hour || l[0].State != forkhead.Ready {
		t.Fatalf("first list = %+v, want one ready host with 5 free cores, started at 1h", l)
	}
	with(func(st *consulemulator.Store, now time.Duration) { st.Register(now, registration("b", 7)) })
	if l := nextList(t, lists); len(l) != 2 {
		t.Fatalf("list after b was registered = %+v, want 2 hosts", l)
	}
	with(func(st *consulemulator.Store, now time.Duration) { st.SetMaintenance(now, "a", true) })
	if l := nextList(t, lists); l[0].State != forkhead.Draining {
		t.Fatalf("list after a was put into maintenance = %+v, want the first host draining", l)
	}
	with(func(st *consulemulator.Store, now time.Duration) { st.Deregister(now, "a") })
	if l := nextList(t, lists); len(l) != 1 || l[0].Name != "b" {
		t.Fatalf("list after a was deregistered = %+v, want only b", l)
	}
	s.SetOutage(true)
	select {
	case err := <-failed:
		if err == nil {
			t.Fatal("onFailure after an outage: got a nil error, want the error of the query")
		}
	case <-time.After(5 * time.Second):
		t.Fatal("got no call of onFailure within 5s of an outage, want one")
	}
}

// When the index has decreased, as after a restart of Consul, the watch queries without an index, since a query with
// the old index could block forever. A response without an index ends the watch with an error that names the header.
func TestWatchRestartsAfterIndexDecreases(t *testing.T) {
	var calls atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch n := calls.Add(1); n {
		case 1:
			w.Header().Set("X-Consul-Index", "100")
		case 2:
			w.Header().Set("X-Consul-Index", "3")
		case 3:
			if r.URL.Query().Get("index") != "" {
				t.Errorf("query 3, after the index decreased: got index %q, want none", r.URL.Query().Get("index"))
			}
			w.Header().Set("X-Consul-Index", "3")
		}
		if _, err := io.WriteString(w, "[]"); err != nil {
			t.Errorf("write the response: got error %v, want nil", err)
		}
	}))
	defer srv.Close()
	lists, failed := startWatch(t, strings.TrimPrefix(srv.URL, "http://"), time.Second)
	for range 3 {
		nextList(t, lists)
	}
	if err := <-failed; !strings.Contains(err.Error(), "X-Consul-Index") {
		t.Fatalf("error of a response without an index = %q, want one that names X-Consul-Index", err)
	}
}

// An invalid response ends the watch with an error that tells which part of it is invalid.
func TestWatchEndsAfterInvalidResponse(t *testing.T) {
	for name, c := range map[string]struct {
		status    int
		index     string
		body      string
		wantError string
	}{
		"error status":   {http.StatusInternalServerError, "1", "[]", "500"},
		"missing index":  {http.StatusOK, "", "[]", "X-Consul-Index"},
		"negative index": {http.StatusOK, "-1", "[]", "X-Consul-Index"},
		"truncated body": {http.StatusOK, "1", "[{", "JSON"},
	} {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Consul-Index", c.index)
				w.WriteHeader(c.status)
				if _, err := io.WriteString(w, c.body); err != nil {
					t.Errorf("write the response: got error %v, want nil", err)
				}
			}))
			defer srv.Close()
			lists, failed := startWatch(t, strings.TrimPrefix(srv.URL, "http://"), time.Second)
			select {
			case err := <-failed:
				if !strings.Contains(err.Error(), c.wantError) {
					t.Errorf("error of the watch = %q, want one that contains %q", err, c.wantError)
				}
			case hosts := <-lists:
				t.Errorf("watch delivered the list %+v, want an error", hosts)
			case <-time.After(5 * time.Second):
				t.Error("got no call of onFailure within 5s of an invalid response, want one")
			}
		})
	}
}
