// Package listwatch watches the endpoint list by blocking queries of Consul's HTTP API.
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

// Config is what is watched and how.
type Config struct {
	Address     string        // of Consul, HOST:PORT
	Service     string        // under which hosts are registered
	MaxWait     time.Duration // how long Consul may hold a query until something changes
	Timeout     time.Duration // of a query, beyond the time that Consul may hold it
	MinInterval time.Duration // from the start of a query to that of the next
	UserAgent   string
}

// Watch is one subscription to the endpoint list. It ends with the first query that fails, or by Stop.
type Watch struct {
	cfg    Config
	client *http.Client
	onList func(hosts []consul.Host, skipped []string)
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Start starts a watch on a goroutine of its own, which calls the functions. onList is called with each list that differs from
// the one before; skipped has a message for each host that is left out, with the reason. onFailure is called once, with the error
// of the query that ended the watch, and not after Stop.
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
		if err := w.follow(ctx); ctx.Err() == nil {
			onFailure(err)
		}
	})
	return w
}

// Stop ends the watch and waits for its goroutine. It must not be called by the functions that were given to Start.
func (w *Watch) Stop() {
	w.cancel()
	w.done.Wait()
}

// follow queries the endpoint list until a query fails or ctx is canceled, and returns the error.
func (w *Watch) follow(ctx context.Context) error {
	index := uint64(0) // of the list that was read last
	for {
		started := time.Now()
		answer, err := w.query(ctx, index)
		if err != nil {
			return err
		}
		next := answer.index
		if next < index {
			next = 0 // Consul's documentation requires this: it has restarted, and a query by an old index may never return
		}
		if next != index || index == 0 {
			w.onList(answer.hosts, answer.skipped)
		}
		index = next
		if err := clock.Sleep(ctx, w.cfg.MinInterval-time.Since(started)); err != nil {
			return err
		}
	}
}

// answer is Consul's answer to a query.
type answer struct {
	hosts   []consul.Host
	skipped []string // entries that cannot be used
	index   uint64   // of the list; the next query waits until it is another
}

// query requests the endpoint list. If index is not 0, the answer comes once the list has another
// index, or after MaxWait.
func (w *Watch) query(ctx context.Context, index uint64) (*answer, error) {
	timeout := w.cfg.Timeout
	parameters := url.Values{}
	if index > 0 {
		timeout += w.cfg.MaxWait + w.cfg.MaxWait/16 // Consul adds up to a sixteenth, so that clients don't return all at once
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
	defer func() { _ = response.Body.Close() }() // it was only read
	return readAnswer(response)
}

// errTooLong is the error of an answer that has more than consul.MaxResponseSize.
var errTooLong = errors.New("consul's answer is longer than 64 MiB")

func readAnswer(response *http.Response) (*answer, error) {
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("consul answered %s", response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, consul.MaxResponseSize+1))
	if err != nil {
		return nil, err
	}
	if len(body) > consul.MaxResponseSize {
		return nil, errTooLong
	}
	header := response.Header.Get("X-Consul-Index")
	index, err := strconv.ParseUint(header, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("consul's answer has no usable X-Consul-Index: %q", header)
	}
	hosts, skipped, err := consul.Decode(body)
	if err != nil {
		return nil, err
	}
	return &answer{hosts: hosts, skipped: skipped, index: index}, nil
}
