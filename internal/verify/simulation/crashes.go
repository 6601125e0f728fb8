package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/scheduler/durable"
)

// CrashCounts counts where the placer of a durable life died.
type CrashCounts struct{ BeforeCommit, AfterCommit, AfterHalfOutputs, BetweenSteps, DuringRecovery int }

// followed is a submission as its client knows it.
type followed struct {
	id    string
	tasks int
	told  map[string]core.OutcomeKind
}

// RunDurable plays a life whose placer is killed again and again, at each point of a step that notes something and while
// it recovers, as hosts die, vanish and come back. It fails t if a submission that was acknowledged is forgotten, if one of
// its tasks is told no outcome, or another than before, if an unsafe task runs twice side by side, or on a defect.
func RunDurable(t TB, seed uint64) (crashes CrashCounts) {
	rng := rand.New(rand.NewPCG(seed, 99))
	s := NewDurable(t, Settings(t, "(owner (first 200ms) (wait 20s))"+Spread.more), 4+rng.IntN(4))
	s.Delay = time.Duration(1+rng.IntN(20)) * time.Millisecond
	recovering, stormy := false, true
	s.NextCrash = func() CrashPoint {
		if !stormy || rng.IntN(25) > 0 && (!recovering || rng.IntN(3) > 0) {
			return NoCrash
		}
		if recovering {
			crashes.DuringRecovery++
		}
		switch rng.IntN(3) {
		case 0:
			crashes.BeforeCommit++
			return BeforeCommit
		case 1:
			crashes.AfterCommit++
			return AfterCommit
		}
		crashes.AfterHalfOutputs++
		return AfterHalfOutputs
	}
	var subs []*followed
	look := func() {
		if s.Crashed() {
			recovering = true
			s.RestartPlacer()
			recovering = false
			if s.Crashed() {
				return // again; the next look begins another life
			}
		}
		for _, f := range subs {
			list, _, known := s.Core.Outcomes(f.id, 0)
			if !known {
				t.Fatalf("submission %s, which was acknowledged, is forgotten", f.id)
			}
			for _, o := range list {
				name := fmt.Sprintf("%s/%d", o.Service, o.Replica)
				if before, ok := f.told[name]; ok && before != o.Outcome {
					t.Fatalf("submission %s: %s was told %s and then %s", f.id, name, before, o.Outcome)
				}
				f.told[name] = o.Outcome
			}
			if len(list) < len(f.told) {
				t.Fatalf("submission %s: %d outcomes were told and %d are left", f.id, len(f.told), len(list))
			}
		}
		s.RequireNoDuplicates()
	}
	run := func(d time.Duration) {
		s.Advance(d)
		look()
	}
	classes := []string{"web", "keyed", "ledger", "ledger", "listing", "books"}
	for end, n := s.Now+15*time.Second, 0; s.Now < end; {
		switch name := s.HostNames[rng.IntN(len(s.HostNames))]; rng.IntN(10) {
		case 0, 1, 2:
			n++
			tasks := 1 + rng.IntN(4)
			text := fmt.Sprintf("name: p%d\nservices:\n  a: {x-forkhead: {class: %s, life: %dms}, deploy: {replicas: %d, restart_policy: {condition: on-failure}}}\n",
				n, classes[rng.IntN(len(classes))], 500+rng.IntN(4000), tasks)
			taken := len(s.Accepted)
			s.Step(core.Submit{Request: 1, IdempotencyKey: fmt.Sprintf("k%d", n), BodyHash: 1, Description: s.ParseCompose(text)})
			if len(s.Accepted) > taken {
				subs = append(subs, &followed{s.Accepted[taken].Submission, tasks, map[string]core.OutcomeKind{}})
			}
		case 3:
			s.ResetConnections(name)
		case 4:
			if !s.Hosts[name].Model.Dead() {
				s.KillHost(name)
				s.After(time.Duration(rng.IntN(2000))*time.Millisecond, func() { s.RestartHost(name, true) })
			}
		case 5:
			if h := s.Hosts[name]; !h.Blackholed {
				h.Blackholed = true
				s.After(time.Duration(rng.IntN(3000))*time.Millisecond, func() {
					h.Blackholed = false
					s.ResetConnections(name)
				})
			}
		case 6:
			if rng.IntN(3) == 0 {
				crashes.BetweenSteps++
				s.RestartPlacer()
			}
		case 7:
			s.Hosts[name].Model.Pause(s.Now, time.Duration(rng.IntN(800))*time.Millisecond)
		}
		look()
		for range rng.IntN(15) {
			run(time.Duration(rng.IntN(40)) * time.Millisecond)
		}
	}
	stormy = false
	s.ToHost, s.FromHost = nil, func(string, hostproto.Frame) bool { return true }
	for _, name := range s.HostNames {
		s.Hosts[name].Blackholed = false
		s.ResetConnections(name)
		if s.Hosts[name].Model.Dead() {
			s.RestartHost(name, false)
		}
	}
	s.SendHostList()
	for range 1400 {
		run(25 * time.Millisecond)
	}
	for _, f := range subs {
		if list, complete, _ := s.Core.Outcomes(f.id, 0); !complete || len(f.told) != f.tasks {
			t.Fatalf("submission %s of %d tasks has outcomes %v; complete: %v", f.id, f.tasks, list, complete)
		}
	}
	for i := range 200 {
		s.Step(core.RemoveProject{Request: 10, Project: fmt.Sprintf("p%d", i)})
	}
	s.Advance(20 * time.Second)
	if s.RunningTasks() != 0 {
		t.Fatalf("%d tasks run on", s.RunningTasks())
	}
	if left := s.Disk.Values[durable.AttemptsBucket]; len(left) != 0 {
		var keys []string
		for k, v := range left {
			keys = append(keys, k+" "+string(v[5:]))
		}
		slices.Sort(keys)
		t.Fatalf("%d attempts are still noted: %v", len(left), keys)
	}
	s.RequireNoViolations()
	return crashes
}
