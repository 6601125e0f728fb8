package compose

import (
	"slices"
	"strings"
)

// merge returns the tree base with the tree override merged into it by the rules of the Compose Specification: mappings
// are merged, lists are appended and single values are replaced. mergeRules has the exceptions. The parameter path is
// the position of both trees in the document, with * in place of the name of a service. The result may share nodes with
// both trees. Either tree may be nil, which stands for an absent value.
func merge(base, override *value, path string) *value {
	switch {
	case override == nil:
		return base
	case base == nil || override.tag == tagOverride:
		return override
	case override.tag == tagReset:
		return nil
	case base.kind == null:
		return override
	case override.kind == null:
		return base
	}
	switch mergeRuleOf(path) {
	case replaced:
		return override
	case keyed:
		return mergeByKind(asMap(base), asMap(override), path)
	case unique:
		if base.kind == sequence && override.kind == sequence {
			return mergeUnique(base, override)
		}
	}
	return mergeByKind(base, override, path)
}

// mergeByKind merges two values whose path has no entry in mergeRules.
func mergeByKind(base, override *value, path string) *value {
	switch {
	case base.kind != override.kind:
		return override
	case base.kind == mapping:
		return mergeMappings(base, override, path)
	case base.kind == sequence:
		return &value{pos: override.pos, kind: sequence, items: slices.Concat(base.items, override.items)}
	}
	return override
}

// mergeMappings merges two mappings by key. Keys of base come first.
func mergeMappings(base, override *value, path string) *value {
	merged := newMap(override.pos)
	for _, key := range base.keys {
		if field := merge(base.fields[key], override.fields[key], joinPath(path, key)); field != nil {
			merged.set(key, base.keyPos[key], field)
		}
	}
	for _, key := range override.keys {
		if _, ok := base.fields[key]; !ok && override.fields[key].tag != tagReset {
			merged.set(key, override.keyPos[key], override.fields[key])
		}
	}
	return merged
}

// joinPath returns the path of a key within the mapping at path.
func joinPath(path, key string) string {
	switch path {
	case "services":
		return "services.*"
	case "":
		return key
	}
	return path + "." + key
}

// mergeRule determines how two values at one path are merged.
type mergeRule uint8

const (
	byKind   mergeRule = iota // the kind of the values determines how they are merged: see mergeByKind
	replaced                  // the later value replaces the earlier one
	keyed                     // lists of KEY=VALUE are converted to mappings, which are merged
	unique                    // lists are appended, but an entry replaces an earlier one with the same target
)

// mergeRules has the rules for elements of a service. All other values are merged by kind.
var mergeRules = map[string]mergeRule{
	"command": replaced, "entrypoint": replaced, "healthcheck.test": replaced,
	"environment": keyed, "labels": keyed, "annotations": keyed, "extra_hosts": keyed, "sysctls": keyed,
	"depends_on": keyed, "networks": keyed, "deploy.labels": keyed, "build.args": keyed, "build.labels": keyed,
	"ports": unique, "volumes": unique, "secrets": unique, "configs": unique, "devices": unique,
}

func mergeRuleOf(path string) mergeRule {
	element, ok := strings.CutPrefix(path, "services.*.")
	if !ok {
		return byKind
	}
	return mergeRules[element]
}

// asMap converts a list of KEY=VALUE or KEY to a mapping, in which a KEY alone has a value of kind null. It returns v
// itself if v is not a list, or if an entry of the list is not a single value.
func asMap(v *value) *value {
	if v.kind != sequence {
		return v
	}
	m := newMap(v.pos)
	for _, item := range v.items {
		if item.kind != scalar {
			return v
		}
		key, text, hasValue := strings.Cut(item.text, "=")
		field := &value{pos: item.pos}
		if hasValue {
			field.kind, field.text = scalar, text
		}
		m.set(key, item.pos, field)
	}
	return m
}

// mergeUnique appends two lists whose entries are identified by their targets. An entry with the same target as an
// earlier one takes the earlier one's place in the list.
func mergeUnique(base, override *value) *value {
	merged := &value{pos: override.pos, kind: sequence}
	indexes := map[string]int{} // indexes in merged.items, by target
	for _, item := range slices.Concat(base.items, override.items) {
		target := targetOf(item)
		if i, ok := indexes[target]; ok {
			merged.items[i] = item
			continue
		}
		indexes[target] = len(merged.items)
		merged.items = append(merged.items, item)
	}
	return merged
}

// targetOf returns the text that identifies a port, volume, device, secret or config within one task.
func targetOf(v *value) string {
	if v.kind == mapping {
		return targetOfMapping(v)
	}
	parts := strings.Split(v.text, ":")
	switch {
	case len(parts) == 1:
		return parts[0]
	case strings.HasPrefix(parts[1], "/"): // v is a volume or a device, SOURCE:TARGET[:MODE]
		return parts[1]
	}
	return v.text // v is a port, [IP:]PUBLISHED:TARGET
}

// targetOfMapping returns PUBLISHED:TARGET/PROTOCOL for an entry in the long form. If the entry has no target, the
// source takes the place of TARGET. The result lacks PUBLISHED if the entry has no published port. It lacks PROTOCOL if
// the entry has no protocol or the protocol is tcp. It is "" if the entry has neither a target nor a source.
func targetOfMapping(v *value) string {
	for _, key := range []string{"target", "source"} {
		target := v.get(key)
		if target == nil || target.kind != scalar {
			continue
		}
		published, protocol := "", ""
		if p := v.get("published"); p != nil {
			published = p.text + ":"
		}
		if p := v.get("protocol"); p != nil && p.text != "tcp" {
			protocol = "/" + p.text
		}
		return published + target.text + protocol
	}
	return ""
}
