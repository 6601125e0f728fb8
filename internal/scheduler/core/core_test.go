package core_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/emulator/hostmodel"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/verify/simulation"
)

func TestPlaces(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 6)
	out := s.Await(s.Submit("", `
name: shop
services:
  web: {image: web, deploy: {replicas: 5}}
  ledger: {image: ledger, x-forkhead: {class: ledger}, deploy: {replicas: 2}}
`), 5*time.Second)
	if simulation.Count(out, core.OutcomePlaced) != 7 {
		t.Fatalf("outcomes: %+v", out)
	}
	if o := out["web/1"]; o.Host == "" || o.Rack == "" || o.Attempts < 1 {
		t.Fatalf("outcome lacks its place: %+v", o)
	}
	s.Clean()
}

// Two in a rack are allowed, three racks have a large host: six of eight are placed, the rest
// refused with the spread as the reason, and none has two outcomes.
func TestSpreadRefuses(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 6)
	out := s.Await(s.Submit("", `
name: calendar
services:
  calendar-batch:
    x-forkhead: {class: batch}
    deploy: {replicas: 8, resources: {reservations: {cpus: "2", memory: 4gb}}}
`), 20*time.Second)
	if simulation.Count(out, core.OutcomePlaced) != 6 || simulation.Count(out, core.OutcomeRejected) != 2 {
		t.Fatalf("outcomes: %+v", out)
	}
	for _, o := range out {
		if o.Outcome == core.OutcomeRejected && !strings.Contains(o.Reason, "spread: at most 2 of the service in one rack") {
			t.Fatalf("reason: %q", o.Reason)
		}
	}
	s.Clean()
}

// Hosts that die in the middle of a start, or after it and before they say so: safe tasks go
// elsewhere, and each gets one outcome.
func TestHostDies(t *testing.T) {
	for name, point := range map[string]hostmodel.Point{"mid look": hostmodel.MidLook, "mid start": hostmodel.MidStart, "after bind": hostmodel.AfterBind} {
		t.Run(name, func(t *testing.T) {
			s := simulation.New(t, simulation.Settings(t, ""), 6)
			for _, h := range s.Names[:3] {
				s.Hosts[h].Life.DieAt(point)
			}
			out := s.Await(s.Submit("", "name: p\nservices: {web: {deploy: {replicas: 12}}}"), 20*time.Second)
			if simulation.Count(out, core.OutcomePlaced) != 12 {
				t.Fatalf("outcomes: %+v", out)
			}
			s.Clean()
		})
	}
}

// An unsafe task whose host dies before it answered is not sent again before that life of the
// host is known to be over, and then is.
func TestUnsafeWaitsForItsFate(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 4)
	for _, h := range s.Names {
		s.Hosts[h].Life.DieAt(hostmodel.AfterBind)
	}
	id := s.Submit("", "name: p\nservices: {l: {x-forkhead: {class: ledger}}}")
	s.Run(5 * time.Second)
	if len(s.Offers) != 1 {
		t.Fatalf("%d offers while the first may have run", len(s.Offers))
	}
	first := s.Offers[0].Host
	for _, h := range s.Names {
		s.Hosts[h].Life.DieAt(hostmodel.Nowhere)
	}
	s.Revive(first, true)
	out := s.Await(id, 15*time.Second)
	if simulation.Count(out, core.OutcomePlaced) != 1 || len(s.Offers) != 2 {
		t.Fatalf("outcomes %+v after %d offers", out, len(s.Offers))
	}
	s.Clean()
}

// The connection breaks while the start reply is on its way: the task runs, the host says so
// when it is back, and the task is placed there; it is not started a second time.
func TestReplyLostThenHeld(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 4)
	lost := ""
	s.FromHost = func(host string, f hostproto.Frame) bool {
		if _, ok := f.(hostproto.Running); ok && lost == "" {
			lost = host
			s.After(0, func() { s.Cut(host) })
			return false
		}
		return true
	}
	out := s.Await(s.Submit("", "name: p\nservices: {l: {x-forkhead: {class: ledger}}}"), 15*time.Second)
	if o := out["l/1"]; o.Outcome != core.OutcomePlaced || o.Host != lost || len(s.Offers) != 1 {
		t.Fatalf("outcome %+v, %d offers, lost at %s", o, len(s.Offers), lost)
	}
	s.Clean()
}

