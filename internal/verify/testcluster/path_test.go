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

// BenchmarkPath measures the whole path on loopback: a client's POST, the front, the parser, the
// core with the module, the host's frames, and the outcome back. Hosts take next to no time of
// their own, so what is measured is the placer's and the sockets'. Allocations are those of the
// whole process: client, placer and hosts.
func BenchmarkPath(b *testing.B) {
	for _, hosts := range []int{10, 100} {
		for _, clients := range []int{1, 16} {
			b.Run(fmt.Sprintf("hosts=%d/clients=%d", hosts, clients), func(b *testing.B) { path(b, hosts, clients) })
		}
	}
}

func path(b *testing.B, hosts, clients int) {
	text := fmt.Sprintf(`(badday (settings (forkhead (placer (zone a)) (kind k (cores 64) (memory 256GiB))
	  (class web (effect safe) (wait 5s) (patience 10s)) (bound running)))
	  (hosts %d (kind k) (zone a) (racks 5)) (catalogue (lag 0ms))
	  (host (look 1us) (start 1us) (absent 1) (line 1000) (starts 64) (notes 1h) (refresh 1s)))`, hosts)
	s, err := scenario.Read("bench", []byte(text))
	if err != nil {
		b.Fatal(err)
	}
	sc, err := testcluster.Start(s, testcluster.Options{Log: zerolog.Nop()})
	if err != nil {
		b.Fatal(err)
	}
	defer sc.Stop()
	if err := sc.WaitReady(20 * time.Second); err != nil {
		b.Fatal(err)
	}
	at := "http://" + sc.Settings.Placers[0].HTTPAddress + "/v1/submissions"
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients, DialContext: (&net.Dialer{}).DialContext}}
	defer client.CloseIdleConnections()
	body := []byte("services: {w: {image: x, restart: 'no', x-forkhead: {life: 20ms}, deploy: {resources: {reservations: {cpus: '0.1', memory: 10m}}}}}")
	one := func() (bool, error) {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, at, bytes.NewReader(body))
		if err != nil {
			return false, err
		}
		req.Header.Set("Content-Type", "application/yaml")
		resp, err := client.Do(req)
		if err != nil {
			return false, err
		}
		defer resp.Body.Close()
		out, err := io.ReadAll(resp.Body)
		return bytes.Contains(out, []byte(`"outcome":"placed"`)), err
	}
	for range 50 {
		if ok, err := one(); !ok || err != nil {
			b.Fatalf("not placed: %v", err)
		}
	}
	var mu sync.Mutex
	hist := hdrhistogram.New(1, 60_000_000, 3)
	var left, missed atomic.Int64
	left.Store(int64(b.N))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	var wait sync.WaitGroup
	for range clients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for left.Add(-1) >= 0 {
				start := time.Now()
				ok, err := one()
				if err != nil || !ok {
					missed.Add(1)
					continue
				}
				mu.Lock()
				_ = hist.RecordValue(max(time.Since(start).Microseconds(), 1))
				mu.Unlock()
			}
		}()
	}
	wait.Wait()
	b.StopTimer()
	runtime.ReadMemStats(&after)
	if missed.Load() > 0 {
		b.Fatalf("%d of %d not placed", missed.Load(), b.N)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "placements/s")
	b.ReportMetric(float64(hist.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(hist.ValueAtQuantile(99)), "p99-us")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(b.N), "allocs/ask")
}
