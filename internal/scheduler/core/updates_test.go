package core_test

import (
	"strings"
	"testing"
	"time"

	"forkhead/internal/scheduler/core"
	"forkhead/internal/verify/simulation"
)

// A project is submitted again with a changed service and without another. The tasks of the changed one are replaced
// one at a time with the stated delay, the removed one is stopped, and a further submission without changes replaces
// nothing.
func TestCoreUpdatesOneTaskAtATime(t *testing.T) {
	for _, order := range []string{"stop-first", "start-first"} {
		t.Run(order, func(t *testing.T) {
			s := simulation.New(t, simulation.Settings(t, ""), 6)
			text := func(image string, n string) string {
				return "name: p\nservices:\n  web: {image: " + image + ", deploy: {replicas: " + n + ", update_config: {parallelism: 1, delay: 500ms, order: " + order + "}}}\n  old: {image: old}"
			}
			s.Await(s.Submit("", text("web:1", "3")), 5*time.Second)
			start := s.Now
			out := s.Await(s.Submit("", strings.Replace(text("web:2", "3"), "\n  old: {image: old}", "", 1)), 20*time.Second)
			if simulation.Count(out, core.OutcomePlaced) != 3 || len(out) != 3 {
				t.Fatalf("outcomes of the update = %+v, want 3 placed", out)
			}
			if took := s.Now - start; took < time.Second {
				t.Fatalf("an update of three tasks, one at a time with a delay of 500ms, took %v, want at least 1s", took)
			}
			s.Advance(2 * time.Second)
			running := s.RunningTasks()
			if running != 3 {
				t.Fatalf("after the update, %d tasks run, want 3", running)
			}
			out = s.Await(s.Submit("", strings.Replace(text("web:2", "3"), "\n  old: {image: old}", "", 1)), 5*time.Second)
			for _, o := range out {
				if o.Reason != "it runs already" {
					t.Fatalf("outcome of an unchanged task = %+v, want the reason \"it runs already\"", o)
				}
			}
			s.RequireNoViolations()
		})
	}
}

// An update whose first replacement cannot be placed is stopped. The tasks that were not replaced yet keep running.
func TestCorePausesFailingUpdate(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 2)
	text := func(cpus string) string {
		return "name: p\nservices: {web: {x-forkhead: {patience: 2s}, deploy: {replicas: 3, resources: {reservations: {cpus: '" + cpus + "'}}, update_config: {parallelism: 1}}}}"
	}
	s.Await(s.Submit("", text("1")), 5*time.Second)
	out := s.Await(s.Submit("", text("40")), 20*time.Second)
	if simulation.Count(out, core.OutcomeRejected) != 3 {
		t.Fatalf("outcomes of an update that cannot be placed = %+v, want 3 refused", out)
	}
	running := s.RunningTasks()
	if running != 2 {
		t.Fatalf("after the failed update, %d tasks run, want the 2 that were not replaced", running)
	}
	s.RequireNoViolations()
}