// An offer that never arrived is known never to have run once the host is back and asked.
func TestOfferLostThenSettled(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 4)
	lost := false
	s.ToHost = func(host string, f hostproto.Frame) bool {
		if _, ok := f.(hostproto.Offer); ok && !lost {
			lost = true
			s.After(0, func() { s.Cut(host) })
			return false
		}
		return true
	}
	out := s.Await(s.Submit("", "name: p\nservices: {l: {x-forkhead: {class: ledger}}}"), 15*time.Second)
	if simulation.Count(out, core.OutcomePlaced) != 1 || len(s.Offers) != 2 {
		t.Fatalf("outcomes %+v, %d offers", out, len(s.Offers))
	}
	s.Clean()
}

// A reply that comes after the deadline's timer: the ask has ended, the host is asked to stop
// what it started, or its owner takes it; there is one outcome either way.
func TestReplyAfterDeadline(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 2)
	for _, h := range s.Names {
		s.Hosts[h].Life.Slow(s.Now, 10*time.Second, 30) // starts take 3 s, asks 2 s
	}
	out := s.Await(s.Submit("", "name: p\nservices: {l: {x-forkhead: {class: ledger, patience: 9s}}}"), 20*time.Second)
	if len(out) != 1 {
		t.Fatalf("outcomes: %+v", out)
	}
	s.Run(5 * time.Second)
	running := s.Running()
	if placed := simulation.Count(out, core.OutcomePlaced); running != placed {
		t.Fatalf("%d run, %d placed", running, placed)
	}
	s.Clean()
}

// A host that goes silent without a reset is found out; harmless tasks go elsewhere, and when it
// comes back what it still runs is stopped.
func TestSilentHost(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 4)
	out := s.Await(s.Submit("", "name: p\nservices: {web: {deploy: {replicas: 4}}, l: {x-forkhead: {class: ledger}, deploy: {replicas: 4}}}"), 5*time.Second)
	victim := out["web/1"].Host
	s.Hosts[victim].Mute = true
	s.Run(8 * time.Second)
	unsafe := 0
	for _, o := range s.Offers {
		if o.Offer.Spec.Class == "ledger" {
			unsafe++
		}
	}
	if unsafe != 4 {
		t.Fatalf("%d offers of four unsafe tasks", unsafe)
	}
	s.Hosts[victim].Mute = false
	s.Run(8 * time.Second)
	running := s.Running()
	if running != 8 {
		t.Fatalf("%d tasks run, want 8", running)
	}
	s.Clean()
}

// A placer that is killed and starts again finds its tasks with the hosts; a client that sends
// its submission again gets them as they are, and nothing is started twice.
func TestPlacerRestarts(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 6)
	text := "name: p\nservices: {web: {deploy: {replicas: 3}}, l: {x-forkhead: {class: ledger}, deploy: {replicas: 3}}}"
	s.Submit("k", text)
	s.Run(30 * time.Millisecond) // attempts are out
	s.Restart()
	out := s.Await(s.Submit("k", text), 20*time.Second)
	if simulation.Count(out, core.OutcomePlaced) != 6 {
		t.Fatalf("outcomes: %+v", out)
	}
	s.Run(3 * time.Second)
	keys := map[uint64]int{}
	running := s.Running()
	for _, o := range s.Offers {
		if o.Offer.Spec.Class == "ledger" {
			keys[o.Offer.Spec.Key]++
		}
	}
	for k, n := range keys {
		if n > 1 {
			t.Errorf("unsafe task %x was offered %d times", k, n)
		}
	}
	if running != 6 {
		t.Fatalf("%d tasks run, want 6", running)
	}
	s.Clean()
}

