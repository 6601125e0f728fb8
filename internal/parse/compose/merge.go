package compose

import (
	"strings"

	"forkhead/internal/parse/diagnostic"
)

// merge lays one tree over another by the specification's chapter on merging: mappings are
// merged, lists appended, single values replaced; and the exceptions below. path names the
// place, with * for a service's name.
func merge(base, over *value, path string) *value {
	switch {
	case over == nil:
		return base
	case base == nil || over.tag == "!override":
		return over
	case over.tag == "!reset":
		return nil
	case base.kind == null:
		return over
	case over.kind == null:
		return base
	}
	switch rule := ruleOf(path); {
	case rule == replace:
		return over
	case rule == keyed:
		return merge(asMap(base), asMap(over), path+".")
	case rule == unique && base.kind == sequence && over.kind == sequence:
		return mergeUnique(base, over)
	}
	if base.kind != over.kind {
		return over
	}
	switch base.kind {
	case mapping:
		v := newMap(over.pos)
		for _, k := range base.keys {
			merged := merge(base.fields[k], over.fields[k], join(path, k))
			if merged != nil {
				v.set(k, base.keyPos[k], merged)
			}
		}
		for _, k := range over.keys {
			if _, ok := base.fields[k]; !ok && over.fields[k].tag != "!reset" {
				v.set(k, over.keyPos[k], over.fields[k])
			}
		}
		return v
	case sequence:
		v := &value{pos: over.pos, kind: sequence}
		v.items = append(append(v.items, base.items...), over.items...)
		return v
	}
	return over
}

func join(path, key string) string {
	if path == "services" {
		return "services.*"
	}
	if path == "" {
		return key
	}
	return path + "." + key
}

type rule uint8

const (
	usual   rule = iota
	replace      // the later value stands alone
	keyed        // a list of K=V is read as a mapping first
	unique       // entries with one target replace each other
)

// rules are the exceptions; all others go by kind.
var rules = map[string]rule{
	"command": replace, "entrypoint": replace, "healthcheck.test": replace,
	"environment": keyed, "labels": keyed, "annotations": keyed, "extra_hosts": keyed, "sysctls": keyed,
	"depends_on": keyed, "networks": keyed, "deploy.labels": keyed, "build.args": keyed, "build.labels": keyed,
	"ports": unique, "volumes": unique, "secrets": unique, "configs": unique, "devices": unique,
}

func ruleOf(path string) rule {
	rest, ok := strings.CutPrefix(path, "services.*.")
	if !ok {
		return usual
	}
	return rules[rest]
}

// asMap reads a list of K=V, or of plain names, as a mapping.
func asMap(v *value) *value {
	if v.kind != sequence {
		return v
	}
	m := newMap(v.pos)
	for _, item := range v.items {
		if item.kind != scalar {
			return v
		}
		key, val, has := strings.Cut(item.text, "=")
		c := &value{pos: item.pos}
		if has {
			c.kind, c.text = scalar, val
		}
		m.set(key, item.pos, c)
	}
	return m
}

// mergeUnique appends lists whose entries are known by their target.
func mergeUnique(base, over *value) *value {
	v := &value{pos: over.pos, kind: sequence}
	at := map[string]int{}
	for _, item := range append(append([]*value{}, base.items...), over.items...) {
		target := targetOf(item)
		if i, ok := at[target]; ok {
			v.items[i] = item
			continue
		}
		at[target] = len(v.items)
		v.items = append(v.items, item)
	}
	return v
}

// targetOf is what a port, volume, device, secret or config is known by inside the task.
func targetOf(v *value) string {
	if v.kind == mapping {
		for _, k := range []string{"target", "source"} {
			if t := v.get(k); t != nil && t.kind == scalar {
				proto, published := "", ""
				if p := v.get("protocol"); p != nil && p.text != "tcp" {
					proto = "/" + p.text
				}
				if p := v.get("published"); p != nil {
					published = p.text + ":"
				}
				return published + t.text + proto
			}
		}
		return ""
	}
	parts := strings.Split(v.text, ":")
	switch {
	case len(parts) == 1:
		return parts[0]
	case strings.HasPrefix(parts[1], "/"): // a volume or device: SOURCE:TARGET[:MODE]
		return parts[1]
	}
	return v.text // a port: [IP:]PUBLISHED:TARGET
}

// extender resolves extends, each service once.
type extender struct {
	files map[string]*value // merged tree of each file
	load  func(from, file string, pos diagnostic.Pos) (*value, string, error)
	done  map[string]*value
}

// service returns a service of a file with all it extends merged in.
func (e *extender) service(file, name string, pos diagnostic.Pos, open []string) (*value, error) {
	id := file + "\x00" + name
	if v, ok := e.done[id]; ok {
		return v, nil
	}
	for _, o := range open {
		if o == id {
			names := make([]string, 0, len(open)+1)
			for _, o := range append(open, id) {
				_, n, _ := strings.Cut(o, "\x00")
				names = append(names, n)
			}
			return nil, diagnostic.Errorf(pos, "extends goes round: %s", strings.Join(names, " -> "))
		}
	}
	if len(open) >= mostExtends {
		return nil, diagnostic.Wantf(pos, "at most 32 steps", "extends goes on too long")
	}
	v := e.files[file].get("services").get(name)
	if v == nil {
		return nil, diagnostic.Errorf(pos, "extends names service %q, which %s does not hold", name, file)
	}
	ext := v.get("extends")
	if ext == nil || v.kind != mapping {
		e.done[id] = v
		return v, nil
	}
	base, baseFile := "", file
	switch ext.kind {
	case scalar:
		base = ext.text
	case mapping:
		for _, k := range ext.keys {
			if k != "service" && k != "file" {
				return nil, diagnostic.Wantf(ext.keyPos[k], "service or file", "unknown key %q in extends", k)
			}
		}
		if s := ext.get("service"); s != nil {
			base = s.text
		}
		if f := ext.get("file"); f != nil {
			tree, at, err := e.load(file, f.text, f.pos)
			if err != nil {
				return nil, err
			}
			e.files[at], baseFile = tree, at
		}
	}
	if base == "" {
		return nil, diagnostic.Wantf(ext.pos, "the name of a service", "extends names none")
	}
	b, err := e.service(baseFile, base, ext.pos, append(open[:len(open):len(open)], id))
	if err != nil {
		return nil, err
	}
	if b.kind != mapping {
		return nil, diagnostic.Wantf(b.pos, "a mapping", "service %q is %s", base, b.kind)
	}
	own := newMap(v.pos)
	for _, k := range v.keys {
		if k != "extends" {
			own.set(k, v.keyPos[k], v.fields[k])
		}
	}
	merged := merge(b, own, "services.*")
	merged.pos = v.pos
	e.done[id] = merged
	return merged, nil
}
