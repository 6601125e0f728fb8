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
	maxResponseBytes    = 1 << 16 // the rest of a response is not read
)

// registrationEntry returns the host's current entry for the catalog. It may be called only while the host is up.
func (s *Server) registrationEntry() core.HostEntry {
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

// registrar registers a host in the catalog on a separate goroutine, so that a slow catalog does not block the host.
type registrar struct {
	address string // HOST:PORT of Consul's API; "": the host is not registered
	service string
	client  *http.Client
	entries chan core.HostEntry // has room for one entry: the latest one that run has not taken yet
	stopped chan struct{}       // closed by stop
	done    sync.WaitGroup
}

func newRegistrar(address, service string) *registrar {
	return &registrar{
		address: address, service: service, client: &http.Client{Timeout: registrationTimeout},
		entries: make(chan core.HostEntry, 1), stopped: make(chan struct{}),
	}
}

func (r *registrar) start() { r.done.Go(r.run) }

// stop stops the goroutine and waits until its current request ends.
func (r *registrar) stop() {
	close(r.stopped)
	r.done.Wait()
	r.client.CloseIdleConnections()
}

// register queues an entry. If another entry is still queued, the new one replaces it. It does not block.
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

// run sends queued entries until stop.
func (r *registrar) run() {
	for {
		select {
		case <-r.stopped:
			return
		case e := <-r.entries:
			_ = r.put(&e) // after an error, the next entry registers the host
		}
	}
}

// put sends an entry to the catalog. It ignores the status of the response.
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
	defer func() { _ = resp.Body.Close() }() // an error of Close does not affect the registration
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes))
	return err
}
