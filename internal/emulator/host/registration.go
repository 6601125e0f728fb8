package host

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"forkhead/internal/parse/servicespec"
	"forkhead/internal/protocol/consul"
	"forkhead/internal/scheduler/core"
)

const (
	registrationTimeout = 2 * time.Second
	maxRegistrationBody = 1 << 16 // bytes read of a response
)

// entry returns the host as it registers now. It must be up.
func (s *Server) entry() core.HostEntry {
	cfg := &s.cfg.Host
	e := core.HostEntry{
		Name: cfg.Name, Address: s.address, Kind: cfg.MachineType, Zone: cfg.Zone, Rack: cfg.Rack, Started: s.model.Started(),
		Attributes: map[servicespec.Attribute]string{},
	}
	for name, value := range cfg.Labels {
		e.Attributes[servicespec.Attribute("label."+name)] = value
	}
	e.FreeCores, e.FreeMemory = s.model.Available()
	return e
}

// registrar registers a host with the catalog on a goroutine of its own, so that a slow catalog does not block the host.
type registrar struct {
	address string // of Consul's API; "": nothing is registered
	service string
	client  *http.Client
	entries chan core.HostEntry // at most one: the newest that was not sent yet
	stopped chan struct{}
	done    sync.WaitGroup
}

func newRegistrar(address, service string) *registrar {
	return &registrar{
		address: address, service: service, client: &http.Client{Timeout: registrationTimeout},
		entries: make(chan core.HostEntry, 1), stopped: make(chan struct{}),
	}
}

func (r *registrar) start() { r.done.Go(r.run) }

// stop ends the goroutine after the current request.
func (r *registrar) stop() {
	close(r.stopped)
	r.done.Wait()
	r.client.CloseIdleConnections()
}

// register takes an entry in place of one that was not sent yet. It does not wait.
func (r *registrar) register(e core.HostEntry) {
	if r.address == "" {
		return
	}
	select {
	case <-r.entries:
	default:
	}
	select {
	case r.entries <- e:
	default:
	}
}

func (r *registrar) run() {
	for {
		select {
		case <-r.stopped:
			return
		case e := <-r.entries:
			_ = r.put(&e) // the next registration repeats a failed one
		}
	}
}

// put sends an entry to the catalog. The status of the response is not looked at.
func (r *registrar) put(e *core.HostEntry) error {
	registration, err := consul.NewRegistration(e, r.service)
	if err != nil {
		return err
	}
	body, err := json.Marshal(registration)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), registrationTimeout)
	defer cancel()
	url := "http://" + r.address + "/v1/catalog/register"
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // it was read
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxRegistrationBody))
	return err
}
