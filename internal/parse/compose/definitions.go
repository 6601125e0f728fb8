package compose

import (
	"strings"

	"forkhead/internal/parse/diagnostic"
)

// usedDefinitions returns those definitions in one section of the file (networks, volumes, configs or secrets) that a
// service refers to. A reference to a name that the section does not define is an error, unless the name is "default".
func (d *decoder) usedDefinitions(service *value, section string) map[string]any {
	defined := d.ofKind(d.top.get(section), mapping, section)
	used := service.get(section)
	if used.isEmpty() || used.kind == scalar {
		return nil
	}
	definitions := map[string]any{}
	add := func(name string, pos diagnostic.Pos) {
		definition := defined.get(name)
		switch {
		case definition != nil:
			definitions[name] = toJSON(definition)
		case name != "default":
			d.errorf(pos, "%s refers to %q, which the file does not define", section, name)
		}
	}
	for _, key := range used.keys {
		add(key, used.keyPos[key])
	}
	for _, item := range used.items {
		if name, pos, ok := d.definitionName(item, section); ok {
			add(name, pos)
		}
	}
	return definitions
}

// definitionName returns the name of the network, volume, config or secret that an entry of a list refers to. ok is
// false if the entry is invalid or refers to no definition, for example if it is a volume that names a path of the
// host.
func (d *decoder) definitionName(item *value, section string) (name string, pos diagnostic.Pos, ok bool) {
	switch {
	case item.kind == mapping:
		source := item.get("source")
		if source == nil || source.kind != scalar || section == "volumes" && !isNamedVolume(item) {
			return "", item.pos, false
		}
		return source.text, source.pos, true
	case item.kind != scalar:
		d.wantf(item.pos, "a name or a mapping", "an entry of %s is %s", section, item.kind)
		return "", item.pos, false
	case section == "volumes":
		name, ok := volumeName(item.text)
		return name, item.pos, ok
	}
	return item.text, item.pos, true
}

// isNamedVolume reports whether the long form of a volume refers to a volume of the project, not to a path of the host.
func isNamedVolume(v *value) bool {
	typ := v.get("type")
	return typ != nil && typ.text == "volume"
}

// volumeName returns the name in the short form of a volume, NAME:TARGET. ok is false if the text has a path of the host
// instead of the name, or only a target.
func volumeName(text string) (name string, ok bool) {
	source, _, hasTarget := strings.Cut(text, ":")
	return source, hasTarget && !strings.ContainsAny(source, "/.~")
}
