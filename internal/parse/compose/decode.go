package compose

import (
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/parse/servicespec"
)

const (
	maxServices = 5_000
	maxReplicas = 100_000
	maxPayload  = 32 << 10 // bytes of what is passed to the host for one service
)

var (
	serviceName = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,127}$`)
)

// decoder reads a merged tree into a description.
type decoder struct {
	in   *Input
	errs *diagnostic.List
	out  *servicespec.Description
	own  *value // x-forkhead of the top level
	top  *value
}

func (d *decoder) fail(pos diagnostic.Pos, format string, args ...any) {
	d.errs.Add(diagnostic.Errorf(pos, format, args...))
}

func (d *decoder) want(pos diagnostic.Pos, want, format string, args ...any) {
	d.errs.Add(diagnostic.Wantf(pos, want, format, args...))
}

func (d *decoder) note(pos diagnostic.Pos, text string) {
	if len(d.out.Notes) < 1000 {
		d.out.Notes = append(d.out.Notes, servicespec.Note{Pos: pos, Text: text})
	}
}

// of checks that a value has the wanted kind; an absent or empty one passes as nil.
func (d *decoder) of(v *value, k kind, name string) *value {
	if v == nil || v.kind == null {
		return nil
	}
	if v.kind != k {
		d.want(v.pos, k.String(), "%s is %s", name, v.kind)
		return nil
	}
	return v
}

// known checks the keys of a mapping against a table and tells about those that are noted.
func (d *decoder) known(v *value, table map[string]element, prefix, where string) {
	for _, k := range v.keys {
		if strings.HasPrefix(k, "x-") {
			continue
		}
		e, ok := table[prefix+k]
		switch {
		case !ok:
			d.unknown(v, k, where, table, prefix)
		case e.what == refused:
			d.fail(v.keyPos[k], "%s is refused: %s", k, e.remark)
		case e.what == noted:
			d.note(v.keyPos[k], k+" has no effect here: "+e.remark)
		}
	}
}

func (d *decoder) unknown(v *value, k, where string, table map[string]element, prefix string) {
	var names []string
	for name := range table {
		if rest, ok := strings.CutPrefix(name, prefix); ok && !strings.Contains(rest, ".") {
			names = append(names, rest)
		}
	}
	slices.Sort(names)
	d.errs.Add(diagnostic.Wantf(v.keyPos[k], diagnostic.Nearest(k, names), "unknown element %q in %s", k, where))
}

// only refuses keys of a small mapping that are not listed.
func (d *decoder) only(v *value, where string, keys ...string) {
	for _, k := range v.keys {
		if !strings.HasPrefix(k, "x-") && !slices.Contains(keys, k) {
			d.want(v.keyPos[k], strings.Join(keys, ", "), "unknown element %q in %s", k, where)
		}
	}
}

func (d *decoder) project(tree *value) {
	d.top = tree
	d.known(tree, topIndex, "", "the file")
	d.own = d.extension(tree, "the file")
	if w := d.own.get("whole"); w != nil {
		d.out.AllOrNothing = d.boolean(w, "whole")
	}
	d.out.Name = d.in.Project
	if n := d.of(tree.get("name"), scalar, "name"); n != nil && d.out.Name == "" {
		if !projectName.MatchString(n.text) {
			d.want(n.pos, wantProjectName, "name %q", n.text)
		}
		d.out.Name = n.text
	}
	services := d.of(tree.get("services"), mapping, "services")
	if services == nil || len(services.keys) == 0 {
		d.want(tree.pos, "at least one service", "the file describes no services")
		return
	}
	if len(services.keys) > maxServices {
		d.want(services.pos, "at most 5000", "there are %d services", len(services.keys))
		return
	}
	inactive := map[string]bool{}
	for _, name := range services.keys {
		if s := services.fields[name]; !d.active(name, s) {
			inactive[name] = true
		}
	}
	for _, name := range services.keys {
		if inactive[name] {
			continue
		}
		if !serviceName.MatchString(name) {
			d.want(services.keyPos[name], "letters, digits, '.', - and _, at most 128", "service name %q", name)
			continue
		}
		s := services.fields[name]
		if s.kind != mapping {
			d.want(s.pos, "a mapping", "service %q is %s", name, s.kind)
			continue
		}
		d.out.Services = append(d.out.Services, d.service(name, services.keyPos[name], s, inactive))
	}
	if len(d.out.Services) == 0 {
		d.want(services.pos, "--profile NAME", "every service stands behind a profile, and none is active")
	}
}

// active says whether one of the service's profiles is asked for, or it has none.
func (d *decoder) active(name string, s *value) bool {
	if slices.Contains(d.in.Services, name) {
		return true
	}
	profiles := d.texts(s.get("profiles"), "profiles")
	if len(profiles) == 0 {
		return true
	}
	for _, p := range profiles {
		if slices.Contains(d.in.Profiles, p) || slices.Contains(d.in.Profiles, "*") {
			return true
		}
	}
	return false
}

// extension returns x-forkhead of a mapping, checked for unknown keys.
func (d *decoder) extension(v *value, where string) *value {
	for _, k := range v.keys {
		if near := diagnostic.Nearest(k, []string{"x-forkhead"}); k != "x-forkhead" && near != "" && strings.HasPrefix(k, "x-") {
			d.note(v.keyPos[k], k+" is passed over; x-forkhead is the extension read here")
		}
	}
	own := d.of(v.get("x-forkhead"), mapping, "x-forkhead")
	if own != nil {
		d.known(own, ownIndex, "", "x-forkhead of "+where)
	}
	return own
}

func (d *decoder) service(name string, pos diagnostic.Pos, v *value, inactive map[string]bool) servicespec.Service {
	s := servicespec.Service{
		Name: name, Pos: pos, Replicas: 1,
		Update: servicespec.Update{Parallel: 1, FailureAction: servicespec.Pause},
	}
	d.known(v, serviceIndex, "", "service "+strconv.Quote(name))
	d.owned(&s, d.own)
	own := d.extension(v, "service "+strconv.Quote(name))
	if w := own.get("whole"); w != nil {
		d.want(w.pos, "it at the top level", "whole is of all services together")
	}
	d.owned(&s, own)
	deploy := d.of(v.get("deploy"), mapping, "deploy")
	d.resources(&s, v, deploy)
	d.count(&s, v, deploy)
	d.placement(&s, v, deploy)
	d.restart(&s, v, deploy)
	d.update(&s, deploy)
	d.dependsOn(&s, v, inactive)
	for _, n := range s.Near { // what it has to be beside goes first
		if !slices.ContainsFunc(s.DependsOn, func(dep servicespec.Dependency) bool { return dep.Service == n.Service }) {
			s.DependsOn = append(s.DependsOn, servicespec.Dependency{Service: n.Service, Pos: n.Pos})
		}
	}
	d.tied(v)
	if g := v.get("stop_grace_period"); g != nil {
		s.StopGrace = d.duration(g, "stop_grace_period", 0, 24*time.Hour)
	}
	if deploy != nil {
		s.Labels = d.pairs(deploy.get("labels"), "deploy.labels")
	}
	s.Payload = d.payload(&s, v, deploy)
	return s
}

// owned takes what an x-forkhead says.
func (d *decoder) owned(s *servicespec.Service, own *value) {
	if own == nil {
		return
	}
	if c := d.of(own.get("class"), scalar, "class"); c != nil {
		if !slices.Contains(d.in.Classes, c.text) {
			d.want(c.pos, strings.Join(d.in.Classes, ", "), "class %q is not in the settings", c.text)
		}
		s.Class = c.text
	}
	if t := d.of(own.get("tenant"), scalar, "tenant"); t != nil {
		if !slices.Contains(d.in.Tenants, t.text) {
			d.want(t.pos, strings.Join(d.in.Tenants, ", "), "tenant %q is not in the settings", t.text)
		}
		s.Tenant = t.text
	}
	for _, f := range []struct {
		key string
		to  *time.Duration
	}{{"life", &s.ExpectedRuntime}, {"wait", &s.RequestTimeout}, {"patience", &s.PlacementTimeout}} {
		if v := own.get(f.key); v != nil {
			*f.to = d.duration(v, f.key, time.Millisecond, 365*24*time.Hour)
		}
	}
	if near := d.of(own.get("near"), mapping, "near"); near != nil {
		for _, name := range near.keys {
			place := d.of(near.fields[name], scalar, "near")
			switch {
			case place == nil:
			case !slices.Contains([]string{"machine", "rack", "zone"}, place.text):
				d.want(place.pos, "machine, rack or zone", "near %s is %q", name, place.text)
			default:
				pos := near.keyPos[name]
				s.Near = append(s.Near, servicespec.Near{Service: name, Domain: place.text, Pos: pos})
			}
		}
	}
	spread := d.of(own.get("spread"), mapping, "spread")
	if spread == nil {
		return
	}
	d.only(spread, "spread", "machine", "rack", "zone")
	s.SpreadLimits = nil
	for _, place := range spread.keys {
		if n, ok := d.integer(spread.fields[place], place, 1, maxReplicas); ok {
			s.SpreadLimits = append(s.SpreadLimits, servicespec.SpreadLimit{Domain: place, MaxTasks: n, Pos: spread.keyPos[place]})
		}
	}
}

func (d *decoder) dependsOn(s *servicespec.Service, v *value, inactive map[string]bool) {
	deps := v.get("depends_on")
	if deps == nil || deps.kind == null {
		return
	}
	if deps.kind == scalar {
		d.want(deps.pos, "a list or a mapping", "depends_on is a single value")
		return
	}
	deps = asMap(deps)
	if deps.kind != mapping {
		d.want(deps.pos, "a list of names", "depends_on holds something else")
		return
	}
	conditions := map[string]servicespec.DependencyCondition{
		"service_started": servicespec.Started, "service_healthy": servicespec.Healthy,
		"service_completed_successfully": servicespec.Completed,
	}
	for _, name := range deps.keys {
		dep := servicespec.Dependency{Service: name, Pos: deps.keyPos[name]}
		if m := d.of(deps.fields[name], mapping, "a dependency"); m != nil {
			d.only(m, "a dependency", "condition", "restart", "required")
			if c := d.of(m.get("condition"), scalar, "condition"); c != nil {
				when, ok := conditions[c.text]
				if !ok {
					d.want(c.pos, "service_started, service_healthy or service_completed_successfully", "condition %q", c.text)
				}
				dep.When = when
			}
			if r := m.get("required"); r != nil {
				dep.Optional = !d.boolean(r, "required")
			}
			if r := m.get("restart"); r != nil {
				if dep.Restart = d.boolean(r, "restart"); dep.Restart {
					d.note(r.pos, "restart of "+s.Name+" with "+name+" is not acted on: submit the project again to replace both")
				}
			}
		}
		if inactive[name] && !dep.Optional {
			d.want(dep.Pos, "its profile, or required: false", "service %q depends on %q, which no active profile holds", s.Name, name)
			continue
		}
		if !inactive[name] {
			s.DependsOn = append(s.DependsOn, dep)
		}
	}
}

// tied refuses what would need two services on one host.
func (d *decoder) tied(v *value) {
	for _, key := range []string{"network_mode", "pid", "ipc"} {
		x := d.of(v.get(key), scalar, key)
		if x != nil && (strings.HasPrefix(x.text, "service:") || strings.HasPrefix(x.text, "container:")) {
			d.want(x.pos, "a value that names no other task", "%s %q ties two tasks to one host", key, x.text)
		}
	}
}
