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

// Crashes counts where the placer of a durable life died.
type Crashes struct{ BeforeNote, BehindNote, HalfCarried, Between, Recovering int }

// CheckDurable plays one durable life and returns what went wrong in it, or nil.
func CheckDurable(seed uint64) (c Crashes, err error) {
	defer func() {
		if f, ok := recover().(failure); ok {
			err = fmt.Errorf("durable life %d: %s", seed, f.text)
		}
	}()
	return PlayDurable(single{}, seed), nil
}

// followed is a submission as its client knows it.
type followed struct {
	id    string
	tasks int
	told  map[string]core.OutcomeKind
}

// PlayDurable plays a life whose placer is killed again and again, at each point of a step that notes something and while
// it recovers, as hosts die, vanish and come back. It fails t if a submission that was acknowledged is forgotten, if one of
// its tasks is told no outcome, or another than before, if an unsafe task runs twice side by side, or on a defect.
func PlayDurable(t TB, seed uint64) (crashes Crashes) {
	rng := rand.New(rand.NewPCG(seed, 99))
	s := NewDurable(t, Settings(t, "(owner (first 200ms) (wait 20s))"+Spread.more), 4+rng.IntN(4))
	s.Delay = time.Duration(1+rng.IntN(20)) * time.Millisecond
	recovering, stormy := false, true
	s.CrashAt = func() Crash {
		if !stormy || rng.IntN(25) > 0 && (!recovering || rng.IntN(3) > 0) {
			return Lives
		}
		if recovering {
			crashes.Recovering++
		}
		switch rng.IntN(3) {
		case 0:
			crashes.BeforeNote++
			return BeforeNote
		case 1:
			crashes.BehindNote++
			return BehindNote
		}
		crashes.HalfCarried++
		return HalfCarried
	}
	var subs []*followed
	look := func() {
		if s.Crashed() {
			recovering = true
			s.Restart()
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
		s.NeverTwice()
	}
	run := func(d time.Duration) {
		s.Run(d)
		look()
	}
	classes := []string{"web", "keyed", "ledger", "ledger", "listing", "books"}
	for end, n := s.Now+15*time.Second, 0; s.Now < end; {
		switch name := s.Names[rng.IntN(len(s.Names))]; rng.IntN(10) {
		case 0, 1, 2:
			n++
			tasks := 1 + rng.IntN(4)
			text := fmt.Sprintf("name: p%d\nservices:\n  a: {x-forkhead: {class: %s, life: %dms}, deploy: {replicas: %d, restart_policy: {condition: on-failure}}}\n",
				n, classes[rng.IntN(len(classes))], 500+rng.IntN(4000), tasks)
			taken := len(s.Taken)
			s.Step(core.Submit{Request: 1, IdempotencyKey: fmt.Sprintf("k%d", n), BodyHash: 1, Description: s.Parse(text)})
			if len(s.Taken) > taken {
				subs = append(subs, &followed{s.Taken[taken].Submission, tasks, map[string]core.OutcomeKind{}})
			}
		case 3:
			s.Cut(name)
		case 4:
			if !s.Hosts[name].Life.Dead() {
				s.Kill(name)
				s.After(time.Duration(rng.IntN(2000))*time.Millisecond, func() { s.Revive(name, true) })
			}
		case 5:
			if h := s.Hosts[name]; !h.Mute {
				h.Mute = true
				s.After(time.Duration(rng.IntN(3000))*time.Millisecond, func() {
					h.Mute = false
					s.Cut(name)
				})
			}
		case 6:
			if rng.IntN(3) == 0 {
				crashes.Between++
				s.Restart()
			}
		case 7:
			s.Hosts[name].Life.Pause(s.Now, time.Duration(rng.IntN(800))*time.Millisecond)
		}
		look()
		for range rng.IntN(15) {
			run(time.Duration(rng.IntN(40)) * time.Millisecond)
		}
	}
	stormy = false
	s.ToHost, s.FromHost = nil, func(string, hostproto.Frame) bool { return true }
	for _, name := range s.Names {
		s.Hosts[name].Mute = false
		s.Cut(name)
		if s.Hosts[name].Life.Dead() {
			s.Revive(name, false)
		}
	}
	s.List()
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
	s.Run(20 * time.Second)
	if s.Running() != 0 {
		t.Fatalf("%d tasks run on", s.Running())
	}
	if left := s.Disk.Values[durable.AttemptsBucket]; len(left) != 0 {
		var keys []string
		for k, v := range left {
			keys = append(keys, k+" "+string(v[5:]))
		}
		slices.Sort(keys)
		t.Fatalf("%d attempts are still noted: %v", len(left), keys)
	}
	s.Clean()
	return crashes
}
