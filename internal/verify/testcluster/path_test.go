package testcluster_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"

	"forkhead/internal/verify/scenario"
	"forkhead/internal/verify/testcluster"
)

// BenchmarkPath measures the whole path of a placement on loopback: the client's POST, the HTTP server, the parser, the
// core with the module, the frames to and from the host, and the outcome in the response. The hosts take almost no
// time, so the result is the time of the placer and the sockets. The allocations are those of the whole process:
// client, placer and hosts.
func BenchmarkPath(b *testing.B) {
	for _, hosts := range []int{10, 100} {
		for _, clients := range []int{1, 16} {
			b.Run(fmt.Sprintf("hosts=%d/clients=%d", hosts, clients), func(b *testing.B) { benchmarkPath(b, hosts, clients) })
		}
	}
}

func benchmarkPath(b *testing.B, hosts, clients int) {
	c := newPathClient(startPathCluster(b, hosts), clients)
	defer c.http.CloseIdleConnections()
	for range 50 {
		if err := c.submit(); err != nil {
			b.Fatal(err)
		}
	}
	var remaining, failed atomic.Int64
	remaining.Store(int64(b.N))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	var workers sync.WaitGroup
	for range clients {
		workers.Go(func() {
			for remaining.Add(-1) >= 0 {
				if err := c.submitTimed(); err != nil {
					failed.Add(1)
				}
			}
		})
	}
	workers.Wait()
	b.StopTimer()
	runtime.ReadMemStats(&after)
	if failed.Load() > 0 {
		b.Fatalf("%d of %d submissions were not placed, want 0", failed.Load(), b.N)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "placements/s")
	b.ReportMetric(float64(c.latencies.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(c.latencies.ValueAtQuantile(99)), "p99-us")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(b.N), "allocs/ask")
}

// startPathCluster starts one placer, with hosts that start tasks at once, and returns the address of its HTTP server.
func startPathCluster(b *testing.B, hosts int) string {
	b.Helper()
	//nolint:misspell // keys of scenarios keep their spelling
	text := fmt.Sprintf(`(badday (settings (forkhead (placer (zone a)) (kind k (cores 64) (memory 256GiB))
	  (class web (effect safe) (wait 5s) (patience 10s)) (bound running)))
	  (hosts %d (kind k) (zone a) (racks 5)) (catalogue (lag 0ms))
	  (host (look 1us) (start 1us) (absent 1) (line 1000) (starts 64) (notes 1h) (refresh 1s)))`, hosts)
	s, err := scenario.Read("bench", []byte(text))
	if err != nil {
		b.Fatal(err)
	}
	cluster, err := testcluster.Start(s, testcluster.Options{Log: zerolog.Nop()})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(cluster.Stop)
	if err := cluster.WaitReady(20 * time.Second); err != nil {
		b.Fatal(err)
	}
	return cluster.Settings.Placers[0].HTTPAddress
}

// pathClient submits projects of one service with one small task. It is safe for concurrent use.
type pathClient struct {
	url  string
	http *http.Client

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram // in microseconds
}

func newPathClient(address string, connections int) *pathClient {
	return &pathClient{
		url:       "http://" + address + "/v1/submissions",
		http:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections, DialContext: (&net.Dialer{}).DialContext}},
		latencies: hdrhistogram.New(1, 60_000_000, 3),
	}
}

const pathSpec = "services: {w: {image: x, restart: 'no', x-forkhead: {life: 20ms}, " +
	"deploy: {resources: {reservations: {cpus: '0.1', memory: 10m}}}}}"

// submit returns an error unless the task was placed.
func (c *pathClient) submit() error {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, c.url, bytes.NewReader([]byte(pathSpec)))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/yaml")
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if !bytes.Contains(body, []byte(`"outcome":"placed"`)) {
		return fmt.Errorf("the task was not placed: response %s", body)
	}
	return nil
}

// submitTimed calls submit and records the latency if the task was placed.
func (c *pathClient) submitTimed() error {
	start := time.Now()
	if err := c.submit(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// RecordValue fails only if the latency is too long for the histogram.
	_ = c.latencies.RecordValue(max(time.Since(start).Microseconds(), 1))
	return nil
}
