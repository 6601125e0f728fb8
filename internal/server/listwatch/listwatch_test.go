package listwatch_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"forkhead"
	consulemulator "forkhead/internal/emulator/consul"
	"forkhead/internal/protocol/consul"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/server/clock"
	"forkhead/internal/server/listwatch"
)

func entry(name string, free float64) consul.Registration {
	r, err := consul.Registered(&core.HostEntry{Name: name, Address: "127.0.0.1:9", Kind: "k", Zone: "z", Rack: "r", FreeCores: free, Started: time.Hour}, "hosts")
	if err != nil {
		panic(err)
	}
	return r
}

func watch(t *testing.T, address string, wait time.Duration) (lists chan []core.HostEntry, failed chan error) {
	lists, failed = make(chan []core.HostEntry, 100), make(chan error, 1)
	w := listwatch.Start(listwatch.Config{Address: address, Service: "hosts", Wait: wait, Timeout: time.Second, Pace: 5 * time.Millisecond},
		func(h []core.HostEntry, _ []string) { lists <- h }, func(err error) { failed <- err })
	t.Cleanup(w.Stop)
	return lists, failed
}

func next(t *testing.T, lists chan []core.HostEntry) []core.HostEntry {
	t.Helper()
	select {
	case l := <-lists:
		return l
	case <-time.After(5 * time.Second):
		t.Fatal("no list")
		return nil
	}
}

// Against the stand-in: a change is told by the query that blocks, drains and departures are
// told, and an outage ends the watch.
func TestFollows(t *testing.T) {
	s, err := consulemulator.Serve("127.0.0.1:0", consulemulator.Policy{Critical: time.Hour, Deregister: time.Hour}, clock.New(), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Stop()
	with := func(f func(st *consulemulator.Store, now time.Duration)) { s.With(f) }
	with(func(st *consulemulator.Store, now time.Duration) { st.Register(now, entry("a", 5)) })
	lists, failed := watch(t, s.Address(), 10*time.Second)
	if l := next(t, lists); len(l) != 1 || l[0].FreeCores != 5 || l[0].Started != time.Hour || l[0].State != forkhead.Ready {
		t.Fatalf("%+v", l)
	}
	with(func(st *consulemulator.Store, now time.Duration) { st.Register(now, entry("b", 7)) })
	if l := next(t, lists); len(l) != 2 {
		t.Fatalf("%+v", l)
	}
	with(func(st *consulemulator.Store, now time.Duration) { st.Maintain(now, "a", true) })
	if l := next(t, lists); l[0].State != forkhead.Draining {
		t.Fatalf("%+v", l)
	}
	with(func(st *consulemulator.Store, now time.Duration) { st.Deregister(now, "a") })
	if l := next(t, lists); len(l) != 1 || l[0].Name != "b" {
		t.Fatalf("%+v", l)
	}
	s.Outage(true)
	select {
	case <-failed:
	case <-time.After(5 * time.Second):
		t.Fatal("an outage is not told")
	}
}

// An index that goes back starts over instead of blocking for good, and answers that cannot be
// used end the watch with the reason.
func TestOddAnswers(t *testing.T) {
	var calls atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch n := calls.Add(1); n {
		case 1:
			w.Header().Set("X-Consul-Index", "100")
		case 2:
			w.Header().Set("X-Consul-Index", "3")
		case 3:
			if r.URL.Query().Get("index") != "" {
				t.Errorf("asked with index %s after it went back", r.URL.Query().Get("index"))
			}
			w.Header().Set("X-Consul-Index", "3")
		}
		fmt.Fprint(w, "[]")
	}))
	defer srv.Close()
	lists, failed := watch(t, strings.TrimPrefix(srv.URL, "http://"), time.Second)
	for range 3 {
		next(t, lists)
	}
	if err := <-failed; !strings.Contains(err.Error(), "X-Consul-Index") {
		t.Fatal(err)
	}
}

func TestDecode(t *testing.T) {
	hosts, skipped, err := consul.Decode([]byte(`[
	  {"Node":{"Node":"a","Address":"127.0.0.1","Meta":{"kind":"k","label-disk":"ssd"}},"Service":{"Port":1,"Meta":{"free-cores":"NaN","started":"-5"}},"Checks":[{"Status":"warning"}]},
	  {"Node":{"Node":"b","Address":"127.0.0.1","Meta":{"kind":"k"}},"Service":{"Port":70000}},
	  {"Node":{"Node":"c","Address":"127.0.0.1"},"Service":{"Port":1}},
	  {"Node":{"Address":"127.0.0.1","Meta":{"kind":"k"}},"Service":{"Port":1}},
	  {"Node":{"Node":"d","Meta":{"kind":"k"}},"Service":{"Port":1}}]`))
	if err != nil || len(hosts) != 1 || len(skipped) != 4 {
		t.Fatalf("%+v, %q, %v", hosts, skipped, err)
	}
	if h := hosts[0]; h.FreeCores != 0 || h.Started != 0 || h.State != forkhead.Ready || h.Attributes["label.disk"] != "ssd" {
		t.Fatalf("%+v", h)
	}
	if _, _, err := consul.Decode([]byte(`{"a":`)); err == nil {
		t.Fatal("half an answer is read")
	}
}
