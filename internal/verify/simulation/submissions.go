package simulation

import (
	"fmt"
	"time"

	"forkhead/internal/parse/compose"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/scheduler/core"
)

// pollInterval is the time between two polls of Await for the outcomes.
const pollInterval = 20 * time.Millisecond

// ParseCompose parses a Compose file as the placer's HTTP front end does. It fails the test if the file is invalid.
func (s *Sim) ParseCompose(text string) *servicespec.Description {
	s.t.Helper()
	var classes []string
	for _, c := range s.Settings.Classes {
		classes = append(classes, c.Name)
	}
	d, err := compose.Parse(&compose.Input{
		Files: []compose.File{{Name: "test.yaml", Text: text}}, Classes: classes, Tenants: s.Settings.Tenants,
	})
	if err != nil {
		s.t.Fatalf("compose.Parse(%s): %v", text, err)
	}
	return d
}

// Submit submits a Compose file with an idempotency key and returns the submission's ID, or "" if the core rejects it.
// It fails the test if the core does not answer.
func (s *Sim) Submit(key, text string) string {
	s.t.Helper()
	d := s.ParseCompose(text)
	accepted, rejected := len(s.Accepted), len(s.Rejected)
	s.Step(core.Submit{Request: 1, IdempotencyKey: key, BodyHash: uint64(len(text)), Description: d})
	if len(s.Rejected) > rejected {
		return ""
	}
	if len(s.Accepted) != accepted+1 {
		s.t.Fatalf("submission with key %s: got %d answers that accept it and none that rejects it, want one answer", key, len(s.Accepted)-accepted)
	}
	return s.Accepted[accepted].Submission
}

// Await advances the clock until a submission is complete and returns its outcomes by replica name, such as web/0. It
// fails the test if a replica has two outcomes or if the submission is not complete after timeout.
func (s *Sim) Await(id string, timeout time.Duration) map[string]core.Outcome {
	s.t.Helper()
	for end := s.Now + timeout; s.Now < end; s.Advance(pollInterval) {
		if list, complete, _ := s.Core.Outcomes(id, 0); complete {
			return s.outcomesByReplica(list)
		}
	}
	list, _, _ := s.Core.Outcomes(id, 0)
	s.t.Fatalf("submission %s is not complete after %v: got outcomes %+v; logs %v", id, timeout, list, s.Logs)
	return nil
}

// outcomesByReplica returns outcomes by replica name. It fails the test if a replica has two outcomes.
func (s *Sim) outcomesByReplica(list []core.Outcome) map[string]core.Outcome {
	s.t.Helper()
	byReplica := map[string]core.Outcome{}
	for _, o := range list {
		name := replicaName(o)
		if _, twice := byReplica[name]; twice {
			s.t.Fatalf("replica %s has two outcomes, want one: %+v", name, list)
		}
		byReplica[name] = o
	}
	return byReplica
}

// replicaName returns the name of an outcome's replica, such as web/0.
func replicaName(o core.Outcome) string { return fmt.Sprintf("%s/%d", o.Service, o.Replica) }

// Count returns the number of outcomes of the given kind.
func Count(outcomes map[string]core.Outcome, kind core.OutcomeKind) int {
	n := 0
	for _, o := range outcomes {
		if o.Outcome == kind {
			n++
		}
	}
	return n
}
