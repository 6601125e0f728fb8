package compose

import (
	"slices"
	"strings"

	"forkhead/internal/parse/diagnostic"
)

// maxExtends is the maximum length of a chain of services that extend each other.
const maxExtends = 32

// serviceID identifies a service by its file and its name.
type serviceID struct{ file, name string }

// extender resolves the element extends of services.
type extender struct {
	files    map[string]*value    // trees of the loaded files, by file name
	resolved map[serviceID]*value // services with their bases merged in
	// load loads the file that a reference names into the map files, and returns the key of the file in this map. The
	// parameter from is the name of the file that has the reference, name is the path in the reference, and pos is the
	// position of the reference.
	load func(from, name string, pos diagnostic.Pos) (file string, err error)
}

// service returns a service with all its bases merged in. The parameter chain lists the services that are being
// resolved: each extends the next, and the last extends this service. It is empty if the resolution starts with this
// service. pos is the position of the reference to the service.
func (e *extender) service(id serviceID, pos diagnostic.Pos, chain []serviceID) (*value, error) {
	if v, ok := e.resolved[id]; ok {
		return v, nil
	}
	if err := checkChain(chain, id, pos); err != nil {
		return nil, err
	}
	v := e.files[id.file].get("services").get(id.name)
	if v == nil {
		return nil, diagnostic.Errorf(pos, "extends refers to service %q, which %s does not define", id.name, id.file)
	}
	extends := v.get("extends")
	if extends == nil {
		e.resolved[id] = v
		return v, nil
	}
	baseID, err := e.baseOf(id.file, extends)
	if err != nil {
		return nil, err
	}
	base, err := e.service(baseID, extends.pos, append(slices.Clip(chain), id))
	if err != nil {
		return nil, err
	}
	if base.kind != mapping {
		return nil, diagnostic.Wantf(base.pos, "a mapping", "service %q is %s", baseID.name, base.kind)
	}
	merged := merge(base, withoutKey(v, "extends"), "services.*")
	merged.pos = v.pos
	e.resolved[id] = merged
	return merged, nil
}

// checkChain returns an error if a service extends itself, directly or through others, or if the chain is too long.
func checkChain(chain []serviceID, id serviceID, pos diagnostic.Pos) error {
	if slices.Contains(chain, id) {
		var names []string
		for _, link := range chain {
			names = append(names, link.name)
		}
		return diagnostic.Errorf(pos, "extends forms a cycle: %s", strings.Join(append(names, id.name), " -> "))
	}
	if len(chain) >= maxExtends {
		return diagnostic.Wantf(pos, "at most 32 steps", "the chain of extends is too long")
	}
	return nil
}

// baseOf returns the service that an element extends refers to, and loads the file of that service. The element has the
// form NAME or {service: NAME, file: PATH}. Without PATH, the service is in the same file as the element.
func (e *extender) baseOf(file string, extends *value) (serviceID, error) {
	base := serviceID{file: file}
	switch extends.kind {
	case scalar:
		base.name = extends.text
	case mapping:
		for _, key := range extends.keys {
			if key != "service" && key != "file" {
				return serviceID{}, diagnostic.Wantf(extends.keyPos[key], "service or file", "unknown key %q in extends", key)
			}
		}
		if service := extends.get("service"); service != nil {
			base.name = service.text
		}
		if name := extends.get("file"); name != nil {
			found, err := e.load(file, name.text, name.pos)
			if err != nil {
				return serviceID{}, err
			}
			base.file = found
		}
	}
	if base.name == "" {
		return serviceID{}, diagnostic.Wantf(extends.pos, "the name of a service", "extends names no service")
	}
	return base, nil
}

// withoutKey returns a copy of a mapping without one of its keys and without its tag.
func withoutKey(v *value, key string) *value {
	rest := newMap(v.pos)
	for _, k := range v.keys {
		if k != key {
			rest.set(k, v.keyPos[k], v.fields[k])
		}
	}
	return rest
}
