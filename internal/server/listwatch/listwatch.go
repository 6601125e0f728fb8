// Package listwatch follows the list of hosts by blocking queries against a catalogue that
// speaks Consul's HTTP API.
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
	"forkhead/internal/scheduler/core"
)

// Config says whom to ask and how.
type Config struct {
	Address string        // HOST:PORT
	Service string        // under which hosts are registered
	Wait    time.Duration // longest a query is held
	Timeout time.Duration // beyond Wait; then it has failed
	Pace    time.Duration // least time between two queries
	Agent   string        // User-Agent
}

// Watch is one subscription: it ends with the first failure, or when it is stopped.
type Watch struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Start begins to ask. list is called with each list; failed is called once if a query fails.
// Both are called on the watch's goroutine.
func Start(cfg Config, list func(hosts []core.HostEntry, skipped []string), failed func(error)) *Watch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watch{cancel: cancel}
	w.done.Add(1)
	go func() {
		defer w.done.Done()
		client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}
		defer client.CloseIdleConnections()
		index := uint64(0)
		for ctx.Err() == nil {
			began := time.Now()
			hosts, skipped, next, err := ask(ctx, client, &cfg, index)
			if ctx.Err() != nil {
				return
			}
			if err != nil {
				failed(err)
				return
			}
			// By the API's own advice: an index that goes back starts over, and 0 would not block.
			if next < index {
				next = 0
			}
			if next != index || index == 0 {
				list(hosts, skipped)
			}
			index = next
			pause := time.NewTimer(max(cfg.Pace-time.Since(began), 0))
			select {
			case <-ctx.Done():
				pause.Stop()
				return
			case <-pause.C:
			}
		}
	}()
	return w
}

// Stop ends the watch and waits for its goroutine.
func (w *Watch) Stop() {
	w.cancel()
	w.done.Wait()
}

var errSize = errors.New("the catalogue's answer is longer than 64 MiB")

func ask(ctx context.Context, client *http.Client, cfg *Config, index uint64) ([]core.HostEntry, []string, uint64, error) {
	limit := cfg.Timeout
	query := url.Values{}
	if index > 0 {
		// A blocking query may be held for Wait and a sixteenth, by the API.
		limit += cfg.Wait + cfg.Wait/16
		query.Set("index", strconv.FormatUint(index, 10))
		query.Set("wait", strconv.FormatInt(cfg.Wait.Milliseconds(), 10)+"ms")
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	at := "http://" + cfg.Address + "/v1/health/service/" + url.PathEscape(cfg.Service) + "?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, at, nil)
	if err != nil {
		return nil, nil, 0, err
	}
	req.Header.Set("User-Agent", cfg.Agent)
	resp, err := client.Do(req)
	if err != nil {
		return nil, nil, 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, nil, 0, fmt.Errorf("the catalogue answers %s", resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, consul.MostBytes+1))
	if err != nil {
		return nil, nil, 0, err
	}
	if len(body) > consul.MostBytes {
		return nil, nil, 0, errSize
	}
	next, err := strconv.ParseUint(resp.Header.Get("X-Consul-Index"), 10, 64)
	if err != nil {
		return nil, nil, 0, fmt.Errorf("the catalogue's answer has no usable X-Consul-Index: %q", resp.Header.Get("X-Consul-Index"))
	}
	hosts, skipped, err := consul.Decode(body)
	return hosts, skipped, next, err
}
