package consul

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"forkhead/internal/protocol/capture"
	"forkhead/internal/protocol/consul"
	"forkhead/internal/server/clock"
	"forkhead/internal/server/recorder"
)

// Server is a Store behind HTTP on loopback.
type Server struct {
	clock *clock.Clock
	log   *recorder.Recorder
	http  *http.Server
	ln    net.Listener

	mu     sync.Mutex
	store  *Store
	outage bool
	stop   chan struct{}
	wait   sync.WaitGroup
}

// poll is how often held queries and dead hosts are looked at.
const poll = 10 * time.Millisecond

// Serve starts a catalogue at an address. log may be nil.
func Serve(address string, p Policy, c *clock.Clock, log *recorder.Recorder) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{clock: c, log: log, ln: ln, store: NewStore(p), stop: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health/service/{service}", s.health)
	mux.HandleFunc("PUT /v1/catalog/register", s.register)
	mux.HandleFunc("PUT /v1/catalog/deregister", s.deregister)
	mux.HandleFunc("PUT /v1/agent/maintenance", s.maintenance)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 16 << 10}
	s.wait.Add(2)
	go func() { defer s.wait.Done(); _ = s.http.Serve(ln) }()
	go func() {
		defer s.wait.Done()
		tick := time.NewTicker(poll)
		defer tick.Stop()
		for {
			select {
			case <-s.stop:
				return
			case <-tick.C:
				s.With(func(st *Store, now time.Duration) { st.Tick(now) })
			}
		}
	}()
	return s, nil
}

// Address is where the catalogue listens.
func (s *Server) Address() string { return s.ln.Addr().String() }

// With gives a function the store.
func (s *Server) With(f func(st *Store, now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.store, s.clock.Now())
}

// SetOutage makes every call fail, or ends that.
func (s *Server) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
}

// Stop ends the server.
func (s *Server) Stop() {
	close(s.stop)
	_ = s.http.Close()
	s.wait.Wait()
}

func (s *Server) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage
}

// errDown is told in the words that Consul uses.
var errDown = errors.New("no cluster leader")

func (s *Server) health(w http.ResponseWriter, r *http.Request) {
	index, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait <= 0 || wait > 10*time.Minute {
		wait = 5 * time.Minute
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	tick := time.NewTicker(poll)
	defer tick.Stop()
	for {
		if s.down() {
			http.Error(w, errDown.Error(), http.StatusInternalServerError)
			return
		}
		var entries []consul.Entry
		var at uint64
		s.With(func(st *Store, now time.Duration) { entries, at = st.Health(now, r.PathValue("service")) })
		timeout := false
		if index > 0 && at == index {
			select {
			case <-tick.C:
				continue
			case <-s.stop:
				return
			case <-r.Context().Done():
				return
			case <-deadline.C:
				timeout = true
			}
		}
		if entries == nil {
			entries = []consul.Entry{}
		}
		body, err := json.Marshal(entries)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		if !timeout {
			s.told(r.UserAgent(), entries)
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("X-Consul-Index", strconv.FormatUint(at, 10))
		_, _ = w.Write(body)
		return
	}
}

// told records what a placer is told, if the one that asks is one. It is recorded when the
// answer leaves: the placer cannot know it earlier.
func (s *Server) told(agent string, entries []consul.Entry) {
	n, err := strconv.Atoi(strings.TrimPrefix(agent, "forkhead-placer/"))
	if s.log == nil || err != nil || !strings.HasPrefix(agent, "forkhead-placer/") {
		return
	}
	e := capture.Event{At: s.clock.Now(), Type: capture.ListDelivered, Placer: n}
	for i := range entries {
		critical := false
		for _, c := range entries[i].Checks {
			critical = critical || c.Status == "critical"
		}
		if critical {
			e.Draining = append(e.Draining, entries[i].Node.Node)
		} else {
			e.Ready = append(e.Ready, entries[i].Node.Node)
		}
	}
	s.log.Add(e)
}

func decode[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var v T
	if err := json.NewDecoder(io.LimitReader(r.Body, 1<<20)).Decode(&v); err != nil {
		http.Error(w, "Request decode failed: "+err.Error(), http.StatusBadRequest)
		return v, false
	}
	return v, true
}

func (s *Server) register(w http.ResponseWriter, r *http.Request) {
	if s.down() {
		http.Error(w, errDown.Error(), http.StatusInternalServerError)
		return
	}
	reg, ok := decode[consul.Registration](w, r)
	if !ok {
		return
	}
	if reg.Node == "" || reg.Address == "" || reg.Service == nil {
		http.Error(w, "Must provide node, address and service", http.StatusBadRequest)
		return
	}
	s.With(func(st *Store, now time.Duration) { st.Register(now, reg) })
	_, _ = io.WriteString(w, "true")
}

func (s *Server) deregister(w http.ResponseWriter, r *http.Request) {
	if s.down() {
		http.Error(w, errDown.Error(), http.StatusInternalServerError)
		return
	}
	dereg, ok := decode[consul.Deregistration](w, r)
	if !ok {
		return
	}
	s.With(func(st *Store, now time.Duration) { st.Deregister(now, dereg.Node) })
	_, _ = io.WriteString(w, "true")
}

// maintenance is /v1/agent/maintenance, with the node's name in the query: there is one
// stand-in for all agents.
func (s *Server) maintenance(w http.ResponseWriter, r *http.Request) {
	on, err := strconv.ParseBool(r.URL.Query().Get("enable"))
	if err != nil || r.URL.Query().Get("node") == "" {
		http.Error(w, "Must provide enable and node", http.StatusBadRequest)
		return
	}
	s.With(func(st *Store, now time.Duration) { st.SetMaintenance(now, r.URL.Query().Get("node"), on) })
}
