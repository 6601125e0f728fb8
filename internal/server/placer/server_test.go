package placer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"forkhead/internal/server/placer"
	"forkhead/internal/server/store"
	"forkhead/internal/verify/scenario"
)

// Shutdown waits until the open requests have been answered and accepts no new connections.
func TestServerShutdownCompletesOpenRequests(t *testing.T) {
	cluster, address := startPlacer(t, "")
	done := make(chan int)
	req := newSubmission(t, address, "", "application/yaml", webSpec(200))
	go func() {
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			done <- -1
			return
		}
		defer func() { _ = resp.Body.Close() }()
		done <- len(readOutcomes(t, resp.Body))
	}()
	for cluster.Placer(0).Status().Offers == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	cluster.Placer(0).Shutdown(ctx)
	if n := <-done; n != 200 {
		t.Fatalf("the client read %d outcomes (-1: request failed), want 200", n)
	}
	if _, err := net.Dial("tcp", address); err == nil {
		t.Fatalf("Dial(%s) after Shutdown succeeded, want an error", address)
	}
}

// A placer whose store fails reports the error once and executes no outputs from then on, so it accepts no submission:
// what it sends must not differ from the state with which its next incarnation starts. Its loop keeps running.
func TestServerStopsAnsweringWhenStoreFails(t *testing.T) {
	script, err := scenario.Read("test", []byte(`(badday (settings (forkhead (placer (zone a) (http "127.0.0.1:0") (tell "127.0.0.1:0"))
	  (kind k (cores 64) (memory 256GiB)) (class web (effect safe)))) (hosts 1 (kind k) (zone a)))`))
	if err != nil {
		t.Fatal(err)
	}
	full, saved, err := store.Open(store.Options{Path: filepath.Join(t.TempDir(), "placer.db"), MaxBytes: 1})
	if err != nil {
		t.Fatalf("store.Open with MaxBytes 1: got error %v, want nil", err)
	}
	t.Cleanup(func() { _ = full.Close() })
	p, err := placer.Start(placer.Config{Settings: script.Settings.ForPlacer(0), Log: zerolog.Nop(), Store: full, Snapshot: saved})
	if err != nil {
		t.Fatalf("placer.Start: got error %v, want nil", err)
	}
	t.Cleanup(p.Close)

	c := dial(t, p.Address())
	body := webSpec(1)
	write(t, c, "POST /v1/submissions HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	select {
	case err := <-p.Failed():
		if !errors.Is(err, store.ErrFull) {
			t.Errorf("Failed() received %v, want %v", err, store.ErrFull)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("Failed() received no error within 10s of the store's failure, want one")
	}
	p.Status() // Status would block forever if the loop had ended
	p.Close()
	if answer, _ := io.ReadAll(c); bytes.HasPrefix(answer, []byte("HTTP/1.1 200 ")) {
		t.Errorf("response after the store failed = %q, want none with status 200", answer)
	}
	select {
	case err := <-p.Failed():
		t.Errorf("Failed() received a second error %v, want one error", err)
	default:
	}
}
