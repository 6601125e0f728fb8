package servicespec

import (
	"strings"
	"testing"

	"forkhead/internal/parse/diagnostic"
)

// dependingOn returns a service that depends on the services with the names in others.
func dependingOn(name string, others ...string) Service {
	s := Service{Name: name, Pos: diagnostic.Pos{File: "f", Line: 1, Col: 1}}
	for _, other := range others {
		s.DependsOn = append(s.DependsOn, Dependency{Service: other, Pos: diagnostic.Pos{File: "f", Line: 2, Col: 1}})
	}
	return s
}

func TestCheckSortsServices(t *testing.T) {
	d := &Description{Services: []Service{dependingOn("b", "a"), dependingOn("c", "a", "b"), dependingOn("a")}}
	if err := d.Check(); err != nil {
		t.Fatalf("Check() of services a, b and c without a cycle = error %v, want none", err)
	}
	for _, name := range []string{"a", "b", "c"} {
		if s := d.Service(name); s == nil || s.Name != name {
			t.Errorf("Service(%q) after Check() = %+v, want the service with that name", name, s)
		}
	}
	if s := d.Service("d"); s != nil {
		t.Errorf("Service(\"d\") = %+v, want nil for an unknown name", s)
	}
}

func TestCheckRejectsMissingAndCyclicDependencies(t *testing.T) {
	optional := dependingOn("a", "b")
	optional.DependsOn[0].Optional = true
	for name, c := range map[string]struct {
		services []Service
		want     string
	}{
		"missing":           {[]Service{dependingOn("a", "b")}, `f:2:1: service "a" depends on "b", which is not defined`},
		"missing, optional": {[]Service{optional}, ""},
		"itself":            {[]Service{dependingOn("a", "a")}, "f:1:1: depends_on forms a cycle: a -> a"},
		"cycle":             {[]Service{dependingOn("a", "b"), dependingOn("b", "c"), dependingOn("c", "b")}, "f:1:1: depends_on forms a cycle: b -> c -> b"},
		"diamond":           {[]Service{dependingOn("a", "b", "c"), dependingOn("b", "d"), dependingOn("c", "d"), dependingOn("d")}, ""},
	} {
		err := (&Description{Services: c.services}).Check()
		if c.want == "" && err != nil || c.want != "" && (err == nil || err.Error() != c.want) {
			t.Errorf("%s: Check() = error %v, want %q (\"\": no error)", name, err, c.want)
		}
	}
}

func TestDescriptionTasksOmitsPerHostServices(t *testing.T) {
	d := &Description{Services: []Service{
		{Replicas: 2}, {Mode: ReplicatedJob, Replicas: 3}, {Mode: Global, Replicas: 1}, {Mode: GlobalJob, Replicas: 1},
	}}
	if got := d.Tasks(); got != 5 {
		t.Errorf("Tasks() of 2 replicated tasks, 3 tasks of a replicated job and two services per host = %d, want 5", got)
	}
}

// TestTaskAndServiceKeysGolden checks that the keys of tasks and services do not change from one build to the next,
// because hosts and stores identify tasks by their keys.
func TestTaskAndServiceKeysGolden(t *testing.T) {
	if got, want := TaskKey("courts", "calendar", "web", 3), uint64(17376663113988466486); got != want {
		t.Errorf("TaskKey(courts, calendar, web, 3) = %d, want %d", got, want)
	}
	if got, want := ServiceKey("courts", "calendar", "web"), uint64(12568227090542649615); got != want {
		t.Errorf("ServiceKey(courts, calendar, web) = %d, want %d", got, want)
	}
}

func exampleService() Service {
	return Service{
		Class: "web", Tenant: "courts", Cores: 0.5, Memory: 2, LimitCores: 1, LimitMemory: 4, StopGrace: 5, Payload: []byte(`{"image":"web:3"}`),
		Constraints: []Constraint{{Attribute: "os", Value: "linux"}, {Attribute: "label.disk", Not: true, Value: "hdd"}},
		Labels:      map[string]string{"b": "2", "a": "1"},
	}
}

// TestFingerprintGolden checks that fingerprints do not change from one build to the next, because a running task keeps
// the fingerprint of the specification that it was started with.
func TestFingerprintGolden(t *testing.T) {
	s := exampleService()
	if got, want := s.Fingerprint(), uint64(16992245385699774695); got != want {
		t.Errorf("Fingerprint() of the example service = %d, want %d", got, want)
	}
}

func TestFingerprintChangesOnlyWithRunningTask(t *testing.T) {
	example := exampleService()
	for name, c := range map[string]struct {
		change  func(s *Service)
		differs bool
	}{
		"payload":    {func(s *Service) { s.Payload = []byte("{}") }, true},
		"memory":     {func(s *Service) { s.Memory++ }, true},
		"label":      {func(s *Service) { s.Labels = map[string]string{"a": "1"} }, true},
		"constraint": {func(s *Service) { s.Constraints = s.Constraints[:1] }, true},
		"replicas":   {func(s *Service) { s.Replicas++ }, false},
		"wait":       {func(s *Service) { s.RequestTimeout++ }, false},
		"limit":      {func(s *Service) { s.SpreadLimits = []SpreadLimit{{Domain: "rack", MaxTasks: 1}} }, false},
	} {
		s := exampleService()
		c.change(&s)
		if differs := s.Fingerprint() != example.Fingerprint(); differs != c.differs {
			t.Errorf("after a change of %s: Fingerprint() differs from that of the unchanged service: got %v, want %v", name, differs, c.differs)
		}
	}
}

func TestConstraintStringHasComposeSyntax(t *testing.T) {
	var texts []string
	for _, c := range exampleService().Constraints {
		texts = append(texts, c.String())
	}
	if got, want := strings.Join(texts, ", "), "os == linux, label.disk != hdd"; got != want {
		t.Errorf("String() of the example constraints = %q, want %q", got, want)
	}
}
