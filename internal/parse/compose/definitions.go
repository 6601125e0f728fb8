package compose

import (
	"strings"

	"forkhead/internal/parse/diagnostic"
)

// usedDefinitions returns the project's networks, volumes, configs or secrets that a service names, each with its description. One
// that is named and not described is an error, but for the default network.
func (d *decoder) usedDefinitions(service *value, part string) map[string]any {
	described := d.ofKind(d.top.get(part), mapping, part)
	used := service.get(part)
	if used.isEmpty() || used.kind == scalar {
		return nil
	}
	parts := map[string]any{}
	add := func(name string, pos diagnostic.Pos) {
		description := described.get(name)
		switch {
		case description != nil:
			parts[name] = toJSON(description)
		case name != "default":
			d.errorf(pos, "%s names %q, which the file does not describe", part, name)
		}
	}
	for _, key := range used.keys {
		add(key, used.keyPos[key])
	}
	for _, item := range used.items {
		if name, pos, ok := d.definitionName(item, part); ok {
			add(name, pos)
		}
	}
	return parts
}

// definitionName returns the name in an entry of a list of networks, volumes, configs or secrets. ok is false where the entry names
// none, or is in error.
func (d *decoder) definitionName(item *value, part string) (name string, pos diagnostic.Pos, ok bool) {
	switch {
	case item.kind == mapping:
		source := item.get("source")
		if source == nil || source.kind != scalar || part == "volumes" && !isNamedVolume(item) {
			return "", item.pos, false
		}
		return source.text, source.pos, true
	case item.kind != scalar:
		d.wantf(item.pos, "a name or a mapping", "an entry of %s is %s", part, item.kind)
		return "", item.pos, false
	case part == "volumes":
		name, ok := volumeName(item.text)
		return name, item.pos, ok
	}
	return item.text, item.pos, true
}

// isNamedVolume reports whether the long form of a volume means one of the project, not a path of the host.
func isNamedVolume(v *value) bool {
	typ := v.get("type")
	return typ != nil && typ.text == "volume"
}

// volumeName returns the name in the short form of a volume, NAME:TARGET. ok is false if it has a path of the host in place of
// the name, or neither.
func volumeName(text string) (name string, ok bool) {
	source, _, hasTarget := strings.Cut(text, ":")
	return source, hasTarget && !strings.ContainsAny(source, "/.~")
}
