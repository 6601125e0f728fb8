package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/core"
)

// failure is what a life was ended for.
type failure struct{ text string }

// panicTB is the TB of one life that is run outside a test.
type panicTB struct{}

func (panicTB) Helper()                           {}
func (panicTB) Logf(string, ...any)               {}
func (panicTB) Fatal(args ...any)                 { panic(failure{fmt.Sprint(args...)}) }
func (panicTB) Fatalf(format string, args ...any) { panic(failure{fmt.Sprintf(format, args...)}) }

// CheckRandom plays one life and returns what went wrong in it, or nil.
func CheckRandom(mix Mix, seed uint64) (err error) {
	defer func() {
		if f, ok := recover().(failure); ok {
			err = fmt.Errorf("life %d: %s", seed, f.text)
		}
	}()
	RunRandom(panicTB{}, mix, seed)
	return nil
}

// Mix says what lives are made of.
type Mix struct {
	Name    string
	classes []string
	more    string // settings
	kill    int    // the placer is killed at one in so many of its turns
}

// Mixes are all of them. Ordinary ones have every class; of Spread ones nearly all is bound to
// racks, and the placer is killed often.
var (
	Ordinary = Mix{"ordinary", []string{"web", "keyed", "cell", "ledger", "ledger", "batch"}, "", 6}
	Spread   = Mix{"spread", []string{"listing", "listing", "listing", "batch", "books"}, `
		(class listing (effect keyed) (window 8s) (wait 2s) (patience 6s) (spread rack 2))
		(class books (effect unsafe) (wait 2s) (patience 20s) (spread machine 2))`, 2}
	Mixes = []Mix{Ordinary, Spread}
)

