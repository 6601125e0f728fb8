package placer_test

import (
	"encoding/json"
	"strings"
	"sync"
	"testing"

	"forkhead/internal/scheduler/core"
	"forkhead/internal/server/placer"
)

// A submission that 10 clients send concurrently under one Idempotency-Key is accepted once: every client gets all
// outcomes, and each task is offered once. Another body under the key is rejected.
func TestServerDeduplicatesConcurrentSubmissions(t *testing.T) {
	cluster, address := startPlacer(t, "")
	var wait sync.WaitGroup
	for range 10 {
		wait.Go(func() {
			if resp, out := submit(t, address, "k", webSpec(5)); resp.StatusCode != 200 || len(out) != 5 {
				t.Errorf("concurrent submit with key k = %s, %d outcomes, want 200, 5", resp.Status, len(out))
			}
		})
	}
	wait.Wait()
	if st := cluster.Placer(0).Status(); st.Offers != 5 || st.Submissions != 1 {
		t.Fatalf("status after 10 submits with key k = %d offers, %d submissions, want 5, 1", st.Offers, st.Submissions)
	}
	if resp, _ := submit(t, address, "k", webSpec(6)); resp.StatusCode != 422 {
		t.Fatalf("submit(another body with the same key) = %s, want 422", resp.Status)
	}
}

// An infeasible specification with the key whole, which requires that all tasks are placed, is rejected with the
// conflict, and no placement is requested. A feasible one is placed. Without that key, an infeasible specification gets
// an outcome for each task.
func TestServerRejectsInfeasibleSpec(t *testing.T) {
	cluster, address := startPlacer(t, "")
	body := "x-forkhead: {whole: true, patience: 1s, wait: 500ms}\nservices: {a: {}, w: {x-forkhead: {spread: {rack: 1}}, deploy: {replicas: 3}}}"
	resp := send(t, newSubmission(t, address, "", "application/yaml", body))
	var p placer.Problem
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil || resp.StatusCode != 422 || p.Type != "urn:forkhead:impossible" {
		t.Fatalf("submit(infeasible, whole) = %s, problem %+v, error %v, want 422 of type urn:forkhead:impossible", resp.Status, p, err)
	}
	if len(p.Conflict) != 2 || !strings.Contains(p.Conflict[1], "compose.yaml:2:") || !strings.Contains(p.Conflict[1], "at most 1 of w in one rack") {
		t.Fatalf("conflict = %q, want 2 entries, the second with the position and text of the spread limit", p.Conflict)
	}
	if n := cluster.Placer(0).Status().PlacementRequests; n != 0 {
		t.Fatalf("got %d placement requests after the rejection, want 0", n)
	}
	if _, out := submit(t, address, "", strings.Replace(body, "replicas: 3", "replicas: 2", 1)); len(out) != 3 || out[0].Outcome != core.OutcomePlaced {
		t.Fatalf("submit(feasible, whole) = %+v, want 3 outcomes, the first placed", out)
	}
	if _, out := submit(t, address, "", strings.Replace(body, "whole: true", "whole: false", 1)); len(out) != 4 {
		t.Fatalf("submit(infeasible, not whole) = %+v, want 4 outcomes", out)
	}
}