// A drain told while offers are in flight and while a retry waits: nothing new reaches the host
// later than the grace.
func TestDrain(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 3)
	s.Delay = 20 * time.Millisecond
	s.Submit("", "name: p\nservices: {web: {deploy: {replicas: 20}}}")
	s.Run(25 * time.Millisecond)
	told := s.Now
	s.HostOut("h1", s.Hosts["h1"].Life.Drain(s.Now, true, false))
	s.Run(10 * time.Second)
	for _, o := range s.Offers {
		if o.Host == "h1" && o.At > told+s.Delay+s.Settings.Module.DrainGrace {
			t.Fatalf("an offer to h1 %v after it drains", o.At-told)
		}
	}
	s.Clean()
}

// A host that flaps under one name with a new epoch each time: no task has two outcomes, none is
// lost, and the tables are empty once the project is gone.
func TestFlappingHost(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 4)
	id := s.Submit("", "name: p\nservices: {web: {deploy: {replicas: 30}}, l: {x-forkhead: {class: ledger}, deploy: {replicas: 4}}}")
	for range 10 {
		s.Run(300 * time.Millisecond)
		s.Kill("h1")
		s.Run(150 * time.Millisecond)
		s.Revive("h1", false)
	}
	if out := s.Await(id, 30*time.Second); len(out) != 34 {
		t.Fatalf("%d outcomes", len(out))
	}
	s.Run(10 * time.Second)
	s.Step(core.RemoveProject{Request: 2, Project: "p"})
	s.Run(5 * time.Second)
	if held := s.Core.TableSizes(); held != (core.TableSizes{Hosts: held.Hosts}) {
		t.Fatalf("left over: %+v", held)
	}
	s.Clean()
}

func TestIdempotencyKey(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 2)
	text := "name: p\nservices: {web: {deploy: {replicas: 2}}}"
	a, b := s.Submit("k", text), s.Submit("k", text)
	if a != b {
		t.Fatalf("submissions %s and %s", a, b)
	}
	if s.Submit("k", text+"\n") != "" || s.Rejected[0].Status != 422 {
		t.Fatalf("another body under the key: %+v", s.Rejected)
	}
	s.Await(a, 5*time.Second)
	if n := s.Core.Status().Offers; n != 2 {
		t.Fatalf("%d offers for two tasks", n)
	}
}

// A project that is submitted again keeps what has not changed, replaces what has, one at a
// time, and stops what it no longer has.
func TestUpdate(t *testing.T) {
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
				t.Fatalf("outcomes: %+v", out)
			}
			if took := s.Now - start; took < time.Second {
				t.Fatalf("three tasks one at a time with 500ms between took %v", took)
			}
			s.Run(2 * time.Second)
			running := s.Running()
			if running != 3 {
				t.Fatalf("%d run, want 3", running)
			}
			out = s.Await(s.Submit("", strings.Replace(text("web:2", "3"), "\n  old: {image: old}", "", 1)), 5*time.Second)
			for _, o := range out {
				if o.Reason != "it runs already" {
					t.Fatalf("unchanged, and yet %+v", o)
				}
			}
			s.Clean()
		})
	}
}

// A project that is removed and submitted again at once: no task starts while its earlier copy
// has not ended, also where that takes a while. Found by a bad day, as a breach of rule 2.
func TestRemoveAndSubmitAgain(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 4)
	text := "name: p\nservices: {l: {x-forkhead: {class: ledger}, deploy: {replicas: 4}}}"
	s.Await(s.Submit("", text), 5*time.Second)
	s.Delay = 100 * time.Millisecond
	s.Step(core.RemoveProject{Request: 2, Project: "p"})
	stopped := s.Now
	out := s.Await(s.Submit("", text), 10*time.Second)
	if simulation.Count(out, core.OutcomePlaced) != 4 {
		t.Fatalf("outcomes: %+v", out)
	}
	for _, o := range s.Offers[4:] {
		if o.At < stopped+2*s.Delay {
			t.Fatalf("%s is offered %v after the stop of its earlier copy was sent", o.Offer.Spec.Name, o.At-stopped)
		}
	}
	if n := s.Running(); n != 4 {
		t.Fatalf("%d run", n)
	}
	// Out of reach, it is refused, and nothing is offered.
	for _, h := range s.Names {
		s.Hosts[h].Mute = true
	}
	n := len(s.Offers)
	s.Step(core.RemoveProject{Request: 3, Project: "p"})
	if out := s.Await(s.Submit("", text), 60*time.Second); simulation.Count(out, core.OutcomeRejected) != 4 || len(s.Offers) != n {
		t.Fatalf("outcomes: %+v, %d new offers", out, len(s.Offers)-n)
	}
	s.Clean()
}

