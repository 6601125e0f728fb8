package core_test

import (
	"testing"
	"time"

	"forkhead/internal/verify/simulation"
)

// Tasks that end are restarted never, once or without limit, as the restart policy of their service states.
func TestCoreRestartsTasksByRestartPolicy(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 2)
	s.Await(s.Submit("", `
name: p
services:
  once: {x-forkhead: {life: 300ms}, restart: "no"}
  twice: {x-forkhead: {life: 300ms}, deploy: {restart_policy: {max_attempts: 1}}}
  ever: {x-forkhead: {life: 300ms}}
`), 5*time.Second)
	s.Advance(5 * time.Second)
	n := map[string]int{}
	for _, o := range s.Offers {
		n[o.Offer.Spec.Name]++
	}
	if n["p/once/1"] != 1 || n["p/twice/1"] != 2 || n["p/ever/1"] < 5 {
		t.Fatalf("offers by task = %v, want 1 of p/once/1, 2 of p/twice/1 and at least 5 of p/ever/1", n)
	}
	s.RequireNoViolations()
}
