// Package listwatch watches the endpoint list in Consul with blocking queries of its HTTP API.
package listwatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"forkhead/internal/protocol/consul"
	"forkhead/internal/server/clock"
)

// Config describes the endpoint list to watch and how to query it.
type Config struct {
	Address     string        // HOST:PORT of Consul's HTTP API
	Service     string        // name of the Consul service under which hosts are registered
	MaxWait     time.Duration // how long Consul may block a query while the list is unchanged
	Timeout     time.Duration // limit of a query's duration, in addition to the time that Consul may block the query
	MinInterval time.Duration // minimum time from the start of a query to the start of the next one
	UserAgent   string
}

// Watch is one subscription to the endpoint list. It ends when a query fails or Stop is called.
type Watch struct {
	cfg    Config
	client *http.Client
	onList func(hosts []consul.Host, skipped []string)
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Start starts a watch on a new goroutine, which also calls onList and onFailure. onList is called with each list whose
// index differs from that of the previous list, and with the list of each query that did not block; skipped has a
// message with the reason for each entry that was left out. onFailure is called once, with the error of the query that
// ended the watch, and is not called after Stop.
func Start(cfg Config, onList func(hosts []consul.Host, skipped []string), onFailure func(error)) *Watch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watch{
		cfg:    cfg,
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}},
		onList: onList,
		cancel: cancel,
	}
	w.done.Go(func() {
		defer w.client.CloseIdleConnections()
		if err := w.run(ctx); ctx.Err() == nil {
			onFailure(err)
		}
	})
	return w
}

// Stop ends the watch and waits for its goroutine. It must not be called from onList or onFailure, which run on that
// goroutine.
func (w *Watch) Stop() {
	w.cancel()
	w.done.Wait()
}

// run queries the endpoint list until a query fails or ctx is canceled, and returns the error of the query or of ctx.
func (w *Watch) run(ctx context.Context) error {
	index := uint64(0) // index of the last list; 0: the next query does not block
	for {
		started := time.Now()
		response, err := w.query(ctx, index)
		if err != nil {
			return err
		}
		next := response.index
		if next < index {
			// The index went back, as after a restart of Consul. Consul's documentation requires a client to reset its
			// index to 0 in this case, since a query with the old index may never return.
			next = 0
		}
		if next != index || index == 0 {
			w.onList(response.hosts, response.skipped)
		}
		index = next
		if err := clock.Sleep(ctx, w.cfg.MinInterval-time.Since(started)); err != nil {
			return err
		}
	}
}

// listResponse is Consul's response to a query.
type listResponse struct {
	hosts   []consul.Host
	skipped []string // a message with the reason for each unusable entry
	index   uint64   // index of the list; a query with this index blocks until the list has another index
}

// query requests the endpoint list. If index is not 0, Consul responds once the list has another index, or after
// MaxWait.
func (w *Watch) query(ctx context.Context, index uint64) (*listResponse, error) {
	timeout := w.cfg.Timeout
	parameters := url.Values{}
	if index > 0 {
		timeout += w.cfg.MaxWait + w.cfg.MaxWait/16 // Consul waits up to 1/16 longer, to spread its clients' queries
		parameters.Set("index", strconv.FormatUint(index, 10))
		parameters.Set("wait", strconv.FormatInt(w.cfg.MaxWait.Milliseconds(), 10)+"ms")
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	address := "http://" + w.cfg.Address + "/v1/health/service/" + url.PathEscape(w.cfg.Service) + "?" + parameters.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("User-Agent", w.cfg.UserAgent)
	response, err := w.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }() // an error is ignored, since nothing was written that could be lost
	return readResponse(response)
}

// errResponseTooLarge is the error for a body of more than consul.MaxResponseSize bytes.
var errResponseTooLarge = errors.New("consul's response body is larger than 64 MiB")

// readResponse reads and decodes a response. The caller closes its body.
func readResponse(response *http.Response) (*listResponse, error) {
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("consul responded with status %s", response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, consul.MaxResponseSize+1))
	if err != nil {
		return nil, err
	}
	if len(body) > consul.MaxResponseSize {
		return nil, errResponseTooLarge
	}
	header := response.Header.Get("X-Consul-Index")
	index, err := strconv.ParseUint(header, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("consul's response has no valid X-Consul-Index: got %q, want an unsigned integer", header)
	}
	hosts, skipped, err := consul.Decode(body)
	if err != nil {
		return nil, err
	}
	return &listResponse{hosts: hosts, skipped: skipped, index: index}, nil
}