// An update whose first tasks cannot be placed is stopped; what was not yet replaced runs on.
func TestUpdatePauses(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 2)
	text := func(cpus string) string {
		return "name: p\nservices: {web: {x-forkhead: {patience: 2s}, deploy: {replicas: 3, resources: {reservations: {cpus: '" + cpus + "'}}, update_config: {parallelism: 1}}}}"
	}
	s.Await(s.Submit("", text("1")), 5*time.Second)
	out := s.Await(s.Submit("", text("40")), 20*time.Second)
	if simulation.Count(out, core.OutcomeRejected) != 3 {
		t.Fatalf("outcomes: %+v", out)
	}
	running := s.Running()
	if running != 2 {
		t.Fatalf("%d run, want the two that were not replaced", running)
	}
	s.Clean()
}

func TestDependsOn(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 4)
	out := s.Await(s.Submit("", `
name: p
services:
  web: {depends_on: [db]}
  db: {depends_on: {migrate: {condition: service_completed_successfully}}}
  migrate: {x-forkhead: {life: 500ms}, deploy: {mode: replicated-job}}
`), 10*time.Second)
	if simulation.Count(out, core.OutcomePlaced) != 3 {
		t.Fatalf("outcomes: %+v", out)
	}
	if s.Offers[0].Offer.Spec.Name != "p/migrate/1" || s.Offers[2].Offer.Spec.Name != "p/web/1" {
		t.Fatalf("order of offers: %v", s.Offers)
	}
	if gap := s.Offers[1].At - s.Offers[0].At; gap < 500*time.Millisecond {
		t.Fatalf("db went out %v after migrate, which takes 500ms", gap)
	}
	out = s.Await(s.Submit("", `
name: q
services:
  web: {depends_on: [db]}
  db: {deploy: {resources: {reservations: {cpus: "400"}}}}
`), 10*time.Second)
	if o := out["web/1"]; o.Outcome != core.OutcomeRejected || !strings.Contains(o.Reason, "depends on db") {
		t.Fatalf("web: %+v", o)
	}
	if o := out["db/1"]; !strings.Contains(o.Reason, "more than any kind of host has") {
		t.Fatalf("db: %+v", o)
	}
	s.Clean()
}

func TestConstraints(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 6)
	out := s.Await(s.Submit("", `
name: p
services:
  a: {deploy: {replicas: 3, placement: {constraints: ["node.labels.rack == r1", "node.hostname != h2"]}}}
  b: {deploy: {mode: global}}
  c: {deploy: {replicas: 6, placement: {max_replicas_per_node: 1}}}
  d: {deploy: {replicas: 6, placement: {preferences: [{spread: node.labels.rack}]}}}
  e: {x-forkhead: {wait: 300ms, patience: 500ms}, deploy: {placement: {constraints: ["node.labels.disk == ssd"]}}}
`), 10*time.Second)
	hosts := map[string]map[string]int{}
	racks := map[string]int{}
	for _, o := range out {
		if o.Outcome != core.OutcomePlaced {
			continue
		}
		if hosts[o.Service] == nil {
			hosts[o.Service] = map[string]int{}
		}
		hosts[o.Service][o.Host]++
		if o.Service == "d" {
			racks[o.Rack]++
		}
	}
	if hosts["a"]["h3"] != 3 || len(hosts["b"]) != 6 || len(hosts["c"]) != 6 {
		t.Fatalf("placed at %v", hosts)
	}
	if racks["r0"] != 2 || racks["r1"] != 2 || racks["r2"] != 2 {
		t.Fatalf("a preference to spread over racks gave %v", racks)
	}
	if o := out["e/1"]; o.Outcome != core.OutcomeRejected || !strings.Contains(o.Reason, "no ready host meets label.disk == ssd") {
		t.Fatalf("e: %+v", o)
	}
	s.Step(core.RemoveProject{Project: "p"})
	s.Run(time.Second)
	if n := s.Core.TableSizes().Labels; n != 0 {
		t.Fatalf("%d labels are still held", n)
	}
	s.Clean()
}

