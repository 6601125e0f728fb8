package plan

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"forkhead/internal/emulator/hostmodel"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/parse/settings"
	"forkhead/internal/planning/solver"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/verify/simulation"
)

// newProblem returns a problem with hosts given as JSON and three classes: c has no limits, b is restricted to hosts of
// machine type big, and r has a spread limit.
func newProblem(t testing.TB, hosts string) *Problem {
	t.Helper()
	s, err := settings.Parse("s", []byte(`(forkhead (kind k (cores 4) (memory 8GiB)) (kind big (cores 8) (memory 16GiB))
	  (class c) (class b (kind big)) (class r (spread rack 2)))`))
	if err != nil {
		t.Fatalf("settings.Parse: %v", err)
	}
	h, err := ReadHosts("h.json", []byte(hosts))
	if err != nil {
		t.Fatalf("ReadHosts(%s): %v", hosts, err)
	}
	return &Problem{Settings: s, Hosts: h, MigrationCost: 1}
}

const fleet = `{"hosts":[{"id":"a","kind":"k","rack":"r","cores":4,"memory":8,"cost":4},{"id":"b","kind":"k","rack":"r","cores":4,"memory":8,"cost":4},
  {"id":"c","kind":"big","rack":"s","cores":8,"memory":16,"cost":9,"labels":{"disk":"ssd"}},{"id":"d","kind":"big","rack":"s","cores":8,"memory":16,"cost":9,"state":"draining"}]}`

// newService returns a service of n tasks, each with a number of cores and 1 GiB of memory.
func newService(name, class string, n int, cores float64) servicespec.Service {
	return servicespec.Service{Name: name, Class: class, Replicas: n, Cores: cores, Memory: 1}
}

// TestSolveKeepsRunningTasksAndListsMigrations checks that a plan assigns all tasks, keeps running tasks on their hosts
// where that is possible, and lists the migrations of the others.
func TestSolveKeepsRunningTasksAndListsMigrations(t *testing.T) {
	problem := newProblem(t, fleet)
	problem.Specs = []*servicespec.Description{{Services: []servicespec.Service{newService("x", "c", 4, 2), newService("y", "b", 1, 1)}}}
	plan, err := Solve(problem, solver.Options{})
	if err != nil || !plan.Feasible || plan.Cost != 9+4 || plan.HostsInUse != 2 || len(plan.Assignments) != 5 {
		t.Fatalf("Solve without running tasks = %+v, %v, want 5 assignments on 2 hosts at cost 13", plan, err)
	}
	// One replica of x stays, the other has to leave a host that is not needed, and y has to leave a draining host.
	problem.Running = []Running{{"x", 1, "a"}, {"x", 2, "b"}, {"y", 1, "d"}}
	plan, err = Solve(problem, solver.Options{})
	if err != nil || len(plan.Migrations) != 2 || plan.Migrations[1] != (Migration{"y", 1, "d", "c"}) {
		t.Fatalf("Solve with running tasks = %+v, %v, want 2 migrations, the second of y/1 from d to c", plan, err)
	}
}

func TestSolveDescribesConflicts(t *testing.T) {
	for name, c := range map[string]struct {
		services []servicespec.Service
		want     []string
	}{
		"too large":                       {[]servicespec.Service{newService("x", "c", 1, 9)}, []string{"x asks for 1 tasks of 9 cores", "the cores of the 3 hosts"}},
		"host of the machine type drains": {[]servicespec.Service{newService("x", "b", 3, 3)}, []string{"x asks for 3", "the cores of the 3 hosts", "x runs only on hosts with kind big"}},
		"rack limit":                      {[]servicespec.Service{newService("ok", "c", 1, 1), newService("x", "r", 5, 1)}, []string{"x asks for 5", "at most 2 of x in one rack"}},
		"affinity": {
			[]servicespec.Service{newService("x", "b", 1, 4), {Name: "y", Class: "c", Replicas: 2, Cores: 4, Memory: 1, Near: []servicespec.Near{{Service: "x", Domain: "machine"}}}},
			[]string{"x asks for 1", "y asks for 2", "the cores of the 3 hosts", "y has to be near x, in one machine"},
		},
		"constraint that no host meets": {
			[]servicespec.Service{{Name: "x", Replicas: 1, Cores: 1, Constraints: []servicespec.Constraint{{Attribute: "label.disk", Value: "tape"}}}},
			[]string{"x asks for 1", "x runs only on hosts with label.disk == tape"},
		},
	} {
		problem := newProblem(t, fleet)
		problem.Specs = []*servicespec.Description{{Services: c.services}}
		plan, err := Solve(problem, solver.Options{})
		if err != nil || plan.Feasible || !plan.Optimal || len(plan.Conflict) != len(c.want) {
			t.Errorf("%s: Solve = %+v, %v, want Feasible false, Optimal true and a conflict of %d messages", name, plan, err, len(c.want))
			continue
		}
		for i, want := range c.want {
			if !strings.Contains(plan.Conflict[i], want) && !strings.Contains(strings.Join(plan.Conflict, "\n"), want) {
				t.Errorf("%s: conflict = %q, want a message that contains %q", name, plan.Conflict, want)
			}
		}
	}
}

