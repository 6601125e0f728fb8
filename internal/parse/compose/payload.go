package compose

import (
	"encoding/json"
	"slices"
	"strings"

	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/parse/servicespec"
)

// payload gathers what only the host acts on.
func (d *decoder) payload(s *servicespec.Service, v, deploy *value) []byte {
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
	if len(data) > maxPayload {
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
	add := func(name string, pos diagnostic.Pos, must bool) {
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
		file, text, err := d.in.find(path.pos.File, path.text, path.pos)
		if err != nil {
			if required {
				d.errs.Add(err)
			}
			continue
		}
		for i, line := range strings.Split(text, "\n") {
			line = strings.TrimSpace(strings.TrimSuffix(line, "\r"))
			if line == "" || line[0] == '#' {
				continue
			}
			k, val, has := strings.Cut(line, "=")
			k = strings.TrimSpace(strings.TrimPrefix(k, "export "))
			if k == "" || strings.ContainsAny(k, " \t") {
				d.want(diagnostic.Pos{File: file, Line: i + 1, Col: 1}, "KEY=VALUE", "a line of the %s", what)
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