// A service that has to be near another goes only where that one is, follows it where it is placed
// anew, and is refused where there is no room beside it.
func TestNear(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 8)
	out := s.Await(s.Submit("", `
name: p
services:
  db: {deploy: {resources: {reservations: {cpus: "6"}}}}
  web: {x-forkhead: {near: {db: rack}}, deploy: {replicas: 4}}
  side: {x-forkhead: {near: {db: machine}}}
  far: {x-forkhead: {near: {db: machine}, wait: 400ms, patience: 800ms}, deploy: {resources: {reservations: {cpus: "31"}}}}
`), 10*time.Second)
	db := out["db/1"]
	for i := 1; i <= 4; i++ {
		if o := out[fmt.Sprintf("web/%d", i)]; o.Outcome != core.OutcomePlaced || o.Rack != db.Rack {
			t.Fatalf("db is at %+v, web/%d at %+v", db, i, o)
		}
	}
	if o := out["side/1"]; o.Host != db.Host {
		t.Fatalf("db is at %+v, side at %+v", db, o)
	}
	if o := out["far/1"]; o.Outcome != core.OutcomeRejected {
		t.Fatalf("far: %+v", o)
	}
	// Its host dies for good: db comes up elsewhere, and what comes anew follows it.
	s.Kill(db.Host)
	s.Hosts[db.Host].Listed = false
	s.List()
	s.Run(5 * time.Second)
	out = s.Await(s.Submit("", `
name: p
services:
  db: {deploy: {resources: {reservations: {cpus: "6"}}}}
  new: {x-forkhead: {near: {db: machine}}}
`), 10*time.Second)
	if now := out["db/1"]; now.Host == db.Host || out["new/1"].Host != now.Host {
		t.Fatalf("%+v", out)
	}
	s.Clean()
}

func TestRestartPolicy(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 2)
	s.Await(s.Submit("", `
name: p
services:
  once: {x-forkhead: {life: 300ms}, restart: "no"}
  twice: {x-forkhead: {life: 300ms}, deploy: {restart_policy: {max_attempts: 1}}}
  ever: {x-forkhead: {life: 300ms}}
`), 5*time.Second)
	s.Run(5 * time.Second)
	n := map[string]int{}
	for _, o := range s.Offers {
		n[o.Offer.Spec.Name]++
	}
	if n["p/once/1"] != 1 || n["p/twice/1"] != 2 || n["p/ever/1"] < 5 {
		t.Fatalf("starts: %v", n)
	}
	s.Clean()
}

func TestLimits(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, "(limits (tasks 10) (per-submit 8) (submissions 2) (labels 2))"), 2)
	for _, c := range []struct {
		text   string
		status int
	}{
		{"services: {w: {deploy: {replicas: 9}}}", 413},
		{"services: {w: {deploy: {replicas: 8}}}", 0},
		{"services: {w: {deploy: {replicas: 3}}}", 503},
		{"services: {w: {deploy: {placement: {constraints: ['node.id==a', 'node.id==b', 'node.id==c']}}}}", 503},
		{"services: {w: {}}", 0},
		{"services: {w: {}}", 429},
	} {
		n := len(s.Rejected)
		s.Submit("", c.text)
		got := 0
		if len(s.Rejected) > n {
			got = s.Rejected[n].Status
			if (got == 429 || got == 503) && s.Rejected[n].RetryAfter <= 0 {
				t.Errorf("%s: no Retry-After", c.text)
			}
		}
		if got != c.status {
			t.Errorf("%s: status %d, want %d", c.text, got, c.status)
		}
	}
}

