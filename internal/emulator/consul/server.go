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

// Server is an HTTP server for a Store. Its methods are safe for concurrent use.
type Server struct {
	clock    *clock.Clock
	recorder *recorder.Recorder // records the endpoint lists sent to placers; may be nil
	http     *http.Server
	listener net.Listener

	mu     sync.Mutex // guards store and outage
	store  *Store
	outage bool

	stop    chan struct{} // closed by Stop
	running sync.WaitGroup
}

// pollInterval is the interval at which the policy is applied, and at which a blocking query compares its index with the
// store's.
const pollInterval = 10 * time.Millisecond

// Limits of a request to the server.
const (
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 1 << 20
	headerTimeout  = 5 * time.Second
)

// A blocking query waits for defaultWait, Consul's default, if its wait parameter is absent, invalid or more than
// maxWait.
const (
	defaultWait = 5 * time.Minute
	maxWait     = 10 * time.Minute
)

// placerAgent is the prefix of a placer's user agent. The placer's number follows it.
const placerAgent = "forkhead-placer/"

// errOutage is the answer to every request during an outage, except for maintenance requests. It is Consul's own text.
var errOutage = errors.New("no cluster leader")

// Serve starts a server at an address. rec may be nil.
func Serve(address string, p Policy, c *clock.Clock, rec *recorder.Recorder) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{clock: c, recorder: rec, listener: listener, store: NewStore(p), stop: make(chan struct{})}
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

// applyPolicy calls Tick of the store each pollInterval until Stop.
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

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// With calls f with the store and the current time. f has exclusive access to the store and must not keep it.
func (s *Server) With(f func(st *Store, now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.store, s.clock.Now())
}

// SetOutage starts or ends an outage, during which every request but those for maintenance fails.
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

// rejectDuringOutage answers a request with errOutage if there is an outage, and reports whether there is one.
func (s *Server) rejectDuringOutage(w http.ResponseWriter) bool {
	s.mu.Lock()
	outage := s.outage
	s.mu.Unlock()
	if outage {
		http.Error(w, errOutage.Error(), http.StatusInternalServerError)
	}
	return outage
}

// health serves GET /v1/health/service/:service. A request with an index is a blocking query: it is answered once the
// endpoint list has another index, or after the wait.
func (s *Server) health(w http.ResponseWriter, r *http.Request) {
	index, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	deadline := time.NewTimer(parseWait(r.URL.Query().Get("wait")))
	defer deadline.Stop()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		if s.rejectDuringOutage(w) {
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

// parseWait parses the wait parameter of a blocking query.
func parseWait(text string) time.Duration {
	wait, err := time.ParseDuration(text)
	if err != nil || wait <= 0 || wait > maxWait {
		return defaultWait
	}
	return wait
}

func writeEntries(w http.ResponseWriter, index uint64, entries []consul.Entry) {
	if entries == nil {
		entries = []consul.Entry{} // encoded as []; nil would be null
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

// recordDelivery records the endpoint list that is about to be sent to a placer. The recorded time is the current time,
// since the placer cannot have the list earlier. Answers to other clients are not recorded.
func (s *Server) recordDelivery(agent string, entries []consul.Entry) {
	number, isPlacer := strings.CutPrefix(agent, placerAgent)
	placer, err := strconv.Atoi(number)
	if s.recorder == nil || !isPlacer || err != nil {
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
	s.recorder.Add(event)
}

// register serves PUT /v1/catalog/register.
func (s *Server) register(w http.ResponseWriter, r *http.Request) {
	if s.rejectDuringOutage(w) {
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

// deregister serves PUT /v1/catalog/deregister.
func (s *Server) deregister(w http.ResponseWriter, r *http.Request) {
	if s.rejectDuringOutage(w) {
		return
	}
	deregistration, ok := readBody[consul.Deregistration](w, r)
	if !ok {
		return
	}
	s.With(func(st *Store, now time.Duration) { st.Deregister(now, deregistration.Node) })
	_, _ = io.WriteString(w, "true")
}

// maintenance serves PUT /v1/agent/maintenance. In contrast to Consul, the query names the node, because the emulator
// stands for the agents of all nodes. The request also works during an outage, because an agent needs no cluster leader
// for it.
func (s *Server) maintenance(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	on, err := strconv.ParseBool(query.Get("enable"))
	if err != nil || query.Get("node") == "" {
		http.Error(w, "Must provide enable and node", http.StatusBadRequest)
		return
	}
	s.With(func(st *Store, now time.Duration) { st.SetMaintenance(now, query.Get("node"), on) })
}

// readBody decodes the JSON body of a request. If the body is malformed, it answers with status 400 and returns false.
func readBody[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var v T
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&v); err != nil {
		http.Error(w, "Request decode failed: "+err.Error(), http.StatusBadRequest)
		return v, false
	}
	return v, true
}