func TestReadHostsRejectsMalformedHosts(t *testing.T) {
	for text, want := range map[string]string{
		`{"hosts":[{"id":"a"},{"id":"a"}]}`:                                                   "want a unique id that is not empty",
		`{"hosts":[{"id":"a","cores":-1}]}`:                                                   "want 0 to 10^6",
		"{\"hosts\":[\n{\"id\":\"a\",\"cost\":1.5}]}":                                         "h.json:2:",
		`{"hosts":[{"id":"a","memory":2e9},{"id":"b","memory":2e9},{"id":"c","memory":2e9}]}`: "GiB, from 0 to 10^6\nh.json: 2 more hosts have more than 10^6 GiB of memory",
		`{"host":[]}`: "unknown field",
		`{`:           "h.json:1:",
	} {
		if _, err := ReadHosts("h.json", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("ReadHosts(%s): error = %v, want one with %q", text, err, want)
		}
	}
}

// measureDistance places random services on a fleet twice: with the core and its Placer, and with the solver. It
// returns the number of hosts used in each case, and the number of tasks that the Placer did not place.
func measureDistance(t testing.TB, hosts int, load float64, seed uint64) (used, best, unplaced int) {
	set := simulation.Settings(t, "")
	sim := simulation.New(t, set, 0)
	problem := &Problem{Settings: set}
	cores := 0.0
	for i := range hosts {
		machineType, c, m := "small", 8., 16.
		if i%3 == 2 {
			machineType, c, m = "large", 32, 64
		}
		cfg := hostmodel.DefaultConfig(fmt.Sprint("n", i), machineType, "a", fmt.Sprint("r", i/4), c, m)
		cfg.UsageSwing, cfg.NoteInterval, cfg.MeanUsage = 0, 0, 0.7
		sim.AddHost(cfg)
		problem.Hosts = append(problem.Hosts, Host{ID: cfg.Name, MachineType: machineType, Zone: "a", Rack: cfg.Rack, Cores: c, Memory: m, Cost: 1})
		cores += c
	}
	sim.SendHostList()
	sim.Advance(time.Second)
	rng := rand.New(rand.NewPCG(seed, 9))
	text := "name: p\nservices:\n"
	remainingCores := load * cores
	for i := 0; remainingCores > 0; i++ {
		n, c := 1+rng.IntN(5), []float64{0.5, 1, 2, 4}[rng.IntN(4)]
		if remainingCores -= float64(n) * c; remainingCores < 0 {
			break
		}
		text += fmt.Sprintf("  s%d: {deploy: {replicas: %d, resources: {reservations: {cpus: '%.1f', memory: %dm}}}}\n", i, n, c, int(c*1400))
	}
	id := sim.Submit("", text)
	outcomes := sim.Await(id, 2*time.Minute)
	hostsUsed := map[string]bool{}
	for _, o := range outcomes {
		if o.Outcome == core.OutcomePlaced {
			hostsUsed[o.Host] = true
		} else {
			unplaced++
		}
	}
	problem.Specs = []*servicespec.Description{sim.ParseCompose(text)}
	end := time.Now().Add(5 * time.Second)
	plan, err := Solve(problem, solver.Options{Stop: func() bool { return time.Now().After(end) }})
	if err != nil {
		t.Fatalf("Solve for %d hosts at load %g: %v", hosts, load, err)
	}
	return len(hostsUsed), plan.HostsInUse, unplaced
}

// BenchmarkDistance reports how far the Placer's placements are from the optimum. It reports the number of hosts that
// they use, and the least number of hosts that the solver found within 5 s. Run it with
//
//	go test ./internal/planning/plan -run xxx -bench Distance -benchtime 1x
func BenchmarkDistance(b *testing.B) {
	for _, hosts := range []int{12, 40, 130} {
		for _, load := range []float64{0.3, 0.6, 0.85} {
			b.Run(fmt.Sprintf("hosts=%d/load=%.2f", hosts, load), func(b *testing.B) {
				var used, best, unplaced int
				for b.Loop() {
					used, best, unplaced = measureDistance(b, hosts, load, 1)
				}
				b.ReportMetric(float64(used), "hosts")
				b.ReportMetric(float64(best), "least")
				b.ReportMetric(float64(unplaced), "unplaced")
			})
		}
	}
}