// The list fails and comes back; the module asks for it again, and tasks wait meanwhile.
func TestListFails(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 0)
	s.ListUp = false
	s.List()
	for i := range 3 {
		s.AddHost(hostmodel.Default("late"+string(rune('a'+i)), "small", "a", "r", 8, 16))
	}
	id := s.Submit("", "services: {w: {}}")
	s.Run(time.Second)
	s.ListUp = true
	if out := s.Await(id, 10*time.Second); simulation.Count(out, core.OutcomePlaced) != 1 {
		t.Fatalf("outcomes: %+v", out)
	}
	s.Clean()
}

// Two hosts whose names hash to one number are told apart.
func TestCollision(t *testing.T) {
	hash := func(name string, salt uint32) uint32 {
		if salt == 0 && (name == "h0" || name == "h1") {
			return 42
		}
		return uint32(name[1]) + salt*1000
	}
	s := simulation.New(t, simulation.Settings(t, ""), 4, func(c *core.Config) { c.Hash = hash })
	out := s.Await(s.Submit("", "services: {w: {deploy: {mode: global}}}"), 5*time.Second)
	hosts := map[string]bool{}
	for _, o := range out {
		hosts[o.Host] = true
	}
	if len(hosts) != 4 {
		t.Fatalf("placed at %v", hosts)
	}
	s.Clean()
}

// A module that offers twice and withdraws what was vetoed, and what never was: vetoed, counted,
// and the placer goes on.
func TestVetoes(t *testing.T) {
	set := simulation.Settings(t, "")
	module, err := forkhead.New(set.Module, 1)
	if err != nil {
		t.Fatal(err)
	}
	s := simulation.New(t, set, 4, func(c *core.Config) {
		c.Decide = func(now time.Duration, events []forkhead.Event) (out []forkhead.Action) {
			for _, a := range module.Step(now, events) {
				out = append(out, a)
				if o, ok := a.(forkhead.Offer); ok {
					out = append(out, o, forkhead.Withdraw{Task: o.Task, Attempt: 1}, forkhead.Withdraw{Task: o.Task, Attempt: 7},
						forkhead.Offer{Task: 9999, Machine: o.Machine}, forkhead.Reject{Task: 9999})
				}
			}
			return out
		}
	})
	if out := s.Await(s.Submit("", "services: {l: {x-forkhead: {class: ledger}}}"), 10*time.Second); simulation.Count(out, core.OutcomePlaced) != 1 {
		t.Fatalf("outcomes: %+v", out)
	}
	if st := s.Core.Status(); st.Vetoes != 3 || st.VetoesByRule["no_repeat"] != 1 || st.VetoesByRule["one_answer"] != 2 || st.Defects != 3 || len(s.Offers) != 1 {
		t.Fatalf("%+v, %d offers", st, len(s.Offers))
	}
}

// The same inputs at the same times give the same outputs.
func TestDeterminism(t *testing.T) {
	play := func() (string, int) {
		s := simulation.New(t, simulation.Settings(t, ""), 5)
		s.Submit("", "name: p\nservices: {web: {deploy: {replicas: 30}}, l: {x-forkhead: {class: ledger}, deploy: {replicas: 5}}}")
		s.Run(time.Second)
		s.Kill("h1")
		s.Run(time.Second)
		s.Revive("h1", true)
		s.Run(3 * time.Second)
		text := ""
		for _, o := range s.Offers {
			text += o.At.String() + o.Host + o.Offer.Spec.Name + "\n"
		}
		return text, len(s.Offers)
	}
	a, n := play()
	b, _ := play()
	if a != b || n < 35 {
		t.Fatalf("two plays of one history differ (%d offers)", n)
	}
}
