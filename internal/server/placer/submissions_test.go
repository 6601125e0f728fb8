package placer_test

import (
	"encoding/json"
	"strings"
	"sync"
	"testing"

	"forkhead/internal/scheduler/core"
	"forkhead/internal/server/placer"
)

// The same submission comes many times at once: every client gets the same outcomes, and each task is offered once.
func TestServerDeduplicatesConcurrentSubmissions(t *testing.T) {
	cluster, address := startPlacer(t, "")
	var wait sync.WaitGroup
	for range 10 {
		wait.Go(func() {
			if resp, out := submit(t, address, "k", webSpec(5)); resp.StatusCode != 200 || len(out) != 5 {
				t.Errorf("%s with %d outcomes", resp.Status, len(out))
			}
		})
	}
	wait.Wait()
	if st := cluster.Placer(0).Status(); st.Offers != 5 || st.Submissions != 1 {
		t.Fatalf("%d offers for %d submissions", st.Offers, st.Submissions)
	}
	if resp, _ := submit(t, address, "k", webSpec(6)); resp.StatusCode != 422 {
		t.Fatalf("another body under the key: %s", resp.Status)
	}
}

// A specification that is to be placed completely and cannot be is rejected with the conflict, and none of its tasks is
// offered. One that can be is placed; without whole, as many tasks are placed as can be.
func TestServerRejectsInfeasibleSpec(t *testing.T) {
	cluster, address := startPlacer(t, "")
	body := "x-forkhead: {whole: true, patience: 1s, wait: 500ms}\nservices: {a: {}, w: {x-forkhead: {spread: {rack: 1}}, deploy: {replicas: 3}}}"
	resp := send(t, newSubmission(t, address, "", "application/yaml", body))
	var p placer.Problem
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil || resp.StatusCode != 422 || p.Type != "urn:forkhead:impossible" {
		t.Fatalf("%s: %+v, %v", resp.Status, p, err)
	}
	if len(p.Conflict) != 2 || !strings.Contains(p.Conflict[1], "compose.yaml:2:") || !strings.Contains(p.Conflict[1], "at most 1 of w in one rack") {
		t.Fatalf("conflict: %q", p.Conflict)
	}
	if n := cluster.Placer(0).Status().PlacementRequests; n != 0 {
		t.Fatalf("%d placement requests", n)
	}
	if _, out := submit(t, address, "", strings.Replace(body, "replicas: 3", "replicas: 2", 1)); len(out) != 3 || out[0].Outcome != core.OutcomePlaced {
		t.Fatalf("%+v", out)
	}
	if _, out := submit(t, address, "", strings.Replace(body, "whole: true", "whole: false", 1)); len(out) != 4 {
		t.Fatalf("%+v", out)
	}
}
