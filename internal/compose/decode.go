package compose

import (
	"encoding/json"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"forkhead/internal/description"
	"forkhead/internal/source"
)

const (
	mostServices = 5_000
	mostReplicas = 100_000
	mostPayload  = 32 << 10 // bytes of what is passed to the host for one service
)

var (
	serviceName = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,127}$`)
	projectName = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,127}$`)
)

// decoder reads a merged tree into a description.
type decoder struct {
	in     *Input
	errs   *source.List
	out    *description.Description
	own    *value // x-forkhead of the top level
	top    *value
	reader fileReader
}

type fileReader func(from, name string, pos source.Pos) (string, []byte, error)

func (d *decoder) fail(pos source.Pos, format string, args ...any) {
	d.errs.Add(source.Errorf(pos, format, args...))
}

func (d *decoder) want(pos source.Pos, want, format string, args ...any) {
	d.errs.Add(source.Wantf(pos, want, format, args...))
}

func (d *decoder) note(pos source.Pos, text string) {
	if len(d.out.Notes) < 1000 {
		d.out.Notes = append(d.out.Notes, description.Note{Pos: pos, Text: text})
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
	d.errs.Add(source.Wantf(v.keyPos[k], source.Nearest(k, names), "unknown element %q in %s", k, where))
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
		d.out.Whole = d.boolean(w, "whole")
	}
	d.out.Name = d.in.Project
	if n := d.of(tree.get("name"), scalar, "name"); n != nil && d.out.Name == "" {
		if !projectName.MatchString(n.text) {
			d.want(n.pos, "lower-case letters, digits, - and _, at most 128", "name %q", n.text)
		}
		d.out.Name = n.text
	}
	services := d.of(tree.get("services"), mapping, "services")
	if services == nil || len(services.keys) == 0 {
		d.want(tree.pos, "at least one service", "the file describes no services")
		return
	}
	if len(services.keys) > mostServices {
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
		if near := source.Nearest(k, []string{"x-forkhead"}); k != "x-forkhead" && near != "" && strings.HasPrefix(k, "x-") {
			d.note(v.keyPos[k], k+" is passed over; x-forkhead is the extension read here")
		}
	}
	own := d.of(v.get("x-forkhead"), mapping, "x-forkhead")
	if own != nil {
		d.known(own, ownIndex, "", "x-forkhead of "+where)
	}
	return own
}

func (d *decoder) service(name string, pos source.Pos, v *value, inactive map[string]bool) description.Service {
	s := description.Service{
		Name: name, Pos: pos, Replicas: 1,
		Update: description.Update{Parallel: 1, OnTrouble: description.Pause},
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
		if !slices.ContainsFunc(s.DependsOn, func(dep description.Dependency) bool { return dep.Service == n.Service }) {
			s.DependsOn = append(s.DependsOn, description.Dependency{Service: n.Service, Pos: n.Pos})
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
func (d *decoder) owned(s *description.Service, own *value) {
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
	}{{"life", &s.Life}, {"wait", &s.Wait}, {"patience", &s.Patience}} {
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
				s.Near = append(s.Near, description.Near{Service: name, Place: place.text, Pos: pos})
			}
		}
	}
	spread := d.of(own.get("spread"), mapping, "spread")
	if spread == nil {
		return
	}
	d.only(spread, "spread", "machine", "rack", "zone")
	s.Limits = nil
	for _, place := range spread.keys {
		if n, ok := d.integer(spread.fields[place], place, 1, mostReplicas); ok {
			s.Limits = append(s.Limits, description.Limit{Place: place, Most: n, Pos: spread.keyPos[place]})
		}
	}
}

