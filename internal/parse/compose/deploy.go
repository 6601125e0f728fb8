package compose

import (
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"forkhead/internal/parse/servicespec"
)

func (d *decoder) resources(s *servicespec.Service, v, deploy *value) {
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

func (d *decoder) count(s *servicespec.Service, v, deploy *value) {
	modes := map[string]servicespec.Mode{
		"replicated": servicespec.Replicated, "global": servicespec.Global,
		"replicated-job": servicespec.ReplicatedJob, "global-job": servicespec.GlobalJob,
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
		if n, ok := d.integer(replicas, "replicas", 0, maxReplicas); ok {
			s.Replicas = n
		}
		if s.Mode.PerHost() {
			d.fail(replicas.pos, "replicas and mode %s exclude each other", deploy.get("mode").text)
		}
	}
	if scale != nil {
		n, ok := d.integer(scale, "scale", 0, maxReplicas)
		if ok && replicas != nil && n != s.Replicas {
			d.fail(scale.pos, "scale is %d and deploy.replicas %d", n, s.Replicas)
		}
		if ok {
			s.Replicas = n
		}
	}
	if c := v.get("container_name"); c != nil && (s.Replicas > 1 || s.Mode.PerHost()) {
		d.fail(c.pos, "container_name allows one task, and service %q asks for more", s.Name)
	}
	if s.Mode.PerHost() {
		s.SpreadLimits = append(s.SpreadLimits, servicespec.SpreadLimit{Domain: "machine", MaxTasks: 1, Pos: deploy.get("mode").pos})
	}
}

var constraintForm = regexp.MustCompile(`^\s*([A-Za-z0-9._/-]+)\s*(==|!=)\s*(.*?)\s*$`)

func (d *decoder) placement(s *servicespec.Service, v, deploy *value) {
	if p := d.of(v.get("platform"), scalar, "platform"); p != nil {
		os, arch, _ := strings.Cut(p.text, "/")
		s.Constraints = append(s.Constraints, servicespec.Constraint{Attribute: "os", Value: os, Pos: p.pos})
		if arch != "" {
			s.Constraints = append(s.Constraints, servicespec.Constraint{Attribute: "arch", Value: arch, Pos: p.pos})
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
		if most, ok := d.integer(n, "max_replicas_per_node", 0, maxReplicas); ok && most > 0 {
			s.SpreadLimits = append(s.SpreadLimits, servicespec.SpreadLimit{Domain: "machine", MaxTasks: most, Pos: n.pos})
		}
	}
}

func (d *decoder) preference(s *servicespec.Service, v *value) {
	switch v.text {
	case "node.labels.zone", "node.labels.rack":
		s.Preferences = append(s.Preferences, servicespec.Attribute(strings.TrimPrefix(v.text, "node.labels.")))
	default:
		d.want(v.pos, "node.labels.zone or node.labels.rack", "spread over %q", v.text)
	}
}

func (d *decoder) constraint(v *value) (servicespec.Constraint, bool) {
	m := constraintForm.FindStringSubmatch(v.text)
	if m == nil || m[3] == "" {
		d.want(v.pos, "ATTRIBUTE == VALUE or ATTRIBUTE != VALUE", "constraint %q", v.text)
		return servicespec.Constraint{}, false
	}
	c := servicespec.Constraint{Not: m[2] == "!=", Value: m[3], Pos: v.pos}
	names := map[string]servicespec.Attribute{
		"node.id": "id", "node.hostname": "hostname", "node.role": "role",
		"node.platform.os": "os", "node.platform.arch": "arch",
	}
	if label, ok := strings.CutPrefix(m[1], "node.labels."); ok && label != "" {
		c.Attribute = servicespec.Attribute("label." + label)
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
func (d *decoder) hostPorts(s *servicespec.Service, v *value) {
	ports := d.of(v.get("ports"), sequence, "ports")
	if ports == nil {
		return
	}
	for _, p := range ports.items {
		if p.kind != mapping {
			continue
		}
		if m := p.get("mode"); m != nil && m.text == "host" && p.get("published") != nil {
			s.SpreadLimits = append(s.SpreadLimits, servicespec.SpreadLimit{Domain: "machine", MaxTasks: 1, Pos: p.pos})
			return
		}
	}
}

func (d *decoder) restart(s *servicespec.Service, v, deploy *value) {
	if s.Mode.Job() {
		s.Restart.When = servicespec.OnFailure
	}
	if r := d.of(v.get("restart"), scalar, "restart"); r != nil {
		word, count, has := strings.Cut(r.text, ":")
		switch word {
		case "no":
			s.Restart.When = servicespec.Never
		case "always", "unless-stopped":
			s.Restart.When = servicespec.Always
		case "on-failure":
			s.Restart.When = servicespec.OnFailure
		default:
			d.want(r.pos, `"no", always, on-failure, on-failure:N or unless-stopped`, "restart %q", r.text)
		}
		if has {
			n, err := strconv.Atoi(count)
			if err != nil || n < 0 || word != "on-failure" {
				d.want(r.pos, "on-failure:N", "restart %q", r.text)
			}
			s.Restart.MaxRestarts = n
		}
	}
	p := d.of(deploy.get("restart_policy"), mapping, "restart_policy")
	if p == nil {
		return
	}
	d.only(p, "restart_policy", "condition", "delay", "max_attempts", "window")
	if c := d.of(p.get("condition"), scalar, "condition"); c != nil {
		when, ok := map[string]servicespec.RestartCondition{
			"any": servicespec.Always, "on-failure": servicespec.OnFailure, "none": servicespec.Never,
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
		s.Restart.MaxRestarts, _ = d.integer(x, "max_attempts", 0, 1e6)
	}
	if x := p.get("window"); x != nil {
		s.Restart.Window = d.duration(x, "window", 0, 24*time.Hour)
	}
}

func (d *decoder) update(s *servicespec.Service, deploy *value) {
	u := d.of(deploy.get("update_config"), mapping, "update_config")
	if r := d.of(deploy.get("rollback_config"), mapping, "rollback_config"); r != nil {
		d.only(r, "rollback_config", "parallelism", "delay", "failure_action", "monitor", "max_failure_ratio", "order")
	}
	if u == nil {
		return
	}
	d.only(u, "update_config", "parallelism", "delay", "failure_action", "monitor", "max_failure_ratio", "order")
	if x := u.get("parallelism"); x != nil {
		s.Update.Parallel, _ = d.integer(x, "parallelism", 0, maxReplicas)
	}
	if x := u.get("delay"); x != nil {
		s.Update.Delay = d.duration(x, "delay", 0, 24*time.Hour)
	}
	if x := u.get("monitor"); x != nil {
		s.Update.Monitor = d.duration(x, "monitor", 0, 24*time.Hour)
	}
	if x := u.get("max_failure_ratio"); x != nil {
		s.Update.MaxFailureRatio = d.number(x, "max_failure_ratio", 0, 1)
	}
	if x := d.of(u.get("failure_action"), scalar, "failure_action"); x != nil {
		action, ok := map[string]servicespec.FailureAction{
			"pause": servicespec.Pause, "continue": servicespec.Continue, "rollback": servicespec.Rollback,
		}[x.text]
		if !ok {
			d.want(x.pos, "pause, continue or rollback", "failure_action %q", x.text)
		}
		s.Update.FailureAction = action
	}
	if x := d.of(u.get("order"), scalar, "order"); x != nil {
		if x.text != "stop-first" && x.text != "start-first" {
			d.want(x.pos, "stop-first or start-first", "order %q", x.text)
		}
		s.Update.StartFirst = x.text == "start-first"
	}
}