// RunRandom plays a life at random: projects come, change and go while hosts die, vanish, drain and
// come back, frames are lost with their connections, and the placer is killed; the real module
// decides. It fails t on a veto, a defect, two outcomes of a task or none in time, two starts of an
// unsafe task side by side, a rule broken by what crossed its sockets, or tables that are not empty
// when all is gone.
func RunRandom(t TB, mix Mix, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 77))
	s := New(t, Settings(t, "(owner (first 200ms) (wait 20s)) (cold (for 2s) (window 500ms) (offers 12))"+mix.more), 4+rng.IntN(5))
	s.Delay = time.Duration(1+rng.IntN(30)) * time.Millisecond
	lossy := rng.Float64() * 0.02
	drop := func(host string, _ hostproto.Frame) bool {
		if rng.Float64() < lossy { // on TCP a frame is lost only with its connection
			s.After(0, func() { s.ResetConnections(host) })
			return false
		}
		return true
	}
	s.ToHost, s.FromHost = drop, drop
	type sub struct {
		id    string
		epoch uint64
		until time.Duration
	}
	var subs []sub
	names := 0
	for end := s.Now + 25*time.Second; s.Now < end; {
		switch name := s.HostNames[rng.IntN(len(s.HostNames))]; rng.IntN(14) {
		case 0, 1, 2, 3:
			names++
			text := fmt.Sprintf("name: p%d\nservices:\n  a: {x-forkhead: {class: %s, life: %dms}, deploy: {replicas: %d, restart_policy: {condition: on-failure}, resources: {reservations: {cpus: '%.1f'}}}}\n",
				rng.IntN(names+1)%6, mix.classes[rng.IntN(len(mix.classes))], 500+rng.IntN(6000), 1+rng.IntN(6), 0.2+rng.Float64()*2)
			if rng.IntN(4) == 0 {
				text += fmt.Sprintf("  b: {x-forkhead: {near: {a: %s}, life: 3s}, deploy: {replicas: %d, restart_policy: {condition: on-failure}}}\n",
					[]string{"machine", "rack", "zone"}[rng.IntN(3)], 1+rng.IntN(3))
			}
			if id := s.Submit(fmt.Sprintf("k%d", names), text); id != "" {
				subs = append(subs, sub{id, s.Epoch, s.Now + 21*time.Second})
			}
		case 4:
			s.Step(core.RemoveProject{Request: 9, Project: fmt.Sprintf("p%d", rng.IntN(6))})
		case 5:
			s.ResetConnections(name)
		case 6:
			if !s.Hosts[name].Model.Dead() {
				s.KillHost(name)
				s.After(time.Duration(rng.IntN(3000))*time.Millisecond, func() { s.RestartHost(name, true) })
			}
		case 7:
			h := s.Hosts[name]
			if !h.Blackholed {
				h.Blackholed = true
				s.After(time.Duration(rng.IntN(5000))*time.Millisecond, func() {
					h.Blackholed = false
					s.ResetConnections(name) // what was on its way is lost, and with it the connection
				})
			}
		case 8:
			on := rng.IntN(2) == 0
			s.ExecuteHostOutputs(name, s.Hosts[name].Model.Drain(s.Now, on, rng.IntN(2) == 0))
		case 9:
			s.Hosts[name].Model.Pause(s.Now, time.Duration(rng.IntN(1500))*time.Millisecond)
		case 10:
			s.SendHostList()
		case 11:
			if rng.IntN(mix.kill) == 0 {
				s.RestartPlacer()
			}
		case 12:
			h := s.Hosts[name]
			h.Listed = !h.Listed || !h.Model.Dead() // only what is dead leaves the list
			s.SendHostList()
		case 13:
			s.Hosts[name].Model.SuppressStarts(s.Now, 2*time.Second, "web")
		}
		for range rng.IntN(20) {
			s.Advance(time.Duration(rng.IntN(40)) * time.Millisecond)
			s.RequireNoDuplicates()
		}
	}
	// Peace: all is as it should be again.
	s.ToHost, s.FromHost = nil, nil
	for _, name := range s.HostNames {
		h := s.Hosts[name]
		h.Blackholed, h.Listed = false, true
		s.ResetConnections(name)
		if h.Model.Dead() {
			s.RestartHost(name, false)
		}
		s.ExecuteHostOutputs(name, h.Model.Drain(s.Now, false, false))
	}
	s.SendHostList()
	for range 1200 {
		s.Advance(25 * time.Millisecond)
		s.RequireNoDuplicates()
	}
	for _, b := range subs {
		if b.epoch != s.Epoch {
			continue // it went with its placer
		}
		list, complete, known := s.Core.Outcomes(b.id, 0)
		seen := map[string]bool{}
		for _, o := range list {
			name := fmt.Sprintf("%s/%d", o.Service, o.Replica)
			if seen[name] {
				t.Fatalf("submission %s: %s has two outcomes", b.id, name)
			}
			seen[name] = true
			// Patience for the old copy's end, and then for the new one's start.
			if took := time.Duration(o.TookMS) * time.Millisecond; took > 41*time.Second {
				t.Fatalf("submission %s: %s was told after %v", b.id, name, took)
			}
		}
		if !complete || !known {
			t.Fatalf("submission %s is not complete: %+v", b.id, list)
		}
	}
	for i := range 7 {
		s.Step(core.RemoveProject{Request: 10, Project: fmt.Sprintf("p%d", i)})
	}
	s.Advance(20 * time.Second)
	if held := s.Core.TableSizes(); held != (core.TableSizes{Hosts: held.Hosts}) || s.RunningTasks() != 0 {
		t.Fatalf("left over: %+v, %d running", held, s.RunningTasks())
	}
	s.RequireNoViolations()
}

// RequireNoDuplicates fails the test if two live hosts hold one unsafe task.
func (s *Sim) RequireNoDuplicates() {
	held := map[uint64]string{}
	for _, name := range s.HostNames {
		h := s.Hosts[name]
		if h.Model.Dead() {
			continue
		}
		for _, spec := range h.Model.BoundSpecs() {
			if spec.Class != "ledger" && spec.Class != "books" {
				continue
			}
			if other := held[spec.Key]; other != "" {
				s.t.Fatalf("%s runs on %s and on %s", spec.Name, other, name)
			}
			held[spec.Key] = name
		}
	}
}