func (d *decoder) resources(s *description.Service, v, deploy *value) {
	res := d.of(deploy.get("resources"), mapping, "resources")
	var limits, reserved *value
	if res != nil {
		d.only(res, "resources", "limits", "reservations")
		limits = d.of(res.get("limits"), mapping, "limits")
		reserved = d.of(res.get("reservations"), mapping, "reservations")
	}
	for _, part := range []struct {
		v    *value
		name string
	}{{limits, "resources.limits."}, {reserved, "resources.reservations."}} {
		if part.v != nil {
			d.known(part.v, deployIndex, part.name, strings.TrimSuffix(part.name, "."))
		}
	}
	cores := func(places ...*value) float64 {
		for _, p := range places {
			if p != nil && p.kind != null {
				return d.number(p, "cpus", 0.001, 1e5)
			}
		}
		return 0
	}
	memory := func(places ...*value) float64 {
		for _, p := range places {
			if p != nil && p.kind != null {
				return d.bytes(p, "memory")
			}
		}
		return 0
	}
	s.LimitCores = cores(limits.get("cpus"), v.get("cpus"))
	s.LimitMemory = memory(limits.get("memory"), v.get("mem_limit"))
	s.Cores = cores(reserved.get("cpus"))
	s.Memory = memory(reserved.get("memory"), v.get("mem_reservation"))
	if s.LimitCores > 0 && s.Cores > s.LimitCores {
		d.fail(reserved.get("cpus").pos, "service %q reserves %g cores over its limit of %g", s.Name, s.Cores, s.LimitCores)
	}
	if s.LimitMemory > 0 && s.Memory > s.LimitMemory {
		d.fail(v.pos, "service %q reserves more memory than its limit", s.Name)
	}
	for _, f := range []struct {
		to       *float64
		limit, d float64
	}{{&s.Cores, s.LimitCores, defaultCores}, {&s.Memory, s.LimitMemory, defaultMemory}} {
		if *f.to == 0 {
			*f.to = f.limit
		}
		if *f.to == 0 {
			*f.to = f.d
		}
	}
}

func (d *decoder) count(s *description.Service, v, deploy *value) {
	modes := map[string]description.Mode{
		"replicated": description.Replicated, "global": description.Global,
		"replicated-job": description.ReplicatedJob, "global-job": description.GlobalJob,
	}
	if m := d.of(deploy.get("mode"), scalar, "mode"); m != nil {
		mode, ok := modes[m.text]
		if !ok {
			d.want(m.pos, "replicated, global, replicated-job, global-job", "mode %q", m.text)
		}
		s.Mode = mode
	}
	replicas, scale := deploy.get("replicas"), v.get("scale")
	if replicas != nil {
		if n, ok := d.integer(replicas, "replicas", 0, mostReplicas); ok {
			s.Replicas = n
		}
		if s.Mode.Each() {
			d.fail(replicas.pos, "replicas and mode %s exclude each other", deploy.get("mode").text)
		}
	}
	if scale != nil {
		n, ok := d.integer(scale, "scale", 0, mostReplicas)
		if ok && replicas != nil && n != s.Replicas {
			d.fail(scale.pos, "scale is %d and deploy.replicas %d", n, s.Replicas)
		}
		if ok {
			s.Replicas = n
		}
	}
	if c := v.get("container_name"); c != nil && (s.Replicas > 1 || s.Mode.Each()) {
		d.fail(c.pos, "container_name allows one task, and service %q asks for more", s.Name)
	}
	if s.Mode.Each() {
		s.Limits = append(s.Limits, description.Limit{Place: "machine", Most: 1, Pos: deploy.get("mode").pos})
	}
}

var constraintForm = regexp.MustCompile(`^\s*([A-Za-z0-9._/-]+)\s*(==|!=)\s*(.*?)\s*$`)

func (d *decoder) placement(s *description.Service, v, deploy *value) {
	if p := d.of(v.get("platform"), scalar, "platform"); p != nil {
		os, arch, _ := strings.Cut(p.text, "/")
		s.Constraints = append(s.Constraints, description.Constraint{Attribute: "os", Value: os, Pos: p.pos})
		if arch != "" {
			s.Constraints = append(s.Constraints, description.Constraint{Attribute: "arch", Value: arch, Pos: p.pos})
		}
	}
	d.hostPorts(s, v)
	if deploy == nil {
		return
	}
	for _, k := range deploy.keys {
		if !strings.HasPrefix(k, "x-") && !slices.Contains([]string{
			"endpoint_mode", "labels", "mode", "placement", "replicas", "resources", "restart_policy",
			"rollback_config", "update_config",
		}, k) {
			d.unknown(deploy, k, "deploy", deployIndex, "")
		}
	}
	p := d.of(deploy.get("placement"), mapping, "placement")
	if p == nil {
		return
	}
	d.known(p, deployIndex, "placement.", "placement")
	for _, c := range d.list(p.get("constraints"), "constraints") {
		if con, ok := d.constraint(c); ok {
			s.Constraints = append(s.Constraints, con)
		}
	}
	if prefs := d.of(p.get("preferences"), sequence, "preferences"); prefs != nil {
		for _, item := range prefs.items {
			if m := d.of(item, mapping, "a preference"); m != nil {
				d.only(m, "a preference", "spread")
				if sp := d.of(m.get("spread"), scalar, "spread"); sp != nil {
					d.preference(s, sp)
				}
			}
		}
	}
	if n := p.get("max_replicas_per_node"); n != nil {
		if most, ok := d.integer(n, "max_replicas_per_node", 0, mostReplicas); ok && most > 0 {
			s.Limits = append(s.Limits, description.Limit{Place: "machine", Most: most, Pos: n.pos})
		}
	}
}

