package compose

import (
	"slices"
	"strings"

	"forkhead/internal/parse/servicespec"
)

// dependencyConditions maps the texts of the field condition in depends_on to conditions.
var dependencyConditions = map[string]servicespec.DependencyCondition{
	"service_started": servicespec.Started, "service_healthy": servicespec.Healthy,
	"service_completed_successfully": servicespec.Completed,
}

// dependsOn sets the dependencies of the service. The parameter inactive has the names of the services that are left
// out because none of their profiles is active. A dependency on such a service is left out too if it is optional, and
// otherwise it is an error.
func (d *decoder) dependsOn(s *servicespec.Service, service *value, inactive map[string]bool) {
	deps := service.get("depends_on")
	if deps.isEmpty() {
		return
	}
	if deps.kind == scalar {
		d.wantf(deps.pos, "a list or a mapping", "depends_on is a single value")
		return
	}
	deps = asMap(deps)
	if deps.kind != mapping {
		d.wantf(deps.pos, "a list of names", "an entry of depends_on is not a name")
		return
	}
	for _, name := range deps.keys {
		dep := servicespec.Dependency{Service: name, Pos: deps.keyPos[name]}
		if options := d.ofKind(deps.fields[name], mapping, "a dependency"); options != nil {
			d.dependencyOptions(&dep, s.Name, options)
		}
		switch {
		case !inactive[name]:
			s.DependsOn = append(s.DependsOn, dep)
		case !dep.Optional:
			d.wantf(dep.Pos, "its profile, or required: false", "service %q depends on %q, which is in no active profile", s.Name, name)
		}
	}
}

// dependencyOptions decodes the options of a dependency that is written in the long form. The parameter service is the
// name of the service that has the dependency.
func (d *decoder) dependencyOptions(dep *servicespec.Dependency, service string, options *value) {
	d.checkKeys(options, "a dependency", "condition", "restart", "required")
	choiceField(d, &dep.When, options, "condition", dependencyConditions,
		"service_started, service_healthy or service_completed_successfully")
	if required := options.get("required"); required != nil {
		dep.Optional = !d.boolean(required, "required")
	}
	if restart := options.get("restart"); restart != nil {
		dep.Restart = d.boolean(restart, "restart")
		if dep.Restart {
			d.addNote(restart.pos, "restart of "+service+" with "+dep.Service+" is not acted on: submit the project again to replace both")
		}
	}
}

// dependOnNear adds a dependency on each service in s.Near, because the tasks of s can be placed near the tasks of that
// service only once the domains of those tasks are known.
func dependOnNear(s *servicespec.Service) {
	for _, near := range s.Near {
		isNear := func(dep servicespec.Dependency) bool { return dep.Service == near.Service }
		if !slices.ContainsFunc(s.DependsOn, isNear) {
			s.DependsOn = append(s.DependsOn, servicespec.Dependency{Service: near.Service, Pos: near.Pos})
		}
	}
}

// rejectSharedNamespaces adds an error for each namespace that the service shares with another task, because both tasks
// would have to run on one host.
func (d *decoder) rejectSharedNamespaces(service *value) {
	for _, key := range []string{"network_mode", "pid", "ipc"} {
		v := d.ofKind(service.get(key), scalar, key)
		if v != nil && (strings.HasPrefix(v.text, "service:") || strings.HasPrefix(v.text, "container:")) {
			d.wantf(v.pos, "a value that names no other task", "%s %q ties two tasks to one host", key, v.text)
		}
	}
}
