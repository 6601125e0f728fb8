package consul

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"forkhead/internal/protocol/capture"
	"forkhead/internal/protocol/consul"
	"forkhead/internal/server/clock"
	"forkhead/internal/server/recorder"
)

// Server is a Store behind HTTP on loopback. Its methods are safe for concurrent use.
type Server struct {
	clock    *clock.Clock
	log      *recorder.Recorder // may be nil
	http     *http.Server
	listener net.Listener

	mu     sync.Mutex
	store  *Store
	outage bool

	stop    chan struct{} // closed by Stop
	running sync.WaitGroup
}

// pollInterval is how often blocking queries and the policy are looked at.
const pollInterval = 10 * time.Millisecond

// Bounds of a request to the server.
const (
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 1 << 20
	headerTimeout  = 5 * time.Second
)

// A blocking query waits for defaultWait, Consul's own, where it gives no time or more than maxWait.
const (
	defaultWait = 5 * time.Minute
	maxWait     = 10 * time.Minute
)

// placerAgent begins the user agent of placers; their number follows.
const placerAgent = "forkhead-placer/"

// errOutage is the error of every call during an outage, as Consul says it.
var errOutage = errors.New("no cluster leader")

// Serve starts a server at an address. log may be nil.
func Serve(address string, p Policy, c *clock.Clock, log *recorder.Recorder) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{clock: c, log: log, listener: listener, store: NewStore(p), stop: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health/service/{service}", s.health)
	mux.HandleFunc("PUT /v1/catalog/register", s.register)
	mux.HandleFunc("PUT /v1/catalog/deregister", s.deregister)
	mux.HandleFunc("PUT /v1/agent/maintenance", s.maintenance)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	s.running.Go(func() { _ = s.http.Serve(listener) })
	s.running.Go(s.applyPolicy)
	return s, nil
}

// applyPolicy ticks the store until Stop.
func (s *Server) applyPolicy() {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-tick.C:
			s.With(func(st *Store, now time.Duration) { st.Tick(now) })
		}
	}
}

// Address returns where the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// With calls a function with the store and the time. The function must not keep the store.
func (s *Server) With(f func(st *Store, now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.store, s.clock.Now())
}

// SetOutage makes every call of the catalog fail, or ends that.
func (s *Server) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
}

// Stop ends the server and waits for its goroutines.
func (s *Server) Stop() {
	close(s.stop)
	_ = s.http.Close()
	s.running.Wait()
}

// rejectOutage answers a call that comes during an outage, and reports whether it has.
func (s *Server) rejectOutage(w http.ResponseWriter) bool {
	s.mu.Lock()
	outage := s.outage
	s.mu.Unlock()
	if outage {
		http.Error(w, errOutage.Error(), http.StatusInternalServerError)
	}
	return outage
}

// health is /v1/health/service/:service. With an index it is a blocking query: it is answered when the endpoint list has
// another index, or after the wait.
func (s *Server) health(w http.ResponseWriter, r *http.Request) {
	index, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	deadline := time.NewTimer(parseWait(r.URL.Query().Get("wait")))
	defer deadline.Stop()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		if s.rejectOutage(w) {
			return
		}
		var entries []consul.Entry
		var current uint64
		s.With(func(st *Store, now time.Duration) { entries, current = st.Health(now, r.PathValue("service")) })
		if index == 0 || current != index {
			s.recordDelivery(r.UserAgent(), entries)
			writeEntries(w, current, entries)
			return
		}
		select {
		case <-tick.C:
		case <-s.stop:
			return
		case <-r.Context().Done():
			return
		case <-deadline.C:
			writeEntries(w, current, entries)
			return
		}
	}
}

func parseWait(text string) time.Duration {
	wait, err := time.ParseDuration(text)
	if err != nil || wait <= 0 || wait > maxWait {
		return defaultWait
	}
	return wait
}

func writeEntries(w http.ResponseWriter, index uint64, entries []consul.Entry) {
	if entries == nil {
		entries = []consul.Entry{} // [] in JSON
	}
	body, err := json.Marshal(entries)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	_, _ = w.Write(body)
}

// recordDelivery records the endpoint list that a placer is about to be sent: it cannot have it earlier. Answers to others
// are not recorded.
func (s *Server) recordDelivery(agent string, entries []consul.Entry) {
	number, isPlacer := strings.CutPrefix(agent, placerAgent)
	placer, err := strconv.Atoi(number)
	if s.log == nil || !isPlacer || err != nil {
		return
	}
	event := capture.Event{At: s.clock.Now(), Type: capture.ListDelivered, Placer: placer}
	for i := range entries {
		name := entries[i].Node.Node
		if slices.ContainsFunc(entries[i].Checks, func(c consul.Check) bool { return c.Status == consul.StatusCritical }) {
			event.Draining = append(event.Draining, name)
		} else {
			event.Ready = append(event.Ready, name)
		}
	}
	s.log.Add(event)
}

// register is /v1/catalog/register.
func (s *Server) register(w http.ResponseWriter, r *http.Request) {
	if s.rejectOutage(w) {
		return
	}
	registration, ok := readBody[consul.Registration](w, r)
	if !ok {
		return
	}
	if registration.Node == "" || registration.Address == "" || registration.Service == nil {
		http.Error(w, "Must provide node, address and service", http.StatusBadRequest)
		return
	}
	s.With(func(st *Store, now time.Duration) { st.Register(now, registration) })
	_, _ = io.WriteString(w, "true")
}

// deregister is /v1/catalog/deregister.
func (s *Server) deregister(w http.ResponseWriter, r *http.Request) {
	if s.rejectOutage(w) {
		return
	}
	deregistration, ok := readBody[consul.Deregistration](w, r)
	if !ok {
		return
	}
	s.With(func(st *Store, now time.Duration) { st.Deregister(now, deregistration.Node) })
	_, _ = io.WriteString(w, "true")
}

// maintenance is /v1/agent/maintenance. The query names the node: there is one emulator for the agents of all nodes. It
// works during an outage: an agent needs no leader for it.
func (s *Server) maintenance(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	on, err := strconv.ParseBool(query.Get("enable"))
	if err != nil || query.Get("node") == "" {
		http.Error(w, "Must provide enable and node", http.StatusBadRequest)
		return
	}
	s.With(func(st *Store, now time.Duration) { st.SetMaintenance(now, query.Get("node"), on) })
}

// readBody reads the body of a request, or answers that it is malformed.
func readBody[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var v T
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&v); err != nil {
		http.Error(w, "Request decode failed: "+err.Error(), http.StatusBadRequest)
		return v, false
	}
	return v, true
}