func (d *decoder) preference(s *description.Service, v *value) {
	switch v.text {
	case "node.labels.zone", "node.labels.rack":
		s.Preferences = append(s.Preferences, description.Attribute(strings.TrimPrefix(v.text, "node.labels.")))
	default:
		d.want(v.pos, "node.labels.zone or node.labels.rack", "spread over %q", v.text)
	}
}

func (d *decoder) constraint(v *value) (description.Constraint, bool) {
	m := constraintForm.FindStringSubmatch(v.text)
	if m == nil || m[3] == "" {
		d.want(v.pos, "ATTRIBUTE == VALUE or ATTRIBUTE != VALUE", "constraint %q", v.text)
		return description.Constraint{}, false
	}
	c := description.Constraint{Not: m[2] == "!=", Value: m[3], Pos: v.pos}
	names := map[string]description.Attribute{
		"node.id": "id", "node.hostname": "hostname", "node.role": "role",
		"node.platform.os": "os", "node.platform.arch": "arch",
	}
	if label, ok := strings.CutPrefix(m[1], "node.labels."); ok && label != "" {
		c.Attribute = description.Attribute("label." + label)
		return c, true
	}
	attr, ok := names[m[1]]
	if !ok {
		d.want(v.pos, "node.id, node.hostname, node.role, node.platform.os, node.platform.arch or node.labels.NAME",
			"no host tells %q", m[1])
	}
	c.Attribute = attr
	return c, ok
}

// hostPorts limits a service that publishes a port of its host to one task a host.
func (d *decoder) hostPorts(s *description.Service, v *value) {
	ports := d.of(v.get("ports"), sequence, "ports")
	if ports == nil {
		return
	}
	for _, p := range ports.items {
		if p.kind != mapping {
			continue
		}
		if m := p.get("mode"); m != nil && m.text == "host" && p.get("published") != nil {
			s.Limits = append(s.Limits, description.Limit{Place: "machine", Most: 1, Pos: p.pos})
			return
		}
	}
}

func (d *decoder) restart(s *description.Service, v, deploy *value) {
	if s.Mode.Job() {
		s.Restart.When = description.OnFailure
	}
	if r := d.of(v.get("restart"), scalar, "restart"); r != nil {
		word, count, has := strings.Cut(r.text, ":")
		switch word {
		case "no":
			s.Restart.When = description.Never
		case "always", "unless-stopped":
			s.Restart.When = description.Always
		case "on-failure":
			s.Restart.When = description.OnFailure
		default:
			d.want(r.pos, `"no", always, on-failure, on-failure:N or unless-stopped`, "restart %q", r.text)
		}
		if has {
			n, err := strconv.Atoi(count)
			if err != nil || n < 0 || word != "on-failure" {
				d.want(r.pos, "on-failure:N", "restart %q", r.text)
			}
			s.Restart.Most = n
		}
	}
	p := d.of(deploy.get("restart_policy"), mapping, "restart_policy")
	if p == nil {
		return
	}
	d.only(p, "restart_policy", "condition", "delay", "max_attempts", "window")
	if c := d.of(p.get("condition"), scalar, "condition"); c != nil {
		when, ok := map[string]description.When{
			"any": description.Always, "on-failure": description.OnFailure, "none": description.Never,
		}[c.text]
		if !ok {
			d.want(c.pos, "any, on-failure or none", "condition %q", c.text)
		}
		s.Restart.When = when
	}
	if x := p.get("delay"); x != nil {
		s.Restart.Delay = d.duration(x, "delay", 0, 24*time.Hour)
	}
	if x := p.get("max_attempts"); x != nil {
		s.Restart.Most, _ = d.integer(x, "max_attempts", 0, 1e6)
	}
	if x := p.get("window"); x != nil {
		s.Restart.Window = d.duration(x, "window", 0, 24*time.Hour)
	}
}

func (d *decoder) update(s *description.Service, deploy *value) {
	u := d.of(deploy.get("update_config"), mapping, "update_config")
	if r := d.of(deploy.get("rollback_config"), mapping, "rollback_config"); r != nil {
		d.only(r, "rollback_config", "parallelism", "delay", "failure_action", "monitor", "max_failure_ratio", "order")
	}
	if u == nil {
		return
	}
	d.only(u, "update_config", "parallelism", "delay", "failure_action", "monitor", "max_failure_ratio", "order")
	if x := u.get("parallelism"); x != nil {
		s.Update.Parallel, _ = d.integer(x, "parallelism", 0, mostReplicas)
	}
	if x := u.get("delay"); x != nil {
		s.Update.Delay = d.duration(x, "delay", 0, 24*time.Hour)
	}
	if x := u.get("monitor"); x != nil {
		s.Update.Monitor = d.duration(x, "monitor", 0, 24*time.Hour)
	}
	if x := u.get("max_failure_ratio"); x != nil {
		s.Update.MaxFailed = d.number(x, "max_failure_ratio", 0, 1)
	}
	if x := d.of(u.get("failure_action"), scalar, "failure_action"); x != nil {
		action, ok := map[string]description.OnTrouble{
			"pause": description.Pause, "continue": description.Continue, "rollback": description.Rollback,
		}[x.text]
		if !ok {
			d.want(x.pos, "pause, continue or rollback", "failure_action %q", x.text)
		}
		s.Update.OnTrouble = action
	}
	if x := d.of(u.get("order"), scalar, "order"); x != nil {
		if x.text != "stop-first" && x.text != "start-first" {
			d.want(x.pos, "stop-first or start-first", "order %q", x.text)
		}
		s.Update.StartFirst = x.text == "start-first"
	}
}

func (d *decoder) dependsOn(s *description.Service, v *value, inactive map[string]bool) {
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
	conditions := map[string]description.Condition{
		"service_started": description.Started, "service_healthy": description.Healthy,
		"service_completed_successfully": description.Completed,
	}
	for _, name := range deps.keys {
		dep := description.Dependency{Service: name, Pos: deps.keyPos[name]}
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

// payload gathers what only the host acts on.
func (d *decoder) payload(s *description.Service, v, deploy *value) []byte {
	out := map[string]any{}
	limits := map[string]any{}
	if s.LimitCores > 0 {
		limits["cpus"] = s.LimitCores
	}
	if s.LimitMemory > 0 {
		limits["memory_bytes"] = int64(s.LimitMemory * (1 << 30))
	}
	if len(limits) > 0 {
		out["limits"] = limits
	}
	if len(s.Labels) > 0 {
		out["service_labels"] = s.Labels
	}
	for _, k := range v.keys {
		e := serviceIndex[k]
		if strings.HasPrefix(k, "x-") && k != "x-forkhead" || e.name != "" && (e.what == passed || slices.Contains([]string{"ipc", "pid", "network_mode", "ports", "container_name", "platform"}, k)) {
			out[k] = plain(v.fields[k])
		}
	}
	env := d.pairs(v.get("environment"), "environment")
	for key, val := range d.files(v, "env_file", "environment file") {
		if _, ok := env[key]; !ok {
			env[key] = val
		}
	}
	if len(env) > 0 {
		out["environment"] = env
	}
	labels := d.pairs(v.get("labels"), "labels")
	for key, val := range d.files(v, "label_file", "label file") {
		if _, ok := labels[key]; !ok {
			labels[key] = val
		}
	}
	if len(labels) > 0 {
		out["labels"] = labels
	}
	if e := deploy.get("endpoint_mode"); e != nil {
		out["endpoint_mode"] = plain(e)
	}
	if p := deploy.get("resources").get("limits").get("pids"); p != nil {
		out["pids"] = plain(p)
	}
	for _, part := range []string{"networks", "volumes", "configs", "secrets"} {
		if used := d.named(v, part); len(used) > 0 {
			out["project_"+part] = used
		}
	}
	data, err := json.Marshal(out)
	if err != nil {
		d.fail(v.pos, "service %q cannot be passed on: %v", s.Name, err)
	}
	if len(data) > mostPayload {
		d.want(v.pos, "at most 32 KiB", "service %q passes %d bytes to its host", s.Name, len(data))
		return nil
	}
	return data
}

// named returns the project's networks, volumes, configs or secrets that a service names. One
// that is named and not described is an error, but for the default network.
func (d *decoder) named(v *value, part string) map[string]any {
	all := d.of(d.top.get(part), mapping, part)
	used := v.get(part)
	if used == nil || used.kind == scalar || used.kind == null {
		return nil
	}
	out := map[string]any{}
	add := func(name string, pos source.Pos, must bool) {
		decl, ok := (*value)(nil), false
		if all != nil {
			decl, ok = all.fields[name]
		}
		switch {
		case ok:
			out[name] = plain(decl)
		case must && name != "default":
			d.fail(pos, "%s names %q, which the file does not describe", part, name)
		}
	}
	if used.kind == mapping {
		for _, k := range used.keys {
			add(k, used.keyPos[k], true)
		}
		return out
	}
	for _, item := range used.items {
		switch {
		case item.kind == mapping:
			src, typ := item.get("source"), item.get("type")
			if src != nil && src.kind == scalar && (part != "volumes" || typ != nil && typ.text == "volume") {
				add(src.text, src.pos, true)
			}
		case item.kind != scalar:
			d.want(item.pos, "a name or a mapping", "an entry of %s is %s", part, item.kind)
		case part == "volumes":
			src, _, has := strings.Cut(item.text, ":")
			if has && !strings.ContainsAny(src, "/.~") {
				add(src, item.pos, true)
			}
		default:
			add(item.text, item.pos, true)
		}
	}
	return out
}

// files reads KEY=VALUE files that the submission holds.
func (d *decoder) files(v *value, key, what string) map[string]string {
	out := map[string]string{}
	x := v.get(key)
	if x == nil || x.kind == null {
		return out
	}
	entries := []*value{x}
	if x.kind == sequence {
		entries = x.items
	}
	for _, e := range entries {
		path, required := e, true
		if e.kind == mapping {
			d.only(e, key, "path", "required", "format")
			if r := e.get("required"); r != nil {
				required = d.boolean(r, "required")
			}
			path = e.get("path")
		}
		if path == nil || path.kind != scalar {
			d.want(e.pos, "a path", "%s has no path", key)
			continue
		}
		file, text, err := d.reader(path.pos.File, path.text, path.pos)
		if err != nil {
			if required {
				d.errs.Add(err)
			}
			continue
		}
		for i, line := range strings.Split(string(text), "\n") {
			line = strings.TrimSpace(strings.TrimSuffix(line, "\r"))
			if line == "" || line[0] == '#' {
				continue
			}
			k, val, has := strings.Cut(line, "=")
			k = strings.TrimSpace(strings.TrimPrefix(k, "export "))
			if k == "" || strings.ContainsAny(k, " \t") {
				d.want(source.Pos{File: file, Line: i + 1, Col: 1}, "KEY=VALUE", "a line of the %s", what)
				continue
			}
			val = strings.TrimSpace(val)
			if len(val) > 1 && (val[0] == '"' || val[0] == '\'') && val[len(val)-1] == val[0] {
				val = val[1 : len(val)-1]
			}
			if !has {
				val = d.in.Variables[k]
			}
			out[k] = val
		}
	}
	return out
}

// pairs reads a mapping, or a list of K=V, of single values. A name alone takes the variable's.
func (d *decoder) pairs(v *value, name string) map[string]string {
	out := map[string]string{}
	if v == nil || v.kind == null {
		return out
	}
	m := asMap(v)
	if m.kind != mapping {
		d.want(v.pos, "a mapping or a list of KEY=VALUE", "%s is %s", name, v.kind)
		return out
	}
	for _, k := range m.keys {
		switch x := m.fields[k]; x.kind {
		case scalar:
			out[k] = x.text
		case null:
			if val, ok := d.in.Variables[k]; ok && name == "environment" {
				out[k] = val
			} else if name != "environment" {
				out[k] = ""
			}
		default:
			d.want(x.pos, "a single value", "%s of %s is %s", k, name, x.kind)
		}
	}
	return out
}

// list reads a list of single values; texts gives their texts.
func (d *decoder) list(v *value, name string) []*value {
	seq := d.of(v, sequence, name)
	if seq == nil {
		return nil
	}
	var out []*value
	for _, item := range seq.items {
		if item.kind != scalar {
			d.want(item.pos, "a single value", "an entry of %s is %s", name, item.kind)
			continue
		}
		out = append(out, item)
	}
	return out
}

func (d *decoder) texts(v *value, name string) []string {
	var out []string
	for _, item := range d.list(v, name) {
		out = append(out, item.text)
	}
	return out
}

func (d *decoder) integer(v *value, name string, lo, hi int) (int, bool) {
	if v.kind == scalar {
		if n, err := strconv.Atoi(strings.TrimSpace(v.text)); err == nil && n >= lo && n <= hi {
			return n, true
		}
	}
	d.want(v.pos, "a whole number from "+strconv.Itoa(lo)+" to "+strconv.Itoa(hi), "%s is %s", name, told(v))
	return 0, false
}

func (d *decoder) number(v *value, name string, lo, hi float64) float64 {
	if v.kind == scalar {
		x, err := strconv.ParseFloat(strings.TrimSpace(v.text), 64)
		if err == nil && !math.IsNaN(x) && x >= lo && x <= hi {
			return x
		}
	}
	d.want(v.pos, "a number from "+strconv.FormatFloat(lo, 'g', -1, 64)+" to "+strconv.FormatFloat(hi, 'g', -1, 64), "%s is %s", name, told(v))
	return 0
}

func (d *decoder) boolean(v *value, name string) bool {
	switch v.text {
	case "true", "yes", "on":
		return true
	case "false", "no", "off":
		return false
	}
	d.want(v.pos, "true or false", "%s is %s", name, told(v))
	return false
}

var durationForm = regexp.MustCompile(`^(?:(\d+)h)?(?:(\d+)m)?(?:(\d+)s)?(?:(\d+)ms)?(?:(\d+)us)?$`)

// duration reads the specification's form: 1h30m, 90s, 500ms, 20us and their sums.
func (d *decoder) duration(v *value, name string, lo, hi time.Duration) time.Duration {
	if v.kind == scalar && v.text != "" {
		if v.text == "0" && lo == 0 {
			return 0
		}
		if m := durationForm.FindStringSubmatch(v.text); m != nil {
			var sum time.Duration
			good := true
			for i, unit := range []time.Duration{time.Hour, time.Minute, time.Second, time.Millisecond, time.Microsecond} {
				if m[i+1] == "" {
					continue
				}
				n, err := strconv.ParseInt(m[i+1], 10, 64)
				if err != nil || n > int64((1<<62)/unit) {
					good = false
					break
				}
				sum += time.Duration(n) * unit
				good = good && sum >= 0
			}
			if good && sum >= lo && sum <= hi {
				return sum
			}
		}
	}
	d.want(v.pos, "a duration from "+lo.String()+" to "+hi.String()+", as 1m30s or 500ms", "%s is %s", name, told(v))
	return 0
}

var bytesForm = regexp.MustCompile(`^(?i)\s*(\d+(?:\.\d+)?)\s*(b|k|kb|kib|m|mb|mib|g|gb|gib|t|tb|tib)?\s*$`)

// bytes reads a byte value of the specification (k, m, g, by 1024) into GiB.
func (d *decoder) bytes(v *value, name string) float64 {
	if v.kind == scalar {
		if m := bytesForm.FindStringSubmatch(v.text); m != nil {
			x, err := strconv.ParseFloat(m[1], 64)
			shift := map[string]int{"": 0, "b": 0, "k": 10, "m": 20, "g": 30, "t": 40}[strings.ToLower(m[2][:min(1, len(m[2]))])]
			x *= float64(int64(1) << shift)
			if err == nil && x >= 1 && x <= 1<<50 {
				return x / (1 << 30)
			}
		}
	}
	d.want(v.pos, "an amount of bytes, as 512m or 2gb", "%s is %s", name, told(v))
	return 0
}

func told(v *value) string {
	if v.kind == scalar {
		return strconv.Quote(v.text)
	}
	return v.kind.String()
}

// plain turns a value into what encoding/json writes. Plain words that YAML reads as numbers
// or truth values are written as such.
func plain(v *value) any {
	if v == nil {
		return nil
	}
	switch v.kind {
	case scalar:
		if v.plain {
			if v.text == "true" || v.text == "false" {
				return v.text == "true"
			}
			if n, err := strconv.ParseInt(v.text, 10, 64); err == nil {
				return n
			}
			if x, err := strconv.ParseFloat(v.text, 64); err == nil && !math.IsInf(x, 0) && !math.IsNaN(x) {
				return x
			}
		}
		return v.text
	case mapping:
		m := map[string]any{}
		for _, k := range v.keys {
			m[k] = plain(v.fields[k])
		}
		return m
	case sequence:
		out := make([]any, 0, len(v.items))
		for _, item := range v.items {
			out = append(out, plain(item))
		}
		return out
	}
	return nil
}
